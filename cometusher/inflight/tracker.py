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
    IDLE,
    INLINE,
    NOBODY,
    NONE,
    Book,
    End,
    Entry,
    Keys,
    Left,
    Origin,
    Progress,
    Row,
    Shelf,
    Stage,
    digest_of,
)
from weldroute.takeover import SERVED, Move, Seen, Step, Verdict, follow, inherit, move, weigh

if TYPE_CHECKING:
    from cometusher.backends import Attempt
    from cometusher.callers import CallerConnection
    from cometusher.proxy import Exchange, Proxy, TakenOverConnection

log = logging.getLogger("cometusher.inhand.hand")  # the `subsystem` of its log records

COVERED_BODY = 64 * 1024  # bytes of a body that is noted; of a longer one only that it was there
UNCOVERED = -2  # in place of a handle: there was no room for a note
SPARE = 8  # descriptors that must be free beside those that come with an offer...
LARGEST = 40  # ...and for one to be received: BATCH connections without work, and those
FOLLOW = 0.005  # seconds between looks at work of the same key that another has in hand
LASTS = 60.0  # seconds beyond the time of its answer for which a key is looked for: longer than any deadline
MOST_FOLLOWING = 256  # requests that wait for such work; more ask for themselves
AGES = 1.0  # seconds between looks at what is kept
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which its answer is kept


Place = tuple[int, int]  # book and slot


@dataclass(slots=True)
class Received:
    """What an heir is handed; connections are such as `Network.attach` takes."""

    book: int
    process: int
    slot: int
    term: int
    left: Left | None  # the book that it stands in
    caller: Any | None
    tries: list[Any | None]
    rows: list[tuple[Row, Any]] = field(default_factory=list)  # connections without work

    def close(self) -> None:
        """Let go of all that came with it and is not taken."""
        for connection in (self.caller, *self.tries, *(one for _, one in self.rows)):
            if connection is not None:
                connection.close()
        self.caller, self.tries, self.rows = None, [], []


class Door(Protocol):
    """Where the book lies, and where offers come from."""

    shelf: Shelf
    process: int
    number: int  # of the book on the shelf
    keys: Keys

    @property
    def memory(self) -> memoryview:
        """This process's own book."""

    def left(self, book: int) -> Left:
        """Any book of the shelf; raises ValueError for one that is not there."""

    def watch(self, offered: Callable[[Received], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on, while there is room for one."""


@dataclass(slots=True)
class Follower:
    """A request that waits for the answer to another of its key."""

    exchange: Exchange
    key: int
    place: Place
    ask: Callable[[], None]  # go on by itself


class Sink:
    """Reads a request that was noted."""

    def __init__(self) -> None:
        self.request: Request | None = None

    def on_request_begin(self) -> None: ...

    def on_request_head(self, request: Request) -> None: ...

    def on_large_body(self, request: Request) -> None:
        raise Malformed(413, "longer than is noted")

    def on_request(self, request: Request) -> None:
        self.request = request


def write_request(exchange: Exchange, whole: bool) -> bytes:
    """A request that came in pieces, as it is noted; of one whose body is not at hand, the head."""
    request = exchange.request
    body = bytes(request.body) if whole else b""
    headers = [*exchange.headers, (b"content-length", b"%d" % len(body))] if body else exchange.headers
    return request_head(request.method, request.target, headers) + body


def read_request(entry: Entry) -> Request | None:
    """A request as it was noted; None if it can't be read."""
    sink = Sink()
    try:
        RequestParser(sink).feed(entry.request)
    except Malformed as fault:
        log.error("a noted request can't be read: %s", fault)
    if sink.request is not None:
        sink.request.keep_alive = not entry.closes and entry.whole
    return sink.request


def key_of(request: Request) -> int:
    """A number for what a keyed request asks: its key, whose it is, and all of what is asked."""
    names = dict(request.headers)
    return digest_of(
        names.get(b"idempotency-key", b""),
        names.get(b"x-caller", b""),
        names.get(b"x-call-class", b""),
        request.target,
        request.body,
    )


def read_answer(data: bytes) -> tuple[int, Headers, bytes]:
    """Status, headers and body of an answer as it was written here."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    headers = [(name, value) for name, _, value in (line.partition(b": ") for line in lines)]
    return int(first.split(b" ")[1]), [h for h in headers if h[0] not in (b"connection", b"content-length")], body


class Hand:
    """What one process has in hand, and what it was handed.

    A request is noted with its first attempt, just before that is written; one that has to wait for its turn, for a
    connection or for its body is noted when it begins to wait. Before its note nothing is sent for it.
    """

    def __init__(self, proxy: Proxy, door: Door) -> None:
        self._proxy = proxy
        self._network = proxy.network
        self._door = door
        self.book = Book(door.memory, door.shelf.size, door.process)
        self._owners: dict[int, CallerConnection] = {}  # by descriptor
        self._tasks: set[asyncio.Task[None]] = set()
        self._keyed: dict[int, float] = {}  # keyed requests that may yet be served: until when to keep their answer
        self._followers: dict[str, Follower] = {}
        self._ages = False  # something is kept, and looked at again
        self.unread: dict[int, tuple[int, float]] = {}  # by descriptor: moved with bytes up to this, come by then
        self.joined = 0  # requests that followed another of their key...
        self.answered = 0  # ...and those that got its answer
        self.done: dict[str, int] = {}  # inherited, by verdict
        self.moved = 0  # connections without work
        self.declined = 0
        self.tell: Callable[[Received], None] = lambda offer: None  # has the supervisor told that one is declined
        self.stage: Callable[[str], None] | None = None  # told of each boundary; for tests
        self._offset = proxy.clock.from_machine(0.0)
        proxy.callers.inflight = self
        proxy.backends.before_send = self._sends

    def start(self) -> None:
        """Take offers from here on."""
        self._door.watch(self._offered, lambda: self._proxy.descriptors.has_room(LARGEST, LARGEST - SPARE))

    def figures(self) -> dict[str, int]:
        """What operators want to know."""
        return {
            "open": self._proxy.open_requests,
            "covered": self.book.covered,
            "uncovered": self.book.uncovered,
            "moved": self.moved,
            "declined": self.declined,
            "joined": self.joined,
            "answered": self.answered,
            "kept": self.book.kept,
            **{verdict.replace(" ", "_"): count for verdict, count in self.done.items()},
        }

    # ---- callers' connections ------------------------------------------------------------

    def opened(self, caller: CallerConnection) -> None:
        """A caller's connection is up."""
        assert caller.transport is not None
        caller.descriptor, caller.connection_key = self._network.named(caller.transport)
        self._owners[caller.descriptor] = caller
        state = IDLE if caller.journal_slot == NONE else BUSY
        self.book.row(caller.descriptor, caller.connection_key, caller.bytes_read, caller.bytes_written, state)

    def idle(self, caller: CallerConnection) -> None:
        """It is between requests, and has no entry: one that has tells of that by its last answer."""
        self.book.row(caller.descriptor, caller.connection_key, caller.bytes_read, caller.bytes_written, IDLE)

    def leaves(self, caller: CallerConnection) -> None:
        """Nothing more is owed on it, or nothing that another could give."""
        if self._owners.get(caller.descriptor) is caller:
            self.book.row(caller.descriptor, caller.connection_key, 0, 0, BUSY)
        self._release(caller)

    def closed(self, caller: CallerConnection) -> None:
        """It is gone. Its descriptor may be another's already."""
        if self._owners.get(caller.descriptor) is caller:
            del self._owners[caller.descriptor]
            self.unread.pop(caller.descriptor, None)
            self.book.row(caller.descriptor, 0, 0, 0, NOBODY)
        self._release(caller)

    def _release(self, caller: CallerConnection) -> None:
        """Let go of its entry; the answer of a key may stay."""
        slot, caller.journal_slot = caller.journal_slot, NONE
        until = self._keyed.pop(slot, None)
        if until is not None:
            self._keep(slot, until)
        elif slot != NONE:
            self.book.done(slot)

    def _keep(self, slot: int, until: float) -> None:
        self.book.keep(slot, until)
        if not self._ages:
            self._ages = True
            self._proxy.loop.call_later(AGES, self._age)

    def _age(self) -> None:
        """Let go what was kept for long enough; it is given to nobody meanwhile (`follow`)."""
        self.book.expire(self._network.monotonic())
        self._ages = self.book.kept > 0
        if self._ages:
            self._proxy.loop.call_later(AGES, self._age)

    def forget(self, slot: int) -> None:
        """Nothing of this entry is to stay."""
        self._keyed.pop(slot, None)
        self.book.done(slot)

    # ---- requests ------------------------------------------------------------------------

    def waited(self, caller: CallerConnection) -> float:
        """Seconds that a request has waited to be read, if its connection was moved with all of it unread.

        Guards against counting its time from here when the process before had stood still for most of it.
        """
        upto, came = self.unread.pop(caller.descriptor, (0, 0.0))
        return self._network.monotonic() - came if caller.bytes_read <= upto else 0.0

    def _came_unread(self, caller: CallerConnection, seen: Seen) -> None:
        """A connection was taken up on which something may wait already."""
        if seen.unread:
            self.unread[caller.descriptor] = seen.read + seen.unread, self._network.monotonic() - seen.quiet

    def note(self, exchange: Exchange) -> None:
        """A request is in hand from here on, unless it is already."""
        if exchange.journal_slot != NONE:
            return
        caller, request = exchange.caller, exchange.request
        raw = caller.last_request_bytes
        whole = request.stream is None and (bool(raw) or len(request.body) <= COVERED_BODY)
        before = self._before(caller)
        exchange.journal_slot = caller.journal_slot = self.book.take(
            raw if raw and whole else write_request(exchange, whole),
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
            exchange.journal_slot = self._uncovered(caller)
        elif exchange.dedup_key:
            self._keyed[exchange.journal_slot] = exchange.answer_stored_until

    def _before(self, caller: CallerConnection) -> int:
        """The entry of the connection's last request, to be written over; NONE if there is none, or it stays."""
        before = caller.journal_slot
        until = self._keyed.pop(before, None)
        if until is None:
            return before
        self._keep(before, until)
        return NONE

    def waits(self, exchange: Exchange) -> None:
        """Nothing was sent for a request yet, and it is not answered."""
        self.note(exchange)
        if self.stage is not None:
            self.stage("taken")

    def meets(self, exchange: Exchange, kind: RequestClass) -> tuple[Place | None, int]:
        """A keyed request comes: where another of its key is in hand or kept, if any; and a spot of the index."""
        exchange.dedup_key = key = key_of(exchange.request)
        now = self._network.monotonic()
        exchange.answer_stored_until = now + WINDOW_MARGIN * kind.window
        place, spot = self._door.keys.meet(key, now)
        if place is not None:
            progress = self._progress(place, key)
            if progress is None or follow(progress, now)[0] is Step.ASK:
                return None, spot
        return place, spot

    def follows(self, exchange: Exchange, place: Place, ask: Callable[[], None]) -> bool:
        """Wait for the answer of another of its key, and go on (`ask`) where none comes; False: too many wait."""
        if len(self._followers) >= MOST_FOLLOWING:
            return False
        self.note(exchange)
        self.joined += 1
        self._followers[exchange.request_id] = Follower(exchange, exchange.dedup_key, place, ask)
        if len(self._followers) == 1:
            self._look()
        if self.stage is not None:
            self.stage("joined")
        return True

    def found_at(self, exchange: Exchange, spot: int = NONE) -> None:
        """Whoever asks for its key from here on finds this request; `spot`: what `meets` said a moment ago."""
        if exchange.journal_slot >= 0:
            door = self._door
            slot = self.book.slot(exchange.journal_slot)
            door.keys.put(exchange.dedup_key, door.number, slot, exchange.answer_stored_until + LASTS, spot)

    def _progress(self, place: Place, key: int) -> Progress | None:
        try:
            return self._door.left(place[0]).follow(place[1], key)
        except ValueError:
            return None  # no such book: a row that two wrote at once

    def _look(self) -> None:
        """See how far those are that are followed."""
        now = self._network.monotonic()
        for rid, one in list(self._followers.items()):
            one.place = self._door.keys.find(one.key, now) or one.place  # it may have an heir
            progress = self._progress(one.place, one.key)
            step, _ = follow(progress, now)
            if step is Step.WAIT:
                continue
            del self._followers[rid]
            if step is Step.GIVE and progress is not None and progress.answer is not None:
                self.answered += 1
                self._proxy.serve_stored_answer(one.exchange, *read_answer(progress.answer))
            else:
                self.found_at(one.exchange)
                one.ask()
        if self._followers:
            self._proxy.loop.call_later(FOLLOW, self._look)

    def gone(self, exchange: Exchange) -> bool:
        """A request is over, or its time is up; whether it was following another."""
        return self._followers.pop(exchange.request_id, None) is not None

    def whole(self, exchange: Exchange) -> None:
        """The last byte of its body has come: its time counts from here."""
        self.book.came(
            exchange.journal_slot, self._proxy.clock.to_machine(exchange.deadline), exchange.caller.bytes_read
        )

    def _sends(self, attempt: Attempt) -> None:
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
        if exchange.slot == NONE:
            caller = exchange.caller
            raw = caller.raw
            if raw and len(raw) <= INLINE and length:
                before = caller.slot
                if before in self._keyed:
                    before = self._before(caller)
                slot = self.book.begin(
                    raw,
                    exchange.deadline - offset,
                    attempt.sent_at - offset,
                    caller.descriptor,
                    caller.name,
                    caller.read,
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
                    exchange.key,
                    exchange.keep_until,
                )
                if exchange.key and slot != NONE:
                    self._keyed[slot] = exchange.keep_until
                attempt.journal_index = 0
                caller.slot = slot
                exchange.slot = slot if slot != NONE else self._uncovered(caller)
                if self.stage is not None:
                    self.stage("sent")
                return
            self.note(exchange)
        attempt.journal_index = self.book.sends(
            exchange.slot,
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
        if self.stage is not None:
            self.stage("sent")

    def _uncovered(self, caller: CallerConnection) -> int:
        self.book.row(caller.descriptor, caller.connection_key, 0, 0, BUSY)
        return UNCOVERED

    def never(self, attempt: Attempt, exchange: Exchange) -> None:
        """An attempt has ended and has certainly not run. Of the others their connections tell."""
        self.book.ends(exchange.journal_slot, attempt.journal_index, End.NEVER)

    def passes(self, caller: CallerConnection) -> None:
        """A long answer is about to begin."""
        self.book.passes(caller.journal_slot)
        if self.stage is not None:
            self.stage("passing")

    def answers(self, caller: CallerConnection, request: Request, answer: bytes, closes: bool) -> None:
        """An answer is about to be written. What is harmless to repeat (GET) is not kept."""
        slot = caller.journal_slot
        if request.method == b"GET":
            self.book.answers_briefly(slot, caller.bytes_written, len(answer), closes)
        else:
            self.book.answers(slot, caller.bytes_written, answer, closes)
            if not answer.startswith(SERVED):
                self._keyed.pop(slot, None)
        if self.stage is not None:
            self.stage("answered")

    # ---- the heir ------------------------------------------------------------------------

    def _offered(self, offer: Received) -> None:
        if offer.left is None and offer.slot < 0:
            if self.stage is not None:
                self.stage("moved")
            for row, connection in offer.rows:
                # Counted before the next offer is looked at: there may be no room for that one.
                self._proxy.descriptors.adopt(caller=True)
                self._start(self._move(row, connection))
            offer.rows = []
            return
        if self.stage is not None:
            self.stage("offered")
        try:
            taken = offer.left is not None and self._inherit(offer, offer.left)
        except Exception:
            log.exception("work in hand could not be inherited")
            taken = False
        if not taken:
            self.declined += 1
            offer.close()
            self.tell(offer)

    def _start(self, work: Any) -> None:
        task = self._proxy.loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _inherit(self, offer: Received, left: Left) -> bool:
        """Note the work, adopt it, and act; False where it can't be carried here, and nothing was done."""
        entry = left.read(offer.slot)
        request = read_request(entry) if entry is not None else None
        if entry is None or request is None:
            # Nobody can do more than the supervisor, who ends the connection.
            log.error("work in hand of process %d can't be read", offer.process)
            return False
        proxy = self._proxy
        count = 1 + sum(one is not None for one in offer.tries)
        if proxy.operations.state is LifecycleState.STOPPING or not proxy.descriptors.has_room(count + SPARE):
            return False
        try:
            kind, _ = proxy.validate(request)
        except Malformed as fault:
            log.warning("work in hand is declined: %s", fault)
            return False
        caller = self._network.look(offer.caller, entry.peer, False) if offer.caller is not None else None
        seen = [
            self._network.look(connection, one.name, True) if connection is not None else None
            for one, connection in zip(entry.tries, offer.tries, strict=True)
        ]
        work = weigh(entry, proxy.config.settings.classes[kind], caller, seen)
        verdict, why = inherit(work, self._network.monotonic())
        if not proxy.memory.reserve(len(request.body)):
            return False
        request.reserved_bytes = len(request.body)
        slot = self.book.renote(
            entry,
            Origin(offer.process, offer.slot, offer.term),
            self._number(offer.caller),
            [self._number(one) for one in offer.tries],
        )
        if self.stage is not None:
            self.stage("noted")
        if slot == NONE or left.claimed(offer.slot) != offer.term:
            self.book.done(slot)
            proxy.memory.release(request.reserved_bytes)
            return False
        if entry.key:
            self._inherit_key(entry, offer, slot)
        left.adopt(offer.slot, offer.term)
        if self.stage is not None:
            self.stage("adopted")
        self.done[verdict.value] = self.done.get(verdict.value, 0) + 1
        call_id = (request.header(b"x-call-id") or b"?").decode("latin-1")
        log.info(
            "inherited %s of process %d: %s: %s",
            call_id,
            offer.process,
            verdict.value,
            why,
            extra={"event": "inherited", "request": call_id},
        )
        task = Inheritance(self, entry, request, work.tries, verdict, why, slot, caller)
        task.take(proxy, offer, seen)
        self._start(task.run(proxy))
        return True

    def _inherit_key(self, entry: Entry, offer: Received, slot: int) -> None:
        """Others that follow this work find it here, unless what they follow is another's."""
        if entry.answer is None or entry.answer.startswith(SERVED):
            self._keyed[slot] = entry.until
        keys, now = self._door.keys, self._network.monotonic()
        place = keys.find(entry.key, now)
        if place is None or place == (offer.book, offer.slot) or self._progress(place, entry.key) is None:
            keys.put(entry.key, self._door.number, self.book.slot(slot), now + LASTS)

    @staticmethod
    def _number(connection: Any | None) -> int:
        return int(connection.fileno()) if connection is not None else NONE

    async def _move(self, row: Row, connection: Any) -> None:
        """Go on with a caller's connection that had no request in hand."""
        seen = self._network.look(connection, row.name, False)
        how, why = move(row.read, row.wrote, seen)
        if how is Move.DROP or seen is None:
            connection.close()
            self._proxy.descriptors.release_caller()
            return

        def up(caller: CallerConnection) -> None:
            self.moved += 1
            self._came_unread(caller, seen)
            if how is Move.REFUSE:
                log.info("a caller of another process is refused: %s", why)
                caller.reject(Malformed(503, "its proxy was lost"))
            else:
                caller.mark_idle()

        await self._proxy.callers.take_over(connection, seen.read, seen.written, NONE, up)


@dataclass(slots=True)
class Inheritance:
    """One piece of work, from its adoption to the act."""

    hand: Hand
    entry: Entry
    request: Request
    tries: tuple[PriorAttempt, ...]
    verdict: Verdict
    why: str
    slot: int
    seen: Seen | None  # the caller's connection
    connection: Any | None = None
    joined: list[TakenOverConnection | None] = field(default_factory=list)

    def take(self, proxy: Proxy, offer: Received, seen_tries: list[Seen | None]) -> None:
        """Take the connections that it needs out of the offer, and close the others."""
        self.connection, offer.caller = offer.caller, None
        tries, offer.tries = offer.tries, []
        for one, past, seen in zip(tries, self.tries, seen_tries, strict=True):
            keep = one is not None and seen is not None and past.joined and self.verdict is Verdict.JOIN
            self.joined.append((one, seen.written, seen.read) if keep and seen is not None else None)
            if keep:
                proxy.descriptors.adopt(caller=False)
            elif one is not None:
                one.close()
        ends = self.verdict is Verdict.CUT or (self.verdict is Verdict.NOTHING and not self._keeps())
        if self.connection is None or self.seen is None or ends:
            if self.connection is not None:
                if self.verdict is Verdict.CUT:
                    self.hand._network.reset(self.connection)
                self.connection.close()
                self.connection = None
        else:
            proxy.descriptors.adopt(caller=True)

    async def run(self, proxy: Proxy) -> None:
        """Take up the caller's connection, and do as the verdict says."""
        there = False
        if self.connection is not None and self.seen is not None:
            there = await proxy.callers.take_over(
                self.connection, self.seen.read, self.seen.written, self.slot, lambda caller: self._act(proxy, caller)
            )
        if not there:
            proxy.memory.release(self.request.reserved_bytes)
            self.hand.forget(self.slot)
            for left in filter(None, self.joined):
                left[0].close()
                proxy.descriptors.release_backend()

    def _keeps(self) -> bool:
        """Whether the connection of a request that is answered goes on."""
        return self.seen is not None and not self.seen.ended and not self.entry.closes

    def _act(self, proxy: Proxy, caller: CallerConnection) -> None:
        verdict, entry = self.verdict, self.entry
        over = verdict is Verdict.NOTHING or (verdict is Verdict.REFUSE and entry.stage is Stage.ANSWERED)
        if over or verdict is Verdict.GIVE:
            proxy.memory.release(self.request.reserved_bytes)
        if over:
            self.hand.forget(self.slot)
            caller.journal_slot = NONE
        if verdict is Verdict.GIVE:
            out = max(0, self.seen.written - entry.wrote) if self.seen is not None else 0
            caller.finish_answer((entry.answer or b"")[out:], entry.closes)
        elif verdict is Verdict.NOTHING:
            if self.seen is not None:
                self.hand._came_unread(caller, self.seen)
            caller.mark_idle()
        elif over:
            caller.reject(Malformed(503, "its proxy was lost"))
        else:
            self._ask(proxy, caller)

    def _ask(self, proxy: Proxy, caller: CallerConnection) -> None:
        """The work itself goes on, or is refused or failed."""
        clock = proxy.clock
        deadline = clock.from_machine(self.entry.deadline)
        past = [
            PriorAttempt(
                one.server, clock.from_machine(one.sent), one.maybe_ran, connection is not None, one.zone, one.cell
            )
            for one, connection in zip(self.tries, self.joined, strict=True)
        ]
        exchange = proxy.take_over_request(caller, self.request, deadline, not self.entry.whole)
        if self.hand.stage is not None:
            self.hand.stage("acts")
        if self.verdict in (Verdict.REFUSE, Verdict.FAIL):
            exchange.last_failure = f"its proxy was lost: {self.why}"
            refuses = self.verdict is Verdict.REFUSE
            proxy.reject(Refuse(exchange.request_id, proxy.retry_after()) if refuses else Fail(exchange.request_id))
            return
        proxy.resume_attempts(exchange, past, self.joined)
