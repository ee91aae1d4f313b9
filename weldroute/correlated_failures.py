"""Detects that many exits at once are one correlated failure, paces the restarts and times the recovery. Sans I/O.

An exit is *external* when the process was killed (SIGKILL, SIGTERM), but not for its memory: by a person, a script or
the machine. Any other exit (an exit code, a crash, out of memory) is *internal*: a bad file, a poisoned request, a
leak. `k` of `n` instances with external exits within `within` seconds are a correlated failure when `k` is at least
`least` and at least `share` of `n`.

Consequences of a correlated failure, instead of those of `k` single failures:

| single exit                      | exit that is part of a correlated failure                             |
| -------------------------------- | --------------------------------------------------------------------- |
| counts for the restart budget    | does not, for the first `forgiven` failures within the budget window  |
| restarts after a growing backoff | restarts are staggered, rear tiers first, at `pace` starts per second |
| increases the next backoff       | does not                                                              |

Internal exits are never forgiven, however many there are: if a poisoned request or a bad file ends one instance after
the other, their backoffs and budgets limit that as usual, and their exit events show the internal cause.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from weldroute.recovery import StartScheduler

EXTERNAL_SIGNALS = frozenset({9, 15})  # SIGKILL, SIGTERM
REORDER_TOLERANCE = 0.25  # seconds by which the exits of one failure may be noticed out of order
MAX_STORED_FAILURES = 8
RECOVERY_PHASES = ("up", "known", "first", "half", "full")
MAX_RECOVERY_TIME = 300.0  # seconds after which a recovery is no longer tracked


@dataclass(frozen=True, slots=True)
class CorrelationPolicy:
    """When exits are a correlated failure and how its instances are restarted; times in seconds."""

    share: float = 0.25  # minimum fraction of the instances
    least: int = 3  # minimum number of instances
    within: float = 2.0
    pace: float = 40.0  # starts per second
    forgiven: int = 5  # correlated failures within the window of the restart budget that it doesn't count

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        if not 0.0 < self.share <= 1.0:
            raise ValueError(f"share: {self.share!r} is not a number above 0 and up to 1")
        for name, minimum in (("least", 2), ("forgiven", 0)):
            if getattr(self, name) < minimum:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number of {minimum} or more")
        for name in ("within", "pace"):
            if not (math.isfinite(getattr(self, name)) and getattr(self, name) > 0.0):
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number above 0")


@dataclass(slots=True)
class CorrelatedFailure:
    """One correlated failure and the progress of its recovery; times in seconds after the failure."""

    event_id: int
    occurred_at: float
    fleet_size: int  # instances
    cause: str
    names: dict[str, None] = field(default_factory=dict)  # instances, in the order of their exits
    phase_times: dict[str, float] = field(default_factory=dict)  # when the whole failure reached a phase
    instance_phases: dict[str, dict[str, float]] = field(default_factory=dict)  # by instance, when it reached a phase
    # By instance: connections it opened, requests it delayed, refused and dropped.
    instance_costs: dict[str, dict[str, int]] = field(default_factory=dict)

    @property
    def is_over(self) -> bool:
        """Whether all instances are in full service."""
        return "full" in self.phase_times

    def record_phase(self, now: float, name: str, phase: str) -> str | None:
        """An instance reached a phase; returns the phase that the whole failure reached by it, if any."""
        phases = self.instance_phases.setdefault(name, {})
        if name not in self.names or phase in phases:
            return None
        phases[phase] = now - self.occurred_at
        return self._update_phases(now)

    def _update_phases(self, now: float) -> str | None:
        counts = {
            phase: sum(phase in self.instance_phases.get(name, ()) for name in self.names)
            for phase in RECOVERY_PHASES
        }
        total = len(self.names)
        is_complete = {
            "up": counts["up"] == total,
            "known": counts["known"] == total,
            "first": counts["first"] >= 1,
            "half": 2 * counts["full"] >= total,
            "full": counts["full"] == total,
        }
        newly_reached = [phase for phase in RECOVERY_PHASES if is_complete[phase] and phase not in self.phase_times]
        for phase in newly_reached:
            self.phase_times[phase] = now - self.occurred_at
        return newly_reached[-1] if newly_reached else None

    def on_instance_lost(self, name: str) -> None:
        """An instance has exited again and has to reach all phases again."""
        self.instance_phases.pop(name, None)
        self.phase_times.pop("full", None)

    def view(self, now: float) -> dict[str, Any]:
        """The failure as plain values; times in seconds."""
        costs = {
            key: sum(cost.get(key, 0) for cost in self.instance_costs.values())
            for key in ("connects", "held", "refused", "dropped")
        }
        return {
            "event": self.event_id,
            "ago": round(now - self.occurred_at, 3),
            "ended": len(self.names),
            "of": self.fleet_size,
            "cause": self.cause,
            "over": self.is_over,
            **{
                phase: round(self.phase_times[phase], 3) if phase in self.phase_times else None
                for phase in RECOVERY_PHASES
            },
            **costs,
        }


class FailureCorrelator:
    """Tells correlated failures from single exits, for one fleet."""

    def __init__(self, policy: CorrelationPolicy, rng: Random) -> None:
        policy.check()
        self.policy = policy
        self._rng = rng
        # Time, instance, and whether the exit may still belong to the latest failure.
        self._external_exits: deque[tuple[float, str, bool]] = deque()
        self.failures: deque[CorrelatedFailure] = deque(maxlen=MAX_STORED_FAILURES)
        self._count = 0

    def on_exit(
        self, now: float, name: str, fleet_size: int, signal: int | None, out_of_memory: bool
    ) -> CorrelatedFailure | None:
        """A process exited that was not told to; returns the correlated failure that the exit is part of, if any."""
        if signal not in EXTERNAL_SIGNALS or out_of_memory:
            return None
        current = self.latest
        ended_again = current is not None and name in current.names
        if current is not None and ended_again and not current.is_over:
            current.on_instance_lost(name)
        late = current is not None and not ended_again and now - current.occurred_at <= self.policy.within
        self._external_exits.append((now, name, late))
        while self._external_exits[0][0] < now - self.policy.within:
            self._external_exits.popleft()
        # A late exit belongs to the latest failure, unless an instance of that failure has exited again since:
        # then the late exit counts towards a new failure.
        since = (
            min((ended_at for ended_at, _, is_late in self._external_exits if not is_late), default=math.inf)
            - REORDER_TOLERANCE
        )
        ended_names = {ended_name: None for ended_at, ended_name, _ in self._external_exits if ended_at >= since}
        if len(ended_names) >= max(self.policy.least, math.ceil(self.policy.share * fleet_size)):
            self._external_exits.clear()  # another failure needs as many exits again
            return self._record(now, ended_names, fleet_size, "from outside")
        if late and current is not None:
            current.names[name] = None
            return current
        return None

    @property
    def latest(self) -> CorrelatedFailure | None:
        """The latest correlated failure, if any."""
        return self.failures[-1] if self.failures else None

    def on_unclean_start(self, now: float, names: list[str], fleet_size: int, cause: str) -> CorrelatedFailure:
        """The supervisor starts after an unclean end: all instances recover at once."""
        return self._record(now, dict.fromkeys(names), fleet_size, cause)

    def _record(self, now: float, names: dict[str, None], fleet_size: int, cause: str) -> CorrelatedFailure:
        self._count += 1
        failure = CorrelatedFailure(self._count, now, fleet_size, cause, dict(names))
        self.failures.append(failure)
        return failure

    def is_forgiven(self, now: float, window: float) -> bool:
        """Whether the latest failure is one of the `forgiven` ones that restart budgets don't count."""
        return sum(failure.occurred_at > now - window for failure in self.failures) <= self.policy.forgiven

    def schedule_starts(self, failure: CorrelatedFailure, instances: list[tuple[str, int]]) -> dict[str, float]:
        """When to start each of the instances (name, tier) that a failure ended and that are still down."""
        already_started = len(failure.names) - len(instances)
        return StartScheduler(self.policy.pace, self._rng).schedule(failure.occurred_at, instances, already_started)

    def recovering_count(self, now: float, name: str) -> int:
        """Number of instances that recover together with this one, itself included."""
        failure = self.latest
        is_affected = (
            failure is not None
            and not failure.is_over
            and now - failure.occurred_at < MAX_RECOVERY_TIME
            and name in failure.names
        )
        return len(failure.names) if failure is not None and is_affected else 1

    def on_phase(self, now: float, name: str, phase: str) -> tuple[CorrelatedFailure, str] | None:
        """An instance reached a phase; returns the failure that reached a phase by it, and that phase."""
        failure = self.latest
        if failure is None or now - failure.occurred_at > MAX_RECOVERY_TIME:
            return None
        reached_phase = failure.record_phase(now, name, phase)
        return (failure, reached_phase) if reached_phase is not None else None

    def on_costs(self, name: str, figures: dict[str, int]) -> None:
        """Record the counters of an instance's recovery: what it has cost others since its start."""
        failure = self.latest
        if failure is not None and name in failure.names:
            failure.instance_costs[name] = figures
