"""How fast worlds run, and whether a seed does the same in every process.

    python benchmarks/virtual.py [--quick] [--floor RATIO]

One world of 4 proxies and 12 backends at 300 requests a second, alone on one core: virtual over real seconds. Then a
hunt on all cores: seeds a minute. Then one seed in 20 fresh processes, each with another PYTHONHASHSEED. Exits 1 when
the digests differ, a rule is broken, or the world is slower than RATIO times real time.
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
ONE = "from cometusher.simulation.seed_search import run_seed; print(run_seed('any', 7).digest)"


def large(seconds: float) -> script.Plan:
    """The world of the measure; calm, for a fault would only make it quicker."""
    rng = Random(1)
    at = 0.2
    asks: list[script.PlannedRequest] = []
    while (at := at + rng.expovariate(RATE)) < seconds:
        kind = rng.choices(script.REQUEST_CLASSES, (6, 3, 2))[0]
        asks.append(script.PlannedRequest(len(asks) + 1, round(at, 5), kind, rng.randrange(2), 1.5, want=200))
    return script.Plan("fleet", 1, seconds, zones=2, proxies=2, backends=6, sockets=256, requests=tuple(asks))


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--floor", type=float, default=3.0)
    options = parser.parse_args()
    seconds = 20.0 if options.quick else 60.0
    plan = large(seconds)
    began = time.process_time()
    result = run_plan(plan)
    spent = time.process_time() - began
    ratio = seconds / spent  # the silence at the end is not counted
    watch = seed_search.Stopwatch()
    seeds = range(200 if options.quick else 2000)
    found = list(seed_search.search(seeds))
    minute = 60.0 * len(found) / watch.seconds()
    failed = sum(bool(finding.oracles) for finding in found)
    same = seed_search.in_fresh_processes(ONE, ROOT, range(0, 20 * 7919, 7919))
    good = len(same) == 1 and not failed and not result.violations and ratio >= options.floor
    print(
        f"virtual: proxies=4 backends=12 rate={RATE:.0f} requests={sum(result.outcomes.values())} "
        f"virtual_over_real={ratio:.1f} on_all_cores={ratio * multiprocessing.cpu_count():.0f} "
        f"cores={multiprocessing.cpu_count()} seeds={len(found)} seeds_per_minute={minute:.0f} failed={failed} "
        f"processes=20 digests={len(same)} {'ok' if good else 'short'}"
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
