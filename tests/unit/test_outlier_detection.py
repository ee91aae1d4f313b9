"""Outlier detection: findings by comparison with peers, and the stepwise return to full traffic."""

from __future__ import annotations

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute.model import Outcome
from weldroute.outlier_detection import (
    CELL_COUNT,
    MAX_LIST_VERSION,
    MIN_LONG_ATTEMPT,
    TRAFFIC_SHARES,
    ZONES,
    Finding,
    Key,
    OutlierCause,
    OutlierDetector,
    OutlierPolicy,
    TrafficRecorder,
    path_loss_log_ratio,
    read_counters,
)

INTERVAL = 0.05
POLICY = OutlierPolicy()


class World:
    """Simulated processes that serve requests, and one detector that observes them."""

    def __init__(self, count: int, rate: float = 20.0, seed: int = 1, tiers: int = 1) -> None:
        self.detector = OutlierDetector(POLICY)
        self.rng = Random(seed)
        self.rate = rate
        self.now = 50.0
        self.keys: list[Key] = [(f"p{i}", 1) for i in range(count)]
        self.tiers = {key: i % tiers for i, key in enumerate(self.keys)}
        self.cells = {key: [0] * CELL_COUNT for key in self.keys}
        self.recorders = {key: TrafficRecorder(self.cells[key]) for key in self.keys}
        self.times = dict.fromkeys(self.keys, 0.03)
        self.lost_paths: set[tuple[Key, int]] = set()
        self.list_versions = dict.fromkeys(self.keys, 7)
        self.out_of_descriptors: set[Key] = set()
        self.loss_rate = 0.0  # share of all attempts that are lost
        self.findings: list[tuple[float, Key, Finding]] = []

    def serve(self, key: Key) -> None:
        zone = self.rng.randrange(2)
        if (key, zone) in self.lost_paths or self.rng.random() < self.loss_rate:
            self.recorders[key].on_attempt_ended(zone, Outcome.UNREACHABLE, 0.25)
        else:
            self.recorders[key].on_attempt_ended(
                zone, Outcome.OK, self.times[key] * math.exp(self.rng.gauss(0.0, 0.5))
            )

    def run(self, seconds: float) -> dict[Key, Finding]:
        """Serve and run the detector for `seconds`; return the findings of the last tick."""
        current: dict[Key, Finding] = {}
        for _ in range(round(seconds / INTERVAL)):
            self.now += INTERVAL
            for key in self.keys:
                if self.rng.random() < self.rate * self.detector.traffic_share(key) * INTERVAL:
                    self.serve(key)
                self.recorders[key].publish_state(self.list_versions[key], key in self.out_of_descriptors)
            current = self.detector.tick(
                self.now, {key: read_counters(self.cells[key], self.tiers[key]) for key in self.keys}
            )
            self.findings += [(self.now, key, finding) for key, finding in current.items()]
        return current


@pytest.mark.parametrize("rate", [1.0, 20.0])
@pytest.mark.parametrize("fails", [0.0, 0.1, 0.6])
def test_no_findings_among_similar_processes(rate: float, fails: float) -> None:
    world = World(20, rate)
    world.loss_rate = fails
    world.run(120.0)
    assert world.findings == []


def test_lost_path_is_found_within_a_second() -> None:
    world = World(8)
    world.run(5.0)
    key, begin = world.keys[3], world.now
    world.lost_paths.add((key, 1))
    found = world.run(1.0)
    assert {one: finding.cause for one, finding in found.items()} == {key: OutlierCause.PATH}
    assert found[key].description.startswith("zone 1: ") and world.findings[0][0] - begin < 0.9
    assert (
        world.detector.traffic_share(key) == TRAFFIC_SHARES[0] and world.detector.traffic_share(world.keys[0]) == 1.0
    )


def test_zone_lost_for_all_is_no_finding() -> None:
    world = World(8)
    world.run(5.0)
    world.lost_paths |= {(key, 1) for key in world.keys}
    world.run(20.0)
    assert world.findings == []


@pytest.mark.parametrize("seed", range(20))
def test_connections_that_break_for_all_within_moments_are_no_finding(seed: int) -> None:
    """Five connections of each process break, those of one process one tick before the others'."""
    world = World(5, 16.0, seed)
    world.run(5.0)
    first = world.keys[seed % 5]
    for key in (first, *(one for one in world.keys if one != first)):
        world.lost_paths.add((key, 1))
        for _ in range(5):
            world.recorders[key].on_attempt_ended(1, Outcome.BROKEN, 0.01)
        if key == first:
            world.run(INTERVAL)
    world.run(8.0)
    assert world.findings == []


@pytest.mark.parametrize("rate", [20.0, 100.0])
@pytest.mark.parametrize("seed", range(5))
def test_five_times_slower_is_found_unless_all_are_slow(rate: float, seed: int) -> None:
    world = World(8, rate, seed)
    world.run(5.0)
    for change in (5.0, 0.2, 5.0):
        world.times = {key: change * time for key, time in world.times.items()}
        world.run(5.0)
        assert world.findings == []
    world.times[world.keys[5]] *= 5.0
    found = world.run(0.7)
    assert {key: finding.cause for key, finding in found.items()} == {world.keys[5]: OutlierCause.SLOW}


def test_slightly_slower_is_no_finding() -> None:
    world = World(8, rate=100.0)
    world.times[world.keys[5]] *= 1.5
    world.run(30.0)
    assert world.findings == []


@pytest.mark.parametrize("updated", [4, 5])
def test_outdated_lists_are_found_after_a_delay(updated: int) -> None:
    world = World(8)
    world.run(2.0)
    for key in world.keys[:updated]:
        world.list_versions[key] = 8
    world.run(POLICY.behind - 0.2)
    assert world.findings == []
    found = world.run(0.4)
    assert {finding.cause for finding in found.values()} == {OutlierCause.BEHIND} and set(found) == set(
        world.keys[updated:]
    )
    world = World(8)
    world.list_versions[world.keys[0]] = 9  # the first to be updated, or one with an unusual version
    world.run(10.0)
    assert world.findings == []


def test_descriptor_shortage_is_found_at_once_unless_most_have_it() -> None:
    world = World(8)
    world.out_of_descriptors = {world.keys[1]}
    assert world.run(0.1)[world.keys[1]].cause is OutlierCause.FULL
    world = World(8)
    world.out_of_descriptors = set(world.keys[:4])
    world.run(5.0)
    assert world.findings == []


def test_tiers_are_not_compared_with_each_other() -> None:
    world = World(8, tiers=2)
    for key in world.keys:
        if world.tiers[key]:
            world.times[key], world.list_versions[key] = 0.5, 3
    world.run(20.0)
    assert world.findings == []


def test_share_rises_in_steps_and_drops_again_with_a_new_finding() -> None:
    world = World(8)
    world.run(5.0)
    key = world.keys[3]
    world.lost_paths.add((key, 1))
    world.run(3.0)
    world.lost_paths.clear()
    portions: list[float] = []
    mended = world.now
    while not portions or portions[-1] < 1.0:
        world.run(INTERVAL)
        portions.append(world.detector.traffic_share(key))
        assert world.now < mended + 4 * POLICY.retry
    assert sorted(set(portions)) == list(TRAFFIC_SHARES) and portions == sorted(portions)
    assert world.now - mended >= 2 * POLICY.steady
    world.run(POLICY.steady)
    assert world.run(INTERVAL) == {}
    world.lost_paths.add((key, 0))
    world.run(2.0)
    assert world.detector.traffic_share(key) == TRAFFIC_SHARES[0]
    world.run(60.0)
    assert world.detector.traffic_share(key) < 1.0, "the path is still lost, which shows at each step"
    begin = world.now
    world.run(120.0)
    assert sum(at > begin and one == key for at, one, _ in world.findings) > 0.95 * 120.0 / INTERVAL, (
        "and is found again throughout"
    )


def test_share_rises_without_samples_after_a_while() -> None:
    world = World(8)
    world.out_of_descriptors = {world.keys[1]}
    world.run(1.0)
    world.out_of_descriptors = set()
    world.rate = 0.0
    world.run(POLICY.retry - 1.0)
    assert world.detector.traffic_share(world.keys[1]) == TRAFFIC_SHARES[0]
    world.run(3.0 * POLICY.retry)
    assert world.detector.traffic_share(world.keys[1]) == 1.0


def test_samples_from_a_burst_do_not_delay_readmission() -> None:
    world = World(8)
    key = world.keys[3]
    world.out_of_descriptors = {key}
    world.run(1.0)
    for _ in range(80):
        world.recorders[key].on_attempt_ended(0, Outcome.OK, 2.0)
    world.out_of_descriptors = set()
    begin = world.now
    while world.detector.traffic_share(key) < 1.0:
        world.run(INTERVAL)
        assert world.now < begin + 20.0


def test_last_samples_do_not_block_readmission_without_traffic() -> None:
    world = World(8)
    key = world.keys[3]
    world.run(2.0)
    for _ in range(80):
        world.recorders[key].on_attempt_ended(0, Outcome.OK, 2.0)
    world.run(INTERVAL)
    assert world.detector.traffic_share(key) == TRAFFIC_SHARES[0]
    begin, world.keys = world.now, [one for one in world.keys if one != key]
    account = read_counters(world.cells[key], 0)
    while world.detector.traffic_share(key) < 1.0:
        world.now += INTERVAL
        for one in world.keys:
            world.serve(one)
        accounts = {one: read_counters(world.cells[one], 0) for one in world.keys}
        world.detector.tick(world.now, accounts | {key: account})
        assert world.now < begin + 8 * POLICY.retry


def test_cancelled_attempts_count_only_after_a_long_time() -> None:
    cells = [0] * CELL_COUNT
    counting = TrafficRecorder(cells)
    for _ in range(50):
        counting.on_attempt_ended(0, Outcome.OK, 0.1)
    counting.on_attempt_ended(0, Outcome.CANCELLED, 0.5)
    counting.on_attempt_ended(0, Outcome.ERROR, 0.01)
    counting.on_attempt_ended(0, Outcome.VOID, 0.01)
    account = read_counters(cells, 0)
    assert (account.total_answered, sum(account.unanswered)) == (50, 0), "0.8 s is eight times the usual"
    counting.on_attempt_ended(0, Outcome.CANCELLED, 0.9)
    counting.on_attempt_ended(9, Outcome.BROKEN, 0.0)
    account = read_counters(cells, 0)
    assert account.unanswered == (1, 0, 0, 1) and len(account.unanswered) == ZONES
    fresh = TrafficRecorder([0] * CELL_COUNT)
    assert fresh._is_long(MIN_LONG_ATTEMPT) and not fresh._is_long(0.9 * MIN_LONG_ATTEMPT)


def test_any_list_version_fits_into_its_cell() -> None:
    cells = [0] * CELL_COUNT
    counting = TrafficRecorder(cells)
    for version, kept in ((-5, 0), (2**200, MAX_LIST_VERSION), (12, 12)):
        counting.publish_state(version, True)
        account = read_counters(cells, 0)
        assert (account.list_version, account.out_of_descriptors) == (kept, True)


@given(st.floats(0.0, 1.0))
def test_likelihood_ratio_of_usual_attempts_has_a_mean_of_at_most_one(usual: float) -> None:
    """A mean of at most 1 means at least 10^`unlike` attempts between false alarms (Lorden, Annals of Mathematical
    Statistics 1971)."""
    missed, reached = math.exp(path_loss_log_ratio(1, 0, usual)), math.exp(path_loss_log_ratio(0, 1, usual))
    assert usual * missed + (1.0 - usual) * reached <= 1.0 + 1e-9
    assert missed >= 1.0 >= reached


def test_lost_path_is_found_at_a_low_request_rate() -> None:
    """Breakers leave few attempts on a lost path, with seconds between them; earlier successes must not count."""
    world = World(8, rate=3.0)
    world.run(20.0)
    key, begin = world.keys[3], world.now
    world.lost_paths.add((key, 1))
    world.run(8.0)
    assert {one for _, one, _ in world.findings} == {key} and world.findings[0][2].cause is OutlierCause.PATH
    assert world.findings[0][0] - begin < 6.0


@pytest.mark.parametrize(("name", "value"), [("unlike", 0.0), ("slower", 1.0), ("window", math.nan)])
def test_invalid_policy_names_the_field(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        OutlierDetector(OutlierPolicy(**{name: value}))
