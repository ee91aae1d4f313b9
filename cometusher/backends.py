"""Sends attempts to backends: connection pools, the reading of answers, and the Outcome of each attempt.

An attempt is written once, on one connection, and ends exactly once. This module doesn't select backends, doesn't
repeat attempts, and doesn't decide how long one may take.
"""

from __future__ import annotations

import asyncio
import logging
from bisect import bisect_right
from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, Protocol, cast

from cometusher.bounded_read import BoundedReadProtocol
from cometusher.budget import DescriptorBudget, MemoryBudget
from cometusher.config import Address
from cometusher.http1 import LAST_CHUNK, MAX_BODY, Malformed, Response, ResponseParser, chunk
from cometusher.runtime import Network
from cometusher.stream import BodyStream
from weldroute import Outcome, Repeat
from weldroute.connection_reuse import ConnectionReuse
from weldroute.model import ServerId
from weldroute.partial_answer import AnswerStep, PartialAnswer

log = logging.getLogger(__name__)

IMMEDIATE_RESET_WINDOW = 0.05  # seconds; a reset within them means that the connection was dead before the write
ANSWER_STALL_TIMEOUT = 0.3  # seconds without a byte after which a partial answer is slow
ANSWER_READ_TIMEOUT = 1.0  # seconds from first to last byte of an answer that is not streamed
STREAM_DELAY_UNKNOWN_LENGTH = 0.35  # seconds after which an answer of unknown length is streamed
STREAM_DELAY_KNOWN_LENGTH = 0.03  # seconds, likewise for a long answer of known length; broken ones end earlier
STREAM_STALL_TIMEOUT = 12.0  # seconds without a byte after which a streamed answer is broken
ANSWER_ALLOWANCE = 4 * 1024  # bytes of an answer that are not counted against the memory budget
SCARCE_READ_BYTES = 4 * 1024  # of one read at most, while memory is scarce


class CloseReason(Enum):
    """Why a connection to a backend ended."""

    BY_BACKEND = "closed by the backend"
    UNSOLICITED_INPUT = "unsolicited input"
    SURPLUS_INPUT = "more than the answer"
    NOT_KEPT = "not kept open after its answer"
    ANSWER_BROKEN = "its answer broke"
    ATTEMPT_CANCELLED = "its attempt was cancelled"
    UNREAD_INPUT = "closed or written to by the backend before a request"
    NOT_NEEDED = "enough idle ones are there"
    IDLE_TIMEOUT = "idle for too long"
    BACKEND_CHANGED = "its backend drained, moved, restarted, went or was banned"
    BACKEND_SILENT = "its backend let an attempt time out"
    DESCRIPTOR_NEEDED = "its descriptor was needed"


class AttemptSink(Protocol):
    """Receives the events of attempts."""

    def may_start(self, attempt: Attempt) -> bool:
        """Whether an attempt that waited for its connection may still be sent."""

    def request_head(self, attempt: Attempt) -> bytes:
        """The head of an attempt's request; called at the write, as it states the time that is left."""

    def on_answer_started(self, attempt: Attempt, response: Response) -> bool:
        """A long answer has begun; returns whether to stream it by `on_answer_data`."""

    def time_left(self, attempt: Attempt) -> float:
        """Seconds until the deadline of an attempt's request."""

    def seek_alternative(self, attempt: Attempt, may_replace: bool) -> bool:
        """An answer has begun and is slow; returns whether another attempt runs beside this one, or replaces it."""

    def on_answer_data(self, attempt: Attempt, data: bytes) -> None:
        """The next bytes of a streamed answer."""

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome, response: Response | None, reason: str) -> None:
        """The single end of an attempt; `response` is set for OK."""

    def on_backend_connection_closed(self, reason: CloseReason) -> None:
        """A connection that was up has ended."""


class Attempt:
    """One attempt to send a request to a backend."""

    __slots__ = (
        "body",
        "call_id",
        "chunked",
        "connect_task",
        "connection",
        "ended",
        "expires_at",
        "head",
        "journal_index",
        "number",
        "owner",
        "repeat",
        "sent_at",
        "server",
        "stream",
    )

    def __init__(
        self, owner: object, number: int, server: ServerId, sent_at: float, repeat: Repeat, call_id: bytes = b""
    ) -> None:
        self.owner = owner
        self.call_id = call_id  # of its request, for the log
        self.number = number
        self.server = server
        self.sent_at = sent_at
        self.repeat = repeat  # whether its request may run more than once
        self.expires_at = float("inf")  # its own deadline, ahead of the request's
        self.head = b""  # set when it is written
        self.body: bytearray | bytes = b""
        self.stream: BodyStream | None = None  # the body, if it is streamed
        self.chunked = False  # whether the streamed body is sent in chunks
        self.connection: BackendConnection | None = None
        self.connect_task: asyncio.Task[None] | None = None
        self.ended = False
        self.journal_index = -1  # its index in the journal's record of the request; -1 if it has none

    @property
    def never_complete(self) -> bool:
        """Whether the last byte of a streamed request was not written; a backend runs a request only after it."""
        return self.stream is not None and (self.connection is None or self.connection.request_incomplete)


class Backend:
    """One backend: its address, start time and idle connections, the most recently used last."""

    __slots__ = ("address", "idle", "last_input_at", "server", "started_at", "usable")

    def __init__(self, server: ServerId, address: Address, started_at: float, usable: bool) -> None:
        self.server = server
        self.address = address
        self.started_at = started_at
        self.usable = usable
        self.idle: list[BackendConnection] = []
        self.last_input_at = float("-inf")  # on any connection


class BackendConnection(BoundedReadProtocol):
    """One connection to a backend; carries one attempt at a time."""

    def __init__(self, pool: Backends, backend: Backend) -> None:
        self._pool = pool
        self.backend = backend
        self.address = backend.address
        self.backend_started_at = backend.started_at
        self.transport: asyncio.Transport | None = None
        self.connected = False
        self.number = pool.next_connection_number()  # for the log
        self.close_reason = CloseReason.BY_BACKEND
        self.use_count = 0
        self.last_call_id = b""  # of the last request on it, for the log
        self.attempt: Attempt | None = None
        self.idle_since = 0.0
        self.attempt_started_at = 0.0
        self.last_read_at = 0.0
        self._parser = ResponseParser()
        self._reserved_bytes = 0  # of the memory budget, for the part of the answer that is held
        self._answer_started_at = 0.0  # when the first byte of the answer arrived; 0 before
        self._streaming_answer = False
        self.partial_answer = PartialAnswer()  # the present answer
        self._reading_paused = False  # because the caller's write buffer is full
        self.request_incomplete = False  # the last byte of the request is not written yet
        self._write_blocked = False  # the write buffer towards the backend is full
        self.bytes_read = self.bytes_written = 0
        self.descriptor = -1
        self.connection_id = 0
        self.failure_domain = (0, 0)  # zone and cell of its server, set with `connection_id`
        self._has_unread_data: Callable[[], bool] = lambda: False

    def __str__(self) -> str:
        last = f", last {loggable_id(self.last_call_id)}" if self.use_count else ""
        return f"connection {self.number} to backend {self.backend.server:x} ({self.use_count} requests{last})"

    @property
    def is_current(self) -> bool:
        """Whether its backend has neither moved nor restarted since the connection was begun."""
        return self.address == self.backend.address and self.backend_started_at == self.backend.started_at

    # ---- transport callbacks -----------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport = cast(asyncio.Transport, transport)  # uvloop's transports are no subclasses of it
        self.transport = transport
        self.connected = True
        self._has_unread_data = self._pool.network.unread_check(transport)

    def _write(self, data: bytes | bytearray) -> None:
        self.bytes_written += len(data)
        assert self.transport is not None
        self.transport.write(data)

    def get_buffer(self, sizehint: int) -> memoryview:
        buffer = super().get_buffer(sizehint)
        return buffer[:SCARCE_READ_BYTES] if self._streaming_answer and self._pool.memory.is_scarce else buffer

    def data_received(self, data: bytes) -> None:
        self.bytes_read += len(data)
        now = self.backend.last_input_at = self._pool.loop.time()
        if self.attempt is None:
            log.info(
                "%d unsolicited bytes on %s, %.1f ms after its last use; closing",
                len(data),
                self,
                (now - self.idle_since) * 1000.0,
            )
            if self.use_count:
                self._pool.reuse.on_late_input(now, now - self.idle_since)
            self.close(CloseReason.UNSOLICITED_INPUT)
            return
        self.last_read_at = now
        try:
            response = self._parser.feed(data)
        except Malformed as error:
            self._fail(f"unreadable answer: {error}")
        except Exception:
            log.exception("parsing an answer failed")
            self._fail("unreadable answer")
        else:
            if response is not None:
                self._on_answered(self.attempt, response)
            elif self._parser.response is None:
                self._answer_started_at = 0.0  # 1xx answers don't count: the backend is still working
            else:
                self._answer_started_at = self._answer_started_at or self.last_read_at
                if not self._reserve_held(self._parser.response):
                    self.start_streaming()
                self._try_streaming()

    def _reserve_held(self, response: Response) -> bool:
        """Reserves memory for what is held of an answer; returns False to have it streamed instead."""
        needed = max(0, len(response.body) - ANSWER_ALLOWANCE)
        memory = self._pool.memory
        if needed == self._reserved_bytes or (not memory.is_scarce and memory.reserve(needed - self._reserved_bytes)):
            self._reserved_bytes = needed
            return True
        return not self._parser.head_done or response.status != 200 or self._streaming_answer

    def _release_held(self) -> None:
        if self._reserved_bytes:
            self._pool.memory.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def _try_streaming(self) -> None:
        """Starts to stream the answer if it is long, or if it has no known length and arrives slowly.

        Streaming spares callers the wait and keeps long answers out of memory. A short answer of known length is
        read completely before it is passed on, because the request can be repeated if the answer breaks.
        """
        response = self._parser.response
        if response is None or self._streaming_answer or response.status != 200 or not self._parser.head_done:
            return
        elapsed = self._pool.loop.time() - self._answer_started_at
        if response.received <= MAX_BODY:
            if response.length is None:
                if not response.received or elapsed <= STREAM_DELAY_UNKNOWN_LENGTH:
                    return
            elif response.length <= MAX_BODY:
                return
            elif elapsed < STREAM_DELAY_KNOWN_LENGTH:
                self._pool.loop.call_later(STREAM_DELAY_KNOWN_LENGTH, self._retry_streaming, response)
                return
        self.start_streaming()

    def start_streaming(self) -> None:
        """Passes on what has come of the answer, and the rest as it comes."""
        attempt, response = self.attempt, self._parser.response
        if attempt is None or response is None or not self._pool.sink.on_answer_started(attempt, response):
            return
        if self.attempt is not attempt:
            return  # the caller disconnected during the call
        self._streaming_answer = True
        received, response.body = bytes(response.body), bytearray()
        self._release_held()
        response.body_sink = self._forward
        self._forward(received)

    def _retry_streaming(self, response: Response) -> None:
        if self._parser.response is response:
            self._try_streaming()

    def _forward(self, data: bytes) -> None:
        if self.attempt is not None:
            self._pool.sink.on_answer_data(self.attempt, data)

    def set_reading_paused(self, paused: bool) -> None:
        """Pauses or resumes reading from the backend."""
        self._reading_paused = paused
        self.last_read_at = self._pool.loop.time()
        if self.transport is None or self.transport.is_closing():
            return
        if paused:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    # ---- streamed request bodies -----------------------------------------

    def pause_writing(self) -> None:
        self._write_blocked = True

    def resume_writing(self) -> None:
        self._write_blocked = False
        if self.request_incomplete and self.attempt is not None and self.attempt.stream is not None:
            self.attempt.stream.deliver()

    def can_accept(self) -> bool:
        """Whether the write buffer has room for more of the request."""
        return not self._write_blocked and self.transport is not None

    def write_body(self, data: bytes) -> None:
        """Writes the next bytes of the body."""
        if self.transport is not None and self.attempt is not None and data:
            self._write(chunk(data) if self.attempt.chunked else data)

    def end_body(self) -> None:
        """Writes the end of the body."""
        self.request_incomplete = False
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
        self._parser.close()

    # ---- the request ---------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Writes an attempt's request."""
        assert self.transport is not None
        self.assign(attempt)
        attempt.head = self._pool.sink.request_head(attempt)
        if self._pool.before_send is not None:
            self._pool.before_send(attempt)
        data = attempt.head + attempt.body
        self.bytes_written += len(data)
        self.transport.write(data)
        if attempt.stream is not None:
            self.request_incomplete = True
            attempt.stream.attach(self)

    def assign(self, attempt: Attempt) -> None:
        """Assigns an attempt: all further input is the answer to it."""
        assert self.attempt is None
        self.attempt = attempt
        attempt.connection = self
        self.use_count += 1
        self.last_call_id = attempt.call_id
        self.attempt_started_at = self.last_read_at = self._pool.loop.time()
        self._answer_started_at = 0.0
        self.partial_answer = PartialAnswer()

    def is_silent(self) -> bool:
        """Whether the connection is up and nothing has arrived on it, so that it can carry a request.

        Input before a request (a second copy of the last answer, noise) must not become its answer, and nothing may
        be written to a connection that the backend has closed. The event loop may not have reported either yet;
        both make the socket readable.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        return not self._has_unread_data()

    def abort_body(self) -> None:
        """Fails the attempt, as the rest of the request body will never arrive."""
        self._fail("its body is lost")

    # ---- the answer ----------------------------------------------------------------------

    def _on_answered(self, attempt: Attempt, response: Response) -> None:
        answered_early = self.request_incomplete
        self._release()
        outcome, reason = self._judge(attempt, response)
        if outcome is not Outcome.OK:
            reason = f"{reason} {self._elapsed()}"
        if self._parser.has_surplus:
            log.info("more than the answer on %s; closing", self)
            self._pool.reuse.on_surplus_input(self._pool.loop.time())
            self.close(CloseReason.SURPLUS_INPUT)
        elif response.keep_alive and not answered_early and not response.until_eof:
            self._pool.keep_or_close(self, attempt.repeat)
        else:
            self.close(CloseReason.NOT_KEPT)
        if answered_early and outcome is Outcome.OK:
            outcome, reason = Outcome.BROKEN, "answered before the request was complete"
        self._pool.finish(attempt, outcome, response, reason)

    def _judge(self, attempt: Attempt, response: Response) -> tuple[Outcome, str]:
        """The outcome of an answer, and the reason for the log; a rejection may be that of an earlier request."""
        outcome, reason = classify(response)
        now = self._pool.loop.time()
        if outcome is Outcome.FULL and not self._pool.reuse.proves_rejection(
            now, attempt.repeat, self.use_count == 1
        ):
            return Outcome.ERROR, f"{reason}, which late input may have been,"
        return outcome, reason

    # ---- closing ----------------------------------------------------------------------------

    def _release(self) -> None:
        if self.attempt is not None:
            self.attempt.connection = None
            if self.attempt.stream is not None:
                self.attempt.stream.detach(self)
        self.attempt = None
        self._streaming_answer = self.request_incomplete = False
        self._release_held()
        if self._reading_paused:
            self.set_reading_paused(False)

    def _fail(self, reason: str) -> None:
        """Ends the attempt, which can get no valid answer any more, and closes the connection."""
        self._on_lost(reason)
        self.close(CloseReason.ANSWER_BROKEN)

    def _elapsed(self) -> str:
        """When and where the current event of an attempt happened, for the log."""
        elapsed = self._pool.loop.time() - self.attempt_started_at
        return f"{elapsed * 1000.0:.1f} ms after the request on {self}"

    def _on_lost(self, reason: str) -> None:
        """Handles a connection that is no longer usable: ends its attempt, which may have run."""
        self._pool.remove_from_pool(self)
        attempt = self.attempt
        if attempt is None:
            return
        if (
            self.last_read_at == self.attempt_started_at
            and self._pool.loop.time() - self.attempt_started_at < IMMEDIATE_RESET_WINDOW
        ):
            idle_before = self.attempt_started_at - self.idle_since if self.use_count > 1 else 0.0
            self._pool.reuse.on_immediate_reset(self._pool.loop.time(), idle_before)
        response = self._parser.response
        request_incomplete = self.request_incomplete
        reason = f"{reason} {self._elapsed()}"
        self._release()
        if response is not None and self._parser.head_done and response.status != 200:
            outcome, cause = self._judge(attempt, response)
            self._pool.finish(attempt, outcome, None, f"{cause}; {reason}")
        elif request_incomplete:
            # A backend runs a request only after its last byte, so this one never ran.
            self._pool.finish(attempt, Outcome.UNREACHABLE, None, f"{reason} before the request was complete")
        else:
            self._pool.finish(attempt, Outcome.BROKEN, None, reason)

    def extend_timeouts(self, held_up: float, now: float) -> None:
        """Extends the limits on the answer by a time in which this process did not read what may have come of it."""
        self.last_read_at = min(now, self.last_read_at + held_up)
        if self._answer_started_at:
            self._answer_started_at = min(now, self._answer_started_at + held_up)

    def check_progress(self, now: float) -> None:
        """Acts on an answer that has begun and then pauses, or takes long: see `weldroute/partial_answer.py`."""
        attempt = self.attempt
        if attempt is None or not self._answer_started_at or self._reading_paused:
            return
        pause = now - self.last_read_at
        if self._streaming_answer:
            if pause > STREAM_STALL_TIMEOUT:
                self.break_off()
            return
        pauses = pause > ANSWER_STALL_TIMEOUT or now - self._answer_started_at > ANSWER_READ_TIMEOUT
        if pauses and not self._may_become_an_answer():
            self.break_off()
            return
        time_left = self._pool.sink.time_left(attempt)
        step = self.partial_answer.next_step(now, pauses, self.may_stream, time_left)
        if step is AnswerStep.STREAM:
            self.start_streaming()
        elif step is AnswerStep.SEEK_ALTERNATIVE:
            has_alternative = self._pool.sink.seek_alternative(attempt, may_replace=not self.may_stream)
            if not has_alternative and self.may_stream:
                self.start_streaming()

    def _may_become_an_answer(self) -> bool:
        """Whether the rest of what has come could still make it the answer to the request."""
        response = self._parser.response
        if response is None or self.request_incomplete:
            return False
        return not self._parser.head_done or response.status == 200

    @property
    def may_stream(self) -> bool:
        """Whether the answer is good so far and may be passed on before it is complete."""
        response = self._parser.response
        if self.attempt is None or response is None or not self._parser.head_done or response.status != 200:
            return False
        return not self.request_incomplete and (response.length is None or response.length > MAX_BODY)

    @property
    def answer_size(self) -> int:
        """Bytes that have come of the body of the answer."""
        return self._parser.response.received if self._parser.response is not None else 0

    def break_off(self) -> None:
        """Ends the attempt, whose answer does not go on, and closes the connection."""
        self._fail(f"the answer stalled: {self.progress()}")

    def progress(self) -> str:
        """Describes the progress of the attempt, for the log."""
        kind = "a used" if self.use_count > 1 else "a new"
        response = self._parser.response
        if self.request_incomplete:
            return f"its body was not complete on {kind} connection"
        if response is None or not self._parser.head_done:
            return f"no complete answer head on {kind} connection"
        return f"{response.received} of {response.length} bytes of an answer on {kind} connection"

    def close(self, reason: CloseReason) -> None:
        """Aborts the connection; an attempt on it has been ended by the caller of this method."""
        if self.close_reason is CloseReason.BY_BACKEND:
            self.close_reason = reason
        self._release()
        if self.transport is not None:
            self.transport.abort()


def loggable_id(call_id: bytes) -> str:
    """A request's id as far as it may be written to the log: peers choose it."""
    return repr(call_id[:32])[2:-1] or "without an id"


def classify(response: Response) -> tuple[Outcome, str]:
    """The outcome of a complete answer, and the reason for the log."""
    if response.status == 200:
        return Outcome.OK, ""
    if response.status in (503, 504) and (b"x-rejected", b"1") in response.headers:
        return Outcome.FULL, f"rejected with {response.status}"
    if 400 <= response.status < 500:
        return Outcome.REJECTED, f"status {response.status}"
    return Outcome.ERROR, f"status {response.status}"


class Backends:
    """All backends by id, and all connections to them."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        network: Network,
        sink: AttemptSink,
        descriptors: DescriptorBudget,
        connect_timeout: float,
        idle_timeout: float,
        memory: MemoryBudget,
    ) -> None:
        self.loop = loop
        self.memory = memory
        self.network = network
        self.sink = sink
        self._descriptors = descriptors
        self._connect_timeout = connect_timeout
        self.reuse = ConnectionReuse(idle_timeout)
        self._backends: dict[ServerId, Backend] = {}
        self._owners: dict[Address, ServerId] = {}  # the backend last listed at each address
        self._idle: dict[BackendConnection, None] = {}  # of all backends, longest idle first
        self._busy: dict[BackendConnection, None] = {}
        self.connections_opened = 0  # since the process started
        self._connection_count = 0  # since the process started, with those that were taken over
        self.before_send: Callable[[Attempt], None] | None = None  # called before an attempt is written
        self._takeover_tasks: set[asyncio.Task[None]] = set()
        descriptors.evict_backend = self._evict

    def next_connection_number(self) -> int:
        """A number that no other connection of this process has."""
        self._connection_count += 1
        return self._connection_count

    # ---- backend list ------------------------------------------------------------------------

    def update(self, server: ServerId, address: Address, started_at: float, usable: bool) -> ServerId | None:
        """Adds or updates a listed backend; of two backends at one address, removes and returns the older one.

        A backend that started later at the same address shows that the earlier one has ended, whether or not
        discovery has reported it. Otherwise requests to the one would reach the other, and the drains, the warm-up
        and the learned state of the old backend would be applied to the new one. The cost: of two ids that share an
        address on purpose, the older is dropped if they started at different times.
        """
        previous = self._owners.get(address)
        if previous is not None and previous != server and self._backends[previous].started_at > started_at:
            self.forget(server)
            return server
        backend = self._backends.get(server)
        if backend is None:
            backend = self._backends[server] = Backend(server, address, started_at, usable)
        elif address != backend.address or started_at != backend.started_at or not usable:
            # The connections may lead to a process that has ended.
            self.drop_idle(server, CloseReason.BACKEND_CHANGED)
            self._release_address(server, backend)
        backend.address, backend.started_at, backend.usable = address, started_at, usable
        self._owners[address] = server
        if previous is not None and previous != server and self._backends[previous].started_at < started_at:
            self.forget(previous)
            return previous
        return None

    def _release_address(self, server: ServerId, backend: Backend) -> None:
        if self._owners.get(backend.address) == server:
            del self._owners[backend.address]

    def forget(self, server: ServerId) -> None:
        """Removes a backend that discovery no longer lists."""
        self.drop_idle(server, CloseReason.BACKEND_CHANGED)
        backend = self._backends.pop(server, None)
        if backend is not None:
            backend.usable = False  # connections in use are closed after their attempt, not pooled
            self._release_address(server, backend)

    def server_ids(self) -> list[ServerId]:
        """Ids of all listed backends."""
        return list(self._backends)

    def address_of(self, server: ServerId) -> Address | None:
        """The address of a backend, or None if it is unknown."""
        backend = self._backends.get(server)
        return backend.address if backend is not None else None

    def drop_idle(self, server: ServerId, reason: CloseReason) -> None:
        """Closes the idle connections to one backend."""
        backend = self._backends.get(server)
        if backend is not None:
            for connection in list(backend.idle):
                self._discard(connection, reason)

    # ---- attempts ------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Begins an attempt; its end is reported later, never from within this call."""
        backend = self._backends.get(attempt.server)
        if backend is None:
            self.loop.call_soon(self.finish, attempt, Outcome.UNREACHABLE, None, "no such backend")
            return
        connection = self._take_idle(backend, attempt)
        if connection is not None:
            connection.send(attempt)
            return
        self.connections_opened += 1
        attempt.connect_task = self.loop.create_task(self._connect(backend, attempt))

    def _take_idle(self, backend: Backend, attempt: Attempt) -> BackendConnection | None:
        """Takes the youngest idle connection that may carry an attempt, or None if there is none."""
        if not self.reuse.may_reuse(attempt.repeat, attempt.number == 0):
            return None
        now = self.loop.time()
        oldest_usable = now - self.reuse.max_idle(now, attempt.repeat)
        idle = backend.idle  # the longest idle first
        index = self._rested_count(backend) - 1
        while index >= 0 and idle[index].idle_since > oldest_usable:
            connection = idle[index]
            index -= 1
            if connection.is_silent():
                self.remove_from_pool(connection)
                self._busy[connection] = None
                return connection
            self._discard(connection, CloseReason.UNREAD_INPUT)
        return None

    def take_over(self, attempt: Attempt, connection: Any, bytes_written: int, bytes_read: int) -> None:
        """Continues an attempt that another process has sent, on its connection (as `Network.attach` takes it).

        Its descriptor is counted already.
        """
        backend = self._backends.get(attempt.server) or Backend(attempt.server, ("", 0), 0.0, usable=False)
        protocol = BackendConnection(self, backend)
        protocol.bytes_written, protocol.bytes_read = bytes_written, bytes_read
        protocol.use_count = 1  # it may have carried other requests before
        protocol.idle_since = self.loop.time()
        protocol.assign(attempt)
        self._busy[protocol] = None
        task = self.loop.create_task(self._attach(protocol, attempt, connection))
        self._takeover_tasks.add(task)
        task.add_done_callback(self._takeover_tasks.discard)

    async def _attach(self, protocol: BackendConnection, attempt: Attempt, connection: Any) -> None:
        try:
            await self.network.attach(connection, lambda: protocol)
        except OSError as error:
            if not protocol.connected:
                connection.close()
                self.on_closed(protocol)
            self.finish(attempt, Outcome.BROKEN, None, f"takeover of its connection failed: {error}")
        if attempt.ended:  # while the connection was attached
            protocol.close(CloseReason.ATTEMPT_CANCELLED)

    async def _connect(self, backend: Backend, attempt: Attempt) -> None:
        connection = BackendConnection(self, backend)
        has_descriptor = False
        try:
            async with asyncio.timeout(self._connect_timeout):
                while not has_descriptor:
                    descriptor_free = asyncio.Event()
                    has_descriptor = self._descriptors.acquire_backend(descriptor_free.set)
                    if not has_descriptor:
                        await descriptor_free.wait()
                await self.loop.create_connection(lambda: connection, *backend.address)
        except (OSError, TimeoutError) as error:
            reason = "no descriptor free" if not has_descriptor else str(error) or "no connection in time"
            attempt.connect_task = None
            self.finish(attempt, Outcome.UNREACHABLE, None, reason)
            return
        finally:
            if has_descriptor and not connection.connected:  # otherwise it is released when the connection is lost
                self._descriptors.release_backend()
        attempt.connect_task = None
        if attempt.ended:
            connection.close(CloseReason.ATTEMPT_CANCELLED)
            return
        if connection.transport is None:
            self.finish(attempt, Outcome.UNREACHABLE, None, "connection lost right after it was made")
            return
        if not connection.is_silent():
            # Whatever has come, or the end of the connection, came before the request: it can't be an answer to it.
            connection.close(CloseReason.UNREAD_INPUT)
            self.finish(attempt, Outcome.UNREACHABLE, None, "closed or written to by the backend before the request")
            return
        if self._backends.get(attempt.server) is not backend or not connection.is_current:
            # Another process may have the address by now, and may be the one that has accepted the connection.
            connection.close(CloseReason.BACKEND_CHANGED)
            self.finish(attempt, Outcome.UNREACHABLE, None, "its backend moved, restarted or went while connecting")
            return
        if not self.sink.may_start(attempt):
            # Something has changed while the connection was made: see `Balancer.may_start`.
            self.return_to_pool(connection)
            self.finish(attempt, Outcome.VOID, None, "no longer needed when its connection was made")
            return
        self._busy[connection] = None
        connection.send(attempt)

    def cancel(self, attempt: Attempt) -> str:
        """Cancels an attempt and closes its connection, on which the answer may still arrive.

        Returns its progress, for the log.
        """
        attempt.ended = True
        progress = self.progress(attempt)
        if attempt.connect_task is not None:
            attempt.connect_task.cancel()
            attempt.connect_task = None
        if attempt.connection is not None:
            attempt.connection.close(CloseReason.ATTEMPT_CANCELLED)
        return progress

    def progress(self, attempt: Attempt) -> str:
        """Describes the progress of an attempt, for the log."""
        return attempt.connection.progress() if attempt.connection is not None else "not connected"

    def is_slow(self, attempt: Attempt) -> bool:
        """Whether the answer of an attempt has begun and is slow."""
        return attempt.connection is not None and attempt.connection.partial_answer.is_slow

    def all_slow(self, attempts: Sequence[Attempt]) -> bool:
        """Whether the answers of all open attempts have begun and are slow."""
        return all(self.is_slow(attempt) for attempt in attempts if not attempt.ended)

    def stream_longest(self, attempts: Sequence[Attempt]) -> None:
        """Streams the answer of which most has come, among those of open attempts that may be streamed."""
        connections = [attempt.connection for attempt in attempts if attempt.connection is not None]
        candidates = [connection for connection in connections if connection.may_stream]
        if candidates:
            max(candidates, key=lambda connection: connection.answer_size).start_streaming()

    def break_off(self, attempt: Attempt) -> None:
        """Ends an attempt whose answer does not go on, and reports it as broken."""
        if attempt.connection is not None:
            attempt.connection.break_off()

    def finish(self, attempt: Attempt, outcome: Outcome, response: Response | None, reason: str) -> None:
        """Reports the end of an attempt, once."""
        if not attempt.ended:
            attempt.ended = True
            self.sink.on_attempt_ended(attempt, outcome, response, reason)

    # ---- pools ---------------------------------------------------------------------------

    def return_to_pool(self, connection: BackendConnection) -> None:
        """Keeps a connection for later attempts, unless its backend has moved, restarted or been removed."""
        backend = connection.backend
        self._busy.pop(connection, None)
        if not backend.usable or not connection.is_current:
            connection.close(CloseReason.BACKEND_CHANGED)
            return
        connection.idle_since = self.loop.time()
        backend.idle.append(connection)
        self._idle[connection] = None

    def keep_or_close(self, connection: BackendConnection, repeat: Repeat) -> None:
        """Keeps a connection after an answer to a request with this effect, or closes it if it isn't needed.

        A class whose requests each open a connection would otherwise leave one behind for every request, and at a
        high rate connections that rest would hold all descriptors.
        """
        needed = not connection.backend.idle or self.reuse.may_reuse(repeat, first_attempt=True)
        if not needed or not self._descriptors.allows_idle():
            self._busy.pop(connection, None)
            connection.close(CloseReason.NOT_NEEDED)
        else:
            self.return_to_pool(connection)

    def remove_from_pool(self, connection: BackendConnection) -> None:
        """Removes a connection from the pool."""
        if connection in self._idle:
            del self._idle[connection]
            connection.backend.idle.remove(connection)

    def on_closed(self, connection: BackendConnection) -> None:
        """Removes a closed connection and releases its descriptor."""
        self._busy.pop(connection, None)
        self.remove_from_pool(connection)
        self._descriptors.release_backend()
        reason = connection.close_reason
        log.info("%s ended: %s", connection, reason.value, extra={"cause": reason.name})
        self.sink.on_backend_connection_closed(reason)

    def _discard(self, connection: BackendConnection, reason: CloseReason) -> None:
        self.remove_from_pool(connection)
        connection.close(reason)

    def _evict(self) -> bool:
        for connection in self._idle:
            self._discard(connection, CloseReason.DESCRIPTOR_NEEDED)
            return True
        return False

    def sweep(self, held_up: float = 0.0) -> None:
        """Closes connections idle for too long, and checks the progress of answers.

        Seconds in which this process did not run (`held_up`) don't count against backends.
        """
        now = self.loop.time()
        while self._idle:
            connection = next(iter(self._idle))
            if connection.idle_since > now - self.reuse.idle_timeout:
                break
            self._discard(connection, CloseReason.IDLE_TIMEOUT)
        if held_up:
            for connection in self._busy:
                connection.extend_timeouts(held_up, now)
            return  # answers may wait unread
        for connection in list(self._busy):
            connection.check_progress(now)

    def idle_servers(self) -> dict[ServerId, int]:
        """Number of idle connections, by backend that has any."""
        return {server: len(backend.idle) for server, backend in self._backends.items() if backend.idle}

    def _rested_count(self, backend: Backend) -> int:
        """Number of a backend's idle connections that have rested; they stand first in its list."""
        latest = self.reuse.latest_reusable(self.loop.time(), backend.last_input_at)
        return bisect_right(backend.idle, latest, key=lambda connection: connection.idle_since)

    def counts(self) -> tuple[int, int]:
        """Numbers of connections in use and idle."""
        return len(self._busy), len(self._idle)
