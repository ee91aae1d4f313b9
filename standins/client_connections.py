"""A client's connections: kept, one request at a time on each, as the protocol has it; and what became of each.

Callbacks, no tasks: thousands of requests cost little, and a world of many clients stays quick.
"""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import cast

from standins.messages import CONTINUE, Message, take_message

Address = tuple[str, int]


class RequestEnd(Enum):
    """How a parcel ended, as its sender sees it."""

    ANSWERED = "answered"
    LOST = "lost"  # the connection ended with no answer
    TRUNCATED = "cut"  # it ended in the middle of an answer, and that shows
    UNREACHED = "unreached"  # no connection, or it ended before the last byte was written
    ABANDONED = "left"  # the sender went away


@dataclass(eq=False)
class PendingRequest:
    """One request on its way. `pieces` are written `pause` seconds apart."""

    address: Address
    pieces: list[bytes]
    pause: float = 0.0
    read_pause: float = 0.0  # seconds in which no more is read, once the head of the answer has come
    on_sending: Callable[[], None] = lambda: None  # its first bytes are about to be written
    on_head: Callable[[], None] = lambda: None  # the head has come
    on_sent: Callable[[], None] = lambda: None  # its last byte is; once more where it has to be sent again
    on_end: Callable[[RequestEnd, Message | None], None] = lambda end, answer: None
    connection: ClientConnection | None = None
    tries: int = 0
    over: bool = False
    head_received: bool = False  # the head of its answer has come
    _next: int = 0
    _timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    def finish(self, end: RequestEnd, answer: Message | None) -> None:
        """Tell the one end."""
        if not self.over:
            self.over = True
            if self._timer is not None:
                self._timer.cancel()
            self.connection = None
            self.on_end(end, answer)


class ClientConnection(asyncio.Protocol):
    """One connection."""

    def __init__(self, courier: ClientPool, address: Address) -> None:
        self._courier = courier
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.request: PendingRequest | None = None
        self.uses = 0
        self._buffer = bytearray()
        self._sent_at = 0  # bytes written on this connection when the parcel's last byte was

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def start(self, parcel: PendingRequest) -> None:
        """Write a parcel."""
        self.request, parcel.connection = parcel, self
        self.uses += 1
        parcel._next = 0
        self._write()

    def _write(self) -> None:
        parcel = self.request
        if parcel is None or self.transport is None:
            return
        if not parcel._next:
            parcel.on_sending()
        self.transport.write(parcel.pieces[parcel._next])
        parcel._next += 1
        if parcel._next < len(parcel.pieces):
            parcel._timer = self._courier.loop.call_later(parcel.pause, self._write, context=self._courier.context)
        else:
            parcel.on_sent()

    @property
    def request_sent(self) -> bool:
        """Whether the parcel's last byte is written."""
        return self.request is not None and self.request._next == len(self.request.pieces)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._buffer.startswith(CONTINUE):
            del self._buffer[: len(CONTINUE)]
        try:
            answer = take_message(self._buffer)
        except ValueError:
            self._courier.on_surplus(self.address, bytes(self._buffer))
            self.abort()
            return
        parcel = self.request
        if answer is None:
            if parcel is not None and not parcel.head_received and b"\r\n\r\n" in self._buffer:
                self._begin(parcel)
            return
        if parcel is None or self._buffer:
            self._courier.on_surplus(self.address, bytes(self._buffer) or answer.line)
            self.abort()
            return
        self.request = None
        if answer.headers.get(b"connection", b"").lower() == b"close" or parcel._next < len(parcel.pieces):
            self.close()
        else:
            self._courier.keep_idle(self)
        parcel.finish(RequestEnd.ANSWERED, answer)

    def _begin(self, parcel: PendingRequest) -> None:
        parcel.head_received = True
        parcel.on_head()
        if parcel.read_pause and self.transport is not None:
            self.transport.pause_reading()
            self._courier.loop.call_later(parcel.read_pause, self._read_on, context=self._courier.context)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._courier.drop_idle(self)
        parcel, self.request = self.request, None
        if parcel is None or parcel.over:
            return
        if parcel._next < len(parcel.pieces):
            parcel.finish(RequestEnd.UNREACHED, None)
        elif self.uses > 1 and not self._buffer and not self._courier.was_read(self.transport):
            # It crossed a close between requests: once more, on a new connection.
            parcel.tries += 1
            self._courier.connect(parcel)
        else:
            parcel.finish(RequestEnd.TRUNCATED if b"\r\n\r\n" in self._buffer else RequestEnd.LOST, None)

    def close(self) -> None:
        """End in order."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """End at once."""
        if self.transport is not None:
            self.transport.abort()


class ClientPool:
    """All connections of one client.

    `was_read` tells of a connection that has ended whether its peer had read all that was written to it; sockets
    can't tell, and there the first end of a kept connection counts as one that crossed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, context: contextvars.Context | None = None) -> None:
        self.loop = loop
        self.context = context  # in which its connections live, whoever sends on them; None: the sender's
        self.was_read: Callable[[asyncio.Transport | None], bool] = lambda transport: False
        self.on_surplus: Callable[[Address, bytes], None] = lambda address, data: None
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, parcel: PendingRequest) -> None:
        """Write on a kept connection if there is one, else on a new one."""
        idle = self._idle.get(parcel.address)
        while idle:
            line = idle.pop()
            if line.transport is not None and not line.transport.is_closing():
                line.start(parcel)
                return
        self.connect(parcel)

    def has_idle(self, address: Address) -> bool:
        """Whether a kept connection waits for a request."""
        return bool(self._idle.get(address))

    def connect(self, parcel: PendingRequest) -> None:
        """Write on a new connection."""
        task = self.loop.create_task(self._connect(parcel), context=self.context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, parcel: PendingRequest) -> None:
        line = ClientConnection(self, parcel.address)
        try:
            await self.loop.create_connection(lambda: line, *parcel.address)
        except OSError:
            parcel.finish(RequestEnd.UNREACHED, None)
            return
        if parcel.over:
            line.abort()
        else:
            line.start(parcel)

    def abandon(self, parcel: PendingRequest) -> None:
        """The sender goes away."""
        line = parcel.connection
        parcel.finish(RequestEnd.ABANDONED, None)
        if line is not None:
            line.request = None
            line.abort()

    def keep_idle(self, line: ClientConnection) -> None:
        """Keep a connection for the next parcel."""
        self._idle.setdefault(line.address, []).append(line)

    def drop_idle(self, line: ClientConnection) -> None:
        """It is gone."""
        idle = self._idle.get(line.address)
        if idle and line in idle:
            idle.remove(line)

    def close(self) -> None:
        """End all that is idle."""
        for idle in self._idle.values():
            for line in list(idle):
                line.close()
            idle.clear()
