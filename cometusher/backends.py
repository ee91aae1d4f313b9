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

from cometusher.budget import Descriptors
from cometusher.config import Address
from cometusher.http1 import LAST_CHUNK, MAX_BODY, Malformed, Response, ResponseParser, chunk
from cometusher.runtime import Network
from cometusher.stream import BodyStream
from weldroute import Outcome
from weldroute.model import ServerId

log = logging.getLogger(__name__)

IDLE_PART = 0.8  # of the time after which backends may close; a write that crosses that close is lost
AT_ONCE = 0.05  # seconds in which a reset says that the connection was dead before it was written to
CROSSINGS, CROSSINGS_FOR = 3, 20.0  # so many such resets in so many seconds make idle connections suspect
IDLE_AT_LEAST = 0.1  # seconds; a reset of a younger connection, or of a new one, has another cause
ANSWER_STALL = 0.3  # seconds without a byte after which an answer that had begun to come has broken...
ANSWER_TIME = 1.0  # ...and seconds from its first byte to its last, for one that is read whole
HOLD = 0.35  # seconds after which an answer of unknown length goes on while it comes...
HOLD_LONG = 0.03  # ...and the start of one that is said to be long: spoilt ones end before that
PASS_STALL = 12.0  # seconds without a byte after which an answer that goes on while it comes has broken
LATE = 0.2  # seconds by which a sweep may be late and still tell silence from not having listened


class AttemptSink(Protocol):
    """Who is told of attempts."""

    def may_begin(self, attempt: Attempt) -> bool:
        """Whether an attempt that had to wait for its connection may still be sent."""

    def request_head(self, attempt: Attempt) -> bytes:
        """The head of its request; asked for when it is written, for it tells what time is left."""

    def answer_begun(self, attempt: Attempt, response: Response) -> bool:
        """A long answer has begun; whether it is to be passed on, by `answer_piece`, while it comes."""

    def answer_piece(self, attempt: Attempt, piece: bytes) -> None:
        """The next bytes of it."""

    def attempt_ended(self, attempt: Attempt, how: Outcome, response: Response | None, why: str) -> None:
        """The one end of an attempt; with OK comes the answer."""


class Attempt:
    """One sending of one request to one backend."""

    __slots__ = (
        "body",
        "chunked",
        "connection",
        "ended",
        "expires",
        "head",
        "number",
        "owner",
        "place",
        "repeatable",
        "sent",
        "server",
        "stream",
        "task",
    )

    def __init__(self, owner: object, number: int, server: ServerId, sent: float, repeatable: bool) -> None:
        self.owner = owner
        self.number = number
        self.server = server
        self.sent = sent
        self.repeatable = repeatable  # harmless to repeat, so that a reset costs little
        self.expires = float("inf")  # when it is given up, before its request is
        self.head = b""  # once it is written
        self.body: bytearray | bytes = b""
        self.stream: BodyStream | None = None  # the body, where it is passed on while it comes...
        self.chunked = False  # ...and whether in chunks
        self.connection: BackendConnection | None = None
        self.task: asyncio.Task[None] | None = None  # connecting
        self.ended = False
        self.place = -1  # where it is noted, if it is


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
        self.idle_since = 0.0
        self.started = 0.0
        self.heard = 0.0
        self._parser = ResponseParser()
        self._begun = 0.0  # when the first byte of the answer came; 0 while there is none
        self._passing = False  # the answer goes on while it comes
        self._held = False  # nothing is read, for the caller takes no more
        self._unsent = False  # the last byte of the request is not written
        self._full = False  # the backend takes no more of the request
        self.read = self.wrote = 0  # bytes
        self.descriptor = -1
        self.name = 0
        self.domain = (0, 0)  # zone and cell of its server, as far as its name is asked for
        self._pending: Callable[[], bool] = lambda: False

    # ---- the transport's calls -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self.transport = transport
        self.made = True
        self._pending = self._pool.network.pending(transport)

    def _write(self, data: bytes | bytearray) -> None:
        self.wrote += len(data)
        assert self.transport is not None
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self.read += len(data)
        if self.attempt is None:
            log.info("a backend sent %d bytes that nobody asked for; closing", len(data))
            self.close()
            return
        self.heard = self._pool.loop.time()
        try:
            response = self._parser.feed(data)
        except Malformed as fault:
            self._spoilt(f"unreadable answer: {fault}")
        except Exception:
            log.exception("reading an answer failed")
            self._spoilt("unreadable answer")
        else:
            if response is not None:
                self._answered(self.attempt, response)
            elif self._parser.response is None:
                self._begun = 0.0  # 1xx answers don't count: the backend is still at work
            else:
                self._begun = self._begun or self.heard
                self._pass_on()

    def _pass_on(self) -> None:
        """Let an answer go on while it comes, if it is a long one or comes slowly and may become long.

        Guards against holding back what callers wait for, and against holding long answers in memory. A short
        one of known length is read whole, for it can be had again elsewhere if it turns out spoilt.
        """
        response, attempt = self._parser.response, self.attempt
        if response is None or attempt is None or self._passing or response.status != 200 or not response.received:
            return  # bytes of a body say that the head is whole
        held = self._pool.loop.time() - self._begun
        if response.received <= MAX_BODY:
            if response.length is None:
                if held <= HOLD:
                    return
            elif response.length <= MAX_BODY:
                return
            elif held < HOLD_LONG:
                self._pool.loop.call_later(HOLD_LONG, self._pass_on_later, response)
                return
        if not self._pool.sink.answer_begun(attempt, response):
            return
        if self.attempt is not attempt:
            return  # the caller has gone meanwhile
        self._passing = True
        first, response.body = bytes(response.body), bytearray()
        response.sink = self._piece
        self._piece(first)

    def _pass_on_later(self, response: Response) -> None:
        if self._parser.response is response:
            self._pass_on()

    def _piece(self, piece: bytes) -> None:
        if self.attempt is not None:
            self._pool.sink.answer_piece(self.attempt, piece)

    def hold(self, held: bool) -> None:
        """Read no further, or read on."""
        self._held = held
        self.heard = self._pool.loop.time()
        if self.transport is None or self.transport.is_closing():
            return
        if held:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- a body that is passed on while it comes -----------------------------------------

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        if self._unsent and self.attempt is not None and self.attempt.stream is not None:
            self.attempt.stream.push()

    def takes_more(self) -> bool:
        """Whether the backend has room for more of the request."""
        return not self._full and self.transport is not None

    def take_piece(self, piece: bytes) -> None:
        """Write the next bytes of the body."""
        if self.transport is not None and self.attempt is not None and piece:
            self._write(chunk(piece) if self.attempt.chunked else piece)

    def take_end(self) -> None:
        """The body is whole."""
        self._unsent = False
        if self.transport is not None and self.attempt is not None and self.attempt.chunked:
            self._write(LAST_CHUNK)

    def eof_received(self) -> None:
        if self.attempt is not None:
            response = self._parser.finish()
            if response is not None:
                self._answered(self.attempt, response)
                return
        self._lost("the backend ended the connection")

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None
        self._lost(f"connection lost: {exc}" if exc else "connection closed")
        self._pool.closed(self)

    # ---- the request ---------------------------------------------------------------------

    def start(self, attempt: Attempt) -> None:
        """Write an attempt's request."""
        assert self.transport is not None
        self.carry(attempt)
        attempt.head = self._pool.sink.request_head(attempt)
        if self._pool.goes_out is not None:
            self._pool.goes_out(attempt)
        data = attempt.head + attempt.body
        self.wrote += len(data)
        self.transport.write(data)
        if attempt.stream is not None:
            self._unsent = True
            attempt.stream.attach(self)

    def carry(self, attempt: Attempt) -> None:
        """What comes from here on is the answer to this attempt."""
        assert self.attempt is None
        self.attempt = attempt
        attempt.connection = self
        self.uses += 1
        self.started = self.heard = self._pool.loop.time()
        self._begun = 0.0

    def clean(self) -> bool:
        """Whether an idle connection is still fit for a request.

        Guards against reading what has come since the last answer (a second copy of it, noise) as the answer
        to the next request, and against writing into a connection that the backend has ended: the event loop
        may not have told of either yet. Either shows as something to read.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not self._pending()

    def take_loss(self) -> None:
        """The rest of the body will never come: what is written is of no use to the backend."""
        self._spoilt("its body is lost")

    # ---- the answer ----------------------------------------------------------------------

    def _answered(self, attempt: Attempt, response: Response) -> None:
        early = self._unsent
        self._release()
        if self._parser.surplus:
            log.info("more came than belongs to an answer; closing")
        if response.keep_alive and not early and not response.until_eof and not self._parser.surplus:
            self._pool.park(self)
        else:
            self.close()
        how, why = classify(response)
        if early and how is Outcome.OK:
            how, why = Outcome.BROKEN, "answered before the request was whole"
        self._pool.end(attempt, how, response, why)

    # ---- ends ----------------------------------------------------------------------------

    def _release(self) -> None:
        if self.attempt is not None:
            self.attempt.connection = None
            if self.attempt.stream is not None:
                self.attempt.stream.detach(self)
        self.attempt = None
        self._passing = self._unsent = False
        if self._held:
            self.hold(False)

    def _spoilt(self, why: str) -> None:
        """No answer can come of this any more; what else is on the connection is of no use."""
        self._lost(why)
        self.close()

    def _lost(self, why: str) -> None:
        """The connection is of no more use; ends the attempt on it, which may have run."""
        self._pool.unpark(self)
        attempt = self.attempt
        if attempt is None:
            return
        if self.heard == self.started and self._pool.loop.time() - self.started < AT_ONCE:
            self._pool.reset_at_once(self.started - self.idle_since if self.uses > 1 else 0.0)
        response = self._parser.response
        unsent = self._unsent
        self._release()
        if response is not None and self._parser.head_done and response.status != 200:
            self._pool.end(attempt, *cut_short(response))
        elif unsent:
            # A backend begins a request with its last byte: this one never ran.
            self._pool.end(attempt, Outcome.UNREACHABLE, None, f"{why} before the request was whole")
        else:
            self._pool.end(attempt, Outcome.BROKEN, None, why)

    def check(self, now: float) -> None:
        """End an answer that began to come and stopped, or that comes in drops.

        Guards against waiting until the deadline for the rest of an answer that never comes, when there
        is still time to try again: a backend at work on an answer is never silent for so long. Harm: a
        network that holds back a part of an answer for longer looks like a broken one.
        """
        if self.attempt is None or not self._begun or self._held:
            return
        if self._passing:
            if now - self.heard > PASS_STALL:
                self._spoilt(f"the answer stopped coming: {self.progress()}")
        elif now - self.heard > ANSWER_STALL or now - self._begun > ANSWER_TIME:
            self._spoilt(f"the answer stopped coming: {self.progress()}")

    def progress(self) -> str:
        """How far the attempt has come, for the log."""
        used = "a used" if self.uses > 1 else "a new"
        response = self._parser.response
        if response is None or not self._parser.head_done:
            return f"no whole head of an answer on {used} connection"
        return f"{response.received} of {response.length} bytes of an answer on {used} connection"

    def close(self) -> None:
        """Close at once; the attempt on it, if any, has been dealt with."""
        self._release()
        if self.transport is not None:
            self.transport.abort()


def cut_short(response: Response) -> tuple[Outcome, None, str]:
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
        descriptors: Descriptors,
        dial_timeout: float,
        idle_for: float,
    ) -> None:
        self.loop = loop
        self.network = network
        self.sink = sink
        self._descriptors = descriptors
        self._dial_timeout = dial_timeout
        self._idle_for = idle_for * IDLE_PART if idle_for > 0.0 else 60.0
        self._backends: dict[ServerId, Backend] = {}
        self._owners: dict[Address, ServerId] = {}  # the last backend named at each address
        self._idle: dict[BackendConnection, None] = {}  # oldest first, over all backends
        self._busy: dict[BackendConnection, None] = {}
        self.opened = 0  # connections, since the start
        self.goes_out: Callable[[Attempt], None] | None = None  # told before an attempt is written
        self._joining: set[asyncio.Task[None]] = set()
        self._crossings: deque[tuple[float, float]] = deque(maxlen=CROSSINGS)  # when, and how long idle
        self._swept = 0.0  # when the last sweep was
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
        if owner is not None and owner != server and self._backends[owner].born > born:
            self.forget(server)
            return server
        backend = self._backends.get(server)
        if backend is None:
            backend = self._backends[server] = Backend(dial, born, usable)
        elif dial != backend.dial or born != backend.born or not usable:
            # Guards against requests into connections to a process that is no more.
            self.drop_idle(server)
            self._disown(server, backend)
        backend.dial, backend.born, backend.usable = dial, born, usable
        self._owners[dial] = server
        if owner is not None and owner != server and self._backends[owner].born < born:
            self.forget(owner)
            return owner
        return None

    def _disown(self, server: ServerId, backend: Backend) -> None:
        if self._owners.get(backend.dial) == server:
            del self._owners[backend.dial]

    def forget(self, server: ServerId) -> None:
        """Discovery no longer names it."""
        self.drop_idle(server)
        backend = self._backends.pop(server, None)
        if backend is not None:
            backend.usable = False  # connections still in use are closed, not parked
            self._disown(server, backend)

    def known(self) -> list[ServerId]:
        """The ids of all backends."""
        return list(self._backends)

    def dial(self, server: ServerId) -> Address | None:
        """Where it is."""
        backend = self._backends.get(server)
        return backend.dial if backend is not None else None

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
        # Guards against losing a repeat to the next dead connection: one that must not be lost and has been
        # broken once goes out on a new one. Harm: the work of a handshake for each such repeat.
        fresh = attempt.number > 0 and not attempt.repeatable
        while backend.idle and not fresh:
            connection = backend.idle[-1]
            age = now - connection.idle_since
            if age >= self._idle_for or not connection.clean():
                self._discard(connection)
                continue
            if not attempt.repeatable and age >= self._trusted(now):
                break
            self.unpark(connection)
            self._busy[connection] = None
            connection.start(attempt)
            return
        self.opened += 1
        attempt.task = self.loop.create_task(self._connect(backend, attempt))

    def join(self, attempt: Attempt, connection: Any, wrote: int, read: int) -> None:
        """Go on with an attempt that another process has sent, on its connection (as `Network.attach` takes it).

        Its descriptor is counted already.
        """
        backend = self._backends.get(attempt.server) or Backend(("", 0), 0.0, usable=False)
        protocol = BackendConnection(self, backend)
        protocol.wrote, protocol.read = wrote, read
        protocol.carry(attempt)
        self._busy[protocol] = None
        task = self.loop.create_task(self._take_up(protocol, attempt, connection))
        self._joining.add(task)
        task.add_done_callback(self._joining.discard)

    async def _take_up(self, protocol: BackendConnection, attempt: Attempt, connection: Any) -> None:
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            if not protocol.made:
                connection.close()
                self.closed(protocol)
            self.end(attempt, Outcome.BROKEN, None, f"not taken over: {fault}")
        if attempt.ended:  # meanwhile
            protocol.close()

    def reset_at_once(self, age: float) -> None:
        """A request was reset as soon as it was written, on a connection that had been idle for so long."""
        if age >= IDLE_AT_LEAST:
            self._crossings.append((self.loop.time(), age))
        else:
            # Guards against taking a backend that resets whatever comes for one that closes early: new
            # connections would cost it work and help nobody (incident r75d229).
            # One at a time: where both kinds come, the early closers still show.
            if self._crossings:
                self._crossings.popleft()

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
        if not self.sink.may_begin(attempt):
            # Guards against what has changed while the connection came up: see `Balancer.permits`.
            self.park(connection)
            self.end(attempt, Outcome.VOID, None, "no longer wanted when its connection was up")
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
        late, self._swept = now - self._swept > LATE, now
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since > now - self._idle_for:
                break
            self._discard(connection)
        if late:
            return  # the process was held up: answers may have come that have not been read
        for connection in list(self._busy):
            connection.check(now)

    def idle_servers(self) -> dict[ServerId, int]:
        """Idle connections by the backends that have any."""
        return {server: len(backend.idle) for server, backend in self._backends.items() if backend.idle}

    def counts(self) -> tuple[int, int]:
        """Connections in use and idle."""
        return len(self._busy), len(self._idle)
