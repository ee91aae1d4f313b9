"""Speed of the simulation, and whether a seed gives the same result in every process.

    python benchmarks/virtual.py [--quick] [--floor RATIO]

Measures the virtual over the real seconds of one world of 4 proxies and 12 backends at 300 requests a second, alone
on one core; then the seeds a minute of a seed search on all cores; then runs one seed in 20 new processes, each with
another PYTHONHASHSEED. The exit code is 1 if the digests differ, a test oracle reports a violation, or the world runs
slower than RATIO times real time.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
import time
from pathlib import Path
from random import Random

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cometusher.simulation import script, seed_search  # noqa: E402
from cometusher.simulation.world import run_plan  # noqa: E402

RATE = 300.0  # requests a second
DIGEST_COMMAND = "from cometusher.simulation.seed_search import run_seed; print(run_seed('any', 7).digest)"


def large_plan(seconds: float) -> script.Plan:
    """The world that is measured; it has no faults, which would only make it faster."""
    rng = Random(1)
    arrival = 0.2
    requests: list[script.PlannedRequest] = []
    while (arrival := arrival + rng.expovariate(RATE)) < seconds:
        class_name = rng.choices(script.REQUEST_CLASSES, (6, 3, 2))[0]
        requests.append(
            script.PlannedRequest(len(requests) + 1, round(arrival, 5), class_name, rng.randrange(2), 1.5, want=200)
        )
    return script.Plan("fleet", 1, seconds, zones=2, proxies=2, backends=6, sockets=256, requests=tuple(requests))


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--floor", type=float, default=3.0)
    options = parser.parse_args()
    seconds = 20.0 if options.quick else 60.0
    plan = large_plan(seconds)
    started_at = time.process_time()
    result = run_plan(plan)
    cpu_used = time.process_time() - started_at
    ratio = seconds / cpu_used  # the idle time at the end of the world is not counted
    stopwatch = seed_search.Stopwatch()
    seeds = range(200 if options.quick else 2000)
    findings = list(seed_search.search(seeds))
    seeds_per_minute = 60.0 * len(findings) / stopwatch.seconds()
    failed = sum(bool(finding.oracles) for finding in findings)
    digests = seed_search.in_fresh_processes(DIGEST_COMMAND, ROOT, range(0, 20 * 7919, 7919))
    passed = len(digests) == 1 and not failed and not result.violations and ratio >= options.floor
    print(
        f"virtual: proxies=4 backends=12 rate={RATE:.0f} requests={sum(result.outcomes.values())} "
        f"virtual_over_real={ratio:.1f} on_all_cores={ratio * multiprocessing.cpu_count():.0f} "
        f"cores={multiprocessing.cpu_count()} seeds={len(findings)} seeds_per_minute={seeds_per_minute:.0f} "
        f"failed={failed} processes=20 digests={len(digests)} {'ok' if passed else 'short'}"
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
