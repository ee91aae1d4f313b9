"""Which process of a fleet fares worse than its siblings though it lives: by comparison. Sans I/O, without clocks.

Processes of one tier have the same backends, the same discovery and like callers, so what is wrong with the world is
wrong for all of them, and what only one of them sees is its own: its paths, its pace, its descriptors. Each keeps an
`Account` of growing counts in shared memory; an observer reads them several times a second and compares each with
all others together.

How unlikely a difference is, `rarity`, is in the unit of `phi` (`weldroute.failure_detector`), decades: minus the
decimal logarithm of a bound on the chance that one who fares like its siblings shows it. It is Page's cumulative sum
(Biometrika 1954) of a log-likelihood ratio, which begins anew at 0 whenever it would fall under it and fades with the
time constant `window`: what went well before a change speaks for nothing after it. For paths it is that of each
attempt to a zone, as lost by chance LOSES against by that of siblings; for slowness that of each answer's time, as
normally distributed logarithms with the siblings' mean and spread, near `slower` times against none. Both need many
samples or a great difference, and a healthy process at a small rate is not taken for an ill one.

| cause   | evidence                                                                        | counts when            |
| ------- | ------------------------------------------------------------------------------- | ---------------------- |
| path    | attempts to backends of a zone get no answer, siblings' do                      | rarity over `unlike`   |
| slow    | what it sends is answered over `slower` times later than siblings'              | rarity over `unlike`   |
| behind  | its list of backends is older than half of all have, for `behind` seconds       | at once                |
| full    | it has no descriptor for new connections, and siblings have                     | at once                |

Nothing counts for all: a zone that nobody reaches, backends that are slow for all, discovery that tells nobody are no
process's fault, for there is nobody who would do better. It follows from the comparison, and needs no rule.

Who was found so is given a `portion` of the new connections that come for it, the least of PORTIONS: it goes on
showing how it fares. At each step evidence is gathered from nothing, over a window that is longer as the portion is
less, and half of `unlike` is enough to keep it there, or to bring it back to the least. With ENOUGH evidence and none
of that for `steady` seconds the portion rises by a step, and at the last it is let go.
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
ZONES = 4  # that are told apart; the rest of a fleet's are one together
TRAFFIC_SHARES = (0.1, 0.3, 1.0)  # of its new connections that one gets that was found ill...
ENOUGH = 6.0  # ...and faded samples that are evidence of how one fares
LATEST = 9.0  # ...of which one that was found has no more: what it shows now outweighs what it showed then
PRIOR = 0.02  # no siblings miss less than this: they were lucky
LOSES = 0.5  # the part of its attempts that a path loses which is looked for
PATHS_FADE = 0.25  # of the pace at which slowness fades: breakers leave few attempts on a path that is lost
SPREAD = 0.3  # no spread of logarithms of times is taken to be less
LEEWAY = 0.1  # under the logarithm of `slower`: from here on an answer speaks for slowness...
EACH = 1.5  # ...with so many decades at most, or a single late one would be enough
SOON = 0.1  # seconds: when all become slow, or lose a zone, at once, it shows in what is compared with so much later
FEW = 2.0  # attempts of siblings to a zone within that are enough to show it
HOLDS = 1.0  # times the threshold, over which what speaks for slowness does not grow
LASTS = 0.5  # of the pace at which it fades, at the least: a portion may bring no answers at all
LOG10 = math.log(10.0)


class OutlierCause(Enum):
    """How it is unlike its siblings."""

    PATH = "path"
    SLOW = "slow"
    BEHIND = "behind"
    FULL = "full"


@dataclass(frozen=True, slots=True)
class OutlierPolicy:
    """Thresholds; times in seconds."""

    unlike: float = 6.0  # decades
    slower: float = 3.0  # times
    behind: float = 1.5  # for which a list may be older than half of all have
    window: float = 1.0  # time constant with which counts fade
    steady: float = 2.0  # of likeness before the next portion
    retry: float = 10.0  # without evidence, after which the next portion is tried in any case

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self)
        if self.slower < 1.5:
            raise ValueError(f"slower: {self.slower!r} is not 1.5 or more")


@dataclass(frozen=True, slots=True)
class TrafficCounters:
    """What a process has counted since its start."""

    tier: int = 0
    answered: Sequence[int] = (0,) * ZONES  # attempts that were answered, by zone...
    unanswered: Sequence[int] = (0,) * ZONES  # ...and those that got no answer from anybody
    log_sum: float = 0.0  # sum of the natural logarithms of the times of those that were answered, in seconds...
    log_square_sum: float = 0.0  # ...and of their squares
    list_version: int = 0  # of its list
    out_of_descriptors: bool = False  # connections wait for a descriptor

    @property
    def total_answered(self) -> int:
        """Attempts that were, in all zones."""
        return sum(self.answered)


@dataclass(frozen=True, slots=True)
class Finding:
    """How a process is unlike its siblings."""

    cause: OutlierCause
    score: float  # decades; infinite where nothing is left to chance
    description: str


CELL_COUNT = 16  # of 64 bits, that a process writes: see `Counting`
VERSION, FULL, REACHED, MISSED, LOGS, SQUARES = 2, 3, 4, 4 + ZONES, 4 + 2 * ZONES, 5 + 2 * ZONES
MAX_LIST_VERSION = 2**62  # of a version, which is whatever discovery writes
MICRO = 1e6
UNANSWERED = frozenset({Outcome.TIMEOUT, Outcome.UNREACHABLE, Outcome.BROKEN})
MIN_LONG_ATTEMPT, LONG_TIMES = (
    0.25,
    8.0,
)  # seconds, and times what is usual, from which on one that was called off had no answer


class Cells(Protocol):
    """Of 64 bits each."""

    def __getitem__(self, at: int) -> int: ...

    def __setitem__(self, at: int, value: int) -> None: ...


class TrafficRecorder:
    """The side of the process: its account in cells of memory, written at the price of a memory write.

    The first two cells are not the account's: the observer's cells are there, and the beat.
    """

    def __init__(self, cells: Cells) -> None:
        self._cells = cells
        self._mean = math.nan  # of the logarithms of late

    def on_attempt_ended(self, zone: int, how: Outcome, seconds: float) -> None:
        """An attempt has ended after so long.

        What a backend refuses or fails tells that it was reached, and nothing of its pace: it counts nowhere. One
        that was called off, for another was answered or its time was up, tells nothing unless it had lasted for much
        longer than is usual.
        """
        cells, zone = self._cells, min(zone, ZONES - 1)
        if how is Outcome.OK:
            log = math.log(max(seconds, 1e-6))
            self._mean = log if math.isnan(self._mean) else self._mean + 0.05 * (log - self._mean)
            cells[REACHED + zone] += 1
            cells[LOGS] += int(log * MICRO)
            cells[SQUARES] += int(log * log * MICRO)
        elif how in UNANSWERED or (how is Outcome.CANCELLED and self._is_long(seconds)):
            cells[MISSED + zone] += 1

    def _is_long(self, seconds: float) -> bool:
        usual = 0.0 if math.isnan(self._mean) else LONG_TIMES * math.exp(self._mean)
        return seconds >= max(MIN_LONG_ATTEMPT, usual)

    def publish_state(self, version: int, full: bool) -> None:
        """What it knows and has at this moment."""
        self._cells[VERSION], self._cells[FULL] = min(max(version, 0), MAX_LIST_VERSION), full


def read_counters(cells: Sequence[int], tier: int) -> TrafficCounters:
    """A process's account out of its cells; a count that is being written is off by one at most."""
    return TrafficCounters(
        tier,
        tuple(cells[REACHED : REACHED + ZONES]),
        tuple(cells[MISSED : MISSED + ZONES]),
        cells[LOGS] / MICRO,
        cells[SQUARES] / MICRO,
        cells[VERSION],
        bool(cells[FULL]),
    )


def path_loss_log_ratio(missed: int, reached: int, usual: float) -> float:
    """What some attempts to a zone speak for a path that loses LOSES of them, where `usual` is; natural units.

    Nothing, where what is usual is about as bad.
    """
    usual = max(PRIOR, usual)
    if usual >= LOSES / 2.0:
        return 0.0
    return missed * math.log(LOSES / usual) + reached * math.log((1.0 - LOSES) / (1.0 - usual))


@dataclass(slots=True)
class DecayingCounters:
    """Counts of late, each second weighing less than the next."""

    reached: list[float] = field(default_factory=lambda: [0.0] * ZONES)
    missed: list[float] = field(default_factory=lambda: [0.0] * ZONES)
    logs: float = 0.0
    squares: float = 0.0

    def fade(self, part: float) -> None:
        """All is worth this part of what it was."""
        for zone in range(ZONES):
            self.reached[zone] *= part
            self.missed[zone] *= part
        self.logs *= part
        self.squares *= part

    def add(self, new: TrafficCounters, old: TrafficCounters) -> None:
        """What was counted since."""
        for zone in range(ZONES):
            self.reached[zone] += max(0, new.answered[zone] - old.answered[zone])
            self.missed[zone] += max(0, new.unanswered[zone] - old.unanswered[zone])
        self.logs += new.log_sum - old.log_sum
        self.squares += new.log_square_sum - old.log_square_sum

    def join(self, other: DecayingCounters, sign: float = 1.0) -> None:
        """Add (or take away) another's."""
        for zone in range(ZONES):
            self.reached[zone] += sign * other.reached[zone]
            self.missed[zone] += sign * other.missed[zone]
        self.logs += sign * other.logs
        self.squares += sign * other.squares

    @property
    def count(self) -> float:
        """Attempts that were answered."""
        return sum(self.reached)

    @property
    def variance(self) -> float:
        """Of the logarithms."""
        count = self.count
        if count <= 1.0:
            return SPREAD * SPREAD
        mean = self.logs / count
        return max(SPREAD * SPREAD, self.squares / count - mean * mean)

    @property
    def samples(self) -> float:
        """Attempts, whatever came of them."""
        return self.count + sum(self.missed)


@dataclass(slots=True)
class TrackedProcess:
    """What is known of one process."""

    account: TrafficCounters
    faded: DecayingCounters = field(default_factory=DecayingCounters)
    slow: float = 0.0  # Page's sum of what speaks for its being slow; natural units...
    paths: list[float] = field(default_factory=lambda: [0.0] * ZONES)  # ...and for each zone's path being lost
    attempts: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0)] * ZONES)  # at this look: missed, reached
    judged: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0)] * ZONES)  # at the look before
    lately: list[tuple[float, float]] = field(default_factory=lambda: [(0.0, 0.0)] * ZONES)  # fading with SOON
    fresh: tuple[int, float] = (0, 0.0)  # answers at the last look, and the sum of the logarithms of their times...
    soon: tuple[float, float] = (0.0, 0.0)  # ...and the same of the last moments, fading with SOON
    behind_since: float = math.inf
    step: int = len(TRAFFIC_SHARES) - 1  # of its portion
    found: Finding | None = None
    alike_since: float = math.inf  # with evidence; while it has less than all
    tried_at: float = 0.0  # when its portion changed last


class OutlierDetector:
    """All processes of one fleet."""

    def __init__(self, policy: OutlierPolicy) -> None:
        policy.check()
        self.policy = policy
        self.processes: dict[Key, TrackedProcess] = {}
        self._looked = -math.inf

    def tick(self, now: float, counters: Mapping[Key, TrafficCounters]) -> dict[Key, Finding]:
        """Compare all that are there; who has less than its whole portion of new connections, and why.

        The work is in proportion to the processes, not to their pairs: each is compared with the sum of all less
        itself.
        """
        passed = max(0.0, now - self._looked)
        part, soon = math.exp(-passed / self.policy.window), math.exp(-passed / SOON)
        self._looked = now
        for key in set(self.processes) - set(counters):
            del self.processes[key]
        for key, account in counters.items():
            one = self.processes.get(key)
            if one is None:
                self.processes[key] = TrackedProcess(account)
                continue
            one.faded.fade(part ** TRAFFIC_SHARES[one.step])
            kept = part ** max(LASTS, TRAFFIC_SHARES[one.step])
            one.slow *= kept
            one.paths = [kept**PATHS_FADE * each for each in one.paths]
            one.judged = one.attempts
            one.attempts = [
                (
                    max(0, account.unanswered[zone] - one.account.unanswered[zone]),
                    max(0, account.answered[zone] - one.account.answered[zone]),
                )
                for zone in range(ZONES)
            ]
            one.lately = [
                (old[0] * soon + new[0], old[1] * soon + new[1])
                for old, new in zip(one.lately, one.attempts, strict=True)
            ]
            one.faded.add(account, one.account)
            one.fresh = (
                max(0, account.total_answered - one.account.total_answered),
                account.log_sum - one.account.log_sum,
            )
            one.soon = one.soon[0] * soon + one.fresh[0], one.soon[1] * soon + one.fresh[1]
            if one.found is not None and one.faded.samples > LATEST:
                one.faded.fade(LATEST / one.faded.samples)
            one.account = account
        found: dict[Key, Finding] = {}
        for tier in {account.tier for account in counters.values()}:
            keys = [key for key, account in counters.items() if account.tier == tier]
            if len(keys) > 1:
                found |= self._compare(now, keys)
        for key, one in self.processes.items():
            self._portion(now, one, found.get(key))
        return {key: one.found for key, one in self.processes.items() if one.found is not None}

    def traffic_share(self, key: Key) -> float:
        """The part of the new connections for a process that it gets."""
        one = self.processes.get(key)
        return TRAFFIC_SHARES[one.step] if one is not None else 1.0

    # ---- comparing -----------------------------------------------------------------------

    def _compare(self, now: float, keys: Sequence[Key]) -> dict[Key, Finding]:
        """Those of one tier that are unlike the rest."""
        ones = [self.processes[key] for key in keys]
        total, count, logs = DecayingCounters(), 0.0, 0.0
        for one in ones:
            total.join(one.faded)
            count += one.soon[0]
            logs += one.soon[1]
        lately = [
            (sum(one.lately[zone][0] for one in ones), sum(one.lately[zone][1] for one in ones))
            for zone in range(ZONES)
        ]
        usual = _middle(one.account.list_version for one in ones)
        found: dict[Key, Finding] = {}
        fewer_full = 2 * sum(one.account.out_of_descriptors for one in ones) < len(ones)
        for key, one in zip(keys, ones, strict=True):
            one.behind_since = min(one.behind_since, now) if one.account.list_version < usual else math.inf
            rest = DecayingCounters()
            rest.join(total)
            rest.join(one.faded, -1.0)
            least = self.policy.unlike * (1.0 if one.found is None else 0.5)
            # In any case: what speaks for either adds up also while something else is found.
            slow = self._slow(one, rest, count - one.soon[0], logs - one.soon[1], least)
            others = [(a[0] - b[0], a[1] - b[1]) for a, b in zip(lately, one.lately, strict=True)]
            path = self._path(one, rest, others, least)
            finding = self._full(one, fewer_full) or self._behind(now, one, usual) or path or slow
            if finding is not None:
                found[key] = finding
        return found

    @staticmethod
    def _full(one: TrackedProcess, fewer: bool) -> Finding | None:
        if one.account.out_of_descriptors and fewer:
            return Finding(OutlierCause.FULL, math.inf, "no descriptor is left for new connections")
        return None

    def _behind(self, now: float, one: TrackedProcess, usual: int) -> Finding | None:
        since = now - one.behind_since
        if since < self.policy.behind:
            return None
        text = f"its list is version {one.account.list_version}, half of all have {usual} for {since:.1f} s"
        return Finding(OutlierCause.BEHIND, math.inf, text)

    def _path(
        self, one: TrackedProcess, rest: DecayingCounters, lately: Sequence[tuple[float, float]], least: float
    ) -> Finding | None:
        """What its attempts of the look before add to what speaks for a lost path; whether that is enough.

        Of the look before, and beside what siblings have just had (`lately`: missed, reached): where a zone is lost
        for all, all connections there break within a moment, and one's a little before the rest.
        """
        finding = None
        for zone, (missed, reached) in enumerate(one.judged):
            others = rest.reached[zone] + rest.missed[zone]
            if others <= 0.0:
                one.paths[zone] = 0.0
                continue  # nobody would know better
            usual = rest.missed[zone] / others
            just_missed, just_reached = lately[zone]
            if just_missed + just_reached >= FEW:
                usual = max(usual, just_missed / (just_missed + just_reached))
            one.paths[zone] = self._sum(one.paths[zone], path_loss_log_ratio(missed, reached, usual))
            rarity = one.paths[zone] / LOG10
            if rarity >= least and finding is None:
                lost, count = one.faded.missed[zone], one.faded.reached[zone] + one.faded.missed[zone]
                text = f"zone {zone}: {lost:.0f} of {count:.0f} attempts unanswered, {usual:.2f} of siblings'"
                finding = Finding(OutlierCause.PATH, rarity, text)
        return finding

    def _sum(self, before: float, more: float) -> float:
        """Page's: never under 0, nor far over the threshold, or it would outlast what spoke for it."""
        return min(HOLDS * self.policy.unlike * LOG10, max(0.0, before + more))

    def _slow(
        self, one: TrackedProcess, rest: DecayingCounters, soon: float, soon_logs: float, least: float
    ) -> Finding | None:
        """What its answers of this look add to what speaks for its being slow; whether that is enough.

        `soon`: how many answers siblings have had just now, and the sum of their logarithms.
        """
        others = rest.count
        if others < ENOUGH:
            one.slow = 0.0
            return None
        count, logs = one.fresh
        mean, margin = rest.logs / others, math.log(self.policy.slower) - LEEWAY
        if soon >= ENOUGH:
            mean = max(mean, soon_logs / soon)
        gain = 2.0 * margin / rest.variance * (logs - count * (mean + margin))
        one.slow = self._sum(one.slow, min(gain, count * EACH * LOG10))
        rarity = one.slow / LOG10
        if rarity < least or one.faded.count <= 0.0:
            return None
        times = math.exp(one.faded.logs / one.faded.count - mean)
        return Finding(OutlierCause.SLOW, rarity, f"lately {times:.1f} times as slow as its siblings")

    # ---- coming back ---------------------------------------------------------------------

    def _portion(self, now: float, one: TrackedProcess, finding: Finding | None) -> None:
        if finding is not None:
            if one.found is None or one.step > 0:
                self._step(now, one, 0)
            one.found, one.alike_since = finding, math.inf
            return
        if one.found is None:
            return
        if one.faded.samples >= ENOUGH or now - one.tried_at >= self.policy.retry:
            one.alike_since = min(one.alike_since, now)
        if now - max(one.alike_since, one.tried_at) >= self.policy.steady:
            self._step(now, one, one.step + 1)
            if one.step == len(TRAFFIC_SHARES) - 1:
                one.found = None

    @staticmethod
    def _step(now: float, one: TrackedProcess, step: int) -> None:
        """Another portion, and evidence of its own."""
        one.step, one.tried_at, one.alike_since, one.faded, one.slow = step, now, math.inf, DecayingCounters(), 0.0
        one.paths = [0.0] * ZONES


def _middle(values: Iterable[int]) -> int:
    """What at least half of them have, or more: the upper of two middle ones."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]
