"""A map that is replicated to all members of a fleet, such as the bans that operators give. Sans I/O.

An *entry* is a key, a value and a stamp; of two entries for one key the one with the greater stamp wins (last
writer wins), so members that have received the same entries hold the same map, in whatever order they came. Stamps
are hybrid logical clocks (Kulkarni et al., OPODIS 2014): the wall clock's milliseconds, or the greatest stamp seen
if that is later, with a counter, and then the member's name. A member that has seen an entry therefore writes above
it, even if its clock was set back by an hour; where neither writer had seen the other's entry, as on the two sides
of a partition, the later one by the wall clock wins. An entry whose stamp is further ahead than `ahead` is refused,
so that one wrong clock does not overwrite all others for years.

Dissemination. A new entry is sent with each gossip round to some members, `spread` times the logarithm of their
number. That reaches nearly all; the rest is found by comparison: now and then two members exchange digests of their
maps, and if these differ, all entries. That is also how both sides agree after a partition has healed.

| received                                | effect                                                  |
| --------------------------------------- | ------------------------------------------------------- |
| a greater stamp than the stored one     | the entry is stored, returned to the caller, and spread |
| the same stamp, or a lesser one         | none                                                    |
| a stamp that is too far ahead           | none; it is counted                                     |
| a digest that differs                   | all entries are sent in pages; the sender's are asked   |
|                                         | for                                                     |

Bounds: `most` entries. A tombstone (TOMBSTONE, the value of a deleted key) is kept until it is `remember` seconds old
by its stamp, so that it outlives every member that has not received it; then it is removed, and a member that has
removed it does not accept it again. An entry for which there is no room is refused and counted: no live entry is
dropped for it.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from random import Random

from weldroute.checks import check_numbers

TOMBSTONE = ""  # the value of a deleted key
Stamp = tuple[int, int, str]  # milliseconds of Unix time, a counter, and the writer's name; compared in this order


@dataclass(frozen=True, slots=True)
class ReplicationPolicy:
    """Limits and intervals of replication; times in seconds."""

    gossip: float = 0.1  # between gossip rounds, while there are entries to spread
    fanout: int = 3  # members that receive one gossip round
    riding: int = 16  # entries in one gossip message
    spread: float = 3.0  # times the logarithm of the number of members: how often each entry is sent
    compare: float = 5.0  # between digests, each sent to one other member
    page: int = 128  # entries in one message of a full exchange
    ahead: float = 86400.0  # by which a stamp may be ahead of the wall clock
    remember: float = 86400.0  # for which tombstones are kept
    most: int = 4096  # entries
    longest: int = 256  # characters of a key, and of a value

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        check_numbers(self)


@dataclass(frozen=True, slots=True)
class MapEntry:
    """One key with its value and the stamp of the write."""

    key: str
    value: str
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class News:
    """Some entries, by gossip or as one page of all in answer to a digest."""

    fleet: str
    sender: str
    facts: tuple[MapEntry, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """The digest of the sender's map."""

    fleet: str
    sender: str
    value: int
    asks: bool  # for the receiver's digest in return, so that the sender answers with its entries if they differ


Message = News | Digest


@dataclass(slots=True)
class StoredEntry:
    """An entry and the state of its dissemination."""

    entry: MapEntry
    stored_at: float
    sends_left: int  # -1: not sent yet


class ReplicatedMap:
    """One member's copy of the map."""

    def __init__(self, policy: ReplicationPolicy, fleet: str, name: str, seed: int) -> None:
        """Raises ValueError for an invalid policy."""
        policy.check()
        self.policy = policy
        self._fleet = fleet
        self._name = name
        self._rng = Random(seed)
        self._entries: dict[str, StoredEntry] = {}
        self._clock: tuple[int, int] = (0, 0)  # time and counter of the greatest stamp seen
        self._digest = 0  # of all entries: the exclusive or of their own digests
        self._to_spread: dict[str, None] = {}  # keys, oldest first
        self._next_gossip = -math.inf
        self._next_compare = -math.inf
        self.refused = {"ahead": 0, "room": 0, "long": 0}

    # ---- queries -------------------------------------------------------------------------

    def get(self, key: str) -> str | None:
        """The value of a key; None if it was never written or is deleted."""
        stored = self._entries.get(key)
        return stored.entry.value if stored is not None and stored.entry.value != TOMBSTONE else None

    def keys(self, prefix: str = "") -> list[str]:
        """All keys with this prefix that are not deleted."""
        return sorted(
            key for key, stored in self._entries.items() if key.startswith(prefix) and stored.entry.value != TOMBSTONE
        )

    def presence(self, prefix: str) -> dict[str, bool]:
        """All keys with this prefix, without it, and whether they have a value (False: deleted)."""
        return {
            key[len(prefix) :]: stored.entry.value != TOMBSTONE
            for key, stored in self._entries.items()
            if key.startswith(prefix)
        }

    def view(self, now: float) -> list[dict[str, object]]:
        """All entries for operators, with tombstones: the writer, and how many seconds ago the entry arrived here."""
        return [
            {
                "key": key,
                "value": stored.entry.value or None,
                "by": stored.entry.stamp[2],
                "at": stored.entry.stamp[0] / 1000.0,
                "since": round(now - stored.stored_at, 2),
            }
            for key, stored in sorted(self._entries.items())
        ]

    # ---- writes and received messages ----------------------------------------------------

    def write(self, now: float, wall: float, key: str, value: str) -> MapEntry | None:
        """Set a key (TOMBSTONE deletes it); None if there is no room. `wall`: Unix time in seconds."""
        milliseconds = int(wall * 1000.0)
        time, count = self._clock
        stamp = (milliseconds, 0) if milliseconds > time else (time, count + 1)
        entry = MapEntry(key, value, (*stamp, self._name))
        return entry if self._store(now, entry) else None

    def on_message(self, now: float, wall: float, message: Message) -> tuple[list[MapEntry], list[Message]]:
        """Handle a message; return the entries that it changed here, and the answers to send to the sender."""
        if message.fleet != self._fleet:
            return [], []
        if isinstance(message, News):
            return [entry for entry in message.facts if self._merge(now, wall, entry)], []
        if message.value == self._digest:
            return [], []
        answers: list[Message] = list(self._all_entries())
        if message.asks:
            answers.append(Digest(self._fleet, self._name, self._digest, False))
        return [], answers

    def _merge(self, now: float, wall: float, entry: MapEntry) -> bool:
        if entry.stamp[0] > (wall + self.policy.ahead) * 1000.0:
            self.refused["ahead"] += 1
            return False
        stored = self._entries.get(entry.key)
        if stored is not None and stored.entry.stamp >= entry.stamp:
            return False
        if stored is None and self._is_expired_tombstone(wall, entry):
            return False
        return self._store(now, entry)

    def _is_expired_tombstone(self, wall: float, entry: MapEntry) -> bool:
        return entry.value == TOMBSTONE and entry.stamp[0] < (wall - self.policy.remember) * 1000.0

    def _store(self, now: float, entry: MapEntry) -> bool:
        policy, stored = self.policy, self._entries.get(entry.key)
        if max(len(entry.key), len(entry.value)) > policy.longest:
            self.refused["long"] += 1
            return False
        if stored is None and len(self._entries) >= policy.most and not self._evict_tombstone():
            self.refused["room"] += 1
            return False
        if stored is not None:
            self._digest ^= _entry_digest(stored.entry)
        self._digest ^= _entry_digest(entry)
        self._entries[entry.key] = StoredEntry(entry, now, -1)
        self._to_spread[entry.key] = None
        self._clock = max(self._clock, entry.stamp[:2])
        return True

    def _evict_tombstone(self) -> bool:
        """Make room by removing the oldest tombstone; False if there is none."""
        tombstones = [stored for stored in self._entries.values() if stored.entry.value == TOMBSTONE]
        if not tombstones:
            return False
        self._remove(min(tombstones, key=lambda stored: stored.stored_at))
        return True

    def _remove(self, stored: StoredEntry) -> None:
        del self._entries[stored.entry.key]
        self._to_spread.pop(stored.entry.key, None)
        self._digest ^= _entry_digest(stored.entry)

    # ---- dissemination -------------------------------------------------------------------

    def next_due(self) -> float:
        """The time at which `tick` is due next."""
        return min(self._next_compare, self._next_gossip) if self._to_spread else self._next_compare

    def tick(self, now: float, wall: float, others: Sequence[str]) -> list[tuple[str, Message]]:
        """Do what is due; return (address, message) pairs to send. `others`: addresses of the living members."""
        messages: list[tuple[str, Message]] = []
        if self._to_spread and others and now >= self._next_gossip:
            self._next_gossip = now + self.policy.gossip
            messages += self._gossip(others)
        if others and now >= self._next_compare:  # without others it stays due, for the first that appears
            self._next_compare = now + self.policy.compare * self._rng.uniform(0.5, 1.0)
            for stored in [
                candidate for candidate in self._entries.values() if self._is_expired_tombstone(wall, candidate.entry)
            ]:
                self._remove(stored)
            messages.append((self._rng.choice(others), Digest(self._fleet, self._name, self._digest, True)))
        return messages

    def _gossip(self, others: Sequence[str]) -> list[tuple[str, Message]]:
        transmissions = math.ceil(self.policy.spread * math.log2(len(others) + 2))
        news = [self._entries[key] for key in list(self._to_spread)[: self.policy.riding]]
        targets = self._rng.sample(others, min(self.policy.fanout, len(others)))
        for stored in news:
            stored.sends_left = (transmissions if stored.sends_left < 0 else stored.sends_left) - len(targets)
            if stored.sends_left <= 0:
                del self._to_spread[stored.entry.key]
        message = News(self._fleet, self._name, tuple(stored.entry for stored in news))
        return [(address, message) for address in targets]

    def _all_entries(self) -> Iterable[News]:
        entries = [stored.entry for stored in self._entries.values()]
        for start in range(0, len(entries), self.policy.page):
            yield News(self._fleet, self._name, tuple(entries[start : start + self.policy.page]))


def _entry_digest(entry: MapEntry) -> int:
    """A 63-bit digest of an entry; combined by exclusive or, the digests of a set are the same in any order."""
    text = "\0".join((entry.key, entry.value, *map(str, entry.stamp)))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big") >> 1
