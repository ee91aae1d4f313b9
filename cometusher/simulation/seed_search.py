"""Runs many seeds on all cores, and shrinks the plan of a failing seed to the smallest script that still fails.

A failure is identified by the oracles that it violates; a smaller plan counts if it violates the first of them too.
Workers are separate processes: runs of different workers cannot affect each other, and the order of workers does not
affect results.
"""

from __future__ import annotations

import functools
import gc
import multiprocessing
import os
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import TypeVar

from cometusher.simulation.script import Fault, Plan, PlannedRequest, draw_plan
from cometusher.simulation.world import Result, run_plan

T = TypeVar("T", PlannedRequest, Fault)
MAX_SHRINK_RUNS = 400  # default limit of runs for shrinking one plan
MAX_VIOLATIONS = 12  # violations of a failing run that are reported


@dataclass(frozen=True)
class SeedResult:
    """The result of one seed, small enough to send between processes."""

    seed: int
    world: str
    digest: str
    oracles: tuple[str, ...]
    text: tuple[str, ...]
    seconds: float  # virtual
    requests: int


def freeze_heap() -> None:
    """Exclude the objects of an initialized worker from garbage collection, which makes later collections cheaper."""
    gc.collect()
    gc.freeze()


def run_seed(world: str, seed: int) -> SeedResult:
    """Run the plan of one seed."""
    result = run_plan(draw_plan(seed, world))
    return SeedResult(
        seed,
        result.plan.world,
        result.digest,
        tuple(result.oracles),
        tuple(str(violation) for violation in result.violations[:MAX_VIOLATIONS]),
        result.seconds,
        sum(result.outcomes.values()),
    )


def search(seeds: Iterable[int], world: str = "any", jobs: int = 0) -> Iterator[SeedResult]:
    """Run seeds on `jobs` processes (0: one for each core); results come in the order of the seeds."""
    jobs = jobs or multiprocessing.cpu_count()
    if jobs == 1:
        yield from map(functools.partial(run_seed, world), seeds)
        return
    with multiprocessing.get_context("spawn").Pool(jobs, initializer=freeze_heap) as pool:
        yield from pool.imap(functools.partial(run_seed, world), seeds, chunksize=4)


@dataclass
class Shrinker:
    """Removes from a plan what its failure does not need."""

    oracle: str
    run: Callable[[Plan], Result] = run_plan
    max_runs: int = MAX_SHRINK_RUNS
    runs: int = 0

    def fails(self, plan: Plan) -> bool:
        """Whether a plan still violates the oracle; false once `max_runs` is used up."""
        if self.runs >= self.max_runs:
            return False
        self.runs += 1
        return self.oracle in self.run(plan).oracles

    def minimize(self, items: Sequence[T], fails: Callable[[tuple[T, ...]], bool]) -> tuple[T, ...]:
        """A minimal failing subset, removing ever smaller pieces (delta debugging, Zeller and Hildebrandt 2002)."""
        kept = tuple(items)
        if kept and fails(()):
            return ()
        size = max(1, len(kept) // 2)
        while kept:
            start = 0
            while start < len(kept):
                fewer = kept[:start] + kept[start + size :]
                if fewer and fails(fewer):
                    kept = fewer
                else:
                    start += size
            if size == 1:
                break
            size = max(1, size // 2)
        return kept

    def shrink(self, plan: Plan) -> Plan:
        """The smallest failing plan that was found; the same plan if nothing can be removed."""
        plan = self._fewer_faults(plan)
        requests = self.minimize(plan.requests, lambda subset: self.fails(replace(plan, requests=subset)))
        plan = self._fewer_faults(replace(plan, requests=requests))
        for changes in self._simplifications(plan):
            simpler = replace(plan, **changes)  # type: ignore[arg-type]
            if simpler != plan and self.fails(simpler):
                plan = simpler
        return plan

    def _fewer_faults(self, plan: Plan) -> Plan:
        faults = self.minimize(plan.faults, lambda subset: self.fails(replace(plan, faults=subset)))
        return replace(plan, faults=faults)

    @staticmethod
    def _simplifications(plan: Plan) -> list[dict[str, float]]:
        last = max(
            [request.at for request in plan.requests] + [fault.at + fault.seconds for fault in plan.faults] + [0.5]
        )
        return [{"seconds": round(min(plan.seconds, last + 1.0), 1)}, {"cut": 0.0}, {"jitter": 0.0}]


def shrink(plan: Plan, max_runs: int = MAX_SHRINK_RUNS) -> tuple[Plan, str]:
    """The smallest plan that fails like this one, and the violated oracle; raises ValueError if none is."""
    oracles = run_plan(plan).oracles
    if not oracles:
        raise ValueError("the plan breaks no rule")
    return Shrinker(oracles[0], max_runs=max_runs).shrink(plan), oracles[0]


def in_fresh_processes(code: str, folder: Path, hash_seeds: Iterable[int]) -> set[str]:
    """The distinct outputs of code in new processes, one for each PYTHONHASHSEED; raises CalledProcessError."""
    command = [sys.executable, "-c", code]
    running = [
        subprocess.Popen(
            command, cwd=folder, env=os.environ | {"PYTHONHASHSEED": str(seed)}, stdout=subprocess.PIPE, text=True
        )
        for seed in hash_seeds
    ]
    printed = {process.communicate()[0].strip() for process in running}
    for process in running:
        if process.returncode != 0:
            raise subprocess.CalledProcessError(process.returncode, command)
    return printed


class Stopwatch:
    """Measures real time since its construction."""

    def __init__(self) -> None:
        self._began = time.perf_counter()

    def seconds(self) -> float:
        """Elapsed real seconds."""
        return time.perf_counter() - self._began
