"""Instances that stand still, with the table [vigil] against without it, in one run; and false alarms beside load.

    python benchmarks/stall.py [--quick] [--instances N] [--stopped N] [--rate R] [--alarms SECONDS]

N of the instances are stopped (SIGSTOP) at once, and never continued by us; both fleets have [takeover], so that what
differs is the watch. Callers ask nothing again. Not served is what was asked from the stop on and was not answered
with 200. To notice: from the stop until the record that one is replaced. Full service: from the stop until whatever
is asked is served within 0.5 s. Partial failures: of eight instances one has links of its own, on which each reply
takes 0.2 s, or on which one of two zones resets every connection; late is what its callers got after more than
0.15 s, or not at all, and to notice is until the record that others get its new connections. False alarms: a calm
fleet beside one busy loop on each core; nobody may be replaced, or set aside.
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

from apart import alone, burn  # noqa: E402

from cometusher.fault_injection.environment import ALL_CLASSES, World, signal_processes  # noqa: E402
from cometusher.fault_injection.runner import time_to_full_service  # noqa: E402
from standins.faulty_link import Mood  # noqa: E402
from standins.load import quantile  # noqa: E402

WORK = 0.03  # seconds
AIM_UNSERVED, AIM_FULL, AIM_PEAK, AIM_NOTICE = 20, 1.0, 3.0, 0.5
LATE = 0.15  # seconds
AIM_LATE = 0.5  # of what it is without the watch
PARTIAL = {
    "crawl": (Mood("slow", seconds=0.2, spread=0.2), None),
    "zone": (Mood("reset"), 1),
}
CALM, AFTER = 4.0, 18.0  # seconds before the stop, and after it
POLICY = {"budget": 100_000}


@dataclass
class Stalled:
    """What came of it."""

    sent: int = 0
    how: dict[str, int] = field(default_factory=dict)
    full: float = 0.0  # seconds
    peak: float = 0.0  # new backend connections in 0.2 s over those of calm
    notices: list[float] = field(default_factory=list)  # seconds, in order
    twice: int = 0
    wrong: int = 0

    @property
    def unserved(self) -> int:
        """Requests that were not answered with 200."""
        return self.sent - self.how.get("served", 0)

    def notice(self, part: float) -> float:
        """Seconds within which such a part was noticed."""
        return quantile(self.notices, part)


def replaced(log: str, since: float) -> list[float]:
    """Seconds from a moment (Unix time) to each record of a replacement."""
    rows = [orjson.loads(line) for line in log.splitlines()]
    return sorted(row["ts"] - since for row in rows if row.get("event") == "vigil" and "replaced" in row["text"])


async def stall(watched: bool, instances: int, stopped: int, rate: float, after: float) -> Stalled:
    """One fleet of which some are stopped."""
    found = Stalled()
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 2 * instances, WORK)
        world.request_classes = ALL_CLASSES
        fleet = world.add_fleet("a", instances, 0, False, True, watched)
        fleet.policy, fleet.log_format = dict(POLICY), "json"
        pids: list[int] = []
        try:
            await world.start(rate)
            begin = time.monotonic()
            await asyncio.sleep(CALM)
            rows = await fleet.instance_status()
            pids = [rows[f"p{i}"]["pid"] for i in range(stopped)]
            at, unix = time.monotonic(), time.time()
            signal_processes(pids, 19)
            await asyncio.sleep(after)
            await asyncio.to_thread(signal_processes, pids, 18)  # those that are still there
            await asyncio.sleep(3.2)
        finally:
            await world.stop()
        assert world.load is not None
        told = [row for row in world.load.results if at <= row.sent_at <= at + after]
        found.sent, found.how = len(told), dict(Counter(row.outcome for row in told))
        found.full = time_to_full_service(told, at)
        found.peak = world.backend_stats.peak_connects(at, at + after) / world.backend_stats.mean_connects(begin, at)
        found.notices = replaced(fleet.log(), unix)
        found.twice, found.wrong = world.duplicate_effects(), world.load.wrong_answers + world.load.extra_answers
    return found


@dataclass
class Partial:
    """What came of a failure of one instance alone."""

    late: float = 0.0  # the part of what its callers asked that they had late, or never
    notice: float = 0.0  # seconds; 0: not noticed
    others: int = 0  # that were set aside beside it
    replaced: int = 0


async def partly(watched: bool, mood: Mood, zone: int | None, seconds: float) -> Partial:
    """One of eight instances fares ill for so long."""
    found = Partial()
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 12, WORK)
        world.request_classes, world.zone_count = ALL_CLASSES, 2
        fleet = world.add_fleet("a", 8, 0, False, True, watched)
        fleet.isolated, fleet.log_format = ["p0"], "json"
        try:
            await world.start(20.0 * 8)
            await asyncio.sleep(CALM)
            at, unix = time.monotonic(), time.time()
            await fleet.instance_links["p0"].set_fault(mood, None if zone is None else world.hosts_in_zone(zone))
            await asyncio.sleep(seconds)
            found.replaced = (await fleet.status()).get("vigil", {}).get("replaced", 0)
            await fleet.instance_links["p0"].set_fault(Mood())
            await asyncio.sleep(3.2)
        finally:
            await world.stop()
        assert world.load is not None
        mine = [
            row
            for row in world.load.results
            if at <= row.sent_at <= at + seconds and row.address[1] == fleet.ports[0]
        ]
        found.late = sum(row.outcome != "served" or row.ended_at - row.sent_at > LATE for row in mine) / len(mine)
        records = [orjson.loads(line) for line in fleet.log().splitlines()]
        aside = [row for row in records if "most of its new connections" in row["text"]]
        times = [row["ts"] - unix for row in aside if row["instance"] == "p0"]
        found.notice, found.others = min(times, default=0.0), len(aside) - len(times)
    return found


async def alarms(instances: int, rate: float, seconds: float) -> dict[str, int]:
    """A calm fleet beside busy loops on all cores: what its watch has counted."""
    with tempfile.TemporaryDirectory(prefix="stall-") as folder:
        world = World(Path(folder), 8, WORK)
        fleet = world.add_fleet("a", instances, 0, False, True, True)
        burners = [multiprocessing.Process(target=burn, args=(seconds,)) for _ in range(os.cpu_count() or 1)]
        try:
            await world.start(rate)
            for one in burners:
                one.start()
            await asyncio.sleep(seconds)
            counts = dict((await fleet.status()).get("vigil", {}))
        finally:
            await world.stop()
            for one in burners:
                await asyncio.to_thread(one.join)
    return counts


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="both at the same time, fewer false alarms; under 50 s")
    parser.add_argument("--instances", type=int, default=20)
    parser.add_argument("--stopped", type=int, default=6)
    parser.add_argument("--rate", type=float, default=0.0)
    parser.add_argument("--alarms", type=float, default=0.0, help="seconds of the part with busy loops")
    options = parser.parse_args()
    rate = options.rate or (200.0 if options.quick else 400.0)
    after, seconds = (8.0, options.alarms or 12.0) if options.quick else (AFTER, options.alarms or 60.0)
    with ProcessPoolExecutor(4 if options.quick else 1) as pool:
        rest = (options.instances, options.stopped, rate, after)
        running = [pool.submit(alone, stall, watched, *rest) for watched in (True, False)]
        on, off = (each.result() for each in running)
        waiting = {
            (name, watched): pool.submit(alone, partly, watched, mood, zone, after)
            for name, (mood, zone) in PARTIAL.items()
            for watched in (True, False)
        }
        partial = {key: each.result() for key, each in waiting.items()}
        counts = pool.submit(alone, alarms, 2 * options.instances, 40.0, seconds).result()
    for name, one in (("on ", on), ("off", off)):
        how = ", ".join(f"{key} {count}" for key, count in sorted(one.how.items()))
        print(f"{name} {one.sent} sent: {how}; full service after {one.full:.2f} s, peak {one.peak:.1f}")
    short = [
        f"{name} {value:.2f}, aim {aim}"
        for name, value, aim in (
            ("unserved", on.unserved, AIM_UNSERVED),
            ("full_s", on.full, AIM_FULL),
            ("peak", on.peak, AIM_PEAK),
            ("notice_p99_s", on.notice(0.99), AIM_NOTICE),
            ("false", counts.get("replaced", -1), 0),
            ("twice", on.twice, 0),
            ("wrong", on.wrong, 0),
        )
        if value > aim or value < 0
    ]
    for name in PARTIAL:
        found, without = partial[name, True], partial[name, False]
        text = f"noticed after {found.notice:.2f} s, {found.others} others aside, {found.replaced} replaced"
        print(f"{name}: late {found.late:.3f} against {without.late:.3f}, {text}")
        if not found.notice or found.others or found.replaced:
            short.append(f"{name}: {text}")
    crawl, crawl_off = partial["crawl", True], partial["crawl", False]
    if crawl.late > AIM_LATE * crawl_off.late:
        short.append(f"crawl: late {crawl.late:.3f}, aim {AIM_LATE:g} of {crawl_off.late:.3f}")
    if counts.get("unlike", 0):
        short.append(f"{counts['unlike']} were set aside in calm")
    if len(on.notices) != options.stopped:
        short.append(f"{len(on.notices)} of {options.stopped} were replaced")
    for fault in short:
        print(fault, file=sys.stderr)
    print(
        f"stall: instances={options.instances} stopped={options.stopped} unserved={on.unserved} "
        f"unserved_off={off.unserved} notice_p50_s={on.notice(0.5):.2f} notice_p99_s={on.notice(0.99):.2f} "
        f"full_s={on.full:.2f} full_off_s={off.full:.2f} peak={on.peak:.1f} peak_off={off.peak:.1f} "
        f"crawl_notice_s={crawl.notice:.2f} crawl_late={crawl.late:.2f} crawl_late_off={crawl_off.late:.2f} "
        f"zone_notice_s={partial['zone', True].notice:.2f} "
        f"false_alarms={counts.get('replaced', -1)} near={counts.get('suspected', -1)} alarm_s={seconds:g} "
        f"{'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
