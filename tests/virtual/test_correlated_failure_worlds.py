"""Blows and lost state in virtual worlds, and an oracle that knows a stale decision when it sees one."""

from __future__ import annotations

import pytest

from cometusher import recovery
from cometusher.simulation import script
from cometusher.simulation.world import run_plan
from weldroute.snapshots import Record

REQUESTS = "\n".join(f"request {i + 1} at {0.2 + 0.04 * i:.2f} view budget 1" for i in range(110))
HEAD = f"""world one seed 5 seconds 5
shape zones 1 tiers 1 proxies 1 backends 3
limits sockets 192 copies 1 cancel 1 shared 0 keeps 1
{REQUESTS}
"""
BANNED = HEAD + "fault at 0.5 ban proxy/0 for 4 by 1\nfault at 2.5 kill proxy/0 for 0.2\n"
FORGOTTEN = HEAD + "fault at 0.5 ban proxy/0 for 4 by 1\nfault at 2.5 forget proxy/0 for 0.2\n"
AWAY = HEAD + "fault at 2.4 kill discovery/0 for 2\nfault at 2.5 blow proxy/0 for 0.2 by 1\n"


@pytest.mark.parametrize("text", [BANNED, FORGOTTEN, AWAY])
def test_a_blow_leaves_no_stale_decision(text: str) -> None:
    result = run_plan(script.parse_plan(text))
    assert not result.violations, result.violations


@pytest.mark.parametrize("text", [BANNED, FORGOTTEN])
def test_a_ban_that_is_forgotten_is_found(text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    def forget(self: recovery.RecoveryController, record: Record | None) -> None:
        """Planted: orders are left aside."""

    monkeypatch.setattr(recovery.RecoveryController, "_restore_orders", forget)
    assert [v for v in run_plan(script.parse_plan(text)).violations if "ban" in f"{v}"]


def test_requests_are_served_without_discovery_only_by_those_who_keep_a_list() -> None:
    def served(text: str) -> int:
        return run_plan(script.parse_plan(text)).outcomes.get("served", 0)

    assert served(AWAY) > served(AWAY.replace("keeps 1", "keeps 0"))


def test_a_part_of_the_drawn_worlds_keeps_state_and_has_blows() -> None:
    plans = [script.draw_plan(seed) for seed in range(200)]
    kept = [plan for plan in plans if plan.keeps]
    assert 20 < len(kept) < 100
    assert {fault.what for plan in kept for fault in plan.faults} >= set(script.RESTART_FAULTS)
    assert all(script.parse_plan(script.format_plan(plan)) == plan for plan in kept)
