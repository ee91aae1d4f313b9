"""What an instance knows about one server of the next tier."""

from __future__ import annotations

from typing import Protocol

from weldroute.breaker import Breaker
from weldroute.model import Rules, ServerRow
from weldroute.slow_start import SmoothedRate

LATENCY_STALE_AFTER = 5.0  # seconds of silence after which a server's latency counts half, the tier's the other half


RingKey = tuple[int, int]  # a position in the ring: a hash, and the id that it is of


def _ring_hash(number: int) -> int:
    """Return a 32-bit hash of an identifier that is the same at every instance."""
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return number ^ (number >> 16)


class InFlightAttempt(Protocol):
    """An attempt that a server has not answered yet."""

    sent: float  # when it was sent

    def __hash__(self) -> int: ...


class Server:
    """What an instance knows about one server of the next tier."""

    __slots__ = (
        "answer_rate",
        "back",
        "breaker",
        "cold_credit",
        "cold_seen",
        "in_flight",
        "latency",
        "ring_key",
        "row",
        "seen",
    )

    def __init__(self, row: ServerRow) -> None:
        self.row = row
        self.ring_key: RingKey = (_ring_hash(row.server), row.server)
        self.breaker: Breaker | None = None  # created at the first call: most rows of a long list are never called
        self.in_flight: dict[InFlightAttempt, None] = {}  # oldest first
        self.latency = 0.0  # moving average in seconds, with failures counted as a timeout
        self.seen = 0.0  # when the latency was last updated
        self.cold_credit = 0.0  # calls that a cold server may receive now
        self.cold_seen = 0.0  # when that credit was last refilled
        self.answer_rate: SmoothedRate | None = None  # answers in time, while it is cold
        self.back = 0.0  # end of the last ban, until discovery reports a start after that ban began

    @property
    def started(self) -> float:
        """When its process started, as far as is known; 0 for a distant past."""
        return max(self.row.started, self.back)

    def cold_until(self, rules: Rules) -> float:
        """Return when the server stops being cold; 0 if it started in a distant past."""
        started = self.row.started if self.row.started > self.back else self.back
        return started + rules.cold_for if started > 0.0 else 0.0

    def forget_performance(self) -> None:
        """Discard what was learned about a process that has ended."""
        self.breaker = None
        self.latency = 0.0
        self.cold_credit = 0.0
        self.answer_rate = None

    def update_latency(self, now: float, latency: float) -> None:
        """Update the moving average that servers are scored by."""
        self.latency += (latency - self.latency) / 4.0 if self.latency > 0.0 else latency
        self.seen = now

    def score(self, now: float, pooled: float) -> float:
        """Return current latency x (in-flight + 1); lower is better. `pooled` is the latency of the tier.

        The latency of a server that has not answered recently drifts to that of the tier, so that a recovered server
        is tried again and an untried one ranks neither first nor last. Hung servers are avoided because an attempt
        that has been in flight for longer than the current latency counts as a sample.
        """
        latency = pooled
        if self.latency > 0.0:
            own_weight = LATENCY_STALE_AFTER / (LATENCY_STALE_AFTER + now - self.seen)
            latency += (self.latency - pooled) * own_weight
        in_flight = self.in_flight
        if not in_flight:
            return latency
        age = now - next(iter(in_flight)).sent
        return max(latency, age) * (len(in_flight) + 1)
