"""What processes of a fleet leave behind: books and connections of the dead, handed on to heirs.

Decisions are `weldroute.takeover.Estate`'s; here are the sockets and the memory. All of it is asked of a keeper only
when its instance has been reaped, and nothing here waits: keepers and heirs that are slow hold up nobody else's.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import mmap
import os
import signal
import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from cometusher.fleet.spec import TakeoverSpec
from cometusher.inflight.descriptor_holder import BATCH_DESCRIPTORS
from cometusher.inflight.endpoint import CHANNEL_FD, HOLDER_FD, POOL_FD, JournalAssignment, assignment_values
from cometusher.inflight.offer import MAX_DESCRIPTORS, MAX_MESSAGE, Offer, close_all, is_waiting, receive
from cometusher.inflight.tcp_info import connection_id_of, read_counters_at
from weldroute.request_journal import BUSY, IDLE, ConnectionRecord, OrphanedJournal, Stage
from weldroute.takeover import RequestRef, TakeoverPlanner

log = logging.getLogger("cometusher.fleet.estate")  # the `subsystem` of its log records

POLL_INTERVAL = 0.02  # seconds between looks, while anything is on its way
ADOPTION_GRACE = (
    1.0  # seconds after its deadline, or its owner's end, in which an heir may still say what became of it
)
STRANDED_TIMEOUT = 3.0  # seconds that connections without work wait for anybody to be there...
MAX_STRANDED = 256  # ...and so many offers of them
MOVE_RECORD_LIFETIME = 5.0  # seconds within which an heir has noted what was moved to it
MAX_MOVES = 16  # heirs that a connection without work is offered to
UNRECORDED = 1 << 30  # among what a keeper was asked for: connections that nothing was noted of
HOLDER_BATCH = 64  # pieces of work that a keeper is asked for in one message

SuccessorSource = Callable[
    [int], Iterable[tuple[int, int]]
]  # of a tier: processes, and the requests that they have in hand


@dataclass(slots=True)
class ProcessResources:
    """What the supervisor holds of one process."""

    process: int
    name: str
    tier: int
    port: int  # that its callers connect to
    journal: OrphanedJournal
    journal_index: int  # which on the shelf
    pool_fd: int  # descriptor
    holder_socket: socket.socket
    offer_socket: socket.socket  # where offers are put in...
    offer_receiver: socket.socket  # ...and the end that the process reads from
    child_holder_socket: socket.socket | None  # until the process has it
    holder_pid: int = 0
    holder_pidfd: int = -1
    is_reaped: bool = False
    pending: set[int] = field(default_factory=set)  # names of what its keeper is to give; below 0: batches of rows
    connection_batches: dict[int, list[tuple[ConnectionRecord, int]]] = field(
        default_factory=dict
    )  # with the slot, if there is an entry
    deadlines: dict[int, float] = field(default_factory=dict)  # by slot
    descriptors: dict[int, list[int | None]] = field(default_factory=dict)  # by slot: the caller, attempts
    caller_connection_ids: dict[int, int] = field(
        default_factory=dict
    )  # by slot: the name of the caller's connection
    offered_copies: set[int] = field(
        default_factory=set
    )  # connections of work that it was offered when it died, by name
    recently_moved: dict[int, tuple[float, ConnectionRecord]] = field(
        default_factory=dict
    )  # to it, by name, and until when that counts

    def child_descriptors(self) -> dict[int, int]:
        """The descriptors for the process, by the numbers that it has them at."""
        assert self.child_holder_socket is not None
        return {
            POOL_FD: self.pool_fd,
            HOLDER_FD: self.child_holder_socket.fileno(),
            CHANNEL_FD: self.offer_receiver.fileno(),
        }

    def close_child_end(self) -> None:
        """It has them."""
        if self.child_holder_socket is not None:
            self.child_holder_socket.close()
            self.child_holder_socket = None


class OrphanedRequests:
    """All that the processes of one fleet leave."""

    def __init__(self, spec: TakeoverSpec, loop: asyncio.AbstractEventLoop, heirs: SuccessorSource) -> None:
        self.spec = spec
        self._loop = loop
        self._successors = heirs
        self._planner = TakeoverPlanner(spec.pace, spec.patience)
        self._processes: dict[int, ProcessResources] = {}
        self._ports: dict[int, set[int]] = {}  # that callers connect to, by tier
        self._pool = spec.journal_pool
        self._memfd = os.memfd_create("shelf", os.MFD_CLOEXEC)
        os.ftruncate(self._memfd, self._pool.bytes)
        self._memory = mmap.mmap(self._memfd, self._pool.bytes)
        self._view = memoryview(self._memory)
        self._free_journals = deque(range(self._pool.books))  # that are free...
        self._retained_journals: deque[tuple[float, int]] = (
            deque()
        )  # ...and that will be: answers in them may be asked for
        self._process_count = 0
        self._ticking = False
        self._stranded: list[tuple[float, int, Offer]] = []  # until when they wait, for an heir of which tier
        self._unreceived_since: dict[int, float] = {}  # heirs that were sent connections without work, and since when
        self.counts = {"left": 0, "adopted": 0, "lost": 0, "taken_back": 0, "declined": 0, "moved": 0, "closed": 0}

    # ---- processes -----------------------------------------------------------------------

    def allocate(self, name: str, tier: int, port: int) -> ProcessResources:
        """For a process that is about to start; raises OSError."""
        self._process_count += 1
        self._ports.setdefault(tier, set()).add(port)
        book = self._take_journal()
        left = OrphanedJournal(self._pool.journal_memory(self._view, book), self._pool.size)
        keeper, child_keeper = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        door, back = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for one in (keeper, door, back):
            one.setblocking(False)
        holding = ProcessResources(
            self._process_count, name, tier, port, left, book, self._memfd, keeper, door, back, child_keeper
        )
        self._processes[holding.process] = holding
        return holding

    def _take_journal(self) -> int:
        """A book that is all zeros; raises OSError where there is none."""
        now = self._loop.time()
        while self._retained_journals and (self._retained_journals[0][0] <= now or not self._free_journals):
            self._free_journals.append(self._retained_journals.popleft()[1])
        if not self._free_journals:
            raise OSError("no book is free")
        book = self._free_journals.popleft()
        self._memory.madvise(mmap.MADV_REMOVE, self._pool.journal_offset(book), self._pool.journal_stride)
        return book

    def assignment_values(self, holding: ProcessResources) -> dict[str, Any]:
        """What the process is told of it, as a part of its file."""
        return {"takeover": assignment_values(JournalAssignment(holding.process, holding.journal_index, self._pool))}

    def on_started(self, holding: ProcessResources) -> None:
        """It has started."""
        holding.close_child_end()
        self._loop.add_reader(holding.holder_socket.fileno(), self._on_holder_readable, holding)

    def on_reaped(self, holding: ProcessResources) -> None:
        """It is no more, for certain: only now may anybody else act for it."""
        if holding.is_reaped:
            return
        holding.is_reaped = True
        holding.close_child_end()
        given = {piece for piece, claim in self._planner.assigned() if claim.successor == holding.process}
        self._collect_adopted()
        unproven = given & set(self._planner.claims)  # noted by it at most, not adopted: they are in the book before
        holding.offered_copies = {self._processes[process].caller_connection_ids[slot] for process, slot in unproven}
        self._planner.on_reaped(holding.process)
        self._request_descriptors(holding, unproven)
        self._receive_back(holding)
        self._advance()

    def _request_descriptors(self, holding: ProcessResources, unproven: set[RequestRef]) -> None:
        """Ask the keeper for the connections of all that is in the book."""
        asks: list[tuple[int, list[int]]] = []
        rows: list[tuple[ConnectionRecord, int]] = []
        taken = set()  # connections with an entry
        for slot in holding.journal.slots():
            entry = holding.journal.record_at(slot)
            if entry is None:
                log.warning("%s: an entry of its book can't be read", holding.name)
                continue
            if entry.caller_descriptor < 0:
                continue  # an answer that is only kept
            taken.add(entry.caller_descriptor)
            if entry.origin is not None and (entry.origin.process, entry.origin.slot) in unproven:
                continue
            holding.deadlines[slot] = max(entry.deadline, self._loop.time()) + ADOPTION_GRACE
            holding.caller_connection_ids[slot] = entry.caller_connection_id
            if entry.stage is Stage.ANSWERED:
                # Most likely between two requests: its connection tells.
                rows.append(
                    (
                        ConnectionRecord(
                            entry.caller_descriptor,
                            entry.caller_connection_id,
                            entry.bytes_read,
                            entry.bytes_written + entry.answer_length,
                        ),
                        slot,
                    )
                )
                continue
            asks.append((slot, [entry.caller_descriptor, *(one.descriptor for one in entry.attempts)]))
        rows += [(row, -1) for row in holding.journal.connections([IDLE]) if row.descriptor not in taken]
        before = self.counts["left"]
        self.counts["left"] += len(asks)
        for at in range(0, len(rows), BATCH_DESCRIPTORS):
            name = -1 - at
            holding.connection_batches[name] = rows[at : at + BATCH_DESCRIPTORS]
            asks.append((name, [row.descriptor for row, _ in rows[at : at + BATCH_DESCRIPTORS]]))
        holding.pending = {UNRECORDED, *(name for name, _ in asks)}
        if asks:
            log.info(
                "%s (process %d) left %d requests in hand and %d connections",
                holding.name,
                holding.process,
                self.counts["left"] - before,
                len(rows),
                extra={"event": "left"},
            )
        try:
            for at in range(0, len(asks), HOLDER_BATCH):
                holding.holder_socket.send(orjson.dumps(asks[at : at + HOLDER_BATCH]))
            known = taken | {row.descriptor for row in holding.journal.connections([IDLE, BUSY])}
            ports = sorted(self._ports[holding.tier])  # what was moved to it came to another's
            holding.holder_socket.send(orjson.dumps({"ports": ports, "known": sorted(known)}))
        except OSError as fault:
            self._on_holder_lost(holding, f"its keeper can't be asked: {fault.strerror}")

    # ---- keepers -------------------------------------------------------------------------

    def _on_holder_readable(self, holding: ProcessResources) -> None:
        for _ in range(HOLDER_BATCH):
            if holding.holder_socket.fileno() < 0:
                return  # what it gave last was all
            try:
                data, descriptors, _, _ = socket.recv_fds(holding.holder_socket, MAX_MESSAGE, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self._on_holder_lost(holding, "its keeper is gone")
                return
            values = orjson.loads(data)
            if isinstance(values, dict):
                self._on_holder_started(holding, int(values["pid"]))
            elif values[0] == "others":
                self._on_unrecorded(holding, values[1], descriptors)
            else:
                self._on_descriptors(holding, values[0], values[1], descriptors)

    def _on_holder_started(self, holding: ProcessResources, pid: int) -> None:
        holding.holder_pid = pid
        holding.holder_pidfd = os.pidfd_open(pid)
        self._loop.add_reader(holding.holder_pidfd, self._on_holder_exit, holding)

    def _on_holder_exit(self, holding: ProcessResources) -> None:
        self._loop.remove_reader(holding.holder_pidfd)
        os.close(holding.holder_pidfd)
        with contextlib.suppress(ChildProcessError):
            os.waitpid(holding.holder_pid, 0)
        holding.holder_pid, holding.holder_pidfd = 0, -1

    def _on_holder_lost(self, holding: ProcessResources, why: str) -> None:
        """Nothing more comes of it; what it was asked for and has not given is lost."""
        if holding.holder_socket.fileno() >= 0:
            self._loop.remove_reader(holding.holder_socket.fileno())
            holding.holder_socket.close()
        lost = [name for name in holding.pending if 0 <= name < UNRECORDED]
        holding.pending.clear()
        if not holding.is_reaped:
            log.warning("%s: %s: what it has in hand would be lost with it", holding.name, why)
        elif lost:
            self.counts["lost"] += len(lost)
            log.warning("%s: %s: %d requests are lost", holding.name, why, len(lost))
        self._remove_finished()

    def _on_descriptors(self, holding: ProcessResources, name: int, have: list[bool], descriptors: list[int]) -> None:
        """The keeper has given what belongs to one piece of work, or some connections without."""
        holding.pending.discard(name)
        given = iter(descriptors)
        parts = [next(given, None) if there else None for there in have]
        if name >= 0:
            holding.descriptors[name] = parts
            self._planner.add_orphans(holding.process, [(name, holding.deadlines[name])])
        else:
            self._classify_connections(holding, holding.connection_batches.pop(name), parts)
        self._release_holder_when_done(holding)

    def _release_holder_when_done(self, holding: ProcessResources) -> None:
        if not holding.pending:
            with contextlib.suppress(OSError):
                holding.holder_socket.send(b"[]")
        self._advance()

    def _on_unrecorded(self, holding: ProcessResources, names: list[int], descriptors: list[int]) -> None:
        """Connections that its book knows nothing of.

        What was moved to it and not noted yet is as it was. What belongs to work that it was offered is a copy of
        what is held here, or in the next heir's hand by now. The rest it had accepted, and its code has seen nothing
        of it.
        """
        if names:
            there = []
            for name, number in zip(names, descriptors, strict=True):
                if name in holding.offered_copies:
                    close_all([number])
                else:
                    there.append(
                        (holding.recently_moved.get(name, (0.0, ConnectionRecord(0, name, 0, 0)))[1], number)
                    )
            if there:
                self._move_connections(holding, there)
        else:
            holding.pending.discard(UNRECORDED)
        self._release_holder_when_done(holding)

    def _classify_connections(
        self, holding: ProcessResources, rows: list[tuple[ConnectionRecord, int]], parts: list[int | None]
    ) -> None:
        """Connections that should be between two requests: those of which an answer is not out are work."""
        idle = []
        for (row, slot), number in zip(rows, parts, strict=True):
            if number is None:
                continue
            seen = read_counters_at(number, row.connection_id)
            entry = holding.journal.record_at(slot) if slot >= 0 else None
            if entry is not None and seen is not None and seen.written < row.bytes_written:
                self.counts["left"] += 1
                holding.descriptors[slot] = [number, *(None for _ in entry.attempts)]
                holding.caller_connection_ids[slot] = entry.caller_connection_id
                self._planner.add_orphans(holding.process, [(slot, holding.deadlines[slot])])
            elif entry is not None and entry.closes_connection:
                close_all([number])
            else:
                idle.append((row, number))
        if idle:
            self._move_connections(holding, idle)

    def _move_connections(
        self, holding: ProcessResources, there: list[tuple[ConnectionRecord, int]], but: int = 0, first: int = 0
    ) -> None:
        """Connections without work go to whoever has the least to do."""
        self._send_connections(
            holding.tier,
            Offer(
                holding.process,
                rows=[[row.connection_id, row.bytes_read, row.bytes_written] for row, _ in there],
                descriptors=[number for _, number in there],
            ),
            but,
            first,
        )

    def distribute_accepted(
        self, holding: ProcessResources, connections: list[socket.socket], itself: bool = False
    ) -> None:
        """Connections that were accepted for a process, of which nothing was read: it has them, or others do."""
        rows = [(ConnectionRecord(0, connection_id_of(one), 0, 0), one.detach()) for one in connections]
        but, first = (0, holding.process) if itself else (holding.process, 0)
        for at in range(0, len(rows), BATCH_DESCRIPTORS):
            self._move_connections(holding, rows[at : at + BATCH_DESCRIPTORS], but, first)
        self._advance()

    def _send_connections(self, tier: int, offer: Offer, but: int = 0, first: int = 0) -> None:
        """Connections without work, to any but one, or to one before all others.

        Where nobody is they wait; where nobody takes them they end.
        """
        heirs = self._available_successors(tier) if offer.term < MAX_MOVES else []
        heirs.sort(key=lambda heir: heir[0] != first)
        offer.term += 1
        for process, _ in heirs:
            if process == but:
                continue
            with contextlib.suppress(OSError):
                heir = self._processes[process]
                offer.send(heir.offer_socket)
                now = self._loop.time()
                heir.recently_moved = {name: one for name, one in heir.recently_moved.items() if one[0] > now}
                heir.recently_moved |= {
                    row[0]: (now + MOVE_RECORD_LIFETIME, ConnectionRecord(0, *row)) for row in offer.rows
                }
                self._unreceived_since.setdefault(process, now)
                self.counts["moved"] += len(offer.descriptors)
                offer.close()
                return
        offer.term -= 1
        if offer.term < MAX_MOVES and len(self._stranded) < MAX_STRANDED:
            self._stranded.append((self._loop.time() + STRANDED_TIMEOUT, tier, offer))
            return
        self.counts["closed"] += len(offer.descriptors)
        offer.close()

    def _available_successors(self, tier: int) -> list[tuple[int, int]]:
        """Heirs, the least at work first: with what was moved to them since they last told, or one would have all."""
        now = self._loop.time()
        heirs = [
            (process, count + sum(until > now for until, _ in self._processes[process].recently_moved.values()))
            for process, count in self._successors(tier)
        ]
        return self._planner.available(now, heirs)

    def _retry_stranded(self) -> None:
        """Connections without work for which there was nobody: most likely a process is about to be there."""
        stranded, self._stranded = self._stranded, []
        for until, tier, offer in stranded:
            if self._loop.time() >= until:
                self.counts["closed"] += len(offer.descriptors)
                offer.close()
            elif self._available_successors(tier):
                self._send_connections(tier, offer)
            else:
                self._stranded.append((until, tier, offer))

    # ---- heirs ---------------------------------------------------------------------------

    def on_declined(self, holding: ProcessResources, values: dict[str, Any]) -> None:
        """An heir says that it can't carry a piece of work."""
        try:
            piece, term = (int(values["process"]), int(values["slot"])), int(values["term"])
        except (KeyError, TypeError, ValueError):
            return
        self.counts["declined"] += self._planner.on_declined(piece, holding.process, term)
        self._advance()

    def _collect_adopted(self) -> None:
        for piece, claim in self._planner.assigned():
            holding = self._processes[piece[0]]
            if holding.journal.adopted_term(piece[1]) == claim.term:
                self.counts["adopted"] += 1
                self._planner.on_adopted(piece)
                self._close_descriptors(holding, piece[1])

    @staticmethod
    def _close_descriptors(holding: ProcessResources, slot: int) -> None:
        close_all([number for number in holding.descriptors.pop(slot, []) if number is not None])

    def _offer_orphans(self) -> None:
        now = self._loop.time()
        tiers = {self._processes[piece[0]].tier for piece in self._planner.orphans}
        for tier in tiers:
            mine = [piece for piece in self._planner.orphans if self._processes[piece[0]].tier == tier]
            others = [piece for piece in self._planner.orphans if self._processes[piece[0]].tier != tier]
            self._planner.orphans = mine
            given = self._planner.assign(now, self._available_successors(tier))
            self._planner.orphans += others
            for heir, rows in given.items():
                for piece, term in rows:
                    self._offer_request(heir, piece, term)

    def _offer_request(self, heir: int, piece: RequestRef, term: int) -> None:
        holding = self._processes[piece[0]]
        parts = holding.descriptors[piece[1]]
        if parts[0] is None:  # its caller has gone
            self._planner.on_adopted(piece)
            self._close_descriptors(holding, piece[1])
            return
        holding.journal.claim(piece[1], term)
        offer = Offer(
            piece[0],
            piece[1],
            term,
            [part is not None for part in parts[1:]],
            book=holding.journal_index,
            descriptors=[part for part in parts if part is not None],
        )
        try:
            offer.send(self._processes[heir].offer_socket)
        except OSError:
            self._planner.on_declined(piece, heir, term)

    def _withdraw_offers(self) -> None:
        """What slow heirs have not received; and then nobody has."""
        now = self._loop.time()
        for heir in self._planner.slow_successors(now):
            holding = self._processes.get(heir)
            if holding is not None:
                if is_waiting(holding.offer_receiver):
                    self._planner.avoid(now, heir)
                self._receive_back(holding)
        for heir, since in list(self._unreceived_since.items()):
            holding = self._processes.get(heir)
            if holding is None or holding.is_reaped or not is_waiting(holding.offer_receiver):
                del self._unreceived_since[heir]
            elif now - since > self.spec.patience:
                self._planner.avoid(now, heir)
                self._receive_back(holding)

    def _receive_back(self, holding: ProcessResources) -> None:
        """Receive what it has not received."""
        self._unreceived_since.pop(holding.process, None)
        with contextlib.suppress(OSError, EOFError):
            while (offer := receive(holding.offer_receiver)) is not None:
                piece = (offer.process, offer.slot)
                if offer.slot < 0:
                    self._send_connections(holding.tier, offer, but=holding.process)
                    continue
                self.counts["taken_back"] += self._planner.on_withdrawn(piece, holding.process, offer.term)
                offer.close()

    # ---- time ----------------------------------------------------------------------------

    def _advance(self) -> None:
        """Hand on what can be, and look again as long as anything is on its way."""
        self._collect_adopted()
        self._withdraw_offers()
        for piece in self._planner.expire(self._loop.time()):
            self.counts["lost"] += 1
            log.warning("%s: a request in hand found no heir", self._processes[piece[0]].name)
            self._close_descriptors(self._processes[piece[0]], piece[1])
        self._offer_orphans()
        self._retry_stranded()
        self._remove_finished()
        if (self._planner.claims or self._unreceived_since or self._stranded) and not self._ticking:
            self._ticking = True
            self._loop.call_later(POLL_INTERVAL, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        self._advance()

    def _remove_finished(self) -> None:
        """Let go of the dead of whom nothing is left."""
        for process, holding in list(self._processes.items()):
            if holding.is_reaped and not holding.pending and not self._planner.has_claims(process):
                del self._processes[process]
                self._close_resources(holding)

    def _close_resources(self, holding: ProcessResources) -> None:
        holding.close_child_end()
        for slot in list(holding.descriptors):
            self._close_descriptors(holding, slot)
        if holding.holder_socket.fileno() >= 0:
            self._loop.remove_reader(holding.holder_socket.fileno())
        for one in (holding.holder_socket, holding.offer_socket, holding.offer_receiver):
            one.close()
        self._retained_journals.append((self._loop.time() + self.spec.answer_retention, holding.journal_index))

    def on_spawn_failed(self, holding: ProcessResources) -> None:
        """Its process could not be started."""
        self._processes.pop(holding.process, None)
        self._close_resources(holding)

    def view(self) -> dict[str, int]:
        """What operators want to know."""
        return self.counts | {"waiting": len(self._planner.claims)}

    def close(self) -> None:
        """The supervisor ends: so do keepers, and what nobody has inherited."""
        for holding in list(self._processes.values()):
            if holding.holder_pid:
                self._loop.remove_reader(holding.holder_pidfd)
                with contextlib.suppress(OSError):
                    signal.pidfd_send_signal(holding.holder_pidfd, signal.SIGKILL)
                self._on_holder_exit(holding)
            self._close_resources(holding)
        self._processes.clear()
        for _, _, offer in self._stranded:
            offer.close()
        os.close(self._memfd)
