"""Tests of the takeover of in-flight requests in simulated worlds: one answer and one effect, whatever the timing."""

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

REQUEST_CLASSES = ("view", "submit", "pay")


def world_script(seed: int, covers: int = 1) -> str:
    """Three proxies; some are killed, or paused and killed, while requests of all classes are in flight."""
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
        lines.append(f"request {number + 1} at {when} {rng.choice(REQUEST_CLASSES)} budget 1.2 want 300 again 0")
    at = 0.8
    while at < 4.5:
        lines.append(f"fault at {at:.3f} kill proxy/{rng.randrange(3)} for 0.3")
        if rng.random() < 0.3:
            lines.append(f"fault at {at + 0.05:.3f} pause proxy/{rng.randrange(3)} for 0.1")
        at += rng.uniform(0.4, 1.0)
    return "\n".join(lines) + "\n"


def run_world(seed: int, covers: int = 1) -> Result:
    return run_plan(script.parse_plan(world_script(seed, covers)))


@pytest.mark.parametrize("seed", range(12))
def test_killed_proxies_cause_no_violation(seed: int) -> None:
    result = run_world(seed)
    assert not result.violations, result.violations
    assert result.outcomes.get("served", 0) >= run_world(seed, covers=0).outcomes.get("served", 0)


def test_takeover_avoids_nearly_all_lost_requests() -> None:
    def lost(covers: int) -> int:
        outcomes = [run_world(seed, covers).outcomes for seed in range(6)]
        return sum(
            count for counts in outcomes for outcome, count in counts.items() if outcome in ("lost", "with the dead")
        )

    assert lost(0) >= 10 and lost(1) <= lost(0) // 10


def violations_of(seeds: range) -> list[str]:
    return [f"{violation}" for seed in seeds for violation in run_world(seed).violations]


def test_the_oracles_find_a_successor_that_repeats_what_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted defect: every attempt is assessed as never run."""

    def never_ran(
        attempt: AttemptRecord, counters: ConnectionCounters | None, body_received: bool = True
    ) -> PriorAttempt:
        return PriorAttempt(attempt.server, attempt.sent_at, False, False, attempt.zone, attempt.cell)

    monkeypatch.setattr(takeover, "assess_attempt", never_ran)
    assert [text for text in violations_of(range(6)) if "effect twice" in text]


def test_the_oracles_find_a_successor_that_repeats_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """Planted defect: an answer that was delivered is delivered again."""
    original_act = tracker.RequestTakeover._act

    def act_again(self: tracker.RequestTakeover, proxy: object, caller: object) -> None:
        if self.record.answer is not None:
            self.action = takeover.TakeoverAction.DELIVER
            self.caller_counters = ConnectionCounters(self.record.bytes_written, self.record.bytes_read)
        original_act(self, proxy, caller)  # type: ignore[arg-type]

    monkeypatch.setattr(tracker.RequestTakeover, "_act", act_again)
    assert violations_of(range(12))


@pytest.mark.parametrize("first", range(0, 120, 10))
def test_drawn_worlds_with_takeover_have_no_violation(first: int) -> None:
    plans = [script.draw_plan(seed, "fleet") for seed in range(first, first + 10)]
    violations = [
        (plan.seed, f"{violation}") for plan in plans if plan.covers for violation in run_plan(plan).violations
    ]
    assert not violations


def idle_world(*lines: str) -> Result:
    """Run two proxies with takeover: requests and connections of a killed one move to the other."""
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


def test_a_long_body_is_not_taken_for_the_next_request() -> None:
    """The connection is idle when its proxy is killed; the successor must send nothing unrequested on it."""
    long_requests = [
        f"request {number} at {0.4 + 0.01 * number:.2f} submit budget 1.5 body 300000" for number in range(1, 7)
    ]
    later_requests = [f"request {number} at {3.4 + 0.01 * number:.2f} view budget 1.5" for number in range(7, 20)]
    kills = [f"fault at 2.{number} kill proxy/{number} for 0.05" for number in (0, 1)]
    result = idle_world(*long_requests, *later_requests, *kills)
    assert not result.violations and set(result.outcomes) == {"served"}, (result.violations, result.outcomes)


def test_a_request_that_waited_unread_keeps_only_its_remaining_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Requests reach a paused proxy that is then killed: the successor counts their time from their arrival."""
    given_times: list[float] = []  # seconds that each attempt has left when it is sent
    original = tracker.InflightTracker._on_attempt

    def record_time(self: tracker.InflightTracker, attempt: Any) -> None:
        given_times.append(attempt.owner.deadline - attempt.sent_at)
        original(self, attempt)

    monkeypatch.setattr(tracker.InflightTracker, "_on_attempt", record_time)
    early_requests = [f"request {number} at {0.3 + 0.01 * number:.2f} view budget 1.5" for number in range(1, 25)]
    late_requests = [
        f"request {number} at {2.0 + 0.002 * number:.3f} view budget 0.9 again 0" for number in range(25, 45)
    ]
    result = idle_world(
        *early_requests, *late_requests, "fault at 1.9 pause proxy/0 for 3", "fault at 2.6 kill proxy/0 for 1"
    )
    assert not result.violations, result.violations
    assert min(given_times) < 0.5, "no request had waited for most of its time"
