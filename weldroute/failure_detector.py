"""Which processes of a fleet stand still, from evidence, and what is done about it. Sans I/O, without clocks.

Evidence of a process (`Evidence`) is sampled several times a second by one observer, who looks at what cannot lie or
wait: when the process's event loop turned last (a cell of shared memory that it writes), what the kernel says of its
state, of the processor time that it used and of the time that it was ready to run and had no processor, and since
when a connection waits at its listener that nobody accepts. The kernel counts a wait for a processor when it is over;
one that goes on shows as ready to run at a look and no processor time since the last.

How unlikely the silence is: `phi`, the accrual detector of Hayashibara et al. (SRDS 2004), minus the decimal
logarithm of the chance that a beat comes even later, for normally distributed gaps of the mean and deviation seen
lately. A threshold of phi is a rate of false alarms, one in 10^phi looks, as long as gaps are as they were. What is
no fault of the process's is taken off its silence first (local health, Lifeguard, Dadgar et al. 2017): the time that
it waited for a processor, and what the observer itself was late.

| judgement | evidence                                                    | what follows                             |
| --------- | ----------------------------------------------------------- | ---------------------------------------- |
| well      | phi under `suspect`, nothing waits for long at its listener | what it was relieved of comes back       |
| suspect   | phi over `suspect`, or a connection waited for `unaccepted` | others accept what waits at its listener |
| stalled   | phi over `certain` for so long as its cause asks for        | killed, which fences it, and replaced    |

| cause    | evidence beside the silence           | stalled when silent for so long         |
| -------- | ------------------------------------- | --------------------------------------- |
| stopped  | the kernel says so (T, t of proc(5))  | `stopped_for`                           |
| hung     | it uses no processor time             | `hung_for`                              |
| spinning | it uses processor time, and no turn   | `spinning_for`                          |
| starved  | it had no processor                   | never judged                            |
| deaf     | it turns, and accepts nothing         | others accept for it; it is never killed |
| starting | it has not begun to turn, and         | others accept for it, if most of the     |
|          | connections wait for it               | fleet serves; never killed for that      |

Two bounds hold whatever the evidence says. No more than `share` of the fleet is acted upon at once: who was killed
counts until another is ready in its place. And when more than `distrust` of all look ill by their silence alone, the
evidence is distrusted and not the fleet: nobody is killed for it. A state that the kernel tells is no such evidence.
One that lives and fares worse than its siblings (`weldroute.outlier_detection`) is never killed for it: most of its
new connections go to others, and it gets them back by steps.

A process is watched from its start to its end (`Life`). Until it turns for the first time its silence says nothing,
for what a start takes is bounded elsewhere; only a stop that the kernel tells counts. One that was told to end has
left its listener to others, so nothing is accepted for it; when it stalls it is killed, for what it has in hand.

A judgement ends only when beats have come for `steady` seconds, so that one that flaps is not accepted for by turns.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from weldroute.checks import check_numbers
from weldroute.outlier_detection import Finding, Key, OutlierDetector, OutlierPolicy, TrafficCounters

LEARNS = 0.05  # the part of a new sample in means and deviations...
LEARNS_ILL = 0.005  # ...and while it is suspect: one that flaps must not teach that flapping is well
FLOOR = 0.025  # seconds: no deviation is taken to be less, for timers and looks are that coarse
PAUSE = 1.0  # seconds between two looks from which on the observer itself was away
KEPT = 64  # notes of one name
REPLACEMENT_TIMEOUT = 10.0  # seconds for which one that was replaced, and that nobody follows, counts
LOG10_E = math.log10(math.e)


class Verdict(Enum):
    """Of one process."""

    HEALTHY = "well"
    SUSPECT = "suspect"
    STALLED = "stalled"


class Cause(Enum):
    """Why it is silent, as far as can be told from outside."""

    NONE = ""
    STOPPED = "stopped"
    HUNG = "hung"
    SPINNING = "spinning"
    STARVED = "starved"
    NOT_ACCEPTING = "deaf"
    STARTING = "starting"


class Lifecycle(Enum):
    """How far a process is, as its supervisor knows."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Response(Enum):
    """What is done about a process."""

    DIVERT_ACCEPTS = "others accept for it"
    RESUME_ACCEPTS = "it accepts alone again"
    EJECT = "most of its new connections go to others"
    READMIT = "all of its new connections are its own again"
    REPLACE = "it is replaced"


@dataclass(frozen=True, slots=True)
class FailureDetectorPolicy:
    """Thresholds; times in seconds."""

    beat: float = 0.05  # between the beats of a process that is well
    suspect: float = 6.0  # phi
    certain: float = 12.0  # phi
    stopped_for: float = 0.3
    hung_for: float = 0.5
    spinning_for: float = 3.0
    unaccepted: float = 0.5  # for which a connection may wait at a listener
    steady: float = 0.5
    share: float = 0.35  # of the fleet that is acted upon at once
    distrust: float = 0.5  # of the fleet

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self)
        for name in ("share", "distrust"):
            if getattr(self, name) > 1.0:
                raise ValueError(f"{name}: {getattr(self, name)!r} is above 1")
        if self.certain < self.suspect:
            raise ValueError("certain: below suspect")


@dataclass(frozen=True, slots=True)
class Observation:
    """What was seen of one process at one look; seconds of the machine's clock, and of time used."""

    last_heartbeat: float  # when its event loop turned last; 0: never yet
    stopped: bool = False
    cpu_time: float = 0.0  # processor time since its start
    cpu_wait: float = 0.0  # time since its start in which it was ready to run and had no processor
    accept_wait: float = 0.0  # for how long something waits at its listener
    progress: int = 0  # attempts that have ended: a sign of life beside the beat
    runnable: bool = False  # it runs, or would if it had a processor
    lifecycle: Lifecycle = Lifecycle.SERVING


@dataclass(frozen=True, slots=True)
class Decision:
    """Something to be done."""

    key: Key
    response: Response
    reason: str


def phi(silence: float, mean: float, deviation: float) -> float:
    """Minus log10 of the chance that a beat comes later than after `silence` seconds."""
    x = (silence - mean) / max(deviation, FLOOR)
    if x > 6.0:  # erfc ends at 0: its asymptote (Abramowitz and Stegun 7.1.23)
        return x * x / 2.0 * LOG10_E + math.log10(x * math.sqrt(2.0 * math.pi))
    return -math.log10(0.5 * math.erfc(x / math.sqrt(2.0)))


@dataclass(slots=True)
class MonitoredProcess:
    """What is known of one process."""

    mean: float  # of the gaps between beats...
    deviation: float
    turned: float = 0.0
    since: float = 0.0  # when the silence began to be counted
    ran: float = 0.0  # at the last beat...
    starved: float = 0.0
    excused: float = 0.0  # seconds of the silence in which the observer was late
    ran_last: float = 0.0  # at the last look...
    starved_last: float = 0.0
    queued: float = 0.0  # ...and seconds of waiting for a processor that `starved` does not tell of yet
    verdict: Verdict = Verdict.HEALTHY
    cause: Cause = Cause.NONE
    phi: float = 0.0
    certain_since: float = math.inf
    well_since: float = -math.inf
    accepts_diverted: bool = False
    replaced: bool = False
    progress: int = 0
    life: Lifecycle = Lifecycle.SERVING
    aside: Finding | None = None  # why most of its new connections go to others

    def beats(self, now: float, evidence: Observation, late: float) -> None:
        """Its loop has turned since the last look, which was so late: some of that may lie after its beat."""
        if self.turned:
            gap = max(0.0, evidence.last_heartbeat - self.turned - self.waited(evidence) - self.excused)
            # What lies between two looks may be several beats: a gap is never taken to be longer than it was.
            off = min(gap, 4.0 * self.mean) - self.mean
            part = LEARNS if self.verdict is Verdict.HEALTHY else LEARNS_ILL
            self.mean += part * off
            self.deviation = math.sqrt((1.0 - part) * (self.deviation**2 + part * off * off))
        self.turned = evidence.last_heartbeat
        self.begin(evidence.last_heartbeat, evidence)
        self.excused = min(late, max(0.0, now - evidence.last_heartbeat))
        if self.well_since < 0.0:
            self.well_since = now

    def begin(self, since: float, evidence: Observation) -> None:
        """Its silence is counted from here."""
        self.since, self.excused, self.queued = since, 0.0, 0.0
        self.ran, self.starved = evidence.cpu_time, evidence.cpu_wait

    def wait(self, evidence: Observation, every: float) -> None:
        """Count the time in which it waited for a processor and still does.

        The kernel tells of a wait when it is over. One that is ready to run at a look, and has not run since the
        last, has waited in between.
        """
        self.queued = max(0.0, self.queued - (evidence.cpu_wait - self.starved_last))
        if evidence.runnable and evidence.cpu_time == self.ran_last:
            self.queued += every
        self.ran_last, self.starved_last = evidence.cpu_time, evidence.cpu_wait

    def waited(self, evidence: Observation) -> float:
        """Seconds of its silence in which it had no processor."""
        return evidence.cpu_wait - self.starved + self.queued


class FailureDetector:
    """All processes of one fleet, as one observer judges them."""

    def __init__(self, policy: FailureDetectorPolicy, outlier_policy: OutlierPolicy | None = None) -> None:
        policy.check()
        self.policy = policy
        self.outlier_detector = OutlierDetector(outlier_policy or OutlierPolicy())
        self.processes: dict[Key, MonitoredProcess] = {}
        self.history: dict[str, deque[tuple[float, str]]] = {}
        self.counts = {
            "suspected": 0,
            "replaced": 0,
            "recovered": 0,
            "distrusted": 0,
            "held_back": 0,
            "unlike": 0,
        }
        self._acted: dict[str, tuple[int, float]] = {}  # replaced: the generation that has to be followed, and when
        self._looked = -math.inf
        self._held: set[Key] = set()  # told once that the budget holds them back

    def on_exit(self, key: Key) -> None:
        """A process is no more."""
        self.processes.pop(key, None)
        self._held.discard(key)

    def on_ready(self, key: Key) -> None:
        """A process is ready: if it stands in for one that was replaced, that one counts no more."""
        if key[0] in self._acted and self._acted[key[0]][0] < key[1]:
            del self._acted[key[0]]

    def tick(
        self,
        now: float,
        observations: Mapping[Key, Observation],
        fleet_size: int,
        interval: float,
        counters: Mapping[Key, TrafficCounters] | None = None,
    ) -> list[Decision]:
        """Judge all that are ready, of a fleet in which so many are wanted; what is to be done.

        `accounts` are compared with each other. `every` is how long after the last look this one was due.
        A process that is not in `seen` any more is not judged; one that is there for the first time begins well. Only
        those that serve are looked for in `accounts`.
        """
        late = max(0.0, now - self._looked - interval) if math.isfinite(self._looked) else 0.0
        self._looked = now
        for key in set(self.processes) - set(observations):
            self.on_exit(key)
        for key, evidence in observations.items():
            if evidence.lifecycle is Lifecycle.SERVING:
                self.on_ready(key)
            self._weigh(now, key, evidence, late, interval)
        # One that ends may be silent in its last moment: that says nothing of the rest.
        by_silence = sum(
            one.verdict is not Verdict.HEALTHY and one.cause in (Cause.HUNG, Cause.SPINNING)
            for one in self.processes.values()
            if one.life is not Lifecycle.LEAVING
        )
        self._acted = {name: act for name, act in self._acted.items() if act[1] > now - REPLACEMENT_TIMEOUT}
        distrusted = by_silence > max(1.0, self.policy.distrust * fleet_size)
        acts: list[Decision] = []
        for key in observations:
            acts += self._accept_for(now, key, self.processes[key], fleet_size)
            acts += self._decide(now, key, fleet_size, distrusted)
        return acts + self._set_aside(now, fleet_size, self.outlier_detector.tick(now, counters or {}))

    def _set_aside(self, now: float, fleet: int, found: Mapping[Key, Finding]) -> list[Decision]:
        """Those that live, and fare worse than their siblings. No more than a share at once: the others carry it."""
        acts = []
        for key, one in self.processes.items():
            finding = found.get(key)
            if one.aside is not None and finding is None:
                one.aside = None
                acts.append(Decision(key, Response.READMIT, "it fares like its siblings"))
            elif one.aside is not None:
                one.aside = finding  # it may be another by now
            elif finding is not None and one.verdict is not Verdict.STALLED:
                if sum(each.aside is not None for each in self.processes.values()) < self._most(fleet):
                    one.aside = finding
                    self.counts["unlike"] += 1
                    acts.append(Decision(key, Response.EJECT, f"{finding.cause.value}: {finding.description}"))
                elif key not in self._held:
                    self._held.add(key)
                    self.counts["held_back"] += 1
                    self._write(now, key, f"{finding.cause.value}: {finding.description}; enough have been relieved")
        for act in acts:
            self._write(now, act.key, f"{act.response.value}: {act.reason}")
        return acts

    def _most(self, fleet: int) -> int:
        """How many may be acted upon at once."""
        return max(1, math.floor(self.policy.share * fleet))

    # ---- judging -------------------------------------------------------------------------

    def _weigh(self, now: float, key: Key, evidence: Observation, late: float, every: float) -> None:
        one = self.processes.get(key)
        if one is None:
            one = self.processes[key] = MonitoredProcess(self.policy.beat, self.policy.beat / 2.0, since=now)
        one.wait(evidence, every)
        if late > PAUSE:
            # The observer was away: what it knew of is old, and so is a beat that came meanwhile. Who lives has a
            # beat's time to show it.
            one.turned, one.certain_since = max(one.turned, evidence.last_heartbeat), math.inf
            one.begin(now, evidence)
        elif evidence.last_heartbeat > one.turned:
            one.beats(now, evidence, late)
        elif evidence.progress != one.progress:
            # It serves, though it does not beat: its silence begins anew, and teaches nothing about beats.
            one.certain_since = math.inf
            one.begin(now, evidence)
        else:
            one.excused += late
        if evidence.lifecycle is Lifecycle.STARTING and not one.turned and not evidence.stopped:
            one.since = now  # it has not begun to beat
        one.progress, one.life = evidence.progress, evidence.lifecycle
        # A timer that is due lately has not been missed: silence begins where the last beat was, or was excused to.
        silence = now - one.since - one.excused - one.waited(evidence)
        one.phi = phi(max(0.0, silence), one.mean, one.deviation)
        one.cause = self._cause(one, evidence, silence)
        judgement = self._judge(now, one, evidence)
        if judgement is not Verdict.HEALTHY:
            one.well_since = -math.inf
        steady = judgement is not Verdict.HEALTHY or (
            one.turned > 0.0 and one.turned - one.well_since >= self.policy.steady
        )
        if judgement is not one.verdict and steady:
            self._note(now, key, one, judgement, silence)

    def _cause(self, one: MonitoredProcess, evidence: Observation, silence: float) -> Cause:
        if evidence.stopped:
            return Cause.STOPPED
        if one.phi < self.policy.suspect:
            deaf = Cause.NOT_ACCEPTING if one.turned else Cause.STARTING
            return deaf if evidence.accept_wait >= self.policy.unaccepted else Cause.NONE
        if one.waited(evidence) > silence:
            return Cause.STARVED
        return Cause.SPINNING if evidence.cpu_time - one.ran > 0.5 * silence else Cause.HUNG

    def _judge(self, now: float, one: MonitoredProcess, evidence: Observation) -> Verdict:
        policy = self.policy
        if one.cause is Cause.STARVED or (one.cause is Cause.NONE and evidence.accept_wait < policy.unaccepted):
            one.certain_since = math.inf
            return Verdict.HEALTHY
        if one.cause in (Cause.NOT_ACCEPTING, Cause.STARTING):
            one.certain_since = math.inf
            return Verdict.SUSPECT
        if one.cause is Cause.STOPPED and one.phi < policy.suspect:
            return Verdict.HEALTHY  # for a moment, as by a debugger or a terminal
        if one.phi < policy.certain:
            one.certain_since = math.inf
            return Verdict.SUSPECT
        # Its time counts from the last beat: what led to certainty is a part of it.
        one.certain_since = min(one.certain_since, one.since + one.excused)
        patience = {
            Cause.STOPPED: policy.stopped_for,
            Cause.HUNG: policy.hung_for,
            Cause.SPINNING: policy.spinning_for,
        }[one.cause]
        return Verdict.STALLED if now - one.certain_since >= patience else Verdict.SUSPECT

    def _note(self, now: float, key: Key, one: MonitoredProcess, judgement: Verdict, silence: float) -> None:
        before, one.verdict = one.verdict, judgement
        if judgement is Verdict.SUSPECT and before is Verdict.HEALTHY:
            self.counts["suspected"] += 1
        elif judgement is Verdict.HEALTHY:
            self.counts["recovered"] += 1
        why = f", {one.cause.value}" if one.cause is not Cause.NONE else ""
        self._write(now, key, f"{judgement.value}{why}: silent for {silence:.2f} s, phi {min(one.phi, 999.0):.1f}")

    def _write(self, now: float, key: Key, text: str) -> None:
        notes = self.history.setdefault(key[0], deque(maxlen=KEPT))
        notes.append((now, f"generation {key[1]}: {text}"))

    # ---- acting --------------------------------------------------------------------------

    def _decide(self, now: float, key: Key, fleet: int, distrusted: bool) -> list[Decision]:
        one = self.processes[key]
        acts: list[Decision] = []
        if one.verdict is Verdict.STALLED and not one.replaced and self._may(now, key, one, fleet, distrusted):
            one.replaced = True
            if one.life is not Lifecycle.LEAVING:  # who ends has left its part of the work to others already
                self._acted[key[0]] = key[1], now
            self.counts["replaced"] += 1
            acts.append(self._act(now, key, Response.REPLACE, self._why(one)))
        return acts

    def _accept_for(self, now: float, key: Key, one: MonitoredProcess, fleet: int) -> list[Decision]:
        """Whether others accept for a process, or it does alone."""
        if one.verdict is Verdict.HEALTHY:
            if not one.accepts_diverted:
                return []
            one.accepts_diverted = False
            return [self._act(now, key, Response.RESUME_ACCEPTS, "it beats again")]
        if one.accepts_diverted or one.life is Lifecycle.LEAVING:
            return []
        if one.life is Lifecycle.STARTING and self._serving() < (1.0 - self.policy.distrust) * fleet:
            # Where most are away it is a blow, which has paces of its own: those few would get what all wait for.
            return []
        one.accepts_diverted = True
        return [self._act(now, key, Response.DIVERT_ACCEPTS, self._why(one))]

    def _serving(self) -> int:
        """How many others could go to."""
        return sum(
            one.life is Lifecycle.SERVING and one.verdict is Verdict.HEALTHY for one in self.processes.values()
        )

    @staticmethod
    def _why(one: MonitoredProcess) -> str:
        return f"{one.cause.value or 'late'}, phi {min(one.phi, 999.0):.0f}"

    def _act(self, now: float, key: Key, do: Response, why: str) -> Decision:
        self._write(now, key, f"{do.value}: {why}")
        return Decision(key, do, why)

    def _may(self, now: float, key: Key, one: MonitoredProcess, fleet: int, distrusted: bool) -> bool:
        """Whether one more may be replaced now."""
        held = ""
        if distrusted and one.cause is not Cause.STOPPED:
            held = "distrusted"
        elif len(self._acted) >= self._most(fleet) and one.life is not Lifecycle.LEAVING:
            held = "held_back"
        if held and key not in self._held:
            self._held.add(key)
            self.counts[held] += 1
            text = "most look ill at once" if held == "distrusted" else "enough are being replaced"
            self._write(now, key, f"not replaced yet: {text}")
        return not held

    # ---- what can be seen ----------------------------------------------------------------

    def view(self, key: Key) -> dict[str, Any]:
        """The judgement of one process with its evidence, as plain values."""
        one = self.processes.get(key)
        if one is None:
            return {}
        return {
            "judgement": one.verdict.value,
            "cause": one.cause.value,
            "phi": round(min(one.phi, 999.0), 1),
            "gap": round(one.mean, 4),
            "deviation": round(one.deviation, 4),
            "relieved": one.accepts_diverted,
            "unlike": one.aside.cause.value if one.aside is not None else "",
            "because": one.aside.description if one.aside is not None else "",
            "portion": self.outlier_detector.traffic_share(key),
        }

    def explain(self, now: float, name: str) -> list[tuple[float, str]]:
        """The last notes of a name: how many seconds ago, and what was seen or done."""
        return [(round(now - at, 2), text) for at, text in self.history.get(name, ())]
