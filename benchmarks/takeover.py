"""Takeover of in-flight requests under kills, with the table [takeover] and without it, in one run; and its cost.

    python benchmarks/takeover.py [--quick] [--instances N] [--kills N]
    python benchmarks/takeover.py --schedules 300 [--from SEED]

Instances are killed at random while requests of all classes with 30 to 500 ms of work run; callers repeat nothing.
Unanswered are the requests that ended, or hung for a second beyond their time budget, without a whole answer. Cost is
measured on two fleets without faults at the same time, with the table and without, before the same backends and at
the same rate; and on one instance of each, alternately at full rate, where a request costs least and the request
journal therefore the largest share (cpu_full_rate, which has no limit). With --schedules, the benchmark runs so many
fault injection scenarios instead, each with kills, stops, and slow and cut links drawn from its seed; the invariants
are checked in every one.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import shutil
import statistics
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import cpu  # noqa: E402
from apart import run_coroutine  # noqa: E402

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, World, signal_processes, wait_until  # noqa: E402
from cometusher.fault_injection.runner import run_scenario  # noqa: E402
from cometusher.fault_injection.scenario import Fault, Scenario, ScenarioFleet  # noqa: E402
from standins.discovery import HostList  # noqa: E402
from standins.load import quantile  # noqa: E402

MIN_WORK, MAX_WORK = 0.03, 0.5  # seconds of work of a request at a backend
RATE = 20.0  # requests a second to each instance
MAX_ACT_SECONDS = 0.15  # from a death to the successor's act, 99th percentile
MAX_CPU_RATIO, MAX_P50_RATIO = 1.08, 1.05
POLICY = {"budget": 100_000, "backoff_from": 0.05, "backoff_to": 0.3}


@dataclass
class KillResult:
    """The results of the kills."""

    kills: int = 0
    sent: int = 0
    outcomes: dict[str, int] = field(default_factory=dict)
    duplicate_effects: int = 0
    wrong_answers: int = 0
    extra_answers: int = 0
    orphaned_journals: int = 0
    unserved_orphans: int = 0
    verdicts: dict[str, int] = field(default_factory=dict)
    act_times: list[float] = field(default_factory=list)  # seconds from a death to the successor's act

    @property
    def unanswered(self) -> int:
        """Number of requests without an answer."""
        return self.outcomes.get("lost", 0)

    def quantile(self, q: float) -> float:
        """Seconds from a death to the successor's act, for this part of the acts."""
        return quantile(self.act_times, q)

    def summary(self) -> str:
        """One line for people."""
        outcomes = ", ".join(f"{name} {count}" for name, count in sorted(self.outcomes.items()))
        verdicts = ", ".join(f"{name} {count}" for name, count in sorted(self.verdicts.items()))
        return (
            f"{self.kills} kills, {self.sent} sent: {outcomes}; twice {self.duplicate_effects}, wrong "
            f"{self.wrong_answers}, "
            f"second {self.extra_answers}; left {self.orphaned_journals}, orphaned {self.unserved_orphans}; "
            f"{verdicts}; "
            f"act after {1000 * self.quantile(0.5):.0f} ms (p50), {1000 * self.quantile(0.99):.0f} ms (p99)"
        )


def read_takeovers(fleet: Fleet, deaths: dict[str, list[float]]) -> tuple[dict[str, int], list[float]]:
    """From the fleet's log: the successors' verdicts, and the seconds from each death to the acts after it."""
    verdicts: Counter[str] = Counter()
    names: dict[str, str] = {}
    times = []
    for line in fleet.log().splitlines():
        record = orjson.loads(line)
        text = record["text"]
        if record.get("event") == "left":
            names[text.split("(process ")[1].split(")")[0]] = text.split(" ")[0]
        if record.get("event") != "inherited":
            continue
        process, verdict = text.split(" of process ")[1].split(": ")[:2]
        verdicts[verdict] += 1
        earlier_deaths = [death for death in deaths.get(names.get(process, ""), []) if death <= record["ts"] + 0.002]
        if earlier_deaths:
            times.append(max(0.0, record["ts"] - max(earlier_deaths)))
    return dict(verdicts), times


async def run_kills(with_takeover: bool, instances: int, kills: int, kill_rate: float) -> KillResult:
    """Kill random instances of a fleet, `kill_rate` a second on average."""
    result, rng = KillResult(), Random(7)
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        world = World(Path(folder), 2 * instances, MIN_WORK)
        world.backend_stats.max_work, world.request_classes = MAX_WORK, ALL_CLASSES
        fleet = world.add_fleet("a", instances, 0, False, with_takeover)
        fleet.policy = dict(POLICY)
        fleet.log_format = "json"
        try:
            await world.start(RATE * instances)
            await asyncio.sleep(2.5)
            begin = time.monotonic()
            deaths: dict[str, list[float]] = {}
            while result.kills < kills:
                await asyncio.sleep(rng.expovariate(kill_rate))
                instances_by_name = await fleet.instance_status()
                name = f"p{rng.randrange(instances)}"
                if instances_by_name.get(name, {}).get("state") == "ready":
                    deaths.setdefault(name, []).append(time.time())
                    result.kills += len(signal_processes([instances_by_name[name]["pid"]], 9))
            end = time.monotonic()
            await asyncio.sleep(4.5)
            takeover_counters = (await fleet.status()).get("takeover", {})
        finally:
            await world.stop()
        assert world.load is not None
        requests = [request for request in world.load.results if begin <= request.sent_at <= end + 0.5]
        result.sent, result.outcomes = len(requests), dict(Counter(request.outcome for request in requests))
        result.duplicate_effects, result.wrong_answers, result.extra_answers = (
            world.duplicate_effects(),
            world.load.wrong_answers,
            world.load.extra_answers,
        )
        result.orphaned_journals, result.unserved_orphans = (
            takeover_counters.get("left", 0),
            takeover_counters.get("lost", 0),
        )
        result.verdicts, result.act_times = read_takeovers(fleet, deaths)
    return result


@dataclass
class Cost:
    """The cost of one fleet without faults."""

    cpu_per_request: float = 0.0  # processor seconds of its instances
    p50: float = 0.0  # median latency in seconds
    descriptors: float = 0.0  # of an instance, on average
    journal_pool_bytes: int = 0  # of shared memory
    holder_bytes: float = 0.0  # private memory of a descriptor holder, on average


def _private_bytes(pid: int) -> int:
    """Bytes of private memory of a process (smaps_rollup of proc(5))."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return sum(int(line.split()[1]) * 1024 for line in lines if line.startswith("Private_"))


def _descriptor_holders(supervisor: int) -> list[int]:
    children = Path(f"/proc/{supervisor}/task/{supervisor}/children").read_text().split()
    return [int(pid) for pid in children if Path(f"/proc/{pid}/comm").read_text().strip() == "keeper"]


def _journal_pool_bytes(supervisor: int) -> int:
    """Bytes that the journal pool occupies; 0 without one."""
    for entry in os.scandir(f"/proc/{supervisor}/fd"):
        if "memfd:shelf" in os.readlink(entry.path):
            return os.stat(entry.path).st_blocks * 512
    return 0


def mixed_request(number: int, index: int, part: int = 0) -> bytes:
    """Of eight requests, five are views and three have a key, which `part` makes unique to a part of the run."""
    if index % 8 < 5:
        return cpu.report_view_request(number, index)
    key = part << 96 | number << 64 | index
    return (
        b"POST /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: %d-%d\r\nX-Call-Class: submit\r\nX-Caller: univ-central\r\n"
        b"X-Budget: 2000m\r\nIdempotency-Key: %032x\r\nContent-Length: 5\r\n\r\ndraft" % (number, index, key)
    )


async def cpu_ratio(rounds: int, count: int) -> float:
    """Processor time of a request with the table over that without, alternately; the median of the rounds."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        backend = await asyncio.get_running_loop().create_server(cpu.Echo, "127.0.0.1", 0)
        port = int(backend.sockets[0].getsockname()[1])
        discovery = HostList(
            [
                {
                    "host": "s-1",
                    "dial": f"127.0.0.1:{port}",
                    "site": "kigali",
                    "class": "m",
                    "block": 0,
                    "health": "in_service",
                    "share": 1.0,
                    "born_ms": 0,
                }
            ]
        )
        await discovery.start()
        fleets = [Fleet(Path(folder), name, 1, 1, False, name == "on") for name in ("on", "off")]
        try:
            for fleet in fleets:
                fleet.write(discovery.port)
                await fleet.start()
            for fleet in fleets:
                await wait_until(fleet.is_ready)
            pids = [(await fleet.instance_status())["p0"]["pid"] for fleet in fleets]
            ratios = []
            for number in range(rounds + 1):  # the first is a warm-up
                costs = []
                for fleet, pid in zip(fleets, pids, strict=True):
                    before = cpu.cpu_seconds(pid)
                    await cpu.send_requests(fleet.ports[0], count, partial(mixed_request, part=number))
                    costs.append(cpu.cpu_seconds(pid) - before)
                if number:
                    ratios.append(costs[0] / costs[1])
            return statistics.median(ratios)
        finally:
            for fleet in fleets:
                await fleet.stop()
            await discovery.stop()
            backend.close()


async def measure_calm(instances: int, seconds: float) -> tuple[Cost, Cost]:
    """Run two fleets at the same time; returns the cost with the table and without."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        world = World(Path(folder), 2 * instances, MIN_WORK)
        fleets = [world.add_fleet(name, instances, 0, False, name == "on") for name in ("on", "off")]
        try:
            await world.start(2.0 * RATE * instances)
            await asyncio.sleep(2.5)
            assert world.load is not None
            pids = [[row["pid"] for row in (await fleet.instance_status()).values()] for fleet in fleets]
            begin, before = time.monotonic(), [sum(map(cpu.cpu_seconds, fleet_pids)) for fleet_pids in pids]
            await asyncio.sleep(seconds)
            cpu_times = [
                sum(map(cpu.cpu_seconds, fleet_pids)) - start for fleet_pids, start in zip(pids, before, strict=True)
            ]
            costs = []
            for fleet, fleet_pids, cpu_used in zip(fleets, pids, cpu_times, strict=True):
                ports = {("127.0.0.1", port) for port in fleet.ports}
                requests = [row for row in world.load.results if row.sent_at >= begin and row.address in ports]
                latencies = sorted(row.ended_at - row.sent_at for row in requests)
                assert fleet.process is not None
                descriptor_counts = [len(os.listdir(f"/proc/{pid}/fd")) for pid in fleet_pids]
                cost = Cost(
                    cpu_used / len(requests),
                    latencies[len(latencies) // 2],
                    sum(descriptor_counts) / len(descriptor_counts),
                )
                cost.journal_pool_bytes = _journal_pool_bytes(fleet.process.pid)
                holders = _descriptor_holders(fleet.process.pid)
                cost.holder_bytes = sum(map(_private_bytes, holders)) / len(holders) if holders else 0.0
                costs.append(cost)
            return costs[0], costs[1]
        finally:
            await world.stop()


# ---- schedules -----------------------------------------------------------------------------


def random_scenario(seed: int) -> Scenario:
    """A scenario with faults drawn from a seed."""
    rng = Random(seed)
    faults = []
    for _ in range(rng.randint(2, 5)):
        action = rng.choice(("kill", "kill", "kill", "stop", "slow", "cut", "mute"))
        values: dict[str, Any] = {
            "time": 3.0 * rng.random(),
            "time_spread": 0.0,
            "action": action,
            "fleet": "",
            "share": rng.choice((0.2, 0.4, 0.7)),
            "duration": 0.0,
            "link": "",
            "link_fault": "pass",
            "direction": rng.choice(("up", "down")),
            "value": 0.0,
        }
        if action == "stop":
            values |= {"duration": rng.choice((0.05, 0.3, 1.0))}
        elif action != "kill":
            value = {"slow": 0.02 + 0.1 * rng.random(), "cut": rng.randrange(1, 600), "mute": 0.0}[action]
            values |= {
                "action": "link",
                "link": "backend",
                "link_fault": action,
                "duration": 0.5,
                "value": float(value),
            }
            values["share"] = rng.choice((0.2, 0.4))
        faults.append(Fault(**values))
    fleet = ScenarioFleet("a", 0, 6, False, True)
    return Scenario(
        f"seed {seed}", seed, 0.5, 4.0, (fleet,), 12, MIN_WORK, MAX_WORK, 90.0, True, ("backend",), tuple(faults), ()
    )


def run_schedule(seed: int, keep: Path | None = None) -> tuple[int, dict[str, float]]:
    """Run one scenario; returns its seed and figures. With `keep`, saves the log of a run that lost a request."""
    while True:
        with tempfile.TemporaryDirectory(prefix="drill-") as folder:
            try:
                result = asyncio.run(run_scenario(random_scenario(seed), Path(folder)))
                if keep is not None and result.figures["lost"]:
                    seed_folder = keep / f"{seed}"
                    seed_folder.mkdir(parents=True, exist_ok=True)
                    shutil.copy(Path(folder) / "a" / "fleet.log", seed_folder)
                    lost = [f"{request}" for request in result.requests if request.outcome == "lost"]
                    timeline = [f"{applied_at:.3f} {description}" for applied_at, description in result.timeline]
                    (seed_folder / "lost.txt").write_text("\n".join([*lost, *timeline]) + "\n")
                return seed, result.figures
            except RuntimeError as error:  # another run has taken a port
                print(f"seed {seed} again: {error}", file=sys.stderr)


def run_schedules(first: int, count: int, jobs: int, keep: Path | None) -> int:
    """Run `count` scenarios; returns the exit code."""
    sums: Counter[str] = Counter()
    violating_seeds = []
    with ProcessPoolExecutor(jobs) as pool:
        for seed, figures in pool.map(partial(run_schedule, keep=keep), range(first, first + count)):
            for key in (
                "sent",
                "served",
                "refused",
                "failed",
                "lost",
                "inherited",
                "orphaned",
                "twice",
                "second",
                "wrong",
            ):
                sums[key] += int(figures[key])
            if any(figures[key] for key in ("twice", "second", "wrong")):
                violating_seeds.append(seed)
            if figures["lost"] or seed in violating_seeds:
                print(f"seed {seed}: {figures}", flush=True)
    line = " ".join(f"{key}={sums[key]}" for key in sums)
    print(f"takeover: schedules={count} {line} broken={violating_seeds} {'short' if violating_seeds else 'ok'}")
    return 1 if violating_seeds else 0


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument(
        "--quick", action="store_true", help="ten instances, both fleets at the same time; under 50 s"
    )
    parser.add_argument("--instances", type=int, default=0)
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--schedules", type=int, default=0, help="run so many random scenarios instead")
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--keep", type=Path, help="folder for the logs of scenarios that lost a request")
    options = parser.parse_args()
    if options.schedules:
        return run_schedules(options.first, options.schedules, options.jobs, options.keep)
    instances = options.instances or (10 if options.quick else 20)
    seconds, kill_rate, processes, rounds = (6.0, 12.0, 2, 7) if options.quick else (20.0, 4.0, 1, 25)
    with ProcessPoolExecutor(1) as pool:
        ratio = pool.submit(run_coroutine, cpu_ratio, rounds, 1500).result()
        cost, cost_off = pool.submit(run_coroutine, measure_calm, instances // 2, seconds).result()
    with ProcessPoolExecutor(processes) as pool:
        running = [
            pool.submit(run_coroutine, run_kills, on, instances, options.kills, kill_rate) for on in (True, False)
        ]
        on, off = (future.result() for future in running)
    print(f"on   {on.summary()}\noff  {off.summary()}")
    load, p50 = cost.cpu_per_request / cost_off.cpu_per_request, cost.p50 / cost_off.p50
    missed = []
    for name, value, maximum in (
        ("unanswered", on.unanswered, 0),
        ("twice", on.duplicate_effects, 0),
        ("wrong", on.wrong_answers, 0),
        ("second", on.extra_answers, 0),
        ("act_p99_s", on.quantile(0.99), MAX_ACT_SECONDS),
        ("cpu", load, MAX_CPU_RATIO),
        ("p50", p50, MAX_P50_RATIO),
    ):
        if value > maximum:
            missed.append(f"{name} {value:.3f}, limit {maximum}")
    for text in missed:
        print(text, file=sys.stderr)
    joined = on.verdicts.get("join", 0) / max(1, sum(on.verdicts.values()))
    print(
        f"takeover: instances={instances} kills={on.kills} unanswered={on.unanswered} "
        f"unanswered_off={off.unanswered} twice={on.duplicate_effects} inherited={sum(on.verdicts.values())} "
        f"joined={joined:.2f} "
        f"act_p50_ms={1000 * on.quantile(0.5):.0f} act_p99_ms={1000 * on.quantile(0.99):.0f} cpu={load:.3f} "
        f"cpu_full_rate={ratio:.3f} p50={p50:.3f} descriptors={cost.descriptors - cost_off.descriptors:+.1f} "
        f"shelf_kb={cost.journal_pool_bytes // 1024} keeper_kb={cost.holder_bytes / 1024:.0f} "
        f"{'short' if missed else 'ok'}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
