"""Slow start: how much load a server that started lately is given, so that all balancers together don't overload it.

No balancer knows what a server can do, or what the others send it. What it can go by is a sum that is safe whoever
takes part in it: every answer was sent to one balancer. If each sends a multiple of the answers that it got, all
together send that multiple of what the server answers, which is no more than it can do.

- Warm servers answer so many calls a second of this balancer; a cold one gets its part of that (`WarmLoad`), and
  somewhat more, for warm ones may have room and it may be warmer than is certain.
- Where that is little, because warm servers have little to do or there are none, it may grow: to a multiple of what
  the cold server itself lately answered in time (`allowed_load`).
- Demand is the upper bound of both. By itself it says nothing of what servers can do: when some go and callers come
  again and again, what is asked for each of the rest is more than any of them can do.
"""

from __future__ import annotations

from weldroute.model import Rules

BURST_MULTIPLE = 1.25  # of its load, what a cold server may get in a short span
WARM_SHARE = 0.625  # of the multiple that pushes it over: what it may get of its part of a warm one's load
MAX_GROWTH = 2.0  # of the calls that it answered, what it may get next, at most...
GROWTH_SHARE = 0.8  # ...and at most this part of the multiple that pushes it over: with BURST, just that multiple
COLD_RATE_WINDOW = 1.0  # seconds over which the answers of one cold server are smoothed
WARM_RATE_WINDOW = 5.0  # seconds over which the load that warm servers carry is smoothed...
WARM_MIN_OBSERVED = 1.0  # ...and seconds of it that have to be seen before it counts


class SmoothedRate:
    """Events a second, smoothed; without events it falls to 0 within `memory` seconds."""

    __slots__ = ("_updated_at", "_value", "_window")

    def __init__(self, memory: float) -> None:
        self._window = memory
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.per_second(now) + 1.0 / self._window
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Events a second, as of now."""
        return self._value * max(0.0, 1.0 - (now - self._updated_at) / self._window)


class WarmLoad:
    """Calls of this balancer that each warm server of a pool answers in a second."""

    __slots__ = ("_answered_at", "_answers", "_observed")

    def __init__(self) -> None:
        self._answers = 0.0  # recent answers of each warm server, on average...
        self._observed = 0.0  # ...in so many seconds
        self._answered_at = 0.0

    def on_answer(self, now: float, warm_servers: float) -> None:
        """Count an answer of one of so many warm servers; 0: of a cold one, which is no measure of the others."""
        elapsed = min(now - self._answered_at, WARM_RATE_WINDOW)
        self._answered_at = now
        if warm_servers > 0.0:
            kept = 1.0 - elapsed / WARM_RATE_WINDOW
            self._answers = self._answers * kept + 1.0 / warm_servers
            self._observed = self._observed * kept + elapsed

    def per_server(self) -> float | None:
        """Calls a second, as last seen; None until enough was seen."""
        return self._answers / self._observed if self._observed >= WARM_MIN_OBSERVED else None


def capacity_fraction(age: float, rules: Rules) -> float:
    """The part of a warm server's capacity that one of this age has for certain."""
    warmed = min(1.0, max(0.0, age) / max(rules.cold_for, 1e-6))
    return rules.cold_from + (1.0 - rules.cold_from) * warmed


def allowed_load(fraction: float, demand: float, warm: float | None, own: float, rules: Rules) -> float:
    """Calls a second that would be right for it if it were warm; the `part` of them that it can do is for it now.

    `demand` is what is asked for each server, `warm` what a warm one carries, `own` what this one answers in time.
    """
    if warm is None:
        return demand
    growth = min(MAX_GROWTH, GROWTH_SHARE * rules.fall_multiple)
    return min(demand, max(WARM_SHARE * rules.fall_multiple * warm, growth * own / fraction))


def refill_credit(credit: float, elapsed: float, load: float, rules: Rules) -> float:
    """Calls saved up for a cold server after so many seconds more at this load."""
    pace = BURST_MULTIPLE * load
    return min(max(1.0, pace * rules.fall_after), credit + pace * elapsed)
