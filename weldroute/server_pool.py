"""The servers that candidates are drawn from."""

from __future__ import annotations

from weldroute.model import Rules
from weldroute.server import Server
from weldroute.slow_start import WarmLoad


def ring_hash(number: int) -> int:
    """Return a 32-bit hash of an identifier that is the same at every instance."""
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    number = (number ^ (number >> 16)) * 0x45D9F3B & 0xFFFFFFFF
    return number ^ (number >> 16)


class ServerPool:
    """Servers that candidates are drawn from: all ready ones in ring order, and the active subset of them."""

    __slots__ = ("active", "next_warm_at", "ready", "warm_fraction", "warm_load")

    def __init__(self, active: list[Server] | None = None) -> None:
        self.ready: list[Server] = []
        self.active = active or []
        self.next_warm_at = float("inf")  # when the next cold server becomes warm
        self.warm_fraction = 1.0  # of the active subset
        self.warm_load = WarmLoad()

    def resize(self, now: float, wanted: int, rules: Rules) -> None:
        """Set the size of the active subset to about `wanted`; a size close to the current one is kept."""
        current = len(self.active)
        if current and current <= len(self.ready) and 0.7 * current <= wanted <= 1.4 * current:
            wanted = current
        self.active = self.ready[:wanted]
        self.count_warm(now, rules)

    def count_warm(self, now: float, rules: Rules) -> None:
        """Recompute which fraction of the active subset is warm, and until when that holds."""
        warm_at = [until for until in (server.cold_until(rules) for server in self.active) if until > now]
        self.next_warm_at = min(warm_at, default=float("inf"))
        self.warm_fraction = 1.0 - len(warm_at) / len(self.active) if self.active else 1.0
