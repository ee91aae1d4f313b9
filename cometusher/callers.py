"""The caller side: accepts connections, reads requests and writes answers."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Any, Protocol, cast

from cometusher.bounded_read import BoundedReadProtocol
from cometusher.budget import DescriptorBudget, MemoryBudget
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
from weldroute.back_pressure import BodyDelay
from weldroute.operations import ListenerState

if TYPE_CHECKING:
    from cometusher.inflight.tracker import InflightTracker

log = logging.getLogger(__name__)

MAX_ACCEPTS_PER_WAKEUP = 64  # so that accepting can't starve open requests
REQUEST_HEAD_TIMEOUT = 2.3  # seconds for a head, from its first byte; for a connection's first head, from the accept
BODY_STALL_TIMEOUT = 1.5  # seconds without a byte of a body
MIN_BODY_RATE = 16 * 1024  # bytes per second of a body, on average after BODY_RATE_GRACE
BODY_RATE_GRACE = 2.0  # seconds
MIN_HOLD_UP = 0.3  # seconds in which this process did not run; shorter ones are within the margins of the limits
WRITE_STALL_TIMEOUT = 5.0  # seconds in which a caller reads nothing of a buffered answer
STREAM_STALL_TIMEOUT = 12.0  # seconds, likewise for a streamed answer: slow readers open their windows in large steps
IDLE_TIMEOUT = 10.0  # seconds between requests
CROWDED_IDLE_TIMEOUT = 2.1  # seconds between requests while callers hold more than half of their descriptors
EVICT_SILENT_AFTER = 0.15  # seconds after which a connection that has sent nothing may be evicted
EVICT_PARTIAL_AFTER = 1.0  # seconds after which a connection with an incomplete first request may be evicted
EVICT_STALLED_AFTER = 0.25  # seconds without a byte after which such a connection may be evicted sooner
EVICT_LINGERING_AFTER = 0.1  # seconds after which a lingering connection may be evicted
MAX_EVICTIONS = 16  # of such connections at once, as they arrive by the hundred
LINGER_TIMEOUT = 0.5  # seconds in which input is read and discarded before a close
HIGH_WATER, SCARCE_HIGH_WATER = 16 * 1024, 4 * 1024  # unread bytes of a streamed answer at which its backend waits
HEAD_ALLOWANCE = 2048  # bytes of memory of a head that are not counted
MAX_LINGER_BYTES = 256 * 1024  # of discarded input
BODY_LINGER_TIMEOUT = 30.0  # seconds in which the rest of an unwanted body is read and discarded


class CallerCloseReason(Enum):
    """Why a caller's connection ended."""

    BY_CALLER = "closed by the caller"
    REJECTED = "its input was rejected"
    AFTER_ANSWER = "after its last answer"
    ANSWER_ABORTED = "its answer broke off"
    ANSWER_NOT_READ = "its answer was not read"
    CALLER_LEFT = "its caller had left"
    IDLE = "idle for too long, or the proxy drains"
    INCOMPLETE = "its request was incomplete as the proxy drained"
    EVICTED = "its descriptor was needed"


class AcceptedRequest(Protocol):
    """An accepted request, as its connection sees it."""

    def on_caller_left(self) -> None:
        """The caller has disconnected; no answer is possible any more."""

    def on_body_complete(self) -> None:
        """The last byte of a streamed body has arrived."""

    def on_body_flow_changed(self) -> None:
        """Reading of a streamed body was paused or resumed."""

    def on_answer_blocked(self, blocked: bool) -> None:
        """The caller's write buffer is full, or has room again."""


class RequestHandler(Protocol):
    """Receives requests."""

    def handle_request(self, caller: CallerConnection, request: Request) -> AcceptedRequest | None:
        """Handles a complete or streamed request; returns None if it was answered at once."""


class CallerConnection(BoundedReadProtocol):
    """One caller's connection, which carries one request at a time.

    Bytes behind a request before its answer are taken as a sign of wrong framing, and both are rejected: with a
    wrong length, a truncated body would be sent on and its rest read as another request. The cost: a caller that
    pipelines requests, which the protocol does not provide for, gets an error.
    """

    def __init__(self, callers: Callers) -> None:
        self._callers = callers
        self._transport: asyncio.Transport | None = None
        self._parser = RequestParser(self)
        self._complete_request: Request | None = None  # read, and not yet passed to the handler
        self._request: Request | None = None  # passed to the handler, and not yet answered
        self._accepted: AcceptedRequest | None = None
        self._closing = False
        self.close_reason = CallerCloseReason.BY_CALLER
        self._close_after_answer = False  # the streamed answer ends the connection
        self._discarded_bytes = 0  # while lingering
        self._linger_until = 0.0
        self._last_read_at = 0.0
        self._head_complete_at = 0.0  # of the request being read
        self.body_delay = BodyDelay()  # of the body that is being streamed
        self._answer_chunked = False  # the streamed answer
        self._streaming_answer = False  # begin_answer was called, end_answer not yet
        self._unsent_bytes = 0  # size of the write buffer at the last check
        self._counted_bytes = 0  # of it, as the memory budget has them
        self._discarding_body = False  # the rest of the current request's body is unwanted
        self.has_carried_request = False  # at least one complete request has arrived
        self.state_since = 0.0  # when the present state began, for timeouts
        # For the request journal, if there is one: see `cometusher.inflight`.
        self.bytes_read = self.bytes_written = 0
        self.descriptor = self.journal_slot = -1
        self.connection_id = 0
        self.last_request_bytes = b""  # the last request, if it arrived in one read
        #: Called once, when the connection is up and before anything is read from it.
        self.on_connected: Callable[[CallerConnection], None] | None = None
        self._has_peer_ended: Callable[[], bool] | None = None  # created at first use
        self._has_unread_data: Callable[[], bool] | None = None  # created at first use

    # ---- transport callbacks -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclasses of it
        self._transport = transport
        self.state_since = self._callers.loop.time()
        transport.set_write_buffer_limits(HIGH_WATER)
        self._callers.on_opened(self)
        if self.on_connected is not None:
            up, self.on_connected = self.on_connected, None
            up(self)

    @property
    def transport(self) -> asyncio.Transport | None:
        """The transport while the connection is up, else None."""
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
        if self.is_mid_request and self.disconnect_if_caller_left():
            return  # otherwise a request might begin to run after its caller has left
        self._begin_body_read()
        if self._request is None and not self.is_mid_request:
            # The first request's time counts from the accept; otherwise a caller could delay it without limit.
            if self.has_carried_request:
                self.state_since = self._last_read_at
            self._callers.on_busy(self)
            if self._callers.inflight is not None:
                self.last_request_bytes = data
        else:
            self.last_request_bytes = b""
        try:
            self._parser.feed(data)
            if self._parser.current is not None and not self._parser.head_done:
                self._reserve_head(self._parser.current)
        except Malformed as error:
            self.reject(error)
        except Exception:
            log.exception("parsing a request failed")
            self.reject(Malformed(400, "unreadable"))
        else:
            self._end_body_read()
            self._submit_request()
            if self.is_idle:
                self._callers.on_idle(self)  # only line breaks arrived, or the request was answered at once

    def _discard_input(self, count: int) -> None:
        """Discards input, so that a close doesn't reset the connection and destroy the answer; up to a limit."""
        self._discarded_bytes += count
        limit = MAX_STREAM if self._linger_until else MAX_LINGER_BYTES
        if self._discarded_bytes > limit and self._transport is not None and self._transport.is_reading():
            self._transport.pause_reading()

    def eof_received(self) -> None:
        self._on_disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._count_unsent()
        self._on_disconnect()
        self._callers.on_closed(self)
        self._parser.close()

    def pause_writing(self) -> None:
        self.state_since = self._callers.loop.time()
        self._count_unsent()
        if self._streaming_answer and self._accepted is not None:
            self._accepted.on_answer_blocked(True)

    def resume_writing(self) -> None:
        self.state_since = self._callers.loop.time()
        self._count_unsent()
        if self._streaming_answer and self._accepted is not None:
            self._accepted.on_answer_blocked(False)

    # ---- streamed request bodies -----------------------------------------

    def pause_body(self) -> None:
        """Stops reading from the caller."""
        self.body_delay.pause(self._callers.loop.time())
        self._callers.on_body_paused(self)
        if self._transport is not None:
            self._transport.pause_reading()
        if self._accepted is not None:
            self._accepted.on_body_flow_changed()

    def resume_body(self) -> None:
        """Resumes reading from the caller."""
        self._last_read_at = self._callers.loop.time()
        self.body_delay.resume(self._last_read_at, self._has_unread())
        self._callers.on_body_resumed(self)
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()
        if self._accepted is not None:
            self._accepted.on_body_flow_changed()

    def disconnect_if_caller_left(self) -> bool:
        """Handles a caller that has left while its body is held back, which is not reported then."""
        if self._request is None or not self.has_disconnected():
            return False
        self.disconnect()
        return True

    def _begin_body_read(self) -> None:
        """The next part of a streamed body was read: what waited before it was held back until now."""
        if self.body_delay.is_held:
            self.body_delay.on_read(self._last_read_at)
            if self._accepted is not None:
                self._accepted.on_body_flow_changed()

    def _end_body_read(self) -> None:
        """Notes whether a part of a streamed body was all that waited to be read."""
        if self.body_delay.may_catch_up and self.is_mid_request:
            if self._has_unread():
                self.body_delay.on_left_unread()
            else:
                self.body_delay.on_emptied(self._last_read_at)

    def _has_unread(self) -> bool:
        if self._transport is None:
            return False
        if self._has_unread_data is None:
            self._has_unread_data = self._callers.network.unread_check(self._transport)
        return self._has_unread_data()

    # ---- reading -------------------------------------------------------------------------

    @property
    def is_mid_request(self) -> bool:
        """Whether a request has begun and is incomplete."""
        return self._parser.current is not None

    @property
    def is_partial(self) -> bool:
        """Whether the connection carries only an incomplete request, and owes no answer."""
        return self.is_mid_request and self._request is None

    @property
    def is_idle(self) -> bool:
        """Whether the connection is between requests."""
        return self._request is None and not self._closing and not self.is_mid_request

    def on_request_begin(self) -> None:
        if self._request is not None or self._complete_request is not None:
            raise Malformed(400, "more before the answer to a request")

    def _reserve_head(self, request: Request) -> None:
        """Reserves memory for what has come of a head; raises Malformed if there is none."""
        needed = self._parser.head_memory - HEAD_ALLOWANCE
        if needed > request.reserved_head_bytes:
            if not self._callers.memory.reserve(needed - request.reserved_head_bytes):
                raise Malformed(503, "no memory for heads")
            request.reserved_head_bytes = needed

    def on_request_head(self, request: Request) -> None:
        self._head_complete_at = self._last_read_at
        self._reserve_head(request)
        if request.method not in (b"GET", b"POST"):
            raise Malformed(405, "method not allowed")
        reservation = MAX_BODY if request.length is None else request.length
        if reservation > MAX_BODY:
            reservation = REPLAY_BYTES
        if not self._callers.memory.reserve(reservation):
            raise Malformed(503, "no memory for bodies")
        request.reserved_bytes = reservation
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
        received, request.body = bytes(request.body), bytearray()
        self.body_delay = BodyDelay()
        request.stream = BodyStream(self, received)
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
        """Discards a request's body and releases its memory, and that of its head."""
        self._callers.memory.release(request.reserved_bytes + request.reserved_head_bytes)
        request.reserved_bytes = request.reserved_head_bytes = 0
        request.body = bytearray()
        if request.stream is not None:
            request.stream.discard()

    def _discard_partial_request(self) -> None:
        current = self._parser.current
        self._parser.discard()
        if current is not None:
            self._release_body_of(current)

    def _submit_request(self) -> None:
        request, self._complete_request = self._complete_request, None
        if request is None:
            return
        self._request = request
        try:
            accepted = self._callers.handler.handle_request(self, request)
        except Exception:
            log.exception("handling a request failed")
            self.reject(Malformed(500, "internal error"))
            return
        if self._request is request:
            self._accepted = accepted
            if accepted is not None and request.stream is not None:
                accepted.on_body_flow_changed()  # it may have been paused meanwhile

    def _answer_malformed(self, error: Malformed) -> None:
        log.info("rejected a request: %d %s", error.status, error)
        body = f"{error}\n".encode()
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
        if error.status == 405:
            headers.append((b"allow", b"GET, POST"))
        self._write(response_head(error.status, headers, True) + body)
        self._linger()

    def _linger(self) -> None:
        # A close with unread bytes resets the connection, which can destroy the answer in transit.
        self._closing = True
        transport = self._transport
        assert transport is not None
        self.state_since = self._callers.loop.time()
        self._callers.on_lingering(self)
        if transport.can_write_eof() and not transport.is_closing():
            transport.write_eof()

    def _count_unsent(self) -> None:
        """Counts what the caller has not read of its answers against the memory budget."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        if unsent != self._counted_bytes:
            self._callers.memory.count(unsent - self._counted_bytes)
            self._counted_bytes = unsent

    # ---- answering -----------------------------------------------------------------------

    def begin_answer(self, status: int, headers: Headers, length: int | None) -> None:
        """Writes the head of a streamed answer; the body follows by `write_answer_data`."""
        close = self._must_close()
        assert self._request is not None
        self._answer_chunked = length is None and not self._request.http10
        self._streaming_answer = True
        self._unsent_bytes = 0
        if self._transport is not None:
            scarce = self._callers.memory.is_scarce
            self._transport.set_write_buffer_limits(SCARCE_HIGH_WATER if scarce else HIGH_WATER)
        self.state_since = self._callers.loop.time()
        if length is not None:
            headers.append((b"content-length", b"%d" % length))
        elif self._answer_chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        else:
            close = True  # for HTTP/1.0 the end of the connection delimits the body
        self._close_after_answer = close
        if self._callers.inflight is not None:
            self._callers.inflight.on_streaming(self)
        if self._transport is not None:
            self._write(response_head(status, headers, close))

    def write_answer_data(self, data: bytes) -> None:
        """Writes the next bytes of the streamed answer."""
        if self._transport is not None and data:
            self._write(chunk(data) if self._answer_chunked else data)
            if self._transport.get_write_buffer_size() > HIGH_WATER:  # else it has yet to be offered to the system
                self._count_unsent()

    def end_answer(self) -> None:
        """Ends the streamed answer."""
        self._streaming_answer = False
        if self._transport is not None and self._answer_chunked:
            self._write(LAST_CHUNK)
        self._on_answered(self._close_after_answer)

    def abort_answer(self) -> None:
        """Resets the connection, as the streamed answer can't be completed."""
        self._streaming_answer = False
        self._finish_request()
        self._note_closing(CallerCloseReason.ANSWER_ABORTED)
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        if self._transport is not None:
            self._callers.network.abort(self._transport)

    def answer(self, status: int, headers: Headers, body: bytes | bytearray, journaled: bool = False) -> None:
        """Writes a complete answer to the current request; `journaled` records it in the request journal."""
        close = self._must_close()
        if self._transport is not None:
            headers.append((b"content-length", b"%d" % len(body)))
            data = response_head(status, headers, close) + body
            if journaled and self._callers.inflight is not None:
                assert self._request is not None
                self._callers.inflight.on_answer(self, self._request, data, close)
            self.bytes_written += len(data)
            self._transport.write(data)
        self._on_answered(close)

    def reject(self, error: Malformed) -> None:
        """Answers with an error's status and text, and ends the connection.

        Slows callers that repeat a rejected request at once: whatever else they have written is discarded, and the
        next attempt costs them a connection. The cost: a caller with one malformed request in a hundred opens a new
        connection for each.
        """
        was_streaming = self._streaming_answer
        self._on_disconnect()
        if self._transport is None:
            return
        self._note_closing(CallerCloseReason.REJECTED)
        if was_streaming:
            log.info("rejected input during a streamed answer: %d %s", error.status, error)
            self._transport.abort()
        else:
            self._answer_malformed(error)

    def release_body(self) -> None:
        """Discards the current request's body, which is no longer needed."""
        if self._request is not None:
            self._release_body_of(self._request)

    def _must_close(self) -> bool:
        assert self._request is not None
        if self._parser.current is self._request or self._discarding_body:
            return True  # the rest of the body is unwanted
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
            # A close with unread bytes would reset the connection and destroy the answer.
            self._parser.current = None
            self._linger_until = self.state_since + BODY_LINGER_TIMEOUT
            self._note_closing(CallerCloseReason.AFTER_ANSWER)
            self._linger()
        elif close:
            self._note_closing(CallerCloseReason.AFTER_ANSWER)
            if self._transport is not None:
                self._linger()
        elif self.is_idle:
            self._callers.on_idle(self)

    # ---- takeover from another process -------------------------------------------------

    def take_over_request(self, request: Request, body_lost: bool) -> None:
        """Makes a request that another process has read from this connection the current one."""
        self.has_carried_request = True
        self._discarding_body = body_lost
        self._callers.on_first_request(self)
        self._request = request

    def set_accepted(self, accepted: AcceptedRequest) -> None:
        """Sets the handler's side of the taken-over request."""
        if self._request is not None:
            self._accepted = accepted

    def finish_answer(self, remaining: bytes, close: bool) -> None:
        """Writes the remaining bytes of an answer that another process has begun, if there are any."""
        self.has_carried_request = True
        if self._transport is None:
            return
        if remaining:
            self._write(remaining)
        if close:
            self._linger()
        else:
            self.mark_idle()

    def mark_idle(self) -> None:
        """Marks a taken-over connection as between requests."""
        self.has_carried_request = True
        if self._transport is not None and self.is_idle:
            self._callers.on_idle(self)

    # ---- closing ----------------------------------------------------------------------------

    def _note_closing(self, reason: CallerCloseReason) -> None:
        """Notes that this side ends the connection; the first reason counts."""
        self._closing = True
        if self.close_reason is CallerCloseReason.BY_CALLER:
            self.close_reason = reason

    def has_disconnected(self) -> bool:
        """Whether the caller has ended the connection, even if the event loop has not reported it yet."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return False  # reported already, or closed by this side
        if self._has_peer_ended is None:
            self._has_peer_ended = self._callers.network.peer_ended_check(transport)
        return self._has_peer_ended()

    def disconnect(self) -> None:
        """Handles a caller that has left, and aborts the connection."""
        self._note_closing(CallerCloseReason.CALLER_LEFT)
        self._on_disconnect()
        if self._transport is not None:
            self._transport.abort()

    def _on_disconnect(self) -> None:
        """Drops all state of the caller, to whom no answer is owed any more."""
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        accepted, self._accepted = self._accepted, None
        self._closing = True
        self._streaming_answer = False
        if accepted is not None:
            accepted.on_caller_left()  # first, so that failures caused by the lost body are not answered
        self._discard_partial_request()
        if self._complete_request is not None:
            self._release_body_of(self._complete_request)
            self._complete_request = None
        self._finish_request()

    def close_if_nothing_unread(self) -> bool:
        """Closes an idle connection unless it has unread input, which may be a complete request."""
        if self._has_unread():
            return False
        self.close(CallerCloseReason.IDLE)
        return True

    def close(self, reason: CallerCloseReason) -> None:
        """Closes a connection on which no answer is owed."""
        if self._callers.inflight is not None:
            self._callers.inflight.on_connection_leaving(self)
        self._discard_partial_request()
        self._note_closing(reason)
        if self._transport is not None:
            self._transport.close()

    def extend_timeouts(self, held_up: float, now: float) -> None:
        """Extends all limits on this caller by a time in which this process did not read what it may have sent."""
        self.state_since = min(now, self.state_since + held_up)
        self._last_read_at = min(now, self._last_read_at + held_up)
        self._head_complete_at = min(now, self._head_complete_at + held_up)

    def enforce_timeouts(self, now: float, idle_timeout: float) -> None:
        """Ends whatever takes too long: heads and bodies that arrive slowly, answers that are not read.

        Protects the descriptors from callers that hold one without progress. Further bytes don't renew a request's
        time. The cost: a caller on a link too slow for 64 KiB in this time is not served.
        """
        age = now - self.state_since
        transport = self._transport
        if transport is None:
            return
        self._count_unsent()
        unsent = self._counted_bytes
        if unsent > 0:
            if unsent < self._unsent_bytes:
                self.state_since = now
            elif age > (STREAM_STALL_TIMEOUT if self._streaming_answer else WRITE_STALL_TIMEOUT):
                self.close_reason = CallerCloseReason.ANSWER_NOT_READ
                transport.abort()
            self._unsent_bytes = unsent
        elif self._closing:
            expired = now > self._linger_until or not self._callers.listener_state.keeps_incomplete
            if age > LINGER_TIMEOUT and (expired or now - self._last_read_at > BODY_STALL_TIMEOUT):
                transport.abort()
        elif self.is_idle:
            if age > (idle_timeout if self.has_carried_request else REQUEST_HEAD_TIMEOUT):
                self.close_if_nothing_unread()
        elif self.is_mid_request and self._is_too_slow(now):
            self.reject(Malformed(408, "the request did not come in time"))

    def _is_too_slow(self, now: float) -> bool:
        """Whether the request being read is too slow: its head by elapsed time, its body by its rate."""
        request = self._parser.current
        assert request is not None
        if not self._parser.head_done:
            return now - self.state_since > REQUEST_HEAD_TIMEOUT
        if self._transport is None or not self._transport.is_reading():
            return False  # reading is paused by this side
        min_received = MIN_BODY_RATE * (now - self._head_complete_at - BODY_RATE_GRACE)
        return now - self._last_read_at > BODY_STALL_TIMEOUT or (
            request.received < min_received and request.stream is None
        )

    def evict(self, now: float) -> bool:
        """Aborts a silent, incomplete or lingering connection that is old enough; returns whether it did."""
        if not self._may_be_evicted(now):
            return False
        self.close_reason = CallerCloseReason.EVICTED
        if self._transport is not None:
            self._transport.abort()
        return True

    def _may_be_evicted(self, now: float) -> bool:
        """Whether the connection has held its descriptor for long enough without a complete request."""
        age = now - self.state_since
        if self._closing:
            return age > EVICT_LINGERING_AFTER
        if self.is_mid_request:
            return age > EVICT_PARTIAL_AFTER or now - self._last_read_at > EVICT_STALLED_AFTER
        return age > EVICT_SILENT_AFTER


class Callers:
    """The listener and all connections of callers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        handler: RequestHandler,
        descriptors: DescriptorBudget,
        memory: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.network = network
        self.handler = handler
        self.memory = memory
        self.listener_state = ListenerState()
        self.out_of_descriptors = False  # accepting is paused until a descriptor is free
        self.inflight: InflightTracker | None = None  # the request journal, if enabled
        self.all_closed = asyncio.Event()
        self._draining = False
        self._descriptors = descriptors
        self._listener: Listener | None = None
        self._accepting = False
        self._connections: dict[CallerConnection, None] = {}  # in order of arrival; a set has no stable order
        self._idle: dict[CallerConnection, None] = {}  # between requests, longest idle first
        self._body_paused: dict[CallerConnection, None] = {}  # whose body is held back, the longest first
        self._evictable: dict[CallerConnection, None] = {}  # without a complete request, or lingering; oldest first
        self._tasks: set[asyncio.Task[None]] = set()
        descriptors.evict_caller = self._evict
        descriptors.on_free.append(self._resume_accepting)

    # ---- the listener --------------------------------------------------------------------

    def listen(self, listener: Listener) -> None:
        """Starts to accept connections on `listener`."""
        self._listener = listener
        self._resume_accepting()

    @property
    def port(self) -> int:
        """The port of the listener."""
        assert self._listener is not None
        return self._listener.port

    def _accept(self) -> None:
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if not self._accept_one():
                return

    def _accept_all(self) -> None:
        """Accepts the whole backlog: when the last holder of a listener closes it, queued connections are reset."""
        while self._accept_one():
            pass

    def _accept_one(self) -> bool:
        """Accepts one connection; returns False if none is queued or none can be accepted."""
        # The event loop's own server is not used: on EMFILE it accepts and closes, which loses requests.
        if self._listener is None:
            return False
        if not self._descriptors.acquire_caller():
            self._pause_accepting()
            return False
        try:
            connection = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError) as transient:
            self._descriptors.release_caller()
            return not isinstance(transient, BlockingIOError)  # the next one in the queue may succeed
        except OSError as error:
            # After EMFILE, ENFILE or ENOMEM the listener stays readable; pausing avoids a busy loop.
            log.warning("accept failed: %s", error)
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
        except OSError as error:
            log.info("attaching a new connection failed: %s", error)
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
        """Registers a connection that is up."""
        self._connections[connection] = None
        self._evictable[connection] = None
        if self.inflight is not None:
            self.inflight.on_connection_opened(connection)

    async def take_over(
        self,
        connection: Any,
        bytes_read: int,
        bytes_written: int,
        journal_slot: int,
        on_connected: Callable[[CallerConnection], None],
    ) -> bool:
        """Attaches a connection of another process, with its byte counts so far; returns False if it is gone.

        Its descriptor is counted already. `on_connected` is called before anything is read from the connection: the
        requests in flight on it must be known before the caller's next bytes.
        """
        protocol = CallerConnection(self)
        protocol.bytes_read, protocol.bytes_written, protocol.journal_slot, protocol.on_connected = (
            bytes_read,
            bytes_written,
            journal_slot,
            on_connected,
        )
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as error:
            log.info("taking over a connection failed: %s", error)
            if protocol not in self._connections:
                connection.close()
                self._descriptors.release_caller()
        return protocol.on_connected is None

    def on_closed(self, connection: CallerConnection) -> None:
        """Removes a closed connection and releases its descriptor."""
        if self.inflight is not None:
            self.inflight.on_connection_closed(connection)
        self._idle.pop(connection, None)
        self._evictable.pop(connection, None)
        self._body_paused.pop(connection, None)
        if connection in self._connections:
            del self._connections[connection]
            self._descriptors.release_caller()
            reason = connection.close_reason
            log.info("a caller's connection ended: %s", reason.value, extra={"cause": reason.name})
        if self._draining and not self._connections:
            self.all_closed.set()

    def on_first_request(self, connection: CallerConnection) -> None:
        """The first complete request of a connection has arrived."""
        self._evictable.pop(connection, None)

    def on_busy(self, connection: CallerConnection) -> None:
        """A request begins to arrive on an idle connection."""
        self._idle.pop(connection, None)

    def on_idle(self, connection: CallerConnection) -> None:
        """A connection is between requests; closes it if idle connections are not kept."""
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

    def on_body_paused(self, connection: CallerConnection) -> None:
        """Reading of a body is paused."""
        self._body_paused[connection] = None

    def on_body_resumed(self, connection: CallerConnection) -> None:
        """Reading of a body goes on."""
        self._body_paused.pop(connection, None)

    @property
    def paused_body_count(self) -> int:
        """Number of connections whose body is held back."""
        return len(self._body_paused)

    def on_lingering(self, connection: CallerConnection) -> None:
        """A connection lingers until its last answer is read."""
        self._evictable[connection] = None

    def _evict(self) -> bool:
        """Frees descriptors: closes lingering and silent connections, several at once, before an idle one.

        Otherwise crowds of callers that send nothing would displace those that are between two requests. A caller
        that has just connected is about to send, and is spared. The cost: a caller that connects long before its
        first request is cut off while descriptors are scarce.
        """
        now = self.loop.time()
        evicted = 0
        for connection in list(self._evictable):
            evicted += connection.evict(now)
            if evicted >= MAX_EVICTIONS:
                return True
        if evicted or len(self._evictable) + len(self._tasks) > self._descriptors.caller_limit // 4:
            return evicted > 0  # the silent connections will soon be old enough to evict
        for connection in self._idle:
            if connection.is_idle and connection.close_if_nothing_unread():
                self._idle.pop(connection, None)
                return True
        return False

    def sweep(self, held_up: float = 0.0) -> None:
        """Applies the timeouts to all connections; the `held_up` seconds without this process running don't count."""
        now = self.loop.time()
        if held_up >= MIN_HOLD_UP:
            for connection in self._connections:
                connection.extend_timeouts(held_up, now)
        crowded = len(self._connections) > self._descriptors.caller_limit // 2
        idle_timeout = CROWDED_IDLE_TIMEOUT if crowded else IDLE_TIMEOUT
        for connection in list(self._body_paused):
            connection.disconnect_if_caller_left()
        for connection in list(self._connections):
            connection.enforce_timeouts(now, idle_timeout)
        # Otherwise a paused listener would wait for a descriptor that no connection releases by itself.
        self._resume_accepting()

    def count(self) -> int:
        """Number of connections that are up."""
        return len(self._connections)

    # ---- lifecycle -------------------------------------------------------------------------

    def apply_listener_state(self, state: ListenerState) -> None:
        """Applies a listener state; called at every change, and periodically."""
        previous, self.listener_state = self.listener_state, state
        if state != previous:
            log.info("listener: %s", state)
        if previous.listens and not state.listens:
            self._stop_accepting()
        elif state.listens and not previous.listens:
            self._resume_accepting()
        if not state.keeps_idle:
            for connection in list(self._idle):
                if connection.is_idle:
                    connection.close_if_nothing_unread()
        if not state.keeps_incomplete:
            for connection in list(self._connections):
                if connection.is_partial:
                    connection.close(CallerCloseReason.INCOMPLETE)
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
        """Closes the listener for good."""
        if self._listener is not None:
            self._accept_all()  # connections that were queued since the last accept
            self._listener.close()
            self._listener = None

    async def wait_until_empty(self) -> None:
        """Waits until no connection is left and none is being attached."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._draining = True
        if self._connections:
            await self.all_closed.wait()
