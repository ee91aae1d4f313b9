"""The replicated map converges at all members despite message loss, partitions and wrong clocks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute import replicated_map
from weldroute.replicated_map import TOMBSTONE, Digest, MapEntry, Message, News, ReplicatedMap, ReplicationPolicy

POLICY = ReplicationPolicy()


class World:
    """Members that exchange messages in steps of 20 ms, with message loss and wall clocks of their own."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0, policy: ReplicationPolicy = POLICY) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.maps = {f"m{i}": ReplicatedMap(policy, "f", f"m{i}", seed + i) for i in range(count)}
        self.wall = {name: 1.7e9 + self.rng.uniform(-0.05, 0.05) for name in self.maps}
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.in_flight: list[tuple[str, str, Message]] = []
        self.sent = 0
        self.changes: list[tuple[float, str, MapEntry]] = []

    def write(self, name: str, key: str, value: str) -> MapEntry | None:
        return self.maps[name].write(self.now, self.wall[name] + self.now, key, value)

    def send(self, sender: str, to: str, message: Message) -> None:
        self.sent += 1
        if self.rng.random() >= self.loss and not self.cut(sender, to):
            self.in_flight.append((sender, to, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            arriving, self.in_flight = self.in_flight, []
            self.rng.shuffle(arriving)
            for sender, to, message in arriving:
                changed, answers = self.maps[to].on_message(self.now, self.wall[to] + self.now, message)
                self.changes += [(self.now, to, entry) for entry in changed]
                for answer in answers:
                    self.send(to, sender, answer)
            for name, replica in self.maps.items():
                others = [other for other in self.maps if other != name and not self.cut(name, other)]
                for to, message in replica.tick(self.now, self.wall[name] + self.now, others):
                    self.send(name, to, message)

    def values(self, key: str) -> set[str | None]:
        return {replica.get(key) for replica in self.maps.values()}


@pytest.mark.parametrize(
    ("count", "loss", "within"), [(2, 0.0, 0.3), (24, 0.0, 1.0), (100, 0.0, 1.5), (24, 0.3, 30.0)]
)
def test_write_reaches_all_members_and_then_only_digests_are_sent(count: int, loss: float, within: float) -> None:
    world = World(count, loss=loss)
    world.run(1.0)
    world.write("m1", "ban:s-7", "operators")
    world.run(within)
    assert world.values("ban:s-7") == {"operators"}
    world.run(20.0)
    before = world.sent
    world.run(10.0)
    assert world.sent - before <= 10.0 * count / (0.5 * POLICY.compare) + count, "only digests are sent"


def crosses_halves(a: str, b: str) -> bool:
    return (int(a[1:]) < 3) is not (int(b[1:]) < 3)


def test_conflicting_writes_on_two_sides_of_a_partition_end_as_the_later_one() -> None:
    world = World(6)
    world.write("m0", "ban:s-1", "operators")
    world.run(2.0)
    world.cut = crosses_halves
    world.write("m1", "ban:s-2", "operators")
    world.run(2.0)
    world.write("m4", "ban:s-1", TOMBSTONE)
    world.run(1.0)
    world.write("m2", "ban:s-1", "again")
    world.run(8.0)
    assert world.maps["m5"].get("ban:s-1") is None and world.maps["m0"].get("ban:s-1") == "again"
    assert world.maps["m5"].get("ban:s-2") is None
    world.cut = lambda a, b: False
    world.run(12.0)
    assert world.values("ban:s-1") == {"again"} and world.values("ban:s-2") == {"operators"}
    assert world.maps["m5"].keys("ban:") == ["ban:s-1", "ban:s-2"]


def test_writer_whose_clock_was_set_back_by_an_hour_still_wins_over_what_it_has_seen() -> None:
    world = World(4)
    world.write("m0", "ban:s-1", "operators")
    world.run(1.0)
    world.wall["m2"] -= 3600.0
    world.write("m2", "ban:s-1", TOMBSTONE)
    world.run(1.0)
    assert world.values("ban:s-1") == {None}


def test_write_stamped_years_ahead_is_refused_and_counted() -> None:
    world = World(4)
    world.wall["m2"] += 1e8
    world.write("m2", "ban:s-1", "operators")
    world.run(10.0)
    assert world.maps["m0"].get("ban:s-1") is None and world.maps["m0"].refused["ahead"] > 0
    world.write("m0", "ban:s-2", "operators")
    assert world.maps["m0"]._clock[0] < 1.8e12, "the clock of the refusing member does not follow"


def test_member_that_lost_its_map_recovers_it_by_comparison() -> None:
    world = World(6)
    for i in range(300):
        world.write(f"m{i % 6}", f"k{i}", "v")
    world.run(12.0)
    world.maps["m3"] = ReplicatedMap(POLICY, "f", "m3", 99)
    world.run(12.0)
    assert len(world.maps["m3"].keys()) == 300 and len({replica._digest for replica in world.maps.values()}) == 1


def test_tombstone_outlives_a_partition_and_is_removed_after_its_retention_time() -> None:
    world = World(3, policy=replace(POLICY, remember=30.0))
    world.write("m0", "k", "v")
    world.run(1.0)
    world.cut = lambda a, b: "m2" in (a, b)
    world.write("m0", "k", TOMBSTONE)
    world.run(10.0)
    assert world.maps["m2"].get("k") == "v"
    world.cut = lambda a, b: False
    world.run(12.0)
    assert world.values("k") == {None}
    world.run(60.0)
    assert [replica.view(world.now) for replica in world.maps.values()] == [[], [], []]


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.text(max_size=3)), max_size=25), st.randoms())
def test_members_that_received_the_same_entries_hold_the_same_map(
    writes: list[tuple[int, int, str]], rng: Random
) -> None:
    """Their digests are equal as well."""
    writers = [ReplicatedMap(POLICY, "f", f"m{i}", i) for i in range(3)]
    entries = [writers[writer].write(0.0, 1000.0 + rng.random(), f"k{key}", value) for writer, key, value in writes]
    results = []
    for _ in range(2):
        replica = ReplicatedMap(POLICY, "f", "x", 1)
        rng.shuffle(entries)
        for entry in entries:
            assert entry is not None
            replica.on_message(0.0, 1000.0, News("f", "m0", (entry, entry)))
        results.append(({key: replica._entries[key].entry for key in replica._entries}, replica._digest))
    assert results[0] == results[1]


@pytest.mark.parametrize("seed", range(30))
def test_random_worlds_with_loss_partitions_and_wrong_clocks_converge(seed: int) -> None:
    world = World(6, seed, loss=0.2)
    rng = Random(seed)
    for _ in range(30):
        draw = rng.random()
        name = f"m{rng.randrange(6)}"
        if draw < 0.6:
            world.write(name, f"k{rng.randrange(5)}", rng.choice(("a", "b", TOMBSTONE)))
        elif draw < 0.75:
            world.cut = rng.choice((crosses_halves, lambda a, b: False, lambda a, b, n=name: n in (a, b)))
        elif draw < 0.9:
            world.wall[name] += rng.choice((-3600.0, 3600.0, 1.0))
        else:
            world.maps[name] = ReplicatedMap(POLICY, "f", name, seed)
        world.run(rng.uniform(0.0, 1.0))
    world.cut, world.loss = (lambda a, b: False), 0.0
    world.run(25.0)
    assert len({replica._digest for replica in world.maps.values()}) == 1
    assert all(len(world.values(f"k{i}")) == 1 for i in range(5))


def test_entries_are_bounded_and_no_live_entry_is_dropped_for_a_new_one() -> None:
    replica = ReplicatedMap(replace(POLICY, most=3, longest=8), "f", "a", 1)
    for key in ("a", "b", "c"):
        assert replica.write(0.0, 1.0, key, "v")
    assert replica.write(0.0, 1.0, "d", "v") is None and replica.refused["room"] == 1
    assert replica.write(0.0, 1.0, "k" * 9, "v") is None and replica.refused["long"] == 1
    replica.write(1.0, 1.0, "b", TOMBSTONE)
    assert replica.write(0.0, 1.0, "d", "v") and replica.keys() == ["a", "c", "d"]
    assert replica.on_message(0.0, 1.0, News("g", "x", (MapEntry("e", "v", (9, 0, "x")),))) == ([], [])


def test_equal_digest_is_not_answered() -> None:
    first, second = (ReplicatedMap(POLICY, "f", name, 1) for name in "ab")
    entry = first.write(0.0, 1.0, "k", "v")
    assert entry is not None
    assert first.on_message(0.0, 1.0, Digest("f", "b", 0, True))[1][-1] == Digest("f", "a", first._digest, False)
    second.on_message(0.0, 1.0, News("f", "a", (entry,)))
    assert first.on_message(0.0, 1.0, Digest("f", "b", second._digest, True)) == ([], [])


# ---- planted defects -----------------------------------------------------------------------


def test_detects_writer_that_ignores_the_stamps_it_has_seen(monkeypatch: pytest.MonkeyPatch) -> None:
    write = ReplicatedMap.write

    def write_with_reset_clock(self: ReplicatedMap, now: float, wall: float, key: str, value: str) -> MapEntry | None:
        self._clock = (0, 0)
        return write(self, now, wall, key, value)

    monkeypatch.setattr(replicated_map.ReplicatedMap, "write", write_with_reset_clock)
    with pytest.raises(AssertionError):
        test_writer_whose_clock_was_set_back_by_an_hour_still_wins_over_what_it_has_seen()


def test_detects_missing_comparison(monkeypatch: pytest.MonkeyPatch) -> None:
    on_message = ReplicatedMap.on_message

    def ignore_digests(
        self: ReplicatedMap, now: float, wall: float, message: Message
    ) -> tuple[list[MapEntry], list[Message]]:
        return ([], []) if isinstance(message, Digest) else on_message(self, now, wall, message)

    monkeypatch.setattr(replicated_map.ReplicatedMap, "on_message", ignore_digests)
    with pytest.raises(AssertionError):
        test_conflicting_writes_on_two_sides_of_a_partition_end_as_the_later_one()


@pytest.mark.parametrize(("name", "value"), [("gossip", 0.0), ("most", -1), ("ahead", float("inf"))])
def test_invalid_policy_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        replace(POLICY, **{name: value}).check()  # type: ignore[arg-type]
