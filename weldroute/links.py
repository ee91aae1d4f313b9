"""Connections to the other members of a fleet: send queues, dialling, and closing of dead links. Sans I/O, no clocks.

A peer that is slow or silent costs memory up to a bound and delays nothing else: nothing here waits for it.

Messages to a peer are sent in the order of their priority. When the queue is full, the lowest priority is dropped
first, and of one priority the oldest message, because a newer one supersedes it. A message that has waited for longer
than its priority allows is not sent.

| priority | content                                       | may wait                                       |
| -------- | --------------------------------------------- | ---------------------------------------------- |
| lease    | requests for leases, answers and releases     | `lease_for`: as long as a proposer waits       |
| probe    | probes of members and their answers           | `probe_for`: as long as a probe lasts          |
| news     | updates about members, bans, drains           | as long as there is room                       |
| whole    | full exchanges of what is known               | as long as there is room                       |
| hint     | useful information that nothing depends on    | as long as there is room                       |

Dialling. A peer that can't be reached is dialled again after a pause that doubles, with jitter over nearly all of it,
so that members that lost the same peer at once do not dial it at once. All dials of one member share a rate limit,
because a whole fleet that starts at once may have a single seed. A link on which something was sent and nothing was
received for `silent` seconds is closed: that is how a partition in one direction shows.

Two members that dial each other have two links: the one dialled by the member with the lesser name is kept. If the
remote process is another one than before, the older link belongs to a process that has ended, and the newer is kept.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from weldroute.checks import check_numbers

STALL_THRESHOLD = 1.0  # seconds between two checks from which on this process itself was paused


class Priority(IntEnum):
    """Priority of a message; lower values are sent first."""

    LEASE = 0
    PROBE = 1
    NEWS = 2
    WHOLE = 3
    HINT = 4


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """Limits and timeouts of links; times in seconds."""

    waiting: int = 256 * 1024  # bytes queued for one peer
    messages: int = 1024  # messages queued for one peer
    lease_for: float = 1.0  # that a message about leases may wait
    probe_for: float = 1.0  # that a probe may wait
    again_from: float = 0.2  # shortest backoff before a peer is dialled again
    again_to: float = 5.0  # longest backoff
    dial_for: float = 2.0  # that a dial and its handshake may take
    dials: float = 20.0  # per second, to all peers together
    burst: float = 10.0  # dials that may be saved up
    silent: float = 3.0  # without an answer, after which a link is closed
    idle: float = 60.0  # without use, after which a link is closed
    most: int = 256  # peers

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        check_numbers(self)
        if self.again_to < self.again_from:
            raise ValueError("again_to: below again_from")

    def max_age(self, priority: Priority) -> float:
        """Seconds for which a message of this priority may wait."""
        return {Priority.LEASE: self.lease_for, Priority.PROBE: self.probe_for}.get(priority, math.inf)


class SendQueue:
    """Messages queued for one peer."""

    def __init__(self, policy: LinkPolicy) -> None:
        self._policy = policy
        self._queues: tuple[deque[tuple[float, bytes]], ...] = tuple(deque() for _ in Priority)
        self._sizes = [0] * len(Priority)  # bytes, by priority
        self.bytes = 0
        self.count = 0
        self.dropped = [0] * len(Priority)  # messages dropped for want of room, by priority
        self.expired = 0  # messages dropped for having waited too long

    def enqueue(self, now: float, priority: Priority, data: bytes) -> bool:
        """Queue a message; False if it was dropped. Others may be dropped for it, of no higher priority."""
        self._drop_expired(now)
        droppable = [level for level in reversed(Priority) if level >= priority]
        freed = sum(self._sizes[level] for level in droppable), sum(len(self._queues[level]) for level in droppable)
        if not self._fits(len(data), *freed):
            self.dropped[priority] += 1
            return False
        while not self._fits(len(data)):
            lowest = next(level for level in droppable if self._queues[level])
            self._pop(lowest)
            self.dropped[lowest] += 1
        self._queues[priority].append((now, data))
        self._sizes[priority] += len(data)
        self.bytes += len(data)
        self.count += 1
        return True

    def _fits(self, size: int, freed_bytes: int = 0, freed_count: int = 0) -> bool:
        """Whether there is room for one more message of `size` bytes once some queued ones are dropped."""
        policy = self._policy
        return self.bytes - freed_bytes + size <= policy.waiting and self.count - freed_count < policy.messages

    def _pop(self, priority: Priority) -> bytes:
        _, data = self._queues[priority].popleft()
        self._sizes[priority] -= len(data)
        self.bytes -= len(data)
        self.count -= 1
        return data

    def _drop_expired(self, now: float) -> None:
        for priority in (Priority.LEASE, Priority.PROBE):
            queue, max_age = self._queues[priority], self._policy.max_age(priority)
            while queue and now - queue[0][0] > max_age:
                self._pop(priority)
                self.expired += 1

    def dequeue(self, now: float) -> bytes | None:
        """Remove and return the next message to send; None if there is none."""
        self._drop_expired(now)
        for priority in Priority:
            if self._queues[priority]:
                return self._pop(priority)
        return None


@dataclass(slots=True)
class Peer:
    """State of the link to one address."""

    send_queue: SendQueue
    failures: int = 0  # dials that failed in a row
    next_dial: float = -math.inf  # earliest time of the next dial
    dialling_since: float = math.nan  # nan: no dial in progress
    connected: bool = False
    last_used: float = 0.0  # when a message was last queued
    last_received: float = 0.0
    awaiting_since: float = math.inf  # first send since then: how long an answer has been outstanding
    keepalive_sent: bool = False  # a keepalive was sent since something was last received


class LinkManager:
    """All links of one member, by the address of the peer."""

    def __init__(self, policy: LinkPolicy, seed: int) -> None:
        """Raises ValueError for an invalid policy."""
        policy.check()
        self.policy = policy
        self.peers: dict[str, Peer] = {}
        self._rng = Random(seed)
        self._tokens = policy.burst
        self._tokens_updated = -math.inf
        self._last_check = math.inf
        self.refused = 0  # messages refused because there are too many peers
        self.closed = {"silent": 0, "idle": 0}

    def enqueue(self, now: float, address: str, priority: Priority, data: bytes) -> Peer | None:
        """Queue a message for an address; None if there are too many peers."""
        peer = self.peers.get(address)
        if peer is None:
            if len(self.peers) >= self.policy.most and not self._evict_disconnected():
                self.refused += 1
                return None
            peer = self.peers[address] = Peer(SendQueue(self.policy))
        peer.last_used = now
        peer.send_queue.enqueue(now, priority, data)
        return peer

    def _evict_disconnected(self) -> bool:
        """Make room by removing the disconnected peer used least recently; False if there is none."""
        disconnected = [
            address for address, peer in self.peers.items() if not peer.connected and math.isnan(peer.dialling_since)
        ]
        if not disconnected:
            return False
        del self.peers[min(disconnected, key=lambda address: self.peers[address].last_used)]
        return True

    # ---- dialling ------------------------------------------------------------------------

    def start_dials(self, now: float) -> list[str]:
        """Return the addresses to dial now; they count as being dialled from here on."""
        policy = self.policy
        if math.isfinite(self._tokens_updated):
            self._tokens = min(policy.burst, self._tokens + policy.dials * max(0.0, now - self._tokens_updated))
        self._tokens_updated = now
        due = [
            (peer.next_dial, address)
            for address, peer in self.peers.items()
            if not peer.connected
            and math.isnan(peer.dialling_since)
            and peer.send_queue.count
            and now >= peer.next_dial
        ]
        chosen = [address for _, address in sorted(due)[: int(self._tokens)]]
        for address in chosen:
            self._tokens -= 1.0
            self.peers[address].dialling_since = now
        return chosen

    def on_connected(self, now: float, address: str) -> Peer:
        """A link to the peer is up, whichever end dialled it."""
        peer = self.peers.get(address)
        if peer is None:
            peer = self.peers[address] = Peer(SendQueue(self.policy))
        peer.connected, peer.dialling_since, peer.failures = True, math.nan, 0
        peer.last_received, peer.awaiting_since, peer.keepalive_sent, peer.last_used = now, math.inf, False, now
        return peer

    def on_disconnected(self, now: float, address: str) -> None:
        """A dial has failed, or a link has ended."""
        peer = self.peers.get(address)
        if peer is None:
            return
        peer.connected, peer.dialling_since = False, math.nan
        backoff = min(self.policy.again_to, self.policy.again_from * 2.0 ** min(peer.failures, 16))
        peer.failures += 1
        peer.next_dial = now + backoff * self._rng.uniform(0.1, 1.0)

    # ---- connected links -----------------------------------------------------------------

    def on_sent(self, now: float, address: str) -> None:
        """Something was written to the peer."""
        peer = self.peers[address]
        peer.awaiting_since = min(peer.awaiting_since, now)

    def on_received(self, now: float, address: str) -> None:
        """Something was received from the peer."""
        peer = self.peers.get(address)
        if peer is not None:
            peer.last_received, peer.awaiting_since, peer.keepalive_sent = now, math.inf, False

    def due_keepalives(self, now: float) -> list[str]:
        """Return the links on which to send a keepalive now. To be called often, before `expired_links`."""
        gap, self._last_check = now - self._last_check, now
        addresses = []
        for address, peer in self.peers.items():
            if gap > STALL_THRESHOLD and math.isfinite(peer.awaiting_since):
                peer.awaiting_since = now  # answers that came during the pause are still unread
            if peer.connected and not peer.keepalive_sent and now - peer.awaiting_since >= self.policy.silent / 3.0:
                peer.keepalive_sent = True
                addresses.append(address)
        return addresses

    def expired_links(self, now: float) -> list[tuple[str, str]]:
        """Return the links to close now, with the reason; call `on_disconnected` once each has ended."""
        expired = []
        for address, peer in self.peers.items():
            if peer.connected and now - peer.awaiting_since >= self.policy.silent:
                expired.append((address, "silent"))
            elif peer.connected and now - max(peer.last_used, peer.last_received) >= self.policy.idle:
                expired.append((address, "idle"))
        for _, reason in expired:
            self.closed[reason] += 1
        return expired

    def view(self, now: float) -> list[dict[str, object]]:
        """All peers for operators, sorted by address."""
        return [
            {
                "address": address,
                "up": peer.connected,
                "failed": peer.failures,
                "waiting": peer.send_queue.count,
                "waiting_bytes": peer.send_queue.bytes,
                "late": peer.send_queue.expired,
                "dropped": {
                    priority.name.lower(): peer.send_queue.dropped[priority]
                    for priority in Priority
                    if peer.send_queue.dropped[priority]
                },
                "silent_for": round(now - peer.last_received, 2) if peer.connected else None,
            }
            for address, peer in sorted(self.peers.items())
        ]


@dataclass(frozen=True, slots=True)
class LinkEnd:
    """The remote end of a link."""

    name: str
    life: int  # identifier of the remote process
    dialled: bool = field(default=False)  # this member dialled the link


def should_replace(local_name: str, old: LinkEnd, new: LinkEnd) -> bool:
    """Whether the newer of two links to one peer replaces the older one."""
    if old.life != new.life or old.dialled is new.dialled:
        return True  # the process or the connection of the older link is gone
    return new.dialled is (local_name < new.name)
