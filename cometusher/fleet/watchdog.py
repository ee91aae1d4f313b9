"""The supervisor's watch over its processes: evidence in, what `weldroute.failure_detector` says out.

Imported only where the fleet's file has the table `[vigil]`. Nothing here asks a process anything, or waits for one.
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

log = logging.getLogger("cometusher.fleet.watch")  # the `subsystem` of its log records

OBSERVATION_INTERVAL = 0.05  # seconds between looks
MAX_ACCEPTS_PER_WAKEUP = 64  # connections that are accepted for another at one wake-up
STOPPED_STATES = "Tt"  # states of proc(5)
PHASE_LIFECYCLES = {
    Phase.STARTING: Lifecycle.STARTING,
    Phase.READY: Lifecycle.SERVING,
    Phase.EXITING: Lifecycle.LEAVING,
}


class ObservedProcess(Protocol):
    """A process as it is watched."""

    name: str
    generation: int
    pid: int
    board_row: int


class WatchdogHost(Protocol):
    """What the supervisor does for the watch."""

    def processes_with_heartbeat(self) -> Iterable[tuple[ObservedProcess, Phase]]:
        """Processes that beat, or are about to, and how far they are."""

    def wanted_count(self) -> int:
        """How many instances the fleet should have."""

    def listener(self, name: str) -> socket.socket | None:
        """What its callers connect to."""

    def distribute(self, key: Key, connections: list[socket.socket], itself: bool = False) -> None:
        """Give connections that were accepted for a process to others of its tier, or to it; the callee's then."""

    def tier_of(self, name: str) -> int:
        """Of an instance."""

    def replace(self, key: Key, why: str) -> None:
        """Have a process killed and followed by another."""


class Watchdog:
    """One fleet's."""

    def __init__(
        self,
        policy: FailureDetectorPolicy,
        comparison: OutlierPolicy,
        loop: asyncio.AbstractEventLoop,
        hands: WatchdogHost,
        passes_on: bool,
    ) -> None:
        self.detector = FailureDetector(policy, comparison)
        self.board = HeartbeatBoard()
        self._loop = loop
        self._host = hands
        self._can_divert = passes_on
        self._waiting_since: dict[str, float] = {}  # since when something waits at a listener
        self._diverted: dict[Key, int] = {}  # descriptors of listeners that are accepted from here
        self._unresponsive: set[Key] = set()  # for these, because they do not...
        self._ejected: dict[Key, tuple[int, float]] = {}  # ...and these fare ill: row, and what they are due
        self._ended = False
        self.accepted_for_others = 0  # for others
        self.recorder: ObservationRecorder | None = None

    def start(self) -> None:
        """Look from here on."""
        self._observe()

    def heartbeat_values(self, row: int) -> dict[str, Any]:
        """What a process is told of it, as a part of its file."""
        return {"vigil": {"row": row, "beat": self.detector.policy.beat}}

    def child_descriptors(self) -> dict[int, int]:
        """The descriptors for a process, by the numbers that it has them at."""
        return {BOARD_FD: self.board.descriptor}

    def on_reaped(self, key: Key, row: int) -> None:
        """A process is no more."""
        self._unresponsive.discard(key)
        self._ejected.pop(key, None)
        self._stop_diverting(key)
        self.detector.on_exit(key)
        self.board.release(row)

    def close(self) -> None:
        """The supervisor ends."""
        self._ended = True
        if self.recorder is not None:
            self.recorder.flush()
        self._stop_diverting_all(list(self._diverted))
        self.board.close()

    # ---- looking -------------------------------------------------------------------------

    def _observe(self) -> None:
        if self._ended:
            return
        now = self._loop.time()  # the machine's clock, as beats are
        ones = [
            (one, PHASE_LIFECYCLES[phase])
            for one, phase in self._host.processes_with_heartbeat()
            if phase in PHASE_LIFECYCLES
        ]
        waits = self._accept_waits(now, {one.name for one, _ in ones})
        seen, accounts, rows = {}, {}, {}
        for one, life in ones:
            key = one.name, one.generation
            rows[key] = one.board_row
            account = self.board.traffic_counters(one.board_row, self._host.tier_of(one.name))
            if life is Lifecycle.SERVING:
                accounts[key] = account
            seen[key] = self._observation(one, life, waits.get(one.name, 0.0), account)
        if self.recorder is not None:
            self.recorder.record(ObservationRound(now, OBSERVATION_INTERVAL, self._host.wanted_count(), seen))
        for act in self.detector.tick(now, seen, self._host.wanted_count(), OBSERVATION_INTERVAL, accounts):
            self._execute(act, rows[act.key])
        self._loop.call_later(OBSERVATION_INTERVAL, self._observe)

    def _observation(
        self, one: ObservedProcess, life: Lifecycle, waits: float, account: TrafficCounters
    ) -> Observation:
        stat = read_stat(one.pid)
        ran, starved = read_schedstat(one.pid)
        stopped = stat is not None and stat.state in STOPPED_STATES
        progress = account.total_answered + sum(account.unanswered)
        # Who was told to end has left what waits there to others.
        waits = 0.0 if life is Lifecycle.LEAVING else waits
        runnable = stat is not None and stat.state == RUNNABLE
        return Observation(
            self.board.last_turn(one.board_row), stopped, ran, starved, waits, progress, runnable, life
        )

    def _accept_waits(self, now: float, names: Collection[str]) -> dict[str, float]:
        """For how long connections wait at listeners: as long as there is one at each look."""
        poller, found = select.poll(), {}
        for name in names:
            listener = self._host.listener(name)
            if listener is not None and listener.fileno() >= 0:
                poller.register(listener, select.POLLIN)
                found[listener.fileno()] = name
        busy = {found[descriptor] for descriptor, _ in poller.poll(0)}
        self._waiting_since = {name: self._waiting_since.get(name, now) for name in busy}
        return {name: now - since for name, since in self._waiting_since.items()}

    # ---- acting --------------------------------------------------------------------------

    def _execute(self, act: Decision, row: int) -> None:
        name = f"{act.key[0]} (generation {act.key[1]})"
        log.warning(
            "%s: %s: %s", name, act.response.value, act.reason, extra={"event": "vigil", "instance": act.key[0]}
        )
        if act.response is Response.DIVERT_ACCEPTS:
            self._unresponsive.add(act.key)
            self._divert(act.key)
        elif act.response is Response.RESUME_ACCEPTS:
            self._unresponsive.discard(act.key)
            self._stop_diverting(act.key)
        elif act.response is Response.EJECT:
            if self._can_divert:
                self._ejected[act.key] = row, 0.0
                self.board.set_ejected(row, True)
                self._divert(act.key)
        elif act.response is Response.READMIT:
            if self._ejected.pop(act.key, None) is not None:
                self.board.set_ejected(row, False)
                self._stop_diverting(act.key)
        else:
            self._host.replace(act.key, act.reason)

    def _divert(self, key: Key) -> None:
        """Accept what waits at its listener, as long as it does not; it may wake up and accept beside that."""
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
                break  # none waits any more, or no descriptor: the next look shows
        own = self._take_own_share(key, connections)
        self.accepted_for_others += len(connections)
        if connections:
            self._host.distribute(key, connections)
        if own:
            self._host.distribute(key, own, itself=True)

    def _take_own_share(self, key: Key, connections: list[socket.socket]) -> list[socket.socket]:
        """Take out what a process gets that lives and fares ill: so that it can show that it fares better."""
        own: list[socket.socket] = []
        if key in self._unresponsive or key not in self._ejected:
            return own
        row, due = self._ejected[key]
        for _ in range(len(connections)):
            due += self.detector.outlier_detector.traffic_share(key)
            if due >= 1.0:
                due -= 1.0
                own.append(connections.pop())
        self._ejected[key] = row, due
        return own

    def _stop_diverting(self, key: Key) -> None:
        if key in self._unresponsive or key in self._ejected:
            return  # there is still a reason
        descriptor = self._diverted.pop(key, None)
        if descriptor is None:
            return
        self._loop.remove_reader(descriptor)
        for other in [one for one, number in self._diverted.items() if number == descriptor]:
            # Another process of the same name, while one follows the other.
            del self._diverted[other]
            self._divert(other)

    def on_listeners_closing(self, names: Collection[str]) -> None:
        """The listeners of these instances are about to be closed."""
        self._stop_diverting_all([key for key in self._diverted if key[0] in names])

    def _stop_diverting_all(self, keys: Collection[Key]) -> None:
        for key in keys:
            self._unresponsive.discard(key)
            aside = self._ejected.pop(key, None)
            if aside is not None:
                self.board.set_ejected(aside[0], False)
            self._stop_diverting(key)

    def view(self) -> dict[str, Any]:
        """What operators want to know."""
        return self.detector.counts | {
            "accepted_for_others": self.accepted_for_others,
            "relieved": len(self._diverted),
            "aside": len(self._ejected),
        }
