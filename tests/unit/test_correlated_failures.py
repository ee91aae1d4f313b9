"""Tests correlated failures: detection, cause, effect on budgets and backoffs, staggered starts, recovery times."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from weldroute.correlated_failures import CorrelationPolicy, FailureCorrelator
from weldroute.fleet import ExitStatus, Fleet, Notice, Spawn, State, SupervisionPolicy

KILLED = ExitStatus(signal=9)
POLICY = SupervisionPolicy(backoff_from=0.2, budget=2, budget_window=120.0, start_at_once=100)
CORRELATION = CorrelationPolicy(share=0.25, least=3, within=2.0, pace=40.0, forgiven=3)


class FleetHarness:
    """A fleet whose processes become ready as soon as they are started."""

    def __init__(
        self,
        count: int,
        correlation: CorrelationPolicy | None = CORRELATION,
        tiers: int = 1,
        policy: SupervisionPolicy = POLICY,
    ) -> None:
        self.fleet = Fleet(policy, 1, correlation)
        self.now = 0.0
        self.notices: list[Notice] = []
        self.starts: list[tuple[float, str]] = []
        for i in range(count):
            self.fleet.add(0.0, f"p{i}", tier=i % tiers)
        self.apply(self.fleet.start(0.0, list(self.fleet.instances))[1])
        self.run(1.0)

    def apply(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Notice):
                self.notices.append(action)
            elif isinstance(action, Spawn):
                self.starts.append((self.now, action.name))
                self.apply(self.fleet.on_ready(self.now, action.name, action.generation))
                self.apply(self.fleet.on_check_answered(self.now, action.name, action.generation))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.01
            for name, instance in self.fleet.instances.items():
                if instance.current is not None:
                    self.fleet.on_heartbeat(self.now, name, instance.current.generation, 0)
                    self.apply(self.fleet.on_check_answered(self.now, name, instance.current.generation))
            self.apply(self.fleet.tick(self.now))

    def end_processes(self, names: list[str], status: ExitStatus = KILLED) -> None:
        for name in names:
            current = self.fleet.instances[name].current
            if current is not None:
                self.apply(self.fleet.on_exit(self.now, name, current.generation, status))

    def states(self) -> set[State]:
        return {instance.state for instance in self.fleet.instances.values()}

    def events(self, event: str) -> list[str]:
        return [notice.text for notice in self.notices if notice.event == event]


def names(count: int, first: int = 0) -> list[str]:
    return [f"p{i}" for i in range(first, first + count)]


def test_simultaneous_kills_are_one_event_and_cost_no_budget() -> None:
    """14 of 20 killed three times, with a budget of two restarts: without correlation they would have failed."""
    harness = FleetHarness(20)
    for _ in range(3):
        harness.end_processes(names(14))
        harness.run(1.0)
        assert harness.states() == {State.READY}
    assert len(harness.events("blow")) == 3
    assert not harness.events("failed")
    uncorrelated = FleetHarness(20, None)
    for _ in range(3):
        uncorrelated.end_processes(names(14))
        uncorrelated.run(1.0)
    assert State.FAILED in uncorrelated.states()


def test_slightly_later_exits_belong_to_the_same_event() -> None:
    harness = FleetHarness(20)
    for name in names(14):
        harness.end_processes([name])
        harness.run(0.02)
    harness.run(1.0)
    assert len(harness.events("blow")) == 1
    assert (
        harness.fleet.failure_correlator is not None
        and len(harness.fleet.failure_correlator.failures[-1].names) == 14
    )


def test_second_failure_soon_after_the_first_is_another_event() -> None:
    harness = FleetHarness(20)
    harness.end_processes(names(14))
    harness.run(0.9)
    harness.end_processes(names(14, 6))
    harness.run(2.0)
    assert len(harness.events("blow")) == 2 and harness.states() == {State.READY}


def test_overlapping_failures_are_told_apart() -> None:
    """Four of six instances, each time with a new one that could be taken for a late exit of the previous failure."""
    harness = FleetHarness(6)
    for round_number in range(4):
        harness.end_processes([f"p{(round_number + i) % 6}" for i in range(4)])
        harness.run(0.5)
        assert len(harness.events("blow")) == round_number + 1


@pytest.mark.parametrize(
    "status", [ExitStatus(code=1), ExitStatus(signal=11), ExitStatus(signal=9, out_of_memory=True)]
)
def test_internal_exits_are_never_forgiven(status: ExitStatus) -> None:
    """A poisoned request, a bad file or a leak: however many instances exit, budgets and backoffs apply."""
    harness = FleetHarness(20)
    for _ in range(3):
        harness.end_processes(names(14), status)
        harness.run(2.0)
    assert not harness.events("blow")
    assert harness.states() == {State.READY, State.FAILED}


def test_single_kills_are_single_failures() -> None:
    harness = FleetHarness(20)
    for name in ("p1", "p2", "p1", "p2", "p1"):
        harness.end_processes([name])
        harness.run(2.5)
    assert not harness.events("blow") and harness.fleet.instances["p1"].state is State.FAILED


def test_failures_beyond_the_forgiven_ones_are_charged() -> None:
    harness = FleetHarness(20, CorrelationPolicy(share=0.25, least=3, within=2.0, pace=40.0, forgiven=1))
    for _ in range(5):
        harness.end_processes(names(14))
        harness.run(3.0)
    assert State.FAILED in harness.states()
    assert any("charged" in text and "not charged" not in text for text in harness.events("blow"))


def test_starts_are_staggered_and_rear_tiers_come_first() -> None:
    harness = FleetHarness(21, tiers=3)
    harness.starts.clear()
    harness.end_processes(names(21))
    harness.run(2.0)
    assert len(harness.starts) == 21
    span = harness.starts[-1][0] - harness.starts[0][0]
    assert span >= 0.4, "21 starts at 40 per second"
    order = [int(name[1:]) % 3 for _, name in harness.starts]
    assert order[:6] == [2] * 6 and order[-6:] == [0] * 6


def test_instance_stopped_on_purpose_stays_stopped() -> None:
    harness = FleetHarness(20)
    harness.apply(harness.fleet.stop(harness.now, ["p0"])[1])
    harness.end_processes(["p0"])
    harness.end_processes(names(14, 1))
    harness.run(2.0)
    assert harness.fleet.instances["p0"].state is State.STOPPED


def test_recovery_phases_are_reported_once_and_in_order() -> None:
    correlator = FailureCorrelator(CORRELATION, Random(1))
    for i in range(4):
        failure = correlator.on_exit(10.0, f"p{i}", 8, 9, False)
    assert (
        failure is not None
        and correlator.recovering_count(10.0, "p1") == 4
        and correlator.recovering_count(10.0, "p7") == 1
    )
    reported = []
    for step, phase in enumerate(("up", "known", "first", "full")):
        for i in range(4):
            reached = correlator.on_phase(10.0 + step + 0.1 * i, f"p{i}", phase)
            reported += [reached[1]] if reached is not None else []
    assert reported == ["up", "known", "first", "half", "full"]
    view = failure.view(20.0)
    assert view["up"] == pytest.approx(0.3) and view["full"] == pytest.approx(3.3) and view["over"]
    assert correlator.recovering_count(20.0, "p1") == 1, "the recovery is over"


def test_recovery_waits_for_an_instance_that_exits_again() -> None:
    correlator = FailureCorrelator(CORRELATION, Random(1))
    for i in range(3):
        failure = correlator.on_exit(0.0, f"p{i}", 8, 9, False)
    for i in range(3):
        correlator.on_phase(0.5, f"p{i}", "full")
        if i == 1:
            correlator.on_exit(0.6, "p0", 8, 9, False)
    assert failure is not None and not failure.is_over
    correlator.on_phase(1.0, "p0", "full")
    assert failure.is_over and failure.phase_times["full"] == 1.0


def test_process_that_waits_for_discovery_is_not_killed_and_delays_no_start() -> None:
    fleet = Fleet(SupervisionPolicy(ready_within=1.0, start_at_once=2), 1, CORRELATION)
    for i in range(6):
        fleet.add(0.0, f"p{i}")
    spawned = [a for a in fleet.start(0.0, [f"p{i}" for i in range(6)])[1] if isinstance(a, Spawn)]
    now = 0.0
    for step in range(100):
        now = 0.05 * step
        for action in list(spawned):
            fleet.on_heartbeat(now, action.name, action.generation, 0)
            fleet.on_waiting_for_backends(now, action.name, action.generation)
        spawned += [a for a in fleet.tick(now) if isinstance(a, Spawn)]
    assert len(spawned) == 6, "each was started once although none became ready"
    assert all(instance.restarts == 0 for instance in fleet.instances.values())


@pytest.mark.parametrize("values", [{"share": 0.0}, {"least": 1}, {"within": 0.0}, {"pace": 0.0}, {"forgiven": -1}])
def test_invalid_policy_field_is_named(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=next(iter(values))):
        CorrelationPolicy(**values).check()
