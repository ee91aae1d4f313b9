"""Failure detection in random simulated fleets: loss, partitions, pauses, restarts without state."""

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
    """Simulated machines with clocks of their own, and a network with loss, delay and partitions."""

    seed: int
    loss: float = 0.0
    delay: float = 0.002  # seconds on average
    policy: MemberPolicy = POLICY
    now: float = 0.0
    by_address: dict[str, Membership] = field(default_factory=dict)
    paused_until: dict[str, float] = field(default_factory=dict)  # address: until when it is paused
    cut: Callable[[str, str], bool] = lambda sender, to: False
    changes: list[tuple[float, str, StateChange]] = field(default_factory=list)  # time, observer, change
    sent: dict[str, int] = field(default_factory=dict)  # messages by sender
    max_updates: int = 0  # updates in one message

    def __post_init__(self) -> None:
        self.rng = Random(self.seed)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.clocks: dict[str, tuple[float, float]] = {}

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        heapq.heappush(self.events, (when, next(self.order), event))

    def clock(self, address: str) -> float:
        if address not in self.clocks:
            self.clocks[address] = 1e4 * self.rng.random(), 1.0 + 0.01 * self.rng.uniform(-1.0, 1.0)
        offset, rate = self.clocks[address]
        return offset + rate * self.now

    def start(self, name: str, seeds: Iterable[str], fleet: str = "f", address: str = "") -> Membership:
        address = address or f"{name}:1"
        member = Membership(
            self.policy, fleet, name, address, seeds, self.clock(address), self.rng.getrandbits(32), zone=name[:1]
        )
        self.by_address[address] = member
        self.drive(address, member)
        return member

    def fleet(self, count: int) -> list[str]:
        """Start `count` members at once, with one valid seed and two unused addresses; return the addresses."""
        for i in range(count):
            self.start(f"m{i}", ["m0:1", "x:1", "y:1"])
        return list(self.by_address)

    def drive(self, address: str, member: Membership) -> None:
        if self.by_address.get(address) is not member:
            return
        until = self.paused_until.get(address, 0.0)
        if until > self.now:
            self.schedule(until + 0.001, lambda: self.drive(address, member))
            return
        self.execute(address, member.tick(self.clock(address)))
        wait = max(0.001, member.next_due() - self.clock(address))
        self.schedule(self.now + wait, lambda: self.drive(address, member))

    def execute(self, address: str, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.send(address, action.address, action.message)
            else:
                self.changes.append((self.now, self.by_address[address].local.name, action))

    def send(self, sender: str, to: str, message: Message) -> None:
        self.sent[sender] = self.sent.get(sender, 0) + 1
        if isinstance(message, Ping | Ack | PingFor | Gossip):
            self.max_updates = max(self.max_updates, len(message.news))
        if self.rng.random() >= self.loss and not self.cut(sender, to):
            self.schedule(
                self.now + self.rng.expovariate(1.0 / self.delay), lambda: self.deliver(sender, to, message)
            )

    def deliver(self, sender: str, to: str, message: Message) -> None:
        member = self.by_address.get(to)
        if member is None:
            return
        until = self.paused_until.get(to, 0.0)
        if until > self.now:  # buffered by the kernel until then
            self.schedule(until, lambda: self.deliver(sender, to, message))
            return
        self.execute(to, member.on_message(self.clock(to), sender, message))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, event = heapq.heappop(self.events)
            event()
        self.now = end

    def restart(self, address: str) -> None:
        if address not in self.by_address:
            self.start(address[:2], ["m0:1", "m8:1"])

    def kill(self, address: str) -> None:
        del self.by_address[address]

    def pause(self, address: str, seconds: float) -> None:
        self.paused_until[address] = self.now + seconds

    def beliefs(self, name: str) -> set[MemberState | None]:
        """The states in which all others see a member."""
        return {member.state(name) for member in self.by_address.values() if member.local.name != name}

    def agreed(self) -> bool:
        """Whether all running members see each other as alive."""
        return all(self.beliefs(member.local.name) == {ALIVE} for member in self.by_address.values())

    def deaths(self, since: float = 0.0) -> list[tuple[str, str]]:
        """(observer, member) pairs: declarations of death."""
        return [
            (observer, change.record.name)
            for time, observer, change in self.changes
            if time >= since and change.record.state is DEAD
        ]


def settled_world(count: int, seed: int = 1, **settings: float) -> World:
    world = World(seed, **settings)  # type: ignore[arg-type]
    world.fleet(count)
    world.run(12.0)
    assert world.agreed()
    return world


# ---- joining, leaving and restarting -------------------------------------------------------


@pytest.mark.parametrize("count", [2, 12, 40])
def test_members_started_together_with_one_valid_seed_discover_each_other(count: int) -> None:
    world = World(1)
    world.fleet(count)
    world.run(6.0)
    assert world.agreed() and world.deaths() == []


@pytest.mark.parametrize("seed", range(5))
def test_killed_member_is_declared_dead_by_all_and_no_other_member_is(seed: int) -> None:
    world = settled_world(16, seed)
    killed = world.now
    world.kill("m7:1")
    world.run(12.0)
    assert world.beliefs("m7") == {DEAD} and {name for _, name in world.deaths()} == {"m7"}
    noticed = (
        max(time for time, _, change in world.changes if change.record.name == "m7" and change.record.state is DEAD)
        - killed
    )
    assert noticed < 8.0
    assert all(member.state("m3") is ALIVE for member in world.by_address.values())


def test_leaving_member_is_left_and_not_dead() -> None:
    world = settled_world(10)
    member = world.by_address["m4:1"]
    world.execute("m4:1", member.leave(world.clock("m4:1")))
    world.kill("m4:1")
    world.run(10.0)
    assert world.beliefs("m4") == {LEFT} and world.deaths() == []


def test_member_restarted_without_state_takes_a_higher_incarnation() -> None:
    world = settled_world(10)
    for _ in range(3):
        world.kill("m4:1")
        world.run(10.0)
        assert world.beliefs("m4") == {DEAD}
        world.start("m4", ["m0:1"])
        world.run(6.0)
        assert world.agreed()
    assert world.by_address["m4:1"].local.incarnation > 3


def test_restart_before_detection_is_recognized_as_a_new_process() -> None:
    world = settled_world(10)
    old = world.by_address["m4:1"].local
    world.kill("m4:1")
    world.run(0.2)
    fresh = world.start("m4", ["m0:1"])
    world.run(8.0)
    assert world.agreed() and fresh.local.life != old.life
    assert {member.members["m4"].record.life for a, member in world.by_address.items() if a != "m4:1"} == {
        fresh.local.life
    }


def test_fleet_restarted_without_state_reassembles() -> None:
    world = settled_world(10)
    world.by_address.clear()
    world.run(1.0)
    world.fleet(10)
    world.run(8.0)
    assert world.agreed()


def test_two_fleets_sharing_a_seed_stay_separate() -> None:
    world = settled_world(5)
    for i in range(5):
        world.start(f"n{i}", ["m0:1", "n0:1"], fleet="g")
    world.run(10.0)
    assert all(member.state("n0") is None for a, member in world.by_address.items() if a.startswith("m"))
    assert sum(member.foreign_messages for member in world.by_address.values()) > 0
    assert world.by_address["n1:1"].state("n4") is ALIVE


def test_two_processes_of_one_name_count_as_a_conflict() -> None:
    world = settled_world(6)
    world.start("m2", ["m0:1"], address="z:1")
    world.run(6.0)
    assert world.by_address["m2:1"].conflicts > 0 and world.by_address["z:1"].conflicts > 0


# ---- loss, partitions and pauses -----------------------------------------------------------


@pytest.mark.parametrize(("loss", "max_suspicions"), [(0.0, 0), (0.1, 12)])
def test_message_loss_causes_no_deaths_and_few_suspicions(loss: float, max_suspicions: int) -> None:
    world = World(3, loss)
    world.fleet(16)
    world.run(120.0)
    world.loss = 0.0
    world.run(10.0)
    assert world.deaths() == [] and world.agreed()
    suspicions = {
        (change.record.name, change.record.incarnation)
        for _, _, change in world.changes
        if change.record.state is SUSPECT
    }
    assert len(suspicions) <= max_suspicions


def test_members_agree_again_after_losing_a_third_of_all_messages() -> None:
    world = World(4, 0.3)
    world.fleet(16)
    world.run(120.0)
    world.loss = 0.0
    world.run(20.0)
    assert world.agreed()


@pytest.mark.parametrize("kind", ["one way", "a link", "all but one"])
def test_member_reachable_through_others_is_not_dead(kind: str) -> None:
    """Three links of a member in one direction, one link, or all of its links but one are cut."""
    world = settled_world(8)
    cuts: dict[str, Callable[[str, str], bool]] = {
        "one way": lambda sender, to: sender == "m3:1" and to in ("m1:1", "m2:1", "m5:1"),
        "a link": lambda sender, to: {sender, to} == {"m1:1", "m3:1"},
        "all but one": lambda sender, to: "m3:1" in (sender, to) and "m5:1" not in (sender, to),
    }
    world.cut = cuts[kind]
    world.run(40.0)
    assert {name for observer, name in world.deaths() if observer != "m3"} <= (
        {"m3"} if kind == "all but one" else set()
    )
    world.cut = lambda sender, to: False
    world.run(15.0)
    assert world.agreed()


LOWER_HALF = {f"m{i}:1" for i in range(4)}


def test_member_that_only_sends_causes_no_death_but_its_own() -> None:
    world = settled_world(8)
    world.cut = lambda sender, to: to == "m3:1"
    world.run(60.0)
    assert {name for observer, name in world.deaths() if observer != "m3"} <= {"m3"}
    world.cut = lambda sender, to: False
    world.run(15.0)
    assert world.agreed()


def crosses_halves(sender: str, to: str) -> bool:
    return (sender in LOWER_HALF) is not (to in LOWER_HALF)


@pytest.mark.parametrize("seed", range(3))
def test_partition_halves_merge_without_deaths_after_healing(seed: int) -> None:
    world = settled_world(8, seed)
    world.cut = crosses_halves
    world.run(40.0)
    assert world.by_address["m0:1"].state("m6") is DEAD and world.by_address["m6:1"].state("m0") is DEAD
    assert world.by_address["m0:1"].state("m2") is ALIVE
    healed = world.now
    world.cut = lambda sender, to: False
    world.run(12.0)
    assert world.agreed() and world.deaths(healed) == []


def test_fleet_survives_a_partition_that_opens_and_heals_each_second() -> None:
    world = settled_world(8)
    for i in range(40):
        world.cut = crosses_halves if i % 2 else lambda sender, to: False
        world.run(1.0)
    world.cut = lambda sender, to: False
    world.run(10.0)
    assert world.agreed()


@pytest.mark.parametrize("seconds", [0.3, 2.0, 60.0])
def test_paused_member_raises_its_health_score_and_declares_nobody_dead(seconds: float) -> None:
    world = settled_world(8)
    world.pause("m3:1", seconds)
    world.run(seconds)
    resumed = world.now
    world.run(0.5)
    assert (world.by_address["m3:1"].health_score > 0) is (seconds > 1.5)
    world.run(20.0)
    assert world.agreed()
    assert [name for observer, name in world.deaths(resumed) if observer == "m3"] == []
    assert {name for _, name in world.deaths()} <= {"m3"}


def test_running_minority_does_not_declare_itself_dead_while_most_are_paused() -> None:
    world = settled_world(10)
    for i in range(3, 10):
        world.pause(f"m{i}:1", 30.0)
    world.run(30.0)
    assert not {name for _, name in world.deaths()} & {"m0", "m1", "m2"}
    world.run(20.0)
    assert world.agreed()


@pytest.mark.parametrize("first", range(0, 40, 8))
def test_random_worlds_end_in_agreement_without_deaths_among_unaffected_members(first: int) -> None:
    for seed in range(first, first + 8):
        world = settled_world(9, seed)
        rng = Random(seed)
        affected = set()
        for _ in range(6):
            address = f"m{rng.randrange(6)}:1"  # three members are never affected
            affected.add(address[:2])
            fault = rng.choice(("kill", "stop", "cut", "loss"))
            if fault == "kill" and address in world.by_address:
                world.kill(address)
                if rng.random() < 0.7:
                    world.schedule(world.now + 8.0 * rng.random(), partial(world.restart, address))
            elif fault == "stop":
                world.pause(address, rng.choice((0.2, 1.0, 5.0, 20.0)))
            elif fault == "cut":
                direction = rng.randrange(3)
                world.cut = lambda source, target, a=address, d=direction: (
                    (d < 2 and source == a) or (d > 0 and target == a)
                )  # type: ignore[misc]
            else:
                world.loss = rng.choice((0.0, 0.1))
            world.run(rng.uniform(0.5, 8.0))
        world.cut, world.loss = (lambda sender, to: False), 0.0
        world.run(40.0)
        assert world.agreed(), seed
        wrong = [pair for pair in world.deaths() if not affected & set(pair)]
        assert wrong == [], seed


# ---- bounds --------------------------------------------------------------------------------


def test_message_rate_per_member_is_independent_of_fleet_size() -> None:
    rates = []
    for count in (6, 24, 100):
        world = World(1)
        world.fleet(count)
        world.run(40.0)
        before = sum(world.sent.values())
        world.run(30.0)
        rates.append((sum(world.sent.values()) - before) / count / 30.0)
        assert world.max_updates <= POLICY.riding
    assert max(rates) < 1.2 * min(rates) + 0.2, rates


def test_known_members_are_bounded_and_dead_ones_are_evicted_first() -> None:
    world = World(1, policy=replace(POLICY, most=4, forget=1000.0))
    member = world.start("a", [])
    records = [MemberRecord(1, ALIVE, i, f"n{i}:1", "", f"n{i}") for i in range(3)] + [
        MemberRecord(1, DEAD, 9, "d:1", "", "d")
    ]
    member.on_message(1e4, "n0:1", Gossip("f", "n0", tuple(records)))
    member.on_message(1e4, "n0:1", Gossip("f", "n0", (MemberRecord(1, ALIVE, 7, "n7:1", "", "n7"),)))
    assert set(member.members) == {"n0", "n1", "n2", "n7"}
    member.on_message(1e4, "n0:1", Gossip("f", "n0", (MemberRecord(1, ALIVE, 8, "n8:1", "", "n8"),)))
    assert set(member.members) == {"n0", "n1", "n2", "n7"} and len(member._updates) <= 6


def test_dead_members_are_removed_after_the_retention_time() -> None:
    world = World(1, policy=replace(POLICY, forget=20.0))
    world.fleet(5)
    world.run(10.0)
    world.kill("m4:1")
    world.run(12.0)
    assert world.beliefs("m4") == {DEAD}
    world.run(25.0)
    assert world.beliefs("m4") == {None}


RECORDS = st.builds(
    MemberRecord,
    st.integers(1, 3),
    st.sampled_from([ALIVE, SUSPECT, LEFT]),
    st.integers(1, 2),
    st.sampled_from(["p:1", "q:1"]),
    st.just("z"),
    st.just("b"),
    by=st.sampled_from(["", "x", "y"]),
)


@given(st.lists(RECORDS, max_size=6), st.randoms())
def test_order_of_updates_about_living_members_does_not_matter(records: list[MemberRecord], rng: Random) -> None:
    believed = []
    for _ in range(2):
        member = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
        for record in records:
            member.on_message(0.0, "x:1", Gossip("f", "x", (record, record)))
        believed.append(member.members["b"].record if records else None)
        rng.shuffle(records)
    assert believed[0] == believed[1] == (max(records) if records else None)


def test_report_of_death_is_accepted_only_for_unknown_members() -> None:
    dead = MemberRecord(1, DEAD, 5, "b:1", "", "b", by="x")
    informed, fresh = (Membership(POLICY, "f", "a", "a:1", [], 0.0, 1) for _ in range(2))
    informed.on_message(0.0, "x:1", Gossip("f", "x", (replace(dead, state=ALIVE),)))
    for member, state in ((informed, SUSPECT), (fresh, DEAD)):
        member.on_message(0.0, "x:1", Gossip("f", "x", (dead,)))
        assert member.state("b") is state


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
def test_member_refutes_any_wrong_record_about_itself(records: list[MemberRecord]) -> None:
    member = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
    for record in records:
        member.on_message(0.0, "x:1", Gossip("f", "x", (record,)))
        assert member.local > record and member.local.state is ALIVE


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
def test_invalid_policy_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        replace(POLICY, **{name: value}).check()  # type: ignore[arg-type]


# ---- planted defects -----------------------------------------------------------------------


def test_detects_member_that_trusts_stale_state_after_a_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_on_pause", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_paused_member_raises_its_health_score_and_declares_nobody_dead(60.0)


def test_detects_probing_without_helpers(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_send_indirect_probes", lambda self, now, probe: None)
    with pytest.raises(AssertionError):
        test_message_loss_causes_no_deaths_and_few_suspicions(0.1, 12)


def test_detects_member_that_accepts_reports_of_death(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_downgrade_to_suspect", lambda self, record: record)
    with pytest.raises(AssertionError):
        for seed in range(3):
            test_partition_halves_merge_without_deaths_after_healing(seed)


def test_detects_missing_contact_probes(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_send_contact_probe", lambda self, now: None)
    with pytest.raises(AssertionError):
        test_partition_halves_merge_without_deaths_after_healing(0)


def test_detects_missing_refutation(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members.Membership, "_refute", lambda self, now, record: None)
    with pytest.raises(AssertionError):
        test_member_restarted_without_state_takes_a_higher_incarnation()


def test_ping_for_a_previous_owner_of_the_address_is_not_answered() -> None:
    member = Membership(POLICY, "f", "a", "a:1", [], 0.0, 1)
    assert member.on_message(0.0, "x:1", Ping("f", "x", 5, "b")) == []
    (action,) = member.on_message(0.0, "x:1", Ping("f", "x", 5, "a"))
    assert isinstance(action, Send) and isinstance(action.message, Ack) and action.message.number == 5
    assert member.on_message(0.0, "x:1", Sync("g", "x", (), True)) == [] and member.foreign_messages == 1
