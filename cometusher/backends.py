"""Connections to backends: pools, attempts, and what their ends mean as an Outcome.

An attempt is written once, on one connection, and has exactly one end. Nothing here picks a backend,
sends an attempt again, or decides how long one may take.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol, cast

from cometusher.budget import Descriptors
from cometusher.config import Address
from cometusher.http1 import Malformed, Response, ResponseParser
from weldroute import Outcome
from weldroute.model import ServerId

log = logging.getLogger(__name__)

WHOLE_UP_TO = 64 * 1024  # longer answers are passed on as they come
SLICE = 128 * 1024  # of a request body, written at once
IDLE_PART = 0.8  # of the time after which backends may close; a write that crosses that close is lost
AT_ONCE = 0.05  # seconds in which a reset says that the connection was dead before it was written to
CROSSINGS, CROSSINGS_FOR = 3, 20.0  # so many such resets in so many seconds make idle connections suspect
IDLE_AT_LEAST = 0.1  # seconds; a reset of a younger connection, or of a new one, has another cause
ANSWER_STALL = 0.5  # seconds without a byte after which an answer that had begun to come has broken...
STREAM_STALL = 5.0  # ...and one that is passed on already: nothing can be tried again, so patience is free


class AttemptSink(Protocol):
    """Who is told of attempts."""

    def attempt_ended(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """The one end of an attempt; with OK comes the answer, its body whole unless it was passed on."""

    def attempt_streams(self, attempt: Attempt, response: Response) -> None:
        """A long answer begins; from here on it is passed on as it comes."""

    def attempt_data(self, attempt: Attempt, data: bytes) -> None:
        """More of an answer that is passed on."""


class Attempt:
    """One sending of one request to one backend."""

    __slots__ = (
        "body", "connection", "ended", "head", "number", "owner", "repeatable", "sent", "server", "streaming", "task",
    )

    def __init__(self, owner: object, number: int, server: ServerId, sent: float, repeatable: bool) -> None:
        self.owner = owner
        self.number = number
        self.server = server
        self.sent = sent
        self.repeatable = repeatable  # harmless to repeat, so that a reset costs little
        self.head = b""
        self.body: bytearray | bytes = b""
        self.connection: BackendConnection | None = None
        self.task: asyncio.Task[None] | None = None  # connecting
        self.ended = False
        self.streaming = False


class Backend:
    """One backend: where it is, since when, and its idle connections, the last used last."""

    __slots__ = ("born", "dial", "idle", "usable")

    def __init__(self, dial: Address, born: float, usable: bool) -> None:
        self.dial = dial
        self.born = born
        self.usable = usable
        self.idle: list[BackendConnection] = []


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; carries one attempt at a time."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        self._pool = pool
        self.backend = backend
        self.dial = backend.dial
        self.born = backend.born
        self.transport: asyncio.Transport | None = None
        self.made = False
        self.uses = 0
        self.attempt: Attempt | None = None
        self.response: Response | None = None
        self.idle_since = 0.0
        self.started = 0.0
        self.heard = 0.0
        self.held_back = False  # reading is paused: the caller is slower
        self._parser = ResponseParser(self)
        self._body: memoryview | None = None  # what is not yet handed to the transport
        self._writable = True
        self._size = 0  # of the answer's body, so far
        self._got = 0  # bytes of the answer, head and all

    # ---- the transport's calls -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        self.made = True
        transport.set_write_buffer_limits(high=SLICE, low=0)

    def data_received(self, data: bytes) -> None:
        if self.attempt is None:
            self.close()  # nobody asked for this
            return
        self.heard = self._pool.loop.time()
        self._got += len(data)
        try:
            self._parser.feed(data)
        except Malformed as fault:
            self._lost(f"unreadable answer: {fault}")
            self.close()

    def eof_received(self) -> None:
        if self.attempt is not None:
            self._parser.finish()
        self._lost("the backend ended the connection")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._lost(f"connection lost: {exc}" if exc else "connection closed")
        self._pool.closed(self)

    def pause_writing(self) -> None:
        self._writable = False

    def resume_writing(self) -> None:
        self._writable = True
        self._pump()

    # ---- the request ---------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        assert self.transport is not None and self.attempt is None
        self.attempt = attempt
        attempt.connection = self
        self.uses += 1
        self.started = self.heard = self._pool.loop.time()
        self._size = self._got = 0
        if len(attempt.body) <= SLICE:
            self.transport.write(attempt.head + attempt.body)
        else:
            self._body = memoryview(attempt.body)
            self.transport.write(attempt.head)
            self._pump()

    def _pump(self) -> None:
        # The rest is held here, not in the transport: while any of it is, the request's last byte has
        # certainly not left, and a connection that breaks has certainly run nothing.
        while self._body is not None and self._writable and self.transport is not None:
            rest = self._body[SLICE:]
            self.transport.write(self._body[:SLICE])
            if self.transport.is_closing():
                return  # the write met a broken connection, and all that follows would go nowhere
            self._body = rest if len(rest) else None

    # ---- the answer ----------------------------------------------------------------------

    def on_response_head(self, response: Response) -> None:
        self.response = response
        attempt = self.attempt
        if (
            attempt is not None and response.status == 200
            and response.length is not None and response.length > WHOLE_UP_TO
        ):
            self._stream(attempt, response)

    def _stream(self, attempt: Attempt, response: Response) -> None:
        attempt.streaming = True
        self._pool.sink.attempt_streams(attempt, response)

    def on_response_data(self, data: bytes) -> None:
        attempt, response = self.attempt, self.response
        if attempt is None or response is None:
            return
        self._size += len(data)
        if attempt.streaming:
            self._pool.sink.attempt_data(attempt, data)
            return
        if response.status == 200:
            response.body.append(data)
        if self._size <= WHOLE_UP_TO:
            return
        if response.status != 200:
            self._lost("an error with a long body")
            self.close()
        else:
            self._stream(attempt, response)
            begun, response.body = b"".join(response.body), []
            self._pool.sink.attempt_data(attempt, begun)

    def on_response_end(self) -> None:
        attempt, response = self.attempt, self.response
        if attempt is None or response is None:
            return
        whole = self._body is None
        self._release()
        if response.keep_alive and not response.until_eof and whole and not self.held_back:
            self._pool.park(self)
        else:
            self.close()
        how, why = classify(response)
        self._pool.end(attempt, how, response, why)

    def hold_back(self, held: bool) -> None:
        """Pause or resume reading: backpressure from the caller."""
        if self.transport is not None and held is not self.held_back:
            self.held_back = held
            self.heard = self._pool.loop.time()
            (self.transport.pause_reading if held else self.transport.resume_reading)()

    # ---- ends ----------------------------------------------------------------------------

    def _release(self) -> None:
        if self.attempt is not None:
            self.attempt.connection = None
        self.attempt = None
        self.response = None
        self._body = None

    def _lost(self, why: str) -> None:
        """The connection is of no more use; ends the attempt by what is known to have left."""
        self._pool.unpark(self)
        attempt, response = self.attempt, self.response
        if attempt is None:
            return
        unsent = self._body is not None
        if not self._got and self._pool.loop.time() - self.started < AT_ONCE:
            self._pool.reset_at_once(self.started - self.idle_since if self.uses > 1 else 0.0)
        self._release()
        if response is not None and response.status != 200:
            how, why = classify(response)
            self._pool.end(attempt, how, None, why)
        elif unsent:
            self._pool.end(attempt, Outcome.UNREACHABLE, None, f"{why} before the request's last byte was written")
        else:
            self._pool.end(attempt, Outcome.BROKEN, None, why)

    def check(self, now: float) -> None:
        """End an answer that began to come and stopped.

        Guards against waiting until the deadline for the rest of an answer that never comes, when there
        is still time to try again: a backend at work on an answer is never silent for so long.
        """
        attempt = self.attempt
        if attempt is None or not self._got or self.held_back:
            return
        silent = now - self.heard
        if silent > (STREAM_STALL if attempt.streaming else ANSWER_STALL):
            self._lost(f"the answer stopped coming: {self.progress()}")
            self.close()

    def progress(self) -> str:
        """How far the attempt has come, for the log."""
        if self._body is not None:
            return f"{len(self._body)} bytes of the request unwritten"
        used = "a used" if self.uses > 1 else "a new"
        if self.response is None:
            return f"{self._got} bytes of an answer's head on {used} connection"
        return f"{self._size} of {self.response.length} bytes of an answer on {used} connection"

    def close(self) -> None:
        """Close at once; the attempt on it, if any, has been dealt with."""
        self._release()
        if self.transport is not None:
            self.transport.abort()


def classify(response: Response) -> tuple[Outcome, str]:
    """The outcome that a whole answer stands for."""
    if response.status == 200:
        return Outcome.OK, ""
    if response.status in (503, 504) and (b"x-rejected", b"1") in response.headers:
        return Outcome.FULL, f"turned away with {response.status}"
    return Outcome.ERROR, f"status {response.status}"


class Backends:
    """All backends by id, and every connection to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sink: AttemptSink,
        descriptors: Descriptors,
        dial_timeout: float,
        idle_for: float,
    ) -> None:
        self.loop = loop
        self.sink = sink
        self._descriptors = descriptors
        self._dial_timeout = dial_timeout
        self._idle_for = idle_for * IDLE_PART if idle_for > 0.0 else 60.0
        self._backends: dict[ServerId, Backend] = {}
        self._idle: dict[BackendConnection, None] = {}  # oldest first, over all backends
        self._busy: dict[BackendConnection, None] = {}
        self._crossings: deque[tuple[float, float]] = deque(maxlen=CROSSINGS)  # when, and how long idle
        descriptors.evict_backend = self._evict

    # ---- the list ------------------------------------------------------------------------

    def update(self, server: ServerId, dial: Address, born: float, usable: bool) -> None:
        """Discovery names a backend, or names it anew."""
        backend = self._backends.get(server)
        if backend is None:
            self._backends[server] = Backend(dial, born, usable)
            return
        if dial != backend.dial or born != backend.born or not usable:
            # Guards against requests into connections to a process that is no more.
            self.drop_idle(server)
        backend.dial, backend.born, backend.usable = dial, born, usable

    def forget(self, server: ServerId) -> None:
        """Discovery no longer names it."""
        self.drop_idle(server)
        backend = self._backends.pop(server, None)
        if backend is not None:
            backend.usable = False  # connections still in use are closed, not parked

    def known(self) -> list[ServerId]:
        """The ids of all backends."""
        return list(self._backends)

    def drop_idle(self, server: ServerId) -> None:
        """Close the idle connections to one backend."""
        backend = self._backends.get(server)
        if backend is not None:
            for connection in list(backend.idle):
                self._discard(connection)

    # ---- attempts ------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt; its end is told later, never from within this call."""
        backend = self._backends.get(attempt.server)
        if backend is None:
            self.loop.call_soon(self.end, attempt, Outcome.UNREACHABLE, None, "no such backend")
            return
        now = self.loop.time()
        while backend.idle:
            connection = backend.idle[-1]
            age = now - connection.idle_since
            if age >= self._idle_for or connection.transport is None or connection.transport.is_closing():
                self._discard(connection)
                continue
            if not attempt.repeatable and age >= self._trusted(now):
                break
            self.unpark(connection)
            self._busy[connection] = None
            connection.start(attempt)
            return
        attempt.task = self.loop.create_task(self._connect(backend, attempt))

    def reset_at_once(self, age: float) -> None:
        """A request was reset as soon as it was written, on a connection that had been idle for so long."""
        if age >= IDLE_AT_LEAST:
            self._crossings.append((self.loop.time(), age))
        else:
            # Guards against taking a backend that resets whatever comes for one that closes early: new
            # connections would cost it work and help nobody (incident r75d229).
            self._crossings.clear()

    def _trusted(self, now: float) -> float:
        """For how long a connection may have been idle if what is written to it must not be lost.

        Guards against backends, or what stands before them, that close idle connections long before the
        stated time: a request that crosses the close may have run. Those that are harmless to repeat go on
        using old connections, for a new one costs the backend work.
        """
        if len(self._crossings) < CROSSINGS or now - self._crossings[0][0] > CROSSINGS_FOR:
            return self._idle_for
        return 0.8 * min(age for _, age in self._crossings)

    async def _connect(self, backend: Backend, attempt: Attempt) -> None:
        connection = BackendConnection(self, backend)
        held = False
        try:
            async with asyncio.timeout(self._dial_timeout):
                while not held:
                    free = asyncio.Event()
                    held = self._descriptors.take_backend(free.set)
                    if not held:
                        await free.wait()
                await self.loop.create_connection(lambda: connection, *backend.dial)
        except (OSError, TimeoutError) as fault:
            what = "no descriptor free" if not held else str(fault) or "no connection in time"
            attempt.task = None
            self.end(attempt, Outcome.UNREACHABLE, None, what)
            return
        finally:
            if held and not connection.made:  # else it is given back when the connection is lost
                self._descriptors.give_backend()
        attempt.task = None
        if attempt.ended:
            connection.close()
            return
        if connection.transport is None:
            self.end(attempt, Outcome.UNREACHABLE, None, "lost as soon as it was made")
            return
        self._busy[connection] = None
        connection.start(attempt)

    def stop(self, attempt: Attempt) -> str:
        """Give an attempt up: its connection is closed, for the answer may still come on it.

        Returns how far it had come.
        """
        attempt.ended = True
        how_far = attempt.connection.progress() if attempt.connection is not None else "not connected"
        if attempt.task is not None:
            attempt.task.cancel()
            attempt.task = None
        if attempt.connection is not None:
            attempt.connection.close()
        return how_far

    def end(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """Tell the one end of an attempt."""
        if not attempt.ended:
            attempt.ended = True
            self.sink.attempt_ended(attempt, how, response, why)

    # ---- pools ---------------------------------------------------------------------------

    def park(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, unless its backend has moved on meanwhile."""
        backend = connection.backend
        self._busy.pop(connection, None)
        if not backend.usable or connection.dial != backend.dial or connection.born != backend.born:
            connection.close()
            return
        connection.idle_since = self.loop.time()
        backend.idle.append(connection)
        self._idle[connection] = None

    def unpark(self, connection: BackendConnection) -> None:
        """Take a connection out of the pool."""
        if connection in self._idle:
            del self._idle[connection]
            connection.backend.idle.remove(connection)

    def closed(self, connection: BackendConnection) -> None:
        """A connection is gone, and its descriptor with it."""
        self._busy.pop(connection, None)
        self.unpark(connection)
        self._descriptors.give_backend()

    def _discard(self, connection: BackendConnection) -> None:
        self.unpark(connection)
        connection.close()

    def _evict(self) -> bool:
        for connection in self._idle:
            self._discard(connection)
            return True
        return False

    def sweep(self) -> None:
        """Close what has been idle for long, and end answers that stopped coming."""
        now = self.loop.time()
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since > now - self._idle_for:
                break
            self._discard(connection)
        for connection in list(self._busy):
            connection.check(now)

    def counts(self) -> tuple[int, int]:
        """Connections in use and idle."""
        return len(self._busy), len(self._idle)


