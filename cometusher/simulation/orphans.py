"""A supervisor's part in worlds: what dead processes leave is handed on, by the decisions of the real one."""

from __future__ import annotations

import contextvars
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cometusher.inflight.endpoint import JournalAssignment
from cometusher.inflight.tracker import ReceivedOffer
from cometusher.simulation.loop import MACHINE, VirtualLoop
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

SHELF = JournalPool(JournalSize(128, 256, 8192), books=32, keys=256)
NOTICED = (0.002, 0.02)  # seconds until a death is noticed and what is left is at hand, and for each offer
TICK = 0.01
GRACE = 1.0

Heirs = Callable[[], list[tuple[int, int]]]  # processes, and the requests that they have in hand


class VirtualDoor:
    """A process's side."""

    def __init__(self, estates: VirtualEstates, covered: JournalAssignment) -> None:
        self.pool = SHELF
        self.process = covered.process
        self.number = covered.book
        self.keys: KeyIndex = estates.keys
        self._estates = estates

    @property
    def memory(self) -> memoryview:
        """This process's own book."""
        return SHELF.journal_memory(self._estates.view, self.number)

    def journal_of(self, book: int) -> OrphanedJournal:
        """Any book; raises ValueError for one that is not there."""
        return OrphanedJournal(SHELF.journal_memory(self._estates.view, book), SHELF.size)

    def start_receiving(self, offered: Callable[[ReceivedOffer], None], room: Callable[[], bool]) -> None:
        """Call for each offer from here on."""
        machine = MACHINE.get()
        assert machine is not None
        self._estates.listens[self.process] = (machine, offered)


@dataclass
class VirtualEstates:
    """All that the processes of a world leave."""

    loop: VirtualLoop
    rng: Random
    heirs: Heirs
    estate: TakeoverPlanner = field(default_factory=TakeoverPlanner)
    memory: bytearray = field(default_factory=lambda: bytearray(SHELF.bytes))
    listens: dict[int, tuple[Machine, Callable[[ReceivedOffer], None]]] = field(default_factory=dict)
    parts: dict[RequestRef, list[VirtualTransport | None]] = field(default_factory=dict)
    count: int = 0
    adopted: int = 0
    lost: int = 0
    _books: dict[int, int] = field(default_factory=dict)  # by process
    _ticking: bool = False

    def __post_init__(self) -> None:
        self.view = memoryview(self.memory)
        self.keys = SHELF.key_index(self.view)

    def begins(self) -> JournalAssignment:
        """A process is about to start."""
        self.count += 1
        book = self.count % SHELF.books
        at = SHELF.journal_offset(book)
        self.memory[at : at + SHELF.journal_stride] = bytes(SHELF.journal_stride)
        self._books[self.count] = book
        return JournalAssignment(self.count, book, SHELF)

    def _left(self, process: int) -> OrphanedJournal:
        return OrphanedJournal(SHELF.journal_memory(self.view, self._books[process]), SHELF.size)

    def died(self, process: int, orphans: list[VirtualTransport]) -> None:
        """A process is dead; its connections are here a moment later."""
        self.listens.pop(process, None)
        self._later(self._reaped, process, {one.number: one for one in orphans})

    def _later(self, what: Callable[..., None], *arguments: object) -> None:
        self.loop.call_later(self.rng.uniform(*NOTICED), what, *arguments, context=contextvars.Context())

    def _reaped(self, process: int, orphans: dict[int, VirtualTransport]) -> None:
        given = {piece for piece, claim in self.estate.assigned() if claim.successor == process}
        self._see()
        unproven = given & set(self.estate.claims)
        self.estate.on_reaped(process)
        left, known = self._left(process), set()
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
            self.parts[process, slot] = [
                orphans.pop(entry.caller_descriptor, None),
                *(
                    orphans.pop(one.descriptor, None) if last[one.descriptor] == one.sent_at else None
                    for one in entry.attempts
                ),
            ]
            self.estate.add_orphans(process, [(slot, max(entry.deadline, self.loop.time()) + GRACE)])
        self._move(process, left, orphans, known)
        for rest in orphans.values():
            rest.die()
        self._tick()

    def _move(
        self, process: int, left: OrphanedJournal, orphans: dict[int, VirtualTransport], known: set[int]
    ) -> None:
        """Connections between two requests."""
        rows = [
            (row, orphans.pop(row.descriptor))
            for row in left.connections([IDLE])
            if row.descriptor in orphans and row.descriptor not in known
        ]
        heirs = sorted(self.heirs(), key=lambda heir: heir[1])
        if heirs and heirs[0][0] in self.listens:
            moved = [
                (ConnectionRecord(0, row.connection_id, row.bytes_read, row.bytes_written), one) for row, one in rows
            ]
            self._offer(heirs[0][0], ReceivedOffer(0, process, -1, 0, None, None, [], list(moved)))
        else:
            for _, one in rows:
                one.die()
        for row in left.connections([BUSY]):
            if row.descriptor in orphans:
                orphans.pop(row.descriptor).die()

    def _offer(self, heir: int, received: ReceivedOffer) -> None:
        machine, offered = self.listens[heir]
        self.loop.call_later(self.rng.uniform(*NOTICED), offered, received, context=machine.context())

    def _see(self) -> None:
        for piece, claim in self.estate.assigned():
            if self._left(piece[0]).adopted_term(piece[1]) == claim.term:
                self.adopted += 1
                self.estate.on_adopted(piece)
                del self.parts[piece]

    def _tick(self) -> None:
        self._ticking = False
        now = self.loop.time()
        self._see()
        for piece in self.estate.expire(now):
            self.lost += 1
            for one in filter(None, self.parts.pop(piece)):
                one.die()
        for heir, rows in self.estate.assign(now, [each for each in self.heirs() if each[0] in self.listens]).items():
            for piece, term in rows:
                self._name(heir, piece, term)
        if self.estate.claims and not self._ticking:
            self._ticking = True
            self.loop.call_later(TICK, self._tick, context=contextvars.Context())

    def _name(self, heir: int, piece: RequestRef, term: int) -> None:
        left, parts = self._left(piece[0]), self.parts[piece]
        if parts[0] is None:
            self.estate.on_adopted(piece)
            for one in filter(None, self.parts.pop(piece)):
                one.die()
            return
        left.claim(piece[1], term)
        self._offer(
            heir, ReceivedOffer(self._books[piece[0]], piece[0], piece[1], term, left, parts[0], list(parts[1:]))
        )
