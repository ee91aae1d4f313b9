"""Who stands still: from evidence, with what is no fault of the process's taken off, within bounds."""

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

EVERY = 0.05
POLICY = FailureDetectorPolicy()


class Fleet:
    """Processes that beat, and what happens to them."""

    def __init__(self, count: int, seed: int = 1, policy: FailureDetectorPolicy = POLICY) -> None:
        self.vigil = FailureDetector(policy)
        self.rng = Random(seed)
        self.now = 100.0
        self.keys: list[Key] = [(f"p{i}", 1) for i in range(count)]
        self.turned = dict.fromkeys(self.keys, self.now)
        self.evidence: dict[Key, Callable[[float], Observation]] = {}
        self.acts: list[tuple[float, Decision]] = []

    def beats(self, key: Key) -> Observation:
        if self.now - self.turned[key] >= POLICY.beat:
            self.turned[key] = self.now - POLICY.beat * self.rng.random() * 0.5
        return Observation(self.turned[key], cpu_time=0.001 * self.now)

    def run(self, seconds: float, late: float = 0.0) -> list[Decision]:
        """Look for so long; returns what was to be done."""
        first, end = len(self.acts), self.now + seconds
        while self.now < end:
            self.now += EVERY + late
            seen = {key: self.evidence.get(key, lambda now, key=key: self.beats(key))(self.now) for key in self.keys}
            acts = self.vigil.tick(self.now, seen, len(self.keys), EVERY)
            self.acts += [(self.now, act) for act in acts]
        return [act for _, act in self.acts[first:]]

    def follows(self, i: int) -> Key:
        """Another process of a name, in place of the one that was there."""
        name, generation = self.keys[i]
        self.keys[i] = key = name, generation + 1
        self.turned[key] = self.now
        return key

    def silent(self, key: Key, stopped: bool = False, ran: float = 0.0, starved: float = 0.0) -> float:
        """It beats no more; `ran` and `starved` are what grows each second. Returns when that began."""
        begin, last = self.now, self.turned[key]
        self.evidence[key] = lambda now: Observation(
            last, stopped, 0.001 * begin + ran * (now - begin), starved * (now - begin)
        )
        return begin

    def replaced(self, key: Key) -> float:
        """When it was to be replaced; raises StopIteration if it was not."""
        return next(at for at, act in self.acts if act.key == key and act.response is Response.REPLACE)

    def done(self, key: Key) -> list[Response]:
        return [act.response for _, act in self.acts if act.key == key]


def test_phi_is_the_rarity_of_a_silence() -> None:
    assert phi(0.05, 0.05, 0.025) == pytest.approx(-math.log10(0.5))
    assert phi(0.1, 0.05, 0.025) == pytest.approx(-math.log10(0.5 * math.erfc(2 / math.sqrt(2))))
    values = [phi(0.01 * i, 0.05, 0.03) for i in range(400)]
    assert values == sorted(values) and values[-1] > 1000, "it grows throughout, beyond what erfc can tell"
    assert phi(0.2, 0.05, 0.0) == phi(0.2, 0.05, 0.025), "no deviation is less than timers are coarse"


def test_processes_that_beat_are_left_alone() -> None:
    fleet = Fleet(20)
    assert fleet.run(60.0) == [] and fleet.vigil.counts["suspected"] == 0


@pytest.mark.parametrize(
    ("kind", "within"),
    [
        ({"stopped": True}, 0.5),
        ({}, 0.7),
        ({"ran": 0.99}, 3.3),
    ],
)
def test_each_cause_has_its_own_patience(kind: dict[str, object], within: float) -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[3]
    begin = fleet.silent(key, **kind)  # type: ignore[arg-type]
    fleet.run(5.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE] and {act.key for _, act in fleet.acts} == {
        key
    }
    relieved = next(at for at, act in fleet.acts if act.response is Response.DIVERT_ACCEPTS)
    assert relieved - begin < 0.35 and within - 0.35 < fleet.replaced(key) - begin < within


def test_one_that_waits_for_a_processor_is_not_judged() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    fleet.silent(fleet.keys[0], starved=1.0)
    assert fleet.run(5.0) == []


def test_one_that_comes_back_in_time_accepts_again_after_it_was_steady() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[0]
    fleet.silent(key)
    fleet.run(0.4)
    del fleet.evidence[key]
    back = fleet.now
    fleet.run(2.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS, Response.RESUME_ACCEPTS]
    assert fleet.acts[-1][0] - back >= POLICY.steady
    assert [text.split(": ")[1].split(",")[0] for _, text in fleet.vigil.explain(fleet.now, key[0])] == [
        "suspect",
        "others accept its connections",
        "well",
        "it accepts its own connections again",
    ]


def test_one_that_flaps_is_relieved_once() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[0]
    for _ in range(10):
        fleet.silent(key)
        fleet.run(0.35)
        del fleet.evidence[key]
        fleet.run(0.2)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS]


def test_no_more_than_a_share_is_replaced_at_once_and_the_next_when_others_are_ready() -> None:
    fleet = Fleet(20)
    fleet.run(5.0)
    for key in fleet.keys[1:]:
        fleet.silent(key, stopped=True)
    fleet.run(2.0)
    first = [key for key in fleet.keys if Response.REPLACE in fleet.done(key)]
    assert len(first) == 7, "0.35 of 20"
    assert fleet.vigil.counts["held_back"] == 12
    fleet.vigil.on_ready((first[0][0], 2))
    fleet.run(0.2)
    assert sum(Response.REPLACE in fleet.done(key) for key in fleet.keys) == 8
    fleet.run(REPLACEMENT_TIMEOUT)
    assert sum(Response.REPLACE in fleet.done(key) for key in fleet.keys) >= 14, (
        "none that nobody follows counts for good"
    )


def test_when_most_are_silent_the_evidence_is_distrusted_but_not_what_the_kernel_says() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    for key in fleet.keys[:8]:
        fleet.silent(key)
    fleet.run(5.0)
    assert not any(Response.REPLACE in fleet.done(key) for key in fleet.keys)
    assert fleet.vigil.counts["distrusted"] == 8
    begin = fleet.silent(fleet.keys[0], stopped=True)
    fleet.run(1.0)
    assert fleet.replaced(fleet.keys[0]) >= begin


def test_an_observer_that_was_away_acts_on_no_old_news() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    fleet.silent(fleet.keys[0])
    fleet.run(0.2)
    fleet.now += 10.0  # and nobody looked
    assert not [act for act in fleet.run(0.1) if act.response is Response.REPLACE]
    fleet.run(2.0)
    assert fleet.done(fleet.keys[0])[-1] is Response.REPLACE, "but on what it sees since"


def test_an_observer_that_was_away_takes_no_beat_of_that_time_for_the_last() -> None:
    """One that beat once more after the last look, and then died or was stopped for a while, unseen."""
    fleet = Fleet(10)
    fleet.run(5.0)
    key = fleet.keys[0]
    last = fleet.now + 0.02
    fleet.evidence[key] = lambda now: Observation(last)
    fleet.now += 10.0
    assert fleet.run(0.1) == []
    fleet.run(2.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE], "but on what it sees since"


def test_an_observer_that_is_late_at_each_look_takes_that_off() -> None:
    fleet = Fleet(10)
    fleet.run(5.0)
    for key in fleet.keys:
        beats = 0.0

        def slow(now: float, key: Key = key) -> Observation:
            nonlocal beats
            if now - fleet.turned[key] >= 0.5:
                fleet.turned[key] = now
            return Observation(fleet.turned[key])

        fleet.evidence[key] = slow
    assert not [act for act in fleet.run(20.0, late=0.45) if act.response is Response.REPLACE]


def test_what_an_observer_is_late_after_a_beat_is_taken_off_too() -> None:
    """Both wait for the same processor: it beats just after a look, and waits then as long as the observer does."""
    fleet = Fleet(10)
    fleet.run(5.0)
    key = fleet.keys[0]

    def after(now: float) -> Observation:
        turned, fleet.turned[key] = fleet.turned[key], now + 0.04
        return Observation(turned, runnable=True)

    fleet.evidence[key] = after
    fleet.run(0.1)
    assert not [act for act in fleet.run(30.0, late=0.9) if act.response is Response.REPLACE]


def test_one_that_turns_and_accepts_nothing_is_relieved_and_never_killed() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[2]
    fleet.evidence[key] = lambda now: Observation(fleet.beats(key).last_heartbeat, accept_wait=0.7)
    fleet.run(20.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS]


@pytest.mark.parametrize("seed", range(20))
def test_random_stalls_never_break_the_bounds(seed: int) -> None:
    rng = Random(seed)
    count = rng.randint(1, 12)
    fleet = Fleet(count, seed)
    fleet.run(2.0)
    most = max(1, math.floor(POLICY.share * count))
    for _ in range(30):
        key = rng.choice(fleet.keys)
        if rng.random() < 0.5:
            fleet.silent(key, stopped=rng.random() < 0.3, ran=rng.random(), starved=rng.random())
        else:
            fleet.evidence.pop(key, None)
        fleet.run(rng.uniform(0.05, 1.0))
        recent = {
            act.key
            for at, act in fleet.acts
            if act.response is Response.REPLACE and at > fleet.now - REPLACEMENT_TIMEOUT
        }
        assert len(recent) <= most
    for key in fleet.keys:
        done = [do for do in fleet.done(key) if do is not Response.REPLACE]
        assert all(a is not b for a, b in pairwise(done)), "relieved and returned by turns"
        well = fleet.vigil.processes[key].verdict is Verdict.HEALTHY
        assert well is not fleet.vigil.processes[key].accepts_diverted


@pytest.mark.parametrize(("name", "value"), [("share", 1.5), ("beat", 0.0), ("certain", 1.0), ("steady", math.nan)])
def test_a_policy_that_makes_no_sense_names_the_field(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        FailureDetector(FailureDetectorPolicy(**{name: value}))


def test_one_that_serves_and_does_not_beat_is_left_alone_for_as_long_as_it_serves() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[2]
    last, begin = fleet.turned[key], fleet.now
    fleet.evidence[key] = lambda now: Observation(last, cpu_time=now, progress=int(10.0 * min(now, begin + 20.0)))
    assert fleet.run(20.0) == []
    fleet.run(6.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE], "no sign of life is left"


def accounts(keys: list[Key], ill: list[Key]) -> dict[Key, TrafficCounters]:
    return {key: TrafficCounters(list_version=5, out_of_descriptors=key in ill) for key in keys}


def test_who_fares_worse_is_set_aside_never_killed_and_no_more_than_a_share() -> None:
    vigil = FailureDetector(POLICY)
    keys = [(f"p{i}", 1) for i in range(12)]
    acts: list[Decision] = []
    for i in range(200):
        now = 100.0 + EVERY * i
        seen = {key: Observation(now, cpu_time=0.01 * i) for key in keys}
        acts += vigil.tick(now, seen, 12, EVERY, accounts(keys, keys[:5]))
    assert [act.response for act in acts] == [Response.EJECT] * 4, "0.35 of 12"
    assert vigil.counts["unlike"] == 4 and vigil.counts["held_back"] == 1 and vigil.counts["replaced"] == 0
    assert vigil.view(keys[0])["unlike"] == "full" and vigil.view(keys[9])["unlike"] == ""
    for i in range(200, 1200):
        now = 100.0 + EVERY * i
        seen = {key: Observation(now, cpu_time=0.01 * i) for key in keys}
        acts += vigil.tick(now, seen, 12, EVERY, accounts(keys, []))
    assert [act.response for act in acts[4:]] == [Response.READMIT] * 4
    assert "all of its new connections" in vigil.explain(now, "p0")[-1][1]


# ---- from the start of a process to its end ------------------------------------------------


def test_what_a_start_takes_is_no_silence_and_others_accept_for_it_if_most_serve() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.follows(3)
    fleet.evidence[key] = lambda now: Observation(0.0, cpu_time=1.0, lifecycle=Lifecycle.STARTING)
    assert fleet.run(20.0) == [], "nobody waits for it"
    fleet.evidence[key] = lambda now: Observation(0.0, cpu_time=1.0, accept_wait=0.6, lifecycle=Lifecycle.STARTING)
    assert [act.response for act in fleet.run(5.0)] == [Response.DIVERT_ACCEPTS]
    del fleet.evidence[key]
    assert [act.response for act in fleet.run(5.0)] == [Response.RESUME_ACCEPTS], "it beats"


def test_in_a_blow_nobody_accepts_for_those_that_start() -> None:
    """The few that serve would get what waits for all."""
    fleet = Fleet(8)
    for key in fleet.keys[2:]:
        fleet.evidence[key] = lambda now: Observation(0.0, accept_wait=0.6, lifecycle=Lifecycle.STARTING)
    assert fleet.run(5.0) == []


def test_one_that_is_stopped_as_it_starts_is_replaced() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.follows(3)
    fleet.evidence[key] = lambda now: Observation(0.0, stopped=True, lifecycle=Lifecycle.STARTING)
    begin = fleet.now
    fleet.run(2.0)
    assert fleet.replaced(key) - begin < 0.6


@pytest.mark.parametrize("stopped", [True, False])
def test_one_that_stalls_while_it_ends_is_killed_and_nothing_is_accepted_for_it(stopped: bool) -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[3]
    last = fleet.turned[key]
    fleet.evidence[key] = lambda now: Observation(last, stopped, lifecycle=Lifecycle.LEAVING)
    fleet.run(3.0)
    assert fleet.done(key) == [Response.REPLACE]


def test_those_that_end_say_nothing_of_the_rest() -> None:
    """Most of a fleet is replaced at once, and silent in its last moments; another hangs."""
    fleet = Fleet(8)
    fleet.run(5.0)
    for key in fleet.keys[:6]:
        last = fleet.turned[key]
        fleet.evidence[key] = lambda now, last=last: Observation(last, lifecycle=Lifecycle.LEAVING)  # type: ignore[misc]
    fleet.silent(fleet.keys[7])
    fleet.run(REPLACEMENT_TIMEOUT + 3.0)
    assert fleet.vigil.counts["distrusted"] == 0 and Response.REPLACE in fleet.done(fleet.keys[7])


# ---- a wait for a processor that is not over -----------------------------------------------


@pytest.mark.parametrize("told", [False, True])
def test_one_that_waits_for_a_processor_is_not_judged_though_the_kernel_has_not_counted_it_yet(told: bool) -> None:
    """Each wait lasts two seconds, between moments in which it runs; `told`: the kernel counts it then."""
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[1]
    begin, ran = fleet.now, 0.001 * fleet.now

    def starves(now: float) -> Observation:
        over = 2.0 * ((now - begin) // 2.0)
        return Observation(begin + over, False, ran + 0.001 * over, over * told, runnable=True)

    fleet.evidence[key] = starves
    fleet.run(20.0)
    assert fleet.done(key) == []


def test_one_that_spins_is_ready_to_run_and_runs() -> None:
    fleet = Fleet(8)
    fleet.run(5.0)
    key = fleet.keys[1]
    last, begin = fleet.turned[key], fleet.now
    fleet.evidence[key] = lambda now: Observation(last, cpu_time=0.9 * (now - begin) + begin, runnable=True)
    fleet.run(POLICY.spinning_for + 1.0)
    assert fleet.done(key) == [Response.DIVERT_ACCEPTS, Response.REPLACE]
