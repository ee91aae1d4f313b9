"""Detects live processes that perform worse than their peers, by comparing their traffic. Sans I/O, no clock.

Processes of one tier have the same backends, the same discovery and similar callers. What is wrong with the
environment is therefore wrong for all of them, and what only one of them sees is its own problem: its network paths,
its speed, its file descriptors. Each process keeps growing counts (`TrafficCounters`) in shared memory; an observer
reads them several times a second and compares each process with all others taken together.

The score of a difference says how unlikely it is, in decades like `phi` (`weldroute.failure_detector`): minus the
decimal logarithm of a bound on the probability that a process which performs like its peers shows it. It is Page's
cumulative sum (CUSUM, Biometrika 1954) of a log-likelihood ratio, which is cut off at 0 and decays with the time
constant `window`, so that good results before a change don't offset bad ones after it. For paths the ratio is that of
each attempt to a zone: lost with probability LOST_PATH_RATE against that of the peers. For slowness it is that of
each answer's time, with normally distributed logarithms of the peers' mean and deviation: near `slower` times the
peers' time against the same time. Both need many samples or a large difference, so a healthy process at a low request
rate is not taken for an outlier.

| cause   | condition                                                                     | counts when            |
| ------- | ----------------------------------------------------------------------------- | ---------------------- |
| path    | attempts to backends of a zone get no answer, those of its peers do           | score over `unlike`    |
| slow    | its attempts are answered over `slower` times later than those of its peers   | score over `unlike`    |
| behind  | its list of backends is older than half of all have, for `behind` seconds     | at once                |
| full    | it has no descriptor for new connections, and its peers have                  | at once                |

What affects all processes counts for none: a zone that no process reaches, backends that are slow for all, discovery
that reports to none. No other process would do better. This follows from the comparison and needs no extra rule.

An outlier receives a share of the new connections that come for it, at first the smallest of TRAFFIC_SHARES, so that
it keeps showing how it performs. At each step new samples are gathered, over a window that is longer the smaller the
share is, and half of `unlike` is enough to keep the process there or to return it to the smallest share. With
MIN_SAMPLES samples and no such finding for `steady` seconds the share rises by one step; at the last step the process
is readmitted.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from weldroute.checks import check_numbers
from weldroute.model import Outcome

Key = tuple[str, int]  # a name, and the generation of its process
ZONES = 4  # that are distinguished; a fleet's further zones are counted together
TRAFFIC_SHARES = (0.1, 0.3, 1.0)  # of its new connections that an outlier receives, step by step
MIN_SAMPLES = 6.0  # decayed samples from which on conclusions are drawn
MAX_OUTLIER_SAMPLES = 9.0  # an outlier's samples are capped to this, so that recent ones outweigh earlier ones
MIN_LOSS_RATE = 0.02  # assumed for peers that lose fewer attempts, for a low rate may be luck
LOST_PATH_RATE = 0.5  # share of attempts lost on a path that counts as lost
PATH_DECAY_FACTOR = 0.25  # relative to the decay of slowness: breakers leave few attempts on a lost path
MIN_LOG_DEVIATION = 0.3  # lower bound of the standard deviation of the logarithms of times
SLOWNESS_MARGIN = 0.1  # an answer counts as slow from this far below the logarithm of `slower`
MAX_GAIN_PER_ANSWER = 1.5  # decades that one slow answer adds at most, or a single late one would be enough
RECENT_WINDOW = 0.1  # seconds: how fast a change for all processes (slowness, a lost zone) enters the comparison
MIN_RECENT_ATTEMPTS = 2.0  # attempts of peers to a zone within RECENT_WINDOW that suffice for that
SUM_LIMIT = 1.0  # times the threshold, up to which cumulative sums grow
MIN_DECAY_FACTOR = 0.5  # lower bound of the decay's relative speed: a small share may bring no answers at all
LOG10 = math.log(10.0)


class OutlierCause(Enum):
    """In which way a process is an outlier."""

    PATH = "path"
    SLOW = "slow"
    BEHIND = "behind"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class OutlierPolicy:
    """Thresholds; times in seconds."""

    unlike: float = 6.0  # score in decades
    slower: float = 3.0  # times as slow as its peers
    behind: float = 1.5  # for which a list may be older than half of all have
    window: float = 1.0  # time constant with which counts decay
    steady: float = 2.0  # without a finding before the next share
    retry: float = 10.0  # without samples, after which the next share is tried in any case

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        check_numbers(self)
        if self.slower < 1.5:
            raise ValueError(f"slower: {self.slower!r} is not 1.5 or more")


@dataclass(frozen=True, slots=True)
class TrafficCounters:
    """What a process has counted since its start."""

    tier: int = 0
    answered: Sequence[int] = (0,) * ZONES  # attempts that a backend answered successfully, by zone
    unanswered: Sequence[int] = (0,) * ZONES  # attempts that got no answer from any backend, by zone
    log_sum: float = 0.0  # sum of the natural logarithms of the answered attempts' times in seconds
    log_square_sum: float = 0.0  # sum of the squares of these logarithms
    list_version: int = 0
    out_of_descriptors: bool = False  # connections wait for a descriptor

    @property
    def total_answered(self) -> int:
        """Answered attempts in all zones."""
        return sum(self.answered)


@dataclass(frozen=True, slots=True)
class Finding:
    """Why a process is an outlier."""

    cause: OutlierCause
    score: float  # decades; infinite where the condition is certain
    description: str


CELL_COUNT = 16  # cells of 64 bits that a process writes: see `TrafficRecorder`
VERSION_CELL, FULL_CELL, ANSWERED_CELLS, UNANSWERED_CELLS, LOG_SUM_CELL, LOG_SQUARE_SUM_CELL = (
    2,
    3,
    4,
    4 + ZONES,
    4 + 2 * ZONES,
    5 + 2 * ZONES,
)
MAX_LIST_VERSION = 2**62  # discovery may send any number; it has to fit into a cell
FIXED_POINT_SCALE = 1e6  # of logarithms in cells
NO_ANSWER_OUTCOMES = frozenset({Outcome.TIMEOUT, Outcome.UNREACHABLE, Outcome.BROKEN})
# A cancelled attempt counts as unanswered if it lasted for this many seconds and this multiple of the usual time.
MIN_LONG_ATTEMPT, LONG_ATTEMPT_FACTOR = 0.25, 8.0


class Cells(Protocol):
    """Shared memory cells of 64 bits each."""

    def __getitem__(self, index: int) -> int: ...

    def __setitem__(self, index: int, value: int) -> None: ...


class TrafficRecorder:
    """The process's side: writes its counters into shared memory cells, each at the price of a memory write.

    The first two cells are used for other purposes: the heartbeat, and a cell that the observer writes.
    """

    def __init__(self, cells: Cells) -> None:
        self._cells = cells
        self._mean_log = math.nan  # smoothed mean of the logarithms of times

    def on_attempt_ended(self, zone: int, outcome: Outcome, seconds: float) -> None:
        """An attempt has ended after `seconds`.

        An attempt that a backend refused or failed shows that the backend was reached, and nothing about speed: it is
        not counted. One that was cancelled, because another was answered or its deadline passed, is counted only if
        it had lasted much longer than usual.
        """
        cells, zone = self._cells, min(zone, ZONES - 1)
        if outcome is Outcome.OK:
            log = math.log(max(seconds, 1e-6))
            self._mean_log = log if math.isnan(self._mean_log) else self._mean_log + 0.05 * (log - self._mean_log)
            cells[ANSWERED_CELLS + zone] += 1
            cells[LOG_SUM_CELL] += int(log * FIXED_POINT_SCALE)
            cells[LOG_SQUARE_SUM_CELL] += int(log * log * FIXED_POINT_SCALE)
        elif outcome in NO_ANSWER_OUTCOMES or (outcome is Outcome.CANCELLED and self._is_long(seconds)):
            cells[UNANSWERED_CELLS + zone] += 1

    def _is_long(self, seconds: float) -> bool:
        unusual = 0.0 if math.isnan(self._mean_log) else LONG_ATTEMPT_FACTOR * math.exp(self._mean_log)
        return seconds >= max(MIN_LONG_ATTEMPT, unusual)

    def publish_state(self, list_version: int, out_of_descriptors: bool) -> None:
        """Write the version of its list and whether it has run out of descriptors."""
        self._cells[VERSION_CELL], self._cells[FULL_CELL] = (
            min(max(list_version, 0), MAX_LIST_VERSION),
            out_of_descriptors,
        )


def read_counters(cells: Sequence[int], tier: int) -> TrafficCounters:
    """Read a process's counters from its cells; a count that is just being written is off by at most one."""
    return TrafficCounters(
        tier,
        tuple(cells[ANSWERED_CELLS : ANSWERED_CELLS + ZONES]),
        tuple(cells[UNANSWERED_CELLS : UNANSWERED_CELLS + ZONES]),
        cells[LOG_SUM_CELL] / FIXED_POINT_SCALE,
        cells[LOG_SQUARE_SUM_CELL] / FIXED_POINT_SCALE,
        cells[VERSION_CELL],
        bool(cells[FULL_CELL]),
    )


def path_loss_log_ratio(unanswered: int, answered: int, usual_loss: float) -> float:
    """Log-likelihood ratio (natural) of attempts to a zone: a path that loses LOST_PATH_RATE against the usual loss.

    0 where the usual loss is about as bad.
    """
    usual_loss = max(MIN_LOSS_RATE, usual_loss)
    if usual_loss >= LOST_PATH_RATE / 2.0:
        return 0.0
    return unanswered * math.log(LOST_PATH_RATE / usual_loss) + answered * math.log(
        (1.0 - LOST_PATH_RATE) / (1.0 - usual_loss)
    )


@dataclass(slots=True)
class DecayingCounters:
    """Recent counts with exponential decay."""

    answered: list[float] = field(default_factory=lambda: [0.0] * ZONES)
    unanswered: list[float] = field(default_factory=lambda: [0.0] * ZONES)
    log_sum: float = 0.0
    log_square_sum: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all counts by `factor`."""
        for zone in range(ZONES):
            self.answered[zone] *= factor
            self.unanswered[zone] *= factor
        self.log_sum *= factor
        self.log_square_sum *= factor

    def add(self, current: TrafficCounters, previous: TrafficCounters) -> None:
        """Add what was counted between two readings."""
        for zone in range(ZONES):
            self.answered[zone] += max(0, current.answered[zone] - previous.answered[zone])
            self.unanswered[zone] += max(0, current.unanswered[zone] - previous.unanswered[zone])
        self.log_sum += current.log_sum - previous.log_sum
        self.log_square_sum += current.log_square_sum - previous.log_square_sum

    def merge(self, other: DecayingCounters, sign: float = 1.0) -> None:
        """Add another process's counts, or subtract them (`sign` -1)."""
        for zone in range(ZONES):
            self.answered[zone] += sign * other.answered[zone]
            self.unanswered[zone] += sign * other.unanswered[zone]
        self.log_sum += sign * other.log_sum
        self.log_square_sum += sign * other.log_square_sum

    @property
    def total_answered(self) -> float:
        """Answered attempts in all zones."""
        return sum(self.answered)

    @property
    def variance(self) -> float:
        """Variance of the logarithms of times, at least that of MIN_LOG_DEVIATION."""
        count = self.total_answered
        if count <= 1.0:
            return MIN_LOG_DEVIATION * MIN_LOG_DEVIATION
        mean = self.log_sum / count
        return max(MIN_LOG_DEVIATION * MIN_LOG_DEVIATION, self.log_square_sum / count - mean * mean)

    @property
    def samples(self) -> float:
        """Attempts, answered or not."""
        return self.total_answered + sum(self.unanswered)


@dataclass(slots=True)
class TrackedProcess:
    """State of one process; cumulative sums are in natural units."""

    counters: TrafficCounters
    decaying: DecayingCounters = field(default_factory=DecayingCounters)
    slow_sum: float = 0.0  # CUSUM for slowness
    path_sums: list[float] = field(default_factory=lambda: [0.0] * ZONES)  # CUSUM for a lost path, by zone
    # Attempts (unanswered, answered) by zone: in the last tick, in the tick before, and decaying with RECENT_WINDOW.
    latest_attempts: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0)] * ZONES)
    previous_attempts: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0)] * ZONES)
    recent_attempts: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 0.0)] * ZONES)
    # Answers and the sum of the logarithms of their times: since the last tick, and decaying with RECENT_WINDOW.
    latest_answers: tuple[int, float] = (0, 0.0)
    recent_answers: tuple[float, float] = (0.0, 0.0)
    behind_since: float = math.inf
    share_step: int = len(TRAFFIC_SHARES) - 1  # index in TRAFFIC_SHARES
    finding: Finding | None = None
    normal_since: float = math.inf  # since when it has performed like its peers while it has a reduced share
    share_changed_at: float = 0.0


class OutlierDetector:
    """Compares all processes of one fleet."""

    def __init__(self, policy: OutlierPolicy) -> None:
        policy.check()
        self.policy = policy
        self.processes: dict[Key, TrackedProcess] = {}
        self._last_tick = -math.inf

    def tick(self, now: float, counters: Mapping[Key, TrafficCounters]) -> dict[Key, Finding]:
        """Compare all processes; return those with a reduced share of new connections, and why.

        The cost is linear in the number of processes: each is compared with the sum of all minus itself.
        """
        passed = max(0.0, now - self._last_tick)
        decay, recent_decay = math.exp(-passed / self.policy.window), math.exp(-passed / RECENT_WINDOW)
        self._last_tick = now
        for key in set(self.processes) - set(counters):
            del self.processes[key]
        for key, current in counters.items():
            process = self.processes.get(key)
            if process is None:
                self.processes[key] = TrackedProcess(current)
                continue
            process.decaying.decay(decay ** TRAFFIC_SHARES[process.share_step])
            sum_decay = decay ** max(MIN_DECAY_FACTOR, TRAFFIC_SHARES[process.share_step])
            process.slow_sum *= sum_decay
            process.path_sums = [sum_decay**PATH_DECAY_FACTOR * each for each in process.path_sums]
            process.previous_attempts = process.latest_attempts
            process.latest_attempts = [
                (
                    max(0, current.unanswered[zone] - process.counters.unanswered[zone]),
                    max(0, current.answered[zone] - process.counters.answered[zone]),
                )
                for zone in range(ZONES)
            ]
            process.recent_attempts = [
                (recent[0] * recent_decay + latest[0], recent[1] * recent_decay + latest[1])
                for recent, latest in zip(process.recent_attempts, process.latest_attempts, strict=True)
            ]
            process.decaying.add(current, process.counters)
            process.latest_answers = (
                max(0, current.total_answered - process.counters.total_answered),
                current.log_sum - process.counters.log_sum,
            )
            process.recent_answers = (
                process.recent_answers[0] * recent_decay + process.latest_answers[0],
                process.recent_answers[1] * recent_decay + process.latest_answers[1],
            )
            if process.finding is not None and process.decaying.samples > MAX_OUTLIER_SAMPLES:
                process.decaying.decay(MAX_OUTLIER_SAMPLES / process.decaying.samples)
            process.counters = current
        findings: dict[Key, Finding] = {}
        for tier in {current.tier for current in counters.values()}:
            keys = [key for key, current in counters.items() if current.tier == tier]
            if len(keys) > 1:
                findings |= self._compare(now, keys)
        for key, process in self.processes.items():
            self._update_share(now, process, findings.get(key))
        return {key: process.finding for key, process in self.processes.items() if process.finding is not None}

    def traffic_share(self, key: Key) -> float:
        """The share that a process receives of the new connections that come for it."""
        process = self.processes.get(key)
        return TRAFFIC_SHARES[process.share_step] if process is not None else 1.0

    # ---- comparison ----------------------------------------------------------------------

    def _compare(self, now: float, keys: Sequence[Key]) -> dict[Key, Finding]:
        """Outliers among the processes of one tier."""
        processes = [self.processes[key] for key in keys]
        total, recent_count, recent_log_sum = DecayingCounters(), 0.0, 0.0
        for process in processes:
            total.merge(process.decaying)
            recent_count += process.recent_answers[0]
            recent_log_sum += process.recent_answers[1]
        recent_attempts = [
            (
                sum(process.recent_attempts[zone][0] for process in processes),
                sum(process.recent_attempts[zone][1] for process in processes),
            )
            for zone in range(ZONES)
        ]
        usual_version = _upper_median(process.counters.list_version for process in processes)
        findings: dict[Key, Finding] = {}
        minority_full = 2 * sum(process.counters.out_of_descriptors for process in processes) < len(processes)
        for key, process in zip(keys, processes, strict=True):
            process.behind_since = (
                min(process.behind_since, now) if process.counters.list_version < usual_version else math.inf
            )
            peers = DecayingCounters()
            peers.merge(total)
            peers.merge(process.decaying, -1.0)
            threshold = self.policy.unlike * (1.0 if process.finding is None else 0.5)
            # Both checks always run: each sum has to be updated even while another finding takes precedence.
            slow = self._check_speed(
                process,
                peers,
                recent_count - process.recent_answers[0],
                recent_log_sum - process.recent_answers[1],
                threshold,
            )
            peer_attempts = [
                (all_attempts[0] - own_attempts[0], all_attempts[1] - own_attempts[1])
                for all_attempts, own_attempts in zip(recent_attempts, process.recent_attempts, strict=True)
            ]
            path = self._check_paths(process, peers, peer_attempts, threshold)
            finding = (
                self._check_descriptors(process, minority_full)
                or self._check_list(now, process, usual_version)
                or path
                or slow
            )
            if finding is not None:
                findings[key] = finding
        return findings

    @staticmethod
    def _check_descriptors(process: TrackedProcess, minority_full: bool) -> Finding | None:
        if process.counters.out_of_descriptors and minority_full:
            return Finding(OutlierCause.FULL, math.inf, "no descriptor is left for new connections")
        return None

    def _check_list(self, now: float, process: TrackedProcess, usual_version: int) -> Finding | None:
        behind_for = now - process.behind_since
        if behind_for < self.policy.behind:
            return None
        description = (
            f"its list has version {process.counters.list_version}, "
            f"half of all have had {usual_version} for {behind_for:.1f} s"
        )
        return Finding(OutlierCause.BEHIND, math.inf, description)

    def _check_paths(
        self,
        process: TrackedProcess,
        peers: DecayingCounters,
        recent_attempts: Sequence[tuple[float, float]],
        threshold: float,
    ) -> Finding | None:
        """Add the attempts of the previous tick to the sums for lost paths; the first that reaches the threshold.

        The previous tick is compared with what peers have just had (`recent_attempts`: unanswered, answered): where a
        zone is lost for all, all connections to it break within moments, and one process's a little before the rest.
        """
        finding = None
        for zone, (unanswered, answered) in enumerate(process.previous_attempts):
            peer_count = peers.answered[zone] + peers.unanswered[zone]
            if peer_count <= 0.0:
                process.path_sums[zone] = 0.0
                continue  # no peer to compare with
            usual_loss = peers.unanswered[zone] / peer_count
            recent_unanswered, recent_answered = recent_attempts[zone]
            if recent_unanswered + recent_answered >= MIN_RECENT_ATTEMPTS:
                usual_loss = max(usual_loss, recent_unanswered / (recent_unanswered + recent_answered))
            process.path_sums[zone] = self._cumulate(
                process.path_sums[zone], path_loss_log_ratio(unanswered, answered, usual_loss)
            )
            score = process.path_sums[zone] / LOG10
            if score >= threshold and finding is None:
                lost, count = (
                    process.decaying.unanswered[zone],
                    process.decaying.answered[zone] + process.decaying.unanswered[zone],
                )
                description = (
                    f"zone {zone}: {lost:.0f} of {count:.0f} attempts unanswered, {usual_loss:.2f} of its peers'"
                )
                finding = Finding(OutlierCause.PATH, score, description)
        return finding

    def _cumulate(self, total: float, gain: float) -> float:
        """Page's cumulative sum: never under 0, and limited near the threshold so that it falls again soon."""
        return min(SUM_LIMIT * self.policy.unlike * LOG10, max(0.0, total + gain))

    def _check_speed(
        self,
        process: TrackedProcess,
        peers: DecayingCounters,
        recent_count: float,
        recent_log_sum: float,
        threshold: float,
    ) -> Finding | None:
        """Add the latest answers to the sum for slowness; a finding if it reaches the threshold.

        `recent_count`, `recent_log_sum`: recent answers of the peers, and the sum of the logarithms of their times.
        """
        peer_count = peers.total_answered
        if peer_count < MIN_SAMPLES:
            process.slow_sum = 0.0
            return None
        count, log_sum = process.latest_answers
        mean, margin = peers.log_sum / peer_count, math.log(self.policy.slower) - SLOWNESS_MARGIN
        if recent_count >= MIN_SAMPLES:
            mean = max(mean, recent_log_sum / recent_count)
        gain = 2.0 * margin / peers.variance * (log_sum - count * (mean + margin))
        process.slow_sum = self._cumulate(process.slow_sum, min(gain, count * MAX_GAIN_PER_ANSWER * LOG10))
        score = process.slow_sum / LOG10
        if score < threshold or process.decaying.total_answered <= 0.0:
            return None
        ratio = math.exp(process.decaying.log_sum / process.decaying.total_answered - mean)
        return Finding(OutlierCause.SLOW, score, f"recently {ratio:.1f} times as slow as its peers")

    # ---- traffic shares ------------------------------------------------------------------

    def _update_share(self, now: float, process: TrackedProcess, finding: Finding | None) -> None:
        if finding is not None:
            if process.finding is None or process.share_step > 0:
                self._set_share(now, process, 0)
            process.finding, process.normal_since = finding, math.inf
            return
        if process.finding is None:
            return
        if process.decaying.samples >= MIN_SAMPLES or now - process.share_changed_at >= self.policy.retry:
            process.normal_since = min(process.normal_since, now)
        if now - max(process.normal_since, process.share_changed_at) >= self.policy.steady:
            self._set_share(now, process, process.share_step + 1)
            if process.share_step == len(TRAFFIC_SHARES) - 1:
                process.finding = None

    @staticmethod
    def _set_share(now: float, process: TrackedProcess, share_step: int) -> None:
        """Change a process's share and start to gather new samples."""
        process.share_step, process.share_changed_at, process.normal_since, process.decaying, process.slow_sum = (
            share_step,
            now,
            math.inf,
            DecayingCounters(),
            0.0,
        )
        process.path_sums = [0.0] * ZONES


def _upper_median(values: Iterable[int]) -> int:
    """The upper of the two middle values: at least half of the values are this or more."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
