"""A fleet comes back after a blow, with the table [comeback] against without it, in one run.

    python benchmarks/comeback.py [--quick] [--instances N] [--cases a,b,c,d,e]

Cases: (a) seven in ten instances killed at once; (b) the machine lost (supervisor and all) with discovery away for
some seconds; (c) the same with the store lost; (d) every store put back to an older copy, and a ban given in between;
(e) three tiers under three supervisors lost at once. Each prints its figures on and off; the last line has the worst
of each, and the exit code is 1 if one is short of its aim. Times are seconds from the last process's start (for c:
from discovery's return). Effects count as twice where the client asked for them once.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

from apart import alone  # noqa: E402

from cometusher.fault_injection.environment import World, signal_processes, wait_until  # noqa: E402
from cometusher.fault_injection.runner import time_to_full_service  # noqa: E402

WORK = 0.03  # seconds of a backend's work
RATE = 20.0  # requests a second of each instance
AIM_FULL = {"a": 1.5, "b": 1.5, "c": 2.0, "d": 1.5, "e": 1.5}
AIM_PEAK = 3.0
AIM_CALLS = 1.2
AIM_COLD = 3.0  # the rule


@dataclass
class Result:
    """The figures of one case."""

    full: float  # seconds to full service
    unserved: int
    sent_in_vain: int  # of them those that somebody took: the others came while no process listened
    peak: float  # over that of calm times
    calls: float  # of discovery, over instances
    stale: int
    twice: int
    cold: float  # work sent to a cold backend over what it could do

    def line(self) -> str:
        """For people."""
        return (
            f"full {self.full:5.2f} s  unserved {self.unserved:5d} ({self.sent_in_vain} taken)  "
            f"peak {self.peak:5.1f}x  calls {self.calls:.2f}  stale {self.stale}  twice {self.twice}  "
            f"cold {self.cold:.1f}"
        )


async def play(case: str, on: bool, instances: int, calm: float, away: float) -> Result:
    """One case, on or off."""
    tiers = 3 if case == "e" else 1
    with tempfile.TemporaryDirectory(prefix="back-") as folder:
        world = World(Path(folder), 2 * instances, WORK)
        for tier in range(tiers):
            world.add_fleet(f"tier{tier}", instances // tiers, tier, on)
        try:
            await world.start(RATE * sum(fleet.count for fleet in world.fleets))
            return await blow(world, case, calm, away)
        finally:
            await world.stop()


async def strike(world: World, case: str, older: bool) -> set[int]:
    """The blow; returns the pids that it ended."""
    before = sorted(await world.pids())
    if case == "a":
        return set(signal_processes(before[: len(before) * 7 // 10], signal.SIGKILL))
    if case == "c":
        await world.replace_backends(0.1, 1)  # some are cold when all come back with nothing known
    if case in "bc":
        await world.discovery.disconnect()
    await asyncio.gather(*(fleet.kill_machine() for fleet in world.fleets))
    for fleet in world.fleets:
        if case == "c":
            fleet.delete_store([f"p{i}" for i in range(fleet.count)])
        elif older:
            fleet.restore_store()
    await asyncio.gather(*(fleet.start() for fleet in world.fleets))
    return set(before)


async def blow(world: World, case: str, calm: float, away: float) -> Result:
    """Calm, the blow, and the time after it."""
    account, lists, on = world.backend_stats, world.discovery, world.fleets[0].recovery
    assert world.load is not None
    await asyncio.sleep(3.0)  # first connections are made: what follows is calm
    begin = time.monotonic()
    if case == "d":
        await asyncio.sleep(calm / 2.0)
        for fleet in world.fleets:
            fleet.copy_store()
            await fleet.operate("exclude", world.backends[3].host)
        await asyncio.sleep(0.5)  # what was on its way at the yes
        world.backends[3].removed = True
    await asyncio.sleep(calm)
    usual = account.mean_connects(begin, time.monotonic())
    lists.calls = 0
    at = time.monotonic()
    gone = await strike(world, case, on and case == "d")
    await wait_until(partial(world.all_running, gone))
    served_from = time.monotonic()
    if case in "bc":
        await asyncio.sleep(max(0.0, at + away - time.monotonic()))
        served_from = time.monotonic() if case == "c" else served_from
        await lists.reconnect()
    await asyncio.sleep(4.0 if on or case in "ade" else 8.0)
    told = [row for row in world.load.results if row.sent_at >= at]
    return Result(
        full=time_to_full_service(told, served_from),
        unserved=sum(row.outcome != "served" for row in told),
        sent_in_vain=sum(row.outcome not in ("served", "unreachable") for row in told),
        peak=account.peak_connects(at, time.monotonic()) / usual,
        calls=lists.calls / max(1, len(gone)),
        stale=account.stale_requests,
        twice=world.duplicate_effects(),
        cold=world.cold_overload(),
    )


def faults(case: str, on: Result, off: Result) -> list[str]:
    """What a case is short of."""
    found = []
    for name, value, aim in (
        ("full", on.full, AIM_FULL[case]),
        ("peak", on.peak, AIM_PEAK),
        ("calls", on.calls, AIM_CALLS),
        ("stale", on.stale, 0),
        ("twice", on.twice, 0),
        ("cold", on.cold, AIM_COLD),
    ):
        if value > aim:
            found.append(f"{case}: {name} {value:.2f}, aim {aim}")
    # How long nothing listens is the start of an interpreter, which varies more than anything here.
    if on.sent_in_vain > off.sent_in_vain * 1.25 + 10:
        found.append(f"{case}: {on.sent_in_vain} taken and not served, {off.sent_in_vain} without")
    return found


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="two cases at a time, ten instances; under 50 s")
    parser.add_argument("--instances", type=int, default=0)
    parser.add_argument("--cases", default="a,b,c,d,e")
    options = parser.parse_args()
    calm, away, instances, at_once = (2.0, 4.0, 10, 4) if options.quick else (6.0, 10.0, 20, 1)
    instances = options.instances or instances
    cases = options.cases.split(",")
    with ProcessPoolExecutor(at_once) as pool:
        runs = {
            (case, on): pool.submit(alone, play, case, on, instances, calm, away)
            for case in cases
            for on in (True, False)
        }
        results = {which: future.result() for which, future in runs.items()}
    short: list[str] = []
    worst: dict[str, Any] = dict.fromkeys(("full_s", "peak", "calls", "cold"), 0.0)
    worst |= dict.fromkeys(("stale", "twice", "unserved", "unserved_off"), 0)
    for case in cases:
        on, off = results[case, True], results[case, False]
        print(f"{case} on   {on.line()}\n{case} off  {off.line()}", flush=True)
        short += faults(case, on, off)
        for key, value in (("full_s", on.full), ("peak", on.peak), ("calls", on.calls), ("cold", on.cold)):
            worst[key] = max(worst[key], round(value, 2))
        for key, count in (("stale", on.stale), ("twice", on.twice), ("unserved", on.unserved)):
            worst[key] += count
        worst["unserved_off"] += off.unserved
    for fault in short:
        print(fault, file=sys.stderr)
    line = " ".join(f"{key}={value}" for key, value in worst.items())
    print(f"comeback: instances={instances} cases={options.cases} {line} {'short' if short else 'ok'}")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
