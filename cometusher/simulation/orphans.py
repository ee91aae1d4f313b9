"""A supervisor's part in worlds: what dead processes leave is handed on, by the decisions of the real one."""

from __future__ import annotations

import contextvars
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cometusher.inflight.endpoint import JournalAssignment
from cometusher.inflight.tracker import ReceivedOffer
from cometusher.simulation.loop import CURRENT_MACHINE, VirtualLoop
from cometusher.simulation.network import Machine, VirtualTransport
from weldroute.request_journal import (
    BUSY,
    IDLE,
    ConnectionRecord,
    JournalPool,
    JournalSize,
    KeyIndex,
    OrphanedJournal,
)
from weldroute.takeover import RequestRef, TakeoverPlanner

JOURNAL_POOL = JournalPool(JournalSize(128, 256, 8192), books=32, keys=256)
DETECTION_DELAY = (0.002, 0.02)  # seconds until a death is noticed and what is left is at hand, and for each offer
TICK_INTERVAL = 0.01
EXPIRY_GRACE = 1.0

Successors = Callable[[], list[tuple[int, int]]]  # processes, and the requests that they have in hand


class VirtualTakeoverChannel:
    """A process's side."""

    def __init__(self, estates: VirtualOrphans, covered: JournalAssignment) -> None:
        self.pool = JOURNAL_POOL
        self.process = covered.process
        self.number = covered.book
        self.keys: KeyIndex = estates.keys
        self._orphans = estates

    @property
    def memory(self) -> memoryview:
        """This process's own book."""
        return JOURNAL_POOL.journal_memory(self._orphans.view, self.number)

    def journal_of(self, book: int) -> OrphanedJournal:
        """Any book; raises ValueError for one that is not there."""
        return OrphanedJournal(JOURNAL_POOL.journal_memory(self._orphans.view, book), JOURNAL_POOL.size)

    def start_receiving(self, offered: Callable[[ReceivedOffer], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on."""
        machine = CURRENT_MACHINE.get()
        assert machine is not None
        self._orphans.receivers[self.process] = (machine, offered)


@dataclass
class VirtualOrphans:
    """All that the processes of a world leave."""

    loop: VirtualLoop
    rng: Random
    successors: Successors
    planner: TakeoverPlanner = field(default_factory=TakeoverPlanner)
    memory: bytearray = field(default_factory=lambda: bytearray(JOURNAL_POOL.bytes))
    receivers: dict[int, tuple[Machine, Callable[[ReceivedOffer], None]]] = field(default_factory=dict)
    connections: dict[RequestRef, list[VirtualTransport | None]] = field(default_factory=dict)
    started_count: int = 0
    adopted: int = 0
    lost: int = 0
    _journal_by_process: dict[int, int] = field(default_factory=dict)  # by process
    _ticking: bool = False

    def __post_init__(self) -> None:
        self.view = memoryview(self.memory)
        self.keys = JOURNAL_POOL.key_index(self.view)

    def assign_journal(self) -> JournalAssignment:
        """A process is about to start."""
        self.started_count += 1
        book = self.started_count % JOURNAL_POOL.books
        at = JOURNAL_POOL.journal_offset(book)
        self.memory[at : at + JOURNAL_POOL.journal_stride] = bytes(JOURNAL_POOL.journal_stride)
        self._journal_by_process[self.started_count] = book
        return JournalAssignment(self.started_count, book, JOURNAL_POOL)

    def _journal(self, process: int) -> OrphanedJournal:
        return OrphanedJournal(
            JOURNAL_POOL.journal_memory(self.view, self._journal_by_process[process]), JOURNAL_POOL.size
        )

    def on_died(self, process: int, orphans: list[VirtualTransport]) -> None:
        """A process is dead; its connections are here a moment later."""
        self.receivers.pop(process, None)
        self._after_delay(self._on_reaped, process, {one.number: one for one in orphans})

    def _after_delay(self, what: Callable[..., None], *arguments: object) -> None:
        self.loop.call_later(self.rng.uniform(*DETECTION_DELAY), what, *arguments, context=contextvars.Context())

    def _on_reaped(self, process: int, orphans: dict[int, VirtualTransport]) -> None:
        given = {piece for piece, claim in self.planner.assigned() if claim.successor == process}
        self._record_adoptions()
        unproven = given & set(self.planner.claims)
        self.planner.on_reaped(process)
        left, known = self._journal(process), set()
        read = {slot: left.record_at(slot) for slot in left.slots()}
        entries = {slot: entry for slot, entry in read.items() if entry is not None and entry.caller_descriptor >= 0}
        # Here a connection is one object, where a kernel gives out copies: whoever used it last has it.
        last = {
            one.descriptor: one.sent_at
            for one in sorted(
                (one for entry in entries.values() for one in entry.attempts), key=lambda one: one.sent_at
            )
        }
        for slot, entry in entries.items():
            known.add(entry.caller_descriptor)
            if entry.origin is not None and (entry.origin.process, entry.origin.slot) in unproven:
                continue
            self.connections[process, slot] = [
                orphans.pop(entry.caller_descriptor, None),
                *(
                    orphans.pop(one.descriptor, None) if last[one.descriptor] == one.sent_at else None
                    for one in entry.attempts
                ),
            ]
            self.planner.add_orphans(process, [(slot, max(entry.deadline, self.loop.time()) + EXPIRY_GRACE)])
        self._move_idle_connections(process, left, orphans, known)
        for rest in orphans.values():
            rest.kill()
        self._tick()

    def _move_idle_connections(
        self, process: int, left: OrphanedJournal, orphans: dict[int, VirtualTransport], known: set[int]
    ) -> None:
        """Connections between two requests."""
        rows = [
            (row, orphans.pop(row.descriptor))
            for row in left.connections([IDLE])
            if row.descriptor in orphans and row.descriptor not in known
        ]
        heirs = sorted(self.successors(), key=lambda heir: heir[1])
        if heirs and heirs[0][0] in self.receivers:
            moved = [
                (ConnectionRecord(0, row.connection_id, row.bytes_read, row.bytes_written), one) for row, one in rows
            ]
            self._offer(heirs[0][0], ReceivedOffer(0, process, -1, 0, None, None, [], list(moved)))
        else:
            for _, one in rows:
                one.kill()
        for row in left.connections([BUSY]):
            if row.descriptor in orphans:
                orphans.pop(row.descriptor).kill()

    def _offer(self, heir: int, received: ReceivedOffer) -> None:
        machine, offered = self.receivers[heir]
        self.loop.call_later(self.rng.uniform(*DETECTION_DELAY), offered, received, context=machine.context())

    def _record_adoptions(self) -> None:
        for piece, claim in self.planner.assigned():
            if self._journal(piece[0]).adopted_term(piece[1]) == claim.term:
                self.adopted += 1
                self.planner.on_adopted(piece)
                del self.connections[piece]

    def _tick(self) -> None:
        self._ticking = False
        now = self.loop.time()
        self._record_adoptions()
        for piece in self.planner.expire(now):
            self.lost += 1
            for one in filter(None, self.connections.pop(piece)):
                one.kill()
        for heir, rows in self.planner.assign(
            now, [each for each in self.successors() if each[0] in self.receivers]
        ).items():
            for piece, term in rows:
                self._offer_request(heir, piece, term)
        if self.planner.claims and not self._ticking:
            self._ticking = True
            self.loop.call_later(TICK_INTERVAL, self._tick, context=contextvars.Context())

    def _offer_request(self, heir: int, piece: RequestRef, term: int) -> None:
        left, parts = self._journal(piece[0]), self.connections[piece]
        if parts[0] is None:
            self.planner.on_adopted(piece)
            for one in filter(None, self.connections.pop(piece)):
                one.kill()
            return
        left.claim(piece[1], term)
        self._offer(
            heir,
            ReceivedOffer(
                self._journal_by_process[piece[0]], piece[0], piece[1], term, left, parts[0], list(parts[1:])
            ),
        )
