"""Detects failed instances: collects observations for `weldroute.failure_detector` and carries out its decisions.

Imported only if the fleet's file has the table `[vigil]`. Nothing here sends a process a request or waits for one.
"""

from __future__ import annotations

import asyncio
import logging
import select
import socket
from collections.abc import Collection, Iterable
from typing import Any, Protocol

from cometusher.fleet.heartbeat import BOARD_FD, HeartbeatBoard
from cometusher.fleet.identity import RUNNABLE, read_schedstat, read_stat
from cometusher.fleet.observations import ObservationRecorder, ObservationRound
from weldroute.failure_detector import (
    Decision,
    FailureDetector,
    FailureDetectorPolicy,
    Lifecycle,
    Observation,
    Response,
)
from weldroute.fleet import Phase
from weldroute.outlier_detection import Key, OutlierPolicy, TrafficCounters

log = logging.getLogger("cometusher.fleet.watch")  # operators' tools know the log records by this name

OBSERVATION_INTERVAL = 0.05  # seconds
MAX_ACCEPTS_PER_WAKEUP = 64  # connections of one listener
STOPPED_STATES = "Tt"  # process states of proc(5): stopped by a signal, or by a tracer
PHASE_LIFECYCLES = {
    Phase.STARTING: Lifecycle.STARTING,
    Phase.READY: Lifecycle.SERVING,
    Phase.EXITING: Lifecycle.LEAVING,
}


class ObservedProcess(Protocol):
    """A process that the watchdog observes."""

    name: str
    generation: int
    pid: int
    board_row: int


class WatchdogHost(Protocol):
    """What the watchdog needs of the supervisor."""

    def processes_with_heartbeat(self) -> Iterable[tuple[ObservedProcess, Phase]]:
        """The processes that have a row on the heartbeat board, and their phases."""

    def wanted_count(self) -> int:
        """How many instances should run."""

    def listener(self, name: str) -> socket.socket | None:
        """The listener of an instance, if it is open."""

    def distribute(self, key: Key, connections: list[socket.socket], to_itself: bool = False) -> None:
        """Send accepted connections, which it owns from then on, to others of a process's tier or to the process."""

    def tier_of(self, name: str) -> int:
        """The tier of an instance."""

    def replace(self, key: Key, reason: str) -> None:
        """Have a process killed and replaced."""


class Watchdog:
    """Observes the processes of one fleet, diverts their connections, and has failed ones replaced."""

    def __init__(
        self,
        policy: FailureDetectorPolicy,
        outlier_policy: OutlierPolicy,
        loop: asyncio.AbstractEventLoop,
        host: WatchdogHost,
        can_divert: bool,
    ) -> None:
        self.detector = FailureDetector(policy, outlier_policy)
        self.board = HeartbeatBoard()
        self._loop = loop
        self._host = host
        self._can_divert = can_divert
        self._waiting_since: dict[str, float] = {}  # by instance: when a connection began to wait
        self._diverted: dict[Key, int] = {}  # listeners (descriptors) on which the watchdog accepts
        self._unresponsive: set[Key] = set()  # diverted because they do not accept
        self._ejected: dict[Key, tuple[int, float]] = {}  # diverted as outliers: board row, share credit
        self._ended = False
        self.accepted_for_others = 0  # connections accepted in place of their process
        self.recorder: ObservationRecorder | None = None

    def start(self) -> None:
        """Begin the periodic observations."""
        self._observe()

    def heartbeat_values(self, row: int) -> dict[str, Any]:
        """The part of a process's configuration file that controls its heartbeat."""
        return {"vigil": {"row": row, "beat": self.detector.policy.beat}}

    def child_descriptors(self) -> dict[int, int]:
        """The descriptors that a process needs, by the numbers that they get in it."""
        return {BOARD_FD: self.board.descriptor}

    def on_reaped(self, key: Key, row: int) -> None:
        """A process has been reaped."""
        self._unresponsive.discard(key)
        self._ejected.pop(key, None)
        self._stop_diverting(key)
        self.detector.on_exit(key)
        self.board.release_row(row)

    def close(self) -> None:
        """Stop observing and return all listeners; the supervisor is shutting down."""
        self._ended = True
        if self.recorder is not None:
            self.recorder.flush()
        self._stop_diverting_all(list(self._diverted))
        self.board.close()

    # ---- observing -----------------------------------------------------------------------

    def _observe(self) -> None:
        if self._ended:
            return
        now = self._loop.time()  # the monotonic clock of the machine, which heartbeats use too
        processes = [
            (process, PHASE_LIFECYCLES[phase])
            for process, phase in self._host.processes_with_heartbeat()
            if phase in PHASE_LIFECYCLES
        ]
        accept_waits = self._accept_waits(now, {process.name for process, _ in processes})
        observations, counters, rows = {}, {}, {}
        for process, lifecycle in processes:
            key = process.name, process.generation
            rows[key] = process.board_row
            process_counters = self.board.traffic_counters(process.board_row, self._host.tier_of(process.name))
            if lifecycle is Lifecycle.SERVING:
                counters[key] = process_counters
            observations[key] = self._observation(
                process, lifecycle, accept_waits.get(process.name, 0.0), process_counters
            )
        if self.recorder is not None:
            self.recorder.record(ObservationRound(now, OBSERVATION_INTERVAL, self._host.wanted_count(), observations))
        for decision in self.detector.tick(
            now, observations, self._host.wanted_count(), OBSERVATION_INTERVAL, counters
        ):
            self._execute(decision, rows[decision.key])
        self._loop.call_later(OBSERVATION_INTERVAL, self._observe)

    def _observation(
        self, process: ObservedProcess, lifecycle: Lifecycle, accept_wait: float, counters: TrafficCounters
    ) -> Observation:
        stat = read_stat(process.pid)
        cpu_time, run_queue_wait = read_schedstat(process.pid)
        stopped = stat is not None and stat.state in STOPPED_STATES
        progress = counters.total_answered + sum(counters.unanswered)
        # A process that was told to exit accepts no more: connections that wait are for its successor.
        accept_wait = 0.0 if lifecycle is Lifecycle.LEAVING else accept_wait
        runnable = stat is not None and stat.state == RUNNABLE
        return Observation(
            self.board.last_turn(process.board_row),
            stopped,
            cpu_time,
            run_queue_wait,
            accept_wait,
            progress,
            runnable,
            lifecycle,
        )

    def _accept_waits(self, now: float, names: Collection[str]) -> dict[str, float]:
        """Return for how many seconds each listener has had a waiting connection at every observation."""
        poller, names_by_fd = select.poll(), {}
        for name in names:
            listener = self._host.listener(name)
            if listener is not None and listener.fileno() >= 0:
                poller.register(listener, select.POLLIN)
                names_by_fd[listener.fileno()] = name
        waiting = {names_by_fd[descriptor] for descriptor, _ in poller.poll(0)}
        self._waiting_since = {name: self._waiting_since.get(name, now) for name in waiting}
        return {name: now - since for name, since in self._waiting_since.items()}

    # ---- acting --------------------------------------------------------------------------

    def _execute(self, decision: Decision, row: int) -> None:
        label = f"{decision.key[0]} (generation {decision.key[1]})"
        log.warning(
            "%s: %s: %s",
            label,
            decision.response.value,
            decision.reason,
            extra={"event": "vigil", "instance": decision.key[0]},
        )
        if decision.response is Response.DIVERT_ACCEPTS:
            self._unresponsive.add(decision.key)
            self._divert(decision.key)
        elif decision.response is Response.RESUME_ACCEPTS:
            self._unresponsive.discard(decision.key)
            self._stop_diverting(decision.key)
        elif decision.response is Response.EJECT:
            if self._can_divert:
                self._ejected[decision.key] = row, 0.0
                self.board.set_ejected(row, True)
                self._divert(decision.key)
        elif decision.response is Response.READMIT:
            if self._ejected.pop(decision.key, None) is not None:
                self.board.set_ejected(row, False)
                self._stop_diverting(decision.key)
        else:
            self._host.replace(decision.key, decision.reason)

    def _divert(self, key: Key) -> None:
        """Accept at a process's listener in its place; the process may wake up and accept as well."""
        listener = self._host.listener(key[0])
        if not self._can_divert or key in self._diverted or listener is None or listener.fileno() < 0:
            return
        listener.setblocking(False)
        self._diverted[key] = listener.fileno()
        self._loop.add_reader(listener.fileno(), self._accept_for, key, listener)

    def _accept_for(self, key: Key, listener: socket.socket) -> None:
        connections = []
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            try:
                connections.append(listener.accept()[0])
            except OSError:
                break  # none waits any more, or no descriptor is free; the next observation shows which
        own = self._take_own_share(key, connections)
        self.accepted_for_others += len(connections)
        if connections:
            self._host.distribute(key, connections)
        if own:
            self._host.distribute(key, own, to_itself=True)

    def _take_own_share(self, key: Key, connections: list[socket.socket]) -> list[socket.socket]:
        """Remove and return the share that an outlier still gets itself, so that a recovery can be noticed."""
        own: list[socket.socket] = []
        if key in self._unresponsive or key not in self._ejected:
            return own
        row, credit = self._ejected[key]
        for _ in range(len(connections)):
            credit += self.detector.outlier_detector.traffic_share(key)
            if credit >= 1.0:
                credit -= 1.0
                own.append(connections.pop())
        self._ejected[key] = row, credit
        return own

    def _stop_diverting(self, key: Key) -> None:
        if key in self._unresponsive or key in self._ejected:
            return  # there is another reason to divert
        descriptor = self._diverted.pop(key, None)
        if descriptor is None:
            return
        self._loop.remove_reader(descriptor)
        for other in [diverted_key for diverted_key, number in self._diverted.items() if number == descriptor]:
            # Another process of the same instance, during a replacement, shares the listener.
            del self._diverted[other]
            self._divert(other)

    def on_listeners_closing(self, names: Collection[str]) -> None:
        """The supervisor is about to close the listeners of these instances."""
        self._stop_diverting_all([key for key in self._diverted if key[0] in names])

    def _stop_diverting_all(self, keys: Collection[Key]) -> None:
        for key in keys:
            self._unresponsive.discard(key)
            ejected = self._ejected.pop(key, None)
            if ejected is not None:
                self.board.set_ejected(ejected[0], False)
            self._stop_diverting(key)

    def view(self) -> dict[str, Any]:
        """Counters for operators."""
        return self.detector.counts | {
            "accepted_for_others": self.accepted_for_others,
            "relieved": len(self._diverted),
            "aside": len(self._ejected),
        }
