"""Facts are the same at all members in the end, whatever was lost, cut, or wrong with clocks."""

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
    """Members that hear each other in steps of 20 ms, some messages lost, with wall clocks of their own."""

    def __init__(self, count: int, seed: int = 1, loss: float = 0.0, policy: ReplicationPolicy = POLICY) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.ones = {f"m{i}": ReplicatedMap(policy, "f", f"m{i}", seed + i) for i in range(count)}
        self.wall = {name: 1.7e9 + self.rng.uniform(-0.05, 0.05) for name in self.ones}
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.under_way: list[tuple[str, str, Message]] = []
        self.sent = 0
        self.heard: list[tuple[float, str, MapEntry]] = []

    def write(self, name: str, key: str, value: str) -> MapEntry | None:
        return self.ones[name].write(self.now, self.wall[name] + self.now, key, value)

    def send(self, sender: str, to: str, message: Message) -> None:
        self.sent += 1
        if self.rng.random() >= self.loss and not self.cut(sender, to):
            self.under_way.append((sender, to, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.02
            coming, self.under_way = self.under_way, []
            self.rng.shuffle(coming)
            for sender, to, message in coming:
                new, answers = self.ones[to].on_message(self.now, self.wall[to] + self.now, message)
                self.heard += [(self.now, to, fact) for fact in new]
                for answer in answers:
                    self.send(to, sender, answer)
            for name, one in self.ones.items():
                others = [other for other in self.ones if other != name and not self.cut(name, other)]
                for to, message in one.tick(self.now, self.wall[name] + self.now, others):
                    self.send(name, to, message)

    def values(self, key: str) -> set[str | None]:
        return {one.get(key) for one in self.ones.values()}


@pytest.mark.parametrize(
    ("count", "loss", "within"), [(2, 0.0, 0.3), (24, 0.0, 1.0), (100, 0.0, 1.5), (24, 0.3, 30.0)]
)
def test_what_is_said_to_one_holds_at_all_soon_and_then_nothing_more_is_sent_for_it(
    count: int, loss: float, within: float
) -> None:
    world = World(count, loss=loss)
    world.run(1.0)
    world.write("m1", "ban:s-7", "operators")
    world.run(within)
    assert world.values("ban:s-7") == {"operators"}
    world.run(20.0)
    before = world.sent
    world.run(10.0)
    assert world.sent - before <= 10.0 * count / (0.5 * POLICY.compare) + count, "digests alone"


def halves(a: str, b: str) -> bool:
    return (int(a[1:]) < 3) is not (int(b[1:]) < 3)


def test_on_and_off_on_two_sides_of_a_cut_end_as_the_later_one_everywhere() -> None:
    world = World(6)
    world.write("m0", "ban:s-1", "operators")
    world.run(2.0)
    world.cut = halves
    world.write("m1", "ban:s-2", "operators")
    world.run(2.0)
    world.write("m4", "ban:s-1", TOMBSTONE)
    world.run(1.0)
    world.write("m2", "ban:s-1", "again")
    world.run(8.0)
    assert world.ones["m5"].get("ban:s-1") is None and world.ones["m0"].get("ban:s-1") == "again"
    assert world.ones["m5"].get("ban:s-2") is None
    world.cut = lambda a, b: False
    world.run(12.0)
    assert world.values("ban:s-1") == {"again"} and world.values("ban:s-2") == {"operators"}
    assert world.ones["m5"].keys("ban:") == ["ban:s-1", "ban:s-2"]


def test_one_whose_clock_was_set_back_by_an_hour_writes_above_what_it_has_seen() -> None:
    world = World(4)
    world.write("m0", "ban:s-1", "operators")
    world.run(1.0)
    world.wall["m2"] -= 3600.0
    world.write("m2", "ban:s-1", TOMBSTONE)
    world.run(1.0)
    assert world.values("ban:s-1") == {None}


def test_a_clock_that_is_years_ahead_is_not_believed_and_is_told() -> None:
    world = World(4)
    world.wall["m2"] += 1e8
    world.write("m2", "ban:s-1", "operators")
    world.run(10.0)
    assert world.ones["m0"].get("ban:s-1") is None and world.ones["m0"].refused["ahead"] > 0
    world.write("m0", "ban:s-2", "operators")
    assert world.ones["m0"]._clock[0] < 1.8e12, "and its own clock is not carried along"


def test_one_that_lost_all_has_it_again_from_whomever_it_compares_with() -> None:
    world = World(6)
    for i in range(300):
        world.write(f"m{i % 6}", f"k{i}", "v")
    world.run(12.0)
    world.ones["m3"] = ReplicatedMap(POLICY, "f", "m3", 99)
    world.run(12.0)
    assert len(world.ones["m3"].keys()) == 300 and len({one._digest for one in world.ones.values()}) == 1


def test_what_is_over_outlives_who_has_not_heard_of_it_and_is_forgotten_then() -> None:
    world = World(3, policy=replace(POLICY, remember=30.0))
    world.write("m0", "k", "v")
    world.run(1.0)
    world.cut = lambda a, b: "m2" in (a, b)
    world.write("m0", "k", TOMBSTONE)
    world.run(10.0)
    assert world.ones["m2"].get("k") == "v"
    world.cut = lambda a, b: False
    world.run(12.0)
    assert world.values("k") == {None}
    world.run(60.0)
    assert [one.view(world.now) for one in world.ones.values()] == [[], [], []]


@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.text(max_size=3)), max_size=25), st.randoms())
def test_whoever_has_heard_the_same_holds_the_same(writes: list[tuple[int, int, str]], rng: Random) -> None:
    """And the digest of the same is the same."""
    writers = [ReplicatedMap(POLICY, "f", f"m{i}", i) for i in range(3)]
    said = [writers[who].write(0.0, 1000.0 + rng.random(), f"k{key}", value) for who, key, value in writes]
    ends = []
    for _ in range(2):
        one = ReplicatedMap(POLICY, "f", "x", 1)
        rng.shuffle(said)
        for fact in said:
            assert fact is not None
            one.on_message(0.0, 1000.0, News("f", "m0", (fact, fact)))
        ends.append(({key: one._entries[key].entry for key in one._entries}, one._digest))
    assert ends[0] == ends[1]


@pytest.mark.parametrize("seed", range(30))
def test_drawn_worlds_of_writes_losses_cuts_and_bad_clocks_end_alike(seed: int) -> None:
    world = World(6, seed, loss=0.2)
    rng = Random(seed)
    for _ in range(30):
        deed = rng.random()
        name = f"m{rng.randrange(6)}"
        if deed < 0.6:
            world.write(name, f"k{rng.randrange(5)}", rng.choice(("a", "b", TOMBSTONE)))
        elif deed < 0.75:
            world.cut = rng.choice((halves, lambda a, b: False, lambda a, b, n=name: n in (a, b)))
        elif deed < 0.9:
            world.wall[name] += rng.choice((-3600.0, 3600.0, 1.0))
        else:
            world.ones[name] = ReplicatedMap(POLICY, "f", name, seed)
        world.run(rng.uniform(0.0, 1.0))
    world.cut, world.loss = (lambda a, b: False), 0.0
    world.run(25.0)
    assert len({one._digest for one in world.ones.values()}) == 1
    assert all(len(world.values(f"k{i}")) == 1 for i in range(5))


def test_bounds_hold_and_nothing_that_holds_is_dropped_for_more() -> None:
    one = ReplicatedMap(replace(POLICY, most=3, longest=8), "f", "a", 1)
    for key in ("a", "b", "c"):
        assert one.write(0.0, 1.0, key, "v")
    assert one.write(0.0, 1.0, "d", "v") is None and one.refused["room"] == 1
    assert one.write(0.0, 1.0, "k" * 9, "v") is None and one.refused["long"] == 1
    one.write(1.0, 1.0, "b", TOMBSTONE)
    assert one.write(0.0, 1.0, "d", "v") and one.keys() == ["a", "c", "d"]
    assert one.on_message(0.0, 1.0, News("g", "x", (MapEntry("e", "v", (9, 0, "x")),))) == ([], [])


def test_a_digest_that_is_the_same_is_not_answered() -> None:
    one, other = (ReplicatedMap(POLICY, "f", name, 1) for name in "ab")
    fact = one.write(0.0, 1.0, "k", "v")
    assert fact is not None
    assert one.on_message(0.0, 1.0, Digest("f", "b", 0, True))[1][-1] == Digest("f", "a", one._digest, False)
    other.on_message(0.0, 1.0, News("f", "a", (fact,)))
    assert one.on_message(0.0, 1.0, Digest("f", "b", other._digest, True)) == ([], [])


# ---- planted defects -----------------------------------------------------------------------


def test_a_writer_that_does_not_go_above_what_it_has_seen_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    write = ReplicatedMap.write

    def plain(self: ReplicatedMap, now: float, wall: float, key: str, value: str) -> MapEntry | None:
        self._clock = (0, 0)
        return write(self, now, wall, key, value)

    monkeypatch.setattr(replicated_map.ReplicatedMap, "write", plain)
    with pytest.raises(AssertionError):
        test_one_whose_clock_was_set_back_by_an_hour_writes_above_what_it_has_seen()


def test_members_that_do_not_compare_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = ReplicatedMap.on_message

    def deaf(self: ReplicatedMap, now: float, wall: float, message: Message) -> tuple[list[MapEntry], list[Message]]:
        return ([], []) if isinstance(message, Digest) else hear(self, now, wall, message)

    monkeypatch.setattr(replicated_map.ReplicatedMap, "on_message", deaf)
    with pytest.raises(AssertionError):
        test_on_and_off_on_two_sides_of_a_cut_end_as_the_later_one_everywhere()


@pytest.mark.parametrize(("name", "value"), [("gossip", 0.0), ("most", -1), ("ahead", float("inf"))])
def test_a_policy_that_makes_no_sense_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        replace(POLICY, **{name: value}).check()  # type: ignore[arg-type]
