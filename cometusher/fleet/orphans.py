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

TICK = 0.02  # seconds between looks, while anything is on its way
GRACE = 1.0  # seconds after its deadline, or its owner's end, in which an heir may still say what became of it
STRANDED = 3.0  # seconds that connections without work wait for anybody to be there...
MOST_STRANDED = 256  # ...and so many offers of them
MOVED_FOR = 5.0  # seconds within which an heir has noted what was moved to it
MOST_MOVES = 16  # heirs that a connection without work is offered to
OTHERS = 1 << 30  # among what a keeper was asked for: connections that nothing was noted of
ASKED_AT_ONCE = 64  # pieces of work that a keeper is asked for in one message

Heirs = Callable[[int], Iterable[tuple[int, int]]]  # of a tier: processes, and the requests that they have in hand


@dataclass(slots=True)
class Holding:
    """What the supervisor holds of one process."""

    process: int
    name: str
    tier: int
    port: int  # that its callers connect to
    left: OrphanedJournal
    book: int  # which on the shelf
    shelf: int  # descriptor
    keeper: socket.socket
    door: socket.socket  # where offers are put in...
    back: socket.socket  # ...and the end that the process reads from
    child_keeper: socket.socket | None  # until the process has it
    keeper_pid: int = 0
    keeper_pidfd: int = -1
    dead: bool = False
    asked: set[int] = field(default_factory=set)  # names of what its keeper is to give; below 0: batches of rows
    batches: dict[int, list[tuple[ConnectionRecord, int]]] = field(
        default_factory=dict
    )  # with the slot, if there is an entry
    until: dict[int, float] = field(default_factory=dict)  # by slot
    parts: dict[int, list[int | None]] = field(default_factory=dict)  # by slot: the caller, attempts
    peers: dict[int, int] = field(default_factory=dict)  # by slot: the name of the caller's connection
    copies: set[int] = field(default_factory=set)  # connections of work that it was offered when it died, by name
    moved: dict[int, tuple[float, ConnectionRecord]] = field(
        default_factory=dict
    )  # to it, by name, and until when that counts

    def pass_on(self) -> dict[int, int]:
        """The descriptors for the process, by the numbers that it has them at."""
        assert self.child_keeper is not None
        return {POOL_FD: self.shelf, HOLDER_FD: self.child_keeper.fileno(), CHANNEL_FD: self.back.fileno()}

    def passed_on(self) -> None:
        """It has them."""
        if self.child_keeper is not None:
            self.child_keeper.close()
            self.child_keeper = None


class Estates:
    """All that the processes of one fleet leave."""

    def __init__(self, spec: TakeoverSpec, loop: asyncio.AbstractEventLoop, heirs: Heirs) -> None:
        self.spec = spec
        self._loop = loop
        self._heirs = heirs
        self._estate = TakeoverPlanner(spec.pace, spec.patience)
        self._holdings: dict[int, Holding] = {}
        self._ports: dict[int, set[int]] = {}  # that callers connect to, by tier
        self._shelf = spec.shelf
        self._memfd = os.memfd_create("shelf", os.MFD_CLOEXEC)
        os.ftruncate(self._memfd, self._shelf.bytes)
        self._memory = mmap.mmap(self._memfd, self._shelf.bytes)
        self._view = memoryview(self._memory)
        self._books = deque(range(self._shelf.books))  # that are free...
        self._resting: deque[tuple[float, int]] = deque()  # ...and that will be: answers in them may be asked for
        self._count = 0
        self._ticking = False
        self._stranded: list[tuple[float, int, Offer]] = []  # until when they wait, for an heir of which tier
        self._moving: dict[int, float] = {}  # heirs that were sent connections without work, and since when
        self.counts = {"left": 0, "adopted": 0, "lost": 0, "taken_back": 0, "declined": 0, "moved": 0, "closed": 0}

    # ---- processes -----------------------------------------------------------------------

    def make(self, name: str, tier: int, port: int) -> Holding:
        """For a process that is about to start; raises OSError."""
        self._count += 1
        self._ports.setdefault(tier, set()).add(port)
        book = self._take_book()
        left = OrphanedJournal(self._shelf.journal_memory(self._view, book), self._shelf.size)
        keeper, child_keeper = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        door, back = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for one in (keeper, door, back):
            one.setblocking(False)
        holding = Holding(self._count, name, tier, port, left, book, self._memfd, keeper, door, back, child_keeper)
        self._holdings[holding.process] = holding
        return holding

    def _take_book(self) -> int:
        """A book that is all zeros; raises OSError where there is none."""
        now = self._loop.time()
        while self._resting and (self._resting[0][0] <= now or not self._books):
            self._books.append(self._resting.popleft()[1])
        if not self._books:
            raise OSError("no book is free")
        book = self._books.popleft()
        self._memory.madvise(mmap.MADV_REMOVE, self._shelf.journal_offset(book), self._shelf.journal_stride)
        return book

    def told(self, holding: Holding) -> dict[str, Any]:
        """What the process is told of it, as a part of its file."""
        return {"takeover": assignment_values(JournalAssignment(holding.process, holding.book, self._shelf))}

    def started(self, holding: Holding) -> None:
        """It has started."""
        holding.passed_on()
        self._loop.add_reader(holding.keeper.fileno(), self._from_keeper, holding)

    def reaped(self, holding: Holding) -> None:
        """It is no more, for certain: only now may anybody else act for it."""
        if holding.dead:
            return
        holding.dead = True
        holding.passed_on()
        given = {piece for piece, claim in self._estate.assigned() if claim.successor == holding.process}
        self._see_adopted()
        unproven = given & set(self._estate.claims)  # noted by it at most, not adopted: they are in the book before
        holding.copies = {self._holdings[process].peers[slot] for process, slot in unproven}
        self._estate.on_reaped(holding.process)
        self._take_in(holding, unproven)
        self._drain(holding)
        self._go_on()

    def _take_in(self, holding: Holding, unproven: set[RequestRef]) -> None:
        """Ask the keeper for the connections of all that is in the book."""
        asks: list[tuple[int, list[int]]] = []
        rows: list[tuple[ConnectionRecord, int]] = []
        taken = set()  # connections with an entry
        for slot in holding.left.slots():
            entry = holding.left.record_at(slot)
            if entry is None:
                log.warning("%s: an entry of its book can't be read", holding.name)
                continue
            if entry.caller_descriptor < 0:
                continue  # an answer that is only kept
            taken.add(entry.caller_descriptor)
            if entry.origin is not None and (entry.origin.process, entry.origin.slot) in unproven:
                continue
            holding.until[slot] = max(entry.deadline, self._loop.time()) + GRACE
            holding.peers[slot] = entry.caller_connection_id
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
        rows += [(row, -1) for row in holding.left.connections([IDLE]) if row.descriptor not in taken]
        before = self.counts["left"]
        self.counts["left"] += len(asks)
        for at in range(0, len(rows), BATCH_DESCRIPTORS):
            name = -1 - at
            holding.batches[name] = rows[at : at + BATCH_DESCRIPTORS]
            asks.append((name, [row.descriptor for row, _ in rows[at : at + BATCH_DESCRIPTORS]]))
        holding.asked = {OTHERS, *(name for name, _ in asks)}
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
            for at in range(0, len(asks), ASKED_AT_ONCE):
                holding.keeper.send(orjson.dumps(asks[at : at + ASKED_AT_ONCE]))
            known = taken | {row.descriptor for row in holding.left.connections([IDLE, BUSY])}
            ports = sorted(self._ports[holding.tier])  # what was moved to it came to another's
            holding.keeper.send(orjson.dumps({"ports": ports, "known": sorted(known)}))
        except OSError as fault:
            self._keeper_lost(holding, f"its keeper can't be asked: {fault.strerror}")

    # ---- keepers -------------------------------------------------------------------------

    def _from_keeper(self, holding: Holding) -> None:
        for _ in range(ASKED_AT_ONCE):
            if holding.keeper.fileno() < 0:
                return  # what it gave last was all
            try:
                data, descriptors, _, _ = socket.recv_fds(holding.keeper, MAX_MESSAGE, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self._keeper_lost(holding, "its keeper is gone")
                return
            values = orjson.loads(data)
            if isinstance(values, dict):
                self._keeper_starts(holding, int(values["pid"]))
            elif values[0] == "others":
                self._others(holding, values[1], descriptors)
            else:
                self._given(holding, values[0], values[1], descriptors)

    def _keeper_starts(self, holding: Holding, pid: int) -> None:
        holding.keeper_pid = pid
        holding.keeper_pidfd = os.pidfd_open(pid)
        self._loop.add_reader(holding.keeper_pidfd, self._keeper_ended, holding)

    def _keeper_ended(self, holding: Holding) -> None:
        self._loop.remove_reader(holding.keeper_pidfd)
        os.close(holding.keeper_pidfd)
        with contextlib.suppress(ChildProcessError):
            os.waitpid(holding.keeper_pid, 0)
        holding.keeper_pid, holding.keeper_pidfd = 0, -1

    def _keeper_lost(self, holding: Holding, why: str) -> None:
        """Nothing more comes of it; what it was asked for and has not given is lost."""
        if holding.keeper.fileno() >= 0:
            self._loop.remove_reader(holding.keeper.fileno())
            holding.keeper.close()
        lost = [name for name in holding.asked if 0 <= name < OTHERS]
        holding.asked.clear()
        if not holding.dead:
            log.warning("%s: %s: what it has in hand would be lost with it", holding.name, why)
        elif lost:
            self.counts["lost"] += len(lost)
            log.warning("%s: %s: %d requests are lost", holding.name, why, len(lost))
        self._forget()

    def _given(self, holding: Holding, name: int, have: list[bool], descriptors: list[int]) -> None:
        """The keeper has given what belongs to one piece of work, or some connections without."""
        holding.asked.discard(name)
        given = iter(descriptors)
        parts = [next(given, None) if there else None for there in have]
        if name >= 0:
            holding.parts[name] = parts
            self._estate.add_orphans(holding.process, [(name, holding.until[name])])
        else:
            self._sort_out(holding, holding.batches.pop(name), parts)
        self._next(holding)

    def _next(self, holding: Holding) -> None:
        if not holding.asked:
            with contextlib.suppress(OSError):
                holding.keeper.send(b"[]")
        self._go_on()

    def _others(self, holding: Holding, names: list[int], descriptors: list[int]) -> None:
        """Connections that its book knows nothing of.

        What was moved to it and not noted yet is as it was. What belongs to work that it was offered is a copy of
        what is held here, or in the next heir's hand by now. The rest it had accepted, and its code has seen nothing
        of it.
        """
        if names:
            there = []
            for name, number in zip(names, descriptors, strict=True):
                if name in holding.copies:
                    close_all([number])
                else:
                    there.append((holding.moved.get(name, (0.0, ConnectionRecord(0, name, 0, 0)))[1], number))
            if there:
                self._move(holding, there)
        else:
            holding.asked.discard(OTHERS)
        self._next(holding)

    def _sort_out(self, holding: Holding, rows: list[tuple[ConnectionRecord, int]], parts: list[int | None]) -> None:
        """Connections that should be between two requests: those of which an answer is not out are work."""
        idle = []
        for (row, slot), number in zip(rows, parts, strict=True):
            if number is None:
                continue
            seen = read_counters_at(number, row.connection_id)
            entry = holding.left.record_at(slot) if slot >= 0 else None
            if entry is not None and seen is not None and seen.written < row.bytes_written:
                self.counts["left"] += 1
                holding.parts[slot] = [number, *(None for _ in entry.attempts)]
                holding.peers[slot] = entry.caller_connection_id
                self._estate.add_orphans(holding.process, [(slot, holding.until[slot])])
            elif entry is not None and entry.closes_connection:
                close_all([number])
            else:
                idle.append((row, number))
        if idle:
            self._move(holding, idle)

    def _move(
        self, holding: Holding, there: list[tuple[ConnectionRecord, int]], but: int = 0, first: int = 0
    ) -> None:
        """Connections without work go to whoever has the least to do."""
        self._send_on(
            holding.tier,
            Offer(
                holding.process,
                rows=[[row.connection_id, row.bytes_read, row.bytes_written] for row, _ in there],
                descriptors=[number for _, number in there],
            ),
            but,
            first,
        )

    def accepted(self, holding: Holding, connections: list[socket.socket], itself: bool = False) -> None:
        """Connections that were accepted for a process, of which nothing was read: it has them, or others do."""
        rows = [(ConnectionRecord(0, connection_id_of(one), 0, 0), one.detach()) for one in connections]
        but, first = (0, holding.process) if itself else (holding.process, 0)
        for at in range(0, len(rows), BATCH_DESCRIPTORS):
            self._move(holding, rows[at : at + BATCH_DESCRIPTORS], but, first)
        self._go_on()

    def _send_on(self, tier: int, offer: Offer, but: int = 0, first: int = 0) -> None:
        """Connections without work, to any but one, or to one before all others.

        Where nobody is they wait; where nobody takes them they end.
        """
        heirs = self._able(tier) if offer.term < MOST_MOVES else []
        heirs.sort(key=lambda heir: heir[0] != first)
        offer.term += 1
        for process, _ in heirs:
            if process == but:
                continue
            with contextlib.suppress(OSError):
                heir = self._holdings[process]
                offer.send(heir.door)
                now = self._loop.time()
                heir.moved = {name: one for name, one in heir.moved.items() if one[0] > now}
                heir.moved |= {row[0]: (now + MOVED_FOR, ConnectionRecord(0, *row)) for row in offer.rows}
                self._moving.setdefault(process, now)
                self.counts["moved"] += len(offer.descriptors)
                offer.close()
                return
        offer.term -= 1
        if offer.term < MOST_MOVES and len(self._stranded) < MOST_STRANDED:
            self._stranded.append((self._loop.time() + STRANDED, tier, offer))
            return
        self.counts["closed"] += len(offer.descriptors)
        offer.close()

    def _able(self, tier: int) -> list[tuple[int, int]]:
        """Heirs, the least at work first: with what was moved to them since they last told, or one would have all."""
        now = self._loop.time()
        heirs = [
            (process, count + sum(until > now for until, _ in self._holdings[process].moved.values()))
            for process, count in self._heirs(tier)
        ]
        return self._estate.available(now, heirs)

    def _offer_stranded(self) -> None:
        """Connections without work for which there was nobody: most likely a process is about to be there."""
        stranded, self._stranded = self._stranded, []
        for until, tier, offer in stranded:
            if self._loop.time() >= until:
                self.counts["closed"] += len(offer.descriptors)
                offer.close()
            elif self._able(tier):
                self._send_on(tier, offer)
            else:
                self._stranded.append((until, tier, offer))

    # ---- heirs ---------------------------------------------------------------------------

    def declined(self, holding: Holding, values: dict[str, Any]) -> None:
        """An heir says that it can't carry a piece of work."""
        try:
            piece, term = (int(values["process"]), int(values["slot"])), int(values["term"])
        except (KeyError, TypeError, ValueError):
            return
        self.counts["declined"] += self._estate.on_declined(piece, holding.process, term)
        self._go_on()

    def _see_adopted(self) -> None:
        for piece, claim in self._estate.assigned():
            holding = self._holdings[piece[0]]
            if holding.left.adopted_term(piece[1]) == claim.term:
                self.counts["adopted"] += 1
                self._estate.on_adopted(piece)
                self._let_go(holding, piece[1])

    @staticmethod
    def _let_go(holding: Holding, slot: int) -> None:
        close_all([number for number in holding.parts.pop(slot, []) if number is not None])

    def _offer(self) -> None:
        now = self._loop.time()
        tiers = {self._holdings[piece[0]].tier for piece in self._estate.orphans}
        for tier in tiers:
            mine = [piece for piece in self._estate.orphans if self._holdings[piece[0]].tier == tier]
            others = [piece for piece in self._estate.orphans if self._holdings[piece[0]].tier != tier]
            self._estate.orphans = mine
            given = self._estate.assign(now, self._able(tier))
            self._estate.orphans += others
            for heir, rows in given.items():
                for piece, term in rows:
                    self._offer_one(heir, piece, term)

    def _offer_one(self, heir: int, piece: RequestRef, term: int) -> None:
        holding = self._holdings[piece[0]]
        parts = holding.parts[piece[1]]
        if parts[0] is None:  # its caller has gone
            self._estate.on_adopted(piece)
            self._let_go(holding, piece[1])
            return
        holding.left.claim(piece[1], term)
        offer = Offer(
            piece[0],
            piece[1],
            term,
            [part is not None for part in parts[1:]],
            book=holding.book,
            descriptors=[part for part in parts if part is not None],
        )
        try:
            offer.send(self._holdings[heir].door)
        except OSError:
            self._estate.on_declined(piece, heir, term)

    def _take_back(self) -> None:
        """What slow heirs have not received; and then nobody has."""
        now = self._loop.time()
        for heir in self._estate.slow_successors(now):
            holding = self._holdings.get(heir)
            if holding is not None:
                if is_waiting(holding.back):
                    self._estate.avoid(now, heir)
                self._drain(holding)
        for heir, since in list(self._moving.items()):
            holding = self._holdings.get(heir)
            if holding is None or holding.dead or not is_waiting(holding.back):
                del self._moving[heir]
            elif now - since > self.spec.patience:
                self._estate.avoid(now, heir)
                self._drain(holding)

    def _drain(self, holding: Holding) -> None:
        """Receive what it has not received."""
        self._moving.pop(holding.process, None)
        with contextlib.suppress(OSError, EOFError):
            while (offer := receive(holding.back)) is not None:
                piece = (offer.process, offer.slot)
                if offer.slot < 0:
                    self._send_on(holding.tier, offer, but=holding.process)
                    continue
                self.counts["taken_back"] += self._estate.on_withdrawn(piece, holding.process, offer.term)
                offer.close()

    # ---- time ----------------------------------------------------------------------------

    def _go_on(self) -> None:
        """Hand on what can be, and look again as long as anything is on its way."""
        self._see_adopted()
        self._take_back()
        for piece in self._estate.expire(self._loop.time()):
            self.counts["lost"] += 1
            log.warning("%s: a request in hand found no heir", self._holdings[piece[0]].name)
            self._let_go(self._holdings[piece[0]], piece[1])
        self._offer()
        self._offer_stranded()
        self._forget()
        if (self._estate.claims or self._moving or self._stranded) and not self._ticking:
            self._ticking = True
            self._loop.call_later(TICK, self._tick)

    def _tick(self) -> None:
        self._ticking = False
        self._go_on()

    def _forget(self) -> None:
        """Let go of the dead of whom nothing is left."""
        for process, holding in list(self._holdings.items()):
            if holding.dead and not holding.asked and not self._estate.has_claims(process):
                del self._holdings[process]
                self._end(holding)

    def _end(self, holding: Holding) -> None:
        holding.passed_on()
        for slot in list(holding.parts):
            self._let_go(holding, slot)
        if holding.keeper.fileno() >= 0:
            self._loop.remove_reader(holding.keeper.fileno())
        for one in (holding.keeper, holding.door, holding.back):
            one.close()
        self._resting.append((self._loop.time() + self.spec.rests, holding.book))

    def dropped(self, holding: Holding) -> None:
        """Its process could not be started."""
        self._holdings.pop(holding.process, None)
        self._end(holding)

    def view(self) -> dict[str, int]:
        """What operators want to know."""
        return self.counts | {"waiting": len(self._estate.claims)}

    def close(self) -> None:
        """The supervisor ends: so do keepers, and what nobody has inherited."""
        for holding in list(self._holdings.values()):
            if holding.keeper_pid:
                self._loop.remove_reader(holding.keeper_pidfd)
                with contextlib.suppress(OSError):
                    signal.pidfd_send_signal(holding.keeper_pidfd, signal.SIGKILL)
                self._keeper_ended(holding)
            self._end(holding)
        self._holdings.clear()
        for _, _, offer in self._stranded:
            offer.close()
        os.close(self._memfd)
