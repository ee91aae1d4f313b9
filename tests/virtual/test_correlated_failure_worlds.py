"""Tests of correlated failures and lost state in simulated worlds, and of the oracle for stale decisions."""

from __future__ import annotations

import pytest

from cometusher import recovery
from cometusher.simulation import script
from cometusher.simulation.world import run_plan
from weldroute.snapshots import Record

REQUESTS = "\n".join(f"request {i + 1} at {0.2 + 0.04 * i:.2f} view budget 1" for i in range(110))
WORLD = f"""world one seed 3 seconds 5
shape zones 1 tiers 1 proxies 1 backends 3
limits sockets 192 copies 1 cancel 1 shared 0 keeps 1
{REQUESTS}
"""
BANNED_THEN_KILLED = WORLD + "fault at 0.5 ban proxy/0 for 4 by 1\nfault at 2.5 kill proxy/0 for 0.2\n"
BANNED_THEN_STATE_LOST = WORLD + "fault at 0.5 ban proxy/0 for 4 by 1\nfault at 2.5 forget proxy/0 for 0.2\n"
DISCOVERY_DOWN = WORLD + "fault at 2.4 kill discovery/0 for 2\nfault at 2.5 blow proxy/0 for 0.2 by 1\n"


@pytest.mark.parametrize("text", [BANNED_THEN_KILLED, BANNED_THEN_STATE_LOST, DISCOVERY_DOWN])
def test_correlated_failures_lead_to_no_stale_decision(text: str) -> None:
    result = run_plan(script.parse_plan(text))
    assert not result.violations, result.violations


@pytest.mark.parametrize("text", [BANNED_THEN_KILLED, BANNED_THEN_STATE_LOST])
def test_the_oracles_find_a_forgotten_ban(text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def ignore_orders(self: recovery.RecoveryController, record: Record | None) -> None:
        """Planted defect: operators' orders are ignored."""

    monkeypatch.setattr(recovery.RecoveryController, "_restore_orders", ignore_orders)
    assert [violation for violation in run_plan(script.parse_plan(text)).violations if "ban" in f"{violation}"]


def test_stored_lists_serve_requests_while_discovery_is_down() -> None:
    def served(text: str) -> int:
        return run_plan(script.parse_plan(text)).outcomes.get("served", 0)

    assert served(DISCOVERY_DOWN) > served(DISCOVERY_DOWN.replace("keeps 1", "keeps 0"))


def test_a_part_of_the_drawn_worlds_stores_state_and_restarts_proxies() -> None:
    plans = [script.draw_plan(seed) for seed in range(200)]
    with_state = [plan for plan in plans if plan.keeps]
    assert 20 < len(with_state) < 100
    assert {fault.what for plan in with_state for fault in plan.faults} >= set(script.RESTART_FAULTS)
    assert all(script.parse_plan(script.format_plan(plan)) == plan for plan in with_state)
