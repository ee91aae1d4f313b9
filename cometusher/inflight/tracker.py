"""Records a process's in-flight requests in its journal, and finishes those of dead processes as their successor.

`weldroute.takeover` decides and `weldroute.request_journal` lays the journal out; the design is described in
`docs/design/takeover.md`. Imported only by an instance whose fleet has takeover switched on. The caller passes in the
channel that holds the journal and delivers the offers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

from cometusher.http1 import Headers, Malformed, Request, RequestParser, request_head
from weldroute import Fail, Refuse
from weldroute.model import PriorAttempt, RequestClass
from weldroute.operations import LifecycleState
from weldroute.request_journal import (
    BUSY,
    CLOSED,
    IDLE,
    INLINE_SIZE,
    NONE,
    AttemptEnd,
    ConnectionRecord,
    JournalPool,
    KeyIndex,
    Origin,
    OrphanedJournal,
    Progress,
    RequestJournal,
    RequestRecord,
    Stage,
    digest_of,
)
from weldroute.takeover import (
    OK_STATUS_PREFIX,
    ConnectionCounters,
    FollowStep,
    IdleConnectionAction,
    TakeoverAction,
    assess,
    decide_follow,
    decide_idle_connection,
    decide_takeover,
    key_expiry,
)

if TYPE_CHECKING:
    from cometusher.backends import Attempt
    from cometusher.callers import CallerConnection
    from cometusher.proxy import Exchange, Proxy, TakenOverConnection

log = logging.getLogger("cometusher.inhand.hand")  # the `subsystem` of its log records

MAX_RECORDED_BODY = 64 * 1024  # bytes; of a longer body the journal holds only that there was one
UNCOVERED = -2  # in place of a handle: the journal had no room
SPARE_DESCRIPTORS = 8  # that must stay free beside those that come with an offer
MAX_OFFER_DESCRIPTORS = (
    40  # that must be free to receive an offer: BATCH_DESCRIPTORS of a message, and the spare ones
)
FOLLOW_INTERVAL = 0.005  # seconds between polls of a followed request
MAX_FOLLOWERS = 256  # requests that wait for another of their key; further ones are sent to a backend
EXPIRY_INTERVAL = 1.0  # seconds between checks of the retained answers
WINDOW_MARGIN = 0.9  # part of a keyed class's window in which its answer is retained


JournalLocation = tuple[int, int]  # journal and slot


@dataclass(slots=True)
class ReceivedOffer:
    """What a successor receives; connections are of the type that `Network.attach` takes."""

    journal_number: int
    process: int
    slot: int
    term: int
    source_journal: OrphanedJournal | None  # the journal that records the request
    caller: Any | None
    attempts: list[Any | None]
    idle_connections: list[tuple[ConnectionRecord, Any]] = field(default_factory=list)

    def close(self) -> None:
        """Close the connections that were not taken out of the offer."""
        for connection in (self.caller, *self.attempts, *(idle for _, idle in self.idle_connections)):
            if connection is not None:
                connection.close()
        self.caller, self.attempts, self.idle_connections = None, [], []


class TakeoverChannel(Protocol):
    """Provides the journals in shared memory, and the offers of the supervisor."""

    pool: JournalPool
    process: int
    number: int  # of this process's journal in the pool
    keys: KeyIndex

    @property
    def memory(self) -> memoryview:
        """This process's own journal."""

    def journal_of(self, number: int) -> OrphanedJournal:
        """Any journal of the pool; raises ValueError for a number outside it."""

    def start_receiving(self, on_offer: Callable[[ReceivedOffer], None], has_room: Callable[[], bool]) -> None:
        """Call `on_offer` for each offer from here on, while `has_room()`."""


@dataclass(slots=True)
class Follower:
    """A request that waits for the answer to another request of its key."""

    exchange: Exchange
    key: int
    location: JournalLocation
    proceed: Callable[[], None]  # sends the request to a backend after all


class RequestCollector:
    """Receives the request that is parsed from a record."""

    def __init__(self) -> None:
        self.request: Request | None = None

    def on_request_begin(self) -> None: ...

    def on_request_head(self, request: Request) -> None: ...

    def on_large_body(self, request: Request) -> None:
        raise Malformed(413, "longer than a journal record holds")

    def on_request(self, request: Request) -> None:
        self.request = request


def serialize_request(exchange: Exchange, complete: bool) -> bytes:
    """The bytes to record of a request that arrived in pieces; without a complete body, only the head."""
    request = exchange.request
    body = bytes(request.body) if complete else b""
    headers = [*exchange.headers, (b"content-length", b"%d" % len(body))] if body else exchange.headers
    return request_head(request.method, request.target, headers) + body


def parse_request(record: RequestRecord) -> Request | None:
    """Parse a recorded request; None if it is malformed."""
    collector = RequestCollector()
    try:
        RequestParser(collector).feed(record.request)
    except Malformed as error:
        log.error("cannot parse a recorded request: %s", error)
    if collector.request is not None:
        collector.request.keep_alive = not record.closes_connection and record.body_stored
    return collector.request


def request_digest(request: Request) -> int:
    """A digest of a keyed request: its key, tenant, class, target and body."""
    headers = dict(request.headers)
    return digest_of(
        headers.get(b"idempotency-key", b""),
        headers.get(b"x-caller", b""),
        headers.get(b"x-call-class", b""),
        request.target,
        request.body,
    )


def parse_answer(data: bytes) -> tuple[int, Headers, bytes]:
    """Status, headers (without connection and length) and body of an answer as a process of this fleet wrote it."""
    head, _, body = data.partition(b"\r\n\r\n")
    status_line, *lines = head.split(b"\r\n")
    headers = [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]
    return (
        int(status_line.split(b" ")[1]),
        [header for header in headers if header[0] not in (b"connection", b"content-length")],
        body,
    )


def _written_length(attempt: Attempt, request: Request) -> int:
    """Bytes of an attempt's request as it is written; 0 where that is not known yet."""
    if attempt.stream is None:
        return len(attempt.head) + len(attempt.body)
    return len(attempt.head) + request.length if request.length is not None else 0


class InflightTracker:
    """Tracks the in-flight requests of one process, and the requests that it takes over.

    A request is recorded with its first attempt, just before that is written. One that has to wait for admission, for
    a connection or for its body is recorded when it begins to wait. Nothing is sent for a request before its record.
    """

    def __init__(self, proxy: Proxy, channel: TakeoverChannel) -> None:
        self._proxy = proxy
        self._network = proxy.network
        self._channel = channel
        self.journal = RequestJournal(channel.memory, channel.pool.size, channel.process)
        self._owners: dict[int, CallerConnection] = {}  # by descriptor
        self._tasks: set[asyncio.Task[None]] = set()
        self._keyed: dict[int, float] = {}  # by handle of a keyed request: until when to retain its answer
        self._followers: dict[str, Follower] = {}
        self._expiry_scheduled = False  # a check of the retained answers is scheduled
        # By descriptor of a connection taken over with unread bytes: up to which byte, and when the last one arrived.
        self.unread_on_arrival: dict[int, tuple[int, float]] = {}
        self.joined = 0  # requests that followed another of their key
        self.answered = 0  # of those, the ones that got its answer
        self.takeovers: dict[str, int] = {}  # requests taken over, by action
        self.moved = 0  # idle connections taken over
        self.declined = 0
        self.report_declined: Callable[[ReceivedOffer], None] = lambda offer: None  # reports it to the supervisor
        self.on_stage: Callable[[str], None] | None = None  # called at each stage boundary; for tests
        self._offset = proxy.clock.from_machine(0.0)
        proxy.callers.inflight = self
        proxy.backends.before_send = self._on_attempt

    def start(self) -> None:
        """Begin to receive offers."""
        self._channel.start_receiving(
            self._on_offer,
            lambda: self._proxy.descriptors.has_room(
                MAX_OFFER_DESCRIPTORS, MAX_OFFER_DESCRIPTORS - SPARE_DESCRIPTORS
            ),
        )

    def counters(self) -> dict[str, int]:
        """Counters for the instance's status."""
        return {
            "open": self._proxy.open_requests,
            "covered": self.journal.covered,
            "uncovered": self.journal.uncovered,
            "moved": self.moved,
            "declined": self.declined,
            "joined": self.joined,
            "answered": self.answered,
            "kept": self.journal.retained,
            **{action.replace(" ", "_"): count for action, count in self.takeovers.items()},
        }

    # ---- callers' connections ------------------------------------------------------------

    def on_connection_opened(self, caller: CallerConnection) -> None:
        """A caller's connection is established."""
        assert caller.transport is not None
        caller.descriptor, caller.connection_id = self._network.connection_id(caller.transport)
        self._owners[caller.descriptor] = caller
        state = IDLE if caller.journal_slot == NONE else BUSY
        self.journal.record_connection(
            caller.descriptor, caller.connection_id, caller.bytes_read, caller.bytes_written, state
        )

    def on_connection_idle(self, caller: CallerConnection) -> None:
        """A connection without a record is between requests; for one with a record, its last answer shows that."""
        self.journal.record_connection(
            caller.descriptor, caller.connection_id, caller.bytes_read, caller.bytes_written, IDLE
        )

    def on_connection_leaving(self, caller: CallerConnection) -> None:
        """No answer is due on the connection any more, or none that another process could give."""
        if self._owners.get(caller.descriptor) is caller:
            self.journal.record_connection(caller.descriptor, caller.connection_id, 0, 0, BUSY)
        self._release(caller)

    def on_connection_closed(self, caller: CallerConnection) -> None:
        """A connection is closed. Its descriptor may belong to another one already."""
        if self._owners.get(caller.descriptor) is caller:
            del self._owners[caller.descriptor]
            self.unread_on_arrival.pop(caller.descriptor, None)
            self.journal.record_connection(caller.descriptor, 0, 0, 0, CLOSED)
        self._release(caller)

    def _release(self, caller: CallerConnection) -> None:
        """Release a connection's record, or retain it where it holds the answer of a key."""
        handle, caller.journal_slot = caller.journal_slot, NONE
        until = self._keyed.pop(handle, None)
        if until is not None:
            self._retain(handle, until)
        elif handle != NONE:
            self.journal.release(handle)

    def _retain(self, handle: int, until: float) -> None:
        self.journal.retain_answer(handle, until)
        if not self._expiry_scheduled:
            self._expiry_scheduled = True
            self._proxy.loop.call_later(EXPIRY_INTERVAL, self._expire)

    def _expire(self) -> None:
        """Release answers whose time is over; `decide_follow` does not replay them until then."""
        self.journal.expire_answers(self._network.monotonic())
        self._expiry_scheduled = self.journal.retained > 0
        if self._expiry_scheduled:
            self._proxy.loop.call_later(EXPIRY_INTERVAL, self._expire)

    def discard(self, handle: int) -> None:
        """Release a record without retaining its answer."""
        self._keyed.pop(handle, None)
        self.journal.release(handle)

    # ---- requests ------------------------------------------------------------------------

    def unread_wait(self, caller: CallerConnection) -> float:
        """Seconds that a request has waited to be read, if its connection was taken over with all of it unread.

        Guards against counting its time only from now when the previous process had stalled for most of it.
        """
        unread_end, arrived_at = self.unread_on_arrival.pop(caller.descriptor, (0, 0.0))
        return self._network.monotonic() - arrived_at if caller.bytes_read <= unread_end else 0.0

    def _note_unread(self, caller: CallerConnection, counters: ConnectionCounters) -> None:
        """Remember how many bytes wait on a connection that was taken over, and since when."""
        if counters.unread:
            self.unread_on_arrival[caller.descriptor] = (
                counters.read + counters.unread,
                self._network.monotonic() - counters.last_data_age,
            )

    def ensure_recorded(self, exchange: Exchange) -> None:
        """Record a request, unless it is recorded already."""
        if exchange.journal_slot != NONE:
            return
        caller, request = exchange.caller, exchange.request
        raw = caller.last_request_bytes
        complete = request.stream is None and (bool(raw) or len(request.body) <= MAX_RECORDED_BODY)
        previous = self._previous_record(caller)
        exchange.journal_slot = caller.journal_slot = self.journal.record_request(
            raw if raw and complete else serialize_request(exchange, complete),
            self._proxy.clock.to_machine(exchange.deadline),
            self._network.monotonic(),
            caller.descriptor,
            caller.connection_id,
            caller.bytes_read,
            complete,
            not request.keep_alive,
            None,
            exchange.dedup_key,
            previous,
            exchange.answer_stored_until,
            request.stream is None or request.stream.ending,
        )
        if exchange.journal_slot == NONE:
            exchange.journal_slot = self._mark_uncovered(caller)
        elif exchange.dedup_key:
            self._keyed[exchange.journal_slot] = exchange.answer_stored_until

    def _previous_record(self, caller: CallerConnection) -> int:
        """The record of the connection's previous request, to be reused; NONE if there is none or it is retained."""
        previous = caller.journal_slot
        until = self._keyed.pop(previous, None)
        if until is None:
            return previous
        self._retain(previous, until)
        return NONE

    def record_waiting(self, exchange: Exchange) -> None:
        """Record a request that waits: nothing was sent for it yet, and it is not answered."""
        self.ensure_recorded(exchange)
        if self.on_stage is not None:
            self.on_stage("taken")

    def find_same_key(self, exchange: Exchange, request_class: RequestClass) -> tuple[JournalLocation | None, int]:
        """Find another request of a keyed request's key, in flight or retained; also returns the key's index row."""
        exchange.dedup_key = key = request_digest(exchange.request)
        now = self._network.monotonic()
        exchange.answer_stored_until = now + WINDOW_MARGIN * request_class.window
        location, row = self._channel.keys.lookup(key, now)
        if location is not None:
            progress = self._progress(location, key)
            if progress is None or decide_follow(progress, now)[0] is FollowStep.PROCEED:
                return None, row
        return location, row

    def follow(self, exchange: Exchange, location: JournalLocation, proceed: Callable[[], None]) -> bool:
        """Wait for the answer to the request at `location`; without one, call `proceed`. False: too many wait."""
        if len(self._followers) >= MAX_FOLLOWERS:
            return False
        self.ensure_recorded(exchange)
        self.joined += 1
        self._followers[exchange.request_id] = Follower(exchange, exchange.dedup_key, location, proceed)
        if len(self._followers) == 1:
            self._check_followers()
        if self.on_stage is not None:
            self.on_stage("joined")
        return True

    def publish_key(self, exchange: Exchange, row: int = NONE) -> None:
        """Let later requests of its key find this request; `row`: as `find_same_key` has just returned it."""
        if exchange.journal_slot >= 0:
            channel = self._channel
            slot = self.journal.slot_of(exchange.journal_slot)
            deadline = self._proxy.clock.to_machine(exchange.deadline)
            expires_at = key_expiry(deadline, exchange.answer_stored_until)
            channel.keys.put(exchange.dedup_key, channel.number, slot, expires_at, row)

    def _progress(self, location: JournalLocation, key: int) -> Progress | None:
        try:
            return self._channel.journal_of(location[0]).progress(location[1], key)
        except ValueError:
            return None  # no such journal: two processes wrote the index row at once

    def _check_followers(self) -> None:
        """Poll the requests that are followed."""
        now = self._network.monotonic()
        for request_id, follower in list(self._followers.items()):
            # The request that is followed may have been taken over, which gives it another location.
            follower.location = self._channel.keys.find(follower.key, now) or follower.location
            progress = self._progress(follower.location, follower.key)
            step, _ = decide_follow(progress, now)
            if step is FollowStep.WAIT:
                continue
            del self._followers[request_id]
            if step is FollowStep.DELIVER and progress is not None and progress.answer is not None:
                self.answered += 1
                self._proxy.serve_stored_answer(follower.exchange, *parse_answer(progress.answer))
            else:
                self.publish_key(follower.exchange)
                follower.proceed()
        if self._followers:
            self._proxy.loop.call_later(FOLLOW_INTERVAL, self._check_followers)

    def stop_following(self, exchange: Exchange) -> bool:
        """A request is over, or its deadline has passed; returns whether it was following another."""
        return self._followers.pop(exchange.request_id, None) is not None

    def on_body_received(self, exchange: Exchange) -> None:
        """The last byte of a request's body has arrived, and was not passed on yet: its deadline counts from here."""
        self.journal.record_body_received(
            exchange.journal_slot, self._proxy.clock.to_machine(exchange.deadline), exchange.caller.bytes_read
        )

    def _on_attempt(self, attempt: Attempt) -> None:
        """An attempt is about to be written."""
        exchange: Any = attempt.owner
        connection = attempt.connection
        assert connection is not None
        if not connection.connection_id:
            assert connection.transport is not None
            connection.descriptor, connection.connection_id = self._network.connection_id(connection.transport)
            server = self._proxy.balancer.servers.get(attempt.server)
            connection.failure_domain = (server.row.zone, server.row.cell) if server is not None else (0, 0)
        zone, cell = connection.failure_domain
        length = _written_length(attempt, exchange.request)
        offset = self._offset
        if exchange.journal_slot == NONE:
            caller = exchange.caller
            raw = caller.last_request_bytes
            if raw and len(raw) <= INLINE_SIZE and attempt.stream is None:
                previous = caller.journal_slot
                if previous in self._keyed:
                    previous = self._previous_record(caller)
                handle = self.journal.record_sent_request(
                    raw,
                    exchange.deadline - offset,
                    attempt.sent_at - offset,
                    caller.descriptor,
                    caller.connection_id,
                    caller.bytes_read,
                    not exchange.request.keep_alive,
                    previous,
                    attempt.server,
                    zone,
                    cell,
                    connection.descriptor,
                    connection.connection_id,
                    length,
                    connection.bytes_written,
                    connection.bytes_read,
                    exchange.dedup_key,
                    exchange.answer_stored_until,
                )
                if exchange.dedup_key and handle != NONE:
                    self._keyed[handle] = exchange.answer_stored_until
                attempt.journal_index = 0
                caller.journal_slot = handle
                exchange.journal_slot = handle if handle != NONE else self._mark_uncovered(caller)
                if self.on_stage is not None:
                    self.on_stage("sent")
                return
            self.ensure_recorded(exchange)
        attempt.journal_index = self.journal.record_attempt(
            exchange.journal_slot,
            attempt.server,
            zone,
            cell,
            attempt.sent_at - offset,
            connection.descriptor,
            connection.connection_id,
            length,
            connection.bytes_written,
            connection.bytes_read,
        )
        if self.on_stage is not None:
            self.on_stage("sent")

    def _mark_uncovered(self, caller: CallerConnection) -> int:
        self.journal.record_connection(caller.descriptor, caller.connection_id, 0, 0, BUSY)
        return UNCOVERED

    def on_attempt_failed(self, attempt: Attempt, exchange: Exchange, never_ran: bool) -> None:
        """An attempt has ended without an answer for the caller; `never_ran` says that it certainly did not run."""
        end = AttemptEnd.NEVER_RAN if never_ran else AttemptEnd.MAYBE_RAN
        self.journal.record_attempt_end(exchange.journal_slot, attempt.journal_index, end)

    def on_streaming(self, caller: CallerConnection) -> None:
        """A long answer is about to begin."""
        self.journal.record_streaming(caller.journal_slot)
        if self.on_stage is not None:
            self.on_stage("passing")

    def on_answer(self, caller: CallerConnection, request: Request, answer: bytes, closes_connection: bool) -> None:
        """An answer is about to be written. For a GET, which is safe to repeat, only its length is recorded."""
        handle = caller.journal_slot
        if request.method == b"GET":
            self.journal.record_answer_length(handle, caller.bytes_written, len(answer), closes_connection)
        else:
            self.journal.record_answer(handle, caller.bytes_written, answer, closes_connection)
            if not answer.startswith(OK_STATUS_PREFIX):
                self._keyed.pop(handle, None)
        if self.on_stage is not None:
            self.on_stage("answered")

    # ---- takeover ------------------------------------------------------------------------

    def _on_offer(self, offer: ReceivedOffer) -> None:
        if offer.source_journal is None and offer.slot < 0:
            if self.on_stage is not None:
                self.on_stage("moved")
            for record, connection in offer.idle_connections:
                # Counted before the next offer is examined, for which there may be no room then.
                self._proxy.descriptors.adopt(caller=True)
                self._start(self._resume_idle(record, connection))
            offer.idle_connections = []
            return
        if self.on_stage is not None:
            self.on_stage("offered")
        try:
            taken_over = offer.source_journal is not None and self._take_over(offer, offer.source_journal)
        except Exception:
            log.exception("taking a request over failed")
            taken_over = False
        if not taken_over:
            self.declined += 1
            offer.close()
            self.report_declined(offer)

    def _start(self, coroutine: Any) -> None:
        task = self._proxy.loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_over(self, offer: ReceivedOffer, source: OrphanedJournal) -> bool:
        """Record a request, adopt it, and act; False where this process can't take it, and nothing was done."""
        record = source.record_at(offer.slot)
        request = parse_request(record) if record is not None else None
        if record is None or request is None:
            # No process can answer it; the supervisor closes the connection.
            log.error("cannot read a request of process %d from its journal", offer.process)
            return False
        proxy = self._proxy
        count = 1 + sum(offered is not None for offered in offer.attempts)
        if proxy.operations.state is LifecycleState.STOPPING or not proxy.descriptors.has_room(
            count + SPARE_DESCRIPTORS
        ):
            return False
        try:
            terms = proxy.validate(request)
        except Malformed as error:
            log.warning("declined to take a request over: %s", error)
            return False
        caller_counters = (
            self._network.read_counters(offer.caller, record.caller_connection_id, False)
            if offer.caller is not None
            else None
        )
        attempt_counters = [
            self._network.read_counters(connection, attempt.connection_id, True) if connection is not None else None
            for attempt, connection in zip(record.attempts, offer.attempts, strict=True)
        ]
        request_class = proxy.config.settings.classes[terms.class_index]
        assessment = assess(record, request_class, caller_counters, attempt_counters)
        action, reason = decide_takeover(assessment, self._network.monotonic())
        if not proxy.memory.reserve(len(request.body)):
            return False
        request.reserved_bytes = len(request.body)
        handle = self.journal.copy_record(
            record,
            Origin(offer.process, offer.slot, offer.term),
            self._descriptor_of(offer.caller),
            [self._descriptor_of(offered) for offered in offer.attempts],
            assessment.attempt_ends,
        )
        if self.on_stage is not None:
            self.on_stage("noted")
        if handle == NONE or source.claimed_term(offer.slot) != offer.term:
            self.journal.release(handle)
            proxy.memory.release(request.reserved_bytes)
            return False
        if record.key:
            self._take_over_key(record, offer, handle)
        source.adopt(offer.slot, offer.term)
        if self.on_stage is not None:
            self.on_stage("adopted")
        self.takeovers[action.value] = self.takeovers.get(action.value, 0) + 1
        call_id = (request.header(b"x-call-id") or b"?").decode("latin-1")
        log.info(
            "took over request %s of process %d: %s: %s",
            call_id,
            offer.process,
            action.value,
            reason,
            extra={"event": "inherited", "request": call_id},
        )
        takeover = RequestTakeover(
            self, record, request, assessment.attempts, action, reason, handle, caller_counters
        )
        takeover.claim_connections(proxy, offer, attempt_counters)
        self._start(takeover.run(proxy))
        return True

    def _take_over_key(self, record: RequestRecord, offer: ReceivedOffer, handle: int) -> None:
        """Let followers of this request find it here, unless the index names another request of its key."""
        if record.answer is None or record.answer.startswith(OK_STATUS_PREFIX):
            self._keyed[handle] = record.replay_until
        keys, now = self._channel.keys, self._network.monotonic()
        location = keys.find(record.key, now)
        if (
            location is None
            or location == (offer.journal_number, offer.slot)
            or self._progress(location, record.key) is None
        ):
            expires_at = key_expiry(record.deadline, record.replay_until)
            keys.put(record.key, self._channel.number, self.journal.slot_of(handle), expires_at)

    @staticmethod
    def _descriptor_of(connection: Any | None) -> int:
        return int(connection.fileno()) if connection is not None else NONE

    async def _resume_idle(self, record: ConnectionRecord, connection: Any) -> None:
        """Continue a caller's connection that had no in-flight request."""
        counters = self._network.read_counters(connection, record.connection_id, False)
        action, reason = decide_idle_connection(record.bytes_read, record.bytes_written, counters)
        if action is IdleConnectionAction.DROP or counters is None:
            connection.close()
            self._proxy.descriptors.release_caller()
            return

        def on_connected(caller: CallerConnection) -> None:
            self.moved += 1
            self._note_unread(caller, counters)
            if action is IdleConnectionAction.REFUSE:
                log.info("refused a caller of another process: %s", reason)
                caller.reject(Malformed(503, "its proxy was lost"))
            else:
                caller.mark_idle()

        await self._proxy.callers.take_over(connection, counters.read, counters.written, NONE, on_connected)


@dataclass(slots=True)
class RequestTakeover:
    """One request that is taken over, from its adoption to the action."""

    tracker: InflightTracker
    record: RequestRecord
    request: Request
    attempts: tuple[PriorAttempt, ...]
    action: TakeoverAction
    reason: str
    handle: int
    caller_counters: ConnectionCounters | None
    connection: Any | None = None
    joined_connections: list[TakenOverConnection | None] = field(default_factory=list)

    def claim_connections(
        self, proxy: Proxy, offer: ReceivedOffer, attempt_counters: list[ConnectionCounters | None]
    ) -> None:
        """Take the connections that the action needs out of the offer, and close the others."""
        self.connection, offer.caller = offer.caller, None
        connections, offer.attempts = offer.attempts, []
        for connection, attempt, counters in zip(connections, self.attempts, attempt_counters, strict=True):
            joins = (
                connection is not None
                and counters is not None
                and attempt.joined
                and self.action is TakeoverAction.JOIN
            )
            self.joined_connections.append(
                (connection, counters.written, counters.read) if joins and counters is not None else None
            )
            if joins:
                proxy.descriptors.adopt(caller=False)
            elif connection is not None:
                connection.close()
        ends = self.action is TakeoverAction.ABORT or (
            self.action is TakeoverAction.NOTHING and not self._connection_continues()
        )
        if self.connection is None or self.caller_counters is None or ends:
            if self.connection is not None:
                if self.action is TakeoverAction.ABORT:
                    self.tracker._network.reset(self.connection)
                self.connection.close()
                self.connection = None
        else:
            proxy.descriptors.adopt(caller=True)

    async def run(self, proxy: Proxy) -> None:
        """Attach the caller's connection and carry out the action."""
        attached = False
        if self.connection is not None and self.caller_counters is not None:
            attached = await proxy.callers.take_over(
                self.connection,
                self.caller_counters.read,
                self.caller_counters.written,
                self.handle,
                lambda caller: self._act(proxy, caller),
            )
        if not attached:
            proxy.memory.release(self.request.reserved_bytes)
            self.tracker.discard(self.handle)
            for joined in filter(None, self.joined_connections):
                joined[0].close()
                proxy.descriptors.release_backend()

    def _connection_continues(self) -> bool:
        """Whether the caller's connection of an answered request stays open."""
        return (
            self.caller_counters is not None
            and not self.caller_counters.closed_by_peer
            and not self.record.closes_connection
        )

    def _act(self, proxy: Proxy, caller: CallerConnection) -> None:
        action, record = self.action, self.record
        finished = action is TakeoverAction.NOTHING or (
            action is TakeoverAction.REFUSE and record.stage is Stage.ANSWERED
        )
        if finished or action is TakeoverAction.DELIVER:
            proxy.memory.release(self.request.reserved_bytes)
        if finished:
            self.tracker.discard(self.handle)
            caller.journal_slot = NONE
        if action is TakeoverAction.DELIVER:
            sent = (
                max(0, self.caller_counters.written - record.bytes_written) if self.caller_counters is not None else 0
            )
            caller.finish_answer((record.answer or b"")[sent:], record.closes_connection)
        elif action is TakeoverAction.NOTHING:
            if self.caller_counters is not None:
                self.tracker._note_unread(caller, self.caller_counters)
            caller.mark_idle()
        elif finished:
            caller.reject(Malformed(503, "its proxy was lost"))
        else:
            self._resume_request(proxy, caller)

    def _resume_request(self, proxy: Proxy, caller: CallerConnection) -> None:
        """Continue the request at backends, or refuse or fail it."""
        clock = proxy.clock
        deadline = clock.from_machine(self.record.deadline)
        prior_attempts = [
            PriorAttempt(
                attempt.server,
                clock.from_machine(attempt.sent),
                attempt.maybe_ran,
                connection is not None,
                attempt.zone,
                attempt.cell,
            )
            for attempt, connection in zip(self.attempts, self.joined_connections, strict=True)
        ]
        exchange = proxy.take_over_request(caller, self.request, deadline, not self.record.body_stored)
        if self.tracker.on_stage is not None:
            self.tracker.on_stage("acts")
        if self.action in (TakeoverAction.REFUSE, TakeoverAction.FAIL):
            exchange.last_failure = f"its proxy was lost: {self.reason}"
            refuses = self.action is TakeoverAction.REFUSE
            proxy.reject(Refuse(exchange.request_id, proxy.retry_after()) if refuses else Fail(exchange.request_id))
            return
        proxy.resume_attempts(exchange, prior_attempts, self.joined_connections, self.record.replaced_attempts)
