"""How soon a silence is noticed and how often wrongly, for each threshold of phi, out of recorded evidence.

    python benchmarks/thresholds.py [--quick] [--plot FILE.svg] [--calm FILE] [--stops FILE]

Two fleets leave evidence (`record` of the table [vigil]), unless files with it are given: one in calm beside one busy
loop on each core, and one whose instances are stopped by turns for a second each. Both are judged again for each
threshold, with the kernel's word that a process is stopped left out, so that silence alone decides. False alarms are
suspicions in the calm, for each instance and hour; the time to notice runs from the last turn of an event loop to the
suspicion. The figure line tells of the threshold in use; it is short if that one has a false alarm, or notices later
than in half a second. The plot wants the extra `plots`.
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

from apart import alone, burn  # noqa: E402

from cometusher.fault_injection.environment import World, signal_processes  # noqa: E402
from cometusher.fleet.observations import ObservationRound, read_observations, replay_detector  # noqa: E402
from standins.load import quantile  # noqa: E402
from weldroute.failure_detector import FailureDetectorPolicy, Response  # noqa: E402

THRESHOLDS = (1.0, 1.5, 2.0, 3.0, 4.0, 5.0, 6.0, 8.0, 10.0, 12.0, 16.0, 20.0)
PAUSE, REST = 1.0, 1.5  # seconds for which one is stopped, and between two of them
AIM = 0.5  # seconds


async def record(path: Path, instances: int, seconds: float, stops: bool) -> None:
    """Leave evidence of a fleet: in calm beside busy loops, or of one whose instances are stopped by turns."""
    with tempfile.TemporaryDirectory(prefix="thresholds-") as folder:
        world = World(Path(folder), 8, 0.03)
        fleet = world.add_fleet("a", instances, 0, False, False, True)
        # Nobody is replaced: what is looked for is the moment of the first suspicion.
        fleet.failure_detector_lines = [
            f'record = "{path}"',
            "hung_for = 1000",
            "stopped_for = 1000",
            "spinning_for = 1000",
        ]
        burners = (
            []
            if stops
            else [multiprocessing.Process(target=burn, args=(seconds,)) for _ in range(os.cpu_count() or 1)]
        )
        rng = random.Random(3)
        try:
            await world.start(2.0 * instances)
            for one in burners:
                one.start()
            loop = asyncio.get_running_loop()
            end = loop.time() + seconds
            while loop.time() < end:
                await asyncio.sleep(REST)
                if stops:
                    pid = (await fleet.pids())[f"p{rng.randrange(instances)}"]
                    signal_processes([pid], 19)
                    await asyncio.sleep(PAUSE * (0.9 + 0.2 * rng.random()))
                    signal_processes([pid], 18)
        finally:
            await world.stop()
            for one in burners:
                await asyncio.to_thread(one.join)


def by_silence(looks: Iterator[ObservationRound], excused: bool = True) -> Iterator[ObservationRound]:
    """Without the kernel's word that one is stopped; nor, unless `excused`, that it waited for a processor."""
    for look in looks:
        seen = {key: replace(one, stopped=False) for key, one in look.observations.items()}
        if not excused:
            seen = {key: replace(one, cpu_wait=0.0) for key, one in seen.items()}
        yield replace(look, observations=seen)


@dataclass(frozen=True)
class Judged:
    """What one threshold makes of the evidence."""

    threshold: float
    alarms: int  # in the calm
    hours: float  # of instances
    times: list[float]  # from the last turn to the suspicion, in order; seconds
    missed: int  # stops that were not noticed

    @property
    def rate(self) -> float:
        """False alarms for each instance and hour."""
        return self.alarms / self.hours if self.hours else 0.0

    def notice(self, part: float) -> float:
        """Seconds within which such a part was noticed."""
        return quantile(self.times, part) if self.times else float("inf")


def stopped(looks: list[ObservationRound]) -> list[tuple[tuple[str, int], float, float]]:
    """Each stop: of whom, its last turn, and the last look that saw it stopped."""
    found: dict[tuple[str, int], tuple[float, float]] = {}
    done = []
    for look in looks:
        for key, one in look.observations.items():
            if one.stopped:
                found[key] = (one.last_heartbeat, look.observed_at)
            elif key in found:
                done.append((key, *found.pop(key)))
    return done


def judge(threshold: float, calm: Path, stops: Path, excused: bool = True) -> Judged:
    """Both recordings, by one threshold."""
    policy = FailureDetectorPolicy(suspect=threshold, certain=max(threshold, 12.0), hung_for=1e3, spinning_for=1e3)
    quiet = list(read_observations(calm))
    alarms = sum(
        act.response is Response.DIVERT_ACCEPTS
        for _, act in replay_detector(by_silence(iter(quiet), excused), policy)
    )
    hours = sum(len(look.observations) * look.interval for look in quiet) / 3600.0
    looks = list(read_observations(stops))
    judged = replay_detector(by_silence(iter(looks), excused), policy)
    acts = [(at, act.key) for at, act in judged if act.response is Response.DIVERT_ACCEPTS]
    times, missed = [], 0
    for key, turned, until in stopped(looks):
        first = next((at for at, whom in acts if whom == key and turned < at <= until), None)
        if first is None:
            missed += 1
        else:
            times.append(first - turned)
    return Judged(threshold, alarms, hours, sorted(times), missed)


def plot(rows: list[Judged], plain: list[Judged], path: Path) -> None:
    """False alarms by time to notice, a point for each threshold; needs matplotlib."""
    matplotlib: Any = importlib.import_module("matplotlib")
    matplotlib.use("svg")
    plt: Any = importlib.import_module("matplotlib.pyplot")
    figure, axes = plt.subplots(figsize=(7.0, 4.2), layout="constrained")
    xs, ys = [row.notice(0.5) for row in rows], [row.rate for row in rows]
    axes.plot(xs, ys, "o-", color="#33659a", label="median")
    axes.plot([row.notice(0.99) for row in rows], ys, "x--", color="#b03a2e", label="99 of 100")
    axes.plot(
        [row.notice(0.5) for row in plain],
        [row.rate for row in plain],
        "s:",
        color="#777777",
        label="median, waiting for a processor not taken off",
    )
    axes.legend(fontsize="small")
    for row, x, y in zip(rows, xs, ys, strict=True):
        axes.annotate(f"{row.threshold:g}", (x, y), textcoords="offset points", xytext=(4, 4))
    axes.set_yscale("symlog", linthresh=1.0)
    axes.set_ylim(bottom=-0.1)
    axes.set_xlabel("seconds to notice")
    axes.set_ylabel("false alarms for each instance and hour")
    axes.set_title(f"phi of suspicion; {rows[0].hours:.2f} instance hours of calm, {len(rows[0].times)} stops")
    figure.savefig(path, metadata={"Date": None})


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="fewer, both at the same time; under 50 s")
    parser.add_argument("--plot", type=Path, help="where to draw it")
    parser.add_argument("--calm", type=Path, help="evidence of a calm fleet")
    parser.add_argument("--stops", type=Path, help="evidence of one whose instances are stopped by turns")
    options = parser.parse_args()
    instances, seconds = (20, 22.0) if options.quick else (40, 180.0)
    with tempfile.TemporaryDirectory(prefix="evidence-") as folder:
        calm, stops = options.calm or Path(folder) / "calm", options.stops or Path(folder) / "stops"
        running = [
            multiprocessing.Process(target=alone, args=(record, path, instances, seconds, by_turns))
            for path, given, by_turns in ((calm, options.calm, False), (stops, options.stops, True))
            if not given
        ]
        for one in running:
            one.start()
            if not options.quick:
                one.join()
        for one in running:
            one.join()
        rows = [judge(threshold, calm, stops) for threshold in THRESHOLDS]
        plain = [judge(threshold, calm, stops, False) for threshold in THRESHOLDS]
        usual = judge(FailureDetectorPolicy().suspect, calm, stops)
    for row, other in zip(rows, plain, strict=True):
        print(
            f"phi {row.threshold:4g}: {row.rate:8.2f} false alarms for each instance and hour, noticed after "
            f"{row.notice(0.5):.2f} s (p50), {row.notice(0.99):.2f} s (p99), {row.missed} not; "
            f"{other.rate:.2f} alarms with nothing taken off"
        )
    if options.plot is not None:
        plot(rows, plain, options.plot)
    short = usual.alarms > 0 or usual.missed > 0 or usual.notice(0.99) > AIM or not usual.times
    print(
        f"thresholds: suspect={usual.threshold:g} alarms={usual.alarms} instance_hours={usual.hours:.3f} "
        f"stops={len(usual.times) + usual.missed} missed={usual.missed} notice_p50_s={usual.notice(0.5):.2f} "
        f"notice_p99_s={usual.notice(0.99):.2f} {'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
