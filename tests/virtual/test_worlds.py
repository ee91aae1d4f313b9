"""Tests of simulated worlds of real proxies under faults: no seed violates a rule, and runs are reproducible."""

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


def test_the_seed_corpus_has_no_violation() -> None:
    failed = [(result.seed, result.world, result.text[0]) for result in seed_search.search(SEEDS) if result.oracles]
    assert failed == []


@pytest.mark.parametrize("path", SCRIPTS, ids=lambda path: path.stem)
def test_scripts_of_past_failures_have_no_violation(path: Path) -> None:
    result = run_plan(script.parse_plan(path.read_text(), path.name))
    assert result.violations == [] and sum(result.outcomes.values()) > 0


@pytest.mark.parametrize("fault_kind", sorted(script.FAULT_KINDS))
def test_each_fault_is_injected_and_survived(fault_kind: str) -> None:
    """In every kind of world, for every kind of target, with requests throughout."""
    for seed, world in enumerate(script.WORLDS):
        plan = script.draw_plan(seed + 1, world)
        available = script.target_counts(plan)
        targets, draw_amount = script.FAULT_KINDS[fault_kind]
        faults = tuple(
            script.Fault(
                1.0 + i,
                fault_kind,
                f"{target}/{seed % available[target]}",
                0.0 if fault_kind in script.INSTANT_FAULTS else 0.8,
                15.0 if draw_amount else 0.0,
            )
            for i, target in enumerate(targets)
            if target in available
        )
        if fault_kind in ("lag", "coarse", "hasty", "double"):
            faults = tuple(replace(fault, by=0.04) for fault in faults)
        if fault_kind == "narrow":
            faults = tuple(replace(fault, by=1e5) for fault in faults)
        result = run_plan(replace(plan, faults=faults, requests=plan.requests[:120]))
        assert [str(violation) for violation in result.violations] == []
        injected = [line for line in result.lines if f" fault {fault_kind} " in line]
        assert len(injected) == len(faults) and result.outcomes["served"] > 20


def test_a_world_without_faults_serves_every_request() -> None:
    for seed, world in enumerate(script.WORLDS):
        plan = script.draw_plan(seed, world)
        requests = tuple(replace(request, leaves=0.0, slow=0.0, budget=1.5) for request in plan.requests[:60])
        result = run_plan(replace(plan, faults=(), requests=requests))
        assert result.violations == [] and set(result.outcomes) == {"served"} and result.outcomes["served"] >= 60


TWO_FAULTS = """
world zone seed 5 seconds 5
shape zones 2 tiers 1 proxies 1 backends 2
limits sockets 192 copies 1 cancel 1
{requests}
fault at 2 {first}
fault at 2 {second}
"""


@pytest.mark.parametrize(
    ("first_fault", "second_fault"),
    [
        ("kill backend/0 for 0.5", "drain proxy/0 for 0.5"),
        ("leave backend/1 for 1", "reload proxy/0"),
        ("silent backend/0 for 1", "kill backend/0 for 1"),
        ("pause proxy/0 for 0.3", "kill backend/1 for 0.5"),
        ("kill proxy/0 for 0.5", "drain proxy/0 for 0.5"),
        ("reorder discovery/0 for 1", "leave backend/0 for 0.5"),
    ],
)
def test_two_faults_at_one_instant_in_both_orders(first_fault: str, second_fault: str) -> None:
    requests = "\n".join(
        f"request {i} at {0.2 + 0.04 * i:.2f} {script.REQUEST_CLASSES[i % 3]} zone {i % 2} want 200"
        for i in range(1, 100)
    )
    digests = []
    for first, second in ((first_fault, second_fault), (second_fault, first_fault)):
        result = run_plan(script.parse_plan(TWO_FAULTS.format(requests=requests, first=first, second=second)))
        assert [str(violation) for violation in result.violations] == []
        faults = [line.split()[2:4] for line in result.lines if " fault " in line]
        assert faults == [first.split()[:2], second.split()[:2]]
        digests.append(result.digest)
    assert digests[0] != digests[1]


def test_a_seed_gives_the_same_run_in_every_process_with_every_hash_seed_and_number_of_workers() -> None:
    code = (
        "from cometusher.simulation.seed_search import run_seed; "
        "print(*(run_seed('any', seed).digest for seed in (3, 11, 19)))"
    )
    outputs = seed_search.in_fresh_processes(code, ROOT, (0, 1, 4242))
    assert len(outputs) == 1
    parallel = {result.seed: result.digest for result in seed_search.search(range(20), jobs=3)}
    serial = {result.seed: result.digest for result in seed_search.search(range(19, -1, -1), jobs=1)}
    assert parallel == serial and len(set(serial.values())) == 20
    assert outputs == {f"{serial[3]} {serial[11]} {serial[19]}"}


def test_no_real_time_or_socket_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    plan = script.draw_plan(7, "fleet")
    expected = run_plan(plan).digest

    def fail(*_: object, **__: object) -> float:
        raise AssertionError("a world used the real clock or network")

    with monkeypatch.context() as patch:
        for name in ("time", "monotonic", "perf_counter", "sleep", "time_ns", "monotonic_ns"):
            patch.setattr(time, name, fail)
        patch.setattr(socket, "socket", fail)
        patch.setattr(socket, "create_connection", fail)
        result = run_plan(plan)
    assert result.digest == expected and result.violations == []


def test_checking_bounds_after_every_step_changes_nothing() -> None:
    plan = script.draw_plan(2, "one")
    assert run_plan(plan, every_step=True).digest == run_plan(plan).digest
