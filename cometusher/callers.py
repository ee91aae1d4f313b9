"""The side of the callers: the listener, their connections, reading requests and writing answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from cometusher.budget import BodyMemory, Descriptors
from cometusher.http1 import (
    CONTINUE,
    LAST_CHUNK,
    MAX_BODY,
    MAX_STREAM,
    Headers,
    Malformed,
    Request,
    RequestParser,
    chunk,
    response_head,
)
from cometusher.runtime import Listener, Network
from cometusher.stream import KEPT, BodyStream
from weldroute.operations import ListenerState

if TYPE_CHECKING:
    from cometusher.inflight.tracker import Hand

log = logging.getLogger(__name__)

ACCEPTS = 64  # at one wake-up, so that accepting can't starve what is under way
REQUEST_TIME = 2.3  # seconds for a head, from its first byte or, for the first, from connecting
BODY_STALL = 1.5  # seconds in which nothing comes of a body
BODY_RATE = 16 * 1024  # bytes a second of a body, on average...
BODY_START = 2.0  # ...after so many seconds
WRITE_STALL = 5.0  # seconds in which a caller takes nothing of an answer
PASS_STALL = 12.0  # ...and of one that is passed on while it comes: windows of slow readers open in large steps
IDLE_TIMEOUT = 10.0  # seconds between requests...
IDLE_CROWDED = 2.1  # ...and while callers hold more than half of their descriptors
EVICT_SILENT = 0.15  # seconds after which one that has said nothing makes room for others...
EVICT_PARTIAL = 1.0  # ...and one with a part of its first request
EVICT_ENDING = 0.1  # ...and one that only lingers
EVICT_MOST = 16  # of those at once: they come by hundreds
LINGER = 0.5  # seconds in which what a caller still writes is read and dropped
LINGER_BYTES = 256 * 1024  # and how much of it
LINGER_BODY = 30.0  # seconds in which the rest of a body that nobody wants is read and dropped


class Taken(Protocol):
    """A request that was handed on, as its connection sees it."""

    def caller_left(self) -> None:
        """The caller is gone; nothing can be answered any more."""

    def body_whole(self) -> None:
        """The last byte of a body that was passed on while it came has come."""

    def answer_held(self, held: bool) -> None:
        """The caller takes no more for now, or takes more again."""


class RequestHandler(Protocol):
    """Who takes requests."""

    def take(self, caller: CallerConnection, request: Request) -> Taken | None:
        """A whole request; None if it was answered at once."""


class CallerConnection(asyncio.Protocol):
    """One caller's connection: one request at a time.

    Guards against requests whose end is not where their sender thinks. What comes behind a request before
    its answer is taken as a sign of that, and both are turned away: a wrong length would otherwise send a cut
    body on and make a request of the rest. Harm: a caller that writes requests ahead (pipelining, which the
    protocol does not have) gets an error.
    """

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._whole: Request | None = None  # not yet handed on
        self._request: Request | None = None  # handed on and not yet answered
        self._taken: Taken | None = None
        self._closing = False
        self._closes = False  # the answer being passed on ends the connection
        self._dropped = 0  # bytes read and dropped while lingering
        self._linger_until = 0.0
        self._heard = 0.0  # when bytes came last
        self._head_at = 0.0  # when the head of the request being read was whole
        self._chunked = False  # the answer being passed on
        self._passing = False  # an answer has begun and goes on
        self._unread = 0  # bytes that wait to be taken by the caller, when last looked at
        self._rest_lost = False  # of the request that is handed on a rest comes that nobody wants
        self.carried = False  # a whole request has come on it
        self.since = 0.0  # of the present state, for time limits
        # What covers it, if anything does: see `cometusher.inflight`.
        self.read = self.wrote = 0  # bytes
        self.descriptor = self.slot = -1
        self.name = 0
        self.raw = b""  # the request that came last, if it came in one piece
        self.up: Callable[[CallerConnection], None] | None = None  # to be done when it is up, before it is read
        self._peer_ended: Callable[[], bool] | None = None  # made when first asked
        self._pending: Callable[[], bool] | None = None  # likewise

    # ---- the transport's calls -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self._transport = transport
        self.since = self._callers.loop.time()
        self._callers.opened(self)
        if self.up is not None:
            up, self.up = self.up, None
            up(self)

    @property
    def transport(self) -> asyncio.Transport | None:
        """Its transport, while it is up."""
        return self._transport

    def _write(self, data: bytes) -> None:
        self.wrote += len(data)
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._heard = self._callers.loop.time()
        self.read += len(data)
        if self._closing:
            self._drop(len(data))
            return
        if self._request is None and not self.mid_request:
            # The first request's time counts from connecting, or a caller could put it off for good.
            if self.carried:
                self.since = self._heard
            self._callers.not_idle(self)
            if self._callers.hand is not None:
                self.raw = data
        else:
            self.raw = b""
        try:
            self._parser.feed(data)
        except Malformed as fault:
            self.turn_away(fault)
        except Exception:
            log.exception("reading a request failed")
            self.turn_away(Malformed(400, "unreadable"))
        else:
            self._hand_on()
            if self.idle:
                self._callers.now_idle(self)  # nothing but line breaks, or answered at once

    def _drop(self, count: int) -> None:
        """Read and drop, so that closing does not destroy the answer on its way; but not without end."""
        self._dropped += count
        limit = MAX_STREAM if self._linger_until else LINGER_BYTES
        if self._dropped > limit and self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def eof_received(self) -> None:
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._leave()
        self._callers.closed(self)

    def pause_writing(self) -> None:
        self.since = self._callers.loop.time()
        if self._passing and self._taken is not None:
            self._taken.answer_held(True)

    def resume_writing(self) -> None:
        self.since = self._callers.loop.time()
        if self._passing and self._taken is not None:
            self._taken.answer_held(False)

    # ---- a body that is passed on while it comes -----------------------------------------

    def hold_body(self) -> None:
        """Read no further."""
        if self._transport is not None:
            self._transport.pause_reading()

    def more_body(self) -> None:
        """Read on."""
        self._heard = self._callers.loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # ---- reading -------------------------------------------------------------------------

    @property
    def mid_request(self) -> bool:
        """Whether a request has begun to come and is not whole."""
        return self._parser.current is not None

    @property
    def partial(self) -> bool:
        """Whether nothing but a request that is not whole is on this connection."""
        return self.mid_request and self._request is None

    @property
    def idle(self) -> bool:
        """Between requests."""
        return self._request is None and not self._closing and not self.mid_request

    def on_request_begin(self) -> None:
        if self._request is not None or self._whole is not None:
            raise Malformed(400, "more before the answer to a request")

    def on_request_head(self, request: Request) -> None:
        self._head_at = self._heard
        if request.method not in (b"GET", b"POST"):
            raise Malformed(405, "method not allowed")
        room = MAX_BODY if request.length is None else request.length
        if room > MAX_BODY:
            room = KEPT
        if not self._callers.memory.take(room):
            raise Malformed(503, "no memory for bodies")
        request.charged = room
        expect = request.header(b"expect")
        if expect is not None and not request.http10:
            if expect.lower() != b"100-continue":
                raise Malformed(417, "unknown expectation")
            if self._transport is not None and request.length != 0:
                self._write(CONTINUE)

    def on_large(self, request: Request) -> None:
        if not self._callers.memory.take(KEPT - request.charged):
            raise Malformed(503, "no memory for bodies")
        request.charged = KEPT
        first, request.body = bytes(request.body), bytearray()
        request.stream = BodyStream(self, first)
        self._speaks()
        self._whole = request

    def on_request(self, request: Request) -> None:
        if request.stream is not None:
            request.stream.finish()
            if self._request is request and self._taken is not None:
                self._taken.body_whole()
            return
        self._speaks()
        self._callers.memory.give(request.charged - len(request.body))
        request.charged = len(request.body)
        self._whole = request

    def _speaks(self) -> None:
        if not self.carried:
            self._callers.speaks(self)
        self.carried = True

    def _forget(self, request: Request) -> None:
        """Let go of a request's body."""
        self._callers.memory.give(request.charged)
        request.charged = 0
        request.body = bytearray()
        if request.stream is not None:
            request.stream.drop()

    def _drop_partial(self) -> None:
        current, self._parser.current = self._parser.current, None
        if current is not None:
            self._forget(current)

    def _hand_on(self) -> None:
        request, self._whole = self._whole, None
        if request is None:
            return
        self._request = request
        taken = self._callers.handler.take(self, request)
        if self._request is request:
            self._taken = taken

    def _refuse_malformed(self, fault: Malformed) -> None:
        log.info("malformed request: %d %s", fault.status, fault)
        body = f"{fault}\n".encode()
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        if fault.status == 405:
            headers.append((b"allow", b"GET, POST"))
        self._write(response_head(fault.status, headers, True) + body)
        self._linger()

    def _linger(self) -> None:
        # Closing with bytes unread resets the connection, which can destroy the answer under way.
        self._closing = True
        transport = self._transport
        assert transport is not None
        self.since = self._callers.loop.time()
        self._callers.now_ending(self)
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()

    # ---- answering -----------------------------------------------------------------------

    def begin_answer(self, status: int, headers: Headers, length: int | None) -> None:
        """Write the head of an answer whose body follows in pieces."""
        close = self._must_close()
        assert self._request is not None
        self._chunked = length is None and not self._request.http10
        self._passing = True
        self._unread = 0
        self.since = self._callers.loop.time()
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        elif self._chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            close = True  # its end is the connection's
        self._closes = close
        if self._callers.hand is not None:
            self._callers.hand.passes(self)
        if self._transport is not None:
            self._write(response_head(status, headers, close))

    def pass_on(self, piece: bytes) -> None:
        """Write a piece of the answer that has begun."""
        if self._transport is not None and piece:
            self._write(chunk(piece) if self._chunked else piece)

    def end_answer(self) -> None:
        """The answer that has begun is whole."""
        self._passing = False
        if self._transport is not None and self._chunked:
            self._write(LAST_CHUNK)
        self._answered(self._closes)

    def cut_answer(self) -> None:
        """The answer that has begun can't be finished: the caller sees that by a reset."""
        self._passing = False
        self._finish_request()
        self._closing = True
        if self._callers.hand is not None:
            self._callers.hand.leaves(self)
        if self._transport is not None:
            self._callers.network.abort(self._transport)

    def answer(self, status: int, headers: Headers, body: bytes | bytearray, noted: bool = False) -> None:
        """Write the answer to the request that is handed on; `noted` if that is covered."""
        close = self._must_close()
        if self._transport is not None:
            headers.append((b"content-length", b"%d" % len(body)))
            data = response_head(status, headers, close) + body
            if noted and self._callers.hand is not None:
                assert self._request is not None
                self._callers.hand.answers(self, self._request, data, close)
            self.wrote += len(data)
            self._transport.write(data)
        self._answered(close)

    def turn_away(self, fault: Malformed) -> None:
        """Tell a caller that what it sent can't be used, and end the connection.

        Guards against callers that send the same again as soon as they are told no: what else they have
        written is dropped, and the next try costs them a connection. Harm: a caller with one odd request
        in a hundred opens a connection for each.
        """
        passing = self._passing
        self._leave()
        if self._transport is None:
            return
        if passing:
            log.info("malformed in the middle of an answer: %d %s", fault.status, fault)
            self._transport.abort()
        else:
            self._refuse_malformed(fault)

    def release_body(self) -> None:
        """The body of the request that is handed on is of no more use."""
        if self._request is not None:
            self._forget(self._request)

    def _must_close(self) -> bool:
        assert self._request is not None
        if self._parser.current is self._request or self._rest_lost:
            return True  # the rest of a body that nobody wants any more
        return not self._request.keep_alive or self._callers.posture.closes_after_answer or self._callers.crowded

    def _finish_request(self) -> None:
        self.release_body()
        self.raw = b""
        self._taken = None
        self._request = None

    def _answered(self, close: bool) -> None:
        unfinished = self._parser.current is self._request is not None or self._rest_lost
        self._finish_request()
        self.since = self._callers.loop.time()
        if unfinished and self._transport is not None:
            # Guards the answer: with bytes unread, a close would reset the connection and destroy it.
            self._parser.current = None
            self._linger_until = self.since + LINGER_BODY
            self._linger()
        elif close:
            self._closing = True
            if self._transport is not None:
                self._linger()
        elif self.idle:
            self._callers.now_idle(self)

    # ---- taken over from another process -------------------------------------------------

    def resume(self, request: Request, rest_lost: bool) -> None:
        """A request that another process has read from this connection is in hand here."""
        self.carried = True
        self._rest_lost = rest_lost
        self._callers.speaks(self)
        self._request = request

    def resumed(self, taken: Taken) -> None:
        """It was handed on."""
        if self._request is not None:
            self._taken = taken

    def give(self, rest: bytes, close: bool) -> None:
        """Write what is left of an answer that another process has begun, if anything is."""
        self.carried = True
        if self._transport is None:
            return
        if rest:
            self._write(rest)
        if close:
            self._linger()
        else:
            self.rest()

    def rest(self) -> None:
        """It is between requests."""
        self.carried = True
        if self._transport is not None and self.idle:
            self._callers.now_idle(self)

    # ---- ends ----------------------------------------------------------------------------

    def has_left(self) -> bool:
        """Whether the caller has ended the connection, though the event loop may not have told so yet."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False  # told already, or ended from here
        if self._peer_ended is None:
            self._peer_ended = self._callers.network.peer_ended(transport)
        return self._peer_ended()

    def leave(self) -> None:
        """The caller has left: drop all of it."""
        self._leave()
        if self._transport is not None:
            self._transport.abort()

    def _leave(self) -> None:
        """Nothing more is owed to this caller."""
        if self._callers.hand is not None:
            self._callers.hand.leaves(self)
        taken, self._taken = self._taken, None
        self._closing = True
        self._passing = False
        if taken is not None:
            taken.caller_left()  # first: what its body's loss brings about is nobody's answer any more
        self._drop_partial()
        if self._whole is not None:
            self._forget(self._whole)
            self._whole = None
        self._finish_request()

    def close_if_silent(self) -> bool:
        """Close an idle connection, unless something has come that was not read yet: it may be a whole request."""
        transport = self._transport
        if transport is not None:
            if self._pending is None:
                self._pending = self._callers.network.pending(transport)
            if self._pending():
                return False
        self.close()
        return True

    def close(self) -> None:
        """Close a connection that owes no answer."""
        if self._callers.hand is not None:
            self._callers.hand.leaves(self)
        self._drop_partial()
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def check(self, now: float, idle_for: float) -> None:
        """End what takes too long, whatever it is: heads and bodies in slow drops, answers that nobody takes.

        Guards against callers that hold a descriptor and give nothing for it. A request's time is not
        renewed by its bytes. Harm: a caller on a line too slow for 64 KiB in this time is not served.
        """
        age = now - self.since
        transport = self._transport
        if transport is None:
            return
        unread = transport.get_write_buffer_size()
        if unread > 0:
            if unread < self._unread:
                self.since = now
            elif age > (PASS_STALL if self._passing else WRITE_STALL):
                log.info("a caller takes no more of its answer; closing")
                transport.abort()
            self._unread = unread
        elif self._closing:
            stalled = now > self._linger_until or now - self._heard > BODY_STALL
            if age > LINGER and stalled:
                transport.abort()
        elif self.idle:
            if age > (idle_for if self.carried else REQUEST_TIME):
                self.close_if_silent()
        elif self.mid_request and self._late(now):
            self.turn_away(Malformed(408, "the request did not come in time"))

    def _late(self, now: float) -> bool:
        """Whether the request being read comes too slowly: its head by the clock, its body by its progress."""
        request = self._parser.current
        assert request is not None
        if not self._parser.head_done:
            return now - self.since > REQUEST_TIME
        if self._transport is None or not self._transport.is_reading():
            return False  # held back from here
        due = BODY_RATE * (now - self._head_at - BODY_START)
        return now - self._heard > BODY_STALL or (request.received < due and request.stream is None)

    def evict(self, now: float) -> bool:
        """Make room for others, if nothing of worth is on this connection that has carried nothing yet."""
        least = EVICT_ENDING if self._closing else EVICT_PARTIAL if self.mid_request else EVICT_SILENT
        if now - self.since <= least:
            return False
        if self._transport is not None:
            self._transport.abort()
        return True


class Callers:
    """The listener and all callers' connections."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        handler: RequestHandler,
        descriptors: Descriptors,
        memory: BodyMemory,
    ) -> None:
        self.loop = loop
        self.network = network
        self.handler = handler
        self.memory = memory
        self.posture = ListenerState()
        self.crowded = False  # connections wait for a free descriptor
        self.hand: Hand | None = None  # notes what is in hand, where that is switched on
        self.empty = asyncio.Event()
        self._draining = False
        self._descriptors = descriptors
        self._listener: Listener | None = None
        self._accepting = False
        self._connections: dict[CallerConnection, None] = {}  # in the order of their coming: a set's is chance
        self._idle: dict[CallerConnection, None] = {}  # between requests, longest idle first
        self._fresh: dict[CallerConnection, None] = {}  # no whole request has come yet, or never will; oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        descriptors.evict_caller = self._evict
        descriptors.on_free.append(self._resume_accepting)

    # ---- the listener --------------------------------------------------------------------

    def listen(self, listener: Listener) -> None:
        """Start to accept."""
        self._listener = listener
        self._resume_accepting()

    @property
    def port(self) -> int:
        """The port that is listened on."""
        assert self._listener is not None
        return self._listener.port

    def _accept(self) -> None:
        for _ in range(ACCEPTS):
            if not self._accept_one():
                return

    def _accept_all(self) -> None:
        """Take what waits in the backlog: where nobody else holds the listener, its close resets that."""
        while self._accept_one():
            pass

    def _accept_one(self) -> bool:
        """Take one connection; False if none waits or none can be taken."""
        # Not the event loop's own listener: at EMFILE that accepts and closes, which loses requests.
        if self._listener is None:
            return False
        if not self._descriptors.take_caller():
            self._pause_accepting()
            return False
        try:
            connection = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError) as none:
            self._descriptors.give_caller()
            return not isinstance(none, BlockingIOError)  # the next in line may be well
        except OSError as fault:
            # Guards against spinning on a listener that stays readable: EMFILE, ENFILE, ENOMEM.
            log.warning("accept failed: %s", fault)
            self._descriptors.give_caller()
            self._pause_accepting()
            self.loop.call_later(0.05, self._resume_accepting)
            return False
        task = self.loop.create_task(self._adopt(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _adopt(self, connection: Any) -> None:
        protocol = CallerConnection(self)
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            log.info("a new connection failed: %s", fault)
            if protocol not in self._connections:
                connection.close()
                self._descriptors.give_caller()

    def _pause_accepting(self) -> None:
        if self._accepting and self._listener is not None:
            self._accepting = False
            self.crowded = True
            self._listener.unwatch()
            log.warning(
                "no descriptor for new connections: %d of %d in use", self._descriptors.used, self._descriptors.limit
            )

    def _resume_accepting(self) -> None:
        if not self._accepting and self._listener is not None and self.posture.listens:
            self._accepting = True
            self.crowded = False
            self._listener.watch(self._accept)

    # ---- connections ---------------------------------------------------------------------

    def opened(self, connection: CallerConnection) -> None:
        """A connection is up."""
        self._connections[connection] = None
        self._fresh[connection] = None
        if self.hand is not None:
            self.hand.opened(connection)

    async def inherit(
        self, connection: Any, read: int, wrote: int, slot: int, up: Callable[[CallerConnection], None]
    ) -> bool:
        """Take up a connection of another process, of which so much was read and written; False if it is gone.

        Its descriptor is counted already. `up` is called as soon as it is up, before anything is read from it: what
        is in hand on it must be known before its caller's next word.
        """
        protocol = CallerConnection(self)
        protocol.read, protocol.wrote, protocol.slot, protocol.up = read, wrote, slot, up
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            log.info("a connection could not be taken over: %s", fault)
            if protocol not in self._connections:
                connection.close()
                self._descriptors.give_caller()
        return protocol.up is None

    def closed(self, connection: CallerConnection) -> None:
        """A connection is gone, and its descriptor with it."""
        if self.hand is not None:
            self.hand.closed(connection)
        self._idle.pop(connection, None)
        self._fresh.pop(connection, None)
        if connection in self._connections:
            del self._connections[connection]
            self._descriptors.give_caller()
        if self._draining and not self._connections:
            self.empty.set()

    def speaks(self, connection: CallerConnection) -> None:
        """Its first whole request has come."""
        self._fresh.pop(connection, None)

    def not_idle(self, connection: CallerConnection) -> None:
        """A request begins to come."""
        self._idle.pop(connection, None)

    def now_idle(self, connection: CallerConnection) -> None:
        """Its request is answered."""
        if connection.carried and not self.posture.keeps_idle and connection.close_if_silent():
            return
        if connection.carried:
            self._fresh.pop(connection, None)
            self._idle[connection] = None
            if self.hand is not None and connection.slot == -1:
                self.hand.idle(connection)

    def now_ending(self, connection: CallerConnection) -> None:
        """It only lingers for its last answer to be read."""
        self._fresh[connection] = None

    def _evict(self) -> bool:
        """Close what is worth least: those that linger or say nothing, by the handful, before an idle one.

        Guards against crowds of callers that say nothing, which would otherwise push out those that are
        between two requests. A caller that has just connected is about to speak, and is left alone; harm
        comes to one that connects well ahead of its first request while others need the room.
        """
        now = self.loop.time()
        evicted = 0
        for connection in list(self._fresh):
            evicted += connection.evict(now)
            if evicted >= EVICT_MOST:
                return True
        if evicted or len(self._fresh) + len(self._tasks) > self._descriptors.caller_limit // 4:
            return evicted > 0  # the crowd itself will soon make room
        for connection in self._idle:
            if connection.idle and connection.close_if_silent():
                self._idle.pop(connection, None)
                return True
        return False

    def sweep(self) -> None:
        """Apply the time limits."""
        now = self.loop.time()
        crowded = len(self._connections) > self._descriptors.caller_limit // 2
        idle_for = IDLE_CROWDED if crowded else IDLE_TIMEOUT
        for connection in list(self._connections):
            connection.check(now, idle_for)
        # Guards against a listener that waits for a descriptor while nobody gives one back by himself.
        self._resume_accepting()

    def count(self) -> int:
        """Connections that are up."""
        return len(self._connections)

    # ---- leaving -------------------------------------------------------------------------

    def take(self, posture: ListenerState) -> None:
        """Do as the operations say from here on; called at every change, and often."""
        before, self.posture = self.posture, posture
        if before.listens and not posture.listens:
            self._deafen()
        elif posture.listens and not before.listens:
            self._resume_accepting()
        if not posture.keeps_idle:
            for connection in list(self._idle):
                if connection.idle:
                    connection.close_if_silent()
        if not posture.keeps_incomplete:
            for connection in list(self._connections):
                if connection.partial:
                    connection.close()
                elif connection.idle:
                    connection.close_if_silent()

    def _deafen(self) -> None:
        if self._listener is not None:
            self._accept_all()
            if self._accepting:
                self._listener.unwatch()
            self._accepting = False
            self.crowded = False

    def hang_up(self) -> None:
        """Close the listener, for good."""
        if self._listener is not None:
            self._accept_all()  # what has come since it was last looked at
            self._listener.close()
            self._listener = None

    async def emptied(self) -> None:
        """Wait until no connection is left, and none is being taken up."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._draining = True
        if self._connections:
            await self.empty.wait()
