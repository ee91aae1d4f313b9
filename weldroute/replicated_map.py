"""What all members of a fleet must know, such as a ban that operators gave: spread, and the same at all in the end.

Sans I/O. A *fact* is a key, a value and a stamp; of two for one key the one with the greater stamp holds (last
writer wins), so members that have heard the same hold the same, in whatever order it came. Stamps are hybrid logical
clocks (Kulkarni et al., OPODIS 2014): the wall clock's milliseconds, or the greatest stamp seen if that is later,
with a count, and then the member's name. So whoever has seen a fact writes above it, also with a clock that was set
back by an hour, and what was written last by the wall clock holds where nobody had seen the other's, as on the two
sides of a cut. A stamp that is further ahead than `ahead` is not believed: one clock must not outwrite all others
for years.

Spread. A fact that is new here goes out with each round of news to some members, `spread` times the logarithm of
their number. That finds nearly all; the rest is found by comparing: now and then two members exchange digests of all
that they hold, and where those differ, all of it. After a cut heals that is how both sides come to the same.

| what is heard                           | what follows                                             |
| --------------------------------------- | -------------------------------------------------------- |
| a greater stamp than is held            | it holds from here on, is told to who asked, and spreads |
| the same, or a lesser one               | nothing                                                  |
| a stamp that is too far ahead           | nothing; it is counted                                   |
| a digest that differs                   | all facts, in pages; asked for the same                  |

Bounds: `most` facts; a value that says that something is over (OVER) is kept until it is `remember` seconds old by
its stamp, so that it outlives whoever has not heard of it; then it is forgotten, and nobody who has forgotten it
takes it again. A fact that finds no room is not taken, which is counted: nothing that holds is dropped for it."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from weldroute.checks import check_numbers

TOMBSTONE = ""  # the value of what holds no more
Stamp = tuple[int, int, str]  # milliseconds of Unix time, a count, and who wrote it; compared in this order


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Times in seconds."""

    gossip: float = 0.1  # between rounds of news, while there are any...
    fanout: int = 3  # ...each to so many
    riding: int = 16  # facts in one message
    spread: float = 3.0  # times the logarithm of the members that each is sent
    compare: float = 5.0  # between digests, each with one other
    page: int = 128  # facts in one message of all
    ahead: float = 86400.0
    remember: float = 86400.0
    most: int = 4096
    longest: int = 256  # characters of a key, and of a value

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self)


@dataclass(frozen=True, slots=True)
class MapEntry:
    """Something that holds."""

    key: str
    value: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class News:
    """Some facts; `all` of them, in answer to a digest."""

    fleet: str
    sender: str
    facts: tuple[MapEntry, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """Of all that one holds."""

    fleet: str
    sender: str
    value: int
    asks: bool  # for all that the other holds, if that differs


Message = News | Digest


@dataclass(slots=True)
class StoredEntry:
    """A fact, and what is done with it."""

    entry: MapEntry
    stored_at: float  # when it came here
    sends_left: int  # times to send it yet


class ReplicatedMap:
    """What one member holds."""

    def __init__(self, policy: ReplicationPolicy, fleet: str, name: str, seed: int) -> None:
        policy.check()
        self.policy = policy
        self._fleet = fleet
        self._name = name
        self._rng = Random(seed)
        self._entries: dict[str, StoredEntry] = {}
        self._clock: tuple[int, int] = (0, 0)  # the greatest stamp's time and count
        self._digest = 0  # of all that is held: the sum of each one's own
        self._to_spread: dict[str, None] = {}  # keys, in the order in which they came
        self._next_gossip = -math.inf
        self._next_compare = -math.inf
        self.refused = {"ahead": 0, "room": 0, "long": 0}

    # ---- what is held --------------------------------------------------------------------

    def get(self, key: str) -> str | None:
        """What holds; None for what was never said, or is over."""
        held = self._entries.get(key)
        return held.entry.value if held is not None and held.entry.value != TOMBSTONE else None

    def keys(self, prefix: str = "") -> list[str]:
        """Those of which something holds."""
        return sorted(
            key for key, held in self._entries.items() if key.startswith(prefix) and held.entry.value != TOMBSTONE
        )

    def presence(self, prefix: str) -> dict[str, bool]:
        """Whatever was said of keys that begin so, by the rest of the key: whether something holds."""
        return {
            key[len(prefix) :]: held.entry.value != TOMBSTONE
            for key, held in self._entries.items()
            if key.startswith(prefix)
        }

    def view(self, now: float) -> list[dict[str, object]]:
        """All for operators, what is over too: who wrote it, and how long ago it came here."""
        return [
            {
                "key": key,
                "value": held.entry.value or None,
                "by": held.entry.stamp[2],
                "at": held.entry.stamp[0] / 1000.0,
                "since": round(now - held.stored_at, 2),
            }
            for key, held in sorted(self._entries.items())
        ]

    # ---- writing and hearing -------------------------------------------------------------

    def write(self, now: float, wall: float, key: str, value: str) -> MapEntry | None:
        """Say something here (OVER: that it holds no more); None where there is no room. `wall`: Unix time."""
        milliseconds = int(wall * 1000.0)
        time, count = self._clock
        stamp = (milliseconds, 0) if milliseconds > time else (time, count + 1)
        fact = MapEntry(key, value, (*stamp, self._name))
        return fact if self._store(now, fact) else None

    def on_message(self, now: float, wall: float, message: Message) -> tuple[list[MapEntry], list[Message]]:
        """A message: the facts that hold from here on by it, and what to answer."""
        if message.fleet != self._fleet:
            return [], []
        if isinstance(message, News):
            return [fact for fact in message.facts if self._merge(now, wall, fact)], []
        if message.value == self._digest:
            return [], []
        answer: list[Message] = list(self._all_entries())
        if message.asks:
            answer.append(Digest(self._fleet, self._name, self._digest, False))
        return [], answer

    def _merge(self, now: float, wall: float, fact: MapEntry) -> bool:
        if fact.stamp[0] > (wall + self.policy.ahead) * 1000.0:
            self.refused["ahead"] += 1
            return False
        held = self._entries.get(fact.key)
        if held is not None and held.entry.stamp >= fact.stamp:
            return False
        if held is None and self._is_expired_tombstone(wall, fact):
            return False
        return self._store(now, fact)

    def _is_expired_tombstone(self, wall: float, fact: MapEntry) -> bool:
        """Over, and for long enough."""
        return fact.value == TOMBSTONE and fact.stamp[0] < (wall - self.policy.remember) * 1000.0

    def _store(self, now: float, fact: MapEntry) -> bool:
        policy, held = self.policy, self._entries.get(fact.key)
        if max(len(fact.key), len(fact.value)) > policy.longest:
            self.refused["long"] += 1
            return False
        if held is None and len(self._entries) >= policy.most and not self._evict_tombstone():
            self.refused["room"] += 1
            return False
        if held is not None:
            self._digest ^= _entry_digest(held.entry)
        self._digest ^= _entry_digest(fact)
        self._entries[fact.key] = StoredEntry(fact, now, -1)
        self._to_spread[fact.key] = None
        self._clock = max(self._clock, fact.stamp[:2])
        return True

    def _evict_tombstone(self) -> bool:
        """Forget the oldest of those that are over."""
        over = [held for held in self._entries.values() if held.entry.value == TOMBSTONE]
        if not over:
            return False
        self._remove(min(over, key=lambda held: held.stored_at))
        return True

    def _remove(self, held: StoredEntry) -> None:
        del self._entries[held.entry.key]
        self._to_spread.pop(held.entry.key, None)
        self._digest ^= _entry_digest(held.entry)

    # ---- spreading -----------------------------------------------------------------------

    def next_due(self) -> float:
        """When `look` has something to do next."""
        return min(self._next_compare, self._next_gossip) if self._to_spread else self._next_compare

    def tick(self, now: float, wall: float, others: Sequence[str]) -> list[tuple[str, Message]]:
        """Called when something is due, with the addresses of those that are alive; what to send to whom."""
        out: list[tuple[str, Message]] = []
        if self._to_spread and others and now >= self._next_gossip:
            self._next_gossip = now + self.policy.gossip
            out += self._gossip(others)
        if others and now >= self._next_compare:  # with nobody there, with the first who is
            self._next_compare = now + self.policy.compare * self._rng.uniform(0.5, 1.0)
            for held in [one for one in self._entries.values() if self._is_expired_tombstone(wall, one.entry)]:
                self._remove(held)
            out.append((self._rng.choice(others), Digest(self._fleet, self._name, self._digest, True)))
        return out

    def _gossip(self, others: Sequence[str]) -> list[tuple[str, Message]]:
        times = math.ceil(self.policy.spread * math.log2(len(others) + 2))
        news = [self._entries[key] for key in list(self._to_spread)[: self.policy.riding]]
        to = self._rng.sample(others, min(self.policy.fanout, len(others)))
        for held in news:
            held.sends_left = (times if held.sends_left < 0 else held.sends_left) - len(to)
            if held.sends_left <= 0:
                del self._to_spread[held.entry.key]
        message = News(self._fleet, self._name, tuple(held.entry for held in news))
        return [(address, message) for address in to]

    def _all_entries(self) -> Iterable[News]:
        facts = [held.entry for held in self._entries.values()]
        for at in range(0, len(facts), self.policy.page):
            yield News(self._fleet, self._name, tuple(facts[at : at + self.policy.page]))


def _entry_digest(fact: MapEntry) -> int:
    """63 bits of a fact; of a set of them all together (by exclusive or) it is the same in any order."""
    text = "\0".join((fact.key, fact.value, *map(str, fact.stamp)))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
