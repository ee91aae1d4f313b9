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
    request_descriptors: dict[int, list[int | None]] = field(default_factory=dict)  # by slot: the caller, attempts
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

    def __init__(self, spec: TakeoverSpec, loop: asyncio.AbstractEventLoop, successors: SuccessorSource) -> None:
        self.spec = spec
        self._loop = loop
        self._successors = successors
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

    def open_resources(self, name: str, tier: int, port: int) -> ProcessResources:
        """For a process that is about to start; raises OSError."""
        self._process_count += 1
        self._ports.setdefault(tier, set()).add(port)
        journal_index = self._take_journal()
        journal = OrphanedJournal(self._pool.journal_memory(self._view, journal_index), self._pool.size)
        holder_socket, child_holder_socket = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        offer_socket, offer_receiver = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        for sock in (holder_socket, offer_socket, offer_receiver):
            sock.setblocking(False)
        resources = ProcessResources(
            self._process_count,
            name,
            tier,
            port,
            journal,
            journal_index,
            self._memfd,
            holder_socket,
            offer_socket,
            offer_receiver,
            child_holder_socket,
        )
        self._processes[resources.process] = resources
        return resources

    def _take_journal(self) -> int:
        """A book that is all zeros; raises OSError where there is none."""
        now = self._loop.time()
        while self._retained_journals and (self._retained_journals[0][0] <= now or not self._free_journals):
            self._free_journals.append(self._retained_journals.popleft()[1])
        if not self._free_journals:
            raise OSError("no book is free")
        journal_index = self._free_journals.popleft()
        self._memory.madvise(mmap.MADV_REMOVE, self._pool.journal_offset(journal_index), self._pool.journal_stride)
        return journal_index

    def takeover_values(self, resources: ProcessResources) -> dict[str, Any]:
        """What the process is told of it, as a part of its file."""
        return {
            "takeover": assignment_values(JournalAssignment(resources.process, resources.journal_index, self._pool))
        }

    def on_started(self, resources: ProcessResources) -> None:
        """It has started."""
        resources.close_child_end()
        self._loop.add_reader(resources.holder_socket.fileno(), self._on_holder_readable, resources)

    def on_reaped(self, resources: ProcessResources) -> None:
        """It is no more, for certain: only now may anybody else act for it."""
        if resources.is_reaped:
            return
        resources.is_reaped = True
        resources.close_child_end()
        assigned = {piece for piece, claim in self._planner.assigned() if claim.successor == resources.process}
        self._collect_adopted()
        unproven = assigned & set(
            self._planner.claims
        )  # noted by it at most, not adopted: they are in the book before
        resources.offered_copies = {
            self._processes[process].caller_connection_ids[slot] for process, slot in unproven
        }
        self._planner.on_reaped(resources.process)
        self._request_descriptors(resources, unproven)
        self._receive_back(resources)
        self._advance()

    def _request_descriptors(self, resources: ProcessResources, unproven: set[RequestRef]) -> None:
        """Ask the keeper for the connections of all that is in the book."""
        descriptor_requests: list[tuple[int, list[int]]] = []
        connections: list[tuple[ConnectionRecord, int]] = []
        recorded = set()  # connections with an entry
        for slot in resources.journal.slots():
            record = resources.journal.record_at(slot)
            if record is None:
                log.warning("%s: an entry of its book can't be read", resources.name)
                continue
            if record.caller_descriptor < 0:
                continue  # an answer that is only kept
            recorded.add(record.caller_descriptor)
            if record.origin is not None and (record.origin.process, record.origin.slot) in unproven:
                continue
            resources.deadlines[slot] = max(record.deadline, self._loop.time()) + ADOPTION_GRACE
            resources.caller_connection_ids[slot] = record.caller_connection_id
            if record.stage is Stage.ANSWERED:
                # Most likely between two requests: its connection tells.
                connections.append(
                    (
                        ConnectionRecord(
                            record.caller_descriptor,
                            record.caller_connection_id,
                            record.bytes_read,
                            record.bytes_written + record.answer_length,
                        ),
                        slot,
                    )
                )
                continue
            descriptor_requests.append(
                (slot, [record.caller_descriptor, *(attempt.descriptor for attempt in record.attempts)])
            )
        connections += [
            (connection, -1)
            for connection in resources.journal.connections([IDLE])
            if connection.descriptor not in recorded
        ]
        left_before = self.counts["left"]
        self.counts["left"] += len(descriptor_requests)
        for start in range(0, len(connections), BATCH_DESCRIPTORS):
            batch_id = -1 - start
            resources.connection_batches[batch_id] = connections[start : start + BATCH_DESCRIPTORS]
            descriptor_requests.append(
                (
                    batch_id,
                    [connection.descriptor for connection, _ in connections[start : start + BATCH_DESCRIPTORS]],
                )
            )
        resources.pending = {UNRECORDED, *(batch_id for batch_id, _ in descriptor_requests)}
        if descriptor_requests:
            log.info(
                "%s (process %d) left %d requests in hand and %d connections",
                resources.name,
                resources.process,
                self.counts["left"] - left_before,
                len(connections),
                extra={"event": "left"},
            )
        try:
            for start in range(0, len(descriptor_requests), HOLDER_BATCH):
                resources.holder_socket.send(orjson.dumps(descriptor_requests[start : start + HOLDER_BATCH]))
            known_descriptors = recorded | {
                connection.descriptor for connection in resources.journal.connections([IDLE, BUSY])
            }
            ports = sorted(self._ports[resources.tier])  # what was moved to it came to another's
            resources.holder_socket.send(orjson.dumps({"ports": ports, "known": sorted(known_descriptors)}))
        except OSError as error:
            self._on_holder_lost(resources, f"its keeper can't be asked: {error.strerror}")

    # ---- keepers -------------------------------------------------------------------------

    def _on_holder_readable(self, resources: ProcessResources) -> None:
        for _ in range(HOLDER_BATCH):
            if resources.holder_socket.fileno() < 0:
                return  # what it gave last was all
            try:
                data, descriptors, _, _ = socket.recv_fds(resources.holder_socket, MAX_MESSAGE, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self._on_holder_lost(resources, "its keeper is gone")
                return
            values = orjson.loads(data)
            if isinstance(values, dict):
                self._on_holder_started(resources, int(values["pid"]))
            elif values[0] == "others":
                self._on_unrecorded(resources, values[1], descriptors)
            else:
                self._on_descriptors(resources, values[0], values[1], descriptors)

    def _on_holder_started(self, resources: ProcessResources, pid: int) -> None:
        resources.holder_pid = pid
        resources.holder_pidfd = os.pidfd_open(pid)
        self._loop.add_reader(resources.holder_pidfd, self._on_holder_exit, resources)

    def _on_holder_exit(self, resources: ProcessResources) -> None:
        self._loop.remove_reader(resources.holder_pidfd)
        os.close(resources.holder_pidfd)
        with contextlib.suppress(ChildProcessError):
            os.waitpid(resources.holder_pid, 0)
        resources.holder_pid, resources.holder_pidfd = 0, -1

    def _on_holder_lost(self, resources: ProcessResources, reason: str) -> None:
        """Nothing more comes of it; what it was asked for and has not given is lost."""
        if resources.holder_socket.fileno() >= 0:
            self._loop.remove_reader(resources.holder_socket.fileno())
            resources.holder_socket.close()
        lost = [request_id for request_id in resources.pending if 0 <= request_id < UNRECORDED]
        resources.pending.clear()
        if not resources.is_reaped:
            log.warning("%s: %s: what it has in hand would be lost with it", resources.name, reason)
        elif lost:
            self.counts["lost"] += len(lost)
            log.warning("%s: %s: %d requests are lost", resources.name, reason, len(lost))
        self._remove_finished()

    def _on_descriptors(
        self, resources: ProcessResources, request_id: int, present: list[bool], descriptors: list[int]
    ) -> None:
        """The keeper has given what belongs to one piece of work, or some connections without."""
        resources.pending.discard(request_id)
        received = iter(descriptors)
        found = [next(received, None) if is_present else None for is_present in present]
        if request_id >= 0:
            resources.request_descriptors[request_id] = found
            self._planner.add_orphans(resources.process, [(request_id, resources.deadlines[request_id])])
        else:
            self._classify_connections(resources, resources.connection_batches.pop(request_id), found)
        self._release_holder_when_done(resources)

    def _release_holder_when_done(self, resources: ProcessResources) -> None:
        if not resources.pending:
            with contextlib.suppress(OSError):
                resources.holder_socket.send(b"[]")
        self._advance()

    def _on_unrecorded(self, resources: ProcessResources, connection_ids: list[int], descriptors: list[int]) -> None:
        """Connections that its book knows nothing of.

        What was moved to it and not noted yet is as it was. What belongs to work that it was offered is a copy of
        what is held here, or in the next heir's hand by now. The rest it had accepted, and its code has seen nothing
        of it.
        """
        if connection_ids:
            connections = []
            for connection_id, descriptor in zip(connection_ids, descriptors, strict=True):
                if connection_id in resources.offered_copies:
                    close_all([descriptor])
                else:
                    connections.append(
                        (
                            resources.recently_moved.get(
                                connection_id, (0.0, ConnectionRecord(0, connection_id, 0, 0))
                            )[1],
                            descriptor,
                        )
                    )
            if connections:
                self._move_connections(resources, connections)
        else:
            resources.pending.discard(UNRECORDED)
        self._release_holder_when_done(resources)

    def _classify_connections(
        self,
        resources: ProcessResources,
        connections: list[tuple[ConnectionRecord, int]],
        descriptors: list[int | None],
    ) -> None:
        """Connections that should be between two requests: those of which an answer is not out are work."""
        idle = []
        for (connection, slot), descriptor in zip(connections, descriptors, strict=True):
            if descriptor is None:
                continue
            counters = read_counters_at(descriptor, connection.connection_id)
            record = resources.journal.record_at(slot) if slot >= 0 else None
            if record is not None and counters is not None and counters.written < connection.bytes_written:
                self.counts["left"] += 1
                resources.request_descriptors[slot] = [descriptor, *(None for _ in record.attempts)]
                resources.caller_connection_ids[slot] = record.caller_connection_id
                self._planner.add_orphans(resources.process, [(slot, resources.deadlines[slot])])
            elif record is not None and record.closes_connection:
                close_all([descriptor])
            else:
                idle.append((connection, descriptor))
        if idle:
            self._move_connections(resources, idle)

    def _move_connections(
        self,
        resources: ProcessResources,
        connections: list[tuple[ConnectionRecord, int]],
        excluded: int = 0,
        preferred: int = 0,
    ) -> None:
        """Connections without work go to whoever has the least to do."""
        self._send_connections(
            resources.tier,
            Offer(
                resources.process,
                rows=[
                    [connection.connection_id, connection.bytes_read, connection.bytes_written]
                    for connection, _ in connections
                ],
                descriptors=[descriptor for _, descriptor in connections],
            ),
            excluded,
            preferred,
        )

    def distribute_accepted(
        self, resources: ProcessResources, sockets: list[socket.socket], to_itself: bool = False
    ) -> None:
        """Connections that were accepted for a process, of which nothing was read: it has them, or others do."""
        connections = [(ConnectionRecord(0, connection_id_of(sock), 0, 0), sock.detach()) for sock in sockets]
        excluded, preferred = (0, resources.process) if to_itself else (resources.process, 0)
        for start in range(0, len(connections), BATCH_DESCRIPTORS):
            self._move_connections(resources, connections[start : start + BATCH_DESCRIPTORS], excluded, preferred)
        self._advance()

    def _send_connections(self, tier: int, offer: Offer, excluded: int = 0, preferred: int = 0) -> None:
        """Connections without work, to any but one, or to one before all others.

        Where nobody is they wait; where nobody takes them they end.
        """
        successors = self._available_successors(tier) if offer.term < MAX_MOVES else []
        successors.sort(key=lambda successor: successor[0] != preferred)
        offer.term += 1
        for process, _ in successors:
            if process == excluded:
                continue
            with contextlib.suppress(OSError):
                resources = self._processes[process]
                offer.send(resources.offer_socket)
                now = self._loop.time()
                resources.recently_moved = {
                    connection_id: move for connection_id, move in resources.recently_moved.items() if move[0] > now
                }
                resources.recently_moved |= {
                    connection[0]: (now + MOVE_RECORD_LIFETIME, ConnectionRecord(0, *connection))
                    for connection in offer.rows
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
        successors = [
            (process, count + sum(until > now for until, _ in self._processes[process].recently_moved.values()))
            for process, count in self._successors(tier)
        ]
        return self._planner.available(now, successors)

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

    def on_declined(self, resources: ProcessResources, values: dict[str, Any]) -> None:
        """An heir says that it can't carry a piece of work."""
        try:
            request, term = (int(values["process"]), int(values["slot"])), int(values["term"])
        except (KeyError, TypeError, ValueError):
            return
        self.counts["declined"] += self._planner.on_declined(request, resources.process, term)
        self._advance()

    def _collect_adopted(self) -> None:
        for request, claim in self._planner.assigned():
            resources = self._processes[request[0]]
            if resources.journal.adopted_term(request[1]) == claim.term:
                self.counts["adopted"] += 1
                self._planner.on_adopted(request)
                self._close_descriptors(resources, request[1])

    @staticmethod
    def _close_descriptors(resources: ProcessResources, slot: int) -> None:
        close_all(
            [descriptor for descriptor in resources.request_descriptors.pop(slot, []) if descriptor is not None]
        )

    def _offer_orphans(self) -> None:
        now = self._loop.time()
        tiers = {self._processes[request[0]].tier for request in self._planner.orphans}
        for tier in tiers:
            in_tier = [request for request in self._planner.orphans if self._processes[request[0]].tier == tier]
            in_other_tiers = [
                request for request in self._planner.orphans if self._processes[request[0]].tier != tier
            ]
            self._planner.orphans = in_tier
            assigned = self._planner.assign(now, self._available_successors(tier))
            self._planner.orphans += in_other_tiers
            for successor, requests in assigned.items():
                for request, term in requests:
                    self._offer_request(successor, request, term)

    def _offer_request(self, successor: int, request: RequestRef, term: int) -> None:
        resources = self._processes[request[0]]
        descriptors = resources.request_descriptors[request[1]]
        if descriptors[0] is None:  # its caller has gone
            self._planner.on_adopted(request)
            self._close_descriptors(resources, request[1])
            return
        resources.journal.claim(request[1], term)
        offer = Offer(
            request[0],
            request[1],
            term,
            [descriptor is not None for descriptor in descriptors[1:]],
            book=resources.journal_index,
            descriptors=[descriptor for descriptor in descriptors if descriptor is not None],
        )
        try:
            offer.send(self._processes[successor].offer_socket)
        except OSError:
            self._planner.on_declined(request, successor, term)

    def _withdraw_offers(self) -> None:
        """What slow heirs have not received; and then nobody has."""
        now = self._loop.time()
        for successor in self._planner.slow_successors(now):
            resources = self._processes.get(successor)
            if resources is not None:
                if is_waiting(resources.offer_receiver):
                    self._planner.avoid(now, successor)
                self._receive_back(resources)
        for successor, since in list(self._unreceived_since.items()):
            resources = self._processes.get(successor)
            if resources is None or resources.is_reaped or not is_waiting(resources.offer_receiver):
                del self._unreceived_since[successor]
            elif now - since > self.spec.patience:
                self._planner.avoid(now, successor)
                self._receive_back(resources)

    def _receive_back(self, resources: ProcessResources) -> None:
        """Receive what it has not received."""
        self._unreceived_since.pop(resources.process, None)
        with contextlib.suppress(OSError, EOFError):
            while (offer := receive(resources.offer_receiver)) is not None:
                request = (offer.process, offer.slot)
                if offer.slot < 0:
                    self._send_connections(resources.tier, offer, excluded=resources.process)
                    continue
                self.counts["taken_back"] += self._planner.on_withdrawn(request, resources.process, offer.term)
                offer.close()

    # ---- time ----------------------------------------------------------------------------

    def _advance(self) -> None:
        """Hand on what can be, and look again as long as anything is on its way."""
        self._collect_adopted()
        self._withdraw_offers()
        for request in self._planner.expire(self._loop.time()):
            self.counts["lost"] += 1
            log.warning("%s: a request in hand found no heir", self._processes[request[0]].name)
            self._close_descriptors(self._processes[request[0]], request[1])
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
        for process, resources in list(self._processes.items()):
            if resources.is_reaped and not resources.pending and not self._planner.has_claims(process):
                del self._processes[process]
                self._close_resources(resources)

    def _close_resources(self, resources: ProcessResources) -> None:
        resources.close_child_end()
        for slot in list(resources.request_descriptors):
            self._close_descriptors(resources, slot)
        if resources.holder_socket.fileno() >= 0:
            self._loop.remove_reader(resources.holder_socket.fileno())
        for sock in (resources.holder_socket, resources.offer_socket, resources.offer_receiver):
            sock.close()
        self._retained_journals.append((self._loop.time() + self.spec.answer_retention, resources.journal_index))

    def discard(self, resources: ProcessResources) -> None:
        """Its process could not be started."""
        self._processes.pop(resources.process, None)
        self._close_resources(resources)

    def view(self) -> dict[str, int]:
        """What operators want to know."""
        return self.counts | {"waiting": len(self._planner.claims)}

    def close(self) -> None:
        """The supervisor ends: so do keepers, and what nobody has inherited."""
        for resources in list(self._processes.values()):
            if resources.holder_pid:
                self._loop.remove_reader(resources.holder_pidfd)
                with contextlib.suppress(OSError):
                    signal.pidfd_send_signal(resources.holder_pidfd, signal.SIGKILL)
                self._on_holder_exit(resources)
            self._close_resources(resources)
        self._processes.clear()
        for _, _, offer in self._stranded:
            offer.close()
        os.close(self._memfd)
