"""Detection time and false alarms of each threshold of phi, evaluated on recorded observations.

    python benchmarks/thresholds.py [--quick] [--plot FILE.svg] [--calm FILE] [--stops FILE]

Two fleets record observations (`record` of the table [vigil]), unless files are given: one without faults beside one
busy loop on each core, and one whose instances are stopped in turn for about a second each. Both recordings are
replayed for each threshold without the kernel's information that a process is stopped, so that silence alone decides.
False alarms are suspicions in the recording without faults, for each instance and hour; the notice time is from the
last heartbeat of an event loop to the suspicion. The figure line is for the default threshold; it is `short` if that
has a false alarm, or its 99th percentile of the notice time exceeds half a second. The plot needs the extra `plots`.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
import multiprocessing
import os
import random
import sys
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from apart import busy_loop, run_coroutine  # noqa: E402

from cometusher.fault_injection.environment import World, signal_processes  # noqa: E402
from cometusher.fleet.observations import ObservationRound, read_observations, replay_detector  # noqa: E402
from standins.load import quantile  # noqa: E402
from weldroute.failure_detector import FailureDetectorPolicy, Response  # noqa: E402

THRESHOLDS = (1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 12.0, 16.0, 20.0)
STOP_SECONDS, REST_SECONDS = 1.0, 1.5  # how long an instance is stopped, and the time between two stops
MAX_NOTICE_SECONDS = 0.5


async def record(path: Path, instances: int, seconds: float, stops: bool) -> None:
    """Record observations of a fleet: without faults beside busy loops, or with instances stopped in turn."""
    with tempfile.TemporaryDirectory(prefix="thresholds-") as folder:
        world = World(Path(folder), 8, 0.03)
        fleet = world.add_fleet("a", instances, 0, False, False, True)
        # No instance is replaced: only the time of the first suspicion is needed.
        fleet.failure_detector_lines = [
            f'record = "{path}"',
            "hung_for = 1000",
            "stopped_for = 1000",
            "spinning_for = 1000",
        ]
        burners = (
            []
            if stops
            else [multiprocessing.Process(target=busy_loop, args=(seconds,)) for _ in range(os.cpu_count() or 1)]
        )
        rng = random.Random(3)
        try:
            await world.start(2.0 * instances)
            for burner in burners:
                burner.start()
            loop = asyncio.get_running_loop()
            end = loop.time() + seconds
            while loop.time() < end:
                await asyncio.sleep(REST_SECONDS)
                if stops:
                    pid = (await fleet.pids())[f"p{rng.randrange(instances)}"]
                    signal_processes([pid], 19)
                    await asyncio.sleep(STOP_SECONDS * (0.9 + 0.2 * rng.random()))
                    signal_processes([pid], 18)
        finally:
            await world.stop()
            for burner in burners:
                await asyncio.to_thread(burner.join)


def silence_only(rounds: Iterator[ObservationRound], excused: bool = True) -> Iterator[ObservationRound]:
    """Remove the kernel's information that a process is stopped and, unless `excused`, its processor wait."""
    for observation_round in rounds:
        observations = {
            key: replace(observation, stopped=False) for key, observation in observation_round.observations.items()
        }
        if not excused:
            observations = {key: replace(observation, cpu_wait=0.0) for key, observation in observations.items()}
        yield replace(observation_round, observations=observations)


@dataclass(frozen=True)
class ThresholdResult:
    """The results of one threshold."""

    threshold: float
    false_alarms: int  # in the recording without faults
    hours: float  # instance hours of the recording without faults
    notice_times: list[float]  # seconds from the last heartbeat to the suspicion, ascending
    missed: int  # stops that were not noticed

    @property
    def alarm_rate(self) -> float:
        """False alarms for each instance and hour."""
        return self.false_alarms / self.hours if self.hours else 0.0

    def notice_quantile(self, part: float) -> float:
        """Seconds within which this part of the stops was noticed; infinity if none was."""
        return quantile(self.notice_times, part) if self.notice_times else float("inf")


def find_stops(rounds: list[ObservationRound]) -> list[tuple[tuple[str, int], float, float]]:
    """Each stop: the process, its last heartbeat, and the time of the last observation that saw it stopped."""
    current: dict[tuple[str, int], tuple[float, float]] = {}
    stops = []
    for observation_round in rounds:
        for key, observation in observation_round.observations.items():
            if observation.stopped:
                current[key] = (observation.last_heartbeat, observation_round.observed_at)
            elif key in current:
                stops.append((key, *current.pop(key)))
    return stops


def evaluate(threshold: float, calm: Path, stops: Path, excused: bool = True) -> ThresholdResult:
    """Evaluate one threshold on both recordings."""
    policy = FailureDetectorPolicy(suspect=threshold, certain=max(threshold, 12.0), hung_for=1e3, spinning_for=1e3)
    calm_rounds = list(read_observations(calm))
    false_alarms = sum(
        decision.response is Response.DIVERT_ACCEPTS
        for _, decision in replay_detector(silence_only(iter(calm_rounds), excused), policy)
    )
    hours = (
        sum(len(observation_round.observations) * observation_round.interval for observation_round in calm_rounds)
        / 3600.0
    )
    stop_rounds = list(read_observations(stops))
    decisions = replay_detector(silence_only(iter(stop_rounds), excused), policy)
    suspicions = [
        (time, decision.key) for time, decision in decisions if decision.response is Response.DIVERT_ACCEPTS
    ]
    notice_times, missed = [], 0
    for key, last_heartbeat, stop_end in find_stops(stop_rounds):
        first = next(
            (time for time, suspect in suspicions if suspect == key and last_heartbeat < time <= stop_end), None
        )
        if first is None:
            missed += 1
        else:
            notice_times.append(first - last_heartbeat)
    return ThresholdResult(threshold, false_alarms, hours, sorted(notice_times), missed)


def plot(results: list[ThresholdResult], without_excuse: list[ThresholdResult], path: Path) -> None:
    """Plot false alarms over notice time, with a point for each threshold; needs matplotlib."""
    matplotlib: Any = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    plt: Any = importlib.import_module("matplotlib.pyplot")
    figure, axes = plt.subplots(figsize=(7.0, 4.2), layout="constrained")
    xs, ys = [result.notice_quantile(0.5) for result in results], [result.alarm_rate for result in results]
    axes.plot(xs, ys, "o-", color="#33659a", label="median")
    axes.plot(
        [result.notice_quantile(0.99) for result in results], ys, "x--", color="#b03a2e", label="99th percentile"
    )
    axes.plot(
        [result.notice_quantile(0.5) for result in without_excuse],
        [result.alarm_rate for result in without_excuse],
        "s:",
        color="#777777",
        label="median, processor wait not subtracted",
    )
    axes.legend(fontsize="small")
    for result, x, y in zip(results, xs, ys, strict=True):
        axes.annotate(f"{result.threshold:g}", (x, y), textcoords="offset points", xytext=(4, 4))
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_ylim(bottom=-0.1)
    axes.set_xlabel("seconds to notice")
    axes.set_ylabel("false alarms for each instance and hour")
    axes.set_title(
        f"threshold of phi; {results[0].hours:.2f} instance hours in calm, {len(results[0].notice_times)} stops"
    )
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument(
        "--quick", action="store_true", help="fewer instances, both recordings at the same time; under 50 s"
    )
    parser.add_argument("--plot", type=Path, help="file for the plot")
    parser.add_argument("--calm", type=Path, help="recorded observations of a fleet without faults")
    parser.add_argument("--stops", type=Path, help="recorded observations of a fleet with stopped instances")
    options = parser.parse_args()
    instances, seconds = (20, 22.0) if options.quick else (40, 180.0)
    with tempfile.TemporaryDirectory(prefix="evidence-") as folder:
        calm, stops = options.calm or Path(folder) / "calm", options.stops or Path(folder) / "stops"
        running = [
            multiprocessing.Process(target=run_coroutine, args=(record, path, instances, seconds, by_turns))
            for path, given, by_turns in ((calm, options.calm, False), (stops, options.stops, True))
            if not given
        ]
        for process in running:
            process.start()
            if not options.quick:
                process.join()
        for process in running:
            process.join()
        results = [evaluate(threshold, calm, stops) for threshold in THRESHOLDS]
        without_excuse = [evaluate(threshold, calm, stops, False) for threshold in THRESHOLDS]
        default_result = evaluate(FailureDetectorPolicy().suspect, calm, stops)
    for result, other in zip(results, without_excuse, strict=True):
        print(
            f"phi {result.threshold:4g}: {result.alarm_rate:8.2f} false alarms for each instance and hour, "
            "noticed after "
            f"{result.notice_quantile(0.5):.2f} s (p50), {result.notice_quantile(0.99):.2f} s (p99), "
            f"{result.missed} not; "
            f"{other.alarm_rate:.2f} alarms without subtracting the processor wait"
        )
    if options.plot is not None:
        plot(results, without_excuse, options.plot)
    missed = (
        default_result.false_alarms > 0
        or default_result.missed > 0
        or default_result.notice_quantile(0.99) > MAX_NOTICE_SECONDS
        or not default_result.notice_times
    )
    print(
        f"thresholds: suspect={default_result.threshold:g} alarms={default_result.false_alarms} "
        f"instance_hours={default_result.hours:.3f} "
        f"stops={len(default_result.notice_times) + default_result.missed} missed={default_result.missed} "
        f"notice_p50_s={default_result.notice_quantile(0.5):.2f} "
        f"notice_p99_s={default_result.notice_quantile(0.99):.2f} {'short' if missed else 'ok'}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
