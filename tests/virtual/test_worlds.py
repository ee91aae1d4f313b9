"""Worlds of real proxies under faults: no rule is broken, whatever the seed, and a seed always does the same."""

from __future__ import annotations

import socket
import time
from dataclasses import replace
from pathlib import Path

import pytest

from cometusher.simulation import script, seed_search
from cometusher.simulation.world import run_plan

ROOT = Path(__file__).parent.parent.parent
SCRIPTS = sorted((Path(__file__).parent / "scripts").glob("*.world"))
SEEDS = range(300)


def test_the_corpus_breaks_no_rule() -> None:
    failed = [(found.seed, found.world, found.text[0]) for found in seed_search.search(SEEDS) if found.oracles]
    assert failed == []


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_past_failures_stay_mended(path: Path) -> None:
    result = run_plan(script.parse_plan(path.read_text(), path.name))
    assert result.violations == [] and sum(result.outcomes.values()) > 0


@pytest.mark.parametrize("what", sorted(script.FAULT_KINDS))
def test_each_fault_is_caused_and_survived(what: str) -> None:
    """In every kind of world, for all that it can befall; requests come throughout."""
    for seed, world in enumerate(script.WORLDS):
        plan = script.draw_plan(seed + 1, world)
        many = script.target_counts(plan)
        whose, amount = script.FAULT_KINDS[what]
        faults = tuple(
            script.Fault(
                1.0 + i,
                what,
                f"{whom}/{seed % many[whom]}",
                0.0 if what in script.INSTANT_FAULTS else 0.8,
                15.0 if amount else 0.0,
            )
            for i, whom in enumerate(whose)
            if whom in many
        )
        if what in ("lag", "coarse", "hasty"):
            faults = tuple(replace(fault, by=0.04) for fault in faults)
        if what == "narrow":
            faults = tuple(replace(fault, by=1e5) for fault in faults)
        result = run_plan(replace(plan, faults=faults, requests=plan.requests[:120]))
        assert [str(violation) for violation in result.violations] == []
        struck = [line for line in result.lines if f" fault {what} " in line]
        assert len(struck) == len(faults) and result.outcomes["served"] > 20


def test_a_world_without_faults_serves_all() -> None:
    for seed, world in enumerate(script.WORLDS):
        plan = script.draw_plan(seed, world)
        asks = tuple(replace(ask, leaves=0.0, slow=0.0, budget=1.5) for ask in plan.requests[:60])
        result = run_plan(replace(plan, faults=(), requests=asks))
        assert result.violations == [] and set(result.outcomes) == {"served"} and result.outcomes["served"] >= 60


BOTH = """
world zone seed 5 seconds 5
shape zones 2 tiers 1 proxies 1 backends 2
limits sockets 192 copies 1 cancel 1
{requests}
fault at 2 {first}
fault at 2 {second}
"""


@pytest.mark.parametrize(
    ("one", "other"),
    [
        ("kill backend/0 for 0.5", "drain proxy/0 for 0.5"),
        ("leave backend/1 for 1", "reload proxy/0"),
        ("silent backend/0 for 1", "kill backend/0 for 1"),
        ("pause proxy/0 for 0.3", "kill backend/1 for 0.5"),
        ("kill proxy/0 for 0.5", "drain proxy/0 for 0.5"),
        ("reorder discovery/0 for 1", "leave backend/0 for 0.5"),
    ],
)
def test_two_faults_on_one_tick_in_both_orders(one: str, other: str) -> None:
    requests = "\n".join(
        f"request {i} at {0.2 + 0.04 * i:.2f} {script.REQUEST_CLASSES[i % 3]} zone {i % 2} want 200"
        for i in range(1, 100)
    )
    digests = []
    for first, second in ((one, other), (other, one)):
        result = run_plan(script.parse_plan(BOTH.format(requests=requests, first=first, second=second)))
        assert [str(violation) for violation in result.violations] == []
        faults = [line.split()[2:4] for line in result.lines if " fault " in line]
        assert faults == [first.split()[:2], second.split()[:2]]
        digests.append(result.digest)
    assert digests[0] != digests[1]


def test_a_seed_does_the_same_in_every_process_with_every_hash_seed_and_number_of_workers() -> None:
    code = (
        "from cometusher.simulation.seed_search import run_seed; "
        "print(*(run_seed('any', seed).digest for seed in (3, 11, 19)))"
    )
    outputs = seed_search.in_fresh_processes(code, ROOT, (0, 1, 4242))
    assert len(outputs) == 1
    apart = {found.seed: found.digest for found in seed_search.search(range(20), jobs=3)}
    alone = {found.seed: found.digest for found in seed_search.search(range(19, -1, -1), jobs=1)}
    assert apart == alone and len(set(alone.values())) == 20
    assert outputs == {f"{alone[3]} {alone[11]} {alone[19]}"}


def test_real_time_and_real_sockets_do_not_leak_in(monkeypatch: pytest.MonkeyPatch) -> None:
    plan = script.draw_plan(7, "fleet")
    want = run_plan(plan).digest

    def poison(*_: object, **__: object) -> float:
        raise AssertionError("a world looked at the real clock or network")

    with monkeypatch.context() as patch:
        for name in ("time", "monotonic", "perf_counter", "sleep", "time_ns", "monotonic_ns"):
            patch.setattr(time, name, poison)
        patch.setattr(socket, "socket", poison)
        patch.setattr(socket, "create_connection", poison)
        result = run_plan(plan)
    assert result.digest == want and result.violations == []


def test_looking_after_every_step_changes_nothing() -> None:
    plan = script.draw_plan(2, "one")
    assert run_plan(plan, every_step=True).digest == run_plan(plan).digest
