"""Failure detector: verdicts from observations, time that is not the process's fault, and limits of responses."""

from __future__ import annotations

import math
from collections.abc import Callable
from itertools import pairwise
from random import Random

import pytest

from weldroute.failure_detector import (
    REPLACEMENT_TIMEOUT,
    Decision,
    FailureDetector,
    FailureDetectorPolicy,
    Lifecycle,
    Observation,
    Response,
    Verdict,
    phi,
)
from weldroute.outlier_detection import Key, TrafficCounters

INTERVAL = 0.05
POLICY = FailureDetectorPolicy()


class Fleet:
    """Simulated processes that send heartbeats, and the detector's decisions."""

    def __init__(self, count: int, seed: int = 1, policy: FailureDetectorPolicy = POLICY) -> None:
        self.detector = FailureDetector(policy)
        self.rng = Random(seed)
        self.now = 100.0
        self.keys: list[Key] = [(f"p{i}", 1) for i in range(count)]
        self.last_heartbeat = dict.fromkeys(self.keys, self.now)
        self.observations: dict[Key, Callable[[float], Observation]] = {}
        self.decisions: list[tuple[float, Decision]] = []

    def heartbeat(self, key: Key) -> Observation:
        if self.now - self.last_heartbeat[key] >= POLICY.beat:
            self.last_heartbeat[key] = self.now - POLICY.beat * self.rng.random() * 0.5
        return Observation(self.last_heartbeat[key], cpu_time=0.001 * self.now)

    def run(self, seconds: float, delay: float = 0.0) -> list[Decision]:
        """Run the detector for `seconds`, each tick `delay` late; return its decisions."""
        first, end = len(self.decisions), self.now + seconds
        while self.now < end:
            self.now += INTERVAL + delay
            observations = {
                key: self.observations.get(key, lambda now, key=key: self.heartbeat(key))(self.now)
                for key in self.keys
            }
            decisions = self.detector.tick(self.now, observations, len(self.keys), INTERVAL)
            self.decisions += [(self.now, decision) for decision in decisions]
        return [decision for _, decision in self.decisions[first:]]

    def start_successor(self, index: int) -> Key:
        """Replace a process by the next generation of its name."""
        name, generation = self.keys[index]
        self.keys[index] = key = name, generation + 1
        self.last_heartbeat[key] = self.now
        return key

    def silence(self, key: Key, stopped: bool = False, cpu_rate: float = 0.0, cpu_wait_rate: float = 0.0) -> float:
        """Stop its heartbeats; return when. The rates are what its processor time and wait grow by each second."""
        begin, last = self.now, self.last_heartbeat[key]
        self.observations[key] = lambda now: Observation(
            last, stopped, 0.001 * begin + cpu_rate * (now - begin), cpu_wait_rate * (now - begin)
        )
        return begin

    def replaced_at(self, key: Key) -> float:
        """When its replacement was decided; raises StopIteration if it was not."""
        return next(
            time for time, decision in self.decisions if decision.key == key and decision.response is Response.REPLACE
        )

    def responses(self, key: Key) -> list[Response]:
        return [decision.response for _, decision in self.decisions if decision.key == key]


def test_phi_is_the_log_probability_of_a_silence() -> None:
    assert phi(0.05, 0.05, 0.025) == pytest.approx(-math.log10(0.5))
    assert phi(0.1, 0.05, 0.025) == pytest.approx(-math.log10(0.5 * math.erfc(2 / math.sqrt(2))))
    values = [phi(0.01 * i, 0.05, 0.03) for i in range(400)]
    assert values == sorted(values) and values[-1] > 1000, "it keeps growing where erfc underflows"
    assert phi(0.2, 0.05, 0.0) == phi(0.2, 0.05, 0.025), "the deviation has a lower bound"


def test_no_decisions_while_heartbeats_arrive() -> None:
    fleet = Fleet(20)
    assert fleet.run(60.0) == [] and fleet.detector.counts["suspected"] == 0


@pytest.mark.parametrize(
    ("silence", "within"),
    [
        ({"stopped": True}, 0.5),
        ({}, 0.7),
        ({"cpu_rate": 0.99}, 3.3),
    ],
)
def test_each_cause_has_its_own_time_limit(silence: dict[str, object], within: float) -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[3]
    begin = fleet.silence(key, **silence)  # type: ignore[arg-type]
    fleet.run(5.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE] and {
        decision.key for _, decision in fleet.decisions
    } == {key}
    relieved = next(time for time, decision in fleet.decisions if decision.response is Response.DIVERT_ACCEPTS)
    assert relieved - begin < 0.35 and within - 0.35 < fleet.replaced_at(key) - begin < within


def test_waiting_for_a_processor_is_not_silence() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    fleet.silence(fleet.keys[0], cpu_wait_rate=1.0)
    assert fleet.run(5.0) == []


def test_recovered_process_accepts_again_after_steady_heartbeats() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[0]
    fleet.silence(key)
    fleet.run(0.4)
    del fleet.observations[key]
    back = fleet.now
    fleet.run(2.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS, Response.RESUME_ACCEPTS]
    assert fleet.decisions[-1][0] - back >= POLICY.steady
    assert [text.split(": ")[1].split(",")[0] for _, text in fleet.detector.explain(fleet.now, key[0])] == [
        "suspect",
        "others accept its connections",
        "well",
        "it accepts its own connections again",
    ]


def test_accepts_of_a_flapping_process_are_diverted_once() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[0]
    for _ in range(10):
        fleet.silence(key)
        fleet.run(0.35)
        del fleet.observations[key]
        fleet.run(0.2)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS]


def test_replacements_are_limited_to_a_share_until_successors_are_ready() -> None:
    fleet = Fleet(20)
    fleet.run(5.0)
    for key in fleet.keys[1:]:
        fleet.silence(key, stopped=True)
    fleet.run(2.0)
    first = [key for key in fleet.keys if Response.REPLACE in fleet.responses(key)]
    assert len(first) == 7, "0.35 of 20"
    assert fleet.detector.counts["held_back"] == 12
    fleet.detector.on_ready((first[0][0], 2))
    fleet.run(0.2)
    assert sum(Response.REPLACE in fleet.responses(key) for key in fleet.keys) == 8
    fleet.run(REPLACEMENT_TIMEOUT)
    assert sum(Response.REPLACE in fleet.responses(key) for key in fleet.keys) >= 14, (
        "a replaced process without a successor counts for a limited time"
    )


def test_silence_of_most_processes_is_distrusted_but_not_kernel_states() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    for key in fleet.keys[:8]:
        fleet.silence(key)
    fleet.run(5.0)
    assert not any(Response.REPLACE in fleet.responses(key) for key in fleet.keys)
    assert fleet.detector.counts["distrusted"] == 8
    begin = fleet.silence(fleet.keys[0], stopped=True)
    fleet.run(1.0)
    assert fleet.replaced_at(fleet.keys[0]) >= begin


def test_paused_observer_does_not_act_on_old_state() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    fleet.silence(fleet.keys[0])
    fleet.run(0.2)
    fleet.now += 10.0  # without a tick
    assert not [decision for decision in fleet.run(0.1) if decision.response is Response.REPLACE]
    fleet.run(2.0)
    assert fleet.responses(fleet.keys[0])[-1] is Response.REPLACE, "observations after the pause count"


def test_paused_observer_ignores_heartbeats_from_its_pause() -> None:
    """The process sent one more heartbeat after the last tick and then died or was stopped, unobserved."""
    fleet = Fleet(10)
    fleet.run(5.0)
    key = fleet.keys[0]
    last = fleet.now + 0.02
    fleet.observations[key] = lambda now: Observation(last)
    fleet.now += 10.0
    assert fleet.run(0.1) == []
    fleet.run(2.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE], "observations after the pause count"


def test_delay_of_the_observer_is_subtracted_from_silence() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    for key in fleet.keys:
        beats = 0.0

        def slow(now: float, key: Key = key) -> Observation:
            nonlocal beats
            if now - fleet.last_heartbeat[key] >= 0.5:
                fleet.last_heartbeat[key] = now
            return Observation(fleet.last_heartbeat[key])

        fleet.observations[key] = slow
    assert not [decision for decision in fleet.run(20.0, delay=0.45) if decision.response is Response.REPLACE]


def test_observer_delay_after_a_heartbeat_is_subtracted() -> None:
    """Both wait for the same processor: the process sends a heartbeat just after a tick and then waits as well."""
    fleet = Fleet(10)
    fleet.run(5.0)
    key = fleet.keys[0]

    def after(now: float) -> Observation:
        turned, fleet.last_heartbeat[key] = fleet.last_heartbeat[key], now + 0.04
        return Observation(turned, runnable=True)

    fleet.observations[key] = after
    fleet.run(0.1)
    assert not [decision for decision in fleet.run(30.0, delay=0.9) if decision.response is Response.REPLACE]


def test_process_that_does_not_accept_is_never_killed() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[2]
    fleet.observations[key] = lambda now: Observation(fleet.heartbeat(key).last_heartbeat, accept_wait=0.7)
    fleet.run(20.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS]


@pytest.mark.parametrize("seed", range(20))
def test_random_stalls_never_exceed_the_limits(seed: int) -> None:
    rng = Random(seed)
    count = rng.randint(1, 12)
    fleet = Fleet(count, seed)
    fleet.run(2.0)
    most = max(1, math.floor(POLICY.share * count))
    for _ in range(30):
        key = rng.choice(fleet.keys)
        if rng.random() < 0.5:
            fleet.silence(key, stopped=rng.random() < 0.3, cpu_rate=rng.random(), cpu_wait_rate=rng.random())
        else:
            fleet.observations.pop(key, None)
        fleet.run(rng.uniform(0.05, 1.0))
        recent = {
            decision.key
            for time, decision in fleet.decisions
            if decision.response is Response.REPLACE and time > fleet.now - REPLACEMENT_TIMEOUT
        }
        assert len(recent) <= most
    for key in fleet.keys:
        done = [do for do in fleet.responses(key) if do is not Response.REPLACE]
        assert all(a is not b for a, b in pairwise(done)), "diverting and resuming alternate"
        well = fleet.detector.processes[key].verdict is Verdict.HEALTHY
        assert well is not fleet.detector.processes[key].accepts_diverted


@pytest.mark.parametrize(("name", "value"), [("share", 1.5), ("beat", 0.0), ("certain", 1.0), ("steady", math.nan)])
def test_invalid_policy_names_the_field(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        FailureDetector(FailureDetectorPolicy(**{name: value}))


def test_progress_without_heartbeats_counts_as_a_sign_of_life() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[2]
    last, begin = fleet.last_heartbeat[key], fleet.now
    fleet.observations[key] = lambda now: Observation(last, cpu_time=now, progress=int(10.0 * min(now, begin + 20.0)))
    assert fleet.run(20.0) == []
    fleet.run(6.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE], "no sign of life remains"


def counters(keys: list[Key], ill: list[Key]) -> dict[Key, TrafficCounters]:
    return {key: TrafficCounters(list_version=5, out_of_descriptors=key in ill) for key in keys}


def test_outliers_are_ejected_up_to_a_share_and_never_killed() -> None:
    detector = FailureDetector(POLICY)
    keys = [(f"p{i}", 1) for i in range(12)]
    decisions: list[Decision] = []
    for i in range(200):
        now = 100.0 + INTERVAL * i
        seen = {key: Observation(now, cpu_time=0.01 * i) for key in keys}
        decisions += detector.tick(now, seen, 12, INTERVAL, counters(keys, keys[:5]))
    assert [decision.response for decision in decisions] == [Response.EJECT] * 4, "0.35 of 12"
    assert detector.counts["unlike"] == 4 and detector.counts["held_back"] == 1 and detector.counts["replaced"] == 0
    assert detector.view(keys[0])["unlike"] == "full" and detector.view(keys[9])["unlike"] == ""
    for i in range(200, 1200):
        now = 100.0 + INTERVAL * i
        seen = {key: Observation(now, cpu_time=0.01 * i) for key in keys}
        decisions += detector.tick(now, seen, 12, INTERVAL, counters(keys, []))
    assert [decision.response for decision in decisions[4:]] == [Response.READMIT] * 4
    assert "all of its new connections" in detector.explain(now, "p0")[-1][1]


# ---- lifecycle of a process ------------------------------------------------


def test_starting_process_is_not_silent_and_others_accept_for_it_if_most_serve() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.start_successor(3)
    fleet.observations[key] = lambda now: Observation(0.0, cpu_time=1.0, lifecycle=Lifecycle.STARTING)
    assert fleet.run(20.0) == [], "no connection waits for it"
    fleet.observations[key] = lambda now: Observation(
        0.0, cpu_time=1.0, accept_wait=0.6, lifecycle=Lifecycle.STARTING
    )
    assert [decision.response for decision in fleet.run(5.0)] == [Response.DIVERT_ACCEPTS]
    del fleet.observations[key]
    assert [decision.response for decision in fleet.run(5.0)] == [Response.RESUME_ACCEPTS], (
        "its heartbeats have started"
    )


def test_accepts_of_starting_processes_are_not_diverted_in_a_correlated_failure() -> None:
    """The few that serve would receive the connections of all."""
    fleet = Fleet(8)
    for key in fleet.keys[2:]:
        fleet.observations[key] = lambda now: Observation(0.0, accept_wait=0.6, lifecycle=Lifecycle.STARTING)
    assert fleet.run(5.0) == []


def test_process_stopped_during_its_start_is_replaced() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.start_successor(3)
    fleet.observations[key] = lambda now: Observation(0.0, stopped=True, lifecycle=Lifecycle.STARTING)
    begin = fleet.now
    fleet.run(2.0)
    assert fleet.replaced_at(key) - begin < 0.6


@pytest.mark.parametrize("stopped", [True, False])
def test_leaving_process_that_stalls_is_killed_without_diverting_accepts(stopped: bool) -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[3]
    last = fleet.last_heartbeat[key]
    fleet.observations[key] = lambda now: Observation(last, stopped, lifecycle=Lifecycle.LEAVING)
    fleet.run(3.0)
    assert fleet.responses(key) == [Response.REPLACE]


def test_leaving_processes_do_not_count_towards_distrust() -> None:
    """Most of a fleet is replaced at once and silent while exiting; another process hangs."""
    fleet = Fleet(8)
    fleet.run(5.0)
    for key in fleet.keys[:6]:
        last = fleet.last_heartbeat[key]
        fleet.observations[key] = lambda now, last=last: Observation(last, lifecycle=Lifecycle.LEAVING)  # type: ignore[misc]
    fleet.silence(fleet.keys[7])
    fleet.run(REPLACEMENT_TIMEOUT + 3.0)
    assert fleet.detector.counts["distrusted"] == 0 and Response.REPLACE in fleet.responses(fleet.keys[7])


# ---- unfinished waits for a processor -----------------------------------------------


@pytest.mark.parametrize("counted", [False, True])
def test_unfinished_wait_for_a_processor_is_not_silence(counted: bool) -> None:
    """Each wait lasts two seconds; `counted`: the kernel counts it when it is over."""
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[1]
    begin, ran = fleet.now, 0.001 * fleet.now

    def starves(now: float) -> Observation:
        over = 2.0 * ((now - begin) // 2.0)
        return Observation(begin + over, False, ran + 0.001 * over, over * counted, runnable=True)

    fleet.observations[key] = starves
    fleet.run(20.0)
    assert fleet.responses(key) == []


def test_spinning_process_is_replaced_although_it_is_runnable() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[1]
    last, begin = fleet.last_heartbeat[key], fleet.now
    fleet.observations[key] = lambda now: Observation(last, cpu_time=0.9 * (now - begin) + begin, runnable=True)
    fleet.run(POLICY.spinning_for + 1.0)
    assert fleet.responses(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE]
