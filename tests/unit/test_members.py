"""Who is alive, in drawn worlds of many members: losses, cuts, stops, starts without state. Time is its own."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute import members
from weldroute.members import (
    Ack,
    Action,
    Gossip,
    MemberPolicy,
    MemberRecord,
    Membership,
    MemberState,
    Message,
    Ping,
    PingFor,
    Send,
    StateChange,
    Sync,
)

POLICY = MemberPolicy()
ALIVE, SUSPECT, DEAD, LEFT = MemberState


@dataclass
class World:
    """Machines with clocks of their own, and a network that loses, delays and cuts."""

    seed: int
    loss: float = 0.0
    delay: float = 0.002  # seconds on average
    policy: MemberPolicy = POLICY
    now: float = 0.0
    ones: dict[str, Membership] = field(default_factory=dict)  # by address
    stopped: dict[str, float] = field(default_factory=dict)  # until then
    cut: Callable[[str, str], bool] = lambda sender, to: False
    changes: list[tuple[float, str, StateChange]] = field(default_factory=list)  # when, who says so, what
    sent: dict[str, int] = field(default_factory=dict)  # messages by sender
    largest: int = 0  # news on one

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.clocks: dict[str, tuple[float, float]] = {}

    def at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), what))

    def clock(self, address: str) -> float:
        if address not in self.clocks:
            self.clocks[address] = 1e4 * self.rng.random(), 1.0 + 0.01 * self.rng.uniform(-1.0, 1.0)
        offset, rate = self.clocks[address]
        return offset + rate * self.now

    def start(self, name: str, seeds: Iterable[str], fleet: str = "f", address: str = "") -> Membership:
        address = address or f"{name}:1"
        one = Membership(
            self.policy, fleet, name, address, seeds, self.clock(address), self.rng.getrandbits(32), zone=name[:1]
        )
        self.ones[address] = one
        self.look(address, one)
        return one

    def fleet(self, count: int) -> list[str]:
        """So many that start at once, with one seed that is right and two that are nobody's; their addresses."""
        for i in range(count):
            self.start(f"m{i}", ["m0:1", "x:1", "y:1"])
        return list(self.ones)

    def look(self, address: str, one: Membership) -> None:
        if self.ones.get(address) is not one:
            return
        until = self.stopped.get(address, 0.0)
        if until > self.now:
            self.at(until + 0.001, lambda: self.look(address, one))
            return
        self.do(address, one.tick(self.clock(address)))
        wait = max(0.001, one.next_due() - self.clock(address))
        self.at(self.now + wait, lambda: self.look(address, one))

    def do(self, address: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(address, action.address, action.message)
            else:
                self.changes.append((self.now, self.ones[address].local.name, action))

    def send(self, sender: str, to: str, message: Message) -> None:
        self.sent[sender] = self.sent.get(sender, 0) + 1
        if isinstance(message, Ping | Ack | PingFor | Gossip):
            self.largest = max(self.largest, len(message.news))
        if self.rng.random() >= self.loss and not self.cut(sender, to):
            self.at(self.now + self.rng.expovariate(1.0 / self.delay), lambda: self.come(sender, to, message))

    def come(self, sender: str, to: str, message: Message) -> None:
        one = self.ones.get(to)
        if one is None:
            return
        until = self.stopped.get(to, 0.0)
        if until > self.now:  # the kernel keeps it
            self.at(until, lambda: self.come(sender, to, message))
            return
        self.do(to, one.on_message(self.clock(to), sender, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, what = heapq.heappop(self.events)
            what()
        self.now = end

    def again(self, address: str) -> None:
        if address not in self.ones:
            self.start(address[:2], ["m0:1", "m8:1"])

    def kill(self, address: str) -> None:
        del self.ones[address]

    def stop(self, address: str, seconds: float) -> None:
        self.stopped[address] = self.now + seconds

    def seen(self, name: str) -> set[MemberState | None]:
        """What all others believe of a member."""
        return {one.state(name) for one in self.ones.values() if one.local.name != name}

    def agreed(self) -> bool:
        """All that are there hold each other for alive."""
        return all(self.seen(one.local.name) == {ALIVE} for one in self.ones.values())

    def deaths(self, since: float = 0.0) -> list[tuple[str, str]]:
        """Who was called dead, and by whom."""
        return [(who, c.record.name) for at, who, c in self.changes if at >= since and c.record.state is DEAD]


def ready(count: int, seed: int = 1, **how: float) -> World:
    world = World(seed, **how)  # type: ignore[arg-type]
    world.fleet(count)
    world.run(12.0)
    assert world.agreed()
    return world


# ---- coming and going ---------------------------------------------------------------------


@pytest.mark.parametrize("count", [2, 12, 40])
def test_all_that_start_at_once_with_one_good_seed_know_each_other_soon(count: int) -> None:
    world = World(1)
    world.fleet(count)
    world.run(6.0)
    assert world.agreed() and world.deaths() == []


@pytest.mark.parametrize("seed", range(5))
def test_one_that_is_killed_is_dead_for_all_and_nobody_else_is(seed: int) -> None:
    world = ready(16, seed)
    begin = world.now
    world.kill("m7:1")
    world.run(12.0)
    assert world.seen("m7") == {DEAD} and {name for _, name in world.deaths()} == {"m7"}
    noticed = max(at for at, _, c in world.changes if c.record.name == "m7" and c.record.state is DEAD) - begin
    assert noticed < 8.0
    assert all(one.state("m3") is ALIVE for one in world.ones.values())


def test_one_that_leaves_has_left_and_is_not_dead() -> None:
    world = ready(10)
    one = world.ones["m4:1"]
    world.do("m4:1", one.leave(world.clock("m4:1")))
    world.kill("m4:1")
    world.run(10.0)
    assert world.seen("m4") == {LEFT} and world.deaths() == []


def test_one_that_comes_back_without_state_speaks_from_above_what_was_known_of_it() -> None:
    world = ready(10)
    for _ in range(3):
        world.kill("m4:1")
        world.run(10.0)
        assert world.seen("m4") == {DEAD}
        world.start("m4", ["m0:1"])
        world.run(6.0)
        assert world.agreed()
    assert world.ones["m4:1"].local.incarnation > 3


def test_one_that_comes_back_before_anybody_noticed_is_known_as_another_process() -> None:
    world = ready(10)
    old = world.ones["m4:1"].local
    world.kill("m4:1")
    world.run(0.2)
    fresh = world.start("m4", ["m0:1"])
    world.run(8.0)
    assert world.agreed() and fresh.local.life != old.life
    assert {one.members["m4"].record.life for a, one in world.ones.items() if a != "m4:1"} == {fresh.local.life}


def test_all_that_start_anew_at_once_without_state_find_each_other() -> None:
    world = ready(10)
    world.ones.clear()
    world.run(1.0)
    world.fleet(10)
    world.run(8.0)
    assert world.agreed()


def test_two_fleets_that_meet_by_mistake_stay_two() -> None:
    world = ready(5)
    for i in range(5):
        world.start(f"n{i}", ["m0:1", "n0:1"], fleet="g")
    world.run(10.0)
    assert all(one.state("n0") is None for a, one in world.ones.items() if a.startswith("m"))
    assert sum(one.foreign_messages for one in world.ones.values()) > 0
    assert world.ones["n1:1"].state("n4") is ALIVE


def test_two_processes_of_one_name_are_told() -> None:
    world = ready(6)
    world.start("m2", ["m0:1"], address="z:1")
    world.run(6.0)
    assert world.ones["m2:1"].conflicts > 0 and world.ones["z:1"].conflicts > 0


# ---- losses, cuts and stops ----------------------------------------------------------------


@pytest.mark.parametrize(("loss", "most"), [(0.0, 0), (0.1, 12)])
def test_losses_make_nobody_dead_and_few_suspect(loss: float, most: int) -> None:
    world = World(3, loss)
    world.fleet(16)
    world.run(120.0)
    world.loss = 0.0
    world.run(10.0)
    assert world.deaths() == [] and world.agreed()
    began = {(c.record.name, c.record.incarnation) for _, _, c in world.changes if c.record.state is SUSPECT}
    assert len(began) <= most


def test_a_third_of_all_messages_lost_makes_nobody_dead_for_long() -> None:
    world = World(4, 0.3)
    world.fleet(16)
    world.run(120.0)
    world.loss = 0.0
    world.run(20.0)
    assert world.agreed()


@pytest.mark.parametrize("kind", ["one way", "a link", "all but one"])
def test_who_is_reached_by_others_is_not_dead(kind: str) -> None:
    """All links of one are cut but one, a single link, or each of one's but only one way."""
    world = ready(8)
    cuts: dict[str, Callable[[str, str], bool]] = {
        "one way": lambda sender, to: sender == "m3:1" and to in ("m1:1", "m2:1", "m5:1"),
        "a link": lambda sender, to: {sender, to} == {"m1:1", "m3:1"},
        "all but one": lambda sender, to: "m3:1" in (sender, to) and "m5:1" not in (sender, to),
    }
    world.cut = cuts[kind]
    world.run(40.0)
    assert {name for who, name in world.deaths() if who != "m3"} <= ({"m3"} if kind == "all but one" else set())
    world.cut = lambda sender, to: False
    world.run(15.0)
    assert world.agreed()


LOW = {f"m{i}:1" for i in range(4)}


def test_one_that_hears_nobody_and_is_heard_by_all_ends_nobody_but_itself() -> None:
    world = ready(8)
    world.cut = lambda sender, to: to == "m3:1"
    world.run(60.0)
    assert {name for who, name in world.deaths() if who != "m3"} <= {"m3"}
    world.cut = lambda sender, to: False
    world.run(15.0)
    assert world.agreed()


def halves(sender: str, to: str) -> bool:
    return (sender in LOW) is not (to in LOW)


@pytest.mark.parametrize("seed", range(3))
def test_halves_that_were_cut_find_each_other_again_and_nobody_of_the_own_half_is_called_dead(seed: int) -> None:
    world = ready(8, seed)
    world.cut = halves
    world.run(40.0)
    assert world.ones["m0:1"].state("m6") is DEAD and world.ones["m6:1"].state("m0") is DEAD
    assert world.ones["m0:1"].state("m2") is ALIVE
    healed = world.now
    world.cut = lambda sender, to: False
    world.run(12.0)
    assert world.agreed() and world.deaths(healed) == []


def test_cut_and_healed_each_second_it_stays_one_fleet() -> None:
    world = ready(8)
    for i in range(40):
        world.cut = halves if i % 2 else lambda sender, to: False
        world.run(1.0)
    world.cut = lambda sender, to: False
    world.run(10.0)
    assert world.agreed()


@pytest.mark.parametrize("seconds", [0.3, 2.0, 60.0])
def test_one_that_was_stopped_doubts_itself_and_calls_nobody_dead(seconds: float) -> None:
    world = ready(8)
    world.stop("m3:1", seconds)
    world.run(seconds)
    woke = world.now
    world.run(0.5)
    assert (world.ones["m3:1"].health_score > 0) is (seconds > 1.5)
    world.run(20.0)
    assert world.agreed()
    assert [name for who, name in world.deaths(woke) if who == "m3"] == []
    assert {name for _, name in world.deaths()} <= {"m3"}


def test_most_are_stopped_at_once_and_the_rest_call_none_of_the_rest_dead() -> None:
    world = ready(10)
    for i in range(3, 10):
        world.stop(f"m{i}:1", 30.0)
    world.run(30.0)
    assert not {name for _, name in world.deaths()} & {"m0", "m1", "m2"}
    world.run(20.0)
    assert world.agreed()


@pytest.mark.parametrize("first", range(0, 40, 8))
def test_drawn_worlds_end_in_agreement_and_whom_no_fault_touched_nobody_untouched_calls_dead(first: int) -> None:
    for seed in range(first, first + 8):
        world = ready(9, seed)
        rng = Random(seed)
        touched = set()
        for _ in range(6):
            address = f"m{rng.randrange(6)}:1"  # three are never touched
            touched.add(address[:2])
            deed = rng.choice(("kill", "stop", "cut", "loss"))
            if deed == "kill" and address in world.ones:
                world.kill(address)
                if rng.random() < 0.7:
                    world.at(world.now + 8.0 * rng.random(), partial(world.again, address))
            elif deed == "stop":
                world.stop(address, rng.choice((0.2, 1.0, 5.0, 20.0)))
            elif deed == "cut":
                way = rng.randrange(3)
                world.cut = lambda s, t, a=address, w=way: (w < 2 and s == a) or (w > 0 and t == a)  # type: ignore[misc]
            else:
                world.loss = rng.choice((0.0, 0.1))
            world.run(rng.uniform(0.5, 8.0))
        world.cut, world.loss = (lambda sender, to: False), 0.0
        world.run(40.0)
        assert world.agreed(), seed
        wrong = [one for one in world.deaths() if not touched & set(one)]
        assert wrong == [], seed


# ---- bounds --------------------------------------------------------------------------------


def test_the_work_of_a_member_does_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (6, 24, 100):
        world = World(1)
        world.fleet(count)
        world.run(40.0)
        before = sum(world.sent.values())
        world.run(30.0)
        rates.append((sum(world.sent.values()) - before) / count / 30.0)
        assert world.largest <= POLICY.riding
    assert max(rates) < 1.2 * min(rates) + 0.2, rates


def test_so_many_are_known_and_the_dead_make_room_first() -> None:
    world = World(1, policy=replace(POLICY, most=4, forget=1000.0))
    one = world.start("a", [])
    rows = [MemberRecord(1, ALIVE, i, f"n{i}:1", "", f"n{i}") for i in range(3)] + [
        MemberRecord(1, DEAD, 9, "d:1", "", "d")
    ]
    one.on_message(1e4, "n0:1", Gossip("f", "n0", tuple(rows)))
    one.on_message(1e4, "n0:1", Gossip("f", "n0", (MemberRecord(1, ALIVE, 7, "n7:1", "", "n7"),)))
    assert set(one.members) == {"n0", "n1", "n2", "n7"}
    one.on_message(1e4, "n0:1", Gossip("f", "n0", (MemberRecord(1, ALIVE, 8, "n8:1", "", "n8"),)))
    assert set(one.members) == {"n0", "n1", "n2", "n7"} and len(one._updates) <= 6


def test_the_dead_are_forgotten_after_their_time() -> None:
    world = World(1, policy=replace(POLICY, forget=20.0))
    world.fleet(5)
    world.run(10.0)
    world.kill("m4:1")
    world.run(12.0)
    assert world.seen("m4") == {DEAD}
    world.run(25.0)
    assert world.seen("m4") == {None}


ROWS = st.builds(
    MemberRecord,
    st.integers(1, 3),
    st.sampled_from([ALIVE, SUSPECT, LEFT]),
    st.integers(1, 2),
    st.sampled_from(["p:1", "q:1"]),
    st.just("z"),
    st.just("b"),
    by=st.sampled_from(["", "x", "y"]),
)


@given(st.lists(ROWS, max_size=6), st.randoms())
def test_the_order_in_which_news_of_the_living_come_does_not_matter(rows: list[MemberRecord], rng: Random) -> None:
    believed = []
    for _ in range(2):
        one = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
        for row in rows:
            one.on_message(0.0, "x:1", Gossip("f", "x", (row, row)))
        believed.append(one.members["b"].record if rows else None)
        rng.shuffle(rows)
    assert believed[0] == believed[1] == (max(rows) if rows else None)


def test_another_is_dead_by_word_only_to_one_who_did_not_know_it() -> None:
    dead = MemberRecord(1, DEAD, 5, "b:1", "", "b", by="x")
    knows, fresh = (Membership(POLICY, "f", "a", "a:1", [], 0.0, 1) for _ in range(2))
    knows.on_message(0.0, "x:1", Gossip("f", "x", (replace(dead, state=ALIVE),)))
    for one, state in ((knows, SUSPECT), (fresh, DEAD)):
        one.on_message(0.0, "x:1", Gossip("f", "x", (dead,)))
        assert one.state("b") is state


@given(
    st.lists(
        st.builds(
            MemberRecord,
            st.integers(1, 50),
            st.sampled_from(MemberState),
            st.integers(1, 3),
            st.just("a:1"),
            st.just(""),
            st.just("a"),
        ),
        max_size=8,
    )
)
def test_whatever_is_said_of_it_its_own_word_is_above(rows: list[MemberRecord]) -> None:
    one = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
    for row in rows:
        one.on_message(0.0, "x:1", Gossip("f", "x", (row,)))
        assert one.local > row and one.local.state is ALIVE


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("period", 0.0),
        ("patience", 0.6),
        ("alone", 0.5),
        ("spread", float("nan")),
        ("most", 0),
    ],
)
def test_a_policy_that_makes_no_sense_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        replace(POLICY, **{name: value}).check()  # type: ignore[arg-type]


# ---- planted defects -----------------------------------------------------------------------


def test_a_member_that_believes_after_a_stop_what_it_waited_for_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_on_pause", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_one_that_was_stopped_doubts_itself_and_calls_nobody_dead(60.0)


def test_a_probe_without_helpers_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_send_indirect_probes", lambda self, now, probe: None)
    with pytest.raises(AssertionError):
        test_losses_make_nobody_dead_and_few_suspect(0.1, 12)


def test_a_member_that_believes_others_dead_by_word_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_downgrade_to_suspect", lambda self, row: row)
    with pytest.raises(AssertionError):
        for seed in range(3):
            test_halves_that_were_cut_find_each_other_again_and_nobody_of_the_own_half_is_called_dead(seed)


def test_nobody_who_knocks_at_the_dead_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_send_contact_probe", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_halves_that_were_cut_find_each_other_again_and_nobody_of_the_own_half_is_called_dead(0)


def test_a_member_that_does_not_refute_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_refute", lambda self, now, row: None)
    with pytest.raises(AssertionError):
        test_one_that_comes_back_without_state_speaks_from_above_what_was_known_of_it()


def test_what_comes_to_anothers_old_address_is_not_answered() -> None:
    one = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
    assert one.on_message(0.0, "x:1", Ping("f", "x", 5, "b")) == []
    (answer,) = one.on_message(0.0, "x:1", Ping("f", "x", 5, "a"))
    assert isinstance(answer, Send) and isinstance(answer.message, Ack) and answer.message.number == 5
    assert one.on_message(0.0, "x:1", Sync("g", "x", (), True)) == [] and one.foreign_messages == 1
