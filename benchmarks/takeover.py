"""Work in hand under kills, with the table [takeover] against without it, in one run; and what it costs in calm.

    python benchmarks/takeover.py [--quick] [--instances N] [--kills N]
    python benchmarks/takeover.py --schedules 300 [--from SEED]

Kills at random among the instances, requests of all classes with 30 to 500 ms of work; callers repeat nothing. Not
answered is what ended, or hung for a second beyond its time, with no whole answer. Cost: two fleets in calm at the
same time, one with the table and one without, before the same backends, at the same rate; and one instance of each
in turn as fast as it can, which costs a request least and so shows notes most (cpu_full_rate, without an aim). With
--schedules: as many drills, each with kills, stops, slow and cut links drawn from its seed; the rules are checked in
every one.
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
from apart import alone  # noqa: E402

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, World, signal_processes, wait_until  # noqa: E402
from cometusher.fault_injection.runner import run_scenario  # noqa: E402
from cometusher.fault_injection.scenario import Fault, Scenario, ScenarioFleet  # noqa: E402
from standins.discovery import HostList  # noqa: E402
from standins.load import quantile  # noqa: E402

WORK, LONGEST = 0.03, 0.5  # seconds of a backend's work, least and most
RATE = 20.0  # requests a second of each instance
AIM_SEND = 0.15  # seconds from a death to the heir's act, for 99 of 100
AIM_CPU, AIM_P50 = 1.08, 1.05
POLICY = {"budget": 100_000, "backoff_from": 0.05, "backoff_to": 0.3}


@dataclass
class Killed:
    """What came of the kills."""

    kills: int = 0
    sent: int = 0
    how: dict[str, int] = field(default_factory=dict)
    twice: int = 0
    wrong: int = 0
    second: int = 0
    left: int = 0
    orphaned: int = 0
    verdicts: dict[str, int] = field(default_factory=dict)
    times: list[float] = field(default_factory=list)  # seconds from a death to the heir's act

    @property
    def unanswered(self) -> int:
        """Requests without an answer."""
        return self.how.get("lost", 0)

    def quantile(self, q: float) -> float:
        """Seconds."""
        return quantile(self.times, q)

    def line(self) -> str:
        """For people."""
        how = ", ".join(f"{name} {count}" for name, count in sorted(self.how.items()))
        verdicts = ", ".join(f"{name} {count}" for name, count in sorted(self.verdicts.items()))
        return (
            f"{self.kills} kills, {self.sent} sent: {how}; twice {self.twice}, wrong {self.wrong}, "
            f"second {self.second}; left {self.left}, orphaned {self.orphaned}; {verdicts}; "
            f"act after {1000 * self.quantile(0.5):.0f} ms (p50), {1000 * self.quantile(0.99):.0f} ms (p99)"
        )


def acts(fleet: Fleet, deaths: dict[str, list[float]]) -> tuple[dict[str, int], list[float]]:
    """Verdicts of heirs, and the seconds from each death to the acts that it led to, out of the fleet's log."""
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
        at = [death for death in deaths.get(names.get(process, ""), []) if death <= record["ts"] + 0.002]
        if at:
            times.append(max(0.0, record["ts"] - max(at)))
    return dict(verdicts), times


async def kill(on: bool, instances: int, kills: int, pace: float) -> Killed:
    """Kills at random among a fleet, so many a second."""
    found, rng = Killed(), Random(7)
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        world = World(Path(folder), 2 * instances, WORK)
        world.backend_stats.max_work, world.request_classes = LONGEST, ALL_CLASSES
        fleet = world.add_fleet("a", instances, 0, False, on)
        fleet.policy = dict(POLICY)
        fleet.log_format = "json"
        try:
            await world.start(RATE * instances)
            await asyncio.sleep(2.5)
            begin = time.monotonic()
            deaths: dict[str, list[float]] = {}
            while found.kills < kills:
                await asyncio.sleep(rng.expovariate(pace))
                rows = await fleet.instance_status()
                name = f"p{rng.randrange(instances)}"
                if rows.get(name, {}).get("state") == "ready":
                    deaths.setdefault(name, []).append(time.time())
                    found.kills += len(signal_processes([rows[name]["pid"]], 9))
            end = time.monotonic()
            await asyncio.sleep(4.5)
            estate = (await fleet.status()).get("takeover", {})
        finally:
            await world.stop()
        assert world.load is not None
        told = [row for row in world.load.results if begin <= row.sent_at <= end + 0.5]
        found.sent, found.how = len(told), dict(Counter(row.outcome for row in told))
        found.twice, found.wrong, found.second = (
            world.duplicate_effects(),
            world.load.wrong_answers,
            world.load.extra_answers,
        )
        found.left, found.orphaned = estate.get("left", 0), estate.get("lost", 0)
        found.verdicts, found.times = acts(fleet, deaths)
    return found


@dataclass
class Cost:
    """Of one fleet in calm."""

    cpu: float = 0.0  # seconds of its instances' processor time, for each request
    p50: float = 0.0  # seconds
    descriptors: float = 0.0  # of an instance
    shelf: int = 0  # bytes of shared memory
    keeper: float = 0.0  # bytes of a keeper that nobody else has


def _private(pid: int) -> int:
    """Bytes of memory that only this process has (smaps_rollup of proc(5))."""
    rows = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return sum(int(row.split()[1]) * 1024 for row in rows if row.startswith("Private_"))


def _keepers(supervisor: int) -> list[int]:
    children = Path(f"/proc/{supervisor}/task/{supervisor}/children").read_text().split()
    return [int(pid) for pid in children if Path(f"/proc/{pid}/comm").read_text().strip() == "keeper"]


def _shelf(supervisor: int) -> int:
    """Bytes that the shelf takes."""
    for entry in os.scandir(f"/proc/{supervisor}/fd"):
        if "memfd:shelf" in os.readlink(entry.path):
            return os.stat(entry.path).st_blocks * 512
    return 0


def message(number: int, i: int, part: int = 0) -> bytes:
    """Of eight requests five are views and three keyed, with keys of this part of the measurement alone."""
    if i % 8 < 5:
        return cpu.view(number, i)
    key = part << 96 | number << 64 | i
    return (
        b"POST /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: %d-%d\r\nX-Call-Class: submit\r\nX-Caller: univ-central\r\n"
        b"X-Budget: 2000m\r\nIdempotency-Key: %032x\r\nContent-Length: 5\r\n\r\ndraft" % (number, i, key)
    )


async def processor(rounds: int, count: int) -> float:
    """Processor time of a request with the table over that without, in turn; the median of the rounds."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        backend = await asyncio.get_running_loop().create_server(cpu.Echo, "127.0.0.1", 0)
        port = int(backend.sockets[0].getsockname()[1])
        lists = HostList(
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
        await lists.start()
        fleets = [Fleet(Path(folder), name, 1, 1, False, name == "on") for name in ("on", "off")]
        try:
            for fleet in fleets:
                fleet.write(lists.port)
                await fleet.start()
            for fleet in fleets:
                await wait_until(fleet.is_ready)
            pids = [(await fleet.instance_status())["p0"]["pid"] for fleet in fleets]
            ratios = []
            for number in range(rounds + 1):  # the first warms up
                costs = []
                for fleet, pid in zip(fleets, pids, strict=True):
                    before = cpu.on_cpu(pid)
                    await cpu.drive(fleet.ports[0], count, partial(message, part=number))
                    costs.append(cpu.on_cpu(pid) - before)
                if number:
                    ratios.append(costs[0] / costs[1])
            return statistics.median(ratios)
        finally:
            for fleet in fleets:
                await fleet.stop()
            await lists.stop()
            backend.close()


async def calm(instances: int, seconds: float) -> tuple[Cost, Cost]:
    """Two fleets at the same time, with the table and without."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        world = World(Path(folder), 2 * instances, WORK)
        fleets = [world.add_fleet(name, instances, 0, False, name == "on") for name in ("on", "off")]
        try:
            await world.start(2.0 * RATE * instances)
            await asyncio.sleep(2.5)
            assert world.load is not None
            pids = [[row["pid"] for row in (await fleet.instance_status()).values()] for fleet in fleets]
            begin, before = time.monotonic(), [sum(map(cpu.on_cpu, each)) for each in pids]
            await asyncio.sleep(seconds)
            used = [sum(map(cpu.on_cpu, each)) - start for each, start in zip(pids, before, strict=True)]
            costs = []
            for fleet, each, spent in zip(fleets, pids, used, strict=True):
                ports = {("127.0.0.1", port) for port in fleet.ports}
                told = [row for row in world.load.results if row.sent_at >= begin and row.address in ports]
                times = sorted(row.ended_at - row.sent_at for row in told)
                assert fleet.process is not None
                held = [len(os.listdir(f"/proc/{pid}/fd")) for pid in each]
                cost = Cost(spent / len(told), times[len(times) // 2], sum(held) / len(held))
                cost.shelf = _shelf(fleet.process.pid)
                keepers = _keepers(fleet.process.pid)
                cost.keeper = sum(map(_private, keepers)) / len(keepers) if keepers else 0.0
                costs.append(cost)
            return costs[0], costs[1]
        finally:
            await world.stop()


# ---- schedules -----------------------------------------------------------------------------


def drawn(seed: int) -> Scenario:
    """A drill with faults drawn from a seed."""
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
    part = ScenarioFleet("a", 0, 6, False, True)
    return Scenario(
        f"seed {seed}", seed, 0.5, 4.0, (part,), 12, WORK, LONGEST, 90.0, True, ("backend",), tuple(faults), ()
    )


def schedule(seed: int, keep: Path | None = None) -> tuple[int, dict[str, float]]:
    """One of them; its figures. Of one that lost a request, what happened is kept in a folder."""
    while True:
        with tempfile.TemporaryDirectory(prefix="drill-") as folder:
            try:
                outcome = asyncio.run(run_scenario(drawn(seed), Path(folder)))
                if keep is not None and outcome.figures["lost"]:
                    kept = keep / f"{seed}"
                    kept.mkdir(parents=True, exist_ok=True)
                    shutil.copy(Path(folder) / "a" / "fleet.log", kept)
                    told = [f"{one}" for one in outcome.requests if one.outcome == "lost"]
                    done = [f"{at:.3f} {what}" for at, what in outcome.timeline]
                    (kept / "lost.txt").write_text("\n".join([*told, *done]) + "\n")
                return seed, outcome.figures
            except RuntimeError as fault:  # a port was taken by a drill beside it
                print(f"seed {seed} again: {fault}", file=sys.stderr)


def schedules(first: int, count: int, jobs: int, keep: Path | None) -> int:
    """So many; returns the exit code."""
    sums: Counter[str] = Counter()
    broken = []
    with ProcessPoolExecutor(jobs) as pool:
        for seed, figures in pool.map(partial(schedule, keep=keep), range(first, first + count)):
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
                broken.append(seed)
            if figures["lost"] or seed in broken:
                print(f"seed {seed}: {figures}", flush=True)
    line = " ".join(f"{key}={sums[key]}" for key in sums)
    print(f"takeover: schedules={count} {line} broken={broken} {'short' if broken else 'ok'}")
    return 1 if broken else 0


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="ten instances, both at the same time; under 50 s")
    parser.add_argument("--instances", type=int, default=0)
    parser.add_argument("--kills", type=int, default=100)
    parser.add_argument("--schedules", type=int, default=0, help="so many drills, in place of all else")
    parser.add_argument("--from", type=int, default=0, dest="first")
    parser.add_argument("--jobs", type=int, default=5)
    parser.add_argument("--keep", type=Path, help="where to keep what happened in drills that lost a request")
    options = parser.parse_args()
    if options.schedules:
        return schedules(options.first, options.schedules, options.jobs, options.keep)
    instances = options.instances or (10 if options.quick else 20)
    seconds, pace, at_once, rounds = (6.0, 12.0, 2, 7) if options.quick else (20.0, 4.0, 1, 25)
    with ProcessPoolExecutor(1) as pool:
        ratio = pool.submit(alone, processor, rounds, 1500).result()
        cost, plain = pool.submit(alone, calm, instances // 2, seconds).result()
    with ProcessPoolExecutor(at_once) as pool:
        running = [pool.submit(alone, kill, on, instances, options.kills, pace) for on in (True, False)]
        on, off = (each.result() for each in running)
    print(f"on   {on.line()}\noff  {off.line()}")
    load, p50 = cost.cpu / plain.cpu, cost.p50 / plain.p50
    short = []
    for name, value, aim in (
        ("unanswered", on.unanswered, 0),
        ("twice", on.twice, 0),
        ("wrong", on.wrong, 0),
        ("second", on.second, 0),
        ("act_p99_s", on.quantile(0.99), AIM_SEND),
        ("cpu", load, AIM_CPU),
        ("p50", p50, AIM_P50),
    ):
        if value > aim:
            short.append(f"{name} {value:.3f}, aim {aim}")
    for fault in short:
        print(fault, file=sys.stderr)
    joined = on.verdicts.get("join", 0) / max(1, sum(on.verdicts.values()))
    print(
        f"takeover: instances={instances} kills={on.kills} unanswered={on.unanswered} "
        f"unanswered_off={off.unanswered} twice={on.twice} inherited={sum(on.verdicts.values())} joined={joined:.2f} "
        f"act_p50_ms={1000 * on.quantile(0.5):.0f} act_p99_ms={1000 * on.quantile(0.99):.0f} cpu={load:.3f} "
        f"cpu_full_rate={ratio:.3f} p50={p50:.3f} descriptors={cost.descriptors - plain.descriptors:+.1f} "
        f"shelf_kb={cost.shelf // 1024} keeper_kb={cost.keeper / 1024:.0f} {'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
