"""Connections to backends: pools, attempts, and what their ends mean as an Outcome.

An attempt is written once, on one connection, and has exactly one end. Nothing here picks a backend,
sends an attempt again, or decides how long one may take.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, cast

from cometusher.budget import DescriptorBudget
from cometusher.config import Address
from cometusher.http1 import LAST_CHUNK, MAX_BODY, Malformed, Response, ResponseParser, chunk
from cometusher.runtime import Network
from cometusher.stream import BodyStream
from weldroute import Outcome
from weldroute.model import ServerId

log = logging.getLogger(__name__)

IDLE_TIMEOUT_FRACTION = 0.8  # of the time after which backends may close; a write that crosses that close is lost
IMMEDIATE_RESET_WINDOW = 0.05  # seconds in which a reset says that the connection was dead before it was written to
CLOSE_RACES, CLOSE_RACES_WINDOW = 3, 20.0  # so many such resets in so many seconds make idle connections suspect
MIN_RACE_IDLE_AGE = 0.1  # seconds; a reset of a younger connection, or of a new one, has another cause
ANSWER_STALL_TIMEOUT = 0.3  # seconds without a byte after which an answer that had begun to come has broken...
ANSWER_READ_TIMEOUT = 1.0  # ...and seconds from its first byte to its last, for one that is read whole
STREAM_DELAY_UNKNOWN_LENGTH = 0.35  # seconds after which an answer of unknown length goes on while it comes...
STREAM_DELAY_KNOWN_LENGTH = 0.03  # ...and the start of one that is said to be long: spoilt ones end before that
STREAM_STALL_TIMEOUT = 12.0  # seconds without a byte after which an answer that goes on while it comes has broken
LATE_SWEEP = 0.2  # seconds by which a sweep may be late and still tell silence from not having listened


class AttemptSink(Protocol):
    """Who is told of attempts."""

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt that had to wait for its connection may still be sent."""

    def request_head(self, attempt: Attempt) -> bytes:
        """The head of its request; asked for when it is written, for it tells what time is left."""

    def on_answer_started(self, attempt: Attempt, response: Response) -> bool:
        """A long answer has begun; whether it is to be passed on, by `answer_piece`, while it comes."""

    def on_answer_data(self, attempt: Attempt, piece: bytes) -> None:
        """The next bytes of it."""

    def on_attempt_ended(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """The one end of an attempt; with OK comes the answer."""


class Attempt:
    """One sending of one request to one backend."""

    __slots__ = (
        "body",
        "chunked",
        "connect_task",
        "connection",
        "ended",
        "expires_at",
        "head",
        "journal_index",
        "number",
        "owner",
        "repeatable",
        "sent_at",
        "server",
        "stream",
    )

    def __init__(self, owner: object, number: int, server: ServerId, sent: float, repeatable: bool) -> None:
        self.owner = owner
        self.number = number
        self.server = server
        self.sent_at = sent
        self.repeatable = repeatable  # harmless to repeat, so that a reset costs little
        self.expires_at = float("inf")  # when it is given up, before its request is
        self.head = b""  # once it is written
        self.body: bytearray | bytes = b""
        self.stream: BodyStream | None = None  # the body, where it is passed on while it comes...
        self.chunked = False  # ...and whether in chunks
        self.connection: BackendConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None  # connecting
        self.ended = False
        self.journal_index = -1  # where it is noted, if it is


class Backend:
    """One backend: where it is, since when, and its idle connections, the last used last."""

    __slots__ = ("address", "idle", "started_at", "usable")

    def __init__(self, dial: Address, born: float, usable: bool) -> None:
        self.address = dial
        self.started_at = born
        self.usable = usable
        self.idle: list[BackendConnection] = []


class BackendConnection(asyncio.Protocol):
    """One connection to a backend; carries one attempt at a time."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        self._pool = pool
        self.backend = backend
        self.address = backend.address
        self.backend_started_at = backend.started_at
        self.transport: asyncio.Transport | None = None
        self.connected = False
        self.use_count = 0
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.attempt_started_at = 0.0
        self.last_read_at = 0.0
        self._parser = ResponseParser()
        self._answer_started_at = 0.0  # when the first byte of the answer came; 0 while there is none
        self._streaming_answer = False  # the answer goes on while it comes
        self._reading_paused = False  # nothing is read, for the caller takes no more
        self._request_incomplete = False  # the last byte of the request is not written
        self._write_blocked = False  # the backend takes no more of the request
        self.bytes_read = self.bytes_written = 0  # bytes
        self.descriptor = -1
        self.connection_key = 0
        self.failure_domain = (0, 0)  # zone and cell of its server, as far as its name is asked for
        self._has_unread_data: Callable[[], bool] = lambda: False

    # ---- the transport's calls -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        self.connected = True
        self._has_unread_data = self._pool.network.pending(transport)

    def _write(self, data: bytes | bytearray) -> None:
        self.bytes_written += len(data)
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.bytes_read += len(data)
        if self.attempt is None:
            log.info("a backend sent %d bytes that nobody asked for; closing", len(data))
            self.close()
            return
        self.last_read_at = self._pool.loop.time()
        try:
            response = self._parser.feed(data)
        except Malformed as fault:
            self._fail(f"unreadable answer: {fault}")
        except Exception:
            log.exception("reading an answer failed")
            self._fail("unreadable answer")
        else:
            if response is not None:
                self._on_answered(self.attempt, response)
            elif self._parser.response is None:
                self._answer_started_at = 0.0  # 1xx answers don't count: the backend is still at work
            else:
                self._answer_started_at = self._answer_started_at or self.last_read_at
                self._try_streaming()

    def _try_streaming(self) -> None:
        """Let an answer go on while it comes, if it is a long one or comes slowly and may become long.

        Guards against holding back what callers wait for, and against holding long answers in memory. A short
        one of known length is read whole, for it can be had again elsewhere if it turns out spoilt.
        """
        response, attempt = self._parser.response, self.attempt
        if (
            response is None
            or attempt is None
            or self._streaming_answer
            or response.status != 200
            or not response.received
        ):
            return  # bytes of a body say that the head is whole
        held = self._pool.loop.time() - self._answer_started_at
        if response.received <= MAX_BODY:
            if response.length is None:
                if held <= STREAM_DELAY_UNKNOWN_LENGTH:
                    return
            elif response.length <= MAX_BODY:
                return
            elif held < STREAM_DELAY_KNOWN_LENGTH:
                self._pool.loop.call_later(STREAM_DELAY_KNOWN_LENGTH, self._retry_streaming, response)
                return
        if not self._pool.sink.on_answer_started(attempt, response):
            return
        if self.attempt is not attempt:
            return  # the caller has gone meanwhile
        self._streaming_answer = True
        first, response.body = bytes(response.body), bytearray()
        response.body_sink = self._forward
        self._forward(first)

    def _retry_streaming(self, response: Response) -> None:
        if self._parser.response is response:
            self._try_streaming()

    def _forward(self, piece: bytes) -> None:
        if self.attempt is not None:
            self._pool.sink.on_answer_data(self.attempt, piece)

    def set_reading_paused(self, held: bool) -> None:
        """Read no further, or read on."""
        self._reading_paused = held
        self.last_read_at = self._pool.loop.time()
        if self.transport is None or self.transport.is_closing():
            return
        if held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- a body that is passed on while it comes -----------------------------------------

    def pause_writing(self) -> None:
        self._write_blocked = True

    def resume_writing(self) -> None:
        self._write_blocked = False
        if self._request_incomplete and self.attempt is not None and self.attempt.stream is not None:
            self.attempt.stream.deliver()

    def can_accept(self) -> bool:
        """Whether the backend has room for more of the request."""
        return not self._write_blocked and self.transport is not None

    def write_body(self, piece: bytes) -> None:
        """Write the next bytes of the body."""
        if self.transport is not None and self.attempt is not None and piece:
            self._write(chunk(piece) if self.attempt.chunked else piece)

    def end_body(self) -> None:
        """The body is whole."""
        self._request_incomplete = False
        if self.transport is not None and self.attempt is not None and self.attempt.chunked:
            self._write(LAST_CHUNK)

    def eof_received(self) -> None:
        if self.attempt is not None:
            response = self._parser.finish()
            if response is not None:
                self._on_answered(self.attempt, response)
                return
        self._on_lost("the backend ended the connection")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._on_lost(f"connection lost: {exc}" if exc else "connection closed")
        self._pool.on_closed(self)

    # ---- the request ---------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        assert self.transport is not None
        self.assign(attempt)
        attempt.head = self._pool.sink.request_head(attempt)
        if self._pool.before_send is not None:
            self._pool.before_send(attempt)
        data = attempt.head + attempt.body
        self.bytes_written += len(data)
        self.transport.write(data)
        if attempt.stream is not None:
            self._request_incomplete = True
            attempt.stream.attach(self)

    def assign(self, attempt: Attempt) -> None:
        """What comes from here on is the answer to this attempt."""
        assert self.attempt is None
        self.attempt = attempt
        attempt.connection = self
        self.use_count += 1
        self.attempt_started_at = self.last_read_at = self._pool.loop.time()
        self._answer_started_at = 0.0

    def is_reusable(self) -> bool:
        """Whether an idle connection is still fit for a request.

        Guards against reading what has come since the last answer (a second copy of it, noise) as the answer
        to the next request, and against writing into a connection that the backend has ended: the event loop
        may not have told of either yet. Either shows as something to read.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not self._has_unread_data()

    def abort_body(self) -> None:
        """The rest of the body will never come: what is written is of no use to the backend."""
        self._fail("its body is lost")

    # ---- the answer ----------------------------------------------------------------------

    def _on_answered(self, attempt: Attempt, response: Response) -> None:
        early = self._request_incomplete
        self._release()
        if self._parser.has_surplus:
            log.info("more came than belongs to an answer; closing")
        if response.keep_alive and not early and not response.until_eof and not self._parser.has_surplus:
            self._pool.return_to_pool(self)
        else:
            self.close()
        how, why = classify(response)
        if early and how is Outcome.OK:
            how, why = Outcome.BROKEN, "answered before the request was whole"
        self._pool.finish(attempt, how, response, why)

    # ---- ends ----------------------------------------------------------------------------

    def _release(self) -> None:
        if self.attempt is not None:
            self.attempt.connection = None
            if self.attempt.stream is not None:
                self.attempt.stream.detach(self)
        self.attempt = None
        self._streaming_answer = self._request_incomplete = False
        if self._reading_paused:
            self.set_reading_paused(False)

    def _fail(self, why: str) -> None:
        """No answer can come of this any more; what else is on the connection is of no use."""
        self._on_lost(why)
        self.close()

    def _on_lost(self, why: str) -> None:
        """The connection is of no more use; ends the attempt on it, which may have run."""
        self._pool.remove_from_pool(self)
        attempt = self.attempt
        if attempt is None:
            return
        if (
            self.last_read_at == self.attempt_started_at
            and self._pool.loop.time() - self.attempt_started_at < IMMEDIATE_RESET_WINDOW
        ):
            self._pool.on_immediate_reset(self.attempt_started_at - self.idle_since if self.use_count > 1 else 0.0)
        response = self._parser.response
        unsent = self._request_incomplete
        self._release()
        if response is not None and self._parser.head_done and response.status != 200:
            self._pool.finish(attempt, *classify_head(response))
        elif unsent:
            # A backend begins a request with its last byte: this one never ran.
            self._pool.finish(attempt, Outcome.UNREACHABLE, None, f"{why} before the request was whole")
        else:
            self._pool.finish(attempt, Outcome.BROKEN, None, why)

    def check_stalled(self, now: float) -> None:
        """End an answer that began to come and stopped, or that comes in drops.

        Guards against waiting until the deadline for the rest of an answer that never comes, when there
        is still time to try again: a backend at work on an answer is never silent for so long. Harm: a
        network that holds back a part of an answer for longer looks like a broken one.
        """
        if self.attempt is None or not self._answer_started_at or self._reading_paused:
            return
        if self._streaming_answer:
            if now - self.last_read_at > STREAM_STALL_TIMEOUT:
                self._fail(f"the answer stopped coming: {self.progress()}")
        elif now - self.last_read_at > ANSWER_STALL_TIMEOUT or now - self._answer_started_at > ANSWER_READ_TIMEOUT:
            self._fail(f"the answer stopped coming: {self.progress()}")

    def progress(self) -> str:
        """How far the attempt has come, for the log."""
        used = "a used" if self.use_count > 1 else "a new"
        response = self._parser.response
        if response is None or not self._parser.head_done:
            return f"no whole head of an answer on {used} connection"
        return f"{response.received} of {response.length} bytes of an answer on {used} connection"

    def close(self) -> None:
        """Close at once; the attempt on it, if any, has been dealt with."""
        self._release()
        if self.transport is not None:
            self.transport.abort()


def classify_head(response: Response) -> tuple[Outcome, None, str]:
    """The outcome of an answer other than 200 of which only the head is whole."""
    how, why = classify(response)
    return how, None, why


def classify(response: Response) -> tuple[Outcome, str]:
    """The outcome that a whole answer stands for."""
    if response.status == 200:
        return Outcome.OK, ""
    if response.status in (503, 504) and (b"x-rejected", b"1") in response.headers:
        return Outcome.FULL, f"turned away with {response.status}"
    if 400 <= response.status < 500:
        return Outcome.REJECTED, f"status {response.status}"
    return Outcome.ERROR, f"status {response.status}"


class Backends:
    """All backends by id, and every connection to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        sink: AttemptSink,
        descriptors: DescriptorBudget,
        dial_timeout: float,
        idle_for: float,
    ) -> None:
        self.loop = loop
        self.network = network
        self.sink = sink
        self._descriptors = descriptors
        self._connect_timeout = dial_timeout
        self._idle_timeout = idle_for * IDLE_TIMEOUT_FRACTION if idle_for > 0.0 else 60.0
        self._backends: dict[ServerId, Backend] = {}
        self._owners: dict[Address, ServerId] = {}  # the last backend named at each address
        self._idle: dict[BackendConnection, None] = {}  # oldest first, over all backends
        self._busy: dict[BackendConnection, None] = {}
        self.connections_opened = 0  # connections, since the start
        self.before_send: Callable[[Attempt], None] | None = None  # told before an attempt is written
        self._takeover_tasks: set[asyncio.Task[None]] = set()
        self._close_races: deque[tuple[float, float]] = deque(maxlen=CLOSE_RACES)  # when, and how long idle
        self._last_sweep_at = 0.0  # when the last sweep was
        descriptors.evict_backend = self._evict

    # ---- the list ------------------------------------------------------------------------

    def update(self, server: ServerId, dial: Address, born: float, usable: bool) -> ServerId | None:
        """Discovery names a backend, or names it anew; returns one that is gone, as its address shows.

        Guards against requests to one backend reaching another: an address that a later one has taken over
        says that the earlier one is no more, whether or not discovery has told so yet. Its drains, its warmth
        and what is learned of it would be mistaken. Harm: two ids that share one address on purpose are
        taken for a succession, if they started at different times.
        """
        owner = self._owners.get(dial)
        if owner is not None and owner != server and self._backends[owner].started_at > born:
            self.forget(server)
            return server
        backend = self._backends.get(server)
        if backend is None:
            backend = self._backends[server] = Backend(dial, born, usable)
        elif dial != backend.address or born != backend.started_at or not usable:
            # Guards against requests into connections to a process that is no more.
            self.drop_idle(server)
            self._release_address(server, backend)
        backend.address, backend.started_at, backend.usable = dial, born, usable
        self._owners[dial] = server
        if owner is not None and owner != server and self._backends[owner].started_at < born:
            self.forget(owner)
            return owner
        return None

    def _release_address(self, server: ServerId, backend: Backend) -> None:
        if self._owners.get(backend.address) == server:
            del self._owners[backend.address]

    def forget(self, server: ServerId) -> None:
        """Discovery no longer names it."""
        self.drop_idle(server)
        backend = self._backends.pop(server, None)
        if backend is not None:
            backend.usable = False  # connections still in use are closed, not parked
            self._release_address(server, backend)

    def server_ids(self) -> list[ServerId]:
        """The ids of all backends."""
        return list(self._backends)

    def address_of(self, server: ServerId) -> Address | None:
        """Where it is."""
        backend = self._backends.get(server)
        return backend.address if backend is not None else None

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
            self.loop.call_soon(self.finish, attempt, Outcome.UNREACHABLE, None, "no such backend")
            return
        now = self.loop.time()
        # Guards against losing a repeat to the next dead connection: one that must not be lost and has been
        # broken once goes out on a new one. Harm: the work of a handshake for each such repeat.
        fresh = attempt.number > 0 and not attempt.repeatable
        while backend.idle and not fresh:
            connection = backend.idle[-1]
            age = now - connection.idle_since
            if age >= self._idle_timeout or not connection.is_reusable():
                self._discard(connection)
                continue
            if not attempt.repeatable and age >= self._trusted_idle_age(now):
                break
            self.remove_from_pool(connection)
            self._busy[connection] = None
            connection.send(attempt)
            return
        self.connections_opened += 1
        attempt.connect_task = self.loop.create_task(self._connect(backend, attempt))

    def take_over(self, attempt: Attempt, connection: Any, wrote: int, read: int) -> None:
        """Go on with an attempt that another process has sent, on its connection (as `Network.attach` takes it).

        Its descriptor is counted already.
        """
        backend = self._backends.get(attempt.server) or Backend(("", 0), 0.0, usable=False)
        protocol = BackendConnection(self, backend)
        protocol.bytes_written, protocol.bytes_read = wrote, read
        protocol.assign(attempt)
        self._busy[protocol] = None
        task = self.loop.create_task(self._attach(protocol, attempt, connection))
        self._takeover_tasks.add(task)
        task.add_done_callback(self._takeover_tasks.discard)

    async def _attach(self, protocol: BackendConnection, attempt: Attempt, connection: Any) -> None:
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            if not protocol.connected:
                connection.close()
                self.on_closed(protocol)
            self.finish(attempt, Outcome.BROKEN, None, f"not taken over: {fault}")
        if attempt.ended:  # meanwhile
            protocol.close()

    def on_immediate_reset(self, age: float) -> None:
        """A request was reset as soon as it was written, on a connection that had been idle for so long."""
        if age >= MIN_RACE_IDLE_AGE:
            self._close_races.append((self.loop.time(), age))
        else:
            # Guards against taking a backend that resets whatever comes for one that closes early: new
            # connections would cost it work and help nobody (incident r75d229).
            # One at a time: where both kinds come, the early closers still show.
            if self._close_races:
                self._close_races.popleft()

    def _trusted_idle_age(self, now: float) -> float:
        """For how long a connection may have been idle if what is written to it must not be lost.

        Guards against backends, or what stands before them, that close idle connections long before the
        stated time: a request that crosses the close may have run. Those that are harmless to repeat go on
        using old connections, for a new one costs the backend work.
        """
        if len(self._close_races) < CLOSE_RACES or now - self._close_races[0][0] > CLOSE_RACES_WINDOW:
            return self._idle_timeout
        return 0.8 * min(age for _, age in self._close_races)

    async def _connect(self, backend: Backend, attempt: Attempt) -> None:
        connection = BackendConnection(self, backend)
        held = False
        try:
            async with asyncio.timeout(self._connect_timeout):
                while not held:
                    free = asyncio.Event()
                    held = self._descriptors.acquire_backend(free.set)
                    if not held:
                        await free.wait()
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError) as fault:
            what = "no descriptor free" if not held else str(fault) or "no connection in time"
            attempt.connect_task = None
            self.finish(attempt, Outcome.UNREACHABLE, None, what)
            return
        finally:
            if held and not connection.connected:  # else it is given back when the connection is lost
                self._descriptors.release_backend()
        attempt.connect_task = None
        if attempt.ended:
            connection.close()
            return
        if connection.transport is None:
            self.finish(attempt, Outcome.UNREACHABLE, None, "lost as soon as it was made")
            return
        if not self.sink.may_start(attempt):
            # Guards against what has changed while the connection came up: see `Balancer.permits`.
            self.return_to_pool(connection)
            self.finish(attempt, Outcome.VOID, None, "no longer wanted when its connection was up")
            return
        self._busy[connection] = None
        connection.send(attempt)

    def cancel(self, attempt: Attempt) -> str:
        """Give an attempt up: its connection is closed, for the answer may still come on it.

        Returns how far it had come.
        """
        attempt.ended = True
        how_far = attempt.connection.progress() if attempt.connection is not None else "not connected"
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()
            attempt.connect_task = None
        if attempt.connection is not None:
            attempt.connection.close()
        return how_far

    def finish(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """Tell the one end of an attempt."""
        if not attempt.ended:
            attempt.ended = True
            self.sink.on_attempt_ended(attempt, how, response, why)

    # ---- pools ---------------------------------------------------------------------------

    def return_to_pool(self, connection: BackendConnection) -> None:
        """Keep a connection for the next attempt, unless its backend has moved on meanwhile."""
        backend = connection.backend
        self._busy.pop(connection, None)
        if (
            not backend.usable
            or connection.address != backend.address
            or connection.backend_started_at != backend.started_at
        ):
            connection.close()
            return
        connection.idle_since = self.loop.time()
        backend.idle.append(connection)
        self._idle[connection] = None

    def remove_from_pool(self, connection: BackendConnection) -> None:
        """Take a connection out of the pool."""
        if connection in self._idle:
            del self._idle[connection]
            connection.backend.idle.remove(connection)

    def on_closed(self, connection: BackendConnection) -> None:
        """A connection is gone, and its descriptor with it."""
        self._busy.pop(connection, None)
        self.remove_from_pool(connection)
        self._descriptors.release_backend()

    def _discard(self, connection: BackendConnection) -> None:
        self.remove_from_pool(connection)
        connection.close()

    def _evict(self) -> bool:
        for connection in self._idle:
            self._discard(connection)
            return True
        return False

    def sweep(self) -> None:
        """Close what has been idle for long, and end answers that stopped coming."""
        now = self.loop.time()
        late, self._last_sweep_at = now - self._last_sweep_at > LATE_SWEEP, now
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since > now - self._idle_timeout:
                break
            self._discard(connection)
        if late:
            return  # the process was held up: answers may have come that have not been read
        for connection in list(self._busy):
            connection.check_stalled(now)

    def idle_servers(self) -> dict[ServerId, int]:
        """Idle connections by the backends that have any."""
        return {server: len(backend.idle) for server, backend in self._backends.items() if backend.idle}

    def counts(self) -> tuple[int, int]:
        """Connections in use and idle."""
        return len(self._busy), len(self._idle)
