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

from standins.messages import CONTINUE, Seen, take_message

Address = tuple[str, int]


class End(Enum):
    """How a parcel ended, as its sender sees it."""

    ANSWERED = "answered"
    LOST = "lost"  # the connection ended with no answer
    CUT = "cut"  # it ended in the middle of an answer, and that shows
    UNREACHED = "unreached"  # no connection, or it ended before the last byte was written
    LEFT = "left"  # the sender went away


@dataclass(eq=False)
class Parcel:
    """One request on its way. `pieces` are written `pause` seconds apart."""

    address: Address
    pieces: list[bytes]
    pause: float = 0.0
    dawdle: float = 0.0  # seconds in which no more is read, once the head of the answer has come
    coming: Callable[[], None] = lambda: None  # its first bytes are about to be written
    begun: Callable[[], None] = lambda: None  # the head has come
    written: Callable[[], None] = lambda: None  # its last byte is; once more where it has to be sent again
    done: Callable[[End, Seen | None], None] = lambda end, answer: None
    line: Line | None = None
    tries: int = 0
    over: bool = False
    heard: bool = False  # the head of its answer has come
    _next: int = 0
    _timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    def finish(self, end: End, answer: Seen | None) -> None:
        """Tell the one end."""
        if not self.over:
            self.over = True
            if self._timer is not None:
                self._timer.cancel()
            self.line = None
            self.done(end, answer)


class Line(asyncio.Protocol):
    """One connection."""

    def __init__(self, courier: Courier, address: Address) -> None:
        self._courier = courier
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.parcel: Parcel | None = None
        self.uses = 0
        self._buffer = bytearray()
        self._sent_at = 0  # bytes written on this connection when the parcel's last byte was

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def start(self, parcel: Parcel) -> None:
        """Write a parcel."""
        self.parcel, parcel.line = parcel, self
        self.uses += 1
        parcel._next = 0
        self._write()

    def _write(self) -> None:
        parcel = self.parcel
        if parcel is None or self.transport is None:
            return
        if not parcel._next:
            parcel.coming()
        self.transport.write(parcel.pieces[parcel._next])
        parcel._next += 1
        if parcel._next < len(parcel.pieces):
            parcel._timer = self._courier.loop.call_later(parcel.pause, self._write, context=self._courier.context)
        else:
            parcel.written()

    @property
    def whole(self) -> bool:
        """Whether the parcel's last byte is written."""
        return self.parcel is not None and self.parcel._next == len(self.parcel.pieces)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._buffer.startswith(CONTINUE):
            del self._buffer[: len(CONTINUE)]
        try:
            answer = take_message(self._buffer)
        except ValueError:
            self._courier.surplus(self.address, bytes(self._buffer))
            self.leave()
            return
        parcel = self.parcel
        if answer is None:
            if parcel is not None and not parcel.heard and b"\r\n\r\n" in self._buffer:
                self._begin(parcel)
            return
        if parcel is None or self._buffer:
            self._courier.surplus(self.address, bytes(self._buffer) or answer.line)
            self.leave()
            return
        self.parcel = None
        if answer.headers.get(b"connection", b"").lower() == b"close" or parcel._next < len(parcel.pieces):
            self.close()
        else:
            self._courier.park(self)
        parcel.finish(End.ANSWERED, answer)

    def _begin(self, parcel: Parcel) -> None:
        parcel.heard = True
        parcel.begun()
        if parcel.dawdle and self.transport is not None:
            self.transport.pause_reading()
            self._courier.loop.call_later(parcel.dawdle, self._read_on, context=self._courier.context)

    def _read_on(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._courier.unpark(self)
        parcel, self.parcel = self.parcel, None
        if parcel is None or parcel.over:
            return
        if parcel._next < len(parcel.pieces):
            parcel.finish(End.UNREACHED, None)
        elif self.uses > 1 and not self._buffer and not self._courier.was_read(self.transport):
            # It crossed a close between requests: once more, on a new connection.
            parcel.tries += 1
            self._courier.connect(parcel)
        else:
            parcel.finish(End.CUT if b"\r\n\r\n" in self._buffer else End.LOST, None)

    def close(self) -> None:
        """End in order."""
        if self.transport is not None:
            self.transport.close()

    def leave(self) -> None:
        """End at once."""
        if self.transport is not None:
            self.transport.abort()


class Courier:
    """All connections of one client.

    `was_read` tells of a connection that has ended whether its peer had read all that was written to it; sockets
    can't tell, and there the first end of a kept connection counts as one that crossed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, context: contextvars.Context | None = None) -> None:
        self.loop = loop
        self.context = context  # in which its connections live, whoever sends on them; None: the sender's
        self.was_read: Callable[[asyncio.Transport | None], bool] = lambda transport: False
        self.surplus: Callable[[Address, bytes], None] = lambda address, data: None
        self._idle: dict[Address, list[Line]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, parcel: Parcel) -> None:
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

    def connect(self, parcel: Parcel) -> None:
        """Write on a new connection."""
        task = self.loop.create_task(self._connect(parcel), context=self.context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, parcel: Parcel) -> None:
        line = Line(self, parcel.address)
        try:
            await self.loop.create_connection(lambda: line, *parcel.address)
        except OSError:
            parcel.finish(End.UNREACHED, None)
            return
        if parcel.over:
            line.leave()
        else:
            line.start(parcel)

    def leave(self, parcel: Parcel) -> None:
        """The sender goes away."""
        line = parcel.line
        parcel.finish(End.LEFT, None)
        if line is not None:
            line.parcel = None
            line.leave()

    def park(self, line: Line) -> None:
        """Keep a connection for the next parcel."""
        self._idle.setdefault(line.address, []).append(line)

    def unpark(self, line: Line) -> None:
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
