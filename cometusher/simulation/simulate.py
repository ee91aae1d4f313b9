"""The command `cometusher simulate`: searches seeds for failures, shows one seed, or replays a script."""

from __future__ import annotations

import argparse
from pathlib import Path

from cometusher.config import ConfigError
from cometusher.simulation import script, seed_search
from cometusher.simulation.world import Result, run_plan

PROGRESS_INTERVAL = 500  # seeds between lines of progress


def parse_seeds(text: str) -> range:
    """Parse `A..B`, a range without B; raises ConfigError."""
    first, separator, last = text.partition("..")
    if not separator or not first.isdigit() or not last.isdigit() or int(first) >= int(last):
        raise ConfigError(f"--seeds: {text!r} is not A..B with A below B")
    return range(int(first), int(last))


def load_plan(name: str) -> script.Plan:
    """Load the plan in a script file; raises ConfigError."""
    path = Path(name)
    try:
        return script.parse_plan(path.read_text(), name)
    except OSError as error:
        raise ConfigError(f"{name}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise ConfigError(f"{name}: not text: {error.reason}") from error


def _show(result: Result, trace: bool) -> int:
    if trace:
        print("\n".join(result.lines))
    for violation in result.violations[: None if trace else seed_search.MAX_VIOLATIONS]:
        print(f"broken: {violation}")
    ended = ", ".join(f"{count} {outcome}" for outcome, count in result.outcomes.items())
    extent = f"{result.seconds:.1f} virtual seconds, {result.steps} steps"
    print(f"{ended or 'no requests'}; {extent}; digest {result.digest}")
    return 1 if result.violations else 0


def _shrink(plan: script.Plan, folder: Path, max_runs: int) -> Path:
    smallest, oracle = seed_search.shrink(plan, max_runs)
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{plan.world}-{plan.seed}.world"
    path.write_text(f"# breaks: {oracle}\n{script.format_plan(smallest)}")
    return path


def _search(options: argparse.Namespace) -> int:
    seeds = parse_seeds(options.seeds)
    failed: list[seed_search.SeedResult] = []
    virtual = 0.0
    requests = done = 0
    stopwatch = seed_search.Stopwatch()
    for result in seed_search.search(seeds, options.world, options.jobs):
        done += 1
        virtual += result.seconds
        requests += result.requests
        if result.oracles:
            failed.append(result)
            print(f"seed {result.seed} ({result.world}): {result.text[0]}", flush=True)
            if options.first:
                break
        if done % PROGRESS_INTERVAL == 0:
            print(f"{done} seeds, {len(failed)} failed, {60.0 * done / stopwatch.seconds():.0f} a minute", flush=True)
    elapsed = stopwatch.seconds()
    print(
        f"simulate: seeds={done} failed={len(failed)} requests={requests} virtual_s={virtual:.0f} "
        f"real_s={elapsed:.1f} virtual_over_real={virtual / elapsed:.0f} seeds_per_minute={60.0 * done / elapsed:.0f}"
    )
    if failed and not options.keep:
        path = _shrink(script.draw_plan(failed[0].seed, options.world), Path(options.out), options.tries)
        print(f"the first failure was shrunk to {path}; replay it with: cometusher simulate --replay {path}")
    return 1 if failed else 0


def main(options: argparse.Namespace) -> int:
    """Run the command; returns the exit code: 0 without a violation, 1 with one. Raises ConfigError."""
    if options.world not in ("any", *script.WORLDS):
        raise ConfigError(f"--world: {options.world!r} is not one of any, {', '.join(script.WORLDS)}")
    if options.jobs < 0:
        raise ConfigError(f"--jobs: {options.jobs} is below 0")
    if options.replay:
        return _show(run_plan(load_plan(options.replay), options.steps), options.trace)
    if options.seed is not None:
        plan = script.draw_plan(options.seed, options.world)
        if options.script:
            print(script.format_plan(plan), end="")
            return 0
        return _show(run_plan(plan, options.steps), options.trace)
    if options.seeds:
        return _search(options)
    raise ConfigError("simulate: one of --seeds, --seed and --replay is needed")
