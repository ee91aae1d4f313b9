"""Hands the in-flight requests and connections of processes that have died to other processes, their successors.

`weldroute.takeover.TakeoverPlanner` decides; this module owns the sockets and the shared memory with the journals.
A process's descriptor holder is asked for its descriptors only after the process has been reaped. Nothing here
blocks: a slow descriptor holder or successor delays no other process's requests.
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

log = logging.getLogger("cometusher.fleet.estate")  # operators' tools know the log records by this name

POLL_INTERVAL = 0.02  # seconds, while anything is being handed over
ADOPTION_GRACE = 1.0  # seconds after a request's deadline, or its owner's exit, in which a successor may adopt it
STRANDED_TIMEOUT = 3.0  # seconds that idle connections wait for a successor
MAX_STRANDED = 256  # offers of idle connections that wait at once
MOVE_RECORD_LIFETIME = 5.0  # seconds within which a successor records the connections moved to it
MAX_MOVES = 16  # successors that an idle connection is offered to
UNRECORDED = 1 << 30  # key in `pending`: the connections that the journal does not record
HOLDER_BATCH = 64  # requests in one message to a descriptor holder

SuccessorSource = Callable[[int], Iterable[tuple[int, int]]]  # by tier: processes and their in-flight requests


@dataclass(slots=True)
class ProcessResources:
    """The journal, sockets and descriptors that the supervisor holds for one process."""

    process: int
    name: str
    tier: int
    port: int  # that its callers connect to
    journal: OrphanedJournal
    journal_index: int  # in the journal pool
    pool_fd: int  # of the journal pool
    holder_socket: socket.socket
    offer_socket: socket.socket  # sends offers to the process
    offer_receiver: socket.socket  # the other end; the process has a duplicate
    child_holder_socket: socket.socket | None  # until the process has its own
    holder_pid: int = 0
    holder_pidfd: int = -1
    is_reaped: bool = False
    pending: set[int] = field(default_factory=set)  # asked of its holder: slots; below 0: batches of connections
    # With the slot of the connection's request, or -1 if there is none.
    connection_batches: dict[int, list[tuple[ConnectionRecord, int]]] = field(default_factory=dict)
    deadlines: dict[int, float] = field(default_factory=dict)  # by slot
    request_descriptors: dict[int, list[int | None]] = field(default_factory=dict)  # by slot: caller, then attempts
    caller_connection_ids: dict[int, int] = field(default_factory=dict)  # by slot
    # Caller connections of the requests that had been offered to it, and not adopted, when it died.
    offered_copies: set[int] = field(default_factory=set)
    # By connection id: until when the move is remembered, and the connection's state when it was moved.
    recently_moved: dict[int, tuple[float, ConnectionRecord]] = field(default_factory=dict)

    def child_descriptors(self) -> dict[int, int]:
        """The descriptors that the process needs, by the numbers that they get in it."""
        assert self.child_holder_socket is not None
        return {
            POOL_FD: self.pool_fd,
            HOLDER_FD: self.child_holder_socket.fileno(),
            CHANNEL_FD: self.offer_receiver.fileno(),
        }

    def close_child_end(self) -> None:
        """The process has its descriptors (or never will): close the end that only it needs."""
        if self.child_holder_socket is not None:
            self.child_holder_socket.close()
            self.child_holder_socket = None


class OrphanedRequests:
    """Takes over the requests and connections of all dead processes of one fleet."""

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
        self._free_journals = deque(range(self._pool.books))  # indexes
        # Until when each journal is kept, because its stored answers may still be requested.
        self._retained_journals: deque[tuple[float, int]] = deque()
        self._process_count = 0
        self._ticking = False
        self._stranded: list[tuple[float, int, Offer]] = []  # until when they wait, tier
        self._unreceived_since: dict[int, float] = {}  # successors: since when idle connections wait
        self.counts = {"left": 0, "adopted": 0, "lost": 0, "taken_back": 0, "declined": 0, "moved": 0, "closed": 0}

    # ---- processes -----------------------------------------------------------------------

    def open_resources(self, name: str, tier: int, port: int) -> ProcessResources:
        """Prepare the journal and sockets of a process that is about to start; raises OSError."""
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
        """Return the index of a zeroed journal; raises OSError if there is none."""
        now = self._loop.time()
        while self._retained_journals and (self._retained_journals[0][0] <= now or not self._free_journals):
            self._free_journals.append(self._retained_journals.popleft()[1])
        if not self._free_journals:
            raise OSError("no request journal is free")
        journal_index = self._free_journals.popleft()
        self._memory.madvise(mmap.MADV_REMOVE, self._pool.journal_offset(journal_index), self._pool.journal_stride)
        return journal_index

    def takeover_values(self, resources: ProcessResources) -> dict[str, Any]:
        """The part of the process's configuration file that assigns its journal."""
        return {
            "takeover": assignment_values(JournalAssignment(resources.process, resources.journal_index, self._pool))
        }

    def on_started(self, resources: ProcessResources) -> None:
        """The process has started."""
        resources.close_child_end()
        self._loop.add_reader(resources.holder_socket.fileno(), self._on_holder_readable, resources)

    def on_reaped(self, resources: ProcessResources) -> None:
        """The process has been reaped; only now may successors act on its requests."""
        if resources.is_reaped:
            return
        resources.is_reaped = True
        resources.close_child_end()
        assigned = {request for request, claim in self._planner.assigned() if claim.successor == resources.process}
        self._collect_adopted()
        # Recorded by it at most, but not adopted; the previous owner's journal has them.
        unproven = assigned & set(self._planner.claims)
        resources.offered_copies = {
            self._processes[process].caller_connection_ids[slot] for process, slot in unproven
        }
        self._planner.on_reaped(resources.process)
        self._request_descriptors(resources, unproven)
        self._receive_back(resources)
        self._advance()

    def _request_descriptors(self, resources: ProcessResources, unproven: set[RequestRef]) -> None:
        """Ask the descriptor holder for the descriptors of all requests and connections in the journal."""
        descriptor_requests: list[tuple[int, list[int]]] = []
        connections: list[tuple[ConnectionRecord, int]] = []
        recorded = set()  # descriptors of callers that a record names
        for slot in resources.journal.slots():
            record = resources.journal.record_at(slot)
            if record is None:
                log.warning("%s: invalid record in its request journal", resources.name)
                continue
            if record.caller_descriptor < 0:
                continue  # an answer that is only stored
            recorded.add(record.caller_descriptor)
            if record.origin is not None and (record.origin.process, record.origin.slot) in unproven:
                continue
            resources.deadlines[slot] = max(record.deadline, self._loop.time()) + ADOPTION_GRACE
            resources.caller_connection_ids[slot] = record.caller_connection_id
            if record.stage is Stage.ANSWERED:
                # Its connection is most likely idle; the connection's byte counters show whether the answer was sent.
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
                "%s (process %d) left %d in-flight requests and %d idle connections",
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
            ports = sorted(self._ports[resources.tier])  # connections moved to it came in at other processes' ports
            resources.holder_socket.send(orjson.dumps({"ports": ports, "known": sorted(known_descriptors)}))
        except OSError as error:
            self._on_holder_lost(resources, f"its descriptor holder cannot be reached: {error.strerror}")

    # ---- descriptor holders --------------------------------------------------------------

    def _on_holder_readable(self, resources: ProcessResources) -> None:
        for _ in range(HOLDER_BATCH):
            if resources.holder_socket.fileno() < 0:
                return  # the previous message completed its task
            try:
                data, descriptors, _, _ = socket.recv_fds(resources.holder_socket, MAX_MESSAGE, MAX_DESCRIPTORS)
            except BlockingIOError:
                return
            except OSError:
                data, descriptors = b"", []
            if not data:
                self._on_holder_lost(resources, "its descriptor holder has exited")
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
        """The descriptor holder is gone; requests whose descriptors it has not sent are lost."""
        if resources.holder_socket.fileno() >= 0:
            self._loop.remove_reader(resources.holder_socket.fileno())
            resources.holder_socket.close()
        lost = [request_id for request_id in resources.pending if 0 <= request_id < UNRECORDED]
        resources.pending.clear()
        if not resources.is_reaped:
            log.warning("%s: %s: its in-flight requests would be lost if it exited", resources.name, reason)
        elif lost:
            self.counts["lost"] += len(lost)
            log.warning("%s: %s: %d in-flight requests are lost", resources.name, reason, len(lost))
        self._remove_finished()

    def _on_descriptors(
        self, resources: ProcessResources, request_id: int, present: list[bool], descriptors: list[int]
    ) -> None:
        """The holder has sent the descriptors of one request, or of a batch of idle connections."""
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
        """The holder has sent connections that the journal does not record; an empty list ends them.

        A connection that was moved to the process and not recorded yet is in the state that it was moved in. One that
        belongs to a request offered to the process is a duplicate of a descriptor held here, or held by the next
        successor by now. The others had been accepted by the process, but its code has read nothing from them.
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
        """Sort connections into idle ones, which move, and those whose answer was not sent, which are requests."""
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
        """Send idle connections to the available process with the fewest requests."""
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
        """Send on connections accepted for a process, of which nothing was read: to others, or to itself first."""
        connections = [(ConnectionRecord(0, connection_id_of(sock), 0, 0), sock.detach()) for sock in sockets]
        excluded, preferred = (0, resources.process) if to_itself else (resources.process, 0)
        for start in range(0, len(connections), BATCH_DESCRIPTORS):
            self._move_connections(resources, connections[start : start + BATCH_DESCRIPTORS], excluded, preferred)
        self._advance()

    def _send_connections(self, tier: int, offer: Offer, excluded: int = 0, preferred: int = 0) -> None:
        """Send idle connections to any successor but `excluded`, to `preferred` first.

        They wait while there is no successor, up to STRANDED_TIMEOUT, and are closed after MAX_MOVES attempts.
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
        """Successors by load; counts connections moved to them since their last report, or one would get them all."""
        now = self._loop.time()
        successors = [
            (process, count + sum(until > now for until, _ in self._processes[process].recently_moved.values()))
            for process, count in self._successors(tier)
        ]
        return self._planner.available(now, successors)

    def _retry_stranded(self) -> None:
        """Send idle connections for which there was no successor; most likely a process is about to be ready."""
        stranded, self._stranded = self._stranded, []
        for until, tier, offer in stranded:
            if self._loop.time() >= until:
                self.counts["closed"] += len(offer.descriptors)
                offer.close()
            elif self._available_successors(tier):
                self._send_connections(tier, offer)
            else:
                self._stranded.append((until, tier, offer))

    # ---- successors ----------------------------------------------------------------------

    def on_declined(self, resources: ProcessResources, values: dict[str, Any]) -> None:
        """A successor reports that it can't adopt a request."""
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
        if descriptors[0] is None:  # its caller has disconnected
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
        """Take back the offers that slow successors have not received, so that others may get them."""
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
        """Receive the offers that a successor has not received itself."""
        self._unreceived_since.pop(resources.process, None)
        with contextlib.suppress(OSError, EOFError):
            while (offer := receive(resources.offer_receiver)) is not None:
                request = (offer.process, offer.slot)
                if offer.slot < 0:
                    self._send_connections(resources.tier, offer, excluded=resources.process)
                    continue
                self.counts["taken_back"] += self._planner.on_withdrawn(request, resources.process, offer.term)
                offer.close()

    # ---- progress ------------------------------------------------------------------------

    def _advance(self) -> None:
        """Hand over what can be handed over, and poll as long as any offer is pending."""
        self._collect_adopted()
        self._withdraw_offers()
        for request in self._planner.expire(self._loop.time()):
            self.counts["lost"] += 1
            log.warning("%s: no successor for an in-flight request; it is lost", self._processes[request[0]].name)
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
        """Release the resources of dead processes whose requests are all settled."""
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

    def discard_resources(self, resources: ProcessResources) -> None:
        """Release the resources of a process that could not be started."""
        self._processes.pop(resources.process, None)
        self._close_resources(resources)

    def view(self) -> dict[str, int]:
        """Counters for operators."""
        return self.counts | {"waiting": len(self._planner.claims)}

    def close(self) -> None:
        """Kill all descriptor holders and close what no successor has adopted; the supervisor is shutting down."""
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
