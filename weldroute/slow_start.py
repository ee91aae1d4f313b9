"""Slow start: limits the load on a recently started server, so that all balancers together don't overload it.

No balancer knows the capacity of a server, or what the other balancers send it. But every answer goes to exactly one
balancer. If each balancer sends a multiple of the answers that it received, all together send that multiple of what
the server answers, which is at most its capacity. This holds whatever balancers take part.

- Warm servers answer some number of calls a second to this balancer (`WarmLoad`). A cold server gets its fraction of
  that and somewhat more, because warm servers may have spare capacity and it may be warmer than is certain.
- Where that is little, because warm servers have little load or there are none, the load may grow to a multiple of
  what the cold server itself recently answered in time (`allowed_load`).
- Demand is the upper bound of both. Alone it says nothing about capacity: when servers go away and callers retry, the
  demand for each remaining server exceeds what any of them can handle.
"""

from __future__ import annotations

from weldroute.model import Rules

BURST_MULTIPLE = 1.25  # of its allowed load, that a cold server may receive in a short span
WARM_SHARE = 0.625  # x `fall_multiple` (overload) x its fraction of a warm server's load: what it may receive
MAX_GROWTH = 2.0  # largest multiple of its recent answers that a cold server may receive next
GROWTH_SHARE = 0.8  # of `fall_multiple`, limits that growth too: times BURST_MULTIPLE it is just `fall_multiple`
COLD_RATE_WINDOW = 1.0  # seconds over which the answers of a cold server are smoothed
WARM_RATE_WINDOW = 5.0  # seconds over which the load of warm servers is smoothed
WARM_MIN_OBSERVED = 1.0  # seconds of observation before that load is used


class SmoothedRate:
    """Smoothed number of events a second; without events it falls to 0 within `window` seconds."""

    __slots__ = ("_updated_at", "_value", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._value = self.per_second(now) + 1.0 / self._window
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return the events a second as of now."""
        return self._value * max(0.0, 1.0 - (now - self._updated_at) / self._window)


class WarmLoad:
    """Measures how many calls of this balancer each warm server of a pool answers in a second."""

    __slots__ = ("_answered_at", "_answers", "_observed")

    def __init__(self) -> None:
        self._answers = 0.0  # recent answers per warm server
        self._observed = 0.0  # the seconds in which these answers came
        self._answered_at = 0.0

    def on_answer(self, now: float, warm_servers: float) -> None:
        """Count an answer of one of `warm_servers` servers; 0 if a cold one sent it, which doesn't count."""
        elapsed = min(now - self._answered_at, WARM_RATE_WINDOW)
        self._answered_at = now
        if warm_servers > 0.0:
            decay = 1.0 - elapsed / WARM_RATE_WINDOW
            self._answers = self._answers * decay + 1.0 / warm_servers
            self._observed = self._observed * decay + elapsed

    def per_server(self) -> float | None:
        """Return the calls a second of a warm server; None until it was observed for long enough."""
        return self._answers / self._observed if self._observed >= WARM_MIN_OBSERVED else None


def capacity_fraction(age: float, rules: Rules) -> float:
    """Return the fraction of a warm server's capacity that a server of this age (seconds) certainly has."""
    warmed = min(1.0, max(0.0, age) / max(rules.cold_for, 1e-6))
    return rules.cold_from + (1.0 - rules.cold_from) * warmed


def allowed_load(fraction: float, demand: float, warm: float | None, own: float, rules: Rules) -> float:
    """Return the calls a second for a cold server as if it were warm; the caller takes the `fraction` it can handle.

    All rates are calls a second: `demand` is what is requested per server, `warm` what a warm server answers (None if
    unknown), `own` what this server answers in time.
    """
    if warm is None:
        return demand
    growth_limit = min(MAX_GROWTH, GROWTH_SHARE * rules.fall_multiple)
    return min(demand, max(WARM_SHARE * rules.fall_multiple * warm, growth_limit * own / fraction))


def refill_credit(credit: float, elapsed: float, load: float, rules: Rules) -> float:
    """Return the calls that a cold server may receive after `elapsed` seconds at this load (a token bucket)."""
    rate = BURST_MULTIPLE * load
    return min(max(1.0, rate * rules.fall_after), credit + rate * elapsed)
