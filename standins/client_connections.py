"""A client's persistent connections, with one request at a time on each, and the outcome of each request.

Callbacks instead of tasks keep the cost of thousands of requests low, and simulations of many clients fast.
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
    """How a request ended for its sender."""

    ANSWERED = "answered"
    LOST = "lost"  # the connection ended without a response
    TRUNCATED = "cut"  # the connection ended within a response, detectably
    UNREACHED = "unreached"  # no connection, or it ended before the request was sent completely
    ABANDONED = "left"  # the sender gave up


@dataclass(eq=False)
class PendingRequest:
    """One request being sent or waiting for its response. `pieces` are written `pause` seconds apart."""

    address: Address
    pieces: list[bytes]
    pause: float = 0.0
    read_pause: float = 0.0  # seconds for which reading stops after the head of the response
    on_sending: Callable[[], None] = lambda: None  # before the first bytes are written
    on_head: Callable[[], None] = lambda: None  # the head of the response was received
    on_sent: Callable[[], None] = lambda: None  # after the last byte is written, again if it is sent again
    on_end: Callable[[RequestEnd, Message | None], None] = lambda end, answer: None
    connection: ClientConnection | None = None
    tries: int = 0
    ended: bool = False
    head_received: bool = False  # the head of the response was received
    _next_piece: int = 0
    _timer: asyncio.TimerHandle | None = field(default=None, repr=False)

    def finish(self, end: RequestEnd, answer: Message | None) -> None:
        """Report the end of the request, once."""
        if not self.ended:
            self.ended = True
            if self._timer is not None:
                self._timer.cancel()
            self.connection = None
            self.on_end(end, answer)


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, pool: ClientPool, address: Address) -> None:
        self._pool = pool
        self.address = address
        self.transport: asyncio.Transport | None = None
        self.request: PendingRequest | None = None
        self.uses = 0
        self._buffer = bytearray()
        self._sent_at = 0  # bytes written on this connection up to the end of the request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def start(self, request: PendingRequest) -> None:
        """Start to write a request."""
        self.request, request.connection = request, self
        self.uses += 1
        request._next_piece = 0
        self._write()

    def _write(self) -> None:
        request = self.request
        if request is None or self.transport is None:
            return
        if not request._next_piece:
            request.on_sending()
        self.transport.write(request.pieces[request._next_piece])
        request._next_piece += 1
        if request._next_piece < len(request.pieces):
            request._timer = self._pool.loop.call_later(request.pause, self._write, context=self._pool.context)
        else:
            request.on_sent()

    @property
    def request_sent(self) -> bool:
        """Whether the current request was written completely."""
        return self.request is not None and self.request._next_piece == len(self.request.pieces)

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while self._buffer.startswith(CONTINUE):
            del self._buffer[: len(CONTINUE)]
        try:
            answer = take_message(self._buffer)
        except ValueError:
            self._pool.on_surplus(self.address, bytes(self._buffer))
            self.abort()
            return
        request = self.request
        if answer is None:
            if request is not None and not request.head_received and b"\r\n\r\n" in self._buffer:
                self._on_head(request)
            return
        if request is None or self._buffer:
            self._pool.on_surplus(self.address, bytes(self._buffer) or answer.line)
            self.abort()
            return
        self.request = None
        if answer.headers.get(b"connection", b"").lower() == b"close" or request._next_piece < len(request.pieces):
            self.close()
        else:
            self._pool.keep_idle(self)
        request.finish(RequestEnd.ANSWERED, answer)

    def _on_head(self, request: PendingRequest) -> None:
        request.head_received = True
        request.on_head()
        if request.read_pause and self.transport is not None:
            self.transport.pause_reading()
            self._pool.loop.call_later(request.read_pause, self._resume_reading, context=self._pool.context)

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        self._pool.drop_idle(self)
        request, self.request = self.request, None
        if request is None or request.ended:
            return
        if request._next_piece < len(request.pieces):
            request.finish(RequestEnd.UNREACHED, None)
        elif self.uses > 1 and not self._buffer and not self._pool.was_read(self.transport):
            # It crossed the peer's close of an idle connection, so it is sent again on a new one.
            request.tries += 1
            self._pool.connect(request)
        else:
            request.finish(RequestEnd.TRUNCATED if b"\r\n\r\n" in self._buffer else RequestEnd.LOST, None)

    def close(self) -> None:
        """Close the connection after pending writes."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class ClientPool:
    """All connections of one client.

    `was_read` returns whether the peer of a closed connection had read all data written to it. Sockets can't tell, so
    there the close of a reused connection without a response counts as one that crossed the request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, context: contextvars.Context | None = None) -> None:
        self.loop = loop
        self.context = context  # of the connections' callbacks, whoever sends; None: the sender's
        self.was_read: Callable[[asyncio.Transport | None], bool] = lambda transport: False
        self.on_surplus: Callable[[Address, bytes], None] = lambda address, data: None
        self._idle: dict[Address, list[ClientConnection]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, request: PendingRequest) -> None:
        """Send a request on an idle connection if there is one, else on a new one."""
        idle = self._idle.get(request.address)
        while idle:
            connection = idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                connection.start(request)
                return
        self.connect(request)

    def has_idle(self, address: Address) -> bool:
        """Whether there is an idle connection to an address."""
        return bool(self._idle.get(address))

    def connect(self, request: PendingRequest) -> None:
        """Send a request on a new connection."""
        task = self.loop.create_task(self._connect(request), context=self.context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, request: PendingRequest) -> None:
        connection = ClientConnection(self, request.address)
        try:
            await self.loop.create_connection(lambda: connection, *request.address)
        except OSError:
            request.finish(RequestEnd.UNREACHED, None)
            return
        if request.ended:
            connection.abort()
        else:
            connection.start(request)

    def abandon(self, request: PendingRequest) -> None:
        """End a request and abort its connection, as a sender that gives up."""
        connection = request.connection
        request.finish(RequestEnd.ABANDONED, None)
        if connection is not None:
            connection.request = None
            connection.abort()

    def keep_idle(self, connection: ClientConnection) -> None:
        """Keep a connection for a later request."""
        self._idle.setdefault(connection.address, []).append(connection)

    def drop_idle(self, connection: ClientConnection) -> None:
        """Forget an idle connection that has ended."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in list(idle):
                connection.close()
            idle.clear()
