"""One process's side of work in hand: what it notes, and what it does as an heir.

Decisions are `weldroute.takeover`'s, notes are `weldroute.request_journal`'s; why: `docs/design/takeover.md`.
Imported only by an instance whose fleet has it switched on. Where the book lies and how offers come is handed in.
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
)

if TYPE_CHECKING:
    from cometusher.backends import Attempt
    from cometusher.callers import CallerConnection
    from cometusher.proxy import Exchange, Proxy, TakenOverConnection

log = logging.getLogger("cometusher.inhand.hand")  # the `subsystem` of its log records

MAX_RECORDED_BODY = 64 * 1024  # bytes of a body that is noted; of a longer one only that it was there
UNCOVERED = -2  # in place of a handle: there was no room for a note
SPARE_DESCRIPTORS = 8  # descriptors that must be free beside those that come with an offer...
MAX_OFFER_DESCRIPTORS = 40  # ...and for one to be received: BATCH connections without work, and those
FOLLOW_INTERVAL = 0.005  # seconds between looks at work of the same key that another has in hand
KEY_MARGIN = 60.0  # seconds beyond the time of its answer for which a key is looked for: longer than any deadline
MAX_FOLLOWERS = 256  # requests that wait for such work; more ask for themselves
EXPIRY_INTERVAL = 1.0  # seconds between looks at what is kept
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which its answer is kept


JournalLocation = tuple[int, int]  # book and slot


@dataclass(slots=True)
class ReceivedOffer:
    """What an heir is handed; connections are such as `Network.attach` takes."""

    journal_number: int
    process: int
    slot: int
    term: int
    source_journal: OrphanedJournal | None  # the book that it stands in
    caller: Any | None
    attempts: list[Any | None]
    idle_connections: list[tuple[ConnectionRecord, Any]] = field(default_factory=list)  # connections without work

    def close(self) -> None:
        """Let go of all that came with it and is not taken."""
        for connection in (self.caller, *self.attempts, *(one for _, one in self.idle_connections)):
            if connection is not None:
                connection.close()
        self.caller, self.attempts, self.idle_connections = None, [], []


class TakeoverChannel(Protocol):
    """Where the book lies, and where offers come from."""

    pool: JournalPool
    process: int
    number: int  # of the book on the shelf
    keys: KeyIndex

    @property
    def memory(self) -> memoryview:
        """This process's own book."""

    def journal_of(self, book: int) -> OrphanedJournal:
        """Any book of the shelf; raises ValueError for one that is not there."""

    def start_receiving(self, offered: Callable[[ReceivedOffer], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on, while there is room for one."""


@dataclass(slots=True)
class Follower:
    """A request that waits for the answer to another of its key."""

    exchange: Exchange
    key: int
    location: JournalLocation
    proceed: Callable[[], None]  # go on by itself


class RequestCollector:
    """Reads a request that was noted."""

    def __init__(self) -> None:
        self.request: Request | None = None

    def on_request_begin(self) -> None: ...

    def on_request_head(self, request: Request) -> None: ...

    def on_large_body(self, request: Request) -> None:
        raise Malformed(413, "longer than is noted")

    def on_request(self, request: Request) -> None:
        self.request = request


def serialize_request(exchange: Exchange, whole: bool) -> bytes:
    """A request that came in pieces, as it is noted; of one whose body is not at hand, the head."""
    request = exchange.request
    body = bytes(request.body) if whole else b""
    headers = [*exchange.headers, (b"content-length", b"%d" % len(body))] if body else exchange.headers
    return request_head(request.method, request.target, headers) + body


def parse_request(entry: RequestRecord) -> Request | None:
    """A request as it was noted; None if it can't be read."""
    sink = RequestCollector()
    try:
        RequestParser(sink).feed(entry.request)
    except Malformed as fault:
        log.error("a noted request can't be read: %s", fault)
    if sink.request is not None:
        sink.request.keep_alive = not entry.closes_connection and entry.body_stored
    return sink.request


def request_digest(request: Request) -> int:
    """A number for what a keyed request asks: its key, whose it is, and all of what is asked."""
    names = dict(request.headers)
    return digest_of(
        names.get(b"idempotency-key", b""),
        names.get(b"x-caller", b""),
        names.get(b"x-call-class", b""),
        request.target,
        request.body,
    )


def parse_answer(data: bytes) -> tuple[int, Headers, bytes]:
    """Status, headers and body of an answer as it was written here."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]
    return int(first.split(b" ")[1]), [h for h in headers if h[0] not in (b"connection", b"content-length")], body


class InflightTracker:
    """What one process has in hand, and what it was handed.

    A request is noted with its first attempt, just before that is written; one that has to wait for its turn, for a
    connection or for its body is noted when it begins to wait. Before its note nothing is sent for it.
    """

    def __init__(self, proxy: Proxy, door: TakeoverChannel) -> None:
        self._proxy = proxy
        self._network = proxy.network
        self._channel = door
        self.journal = RequestJournal(door.memory, door.pool.size, door.process)
        self._owners: dict[int, CallerConnection] = {}  # by descriptor
        self._tasks: set[asyncio.Task[None]] = set()
        self._keyed: dict[int, float] = {}  # keyed requests that may yet be served: until when to keep their answer
        self._followers: dict[str, Follower] = {}
        self._expiry_scheduled = False  # something is kept, and looked at again
        self.unread_on_arrival: dict[
            int, tuple[int, float]
        ] = {}  # by descriptor: moved with bytes up to this, come by then
        self.joined = 0  # requests that followed another of their key...
        self.answered = 0  # ...and those that got its answer
        self.takeovers: dict[str, int] = {}  # inherited, by verdict
        self.moved = 0  # connections without work
        self.declined = 0
        self.report_declined: Callable[[ReceivedOffer], None] = lambda offer: (
            None
        )  # has the supervisor told that one is declined
        self.on_stage: Callable[[str], None] | None = None  # told of each boundary; for tests
        self._offset = proxy.clock.from_machine(0.0)
        proxy.callers.inflight = self
        proxy.backends.before_send = self._on_attempt

    def start(self) -> None:
        """Take offers from here on."""
        self._channel.start_receiving(
            self._on_offer,
            lambda: self._proxy.descriptors.has_room(
                MAX_OFFER_DESCRIPTORS, MAX_OFFER_DESCRIPTORS - SPARE_DESCRIPTORS
            ),
        )

    def counters(self) -> dict[str, int]:
        """What operators want to know."""
        return {
            "open": self._proxy.open_requests,
            "covered": self.journal.covered,
            "uncovered": self.journal.uncovered,
            "moved": self.moved,
            "declined": self.declined,
            "joined": self.joined,
            "answered": self.answered,
            "kept": self.journal.retained,
            **{verdict.replace(" ", "_"): count for verdict, count in self.takeovers.items()},
        }

    # ---- callers' connections ------------------------------------------------------------

    def on_connection_opened(self, caller: CallerConnection) -> None:
        """A caller's connection is up."""
        assert caller.transport is not None
        caller.descriptor, caller.connection_key = self._network.named(caller.transport)
        self._owners[caller.descriptor] = caller
        state = IDLE if caller.journal_slot == NONE else BUSY
        self.journal.record_connection(
            caller.descriptor, caller.connection_key, caller.bytes_read, caller.bytes_written, state
        )

    def on_connection_idle(self, caller: CallerConnection) -> None:
        """It is between requests, and has no entry: one that has tells of that by its last answer."""
        self.journal.record_connection(
            caller.descriptor, caller.connection_key, caller.bytes_read, caller.bytes_written, IDLE
        )

    def on_connection_leaving(self, caller: CallerConnection) -> None:
        """Nothing more is owed on it, or nothing that another could give."""
        if self._owners.get(caller.descriptor) is caller:
            self.journal.record_connection(caller.descriptor, caller.connection_key, 0, 0, BUSY)
        self._release(caller)

    def on_connection_closed(self, caller: CallerConnection) -> None:
        """It is gone. Its descriptor may be another's already."""
        if self._owners.get(caller.descriptor) is caller:
            del self._owners[caller.descriptor]
            self.unread_on_arrival.pop(caller.descriptor, None)
            self.journal.record_connection(caller.descriptor, 0, 0, 0, CLOSED)
        self._release(caller)

    def _release(self, caller: CallerConnection) -> None:
        """Let go of its entry; the answer of a key may stay."""
        slot, caller.journal_slot = caller.journal_slot, NONE
        until = self._keyed.pop(slot, None)
        if until is not None:
            self._retain(slot, until)
        elif slot != NONE:
            self.journal.release(slot)

    def _retain(self, slot: int, until: float) -> None:
        self.journal.retain_answer(slot, until)
        if not self._expiry_scheduled:
            self._expiry_scheduled = True
            self._proxy.loop.call_later(EXPIRY_INTERVAL, self._expire)

    def _expire(self) -> None:
        """Let go what was kept for long enough; it is given to nobody meanwhile (`follow`)."""
        self.journal.expire_answers(self._network.monotonic())
        self._expiry_scheduled = self.journal.retained > 0
        if self._expiry_scheduled:
            self._proxy.loop.call_later(EXPIRY_INTERVAL, self._expire)

    def discard(self, slot: int) -> None:
        """Nothing of this entry is to stay."""
        self._keyed.pop(slot, None)
        self.journal.release(slot)

    # ---- requests ------------------------------------------------------------------------

    def unread_wait(self, caller: CallerConnection) -> float:
        """Seconds that a request has waited to be read, if its connection was moved with all of it unread.

        Guards against counting its time from here when the process before had stood still for most of it.
        """
        upto, came = self.unread_on_arrival.pop(caller.descriptor, (0, 0.0))
        return self._network.monotonic() - came if caller.bytes_read <= upto else 0.0

    def _note_unread(self, caller: CallerConnection, seen: ConnectionCounters) -> None:
        """A connection was taken up on which something may wait already."""
        if seen.unread:
            self.unread_on_arrival[caller.descriptor] = (
                seen.read + seen.unread,
                self._network.monotonic() - seen.last_data_age,
            )

    def ensure_recorded(self, exchange: Exchange) -> None:
        """A request is in hand from here on, unless it is already."""
        if exchange.journal_slot != NONE:
            return
        caller, request = exchange.caller, exchange.request
        raw = caller.last_request_bytes
        whole = request.stream is None and (bool(raw) or len(request.body) <= MAX_RECORDED_BODY)
        before = self._previous_record(caller)
        exchange.journal_slot = caller.journal_slot = self.journal.record_request(
            raw if raw and whole else serialize_request(exchange, whole),
            self._proxy.clock.to_machine(exchange.deadline),
            self._network.monotonic(),
            caller.descriptor,
            caller.connection_key,
            caller.bytes_read,
            whole,
            not request.keep_alive,
            None,
            exchange.dedup_key,
            before,
            exchange.answer_stored_until,
        )
        if exchange.journal_slot == NONE:
            exchange.journal_slot = self._mark_uncovered(caller)
        elif exchange.dedup_key:
            self._keyed[exchange.journal_slot] = exchange.answer_stored_until

    def _previous_record(self, caller: CallerConnection) -> int:
        """The entry of the connection's last request, to be written over; NONE if there is none, or it stays."""
        before = caller.journal_slot
        until = self._keyed.pop(before, None)
        if until is None:
            return before
        self._retain(before, until)
        return NONE

    def record_waiting(self, exchange: Exchange) -> None:
        """Nothing was sent for a request yet, and it is not answered."""
        self.ensure_recorded(exchange)
        if self.on_stage is not None:
            self.on_stage("taken")

    def find_same_key(self, exchange: Exchange, kind: RequestClass) -> tuple[JournalLocation | None, int]:
        """A keyed request comes: where another of its key is in hand or kept, if any; and a spot of the index."""
        exchange.dedup_key = key = request_digest(exchange.request)
        now = self._network.monotonic()
        exchange.answer_stored_until = now + WINDOW_MARGIN * kind.window
        place, spot = self._channel.keys.lookup(key, now)
        if place is not None:
            progress = self._progress(place, key)
            if progress is None or decide_follow(progress, now)[0] is FollowStep.PROCEED:
                return None, spot
        return place, spot

    def follow(self, exchange: Exchange, place: JournalLocation, ask: Callable[[], None]) -> bool:
        """Wait for the answer of another of its key, and go on (`ask`) where none comes; False: too many wait."""
        if len(self._followers) >= MAX_FOLLOWERS:
            return False
        self.ensure_recorded(exchange)
        self.joined += 1
        self._followers[exchange.request_id] = Follower(exchange, exchange.dedup_key, place, ask)
        if len(self._followers) == 1:
            self._check_followers()
        if self.on_stage is not None:
            self.on_stage("joined")
        return True

    def publish_key(self, exchange: Exchange, spot: int = NONE) -> None:
        """Whoever asks for its key from here on finds this request; `spot`: what `meets` said a moment ago."""
        if exchange.journal_slot >= 0:
            door = self._channel
            slot = self.journal.slot_of(exchange.journal_slot)
            door.keys.put(exchange.dedup_key, door.number, slot, exchange.answer_stored_until + KEY_MARGIN, spot)

    def _progress(self, place: JournalLocation, key: int) -> Progress | None:
        try:
            return self._channel.journal_of(place[0]).progress(place[1], key)
        except ValueError:
            return None  # no such book: a row that two wrote at once

    def _check_followers(self) -> None:
        """See how far those are that are followed."""
        now = self._network.monotonic()
        for rid, one in list(self._followers.items()):
            one.location = self._channel.keys.find(one.key, now) or one.location  # it may have an heir
            progress = self._progress(one.location, one.key)
            step, _ = decide_follow(progress, now)
            if step is FollowStep.WAIT:
                continue
            del self._followers[rid]
            if step is FollowStep.DELIVER and progress is not None and progress.answer is not None:
                self.answered += 1
                self._proxy.serve_stored_answer(one.exchange, *parse_answer(progress.answer))
            else:
                self.publish_key(one.exchange)
                one.proceed()
        if self._followers:
            self._proxy.loop.call_later(FOLLOW_INTERVAL, self._check_followers)

    def stop_following(self, exchange: Exchange) -> bool:
        """A request is over, or its time is up; whether it was following another."""
        return self._followers.pop(exchange.request_id, None) is not None

    def on_body_received(self, exchange: Exchange) -> None:
        """The last byte of its body has come: its time counts from here."""
        self.journal.record_body_received(
            exchange.journal_slot, self._proxy.clock.to_machine(exchange.deadline), exchange.caller.bytes_read
        )

    def _on_attempt(self, attempt: Attempt) -> None:
        """An attempt is about to be written."""
        exchange: Any = attempt.owner
        connection = attempt.connection
        assert connection is not None
        if not connection.connection_key:
            assert connection.transport is not None
            connection.descriptor, connection.connection_key = self._network.named(connection.transport)
            known = self._proxy.balancer.servers.get(attempt.server)
            connection.failure_domain = (known.row.zone, known.row.cell) if known is not None else (0, 0)
        zone, cell = connection.failure_domain
        length = len(attempt.head) + len(attempt.body) if attempt.stream is None else 0
        offset = self._offset
        if exchange.journal_slot == NONE:
            caller = exchange.caller
            raw = caller.last_request_bytes
            if raw and len(raw) <= INLINE_SIZE and length:
                before = caller.journal_slot
                if before in self._keyed:
                    before = self._previous_record(caller)
                slot = self.journal.record_sent_request(
                    raw,
                    exchange.deadline - offset,
                    attempt.sent_at - offset,
                    caller.descriptor,
                    caller.connection_key,
                    caller.bytes_read,
                    not exchange.request.keep_alive,
                    before,
                    attempt.server,
                    zone,
                    cell,
                    connection.descriptor,
                    connection.connection_key,
                    length,
                    connection.bytes_written,
                    connection.bytes_read,
                    exchange.dedup_key,
                    exchange.answer_stored_until,
                )
                if exchange.dedup_key and slot != NONE:
                    self._keyed[slot] = exchange.answer_stored_until
                attempt.journal_index = 0
                caller.journal_slot = slot
                exchange.journal_slot = slot if slot != NONE else self._mark_uncovered(caller)
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
            connection.connection_key,
            length,
            connection.bytes_written,
            connection.bytes_read,
        )
        if self.on_stage is not None:
            self.on_stage("sent")

    def _mark_uncovered(self, caller: CallerConnection) -> int:
        self.journal.record_connection(caller.descriptor, caller.connection_key, 0, 0, BUSY)
        return UNCOVERED

    def on_attempt_never_ran(self, attempt: Attempt, exchange: Exchange) -> None:
        """An attempt has ended and has certainly not run. Of the others their connections tell."""
        self.journal.record_attempt_end(exchange.journal_slot, attempt.journal_index, AttemptEnd.NEVER_RAN)

    def on_streaming(self, caller: CallerConnection) -> None:
        """A long answer is about to begin."""
        self.journal.record_streaming(caller.journal_slot)
        if self.on_stage is not None:
            self.on_stage("passing")

    def on_answer(self, caller: CallerConnection, request: Request, answer: bytes, closes: bool) -> None:
        """An answer is about to be written. What is harmless to repeat (GET) is not kept."""
        slot = caller.journal_slot
        if request.method == b"GET":
            self.journal.record_answer_length(slot, caller.bytes_written, len(answer), closes)
        else:
            self.journal.record_answer(slot, caller.bytes_written, answer, closes)
            if not answer.startswith(OK_STATUS_PREFIX):
                self._keyed.pop(slot, None)
        if self.on_stage is not None:
            self.on_stage("answered")

    # ---- the heir ------------------------------------------------------------------------

    def _on_offer(self, offer: ReceivedOffer) -> None:
        if offer.source_journal is None and offer.slot < 0:
            if self.on_stage is not None:
                self.on_stage("moved")
            for row, connection in offer.idle_connections:
                # Counted before the next offer is looked at: there may be no room for that one.
                self._proxy.descriptors.adopt(caller=True)
                self._start(self._resume_idle(row, connection))
            offer.idle_connections = []
            return
        if self.on_stage is not None:
            self.on_stage("offered")
        try:
            taken = offer.source_journal is not None and self._take_over(offer, offer.source_journal)
        except Exception:
            log.exception("work in hand could not be inherited")
            taken = False
        if not taken:
            self.declined += 1
            offer.close()
            self.report_declined(offer)

    def _start(self, work: Any) -> None:
        task = self._proxy.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_over(self, offer: ReceivedOffer, left: OrphanedJournal) -> bool:
        """Note the work, adopt it, and act; False where it can't be carried here, and nothing was done."""
        entry = left.record_at(offer.slot)
        request = parse_request(entry) if entry is not None else None
        if entry is None or request is None:
            # Nobody can do more than the supervisor, who ends the connection.
            log.error("work in hand of process %d can't be read", offer.process)
            return False
        proxy = self._proxy
        count = 1 + sum(one is not None for one in offer.attempts)
        if proxy.operations.state is LifecycleState.STOPPING or not proxy.descriptors.has_room(
            count + SPARE_DESCRIPTORS
        ):
            return False
        try:
            kind, _ = proxy.validate(request)
        except Malformed as fault:
            log.warning("work in hand is declined: %s", fault)
            return False
        caller = (
            self._network.look(offer.caller, entry.caller_connection_id, False) if offer.caller is not None else None
        )
        seen = [
            self._network.look(connection, one.connection_id, True) if connection is not None else None
            for one, connection in zip(entry.attempts, offer.attempts, strict=True)
        ]
        work = assess(entry, proxy.config.settings.classes[kind], caller, seen)
        verdict, why = decide_takeover(work, self._network.monotonic())
        if not proxy.memory.reserve(len(request.body)):
            return False
        request.reserved_bytes = len(request.body)
        slot = self.journal.copy_record(
            entry,
            Origin(offer.process, offer.slot, offer.term),
            self._descriptor_of(offer.caller),
            [self._descriptor_of(one) for one in offer.attempts],
        )
        if self.on_stage is not None:
            self.on_stage("noted")
        if slot == NONE or left.claimed_term(offer.slot) != offer.term:
            self.journal.release(slot)
            proxy.memory.release(request.reserved_bytes)
            return False
        if entry.key:
            self._take_over_key(entry, offer, slot)
        left.adopt(offer.slot, offer.term)
        if self.on_stage is not None:
            self.on_stage("adopted")
        self.takeovers[verdict.value] = self.takeovers.get(verdict.value, 0) + 1
        call_id = (request.header(b"x-call-id") or b"?").decode("latin-1")
        log.info(
            "inherited %s of process %d: %s: %s",
            call_id,
            offer.process,
            verdict.value,
            why,
            extra={"event": "inherited", "request": call_id},
        )
        task = RequestTakeover(self, entry, request, work.attempts, verdict, why, slot, caller)
        task.claim_connections(proxy, offer, seen)
        self._start(task.run(proxy))
        return True

    def _take_over_key(self, entry: RequestRecord, offer: ReceivedOffer, slot: int) -> None:
        """Others that follow this work find it here, unless what they follow is another's."""
        if entry.answer is None or entry.answer.startswith(OK_STATUS_PREFIX):
            self._keyed[slot] = entry.replay_until
        keys, now = self._channel.keys, self._network.monotonic()
        place = keys.find(entry.key, now)
        if place is None or place == (offer.journal_number, offer.slot) or self._progress(place, entry.key) is None:
            keys.put(entry.key, self._channel.number, self.journal.slot_of(slot), now + KEY_MARGIN)

    @staticmethod
    def _descriptor_of(connection: Any | None) -> int:
        return int(connection.fileno()) if connection is not None else NONE

    async def _resume_idle(self, row: ConnectionRecord, connection: Any) -> None:
        """Go on with a caller's connection that had no request in hand."""
        seen = self._network.look(connection, row.connection_id, False)
        how, why = decide_idle_connection(row.bytes_read, row.bytes_written, seen)
        if how is IdleConnectionAction.DROP or seen is None:
            connection.close()
            self._proxy.descriptors.release_caller()
            return

        def up(caller: CallerConnection) -> None:
            self.moved += 1
            self._note_unread(caller, seen)
            if how is IdleConnectionAction.REFUSE:
                log.info("a caller of another process is refused: %s", why)
                caller.reject(Malformed(503, "its proxy was lost"))
            else:
                caller.mark_idle()

        await self._proxy.callers.take_over(connection, seen.read, seen.written, NONE, up)


@dataclass(slots=True)
class RequestTakeover:
    """One piece of work, from its adoption to the act."""

    tracker: InflightTracker
    record: RequestRecord
    request: Request
    attempts: tuple[PriorAttempt, ...]
    action: TakeoverAction
    reason: str
    slot: int
    caller_counters: ConnectionCounters | None  # the caller's connection
    connection: Any | None = None
    joined_connections: list[TakenOverConnection | None] = field(default_factory=list)

    def claim_connections(
        self, proxy: Proxy, offer: ReceivedOffer, seen_tries: list[ConnectionCounters | None]
    ) -> None:
        """Take the connections that it needs out of the offer, and close the others."""
        self.connection, offer.caller = offer.caller, None
        tries, offer.attempts = offer.attempts, []
        for one, past, seen in zip(tries, self.attempts, seen_tries, strict=True):
            keep = one is not None and seen is not None and past.joined and self.action is TakeoverAction.JOIN
            self.joined_connections.append((one, seen.written, seen.read) if keep and seen is not None else None)
            if keep:
                proxy.descriptors.adopt(caller=False)
            elif one is not None:
                one.close()
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
        """Take up the caller's connection, and do as the verdict says."""
        there = False
        if self.connection is not None and self.caller_counters is not None:
            there = await proxy.callers.take_over(
                self.connection,
                self.caller_counters.read,
                self.caller_counters.written,
                self.slot,
                lambda caller: self._act(proxy, caller),
            )
        if not there:
            proxy.memory.release(self.request.reserved_bytes)
            self.tracker.discard(self.slot)
            for left in filter(None, self.joined_connections):
                left[0].close()
                proxy.descriptors.release_backend()

    def _connection_continues(self) -> bool:
        """Whether the connection of a request that is answered goes on."""
        return (
            self.caller_counters is not None
            and not self.caller_counters.closed_by_peer
            and not self.record.closes_connection
        )

    def _act(self, proxy: Proxy, caller: CallerConnection) -> None:
        verdict, entry = self.action, self.record
        over = verdict is TakeoverAction.NOTHING or (
            verdict is TakeoverAction.REFUSE and entry.stage is Stage.ANSWERED
        )
        if over or verdict is TakeoverAction.DELIVER:
            proxy.memory.release(self.request.reserved_bytes)
        if over:
            self.tracker.discard(self.slot)
            caller.journal_slot = NONE
        if verdict is TakeoverAction.DELIVER:
            out = (
                max(0, self.caller_counters.written - entry.bytes_written) if self.caller_counters is not None else 0
            )
            caller.finish_answer((entry.answer or b"")[out:], entry.closes_connection)
        elif verdict is TakeoverAction.NOTHING:
            if self.caller_counters is not None:
                self.tracker._note_unread(caller, self.caller_counters)
            caller.mark_idle()
        elif over:
            caller.reject(Malformed(503, "its proxy was lost"))
        else:
            self._resume_request(proxy, caller)

    def _resume_request(self, proxy: Proxy, caller: CallerConnection) -> None:
        """The work itself goes on, or is refused or failed."""
        clock = proxy.clock
        deadline = clock.from_machine(self.record.deadline)
        past = [
            PriorAttempt(
                one.server, clock.from_machine(one.sent), one.maybe_ran, connection is not None, one.zone, one.cell
            )
            for one, connection in zip(self.attempts, self.joined_connections, strict=True)
        ]
        exchange = proxy.take_over_request(caller, self.request, deadline, not self.record.body_stored)
        if self.tracker.on_stage is not None:
            self.tracker.on_stage("acts")
        if self.action in (TakeoverAction.REFUSE, TakeoverAction.FAIL):
            exchange.last_failure = f"its proxy was lost: {self.reason}"
            refuses = self.action is TakeoverAction.REFUSE
            proxy.reject(Refuse(exchange.request_id, proxy.retry_after()) if refuses else Fail(exchange.request_id))
            return
        proxy.resume_attempts(exchange, past, self.joined_connections)
