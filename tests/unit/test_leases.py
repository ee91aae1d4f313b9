"""Never two holders of a duty at one moment, in drawn worlds: clocks that differ, losses, pauses, starts anew."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

import pytest

from weldroute import leases
from weldroute.leases import (
    Accepted,
    Answer,
    Grantor,
    Lease,
    LeasePolicy,
    Prepare,
    Promise,
    Propose,
    Proposer,
    Rejected,
    Released,
    Request,
)

POLICY = LeasePolicy()
D = "duty"


# ---- one by one ---------------------------------------------------------------------------


def test_a_grantor_that_has_just_started_answers_nobody_until_what_it_forgot_has_ended() -> None:
    grantor = Grantor(POLICY, 100.0)
    assert grantor.on_request(100.0 + POLICY.restart_wait - 0.01, Prepare(D, (1, "a"))) is None
    assert grantor.on_request(100.0 + POLICY.restart_wait, Prepare(D, (1, "a"))) == Promise(D, (1, "a"), None)
    assert POLICY.holding_time < POLICY.length < POLICY.restart_wait


def test_a_grantor_gives_one_lease_at_a_time_and_tells_of_it() -> None:
    grantor, now = Grantor(POLICY, 0.0), 100.0
    one = Lease("a", (1, "a"))
    assert grantor.on_request(now, Prepare(D, (1, "a"))) == Promise(D, (1, "a"), None)
    assert grantor.on_request(now, Propose(D, (1, "a"), one)) == Accepted(D, (1, "a"))
    assert grantor.on_request(now, Prepare(D, (2, "b"))) == Promise(D, (2, "b"), one)
    assert grantor.on_request(now, Propose(D, (1, "a"), one)) == Rejected(D, (1, "a"), (2, "b"))
    assert grantor.on_request(now + POLICY.length, Prepare(D, (3, "b"))) == Promise(D, (3, "b"), None)
    assert grantor.on_request(now, Prepare("another", (1, "a"))) == Promise("another", (1, "a"), None)


def test_what_is_released_is_free_and_nobody_releases_anothers() -> None:
    grantor, now = Grantor(POLICY, 0.0), 100.0
    one = Lease("a", (1, "a"))
    grantor.on_request(now, Propose(D, (1, "a"), one))
    grantor.on_request(now, Released(D, Lease("a", (0, "a"))))
    assert grantor.on_request(now, Prepare(D, (2, "b"))) == Promise(D, (2, "b"), one)
    assert grantor.on_request(now, Released(D, one)) is None
    assert grantor.on_request(now, Prepare(D, (3, "b"))) == Promise(D, (3, "b"), None)


def test_a_grantor_keeps_so_many_duties_and_forgets_none_that_could_matter() -> None:
    grantor = Grantor(POLICY, 0.0, max_duties=2)
    for i in range(2):
        grantor.on_request(100.0, Propose(f"d{i}", (1, "a"), Lease("a", (1, "a"))))
    late = 100.0 + POLICY.length + POLICY.restart_wait
    assert grantor.on_request(late - 0.01, Prepare("d2", (1, "b"))) is None
    assert grantor.on_request(late, Prepare("d2", (1, "b"))) == Promise("d2", (1, "b"), None)


class Table:
    """Three grantors that answer at once, for one asker."""

    def __init__(self, policy: LeasePolicy = POLICY) -> None:
        self.grantors = {name: Grantor(policy, -100.0) for name in "xyz"}
        self.away: set[str] = set()

    def settle(self, asker: Proposer, now: float) -> None:
        due: list[Request] = asker.tick(now)
        while due:
            request, *due = due
            for name, grantor in self.grantors.items():
                answer = grantor.on_request(now, request) if name not in self.away else None
                if answer is not None:
                    due += asker.on_answer(now, name, answer)


def test_a_holder_renews_in_time_with_the_same_epoch_and_stops_by_its_own_clock() -> None:
    table, asker = Table(), Proposer(POLICY, D, "a", "xyz")
    now, epochs = 0.0, set()
    while now < 20.0:
        table.settle(asker, now)
        epochs.add(asker.current_epoch(now))
        now += 0.05
    assert epochs == {(1, "a")}
    table.away = {"x", "y"}
    last = now
    while asker.current_epoch(now) is not None:
        table.settle(asker, now)
        now += 0.05
    assert now - last <= POLICY.holding_time + 0.05
    other = Proposer(POLICY, D, "b", "xyz")
    table.away = set()
    table.settle(other, now)
    assert other.current_epoch(now) is None, "grantors hold on for longer than the holder believes"
    now = last + POLICY.length + 0.1 + POLICY.pause
    other.tick(now)
    while other.current_epoch(now) is None and now < last + 10.0:
        table.settle(other, now)
        now += 0.05
    epoch = other.current_epoch(now)
    assert epoch is not None and epoch > (1, "a")


def test_one_that_wakes_after_its_time_does_nothing_and_what_was_under_way_to_it_counts_from_before() -> None:
    asker = Proposer(POLICY, D, "a", "xyz")
    asker.tick(0.0)
    for name in "xy":
        asker.on_answer(0.0, name, Promise(D, (1, "a"), None))
    for name in "xy":  # heard after it was stopped for a minute
        asker.on_answer(60.0, name, Accepted(D, (1, "a")))
    assert asker.current_epoch(60.0) is None


def test_an_epoch_that_others_acted_with_is_never_won_again() -> None:
    table, asker = Table(), Proposer(POLICY, D, "a", "xyz")
    asker.observe_epoch((41, "q"))
    table.settle(asker, 0.0)
    assert asker.current_epoch(0.0) == (42, "a")


def test_one_that_has_released_holds_nothing_and_another_has_it_at_once() -> None:
    table, asker, other = Table(), Proposer(POLICY, D, "a", "xyz"), Proposer(POLICY, D, "b", "xyz")
    table.settle(asker, 0.0)
    (released,) = asker.release(1.0)
    assert asker.current_epoch(1.0) is None and asker.tick(50.0) == []
    for grantor in table.grantors.values():
        grantor.on_request(1.0, released)
    other.observe_epoch((1, "a"))
    table.settle(other, 1.0)
    assert other.current_epoch(1.0) == (2, "b")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("length", 0.0),
        ("drift", 0.5),
        ("margin", 5.0),
        ("renew", 1.0),
        ("patience", float("nan")),
    ],
)
def test_a_policy_that_makes_no_sense_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name if name != "margin" else "length"):
        Grantor(replace(POLICY, **{name: value}), 0.0)


# ---- drawn worlds -------------------------------------------------------------------------


@dataclass
class World:
    """Grantors and askers whose clocks go differently, messages that are late or lost, pauses and starts anew."""

    seed: int
    policy: LeasePolicy = POLICY
    fresh: Callable[[LeasePolicy, float], Grantor] = Grantor
    rng: Random = field(init=False)
    now: float = 0.0  # true time
    two: float = -1.0  # when there were two holders
    held: int = 0  # looks at which there was one
    epochs: list[tuple[int, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = rng = Random(self.seed)
        names = [f"g{i}" for i in range(rng.choice((3, 3, 5)))]
        askers = [f"a{i}" for i in range(rng.choice((2, 3)))]
        self.rates = {name: 1.0 + POLICY.drift * rng.uniform(-1.0, 1.0) for name in (*names, *askers)}
        self.offsets = {name: rng.uniform(0.0, 1e5) for name in self.rates}
        self.grantors = {name: Grantor(self.policy, self.clock(name) - 100.0) for name in names}
        self.askers = {name: Proposer(self.policy, D, name, names, rng.random()) for name in askers}
        self.paused = dict.fromkeys(askers, 0.0)  # until then
        self.started = dict.fromkeys(names, 0.0)
        self.under_way: list[tuple[float, str, str, Request | Answer]] = []
        self.loss = rng.choice((0.0, 0.1, 0.3))
        self.delay = rng.choice((0.01, 0.05, 0.5))

    def clock(self, name: str) -> float:
        """A machine's own."""
        return self.offsets[name] + self.rates[name] * self.now

    def send(self, sender: str, to: str, content: Request | Answer) -> None:
        if self.rng.random() >= self.loss:
            self.under_way.append((self.now + self.rng.expovariate(1.0 / self.delay), sender, to, content))

    def send_all(self, name: str, requests: list[Request]) -> None:
        for request in requests:
            for grantor in self.grantors:
                self.send(name, grantor, request)

    def deliver(self) -> None:
        due = [one for one in self.under_way if one[0] <= self.now and self.paused.get(one[2], 0.0) <= self.now]
        self.under_way = [one for one in self.under_way if one not in due]
        for _, sender, to, content in sorted(due, key=lambda one: one[0]):
            if isinstance(content, Prepare | Propose | Released):
                answer = self.grantors[to].on_request(self.clock(to), content)
                if answer is not None:
                    self.send(to, sender, answer)
            else:
                self.send_all(to, self.askers[to].on_answer(self.clock(to), sender, content))

    def faults(self) -> None:
        rng = self.rng
        if rng.random() < 0.004:
            self.paused[rng.choice(list(self.askers))] = self.now + self.policy.length * rng.choice((0.1, 1.0, 3.0))
        if rng.random() < 0.004:
            name = rng.choice(list(self.grantors))
            self.grantors[name] = self.fresh(self.policy, self.clock(name))

    def run(self, seconds: float) -> None:
        while self.now < seconds:
            self.now += 0.05
            self.faults()
            self.deliver()
            for name, asker in self.askers.items():
                if self.paused[name] <= self.now:
                    self.send_all(name, asker.tick(self.clock(name)))
            # One that is paused is looked at too: what it believes when it wakes is what it would act on.
            epochs = [asker.current_epoch(self.clock(name)) for name, asker in self.askers.items()]
            holders = [epoch for epoch in epochs if epoch is not None]
            self.held += bool(holders)
            if len(holders) > 1 and self.two < 0.0:
                self.two = self.now
            self.epochs += [epoch for epoch in holders if self.epochs[-1:] != [epoch]]


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_in_drawn_worlds_there_are_never_two_holders(first: int) -> None:
    worlds = [World(seed) for seed in range(first, first + 25)]
    for world in worlds:
        world.run(40.0)
    assert [(world.seed, world.two) for world in worlds if world.two >= 0.0] == []
    calm = [world for world in worlds if world.delay < 0.5 and world.loss < 0.3]
    assert sum(world.held for world in calm) > 0.5 * len(calm) * 800, "and mostly there is one"


def test_without_starts_anew_epochs_only_grow() -> None:
    class Kept(World):
        def faults(self) -> None:
            if self.rng.random() < 0.01:
                self.paused[self.rng.choice(list(self.askers))] = self.now + 4.0

    for seed in range(60):
        world = Kept(seed)
        world.run(40.0)
        assert world.epochs == sorted(world.epochs), seed


def planted(policy: LeasePolicy = POLICY, fresh: Callable[[LeasePolicy, float], Grantor] = Grantor) -> bool:
    """Whether a defect shows within some worlds."""
    for seed in range(400):
        world = World(seed, policy, fresh)
        world.run(13.0 * policy.length)
        if world.two >= 0.0:
            return True
    return False


def test_a_grantor_that_does_not_wait_after_its_start_is_found() -> None:
    assert planted(fresh=lambda policy, now: Grantor(policy, now - policy.restart_wait))


def test_a_holder_that_leaves_no_room_for_drift_is_found() -> None:
    assert planted(replace(POLICY, length=20.0, drift=0.0, margin=0.0))


def test_a_holder_that_counts_from_the_answer_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    hear = Proposer.on_answer

    def late(self: Proposer, now: float, grantor: str, answer: Answer) -> list[Request]:
        before = self._held_until
        found = hear(self, now, grantor, answer)
        if self._held_until != before and isinstance(answer, Accepted):
            self._held_until = now + self._policy.holding_time
        return found

    monkeypatch.setattr(leases.Proposer, "on_answer", late)
    assert planted()
