"""Stalled and partly failing instances, with the table [vigil] and without it, in one run; and false alarms under
load.

    python benchmarks/stall.py [--quick] [--instances N] [--stopped N] [--rate R] [--alarms SECONDS]

N of the instances are stopped (SIGSTOP) at once and not continued by the benchmark; both fleets have the table
[takeover], so that only the failure detector differs. Callers repeat nothing. Unserved are the requests sent from the
stop on that were not answered with 200. The notice time is from the stop to the log record of the replacement. Full
service is reached when every request is served within PROMPT_LIMIT (0.3 s) of fault_injection.runner.

Partial failures: one of eight instances has links of its own, on which each reply takes 0.2 s, or on which every
connection to one of two zones is reset. Late requests are those of its callers that were answered after more than
0.15 s, or not at all; the notice time is to the log record that others receive its new connections. False alarms: a
fleet without faults runs beside one busy loop on each core; no instance may be replaced or ejected.
"""

from __future__ import annotations

import argparse
import asyncio
import multiprocessing
import os
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from apart import busy_loop, run_coroutine  # noqa: E402

from cometusher.fault_injection.environment import ALL_CLASSES, World, signal_processes  # noqa: E402
from cometusher.fault_injection.runner import time_to_full_service  # noqa: E402
from standins.faulty_link import LinkFault  # noqa: E402
from standins.load import quantile  # noqa: E402

WORK = 0.03  # seconds of work of a request at a backend
MAX_UNSERVED, MAX_FULL_SECONDS, MAX_PEAK, MAX_NOTICE_SECONDS = 20, 1.0, 3.0, 0.5
LATE_AFTER = 0.15  # seconds from which an answer is late
MAX_LATE_RATIO = 0.5  # late requests with the failure detector, over those without it
PARTIAL_FAILURES = {
    "crawl": (LinkFault("slow", median_delay=0.2, spread=0.2), None),
    "zone": (LinkFault("reset"), 1),
}
CALM_SECONDS, AFTER_SECONDS = 4.0, 18.0  # seconds before the stop, and after it
POLICY = {"budget": 100_000}


@dataclass
class StallResult:
    """The results of a fleet of which some instances were stopped."""

    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    full_seconds: float = 0.0
    peak: float = 0.0  # new backend connections in 0.2 s, as a multiple of the mean before the stop
    notice_times: list[float] = field(default_factory=list)  # seconds, ascending
    duplicate_effects: int = 0
    wrong_answers: int = 0

    @property
    def unserved(self) -> int:
        """Number of requests that were not answered with 200."""
        return self.sent - self.outcomes.get("served", 0)

    def notice_quantile(self, part: float) -> float:
        """Seconds within which this part of the stops was noticed."""
        return quantile(self.notice_times, part)


def replacement_times(log: str, since: float) -> list[float]:
    """Seconds from `since` (Unix time) to each log record of a replacement, ascending."""
    records = [orjson.loads(line) for line in log.splitlines()]
    return sorted(
        record["ts"] - since for record in records if record.get("event") == "vigil" and "replaced" in record["text"]
    )


async def run_stall(with_detector: bool, instances: int, stopped: int, rate: float, after: float) -> StallResult:
    """Stop some instances of one fleet, for `after` seconds."""
    result = StallResult()
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 2 * instances, WORK)
        world.request_classes = ALL_CLASSES
        fleet = world.add_fleet("a", instances, 0, False, True, with_detector)
        fleet.policy, fleet.log_format = dict(POLICY), "json"
        pids: list[int] = []
        try:
            await world.start(rate)
            begin = time.monotonic()
            await asyncio.sleep(CALM_SECONDS)
            instances_by_name = await fleet.instance_status()
            pids = [instances_by_name[f"p{index}"]["pid"] for index in range(stopped)]
            stopped_at, stopped_at_unix = time.monotonic(), time.time()
            signal_processes(pids, 19)
            await asyncio.sleep(after)
            await asyncio.to_thread(signal_processes, pids, 18)  # the processes that have not been replaced
            await asyncio.sleep(3.2)
        finally:
            await world.stop()
        assert world.load is not None
        requests = [request for request in world.load.results if stopped_at <= request.sent_at <= stopped_at + after]
        result.sent, result.outcomes = len(requests), dict(Counter(request.outcome for request in requests))
        result.full_seconds = time_to_full_service(requests, stopped_at)
        result.peak = world.backend_stats.peak_connects(
            stopped_at, stopped_at + after
        ) / world.backend_stats.mean_connects(begin, stopped_at)
        result.notice_times = replacement_times(fleet.log(), stopped_at_unix)
        result.duplicate_effects, result.wrong_answers = (
            world.duplicate_effects(),
            world.load.wrong_answers + world.load.extra_answers,
        )
    return result


@dataclass
class PartialResult:
    """The results of a partial failure of one instance."""

    late_share: float = 0.0  # part of its callers' requests that were answered late or not at all
    notice_seconds: float = 0.0  # 0: not noticed
    others_ejected: int = 0  # other instances that were ejected
    replaced: int = 0


async def run_partial_failure(
    with_detector: bool, fault: LinkFault, zone: int | None, seconds: float
) -> PartialResult:
    """Apply a fault to the links of one of eight instances for this many seconds."""
    result = PartialResult()
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 12, WORK)
        world.request_classes, world.zone_count = ALL_CLASSES, 2
        fleet = world.add_fleet("a", 8, 0, False, True, with_detector)
        fleet.isolated, fleet.log_format = ["p0"], "json"
        try:
            await world.start(20.0 * 8)
            await asyncio.sleep(CALM_SECONDS)
            failed_at, failed_at_unix = time.monotonic(), time.time()
            await fleet.instance_links["p0"].set_fault(fault, None if zone is None else world.hosts_in_zone(zone))
            await asyncio.sleep(seconds)
            result.replaced = (await fleet.status()).get("vigil", {}).get("replaced", 0)
            await fleet.instance_links["p0"].set_fault(LinkFault())
            await asyncio.sleep(3.2)
        finally:
            await world.stop()
        assert world.load is not None
        requests = [
            row
            for row in world.load.results
            if failed_at <= row.sent_at <= failed_at + seconds and row.address[1] == fleet.ports[0]
        ]
        result.late_share = sum(
            row.outcome != "served" or row.ended_at - row.sent_at > LATE_AFTER for row in requests
        ) / len(requests)
        records = [orjson.loads(line) for line in fleet.log().splitlines()]
        ejections = [row for row in records if "most of its new connections" in row["text"]]
        times = [row["ts"] - failed_at_unix for row in ejections if row["instance"] == "p0"]
        result.notice_seconds, result.others_ejected = min(times, default=0.0), len(ejections) - len(times)
    return result


async def run_false_alarms(instances: int, rate: float, seconds: float) -> dict[str, int]:
    """Run a fleet without faults beside busy loops on all cores; returns its failure detector's counters."""
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 8, WORK)
        fleet = world.add_fleet("a", instances, 0, False, True, True)
        burners = [multiprocessing.Process(target=busy_loop, args=(seconds,)) for _ in range(os.cpu_count() or 1)]
        try:
            await world.start(rate)
            for burner in burners:
                burner.start()
            await asyncio.sleep(seconds)
            counts = dict((await fleet.status()).get("vigil", {}))
        finally:
            await world.stop()
            for burner in burners:
                await asyncio.to_thread(burner.join)
    return counts


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument(
        "--quick",
        action="store_true",
        help="both fleets at the same time, a shorter part with busy loops; under 50 s",
    )
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--stopped", type=int, default=6)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--alarms", type=float, default=0.0, help="seconds of the part with busy loops")
    options = parser.parse_args()
    rate = options.rate or (200.0 if options.quick else 400.0)
    after, seconds = (8.0, options.alarms or 12.0) if options.quick else (AFTER_SECONDS, options.alarms or 60.0)
    with ProcessPoolExecutor(4 if options.quick else 1) as pool:
        parameters = (options.instances, options.stopped, rate, after)
        running = [
            pool.submit(run_coroutine, run_stall, with_detector, *parameters) for with_detector in (True, False)
        ]
        on, off = (future.result() for future in running)
        waiting = {
            (name, with_detector): pool.submit(run_coroutine, run_partial_failure, with_detector, fault, zone, after)
            for name, (fault, zone) in PARTIAL_FAILURES.items()
            for with_detector in (True, False)
        }
        partial = {key: future.result() for key, future in waiting.items()}
        counts = pool.submit(run_coroutine, run_false_alarms, 2 * options.instances, 40.0, seconds).result()
    for name, result in (("on ", on), ("off", off)):
        outcomes = ", ".join(f"{key} {count}" for key, count in sorted(result.outcomes.items()))
        print(
            f"{name} {result.sent} sent: {outcomes}; full service after {result.full_seconds:.2f} s, peak "
            f"{result.peak:.1f}"
        )
    missed = [
        f"{name} {value:.2f}, limit {maximum}"
        for name, value, maximum in (
            ("unserved", on.unserved, MAX_UNSERVED),
            ("full_s", on.full_seconds, MAX_FULL_SECONDS),
            ("peak", on.peak, MAX_PEAK),
            ("notice_p99_s", on.notice_quantile(0.99), MAX_NOTICE_SECONDS),
            ("false", counts.get("replaced", -1), 0),
            ("twice", on.duplicate_effects, 0),
            ("wrong", on.wrong_answers, 0),
        )
        if value > maximum or value < 0
    ]
    for name in PARTIAL_FAILURES:
        with_table, without_table = partial[name, True], partial[name, False]
        text = (
            f"noticed after {with_table.notice_seconds:.2f} s, {with_table.others_ejected} others ejected, "
            f"{with_table.replaced} replaced"
        )
        print(f"{name}: late {with_table.late_share:.3f}, without the table {without_table.late_share:.3f}, {text}")
        if not with_table.notice_seconds or with_table.others_ejected or with_table.replaced:
            missed.append(f"{name}: {text}")
    crawl, crawl_off = partial["crawl", True], partial["crawl", False]
    if crawl.late_share > MAX_LATE_RATIO * crawl_off.late_share:
        missed.append(f"crawl: late {crawl.late_share:.3f}, limit {MAX_LATE_RATIO:g} of {crawl_off.late_share:.3f}")
    if counts.get("unlike", 0):
        missed.append(f"{counts['unlike']} were ejected without a fault")
    if len(on.notice_times) != options.stopped:
        missed.append(f"{len(on.notice_times)} of {options.stopped} were replaced")
    for failure in missed:
        print(failure, file=sys.stderr)
    print(
        f"stall: instances={options.instances} stopped={options.stopped} unserved={on.unserved} "
        f"unserved_off={off.unserved} notice_p50_s={on.notice_quantile(0.5):.2f} "
        f"notice_p99_s={on.notice_quantile(0.99):.2f} "
        f"full_s={on.full_seconds:.2f} full_off_s={off.full_seconds:.2f} peak={on.peak:.1f} peak_off={off.peak:.1f} "
        f"crawl_notice_s={crawl.notice_seconds:.2f} crawl_late={crawl.late_share:.2f} "
        f"crawl_late_off={crawl_off.late_share:.2f} "
        f"zone_notice_s={partial['zone', True].notice_seconds:.2f} "
        f"false_alarms={counts.get('replaced', -1)} near={counts.get('suspected', -1)} alarm_s={seconds:g} "
        f"{'short' if missed else 'ok'}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
