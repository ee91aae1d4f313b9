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

PAUSE = 1.0  # seconds between two looks from which on this process itself stood still


class Kind(IntEnum):
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

    def good_for(self, kind: Kind) -> float:
        """Seconds for which a message of a kind may wait."""
        return {Kind.LEASE: self.lease_for, Kind.PROBE: self.probe_for}.get(kind, math.inf)


class Outbox:
    """What waits for one neighbour."""

    def __init__(self, policy: LinkPolicy) -> None:
        self._policy = policy
        self._queues: tuple[deque[tuple[float, bytes]], ...] = tuple(deque() for _ in Kind)
        self._sizes = [0] * len(Kind)  # bytes, by kind
        self.bytes = 0
        self.count = 0
        self.dropped = [0] * len(Kind)  # for want of room, by kind...
        self.late = 0  # ...and for having waited too long

    def put(self, now: float, kind: Kind, data: bytes) -> bool:
        """Let a message wait; whether it does. Others may be dropped for it, never one that goes out before it."""
        self._age(now)
        later = [one for one in reversed(Kind) if one >= kind]
        given_up = sum(self._sizes[one] for one in later), sum(len(self._queues[one]) for one in later)
        if not self._fits(len(data), *given_up):
            self.dropped[kind] += 1
            return False
        while not self._fits(len(data)):
            worst = next(one for one in later if self._queues[one])
            self._take(worst)
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

    def _take(self, kind: Kind) -> bytes:
        _, data = self._queues[kind].popleft()
        self._sizes[kind] -= len(data)
        self.bytes -= len(data)
        self.count -= 1
        return data

    def _age(self, now: float) -> None:
        for kind in (Kind.LEASE, Kind.PROBE):
            queue, good = self._queues[kind], self._policy.good_for(kind)
            while queue and now - queue[0][0] > good:
                self._take(kind)
                self.late += 1

    def next(self, now: float) -> bytes | None:
        """What goes out now."""
        self._age(now)
        for kind in Kind:
            if self._queues[kind]:
                return self._take(kind)
        return None


@dataclass(slots=True)
class Neighbour:
    """What is known of the way to one address."""

    outbox: Outbox
    failed: int = 0  # dials in a row
    dial_at: float = -math.inf  # not before
    dialling: float = math.nan  # since when; nan: it is not
    up: bool = False
    used: float = 0.0  # when something was last to be sent
    spoke: float = 0.0  # when it was last heard...
    asked: float = math.inf  # ...and the first moment since at which something was sent to it
    questioned: bool = False  # it was asked for a sign of life since then


class Links:
    """All neighbours of one member, by address."""

    def __init__(self, policy: LinkPolicy, seed: int) -> None:
        policy.check()
        self.policy = policy
        self.neighbours: dict[str, Neighbour] = {}
        self._rng = Random(seed)
        self._tokens = policy.burst
        self._filled = -math.inf
        self._looked = math.inf
        self.refused = 0  # messages to more neighbours than there may be
        self.ended = {"silent": 0, "idle": 0}

    def put(self, now: float, address: str, kind: Kind, data: bytes) -> Neighbour | None:
        """A message for an address; None where there are too many neighbours."""
        one = self.neighbours.get(address)
        if one is None:
            if len(self.neighbours) >= self.policy.most and not self._make_room():
                self.refused += 1
                return None
            one = self.neighbours[address] = Neighbour(Outbox(self.policy))
        one.used = now
        one.outbox.put(now, kind, data)
        return one

    def _make_room(self) -> bool:
        down = [address for address, one in self.neighbours.items() if not one.up and math.isnan(one.dialling)]
        if not down:
            return False
        del self.neighbours[min(down, key=lambda address: self.neighbours[address].used)]
        return True

    # ---- dialling ------------------------------------------------------------------------

    def dials(self, now: float) -> list[str]:
        """Addresses to dial now."""
        policy = self.policy
        if math.isfinite(self._filled):
            self._tokens = min(policy.burst, self._tokens + policy.dials * max(0.0, now - self._filled))
        self._filled = now
        due = [
            (one.dial_at, address)
            for address, one in self.neighbours.items()
            if not one.up and math.isnan(one.dialling) and one.outbox.count and now >= one.dial_at
        ]
        chosen = [address for _, address in sorted(due)[: int(self._tokens)]]
        for address in chosen:
            self._tokens -= 1.0
            self.neighbours[address].dialling = now
        return chosen

    def is_up(self, now: float, address: str) -> Neighbour:
        """A link to it is up, whoever dialled it."""
        one = self.neighbours.get(address)
        if one is None:
            one = self.neighbours[address] = Neighbour(Outbox(self.policy))
        one.up, one.dialling, one.failed = True, math.nan, 0
        one.spoke, one.asked, one.questioned, one.used = now, math.inf, False, now
        return one

    def failed(self, now: float, address: str) -> None:
        """A dial came to nothing, or a link has ended."""
        one = self.neighbours.get(address)
        if one is None:
            return
        one.up, one.dialling = False, math.nan
        longest = min(self.policy.again_to, self.policy.again_from * 2.0 ** min(one.failed, 16))
        one.failed += 1
        one.dial_at = now + longest * self._rng.uniform(0.1, 1.0)

    # ---- links that are up ---------------------------------------------------------------

    def sent(self, now: float, address: str) -> None:
        """Something was written to it."""
        one = self.neighbours[address]
        one.asked = min(one.asked, now)

    def heard(self, now: float, address: str) -> None:
        """Something has come from it."""
        one = self.neighbours.get(address)
        if one is not None:
            one.spoke, one.asked, one.questioned = now, math.inf, False

    def questions(self, now: float) -> list[str]:
        """Links on which to ask for a sign of life now. To be called often, before `over`."""
        late, self._looked = now - self._looked, now
        found = []
        for address, one in self.neighbours.items():
            if late > PAUSE and math.isfinite(one.asked):
                one.asked = now  # what has come meanwhile is still unread
            if one.up and not one.questioned and now - one.asked >= self.policy.silent / 3.0:
                one.questioned = True
                found.append(address)
        return found

    def over(self, now: float) -> list[tuple[str, str]]:
        """Links to end now, and why; each is to be followed by `failed`."""
        found = []
        for address, one in self.neighbours.items():
            if one.up and now - one.asked >= self.policy.silent:
                found.append((address, "silent"))
            elif one.up and now - max(one.used, one.spoke) >= self.policy.idle:
                found.append((address, "idle"))
        for _, why in found:
            self.ended[why] += 1
        return found

    def view(self, now: float) -> list[dict[str, object]]:
        """All neighbours for operators, by address."""
        return [
            {
                "address": address,
                "up": one.up,
                "failed": one.failed,
                "waiting": one.outbox.count,
                "waiting_bytes": one.outbox.bytes,
                "late": one.outbox.late,
                "dropped": {kind.name.lower(): one.outbox.dropped[kind] for kind in Kind if one.outbox.dropped[kind]},
                "silent_for": round(now - one.spoke, 2) if one.up else None,
            }
            for address, one in sorted(self.neighbours.items())
        ]


@dataclass(frozen=True, slots=True)
class End:
    """One end of a link, as the other sees it."""

    name: str
    life: int
    dialled: bool = field(default=False)  # by this member, not by the other


def stays(me: str, old: End, new: End) -> bool:
    """Whether the newer of two links to one neighbour stays, and not the older."""
    if old.life != new.life or old.dialled is new.dialled:
        return True  # the older one's process, or its connection, is gone
    return new.dialled is (me < new.name)
