"""Many ends at once are one event: the blow, its cause, the waves of starts, and how long the fleet took. Sans I/O.

An end is *from outside* when the process was killed (SIGKILL, SIGTERM) and not for its memory: a person, a script, a
machine. Any other (an exit code, a fault, memory) is *its own*: a bad file, a poisoned request, a leak. `k` of `n`
that end from outside within `within` seconds are a blow, when `k` is at least `least` and `share` of `n`.

What follows from a blow, in place of `k` single failures:

| of a single end              | of an end that is part of a blow                                          |
| ---------------------------- | ------------------------------------------------------------------------- |
| counts for the budget        | does not, for the first `forgiven` blows within the budget's window       |
| waits for a growing backoff  | is started in waves, tiers behind first, at `pace` starts a second        |
| lets the next wait grow      | does not                                                                  |

Ends of their own are never forgiven, however many there are: if a poisoned request or a bad file ends instances one
after the other, their backoffs and budgets hold that up as ever, and the event says that the cause is inside.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

from weldroute.recovery import StartScheduler

EXTERNAL_SIGNALS = frozenset({9, 15})  # SIGKILL, SIGTERM
REORDER_TOLERANCE = 0.25  # seconds by which the ends of one blow may be noticed in another order
MAX_STORED_FAILURES = 8  # blows that are remembered
RECOVERY_PHASES = ("up", "known", "first", "half", "full")
MAX_RECOVERY_TIME = 300.0  # seconds after which a blow is no longer waited for


@dataclass(frozen=True, slots=True)
class CorrelationPolicy:
    """What is a herd, and how it is brought back; times in seconds."""

    share: float = 0.25  # of the instances...
    least: int = 3  # ...and no fewer than so many
    within: float = 2.0
    pace: float = 40.0  # starts a second
    forgiven: int = 5  # blows within the window of the restart budget

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        if not 0.0 < self.share <= 1.0:
            raise ValueError(f"share: {self.share!r} is not a number above 0 and up to 1")
        for name, least in (("least", 2), ("forgiven", 0)):
            if getattr(self, name) < least:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number of {least} or more")
        for name in ("within", "pace"):
            if not (math.isfinite(getattr(self, name)) and getattr(self, name) > 0.0):
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number above 0")


@dataclass(slots=True)
class CorrelatedFailure:
    """One event that ended many, and what has come back since; times in seconds after it."""

    event_id: int
    occurred_at: float
    fleet_size: int  # instances of the fleet
    cause: str
    names: dict[str, None] = field(default_factory=dict)  # in the order of their ends
    phase_times: dict[str, float] = field(default_factory=dict)  # by phase
    instance_phases: dict[str, dict[str, float]] = field(
        default_factory=dict
    )  # by instance: when it reached which phase
    instance_costs: dict[str, dict[str, int]] = field(
        default_factory=dict
    )  # by instance: what it leaned on others for

    @property
    def is_over(self) -> bool:
        """All are in full service."""
        return "full" in self.phase_times

    def record_phase(self, now: float, name: str, phase: str) -> str | None:
        """An instance reached a phase; returns the phase that the blow reached by that, if any."""
        part = self.instance_phases.setdefault(name, {})
        if name not in self.names or phase in part:
            return None
        part[phase] = now - self.occurred_at
        return self._update_phases(now)

    def _update_phases(self, now: float) -> str | None:
        counts = {
            phase: sum(phase in self.instance_phases.get(name, ()) for name in self.names)
            for phase in RECOVERY_PHASES
        }
        many = len(self.names)
        wanted = {
            "up": counts["up"] == many,
            "known": counts["known"] == many,
            "first": counts["first"] >= 1,
            "half": 2 * counts["full"] >= many,
            "full": counts["full"] == many,
        }
        fresh = [phase for phase in RECOVERY_PHASES if wanted[phase] and phase not in self.phase_times]
        for phase in fresh:
            self.phase_times[phase] = now - self.occurred_at
        return fresh[-1] if fresh else None

    def on_instance_lost(self, name: str) -> None:
        """It has ended again: what it had reached is to be reached anew."""
        self.instance_phases.pop(name, None)
        self.phase_times.pop("full", None)

    def view(self, now: float) -> dict[str, Any]:
        """As plain values; seconds."""
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
    """Tells blows from single ends, for one fleet."""

    def __init__(self, policy: CorrelationPolicy, rng: Random) -> None:
        policy.check()
        self.policy = policy
        self._rng = rng
        self._external_exits: deque[tuple[float, str, bool]] = (
            deque()
        )  # from outside; whether it is a late one of a blow
        self.failures: deque[CorrelatedFailure] = deque(maxlen=MAX_STORED_FAILURES)
        self._count = 0

    def on_exit(
        self, now: float, name: str, of: int, signal: int | None, out_of_memory: bool
    ) -> CorrelatedFailure | None:
        """A process that nobody told to end has ended; the blow that this is part of, if it is."""
        if signal not in EXTERNAL_SIGNALS or out_of_memory:
            return None
        current = self.latest
        again = current is not None and name in current.names
        if current is not None and again and not current.is_over:
            current.on_instance_lost(name)
        late = current is not None and not again and now - current.occurred_at <= self.policy.within
        self._external_exits.append((now, name, late))
        while self._external_exits[0][0] < now - self.policy.within:
            self._external_exits.popleft()
        # Those that fell a moment later are of the same blow; beside any that fell again, of a new one.
        since = (
            min((at for at, _, behind in self._external_exits if not behind), default=math.inf) - REORDER_TOLERANCE
        )
        fallen = {who: None for at, who, _ in self._external_exits if at >= since}
        if len(fallen) >= max(self.policy.least, math.ceil(self.policy.share * of)):
            self._external_exits.clear()  # a further blow needs as many ends again
            return self._record(now, fallen, of, "from outside")
        if late and current is not None:
            current.names[name] = None
            return current
        return None

    @property
    def latest(self) -> CorrelatedFailure | None:
        """The last blow, if there was any."""
        return self.failures[-1] if self.failures else None

    def on_unclean_start(self, now: float, names: list[str], of: int, cause: str) -> CorrelatedFailure:
        """The supervisor itself begins after an end that was not in order: all come back at once."""
        return self._record(now, dict.fromkeys(names), of, cause)

    def _record(self, now: float, names: dict[str, None], of: int, cause: str) -> CorrelatedFailure:
        self._count += 1
        blow = CorrelatedFailure(self._count, now, of, cause, dict(names))
        self.failures.append(blow)
        return blow

    def is_forgiven(self, now: float, window: float) -> bool:
        """Whether the latest blow is one of the few that budgets don't count."""
        return sum(blow.occurred_at > now - window for blow in self.failures) <= self.policy.forgiven

    def schedule_starts(self, blow: CorrelatedFailure, names: list[tuple[str, int]]) -> dict[str, float]:
        """When to start each of these (name, tier), which a blow has ended and nobody has started since."""
        started = len(blow.names) - len(names)
        return StartScheduler(self.policy.pace, self._rng).schedule(blow.occurred_at, names, started)

    def recovering_count(self, now: float, name: str) -> int:
        """How many come back together with this one, itself among them."""
        blow = self.latest
        together = (
            blow is not None
            and not blow.is_over
            and now - blow.occurred_at < MAX_RECOVERY_TIME
            and name in blow.names
        )
        return len(blow.names) if blow is not None and together else 1

    def on_phase(self, now: float, name: str, phase: str) -> tuple[CorrelatedFailure, str] | None:
        """An instance reached a phase; the blow that reached one by that, and which."""
        blow = self.latest
        if blow is None or now - blow.occurred_at > MAX_RECOVERY_TIME:
            return None
        fresh = blow.record_phase(now, name, phase)
        return (blow, fresh) if fresh is not None else None

    def on_costs(self, name: str, figures: dict[str, int]) -> None:
        """What an instance has leaned on others for since it began."""
        blow = self.latest
        if blow is not None and name in blow.names:
            blow.instance_costs[name] = figures
