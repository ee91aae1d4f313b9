"""Detects stalled processes of a fleet from observations and decides what to do about them. Sans I/O, no clock.

One observer samples each process several times a second (`Observation`), using only sources that can neither lie nor
block: the time of the process's last event loop turn (a cell of shared memory that it writes), its state, its
processor time and its time waiting for a processor as counted by the kernel, and since when a connection waits at its
listener. The kernel counts a wait for a processor when it is over; one that goes on shows as a process that is ready
to run and has used no processor time since the last observation.

`phi` states how unlikely a silence is: the accrual detector of Hayashibara et al. (SRDS 2004), minus the decimal
logarithm of the probability that a heartbeat comes even later, for normally distributed gaps with the recent mean and
deviation. A threshold of phi is a rate of false alarms, one in 10^phi observations, as long as gaps are distributed
as before. What is not the process's fault is subtracted from its silence first (local health, Lifeguard, Dadgar et
al. 2017): the time that it waited for a processor, and the observer's own delay.

| verdict   | condition                                                   | consequence                              |
| --------- | ----------------------------------------------------------- | ---------------------------------------- |
| healthy   | phi under `suspect`, no connection waits for long           | it gets back what others did for it      |
| suspect   | phi over `suspect`, or a connection waited for `unaccepted` | others accept its waiting connections    |
| stalled   | phi over `certain` for as long as its cause requires        | killed, which fences it, and replaced    |

| cause         | condition beside the silence          | stalled when silent for                  |
| ------------- | ------------------------------------- | ---------------------------------------- |
| stopped       | kernel state T or t of proc(5)        | `stopped_for`                            |
| hung          | it uses no processor time             | `hung_for`                               |
| spinning      | it uses processor time without a turn | `spinning_for`                           |
| starved       | it had no processor                   | never                                    |
| not accepting | its loop turns, but accepts nothing   | never; others accept for it              |
| starting      | its loop has not turned yet, and      | never; others accept for it if most of   |
|               | connections wait for it               | the fleet serves                         |

Two limits hold for all verdicts. No more than `share` of the fleet is acted upon at once: a killed process counts
until another is ready in its place. And when more than `distrust` of the fleet looks stalled by silence alone, the
observations are distrusted and no process is killed for silence; a state reported by the kernel is exempt.
A live process that performs worse than its peers (`weldroute.outlier_detection`) is never killed for it: most of its
new connections go to others, and it gets them back in steps.

A process is monitored from its start to its end (`Lifecycle`). Before its first turn its silence means nothing, since
start-up time is bounded elsewhere; only a stop reported by the kernel counts. A process that was told to exit has
left its listener to others, so nothing is accepted for it; when it stalls it is killed for the sake of its in-flight
requests.

A verdict other than healthy ends only after heartbeats have come for `steady` seconds, so that accepting for a
process that flaps is not switched on and off repeatedly.
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

SMOOTHING = 0.05  # weight of a new gap in mean and deviation of a healthy process
SMOOTHING_SUSPECT = 0.005  # the same while it is suspect: a process that flaps must not make flapping look normal
MIN_DEVIATION = 0.025  # seconds: the granularity of timers and observations
OBSERVER_PAUSE = 1.0  # seconds of delay from which on the observer itself counts as having been paused
HISTORY_LENGTH = 64  # entries per name
REPLACEMENT_TIMEOUT = 10.0  # seconds for which a replaced process counts if no successor becomes ready
LOG10_E = math.log10(math.e)


class Verdict(Enum):
    """Health of one process."""

    HEALTHY = "well"
    SUSPECT = "suspect"
    STALLED = "stalled"


class Cause(Enum):
    """Why a process is silent, as far as can be seen from outside."""

    NONE = ""
    STOPPED = "stopped"
    HUNG = "hung"
    SPINNING = "spinning"
    STARVED = "starved"
    NOT_ACCEPTING = "deaf"
    STARTING = "starting"


class Lifecycle(Enum):
    """Phase of a process as known to its supervisor."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class Response(Enum):
    """Action on a process; the value is its text in logs."""

    DIVERT_ACCEPTS = "others accept its connections"
    RESUME_ACCEPTS = "it accepts its own connections again"
    EJECT = "most of its new connections go to others"
    READMIT = "all of its new connections are its own again"
    REPLACE = "it is replaced"


@dataclass(frozen=True, slots=True)
class FailureDetectorPolicy:
    """Thresholds; times in seconds."""

    beat: float = 0.05  # between heartbeats of a healthy process
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
        """Raise ValueError naming the first invalid field."""
        check_numbers(self)
        for name in ("share", "distrust"):
            if getattr(self, name) > 1.0:
                raise ValueError(f"{name}: {getattr(self, name)!r} is above 1")
        if self.certain < self.suspect:
            raise ValueError("certain: below suspect")


@dataclass(frozen=True, slots=True)
class Observation:
    """One sample of one process; seconds of the machine's monotonic clock, and durations in seconds."""

    last_heartbeat: float  # last turn of its event loop; 0: none yet
    stopped: bool = False
    cpu_time: float = 0.0  # since its start
    cpu_wait: float = 0.0  # time since its start in which it was ready to run and had no processor
    accept_wait: float = 0.0  # for how long a connection has waited at its listener
    progress: int = 0  # finished attempts: a sign of life beside the heartbeat
    runnable: bool = False  # it runs, or would if it had a processor
    lifecycle: Lifecycle = Lifecycle.SERVING


@dataclass(frozen=True, slots=True)
class Decision:
    """An action that the caller is to carry out."""

    key: Key
    response: Response
    reason: str


def phi(silence: float, mean: float, deviation: float) -> float:
    """Minus log10 of the probability that a heartbeat comes later than after `silence` seconds."""
    normalized = (silence - mean) / max(deviation, MIN_DEVIATION)
    if normalized > 6.0:  # erfc underflows to 0: its asymptotic expansion (Abramowitz and Stegun 7.1.23)
        return normalized * normalized / 2.0 * LOG10_E + math.log10(normalized * math.sqrt(2.0 * math.pi))
    return -math.log10(0.5 * math.erfc(normalized / math.sqrt(2.0)))


@dataclass(slots=True)
class MonitoredProcess:
    """State of one process; times in seconds."""

    mean_gap: float  # between heartbeats
    gap_deviation: float
    last_heartbeat: float = 0.0
    silent_since: float = 0.0  # where the silence starts to count
    cpu_time_before: float = 0.0  # when the silence began
    cpu_wait_before: float = 0.0  # when the silence began
    observer_delay: float = 0.0  # part of the silence in which the observer was late
    last_cpu_time: float = 0.0  # at the last observation
    last_cpu_wait: float = 0.0  # at the last observation
    pending_cpu_wait: float = 0.0  # waiting for a processor that `cpu_wait` does not include yet
    verdict: Verdict = Verdict.HEALTHY
    cause: Cause = Cause.NONE
    phi: float = 0.0
    certain_since: float = math.inf
    healthy_since: float = -math.inf
    accepts_diverted: bool = False
    replaced: bool = False
    progress: int = 0
    lifecycle: Lifecycle = Lifecycle.SERVING
    ejection: Finding | None = None  # why most of its new connections go to others

    def on_heartbeat(self, now: float, observation: Observation, delay: float) -> None:
        """Its loop has turned since the last observation; part of the observer's `delay` may follow that turn."""
        if self.last_heartbeat:
            gap = max(
                0.0,
                observation.last_heartbeat
                - self.last_heartbeat
                - self.cpu_wait_in_silence(observation)
                - self.observer_delay,
            )
            # Several heartbeats may lie between two observations: the cap avoids overestimating the gap.
            difference = min(gap, 4.0 * self.mean_gap) - self.mean_gap
            weight = SMOOTHING if self.verdict is Verdict.HEALTHY else SMOOTHING_SUSPECT
            self.mean_gap += weight * difference
            self.gap_deviation = math.sqrt(
                (1.0 - weight) * (self.gap_deviation**2 + weight * difference * difference)
            )
        self.last_heartbeat = observation.last_heartbeat
        self.reset_silence(observation.last_heartbeat, observation)
        self.observer_delay = min(delay, max(0.0, now - observation.last_heartbeat))
        if self.healthy_since < 0.0:
            self.healthy_since = now

    def reset_silence(self, since: float, observation: Observation) -> None:
        """Count its silence from `since`."""
        self.silent_since, self.observer_delay, self.pending_cpu_wait = since, 0.0, 0.0
        self.cpu_time_before, self.cpu_wait_before = observation.cpu_time, observation.cpu_wait

    def count_pending_cpu_wait(self, observation: Observation, interval: float) -> None:
        """Count waiting for a processor that is not over yet.

        The kernel reports a wait when it is over. A process that is ready to run, and has not run since the last
        observation, has waited in between.
        """
        self.pending_cpu_wait = max(0.0, self.pending_cpu_wait - (observation.cpu_wait - self.last_cpu_wait))
        if observation.runnable and observation.cpu_time == self.last_cpu_time:
            self.pending_cpu_wait += interval
        self.last_cpu_time, self.last_cpu_wait = observation.cpu_time, observation.cpu_wait

    def cpu_wait_in_silence(self, observation: Observation) -> float:
        """Seconds of its silence in which it had no processor."""
        return observation.cpu_wait - self.cpu_wait_before + self.pending_cpu_wait


class FailureDetector:
    """Monitors all processes of one fleet on behalf of one observer."""

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
        self._replacements: dict[str, tuple[int, float]] = {}  # replaced generation and when, until one follows it
        self._last_tick = -math.inf
        self._held_back: set[Key] = set()  # already reported as held back by a limit

    def on_exit(self, key: Key) -> None:
        """A process has exited."""
        self.processes.pop(key, None)
        self._held_back.discard(key)

    def on_ready(self, key: Key) -> None:
        """A process is ready; if it follows a replaced one, that one no longer counts towards `share`."""
        if key[0] in self._replacements and self._replacements[key[0]][0] < key[1]:
            del self._replacements[key[0]]

    def tick(
        self,
        now: float,
        observations: Mapping[Key, Observation],
        fleet_size: int,
        interval: float,
        counters: Mapping[Key, TrafficCounters] | None = None,
    ) -> list[Decision]:
        """Update all verdicts and return what is to be done.

        `fleet_size` is the number of processes wanted, `interval` the seconds after the last call at which this one
        was due. A process missing from `observations` is forgotten; a new one begins as healthy. `counters` of the
        serving processes are compared with each other.
        """
        delay = max(0.0, now - self._last_tick - interval) if math.isfinite(self._last_tick) else 0.0
        self._last_tick = now
        for key in set(self.processes) - set(observations):
            self.on_exit(key)
        for key, observation in observations.items():
            if observation.lifecycle is Lifecycle.SERVING:
                self.on_ready(key)
            self._update(now, key, observation, delay, interval)
        # A process that is exiting may be silent at the end: that says nothing about the rest.
        silent = sum(
            process.verdict is not Verdict.HEALTHY and process.cause in (Cause.HUNG, Cause.SPINNING)
            for process in self.processes.values()
            if process.lifecycle is not Lifecycle.LEAVING
        )
        self._replacements = {
            name: replacement
            for name, replacement in self._replacements.items()
            if replacement[1] > now - REPLACEMENT_TIMEOUT
        }
        distrusted = silent > max(1.0, self.policy.distrust * fleet_size)
        decisions: list[Decision] = []
        for key in observations:
            decisions += self._divert_or_resume_accepts(now, key, self.processes[key], fleet_size)
            decisions += self._replace_if_stalled(now, key, fleet_size, distrusted)
        return decisions + self._eject_outliers(now, fleet_size, self.outlier_detector.tick(now, counters or {}))

    def _eject_outliers(self, now: float, fleet_size: int, findings: Mapping[Key, Finding]) -> list[Decision]:
        """Eject and readmit live outliers; no more than a share at once, for the others take over their traffic."""
        decisions = []
        for key, process in self.processes.items():
            finding = findings.get(key)
            if process.ejection is not None and finding is None:
                process.ejection = None
                decisions.append(Decision(key, Response.READMIT, "it performs like its peers"))
            elif process.ejection is not None:
                process.ejection = finding  # the finding may have changed
            elif finding is not None and process.verdict is not Verdict.STALLED:
                if sum(each.ejection is not None for each in self.processes.values()) < self._max_affected(
                    fleet_size
                ):
                    process.ejection = finding
                    self.counts["unlike"] += 1
                    decisions.append(Decision(key, Response.EJECT, f"{finding.cause.value}: {finding.description}"))
                elif key not in self._held_back:
                    self._held_back.add(key)
                    self.counts["held_back"] += 1
                    self._add_history(
                        now, key, f"{finding.cause.value}: {finding.description}; enough processes are ejected"
                    )
        for decision in decisions:
            self._add_history(now, decision.key, f"{decision.response.value}: {decision.reason}")
        return decisions

    def _max_affected(self, fleet_size: int) -> int:
        """How many processes may be acted upon at once."""
        return max(1, math.floor(self.policy.share * fleet_size))

    # ---- verdicts ------------------------------------------------------------------------

    def _update(self, now: float, key: Key, observation: Observation, delay: float, interval: float) -> None:
        process = self.processes.get(key)
        if process is None:
            process = self.processes[key] = MonitoredProcess(
                self.policy.beat, self.policy.beat / 2.0, silent_since=now
            )
        process.count_pending_cpu_wait(observation, interval)
        if delay > OBSERVER_PAUSE:
            # The observer was paused: its state is old, and so is a heartbeat that came meanwhile. A live process
            # has the time of one heartbeat to show that it is alive.
            process.last_heartbeat, process.certain_since = (
                max(process.last_heartbeat, observation.last_heartbeat),
                math.inf,
            )
            process.reset_silence(now, observation)
        elif observation.last_heartbeat > process.last_heartbeat:
            process.on_heartbeat(now, observation, delay)
        elif observation.progress != process.progress:
            # It serves without heartbeats: its silence starts again, and the gap statistics learn nothing.
            process.certain_since = math.inf
            process.reset_silence(now, observation)
        else:
            process.observer_delay += delay
        if observation.lifecycle is Lifecycle.STARTING and not process.last_heartbeat and not observation.stopped:
            process.silent_since = now  # no heartbeat is due yet
        process.progress, process.lifecycle = observation.progress, observation.lifecycle
        # Silence counts from the last heartbeat, or from where it was reset: a timer that is only late is not missed.
        silence = now - process.silent_since - process.observer_delay - process.cpu_wait_in_silence(observation)
        process.phi = phi(max(0.0, silence), process.mean_gap, process.gap_deviation)
        process.cause = self._cause(process, observation, silence)
        verdict = self._verdict(now, process, observation)
        if verdict is not Verdict.HEALTHY:
            process.healthy_since = -math.inf
        steady = verdict is not Verdict.HEALTHY or (
            process.last_heartbeat > 0.0 and process.last_heartbeat - process.healthy_since >= self.policy.steady
        )
        if verdict is not process.verdict and steady:
            self._change_verdict(now, key, process, verdict, silence)

    def _cause(self, process: MonitoredProcess, observation: Observation, silence: float) -> Cause:
        if observation.stopped:
            return Cause.STOPPED
        if process.phi < self.policy.suspect:
            not_accepting = Cause.NOT_ACCEPTING if process.last_heartbeat else Cause.STARTING
            return not_accepting if observation.accept_wait >= self.policy.unaccepted else Cause.NONE
        if process.cpu_wait_in_silence(observation) > silence:
            return Cause.STARVED
        return Cause.SPINNING if observation.cpu_time - process.cpu_time_before > 0.5 * silence else Cause.HUNG

    def _verdict(self, now: float, process: MonitoredProcess, observation: Observation) -> Verdict:
        policy = self.policy
        if process.cause is Cause.STARVED or (
            process.cause is Cause.NONE and observation.accept_wait < policy.unaccepted
        ):
            process.certain_since = math.inf
            return Verdict.HEALTHY
        if process.cause in (Cause.NOT_ACCEPTING, Cause.STARTING):
            process.certain_since = math.inf
            return Verdict.SUSPECT
        if process.cause is Cause.STOPPED and process.phi < policy.suspect:
            return Verdict.HEALTHY  # stopped only briefly, as by a debugger or a terminal
        if process.phi < policy.certain:
            process.certain_since = math.inf
            return Verdict.SUSPECT
        # Counts from the last heartbeat: the time until phi reached `certain` is included.
        process.certain_since = min(process.certain_since, process.silent_since + process.observer_delay)
        max_silence = {
            Cause.STOPPED: policy.stopped_for,
            Cause.HUNG: policy.hung_for,
            Cause.SPINNING: policy.spinning_for,
        }[process.cause]
        return Verdict.STALLED if now - process.certain_since >= max_silence else Verdict.SUSPECT

    def _change_verdict(
        self, now: float, key: Key, process: MonitoredProcess, verdict: Verdict, silence: float
    ) -> None:
        before, process.verdict = process.verdict, verdict
        if verdict is Verdict.SUSPECT and before is Verdict.HEALTHY:
            self.counts["suspected"] += 1
        elif verdict is Verdict.HEALTHY:
            self.counts["recovered"] += 1
        cause = f", {process.cause.value}" if process.cause is not Cause.NONE else ""
        self._add_history(
            now, key, f"{verdict.value}{cause}: silent for {silence:.2f} s, phi {min(process.phi, 999.0):.1f}"
        )

    def _add_history(self, now: float, key: Key, text: str) -> None:
        entries = self.history.setdefault(key[0], deque(maxlen=HISTORY_LENGTH))
        entries.append((now, f"generation {key[1]}: {text}"))

    # ---- responses -----------------------------------------------------------------------

    def _replace_if_stalled(self, now: float, key: Key, fleet_size: int, distrusted: bool) -> list[Decision]:
        process = self.processes[key]
        decisions: list[Decision] = []
        if (
            process.verdict is Verdict.STALLED
            and not process.replaced
            and self._may_replace(now, key, process, fleet_size, distrusted)
        ):
            process.replaced = True
            if process.lifecycle is not Lifecycle.LEAVING:  # an exiting process has already handed over its share
                self._replacements[key[0]] = key[1], now
            self.counts["replaced"] += 1
            decisions.append(self._decide(now, key, Response.REPLACE, self._reason(process)))
        return decisions

    def _divert_or_resume_accepts(
        self, now: float, key: Key, process: MonitoredProcess, fleet_size: int
    ) -> list[Decision]:
        """Decide whether others accept connections for a process or it does so alone."""
        if process.verdict is Verdict.HEALTHY:
            if not process.accepts_diverted:
                return []
            process.accepts_diverted = False
            return [self._decide(now, key, Response.RESUME_ACCEPTS, "its heartbeats are back")]
        if process.accepts_diverted or process.lifecycle is Lifecycle.LEAVING:
            return []
        if (
            process.lifecycle is Lifecycle.STARTING
            and self._healthy_count() < (1.0 - self.policy.distrust) * fleet_size
        ):
            # Most of the fleet is down: a correlated failure, which has its own rate limits. The few healthy
            # processes would receive all connections.
            return []
        process.accepts_diverted = True
        return [self._decide(now, key, Response.DIVERT_ACCEPTS, self._reason(process))]

    def _healthy_count(self) -> int:
        """Processes that connections can be diverted to."""
        return sum(
            process.lifecycle is Lifecycle.SERVING and process.verdict is Verdict.HEALTHY
            for process in self.processes.values()
        )

    @staticmethod
    def _reason(process: MonitoredProcess) -> str:
        return f"{process.cause.value or 'late'}, phi {min(process.phi, 999.0):.0f}"

    def _decide(self, now: float, key: Key, response: Response, reason: str) -> Decision:
        self._add_history(now, key, f"{response.value}: {reason}")
        return Decision(key, response, reason)

    def _may_replace(
        self, now: float, key: Key, process: MonitoredProcess, fleet_size: int, distrusted: bool
    ) -> bool:
        """Whether one more process may be replaced now."""
        limit = ""
        if distrusted and process.cause is not Cause.STOPPED:
            limit = "distrusted"
        elif len(self._replacements) >= self._max_affected(fleet_size) and process.lifecycle is not Lifecycle.LEAVING:
            limit = "held_back"
        if limit and key not in self._held_back:
            self._held_back.add(key)
            self.counts[limit] += 1
            reason = "most processes look stalled at once" if limit == "distrusted" else "enough are being replaced"
            self._add_history(now, key, f"not replaced yet: {reason}")
        return not limit

    # ---- status --------------------------------------------------------------------------

    def view(self, key: Key) -> dict[str, Any]:
        """The verdict on one process and what it is based on, as plain values; empty if it is not known."""
        process = self.processes.get(key)
        if process is None:
            return {}
        return {
            "judgement": process.verdict.value,
            "cause": process.cause.value,
            "phi": round(min(process.phi, 999.0), 1),
            "gap": round(process.mean_gap, 4),
            "deviation": round(process.gap_deviation, 4),
            "relieved": process.accepts_diverted,
            "unlike": process.ejection.cause.value if process.ejection is not None else "",
            "because": process.ejection.description if process.ejection is not None else "",
            "portion": self.outlier_detector.traffic_share(key),
        }

    def explain(self, now: float, name: str) -> list[tuple[float, str]]:
        """The latest history entries of a name: how many seconds ago, and the text."""
        return [(round(now - time, 2), text) for time, text in self.history.get(name, ())]
