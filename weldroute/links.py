"""Links between neighbours: what waits and what is dropped, when to dial and at what pace, which of two stays.

Sans I/O, without clocks. A neighbour that is slow or silent costs memory up to a bound, and nobody's time: nothing
here waits for it.

What is on its way to a neighbour, in the order in which it goes out. When there is no room the last is dropped first,
and of one kind the oldest, for what is newer says more. What has waited for longer than it is good for is not sent.

| kind  | what                                              | good for                      |
| ----- | ------------------------------------------------- | ----------------------------- |
| lease | who may act, and who may not any more             | `lease_for`: an asker's time  |
| probe | are you there, and the answers                    | `probe_for`: a probe's time   |
| news  | of members, bans, drains                          | as long as there is room      |
| whole | all that is known                                 | as long as there is room      |
| hint  | what would help, and nobody needs                 | as long as there is room      |

Dialling. A neighbour that can't be reached is dialled again after a pause that doubles, drawn from all of it (so
that those that lost the same one together do not come together), and all dials of one member have a pace, for a
fleet that starts at once has one seed. A link that has been silent for `silent` seconds although something was sent
on it is ended: a cut that is silent one way looks like that.

Two that dial each other have two links: the one that the lesser name dialled stays. If the process at the other end
is another than before, the older link is a dead one's, and the newer stays.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum
from random import Random

from weldroute.checks import check_numbers

STALL_THRESHOLD = 1.0  # seconds between two looks from which on this process itself stood still


class Priority(IntEnum):
    """Of what is sent, in the order in which it goes out."""

    LEASE = 0
    PROBE = 1
    NEWS = 2
    WHOLE = 3
    HINT = 4


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """Times in seconds."""

    waiting: int = 256 * 1024  # bytes that wait for one neighbour
    messages: int = 1024  # ...and messages
    lease_for: float = 1.0
    probe_for: float = 1.0
    again_from: float = 0.2  # before a neighbour that could not be reached is dialled again...
    again_to: float = 5.0  # ...at most
    dial_for: float = 2.0  # that a dial and its handshake may take
    dials: float = 20.0  # a second, of all neighbours
    burst: float = 10.0  # dials that may be saved up
    silent: float = 3.0
    idle: float = 60.0  # after which a link that nobody uses is ended
    most: int = 256  # neighbours

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self)
        if self.again_to < self.again_from:
            raise ValueError("again_to: below again_from")

    def max_age(self, kind: Priority) -> float:
        """Seconds for which a message of a kind may wait."""
        return {Priority.LEASE: self.lease_for, Priority.PROBE: self.probe_for}.get(kind, math.inf)


class SendQueue:
    """What waits for one neighbour."""

    def __init__(self, policy: LinkPolicy) -> None:
        self._policy = policy
        self._queues: tuple[deque[tuple[float, bytes]], ...] = tuple(deque() for _ in Priority)
        self._sizes = [0] * len(Priority)  # bytes, by kind
        self.bytes = 0
        self.count = 0
        self.dropped = [0] * len(Priority)  # for want of room, by kind...
        self.expired = 0  # ...and for having waited too long

    def enqueue(self, now: float, kind: Priority, data: bytes) -> bool:
        """Let a message wait; whether it does. Others may be dropped for it, never one that goes out before it."""
        self._drop_expired(now)
        later = [one for one in reversed(Priority) if one >= kind]
        given_up = sum(self._sizes[one] for one in later), sum(len(self._queues[one]) for one in later)
        if not self._fits(len(data), *given_up):
            self.dropped[kind] += 1
            return False
        while not self._fits(len(data)):
            worst = next(one for one in later if self._queues[one])
            self._pop(worst)
            self.dropped[worst] += 1
        self._queues[kind].append((now, data))
        self._sizes[kind] += len(data)
        self.bytes += len(data)
        self.count += 1
        return True

    def _fits(self, size: int, freed: int = 0, gone: int = 0) -> bool:
        """Whether there is room for so many bytes, with some that wait given up."""
        policy = self._policy
        return self.bytes - freed + size <= policy.waiting and self.count - gone < policy.messages

    def _pop(self, kind: Priority) -> bytes:
        _, data = self._queues[kind].popleft()
        self._sizes[kind] -= len(data)
        self.bytes -= len(data)
        self.count -= 1
        return data

    def _drop_expired(self, now: float) -> None:
        for kind in (Priority.LEASE, Priority.PROBE):
            queue, good = self._queues[kind], self._policy.max_age(kind)
            while queue and now - queue[0][0] > good:
                self._pop(kind)
                self.expired += 1

    def dequeue(self, now: float) -> bytes | None:
        """What goes out now."""
        self._drop_expired(now)
        for kind in Priority:
            if self._queues[kind]:
                return self._pop(kind)
        return None


@dataclass(slots=True)
class Peer:
    """What is known of the way to one address."""

    send_queue: SendQueue
    failures: int = 0  # dials in a row
    next_dial: float = -math.inf  # not before
    dialling_since: float = math.nan  # since when; nan: it is not
    connected: bool = False
    last_used: float = 0.0  # when something was last to be sent
    last_received: float = 0.0  # when it was last heard...
    awaiting_since: float = math.inf  # ...and the first moment since at which something was sent to it
    keepalive_sent: bool = False  # it was asked for a sign of life since then


class LinkManager:
    """All neighbours of one member, by address."""

    def __init__(self, policy: LinkPolicy, seed: int) -> None:
        policy.check()
        self.policy = policy
        self.peers: dict[str, Peer] = {}
        self._rng = Random(seed)
        self._tokens = policy.burst
        self._tokens_updated = -math.inf
        self._last_check = math.inf
        self.refused = 0  # messages to more neighbours than there may be
        self.closed = {"silent": 0, "idle": 0}

    def enqueue(self, now: float, address: str, kind: Priority, data: bytes) -> Peer | None:
        """A message for an address; None where there are too many neighbours."""
        one = self.peers.get(address)
        if one is None:
            if len(self.peers) >= self.policy.most and not self._evict_disconnected():
                self.refused += 1
                return None
            one = self.peers[address] = Peer(SendQueue(self.policy))
        one.last_used = now
        one.send_queue.enqueue(now, kind, data)
        return one

    def _evict_disconnected(self) -> bool:
        down = [
            address for address, one in self.peers.items() if not one.connected and math.isnan(one.dialling_since)
        ]
        if not down:
            return False
        del self.peers[min(down, key=lambda address: self.peers[address].last_used)]
        return True

    # ---- dialling ------------------------------------------------------------------------

    def start_dials(self, now: float) -> list[str]:
        """Addresses to dial now."""
        policy = self.policy
        if math.isfinite(self._tokens_updated):
            self._tokens = min(policy.burst, self._tokens + policy.dials * max(0.0, now - self._tokens_updated))
        self._tokens_updated = now
        due = [
            (one.next_dial, address)
            for address, one in self.peers.items()
            if not one.connected and math.isnan(one.dialling_since) and one.send_queue.count and now >= one.next_dial
        ]
        chosen = [address for _, address in sorted(due)[: int(self._tokens)]]
        for address in chosen:
            self._tokens -= 1.0
            self.peers[address].dialling_since = now
        return chosen

    def on_connected(self, now: float, address: str) -> Peer:
        """A link to it is up, whoever dialled it."""
        one = self.peers.get(address)
        if one is None:
            one = self.peers[address] = Peer(SendQueue(self.policy))
        one.connected, one.dialling_since, one.failures = True, math.nan, 0
        one.last_received, one.awaiting_since, one.keepalive_sent, one.last_used = now, math.inf, False, now
        return one

    def on_disconnected(self, now: float, address: str) -> None:
        """A dial came to nothing, or a link has ended."""
        one = self.peers.get(address)
        if one is None:
            return
        one.connected, one.dialling_since = False, math.nan
        longest = min(self.policy.again_to, self.policy.again_from * 2.0 ** min(one.failures, 16))
        one.failures += 1
        one.next_dial = now + longest * self._rng.uniform(0.1, 1.0)

    # ---- links that are up ---------------------------------------------------------------

    def on_sent(self, now: float, address: str) -> None:
        """Something was written to it."""
        one = self.peers[address]
        one.awaiting_since = min(one.awaiting_since, now)

    def on_received(self, now: float, address: str) -> None:
        """Something has come from it."""
        one = self.peers.get(address)
        if one is not None:
            one.last_received, one.awaiting_since, one.keepalive_sent = now, math.inf, False

    def due_keepalives(self, now: float) -> list[str]:
        """Links on which to ask for a sign of life now. To be called often, before `over`."""
        late, self._last_check = now - self._last_check, now
        found = []
        for address, one in self.peers.items():
            if late > STALL_THRESHOLD and math.isfinite(one.awaiting_since):
                one.awaiting_since = now  # what has come meanwhile is still unread
            if one.connected and not one.keepalive_sent and now - one.awaiting_since >= self.policy.silent / 3.0:
                one.keepalive_sent = True
                found.append(address)
        return found

    def expired_links(self, now: float) -> list[tuple[str, str]]:
        """Links to end now, and why; each is to be followed by `failed`."""
        found = []
        for address, one in self.peers.items():
            if one.connected and now - one.awaiting_since >= self.policy.silent:
                found.append((address, "silent"))
            elif one.connected and now - max(one.last_used, one.last_received) >= self.policy.idle:
                found.append((address, "idle"))
        for _, reason in found:
            self.closed[reason] += 1
        return found

    def view(self, now: float) -> list[dict[str, object]]:
        """All neighbours for operators, by address."""
        return [
            {
                "address": address,
                "up": one.connected,
                "failed": one.failures,
                "waiting": one.send_queue.count,
                "waiting_bytes": one.send_queue.bytes,
                "late": one.send_queue.expired,
                "dropped": {
                    kind.name.lower(): one.send_queue.dropped[kind]
                    for kind in Priority
                    if one.send_queue.dropped[kind]
                },
                "silent_for": round(now - one.last_received, 2) if one.connected else None,
            }
            for address, one in sorted(self.peers.items())
        ]


@dataclass(frozen=True, slots=True)
class LinkEnd:
    """One end of a link, as the other sees it."""

    name: str
    life: int
    dialled: bool = field(default=False)  # by this member, not by the other


def should_replace(local_name: str, old: LinkEnd, new: LinkEnd) -> bool:
    """Whether the newer of two links to one neighbour stays, and not the older."""
    if old.life != new.life or old.dialled is new.dialled:
        return True  # the older one's process, or its connection, is gone
    return new.dialled is (local_name < new.name)
