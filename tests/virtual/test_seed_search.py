"""A defect that few seeds show is found, shrunk and replayed; and the command's manners."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest
from mutants import Mutant, plant

from cometusher.simulation import script, seed_search
from cometusher.simulation.oracles import Violation
from cometusher.simulation.world import Result, run_plan

ROOT = Path(__file__).parent.parent.parent
WINDOW = "1375..1385"  # around one of the few of the first 1,760 seeds that meet the defect below
RARE = Mutant(
    "a reset is reported as never ran, now and then",
    "backends",
    "self._pool.finish(attempt, Outcome.BROKEN, None, reason)",
    "rare = self.use_count == 4 and len(attempt.body) == 3000 and attempt.server == 1\n"
    "            self._pool.finish(attempt, Outcome.UNREACHABLE if rare else Outcome.BROKEN, None, reason)",
)


def simulate(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """The command, with the code in a folder."""
    command = [sys.executable, "-m", "cometusher", "simulate", *arguments]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)


def test_a_defect_of_one_in_a_thousand_is_found_shrunk_and_replayed(tmp_path: Path) -> None:
    """A reset is taken for one that never ran: the 4th use of a connection, one backend, one size of body."""
    plant(tmp_path, RARE)
    found = simulate(tmp_path, "--seeds", WINDOW, "--tries", "40")
    assert found.returncode == 1 and "seed 1380 (fleet): " in found.stdout, found.stdout + found.stderr
    small = tmp_path / "found" / "fleet-1380.world"
    plan, whole = script.parse_plan(small.read_text()), script.draw_plan(1380)
    # With so few tries the faults come first; fewer requests draw other delays, and rarely fail alike.
    assert len(plan.faults) < len(whole.faults) and len(plan.requests) <= len(whole.requests)
    again = {simulate(tmp_path, "--replay", str(small)).stdout for _ in range(2)}
    assert len(again) == 1 and "broken: " in (account := again.pop()) and "no effect twice" in account
    sound = simulate(ROOT, "--replay", str(small))
    assert sound.returncode == 0 and "broken" not in sound.stdout


def test_shrinking_keeps_what_a_failure_needs_and_nothing_else() -> None:
    """A stand-in for the run: it fails with one fault and two requests, whatever else there is."""
    plan = replace(
        script.draw_plan(0, "fleet"), faults=tuple(script.Fault(0.5 + i, "kill", f"proxy/{i % 4}") for i in range(5))
    )

    def run(tried: script.Plan) -> Result:
        fails = plan.faults[3] in tried.faults and {plan.requests[7], plan.requests[50]} <= set(tried.requests)
        violations = [Violation("planted", 1.0, "as it was meant")] if fails else []
        return Result(tried, violations, "", [], {}, 0.0, 0)

    shrinker = seed_search.Shrinker("planted", run)
    small = shrinker.shrink(plan)
    assert small.faults == (plan.faults[3],) and small.requests == (plan.requests[7], plan.requests[50])
    assert shrinker.runs < 100


def test_a_plan_that_breaks_nothing_is_not_shrunk() -> None:
    with pytest.raises(ValueError, match="breaks no rule"):
        seed_search.shrink(
            replace(script.draw_plan(1, "one"), faults=(), requests=script.draw_plan(1, "one").requests[:5])
        )


def test_one_seed_is_shown_and_its_script_replays_to_the_same_digest(tmp_path: Path) -> None:
    shown = simulate(ROOT, "--seed", "3", "--trace")
    digest = run_plan(script.draw_plan(3)).digest
    assert shown.returncode == 0 and " wrote " in shown.stdout and shown.stdout.rstrip().endswith(digest)
    printed = simulate(ROOT, "--seed", "3", "--script")
    path = tmp_path / "three.world"
    path.write_text(printed.stdout)
    replayed = simulate(ROOT, "--replay", str(path))
    assert replayed.stdout.splitlines()[-1] == shown.stdout.splitlines()[-1]


@pytest.mark.parametrize(
    ("arguments", "what"),
    [
        ((), "one of --seeds, --seed and --replay is needed"),
        (("--seeds", "9..3"), "'9..3' is not A..B"),
        (("--seed", "1", "--world", "moon"), "'moon' is not one of any, one"),
        (("--replay", "nowhere.world"), "nowhere.world"),
        (("--seeds", "0..2", "--jobs", "-1"), "--jobs: -1 is below 0"),
    ],
)
def test_bad_usage_is_named(arguments: tuple[str, ...], what: str) -> None:
    done = simulate(ROOT, *arguments)
    assert done.returncode == 2 and what in done.stderr and "Traceback" not in done.stderr
