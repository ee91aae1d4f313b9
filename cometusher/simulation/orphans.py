"""A supervisor's part in worlds: what dead processes leave is handed on, by the decisions of the real one."""

from __future__ import annotations

import contextvars
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cometusher.inflight.endpoint import Covered
from cometusher.inflight.tracker import Received
from cometusher.simulation.loop import MACHINE, VirtualLoop
from cometusher.simulation.network import Machine, VirtualTransport
from weldroute.request_journal import BUSY, IDLE, Keys, Left, Row, Shelf, Size
from weldroute.takeover import Estate, Piece

SHELF = Shelf(Size(128, 256, 8192), books=32, keys=256)
NOTICED = (0.002, 0.02)  # seconds until a death is noticed and what is left is at hand, and for each offer
TICK = 0.01
GRACE = 1.0

Heirs = Callable[[], list[tuple[int, int]]]  # processes, and the requests that they have in hand


class VirtualDoor:
    """A process's side."""

    def __init__(self, estates: VirtualEstates, covered: Covered) -> None:
        self.shelf = SHELF
        self.process = covered.process
        self.number = covered.book
        self.keys: Keys = estates.keys
        self._estates = estates

    @property
    def memory(self) -> memoryview:
        """This process's own book."""
        return SHELF.book(self._estates.view, self.number)

    def left(self, book: int) -> Left:
        """Any book; raises ValueError for one that is not there."""
        return Left(SHELF.book(self._estates.view, book), SHELF.size)

    def watch(self, offered: Callable[[Received], None], room: Callable[[], bool]) -> None:
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
    estate: Estate = field(default_factory=Estate)
    memory: bytearray = field(default_factory=lambda: bytearray(SHELF.bytes))
    listens: dict[int, tuple[Machine, Callable[[Received], None]]] = field(default_factory=dict)
    parts: dict[Piece, list[VirtualTransport | None]] = field(default_factory=dict)
    count: int = 0
    adopted: int = 0
    lost: int = 0
    _books: dict[int, int] = field(default_factory=dict)  # by process
    _ticking: bool = False

    def __post_init__(self) -> None:
        self.view = memoryview(self.memory)
        self.keys = SHELF.index(self.view)

    def begins(self) -> Covered:
        """A process is about to start."""
        self.count += 1
        book = self.count % SHELF.books
        at = SHELF.at(book)
        self.memory[at : at + SHELF.stride] = bytes(SHELF.stride)
        self._books[self.count] = book
        return Covered(self.count, book, SHELF)

    def _left(self, process: int) -> Left:
        return Left(SHELF.book(self.view, self._books[process]), SHELF.size)

    def died(self, process: int, orphans: list[VirtualTransport]) -> None:
        """A process is dead; its connections are here a moment later."""
        self.listens.pop(process, None)
        self._later(self._reaped, process, {one.number: one for one in orphans})

    def _later(self, what: Callable[..., None], *arguments: object) -> None:
        self.loop.call_later(self.rng.uniform(*NOTICED), what, *arguments, context=contextvars.Context())

    def _reaped(self, process: int, orphans: dict[int, VirtualTransport]) -> None:
        given = {piece for piece, claim in self.estate.given() if claim.holder == process}
        self._see()
        unproven = given & set(self.estate.claims)
        self.estate.reaped(process)
        left, known = self._left(process), set()
        read = {slot: left.read(slot) for slot in left.slots()}
        entries = {slot: entry for slot, entry in read.items() if entry is not None and entry.caller >= 0}
        # Here a connection is one object, where a kernel gives out copies: whoever used it last has it.
        last = {
            one.connection: one.at
            for one in sorted((one for entry in entries.values() for one in entry.tries), key=lambda one: one.at)
        }
        for slot, entry in entries.items():
            known.add(entry.caller)
            if entry.origin is not None and (entry.origin.process, entry.origin.slot) in unproven:
                continue
            self.parts[process, slot] = [
                orphans.pop(entry.caller, None),
                *(
                    orphans.pop(one.connection, None) if last[one.connection] == one.at else None
                    for one in entry.tries
                ),
            ]
            self.estate.left(process, [(slot, max(entry.deadline, self.loop.time()) + GRACE)])
        self._move(process, left, orphans, known)
        for rest in orphans.values():
            rest.die()
        self._tick()

    def _move(self, process: int, left: Left, orphans: dict[int, VirtualTransport], known: set[int]) -> None:
        """Connections between two requests."""
        rows = [
            (row, orphans.pop(row.connection))
            for row in left.rows([IDLE])
            if row.connection in orphans and row.connection not in known
        ]
        heirs = sorted(self.heirs(), key=lambda heir: heir[1])
        if heirs and heirs[0][0] in self.listens:
            moved = [(Row(0, row.name, row.read, row.wrote), one) for row, one in rows]
            self._offer(heirs[0][0], Received(0, process, -1, 0, None, None, [], list(moved)))
        else:
            for _, one in rows:
                one.die()
        for row in left.rows([BUSY]):
            if row.connection in orphans:
                orphans.pop(row.connection).die()

    def _offer(self, heir: int, received: Received) -> None:
        machine, offered = self.listens[heir]
        self.loop.call_later(self.rng.uniform(*NOTICED), offered, received, context=machine.context())

    def _see(self) -> None:
        for piece, claim in self.estate.given():
            if self._left(piece[0]).adopted(piece[1]) == claim.term:
                self.adopted += 1
                self.estate.adopted(piece)
                del self.parts[piece]

    def _tick(self) -> None:
        self._ticking = False
        now = self.loop.time()
        self._see()
        for piece in self.estate.over(now):
            self.lost += 1
            for one in filter(None, self.parts.pop(piece)):
                one.die()
        for heir, rows in self.estate.settle(now, [each for each in self.heirs() if each[0] in self.listens]).items():
            for piece, term in rows:
                self._name(heir, piece, term)
        if self.estate.claims and not self._ticking:
            self._ticking = True
            self.loop.call_later(TICK, self._tick, context=contextvars.Context())

    def _name(self, heir: int, piece: Piece, term: int) -> None:
        left, parts = self._left(piece[0]), self.parts[piece]
        if parts[0] is None:
            self.estate.adopted(piece)
            for one in filter(None, self.parts.pop(piece)):
                one.die()
            return
        left.claim(piece[1], term)
        self._offer(heir, Received(self._books[piece[0]], piece[0], piece[1], term, left, parts[0], list(parts[1:])))
