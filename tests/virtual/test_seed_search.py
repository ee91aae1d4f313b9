"""Tests of the seed search: a rare planted defect is found, shrunk and replayed; and of the command's usage."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from mutants import MUTANTS, Mutant, plant

from cometusher.simulation import script, seed_search
from cometusher.simulation.oracles import Violation
from cometusher.simulation.world import Result, run_plan

ROOT = Path(__file__).parent.parent.parent
SEED_RANGE = "258..268"  # around one of the few of the first 1,760 seeds that trigger the defect below
RARE = Mutant(
    "a reset is reported as never ran, now and then",
    "backends",
    "self._pool.finish(attempt, Outcome.BROKEN, None, reason)",
    "rare = self.use_count == 4 and len(attempt.body) == 3000 and attempt.server == 1\n"
    "            self._pool.finish(attempt, Outcome.UNREACHABLE if rare else Outcome.BROKEN, None, reason)",
)


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.name)
def test_planted_defect_fits_the_code(mutant: Mutant) -> None:
    """A planted defect whose quoted source has changed would search for nothing."""
    package, _, module = mutant.module.rpartition("/")
    assert (ROOT / (package or "cometusher") / f"{module}.py").read_text().count(mutant.old) == 1


def simulate(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run the command with the code in a folder."""
    command = [sys.executable, "-m", "cometusher", "simulate", *arguments]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def test_a_rare_defect_is_found_shrunk_and_replayed(tmp_path: Path) -> None:
    """A reset counts as "never ran" only for the 4th use of a connection, one backend and one size of body."""
    plant(tmp_path, RARE)
    result = simulate(tmp_path, "--seeds", SEED_RANGE, "--tries", "40")
    assert result.returncode == 1 and "seed 263 (zone): " in result.stdout, result.stdout + result.stderr
    script_path = tmp_path / "found" / "zone-263.world"
    plan, original = script.parse_plan(script_path.read_text()), script.draw_plan(263)
    # So few runs shrink mostly the faults; fewer requests draw other delays, and rarely fail in the same way.
    assert len(plan.faults) < len(original.faults) and len(plan.requests) <= len(original.requests)
    replays = {simulate(tmp_path, "--replay", str(script_path)).stdout for _ in range(2)}
    assert len(replays) == 1 and "broken: " in (account := replays.pop()) and "no effect twice" in account
    without_defect = simulate(ROOT, "--replay", str(script_path))
    assert without_defect.returncode == 0 and "broken" not in without_defect.stdout


def test_shrinking_keeps_only_what_a_failure_needs() -> None:
    """A simulated run that fails whenever one certain fault and two certain requests are present."""
    plan = replace(
        script.draw_plan(0, "fleet"), faults=tuple(script.Fault(0.5 + i, "kill", f"proxy/{i % 4}") for i in range(5))
    )

    def run(candidate: script.Plan) -> Result:
        fails = plan.faults[3] in candidate.faults and {plan.requests[7], plan.requests[50]} <= set(
            candidate.requests
        )
        violations = [Violation("planted", 1.0, "as it was meant")] if fails else []
        return Result(candidate, violations, "", [], {}, 0.0, 0)

    shrinker = seed_search.Shrinker("planted", run)
    small = shrinker.shrink(plan)
    assert small.faults == (plan.faults[3],) and small.requests == (plan.requests[7], plan.requests[50])
    assert shrinker.runs < 100


def test_a_plan_without_violations_is_not_shrunk() -> None:
    with pytest.raises(ValueError, match="breaks no rule"):
        seed_search.shrink(
            replace(script.draw_plan(1, "one"), faults=(), requests=script.draw_plan(1, "one").requests[:5])
        )


def test_the_script_of_a_seed_replays_to_the_same_digest(tmp_path: Path) -> None:
    traced = simulate(ROOT, "--seed", "3", "--trace")
    digest = run_plan(script.draw_plan(3)).digest
    assert traced.returncode == 0 and " wrote " in traced.stdout and traced.stdout.rstrip().endswith(digest)
    printed = simulate(ROOT, "--seed", "3", "--script")
    path = tmp_path / "three.world"
    path.write_text(printed.stdout)
    replayed = simulate(ROOT, "--replay", str(path))
    assert replayed.stdout.splitlines()[-1] == traced.stdout.splitlines()[-1]


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        ((), "one of --seeds, --seed and --replay is needed"),
        (("--seeds", "9..3"), "'9..3' is not A..B"),
        (("--seed", "1", "--world", "moon"), "'moon' is not one of any, one"),
        (("--replay", "nowhere.world"), "nowhere.world"),
        (("--seeds", "0..2", "--jobs", "-1"), "--jobs: -1 is below 0"),
    ],
)
def test_wrong_usage_is_reported(arguments: tuple[str, ...], message: str) -> None:
    result = simulate(ROOT, *arguments)
    assert result.returncode == 2 and message in result.stderr and "Traceback" not in result.stderr
