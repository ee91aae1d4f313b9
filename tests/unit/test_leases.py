"""Leases: one holder of a duty at a time, with clock drift, message loss, pauses and restarts."""

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
DUTY = "duty"


# ---- single grantors and proposers ---------------------------------------------------------


def test_restarted_grantor_answers_nobody_until_its_earlier_leases_have_expired() -> None:
    grantor = Grantor(POLICY, 100.0)
    assert grantor.on_request(100.0 + POLICY.restart_wait - 0.01, Prepare(DUTY, (1, "a"))) is None
    assert grantor.on_request(100.0 + POLICY.restart_wait, Prepare(DUTY, (1, "a"))) == Promise(DUTY, (1, "a"), None)
    assert POLICY.holding_time < POLICY.length < POLICY.restart_wait


def test_grantor_grants_one_lease_at_a_time_and_reports_it() -> None:
    grantor, now = Grantor(POLICY, 0.0), 100.0
    lease = Lease("a", (1, "a"))
    assert grantor.on_request(now, Prepare(DUTY, (1, "a"))) == Promise(DUTY, (1, "a"), None)
    assert grantor.on_request(now, Propose(DUTY, (1, "a"), lease)) == Accepted(DUTY, (1, "a"))
    assert grantor.on_request(now, Prepare(DUTY, (2, "b"))) == Promise(DUTY, (2, "b"), lease)
    assert grantor.on_request(now, Propose(DUTY, (1, "a"), lease)) == Rejected(DUTY, (1, "a"), (2, "b"))
    assert grantor.on_request(now + POLICY.length, Prepare(DUTY, (3, "b"))) == Promise(DUTY, (3, "b"), None)
    assert grantor.on_request(now, Prepare("another", (1, "a"))) == Promise("another", (1, "a"), None)


def test_released_duty_is_free_and_only_its_lease_releases_it() -> None:
    grantor, now = Grantor(POLICY, 0.0), 100.0
    lease = Lease("a", (1, "a"))
    grantor.on_request(now, Propose(DUTY, (1, "a"), lease))
    grantor.on_request(now, Released(DUTY, Lease("a", (0, "a"))))
    assert grantor.on_request(now, Prepare(DUTY, (2, "b"))) == Promise(DUTY, (2, "b"), lease)
    assert grantor.on_request(now, Released(DUTY, lease)) is None
    assert grantor.on_request(now, Prepare(DUTY, (3, "b"))) == Promise(DUTY, (3, "b"), None)


def test_grantor_bounds_its_duties_and_evicts_only_those_that_expired() -> None:
    grantor = Grantor(POLICY, 0.0, max_duties=2)
    for i in range(2):
        grantor.on_request(100.0, Propose(f"d{i}", (1, "a"), Lease("a", (1, "a"))))
    late = 100.0 + POLICY.length + POLICY.restart_wait
    assert grantor.on_request(late - 0.01, Prepare("d2", (1, "b"))) is None
    assert grantor.on_request(late, Prepare("d2", (1, "b"))) == Promise("d2", (1, "b"), None)


class GrantorGroup:
    """Three grantors that answer a proposer at once."""

    def __init__(self, policy: LeasePolicy = POLICY) -> None:
        self.grantors = {name: Grantor(policy, -100.0) for name in "xyz"}
        self.unreachable: set[str] = set()

    def exchange(self, proposer: Proposer, now: float) -> None:
        pending: list[Request] = proposer.tick(now)
        while pending:
            request, *pending = pending
            for name, grantor in self.grantors.items():
                answer = grantor.on_request(now, request) if name not in self.unreachable else None
                if answer is not None:
                    pending += proposer.on_answer(now, name, answer)


def test_holder_renews_with_the_same_epoch_and_stops_by_its_own_clock() -> None:
    group, proposer = GrantorGroup(), Proposer(POLICY, DUTY, "a", "xyz")
    now, epochs = 0.0, set()
    while now < 20.0:
        group.exchange(proposer, now)
        epochs.add(proposer.current_epoch(now))
        now += 0.05
    assert epochs == {(1, "a")}
    group.unreachable = {"x", "y"}
    cut_off = now
    while proposer.current_epoch(now) is not None:
        group.exchange(proposer, now)
        now += 0.05
    assert now - cut_off <= POLICY.holding_time + 0.05
    other = Proposer(POLICY, DUTY, "b", "xyz")
    group.unreachable = set()
    group.exchange(other, now)
    assert other.current_epoch(now) is None, "a lease lasts longer at the grantors than at its holder"
    now = cut_off + POLICY.length + 0.1 + POLICY.pause
    other.tick(now)
    while other.current_epoch(now) is None and now < cut_off + 10.0:
        group.exchange(other, now)
        now += 0.05
    epoch = other.current_epoch(now)
    assert epoch is not None and epoch > (1, "a")


def test_lease_counts_from_the_proposal_even_if_the_answer_is_read_after_a_pause() -> None:
    proposer = Proposer(POLICY, DUTY, "a", "xyz")
    proposer.tick(0.0)
    for name in "xy":
        proposer.on_answer(0.0, name, Promise(DUTY, (1, "a"), None))
    for name in "xy":  # read after a pause of a minute
        proposer.on_answer(60.0, name, Accepted(DUTY, (1, "a")))
    assert proposer.current_epoch(60.0) is None


def test_observed_epoch_is_never_won_again() -> None:
    group, proposer = GrantorGroup(), Proposer(POLICY, DUTY, "a", "xyz")
    proposer.observe_epoch((41, "q"))
    group.exchange(proposer, 0.0)
    assert proposer.current_epoch(0.0) == (42, "a")


def test_released_duty_can_be_acquired_at_once() -> None:
    group, proposer, other = GrantorGroup(), Proposer(POLICY, DUTY, "a", "xyz"), Proposer(POLICY, DUTY, "b", "xyz")
    group.exchange(proposer, 0.0)
    (released,) = proposer.release(1.0)
    assert proposer.current_epoch(1.0) is None and proposer.tick(50.0) == []
    for grantor in group.grantors.values():
        grantor.on_request(1.0, released)
    other.observe_epoch((1, "a"))
    group.exchange(other, 1.0)
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
def test_invalid_policy_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name if name != "margin" else "length"):
        Grantor(replace(POLICY, **{name: value}), 0.0)


# ---- random worlds --------------------------------------------------------------------------


@dataclass
class World:
    """Grantors and proposers with clock drift, message delay and loss, pauses and restarts."""

    seed: int
    policy: LeasePolicy = POLICY
    new_grantor: Callable[[LeasePolicy, float], Grantor] = Grantor
    rng: Random = field(init=False)
    now: float = 0.0  # true time
    two_holders_at: float = -1.0  # when there were two holders; negative: never
    held_steps: int = 0  # steps in which there was a holder
    epochs: list[tuple[int, str]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = rng = Random(self.seed)
        names = [f"g{i}" for i in range(rng.choice((3, 3, 5)))]
        proposers = [f"a{i}" for i in range(rng.choice((2, 3)))]
        self.rates = {name: 1.0 + POLICY.drift * rng.uniform(-1.0, 1.0) for name in (*names, *proposers)}
        self.offsets = {name: rng.uniform(0.0, 1e5) for name in self.rates}
        self.grantors = {name: Grantor(self.policy, self.clock(name) - 100.0) for name in names}
        self.proposers = {name: Proposer(self.policy, DUTY, name, names, rng.random()) for name in proposers}
        self.paused_until = dict.fromkeys(proposers, 0.0)
        self.started = dict.fromkeys(names, 0.0)
        self.in_flight: list[tuple[float, str, str, Request | Answer]] = []
        self.loss = rng.choice((0.0, 0.1, 0.3))
        self.delay = rng.choice((0.01, 0.05, 0.5))

    def clock(self, name: str) -> float:
        """The time on a machine's own clock."""
        return self.offsets[name] + self.rates[name] * self.now

    def send(self, sender: str, to: str, content: Request | Answer) -> None:
        if self.rng.random() >= self.loss:
            self.in_flight.append((self.now + self.rng.expovariate(1.0 / self.delay), sender, to, content))

    def send_all(self, name: str, requests: list[Request]) -> None:
        for request in requests:
            for grantor in self.grantors:
                self.send(name, grantor, request)

    def deliver(self) -> None:
        due = [
            message
            for message in self.in_flight
            if message[0] <= self.now and self.paused_until.get(message[2], 0.0) <= self.now
        ]
        self.in_flight = [message for message in self.in_flight if message not in due]
        for _, sender, to, content in sorted(due, key=lambda message: message[0]):
            if isinstance(content, Prepare | Propose | Released):
                answer = self.grantors[to].on_request(self.clock(to), content)
                if answer is not None:
                    self.send(to, sender, answer)
            else:
                self.send_all(to, self.proposers[to].on_answer(self.clock(to), sender, content))

    def inject_faults(self) -> None:
        rng = self.rng
        if rng.random() < 0.004:
            self.paused_until[rng.choice(list(self.proposers))] = self.now + self.policy.length * rng.choice(
                (0.1, 1.0, 3.0)
            )
        if rng.random() < 0.004:
            name = rng.choice(list(self.grantors))
            self.grantors[name] = self.new_grantor(self.policy, self.clock(name))

    def run(self, seconds: float) -> None:
        while self.now < seconds:
            self.now += 0.05
            self.inject_faults()
            self.deliver()
            for name, proposer in self.proposers.items():
                if self.paused_until[name] <= self.now:
                    self.send_all(name, proposer.tick(self.clock(name)))
            # Paused proposers are checked too: they would act on what they believe when they resume.
            epochs = [proposer.current_epoch(self.clock(name)) for name, proposer in self.proposers.items()]
            holders = [epoch for epoch in epochs if epoch is not None]
            self.held_steps += bool(holders)
            if len(holders) > 1 and self.two_holders_at < 0.0:
                self.two_holders_at = self.now
            self.epochs += [epoch for epoch in holders if self.epochs[-1:] != [epoch]]


@pytest.mark.parametrize("first", range(0, 200, 25))
def test_random_worlds_never_have_two_holders(first: int) -> None:
    worlds = [World(seed) for seed in range(first, first + 25)]
    for world in worlds:
        world.run(40.0)
    assert [(world.seed, world.two_holders_at) for world in worlds if world.two_holders_at >= 0.0] == []
    mild = [world for world in worlds if world.delay < 0.5 and world.loss < 0.3]
    assert sum(world.held_steps for world in mild) > 0.5 * len(mild) * 800, "most of the time there is a holder"


def test_epochs_only_grow_while_no_grantor_restarts() -> None:
    class WithoutRestarts(World):
        def inject_faults(self) -> None:
            if self.rng.random() < 0.01:
                self.paused_until[self.rng.choice(list(self.proposers))] = self.now + 4.0

    for seed in range(60):
        world = WithoutRestarts(seed)
        world.run(40.0)
        assert world.epochs == sorted(world.epochs), seed


def defect_shows(
    policy: LeasePolicy = POLICY, new_grantor: Callable[[LeasePolicy, float], Grantor] = Grantor
) -> bool:
    """Whether a planted defect leads to two holders in one of 400 worlds."""
    for seed in range(400):
        world = World(seed, policy, new_grantor)
        world.run(13.0 * policy.length)
        if world.two_holders_at >= 0.0:
            return True
    return False


def test_detects_grantor_that_answers_right_after_a_restart() -> None:
    assert defect_shows(new_grantor=lambda policy, now: Grantor(policy, now - policy.restart_wait))


def test_detects_holder_without_allowance_for_drift() -> None:
    assert defect_shows(replace(POLICY, length=20.0, drift=0.0, margin=0.0))


def test_detects_holder_that_counts_from_the_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    on_answer = Proposer.on_answer

    def count_from_answer(self: Proposer, now: float, grantor: str, answer: Answer) -> list[Request]:
        previous = self._held_until
        requests = on_answer(self, now, grantor, answer)
        if self._held_until != previous and isinstance(answer, Accepted):
            self._held_until = now + self._policy.holding_time
        return requests

    monkeypatch.setattr(leases.Proposer, "on_answer", count_from_answer)
    assert defect_shows()
