"""The side of the callers: the listener, their connections, reading requests and writing answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from cometusher.budget import BodyMemoryBudget, DescriptorBudget
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
from cometusher.stream import REPLAY_BYTES, BodyStream
from weldroute.operations import ListenerState

if TYPE_CHECKING:
    from cometusher.inflight.tracker import InflightTracker

log = logging.getLogger(__name__)

MAX_ACCEPTS_PER_WAKEUP = 64  # at one wake-up, so that accepting can't starve what is under way
REQUEST_HEAD_TIMEOUT = 2.3  # seconds for a head, from its first byte or, for the first, from connecting
BODY_STALL_TIMEOUT = 1.5  # seconds in which nothing comes of a body
MIN_BODY_RATE = 16 * 1024  # bytes a second of a body, on average...
BODY_RATE_GRACE = 2.0  # ...after so many seconds
WRITE_STALL_TIMEOUT = 5.0  # seconds in which a caller takes nothing of an answer
STREAM_STALL_TIMEOUT = (
    12.0  # ...and of one that is passed on while it comes: windows of slow readers open in large steps
)
IDLE_TIMEOUT = 10.0  # seconds between requests...
CROWDED_IDLE_TIMEOUT = 2.1  # ...and while callers hold more than half of their descriptors
EVICT_SILENT_AFTER = 0.15  # seconds after which one that has said nothing makes room for others...
EVICT_PARTIAL_AFTER = 1.0  # ...and one with a part of its first request
EVICT_LINGERING_AFTER = 0.1  # ...and one that only lingers
MAX_EVICTIONS = 16  # of those at once: they come by hundreds
LINGER_TIMEOUT = 0.5  # seconds in which what a caller still writes is read and dropped
MAX_LINGER_BYTES = 256 * 1024  # and how much of it
BODY_LINGER_TIMEOUT = 30.0  # seconds in which the rest of a body that nobody wants is read and dropped


class AcceptedRequest(Protocol):
    """A request that was handed on, as its connection sees it."""

    def on_caller_left(self) -> None:
        """The caller is gone; nothing can be answered any more."""

    def on_body_complete(self) -> None:
        """The last byte of a body that was passed on while it came has come."""

    def on_answer_blocked(self, held: bool) -> None:
        """The caller takes no more for now, or takes more again."""


class RequestHandler(Protocol):
    """Who takes requests."""

    def handle_request(self, caller: CallerConnection, request: Request) -> AcceptedRequest | None:
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
        self._complete_request: Request | None = None  # not yet handed on
        self._request: Request | None = None  # handed on and not yet answered
        self._accepted: AcceptedRequest | None = None
        self._closing = False
        self._close_after_answer = False  # the answer being passed on ends the connection
        self._discarded_bytes = 0  # bytes read and dropped while lingering
        self._linger_until = 0.0
        self._last_read_at = 0.0  # when bytes came last
        self._head_complete_at = 0.0  # when the head of the request being read was whole
        self._answer_chunked = False  # the answer being passed on
        self._streaming_answer = False  # an answer has begun and goes on
        self._unsent_bytes = 0  # bytes that wait to be taken by the caller, when last looked at
        self._discarding_body = False  # of the request that is handed on a rest comes that nobody wants
        self.has_carried_request = False  # a whole request has come on it
        self.state_since = 0.0  # of the present state, for time limits
        # What covers it, if anything does: see `cometusher.inflight`.
        self.bytes_read = self.bytes_written = 0  # bytes
        self.descriptor = self.journal_slot = -1
        self.connection_key = 0
        self.last_request_bytes = b""  # the request that came last, if it came in one piece
        self.on_connected: Callable[[CallerConnection], None] | None = (
            None  # to be done when it is up, before it is read
        )
        self._has_peer_ended: Callable[[], bool] | None = None  # made when first asked
        self._has_unread_data: Callable[[], bool] | None = None  # likewise

    # ---- the transport's calls -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's are not its subclasses
        self._transport = transport
        self.state_since = self._callers.loop.time()
        self._callers.on_opened(self)
        if self.on_connected is not None:
            up, self.on_connected = self.on_connected, None
            up(self)

    @property
    def transport(self) -> asyncio.Transport | None:
        """Its transport, while it is up."""
        return self._transport

    def _write(self, data: bytes) -> None:
        self.bytes_written += len(data)
        assert self._transport is not None
        self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._last_read_at = self._callers.loop.time()
        self.bytes_read += len(data)
        if self._closing:
            self._discard_input(len(data))
            return
        if self._request is None and not self.is_mid_request:
            # The first request's time counts from connecting, or a caller could put it off for good.
            if self.has_carried_request:
                self.state_since = self._last_read_at
            self._callers.on_busy(self)
            if self._callers.inflight is not None:
                self.last_request_bytes = data
        else:
            self.last_request_bytes = b""
        try:
            self._parser.feed(data)
        except Malformed as fault:
            self.reject(fault)
        except Exception:
            log.exception("reading a request failed")
            self.reject(Malformed(400, "unreadable"))
        else:
            self._submit_request()
            if self.is_idle:
                self._callers.on_idle(self)  # nothing but line breaks, or answered at once

    def _discard_input(self, count: int) -> None:
        """Read and drop, so that closing does not destroy the answer on its way; but not without end."""
        self._discarded_bytes += count
        limit = MAX_STREAM if self._linger_until else MAX_LINGER_BYTES
        if self._discarded_bytes > limit and self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def eof_received(self) -> None:
        self._on_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._on_disconnect()
        self._callers.on_closed(self)

    def pause_writing(self) -> None:
        self.state_since = self._callers.loop.time()
        if self._streaming_answer and self._accepted is not None:
            self._accepted.on_answer_blocked(True)

    def resume_writing(self) -> None:
        self.state_since = self._callers.loop.time()
        if self._streaming_answer and self._accepted is not None:
            self._accepted.on_answer_blocked(False)

    # ---- a body that is passed on while it comes -----------------------------------------

    def pause_body(self) -> None:
        """Read no further."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_body(self) -> None:
        """Read on."""
        self._last_read_at = self._callers.loop.time()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    # ---- reading -------------------------------------------------------------------------

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has begun to come and is not whole."""
        return self._parser.current is not None

    @property
    def is_partial(self) -> bool:
        """Whether nothing but a request that is not whole is on this connection."""
        return self.is_mid_request and self._request is None

    @property
    def is_idle(self) -> bool:
        """Between requests."""
        return self._request is None and not self._closing and not self.is_mid_request

    def on_request_begin(self) -> None:
        if self._request is not None or self._complete_request is not None:
            raise Malformed(400, "more before the answer to a request")

    def on_request_head(self, request: Request) -> None:
        self._head_complete_at = self._last_read_at
        if request.method not in (b"GET", b"POST"):
            raise Malformed(405, "method not allowed")
        room = MAX_BODY if request.length is None else request.length
        if room > MAX_BODY:
            room = REPLAY_BYTES
        if not self._callers.memory.reserve(room):
            raise Malformed(503, "no memory for bodies")
        request.reserved_bytes = room
        expect = request.header(b"expect")
        if expect is not None and not request.http10:
            if expect.lower() != b"100-continue":
                raise Malformed(417, "unknown expectation")
            if self._transport is not None and request.length != 0:
                self._write(CONTINUE)

    def on_large_body(self, request: Request) -> None:
        if not self._callers.memory.reserve(REPLAY_BYTES - request.reserved_bytes):
            raise Malformed(503, "no memory for bodies")
        request.reserved_bytes = REPLAY_BYTES
        first, request.body = bytes(request.body), bytearray()
        request.stream = BodyStream(self, first)
        self._on_first_request()
        self._complete_request = request

    def on_request(self, request: Request) -> None:
        if request.stream is not None:
            request.stream.finish()
            if self._request is request and self._accepted is not None:
                self._accepted.on_body_complete()
            return
        self._on_first_request()
        self._callers.memory.release(request.reserved_bytes - len(request.body))
        request.reserved_bytes = len(request.body)
        self._complete_request = request

    def _on_first_request(self) -> None:
        if not self.has_carried_request:
            self._callers.on_first_request(self)
        self.has_carried_request = True

    def _release_body_of(self, request: Request) -> None:
        """Let go of a request's body."""
        self._callers.memory.release(request.reserved_bytes)
        request.reserved_bytes = 0
        request.body = bytearray()
        if request.stream is not None:
            request.stream.discard()

    def _discard_partial_request(self) -> None:
        current, self._parser.current = self._parser.current, None
        if current is not None:
            self._release_body_of(current)

    def _submit_request(self) -> None:
        request, self._complete_request = self._complete_request, None
        if request is None:
            return
        self._request = request
        taken = self._callers.handler.handle_request(self, request)
        if self._request is request:
            self._accepted = taken

    def _answer_malformed(self, fault: Malformed) -> None:
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
        self.state_since = self._callers.loop.time()
        self._callers.on_lingering(self)
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()

    # ---- answering -----------------------------------------------------------------------

    def begin_answer(self, status: int, headers: Headers, length: int | None) -> None:
        """Write the head of an answer whose body follows in pieces."""
        close = self._must_close()
        assert self._request is not None
        self._answer_chunked = length is None and not self._request.http10
        self._streaming_answer = True
        self._unsent_bytes = 0
        self.state_since = self._callers.loop.time()
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        elif self._answer_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            close = True  # its end is the connection's
        self._close_after_answer = close
        if self._callers.inflight is not None:
            self._callers.inflight.on_streaming(self)
        if self._transport is not None:
            self._write(response_head(status, headers, close))

    def write_answer_data(self, piece: bytes) -> None:
        """Write a piece of the answer that has begun."""
        if self._transport is not None and piece:
            self._write(chunk(piece) if self._answer_chunked else piece)

    def end_answer(self) -> None:
        """The answer that has begun is whole."""
        self._streaming_answer = False
        if self._transport is not None and self._answer_chunked:
            self._write(LAST_CHUNK)
        self._on_answered(self._close_after_answer)

    def abort_answer(self) -> None:
        """The answer that has begun can't be finished: the caller sees that by a reset."""
        self._streaming_answer = False
        self._finish_request()
        self._closing = True
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        if self._transport is not None:
            self._callers.network.abort(self._transport)

    def answer(self, status: int, headers: Headers, body: bytes | bytearray, noted: bool = False) -> None:
        """Write the answer to the request that is handed on; `noted` if that is covered."""
        close = self._must_close()
        if self._transport is not None:
            headers.append((b"content-length", b"%d" % len(body)))
            data = response_head(status, headers, close) + body
            if noted and self._callers.inflight is not None:
                assert self._request is not None
                self._callers.inflight.on_answer(self, self._request, data, close)
            self.bytes_written += len(data)
            self._transport.write(data)
        self._on_answered(close)

    def reject(self, fault: Malformed) -> None:
        """Tell a caller that what it sent can't be used, and end the connection.

        Guards against callers that send the same again as soon as they are told no: what else they have
        written is dropped, and the next try costs them a connection. Harm: a caller with one odd request
        in a hundred opens a connection for each.
        """
        passing = self._streaming_answer
        self._on_disconnect()
        if self._transport is None:
            return
        if passing:
            log.info("malformed in the middle of an answer: %d %s", fault.status, fault)
            self._transport.abort()
        else:
            self._answer_malformed(fault)

    def release_body(self) -> None:
        """The body of the request that is handed on is of no more use."""
        if self._request is not None:
            self._release_body_of(self._request)

    def _must_close(self) -> bool:
        assert self._request is not None
        if self._parser.current is self._request or self._discarding_body:
            return True  # the rest of a body that nobody wants any more
        return (
            not self._request.keep_alive
            or self._callers.listener_state.closes_after_answer
            or self._callers.out_of_descriptors
        )

    def _finish_request(self) -> None:
        self.release_body()
        self.last_request_bytes = b""
        self._accepted = None
        self._request = None

    def _on_answered(self, close: bool) -> None:
        unfinished = self._parser.current is self._request is not None or self._discarding_body
        self._finish_request()
        self.state_since = self._callers.loop.time()
        if unfinished and self._transport is not None:
            # Guards the answer: with bytes unread, a close would reset the connection and destroy it.
            self._parser.current = None
            self._linger_until = self.state_since + BODY_LINGER_TIMEOUT
            self._linger()
        elif close:
            self._closing = True
            if self._transport is not None:
                self._linger()
        elif self.is_idle:
            self._callers.on_idle(self)

    # ---- taken over from another process -------------------------------------------------

    def take_over_request(self, request: Request, rest_lost: bool) -> None:
        """A request that another process has read from this connection is in hand here."""
        self.has_carried_request = True
        self._discarding_body = rest_lost
        self._callers.on_first_request(self)
        self._request = request

    def set_accepted(self, taken: AcceptedRequest) -> None:
        """It was handed on."""
        if self._request is not None:
            self._accepted = taken

    def finish_answer(self, rest: bytes, close: bool) -> None:
        """Write what is left of an answer that another process has begun, if anything is."""
        self.has_carried_request = True
        if self._transport is None:
            return
        if rest:
            self._write(rest)
        if close:
            self._linger()
        else:
            self.mark_idle()

    def mark_idle(self) -> None:
        """It is between requests."""
        self.has_carried_request = True
        if self._transport is not None and self.is_idle:
            self._callers.on_idle(self)

    # ---- ends ----------------------------------------------------------------------------

    def has_disconnected(self) -> bool:
        """Whether the caller has ended the connection, though the event loop may not have told so yet."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False  # told already, or ended from here
        if self._has_peer_ended is None:
            self._has_peer_ended = self._callers.network.peer_ended(transport)
        return self._has_peer_ended()

    def disconnect(self) -> None:
        """The caller has left: drop all of it."""
        self._on_disconnect()
        if self._transport is not None:
            self._transport.abort()

    def _on_disconnect(self) -> None:
        """Nothing more is owed to this caller."""
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        taken, self._accepted = self._accepted, None
        self._closing = True
        self._streaming_answer = False
        if taken is not None:
            taken.on_caller_left()  # first: what its body's loss brings about is nobody's answer any more
        self._discard_partial_request()
        if self._complete_request is not None:
            self._release_body_of(self._complete_request)
            self._complete_request = None
        self._finish_request()

    def close_if_nothing_unread(self) -> bool:
        """Close an idle connection, unless something has come that was not read yet: it may be a whole request."""
        transport = self._transport
        if transport is not None:
            if self._has_unread_data is None:
                self._has_unread_data = self._callers.network.pending(transport)
            if self._has_unread_data():
                return False
        self.close()
        return True

    def close(self) -> None:
        """Close a connection that owes no answer."""
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        self._discard_partial_request()
        self._closing = True
        if self._transport is not None:
            self._transport.close()

    def enforce_timeouts(self, now: float, idle_for: float) -> None:
        """End what takes too long, whatever it is: heads and bodies in slow drops, answers that nobody takes.

        Guards against callers that hold a descriptor and give nothing for it. A request's time is not
        renewed by its bytes. Harm: a caller on a line too slow for 64 KiB in this time is not served.
        """
        age = now - self.state_since
        transport = self._transport
        if transport is None:
            return
        unread = transport.get_write_buffer_size()
        if unread > 0:
            if unread < self._unsent_bytes:
                self.state_since = now
            elif age > (STREAM_STALL_TIMEOUT if self._streaming_answer else WRITE_STALL_TIMEOUT):
                log.info("a caller takes no more of its answer; closing")
                transport.abort()
            self._unsent_bytes = unread
        elif self._closing:
            stalled = now > self._linger_until or now - self._last_read_at > BODY_STALL_TIMEOUT
            if age > LINGER_TIMEOUT and stalled:
                transport.abort()
        elif self.is_idle:
            if age > (idle_for if self.has_carried_request else REQUEST_HEAD_TIMEOUT):
                self.close_if_nothing_unread()
        elif self.is_mid_request and self._is_too_slow(now):
            self.reject(Malformed(408, "the request did not come in time"))

    def _is_too_slow(self, now: float) -> bool:
        """Whether the request being read comes too slowly: its head by the clock, its body by its progress."""
        request = self._parser.current
        assert request is not None
        if not self._parser.head_done:
            return now - self.state_since > REQUEST_HEAD_TIMEOUT
        if self._transport is None or not self._transport.is_reading():
            return False  # held back from here
        due = MIN_BODY_RATE * (now - self._head_complete_at - BODY_RATE_GRACE)
        return now - self._last_read_at > BODY_STALL_TIMEOUT or (request.received < due and request.stream is None)

    def evict(self, now: float) -> bool:
        """Make room for others, if nothing of worth is on this connection that has carried nothing yet."""
        least = (
            EVICT_LINGERING_AFTER
            if self._closing
            else EVICT_PARTIAL_AFTER
            if self.is_mid_request
            else EVICT_SILENT_AFTER
        )
        if now - self.state_since <= least:
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
        descriptors: DescriptorBudget,
        memory: BodyMemoryBudget,
    ) -> None:
        self.loop = loop
        self.network = network
        self.handler = handler
        self.memory = memory
        self.listener_state = ListenerState()
        self.out_of_descriptors = False  # connections wait for a free descriptor
        self.inflight: InflightTracker | None = None  # notes what is in hand, where that is switched on
        self.all_closed = asyncio.Event()
        self._draining = False
        self._descriptors = descriptors
        self._listener: Listener | None = None
        self._accepting = False
        self._connections: dict[CallerConnection, None] = {}  # in the order of their coming: a set's is chance
        self._idle: dict[CallerConnection, None] = {}  # between requests, longest idle first
        self._evictable: dict[
            CallerConnection, None
        ] = {}  # no whole request has come yet, or never will; oldest first
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
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
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
        if not self._descriptors.acquire_caller():
            self._pause_accepting()
            return False
        try:
            connection = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError) as none:
            self._descriptors.release_caller()
            return not isinstance(none, BlockingIOError)  # the next in line may be well
        except OSError as fault:
            # Guards against spinning on a listener that stays readable: EMFILE, ENFILE, ENOMEM.
            log.warning("accept failed: %s", fault)
            self._descriptors.release_caller()
            self._pause_accepting()
            self.loop.call_later(0.05, self._resume_accepting)
            return False
        task = self.loop.create_task(self._attach(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _attach(self, connection: Any) -> None:
        protocol = CallerConnection(self)
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            log.info("a new connection failed: %s", fault)
            if protocol not in self._connections:
                connection.close()
                self._descriptors.release_caller()

    def _pause_accepting(self) -> None:
        if self._accepting and self._listener is not None:
            self._accepting = False
            self.out_of_descriptors = True
            self._listener.unwatch()
            log.warning(
                "no descriptor for new connections: %d of %d in use", self._descriptors.used, self._descriptors.limit
            )

    def _resume_accepting(self) -> None:
        if not self._accepting and self._listener is not None and self.listener_state.listens:
            self._accepting = True
            self.out_of_descriptors = False
            self._listener.watch(self._accept)

    # ---- connections ---------------------------------------------------------------------

    def on_opened(self, connection: CallerConnection) -> None:
        """A connection is up."""
        self._connections[connection] = None
        self._evictable[connection] = None
        if self.inflight is not None:
            self.inflight.on_connection_opened(connection)

    async def take_over(
        self, connection: Any, read: int, wrote: int, slot: int, up: Callable[[CallerConnection], None]
    ) -> bool:
        """Take up a connection of another process, of which so much was read and written; False if it is gone.

        Its descriptor is counted already. `up` is called as soon as it is up, before anything is read from it: what
        is in hand on it must be known before its caller's next word.
        """
        protocol = CallerConnection(self)
        protocol.bytes_read, protocol.bytes_written, protocol.journal_slot, protocol.on_connected = (
            read,
            wrote,
            slot,
            up,
        )
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as fault:
            log.info("a connection could not be taken over: %s", fault)
            if protocol not in self._connections:
                connection.close()
                self._descriptors.release_caller()
        return protocol.on_connected is None

    def on_closed(self, connection: CallerConnection) -> None:
        """A connection is gone, and its descriptor with it."""
        if self.inflight is not None:
            self.inflight.on_connection_closed(connection)
        self._idle.pop(connection, None)
        self._evictable.pop(connection, None)
        if connection in self._connections:
            del self._connections[connection]
            self._descriptors.release_caller()
        if self._draining and not self._connections:
            self.all_closed.set()

    def on_first_request(self, connection: CallerConnection) -> None:
        """Its first whole request has come."""
        self._evictable.pop(connection, None)

    def on_busy(self, connection: CallerConnection) -> None:
        """A request begins to come."""
        self._idle.pop(connection, None)

    def on_idle(self, connection: CallerConnection) -> None:
        """Its request is answered."""
        if (
            connection.has_carried_request
            and not self.listener_state.keeps_idle
            and connection.close_if_nothing_unread()
        ):
            return
        if connection.has_carried_request:
            self._evictable.pop(connection, None)
            self._idle[connection] = None
            if self.inflight is not None and connection.journal_slot == -1:
                self.inflight.on_connection_idle(connection)

    def on_lingering(self, connection: CallerConnection) -> None:
        """It only lingers for its last answer to be read."""
        self._evictable[connection] = None

    def _evict(self) -> bool:
        """Close what is worth least: those that linger or say nothing, by the handful, before an idle one.

        Guards against crowds of callers that say nothing, which would otherwise push out those that are
        between two requests. A caller that has just connected is about to speak, and is left alone; harm
        comes to one that connects well ahead of its first request while others need the room.
        """
        now = self.loop.time()
        evicted = 0
        for connection in list(self._evictable):
            evicted += connection.evict(now)
            if evicted >= MAX_EVICTIONS:
                return True
        if evicted or len(self._evictable) + len(self._tasks) > self._descriptors.caller_limit // 4:
            return evicted > 0  # the crowd itself will soon make room
        for connection in self._idle:
            if connection.is_idle and connection.close_if_nothing_unread():
                self._idle.pop(connection, None)
                return True
        return False

    def sweep(self) -> None:
        """Apply the time limits."""
        now = self.loop.time()
        crowded = len(self._connections) > self._descriptors.caller_limit // 2
        idle_for = CROWDED_IDLE_TIMEOUT if crowded else IDLE_TIMEOUT
        for connection in list(self._connections):
            connection.enforce_timeouts(now, idle_for)
        # Guards against a listener that waits for a descriptor while nobody gives one back by himself.
        self._resume_accepting()

    def count(self) -> int:
        """Connections that are up."""
        return len(self._connections)

    # ---- leaving -------------------------------------------------------------------------

    def apply_listener_state(self, posture: ListenerState) -> None:
        """Do as the operations say from here on; called at every change, and often."""
        before, self.listener_state = self.listener_state, posture
        if before.listens and not posture.listens:
            self._stop_accepting()
        elif posture.listens and not before.listens:
            self._resume_accepting()
        if not posture.keeps_idle:
            for connection in list(self._idle):
                if connection.is_idle:
                    connection.close_if_nothing_unread()
        if not posture.keeps_incomplete:
            for connection in list(self._connections):
                if connection.is_partial:
                    connection.close()
                elif connection.is_idle:
                    connection.close_if_nothing_unread()

    def _stop_accepting(self) -> None:
        if self._listener is not None:
            self._accept_all()
            if self._accepting:
                self._listener.unwatch()
            self._accepting = False
            self.out_of_descriptors = False

    def close_listener(self) -> None:
        """Close the listener, for good."""
        if self._listener is not None:
            self._accept_all()  # what has come since it was last looked at
            self._listener.close()
            self._listener = None

    async def wait_until_empty(self) -> None:
        """Wait until no connection is left, and none is being taken up."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._draining = True
        if self._connections:
            await self.all_closed.wait()
