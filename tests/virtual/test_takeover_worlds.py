"""Work in hand is taken over in the virtual worlds: one answer, no effect twice, whatever the seed does to timing."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from cometusher.inflight import tracker
from cometusher.simulation import script
from cometusher.simulation.world import Result, run_plan
from weldroute import takeover
from weldroute.model import PriorAttempt
from weldroute.request_journal import AttemptRecord
from weldroute.takeover import ConnectionCounters

KINDS = ("view", "submit", "pay")


def world(seed: int, covers: int = 1) -> str:
    """Three proxies; some are killed, or paused and killed, while requests of all classes are in hand."""
    rng = Random(seed)
    lines = [
        f"world one seed {seed} seconds 6",
        "shape zones 1 tiers 1 proxies 3 backends 4",
        f"link latency {rng.choice((0.0005, 0.004))} jitter 1 bandwidth 10000000 cut {rng.choice((0.0, 0.5))} "
        f"lazy {rng.choice((0.0, 0.002))}",
        f"limits sockets 192 copies {rng.randrange(2)} cancel 1 shared 0 keeps 0 covers {covers}",
    ]
    for number in range(150):
        when = f"{0.3 + 0.03 * number:.3f}"
        lines.append(f"request {number + 1} at {when} {rng.choice(KINDS)} budget 1.2 want 300 again 0")
    at = 0.8
    while at < 4.5:
        lines.append(f"fault at {at:.3f} kill proxy/{rng.randrange(3)} for 0.3")
        if rng.random() < 0.3:
            lines.append(f"fault at {at + 0.05:.3f} pause proxy/{rng.randrange(3)} for 0.1")
        at += rng.uniform(0.4, 1.0)
    return "\n".join(lines) + "\n"


def played(seed: int, covers: int = 1) -> Result:
    return run_plan(script.parse_plan(world(seed, covers)))


@pytest.mark.parametrize("seed", range(12))
def test_killed_proxies_lose_nothing_and_nothing_takes_effect_twice(seed: int) -> None:
    result = played(seed)
    assert not result.violations, result.violations
    assert result.outcomes.get("served", 0) >= played(seed, covers=0).outcomes.get("served", 0)


def test_without_it_requests_are_lost_and_with_it_hardly_any() -> None:
    def lost(covers: int) -> int:
        ended = [played(seed, covers).outcomes for seed in range(6)]
        return sum(count for each in ended for how, count in each.items() if how in ("lost", "with the dead"))

    assert lost(0) >= 10 and lost(1) <= lost(0) // 10


def found(seeds: range) -> list[str]:
    return [f"{violation}" for seed in seeds for violation in played(seed).violations]


def test_an_heir_that_believes_notes_alone_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: whatever was sent is taken for what has never run."""

    def never(one: AttemptRecord, seen: ConnectionCounters | None, body_received: bool = True) -> PriorAttempt:
        return PriorAttempt(one.server, one.sent_at, False, False, one.zone, one.cell)

    monkeypatch.setattr(takeover, "assess_attempt", never)
    assert [text for text in found(range(6)) if "effect twice" in text]


def test_an_heir_that_reads_a_connection_before_it_knows_its_work_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted: an answer that is out is given again."""
    act = tracker.RequestTakeover._act

    def again(self: tracker.RequestTakeover, proxy: object, caller: object) -> None:
        if self.record.answer is not None:
            self.action = takeover.TakeoverAction.DELIVER
            self.caller_counters = ConnectionCounters(self.record.bytes_written, self.record.bytes_read)
        act(self, proxy, caller)  # type: ignore[arg-type]

    monkeypatch.setattr(tracker.RequestTakeover, "_act", again)
    assert found(range(12))


@pytest.mark.parametrize("first", range(0, 120, 10))
def test_drawn_worlds_in_which_proxies_are_killed_break_no_rule(first: int) -> None:
    plans = [script.draw_plan(seed, "fleet") for seed in range(first, first + 10)]
    broken = [(plan.seed, f"{one}") for plan in plans if plan.covers for one in run_plan(plan).violations]
    assert not broken


def idle_world(*lines: str) -> Result:
    """Two proxies on one address each; what goes to the first that is killed goes on at the other."""
    return run_plan(
        script.parse_plan(
            "\n".join(
                [
                    "world one seed 3 seconds 6",
                    "shape zones 1 tiers 1 proxies 2 backends 3",
                    "link latency 0.002 jitter 0 bandwidth 10000000 cut 0 lazy 0",
                    "limits sockets 192 copies 0 cancel 1 shared 0 keeps 0 covers 1",
                    *lines,
                ]
            )
            + "\n"
        )
    )


def test_a_long_body_is_not_taken_for_what_came_behind_it() -> None:
    """Its connection is between two requests when its proxy dies; the heir says nothing that was not asked for."""
    asks = [f"request {n} at {0.4 + 0.01 * n:.2f} submit budget 1.5 body 300000" for n in range(1, 7)]
    later = [f"request {n} at {3.4 + 0.01 * n:.2f} view budget 1.5" for n in range(7, 20)]
    kills = [f"fault at 2.{n} kill proxy/{n} for 0.05" for n in (0, 1)]
    result = idle_world(*asks, *later, *kills)
    assert not result.violations and set(result.outcomes) == {"served"}, (result.violations, result.outcomes)


def test_what_waited_unread_at_a_stalled_proxy_has_only_the_rest_of_its_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Sent to a proxy that stands still and is killed then: its heir counts its time from when it came."""
    given: list[float] = []  # seconds that what is sent on is given
    head = tracker.InflightTracker._on_attempt

    def sends(self: tracker.InflightTracker, attempt: Any) -> None:
        given.append(attempt.owner.deadline - attempt.sent_at)
        head(self, attempt)

    monkeypatch.setattr(tracker.InflightTracker, "_on_attempt", sends)
    warm = [f"request {n} at {0.3 + 0.01 * n:.2f} view budget 1.5" for n in range(1, 25)]
    late = [f"request {n} at {2.0 + 0.002 * n:.3f} view budget 0.9 again 0" for n in range(25, 45)]
    result = idle_world(*warm, *late, "fault at 1.9 pause proxy/0 for 3", "fault at 2.6 kill proxy/0 for 1")
    assert not result.violations, result.violations
    assert min(given) < 0.5, "some had waited for most of their time"
