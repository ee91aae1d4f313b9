"""Many ends at once: one event or many, whose cause, what budgets and waits make of it, and how long it took."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from weldroute.correlated_failures import CorrelationPolicy, FailureCorrelator
from weldroute.fleet import ExitStatus, Fleet, Notice, Spawn, State, SupervisionPolicy

KILLED = ExitStatus(signal=9)
POLICY = SupervisionPolicy(backoff_from=0.2, budget=2, budget_window=120.0, start_at_once=100)
HERD = CorrelationPolicy(share=0.25, least=3, within=2.0, pace=40.0, forgiven=3)


class Ran:
    """A fleet whose processes are ready as soon as they are started."""

    def __init__(
        self, count: int, herd: CorrelationPolicy | None = HERD, tiers: int = 1, policy: SupervisionPolicy = POLICY
    ) -> None:
        self.fleet = Fleet(policy, 1, herd)
        self.now = 0.0
        self.notices: list[Notice] = []
        self.starts: list[tuple[float, str]] = []
        for i in range(count):
            self.fleet.add(0.0, f"p{i}", tier=i % tiers)
        self.do(self.fleet.start(0.0, list(self.fleet.instances))[1])
        self.run(1.0)

    def do(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Notice):
                self.notices.append(action)
            elif isinstance(action, Spawn):
                self.starts.append((self.now, action.name))
                self.do(self.fleet.on_ready(self.now, action.name, action.generation))
                self.do(self.fleet.on_check_answered(self.now, action.name, action.generation))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += 0.01
            for name, instance in self.fleet.instances.items():
                if instance.current is not None:
                    self.fleet.on_heartbeat(self.now, name, instance.current.generation, 0)
                    self.do(self.fleet.on_check_answered(self.now, name, instance.current.generation))
            self.do(self.fleet.tick(self.now))

    def end(self, names: list[str], how: ExitStatus = KILLED) -> None:
        for name in names:
            current = self.fleet.instances[name].current
            if current is not None:
                self.do(self.fleet.on_exit(self.now, name, current.generation, how))

    def states(self) -> set[State]:
        return {instance.state for instance in self.fleet.instances.values()}

    def events(self, event: str) -> list[str]:
        return [notice.text for notice in self.notices if notice.event == event]


def names(count: int, first: int = 0) -> list[str]:
    return [f"p{i}" for i in range(first, first + count)]


def test_seven_in_ten_killed_at_once_are_one_event_and_cost_no_budget() -> None:
    """Three times, with a budget of two restarts: without the event they would have failed."""
    ran = Ran(20)
    for _ in range(3):
        ran.end(names(14))
        ran.run(1.0)
        assert ran.states() == {State.READY}
    assert len(ran.events("blow")) == 3
    assert not ran.events("failed")
    alone = Ran(20, None)
    for _ in range(3):
        alone.end(names(14))
        alone.run(1.0)
    assert State.FAILED in alone.states()


def test_what_falls_a_moment_later_is_of_the_same_event() -> None:
    ran = Ran(20)
    for name in names(14):
        ran.end([name])
        ran.run(0.02)
    ran.run(1.0)
    assert len(ran.events("blow")) == 1
    assert ran.fleet.failure_correlator is not None and len(ran.fleet.failure_correlator.failures[-1].names) == 14


def test_a_second_blow_within_the_span_of_the_first_is_an_event_of_its_own() -> None:
    ran = Ran(20)
    ran.end(names(14))
    ran.run(0.9)
    ran.end(names(14, 6))
    ran.run(2.0)
    assert len(ran.events("blow")) == 2 and ran.states() == {State.READY}


def test_blows_that_overlap_are_told_apart_one_after_the_other() -> None:
    """Four of six, each time with one that did not fall before: it could pass for a late one of the blow before."""
    ran = Ran(6)
    for blow in range(4):
        ran.end([f"p{(blow + i) % 6}" for i in range(4)])
        ran.run(0.5)
        assert len(ran.events("blow")) == blow + 1


@pytest.mark.parametrize("how", [ExitStatus(code=1), ExitStatus(signal=11), ExitStatus(signal=9, out_of_memory=True)])
def test_ends_of_their_own_are_never_forgiven(how: ExitStatus) -> None:
    """A poisoned request, a bad file, a leak: however many it hits, budgets and backoffs hold it up."""
    ran = Ran(20)
    for _ in range(3):
        ran.end(names(14), how)
        ran.run(2.0)
    assert not ran.events("blow")
    assert ran.states() == {State.READY, State.FAILED}


def test_single_kills_are_single_failures() -> None:
    ran = Ran(20)
    for name in ("p1", "p2", "p1", "p2", "p1"):
        ran.end([name])
        ran.run(2.5)
    assert not ran.events("blow") and ran.fleet.instances["p1"].state is State.FAILED


def test_an_event_too_many_is_charged() -> None:
    ran = Ran(20, CorrelationPolicy(share=0.25, least=3, within=2.0, pace=40.0, forgiven=1))
    for _ in range(5):
        ran.end(names(14))
        ran.run(3.0)
    assert State.FAILED in ran.states()
    assert any("charged" in text and "not charged" not in text for text in ran.events("blow"))


def test_starts_come_in_waves_and_tiers_behind_first() -> None:
    ran = Ran(21, tiers=3)
    ran.starts.clear()
    ran.end(names(21))
    ran.run(2.0)
    assert len(ran.starts) == 21
    span = ran.starts[-1][0] - ran.starts[0][0]
    assert span >= 0.4, "21 starts at 40 a second"
    order = [int(name[1:]) % 3 for _, name in ran.starts]
    assert order[:6] == [2] * 6 and order[-6:] == [0] * 6


def test_an_instance_that_was_stopped_on_purpose_stays_so() -> None:
    ran = Ran(20)
    ran.do(ran.fleet.stop(ran.now, ["p0"])[1])
    ran.end(["p0"])
    ran.end(names(14, 1))
    ran.run(2.0)
    assert ran.fleet.instances["p0"].state is State.STOPPED


def test_the_phases_of_a_blow_are_told_once_and_in_order() -> None:
    herd = FailureCorrelator(HERD, Random(1))
    for i in range(4):
        blow = herd.on_exit(10.0, f"p{i}", 8, 9, False)
    assert blow is not None and herd.recovering_count(10.0, "p1") == 4 and herd.recovering_count(10.0, "p7") == 1
    told = []
    for step, phase in enumerate(("up", "known", "first", "full")):
        for i in range(4):
            found = herd.on_phase(10.0 + step + 0.1 * i, f"p{i}", phase)
            told += [found[1]] if found is not None else []
    assert told == ["up", "known", "first", "half", "full"]
    view = blow.view(20.0)
    assert view["up"] == pytest.approx(0.3) and view["full"] == pytest.approx(3.3) and view["over"]
    assert herd.recovering_count(20.0, "p1") == 1, "it is over"


def test_one_that_ends_again_makes_the_blow_wait_for_it() -> None:
    herd = FailureCorrelator(HERD, Random(1))
    for i in range(3):
        blow = herd.on_exit(0.0, f"p{i}", 8, 9, False)
    for i in range(3):
        herd.on_phase(0.5, f"p{i}", "full")
        if i == 1:
            herd.on_exit(0.6, "p0", 8, 9, False)
    assert blow is not None and not blow.is_over
    herd.on_phase(1.0, "p0", "full")
    assert blow.is_over and blow.phase_times["full"] == 1.0


def test_what_waits_for_discovery_is_not_killed_and_holds_up_no_start() -> None:
    fleet = Fleet(SupervisionPolicy(ready_within=1.0, start_at_once=2), 1, HERD)
    for i in range(6):
        fleet.add(0.0, f"p{i}")
    begun = [a for a in fleet.start(0.0, [f"p{i}" for i in range(6)])[1] if isinstance(a, Spawn)]
    now = 0.0
    for step in range(100):
        now = 0.05 * step
        for action in list(begun):
            fleet.on_heartbeat(now, action.name, action.generation, 0)
            fleet.on_waiting_for_backends(now, action.name, action.generation)
        begun += [a for a in fleet.tick(now) if isinstance(a, Spawn)]
    assert len(begun) == 6, "each was started once, though none became ready"
    assert all(instance.restarts == 0 for instance in fleet.instances.values())


@pytest.mark.parametrize("values", [{"share": 0.0}, {"least": 1}, {"within": 0.0}, {"pace": 0.0}, {"forgiven": -1}])
def test_policies_that_make_no_sense(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=next(iter(values))):
        CorrelationPolicy(**values).check()
