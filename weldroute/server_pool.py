"""The servers that candidates are drawn from, kept sorted as servers come and go.

A change of one server costs a binary search, however long the list is: in a release of a large fleet discovery
reports hundreds of changes a second.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from operator import attrgetter

from weldroute.model import Rules
from weldroute.server import RingKey, Server
from weldroute.slow_start import WarmLoad

_ring_key = attrgetter("ring_key")


class ServerRing:
    """Servers in a hashed order that is the same at every instance."""

    __slots__ = ("servers",)

    def __init__(self) -> None:
        self.servers: list[Server] = []

    def add(self, server: Server) -> None:
        """Insert a server, which must not be there yet."""
        insort(self.servers, server, key=_ring_key)

    def discard(self, server: Server) -> bool:
        """Remove a server; return whether it was there."""
        index = bisect_left(self.servers, server.ring_key, key=_ring_key)
        if index == len(self.servers) or self.servers[index] is not server:
            return False
        del self.servers[index]
        return True

    def count_between(self, first: RingKey, last: RingKey) -> int:
        """Return the number of servers from one position to another, around the end of the ring if need be."""
        after_last = bisect_right(self.servers, last, key=_ring_key)
        before_first = bisect_left(self.servers, first, key=_ring_key)
        wrapped = len(self.servers) if first > last else 0
        return after_last - before_first + wrapped


class ColdServers:
    """The cold servers of a pool: by position in the ring, and by the time at which they become warm."""

    __slots__ = ("_ends", "_ring", "_warm_at")

    def __init__(self) -> None:
        self._ring = ServerRing()
        self._warm_at: dict[Server, float] = {}
        self._ends: list[tuple[float, RingKey, Server]] = []  # the first to become warm comes first

    def add(self, server: Server, warm_at: float) -> None:
        """Add a server that is cold until `warm_at`."""
        self._ring.add(server)
        self._warm_at[server] = warm_at
        insort(self._ends, (warm_at, server.ring_key, server))

    def discard(self, server: Server) -> None:
        """Remove a server, if it is there."""
        warm_at = self._warm_at.pop(server, None)
        if warm_at is not None:
            self._ring.discard(server)
            del self._ends[bisect_left(self._ends, (warm_at, server.ring_key))]

    def remove_warm(self, now: float) -> None:
        """Remove the servers that have become warm."""
        count = bisect_right(self._ends, now, key=lambda end: end[0])
        for _, _, server in self._ends[:count]:
            self._ring.discard(server)
            del self._warm_at[server]
        del self._ends[:count]

    @property
    def next_warm_at(self) -> float:
        """When the next of them becomes warm; infinity if there is none."""
        return self._ends[0][0] if self._ends else float("inf")

    def count_between(self, first: Server, last: Server) -> int:
        """Return the number of cold servers from one position in the ring to another."""
        return self._ring.count_between(first.ring_key, last.ring_key)


class ServerPool:
    """Servers that candidates are drawn from: all ready ones in ring order, and the active subset of them.

    The active subset begins at `position`, a fraction of the ring: instances that begin at different positions
    spread their calls evenly.
    """

    __slots__ = ("_cold", "_position", "_ring", "_rules", "active", "next_warm_at", "warm_fraction", "warm_load")

    def __init__(self, rules: Rules, position: float = 0.0, active: list[Server] | None = None) -> None:
        self._rules = rules
        self._position = position
        self._ring = ServerRing()
        self._cold = ColdServers()
        self.active = active or []
        self.next_warm_at = float("inf")  # when the next cold server becomes warm
        self.warm_fraction = 1.0  # of the active subset
        self.warm_load = WarmLoad()

    def add(self, now: float, server: Server) -> None:
        """Add a ready server; `resize` has to follow."""
        self._ring.add(server)
        warm_at = server.cold_until(self._rules)
        if warm_at > now:
            self._cold.add(server, warm_at)

    def discard(self, server: Server) -> None:
        """Remove a server that is no longer ready; `resize` has to follow."""
        self._ring.discard(server)
        self._cold.discard(server)

    def resize(self, now: float, wanted: int) -> None:
        """Set the size of the active subset to about `wanted`; a size close to the current one is kept."""
        ready, current = self._ring.servers, len(self.active)
        if current and current <= len(ready) and 0.7 * current <= wanted <= 1.4 * current:
            wanted = current
        start = int(len(ready) * self._position)
        self.active = ready[start : start + wanted]
        self.active += ready[: min(start, wanted - len(self.active))]
        self.count_warm(now)

    def count_warm(self, now: float) -> None:
        """Recompute which fraction of the active subset is warm, and until when that holds."""
        self._cold.remove_warm(now)
        self.next_warm_at = self._cold.next_warm_at
        if not self.active:
            self.warm_fraction = 1.0
            return
        cold = self._cold.count_between(self.active[0], self.active[-1])
        self.warm_fraction = 1.0 - cold / len(self.active)
