"""The supervisor's part of a takeover in simulated worlds: orphaned requests are handed to other processes.

The decisions are those of the real supervisor (`weldroute.takeover`); only the channels are simulated.
"""

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
DETECTION_DELAY = (0.002, 0.02)  # seconds until a death is detected, and that an offer takes
TICK_INTERVAL = 0.01
EXPIRY_GRACE = 1.0

Successors = Callable[[], list[tuple[int, int]]]  # serving processes, and the number of their open requests


class VirtualTakeoverChannel:
    """The takeover channel of one process."""

    def __init__(self, orphans: VirtualOrphans, assignment: JournalAssignment) -> None:
        self.pool = JOURNAL_POOL
        self.process = assignment.process
        self.number = assignment.book
        self.keys: KeyIndex = orphans.keys
        self._orphans = orphans

    @property
    def memory(self) -> memoryview:
        """The memory of this process's own journal."""
        return JOURNAL_POOL.journal_memory(self._orphans.view, self.number)

    def journal_of(self, book: int) -> OrphanedJournal:
        """Any process's journal; raises ValueError if it does not exist."""
        return OrphanedJournal(JOURNAL_POOL.journal_memory(self._orphans.view, book), JOURNAL_POOL.size)

    def start_receiving(self, on_offer: Callable[[ReceivedOffer], None], has_capacity: Callable[[], bool]) -> None:
        """Call `on_offer` for each offer from now on."""
        machine = CURRENT_MACHINE.get()
        assert machine is not None
        self._orphans.receivers[self.process] = (machine, on_offer)


@dataclass
class VirtualOrphans:
    """The orphaned requests of all processes of a world, and the supervisor that assigns them."""

    loop: VirtualLoop
    rng: Random
    successors: Successors
    planner: TakeoverPlanner = field(default_factory=TakeoverPlanner)
    memory: bytearray = field(default_factory=lambda: bytearray(JOURNAL_POOL.bytes))
    receivers: dict[int, tuple[Machine, Callable[[ReceivedOffer], None]]] = field(default_factory=dict)
    held_connections: dict[RequestRef, list[VirtualTransport | None]] = field(default_factory=dict)
    started_count: int = 0
    adopted: int = 0
    lost: int = 0
    _journal_by_process: dict[int, int] = field(default_factory=dict)
    _ticking: bool = False

    def __post_init__(self) -> None:
        self.view = memoryview(self.memory)
        self.keys = JOURNAL_POOL.key_index(self.view)

    def assign_journal(self) -> JournalAssignment:
        """Assign an empty journal to a process that is about to start."""
        self.started_count += 1
        book = self.started_count % JOURNAL_POOL.books
        offset = JOURNAL_POOL.journal_offset(book)
        self.memory[offset : offset + JOURNAL_POOL.journal_stride] = bytes(JOURNAL_POOL.journal_stride)
        self._journal_by_process[self.started_count] = book
        return JournalAssignment(self.started_count, book, JOURNAL_POOL)

    def _journal(self, process: int) -> OrphanedJournal:
        return OrphanedJournal(
            JOURNAL_POOL.journal_memory(self.view, self._journal_by_process[process]), JOURNAL_POOL.size
        )

    def on_died(self, process: int, orphans: list[VirtualTransport]) -> None:
        """A process has died; its connections reach the supervisor after DETECTION_DELAY."""
        self.receivers.pop(process, None)
        self._after_delay(self._on_reaped, process, {connection.number: connection for connection in orphans})

    def _after_delay(self, callback: Callable[..., None], *arguments: object) -> None:
        self.loop.call_later(self.rng.uniform(*DETECTION_DELAY), callback, *arguments, context=contextvars.Context())

    def _on_reaped(self, process: int, orphans: dict[int, VirtualTransport]) -> None:
        offered = {request for request, claim in self.planner.assigned() if claim.successor == process}
        self._record_adoptions()
        unconfirmed = offered & set(self.planner.claims)
        self.planner.on_reaped(process)
        journal, caller_descriptors = self._journal(process), set()
        records = {slot: journal.record_at(slot) for slot in journal.slots()}
        open_records = {
            slot: record for slot, record in records.items() if record is not None and record.caller_descriptor >= 0
        }
        # A connection is one object here, where a kernel duplicates descriptors: the last attempt on it owns it.
        last_use = {
            attempt.descriptor: attempt.sent_at
            for attempt in sorted(
                (attempt for record in open_records.values() for attempt in record.attempts),
                key=lambda attempt: attempt.sent_at,
            )
        }
        for slot, record in open_records.items():
            caller_descriptors.add(record.caller_descriptor)
            if record.origin is not None and (record.origin.process, record.origin.slot) in unconfirmed:
                continue
            self.held_connections[process, slot] = [
                orphans.pop(record.caller_descriptor, None),
                *(
                    orphans.pop(attempt.descriptor, None) if last_use[attempt.descriptor] == attempt.sent_at else None
                    for attempt in record.attempts
                ),
            ]
            self.planner.add_orphans(process, [(slot, max(record.deadline, self.loop.time()) + EXPIRY_GRACE)])
        self._move_idle_connections(process, journal, orphans, caller_descriptors)
        for connection in orphans.values():
            connection.kill()
        self._tick()

    def _move_idle_connections(
        self,
        process: int,
        journal: OrphanedJournal,
        orphans: dict[int, VirtualTransport],
        caller_descriptors: set[int],
    ) -> None:
        """Move connections between two requests to the process with the fewest open requests."""
        idle = [
            (record, orphans.pop(record.descriptor))
            for record in journal.connections([IDLE])
            if record.descriptor in orphans and record.descriptor not in caller_descriptors
        ]
        successors = sorted(self.successors(), key=lambda successor: successor[1])
        if successors and successors[0][0] in self.receivers:
            moved = [
                (ConnectionRecord(0, record.connection_id, record.bytes_read, record.bytes_written), connection)
                for record, connection in idle
            ]
            self._offer(successors[0][0], ReceivedOffer(0, process, -1, 0, None, None, [], list(moved)))
        else:
            for _, connection in idle:
                connection.kill()
        for record in journal.connections([BUSY]):
            if record.descriptor in orphans:
                orphans.pop(record.descriptor).kill()

    def _offer(self, successor: int, received: ReceivedOffer) -> None:
        machine, on_offer = self.receivers[successor]
        self.loop.call_later(self.rng.uniform(*DETECTION_DELAY), on_offer, received, context=machine.context())

    def _record_adoptions(self) -> None:
        for request, claim in self.planner.assigned():
            if self._journal(request[0]).adopted_term(request[1]) == claim.term:
                self.adopted += 1
                self.planner.on_adopted(request)
                del self.held_connections[request]

    def _tick(self) -> None:
        self._ticking = False
        now = self.loop.time()
        self._record_adoptions()
        for request in self.planner.expire(now):
            self.lost += 1
            for connection in filter(None, self.held_connections.pop(request)):
                connection.kill()
        for successor, offers in self.planner.assign(
            now, [process for process in self.successors() if process[0] in self.receivers]
        ).items():
            for request, term in offers:
                self._offer_request(successor, request, term)
        if self.planner.claims and not self._ticking:
            self._ticking = True
            self.loop.call_later(TICK_INTERVAL, self._tick, context=contextvars.Context())

    def _offer_request(self, successor: int, request: RequestRef, term: int) -> None:
        journal, connections = self._journal(request[0]), self.held_connections[request]
        if connections[0] is None:
            self.planner.on_adopted(request)
            for connection in filter(None, self.held_connections.pop(request)):
                connection.kill()
            return
        journal.claim(request[1], term)
        self._offer(
            successor,
            ReceivedOffer(
                self._journal_by_process[request[0]],
                request[0],
                request[1],
                term,
                journal,
                connections[0],
                list(connections[1:]),
            ),
        )
