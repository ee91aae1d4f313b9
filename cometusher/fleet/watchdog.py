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

from cometusher.fleet.heartbeat import BOARD, Board
from cometusher.fleet.identity import RUNNABLE, read_schedule, read_stat
from cometusher.fleet.observations import Look, Recorder
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

EVERY = 0.05  # seconds between looks
ACCEPTS = 64  # connections that are accepted for another at one wake-up
STOPPED = "Tt"  # states of proc(5)
LIVES = {Phase.STARTING: Lifecycle.STARTING, Phase.READY: Lifecycle.SERVING, Phase.EXITING: Lifecycle.LEAVING}


class One(Protocol):
    """A process as it is watched."""

    name: str
    generation: int
    pid: int
    row: int


class Hands(Protocol):
    """What the supervisor does for the watch."""

    def watched(self) -> Iterable[tuple[One, Phase]]:
        """Processes that beat, or are about to, and how far they are."""

    def wanted(self) -> int:
        """How many instances the fleet should have."""

    def listener(self, name: str) -> socket.socket | None:
        """What its callers connect to."""

    def pass_on(self, key: Key, connections: list[socket.socket], itself: bool = False) -> None:
        """Give connections that were accepted for a process to others of its tier, or to it; the callee's then."""

    def tier(self, name: str) -> int:
        """Of an instance."""

    def replace(self, key: Key, why: str) -> None:
        """Have a process killed and followed by another."""


class Watch:
    """One fleet's."""

    def __init__(
        self,
        policy: FailureDetectorPolicy,
        comparison: OutlierPolicy,
        loop: asyncio.AbstractEventLoop,
        hands: Hands,
        passes_on: bool,
    ) -> None:
        self.vigil = FailureDetector(policy, comparison)
        self.board = Board()
        self._loop = loop
        self._hands = hands
        self._passes_on = passes_on
        self._waits: dict[str, float] = {}  # since when something waits at a listener
        self._relieved: dict[Key, int] = {}  # descriptors of listeners that are accepted from here
        self._silent: set[Key] = set()  # for these, because they do not...
        self._aside: dict[Key, tuple[int, float]] = {}  # ...and these fare ill: row, and what they are due
        self._ended = False
        self.accepted = 0  # for others
        self.recorder: Recorder | None = None

    def start(self) -> None:
        """Look from here on."""
        self._look()

    def told(self, row: int) -> dict[str, Any]:
        """What a process is told of it, as a part of its file."""
        return {"vigil": {"row": row, "beat": self.vigil.policy.beat}}

    def pass_on(self) -> dict[int, int]:
        """The descriptors for a process, by the numbers that it has them at."""
        return {BOARD: self.board.descriptor}

    def reaped(self, key: Key, row: int) -> None:
        """A process is no more."""
        self._silent.discard(key)
        self._aside.pop(key, None)
        self._return(key)
        self.vigil.on_exit(key)
        self.board.give(row)

    def close(self) -> None:
        """The supervisor ends."""
        self._ended = True
        if self.recorder is not None:
            self.recorder.flush()
        self._let_all_go(list(self._relieved))
        self.board.close()

    # ---- looking -------------------------------------------------------------------------

    def _look(self) -> None:
        if self._ended:
            return
        now = self._loop.time()  # the machine's clock, as beats are
        ones = [(one, LIVES[phase]) for one, phase in self._hands.watched() if phase in LIVES]
        waits = self._waiting(now, {one.name for one, _ in ones})
        seen, accounts, rows = {}, {}, {}
        for one, life in ones:
            key = one.name, one.generation
            rows[key] = one.row
            account = self.board.account(one.row, self._hands.tier(one.name))
            if life is Lifecycle.SERVING:
                accounts[key] = account
            seen[key] = self._evidence(one, life, waits.get(one.name, 0.0), account)
        if self.recorder is not None:
            self.recorder.keep(Look(now, EVERY, self._hands.wanted(), seen))
        for act in self.vigil.tick(now, seen, self._hands.wanted(), EVERY, accounts):
            self._do(act, rows[act.key])
        self._loop.call_later(EVERY, self._look)

    def _evidence(self, one: One, life: Lifecycle, waits: float, account: TrafficCounters) -> Observation:
        stat = read_stat(one.pid)
        ran, starved = read_schedule(one.pid)
        stopped = stat is not None and stat.state in STOPPED
        progress = account.total_answered + sum(account.unanswered)
        # Who was told to end has left what waits there to others.
        waits = 0.0 if life is Lifecycle.LEAVING else waits
        runnable = stat is not None and stat.state == RUNNABLE
        return Observation(self.board.turned(one.row), stopped, ran, starved, waits, progress, runnable, life)

    def _waiting(self, now: float, names: Collection[str]) -> dict[str, float]:
        """For how long connections wait at listeners: as long as there is one at each look."""
        poller, found = select.poll(), {}
        for name in names:
            listener = self._hands.listener(name)
            if listener is not None and listener.fileno() >= 0:
                poller.register(listener, select.POLLIN)
                found[listener.fileno()] = name
        busy = {found[descriptor] for descriptor, _ in poller.poll(0)}
        self._waits = {name: self._waits.get(name, now) for name in busy}
        return {name: now - since for name, since in self._waits.items()}

    # ---- acting --------------------------------------------------------------------------

    def _do(self, act: Decision, row: int) -> None:
        name = f"{act.key[0]} (generation {act.key[1]})"
        log.warning(
            "%s: %s: %s", name, act.response.value, act.reason, extra={"event": "vigil", "instance": act.key[0]}
        )
        if act.response is Response.DIVERT_ACCEPTS:
            self._silent.add(act.key)
            self._relieve(act.key)
        elif act.response is Response.RESUME_ACCEPTS:
            self._silent.discard(act.key)
            self._return(act.key)
        elif act.response is Response.EJECT:
            if self._passes_on:
                self._aside[act.key] = row, 0.0
                self.board.set_aside(row, True)
                self._relieve(act.key)
        elif act.response is Response.READMIT:
            if self._aside.pop(act.key, None) is not None:
                self.board.set_aside(row, False)
                self._return(act.key)
        else:
            self._hands.replace(act.key, act.reason)

    def _relieve(self, key: Key) -> None:
        """Accept what waits at its listener, as long as it does not; it may wake up and accept beside that."""
        listener = self._hands.listener(key[0])
        if not self._passes_on or key in self._relieved or listener is None or listener.fileno() < 0:
            return
        listener.setblocking(False)
        self._relieved[key] = listener.fileno()
        self._loop.add_reader(listener.fileno(), self._accept, key, listener)

    def _accept(self, key: Key, listener: socket.socket) -> None:
        connections = []
        for _ in range(ACCEPTS):
            try:
                connections.append(listener.accept()[0])
            except OSError:
                break  # none waits any more, or no descriptor: the next look shows
        own = self._own(key, connections)
        self.accepted += len(connections)
        if connections:
            self._hands.pass_on(key, connections)
        if own:
            self._hands.pass_on(key, own, itself=True)

    def _own(self, key: Key, connections: list[socket.socket]) -> list[socket.socket]:
        """Take out what a process gets that lives and fares ill: so that it can show that it fares better."""
        own: list[socket.socket] = []
        if key in self._silent or key not in self._aside:
            return own
        row, due = self._aside[key]
        for _ in range(len(connections)):
            due += self.vigil.outlier_detector.traffic_share(key)
            if due >= 1.0:
                due -= 1.0
                own.append(connections.pop())
        self._aside[key] = row, due
        return own

    def _return(self, key: Key) -> None:
        if key in self._silent or key in self._aside:
            return  # there is still a reason
        descriptor = self._relieved.pop(key, None)
        if descriptor is None:
            return
        self._loop.remove_reader(descriptor)
        for other in [one for one, number in self._relieved.items() if number == descriptor]:
            # Another process of the same name, while one follows the other.
            del self._relieved[other]
            self._relieve(other)

    def released(self, names: Collection[str]) -> None:
        """The listeners of these instances are about to be closed."""
        self._let_all_go([key for key in self._relieved if key[0] in names])

    def _let_all_go(self, keys: Collection[Key]) -> None:
        for key in keys:
            self._silent.discard(key)
            aside = self._aside.pop(key, None)
            if aside is not None:
                self.board.set_aside(aside[0], False)
            self._return(key)

    def view(self) -> dict[str, Any]:
        """What operators want to know."""
        return self.vigil.counts | {
            "accepted_for_others": self.accepted,
            "relieved": len(self._relieved),
            "aside": len(self._aside),
        }
