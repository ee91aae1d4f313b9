"""One instance's return: the tables of `weldroute.recovery` row by row, its paces, and random orders of events."""

from __future__ import annotations

import math
from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute import ServerRow, State
from weldroute.recovery import (
    FULL_SERVICE_AFTER,
    MAX_QUEUED,
    QUEUE_GRACE,
    SETTLE_TIME,
    AdmissionVerdict,
    ConnectionRateLimiter,
    ListDecision,
    Phase,
    Recovery,
    RecoveryPlan,
    StartScheduler,
)

PLAN = RecoveryPlan(
    instances=20, returning=14, calm=1.0, multiple=3.0, list_for=120.0, doubt_for=10.0, retry_after=1.0
)


def make_recovery(now: float = 0.0, **changes: Any) -> Recovery:
    return Recovery(now, RecoveryPlan(**{name: getattr(PLAN, name) for name in RecoveryPlan.__slots__} | changes), 1)


def with_stored_list(seq: int = 41, **changes: Any) -> Recovery:
    c = make_recovery(**changes)
    c.on_stored_list(0.0, 40, 1.0, seq)
    return c


def current_phase(c: Recovery) -> Phase:
    return c.phase


def tick_between(c: Recovery, begin: float, end: float) -> None:
    for i in range(int((end - begin) / 0.05) + 1):
        c.tick(begin + 0.05 * i)


def test_each_row_of_the_phase_table() -> None:
    nothing = make_recovery()
    assert (nothing.phase, nothing.ready) == (Phase.NO_LIST, False)
    kept = with_stored_list()
    assert (kept.phase, kept.ready) == (Phase.STORED, True)
    assert kept.on_list(1.0, True, 40, 42) is ListDecision.ACCEPT
    told = kept.phase
    assert told is Phase.CONFIRMED
    nothing.on_list(1.0, True, 40, 1)
    told = nothing.phase
    assert told is Phase.CONFIRMED
    for c in (kept, nothing, with_stored_list()):
        c.on_answer(1.1)
        assert current_phase(c) is Phase.RAMPING
        tick_between(c, 1.1, 1.1 + FULL_SERVICE_AFTER + 0.1)
        assert current_phase(c) is Phase.FULL
        assert c.milestones.full_service_at == pytest.approx(1.1), "full when the calm began, not when it was seen"


def test_full_service_is_reached_without_requests() -> None:
    c = with_stored_list()
    tick_between(c, 0.0, FULL_SERVICE_AFTER + 0.1)
    assert c.phase is Phase.FULL


@pytest.mark.parametrize("wanted", [Phase.STORED, Phase.RAMPING, Phase.FULL])
def test_stored_list_expires(wanted: Phase) -> None:
    c = with_stored_list(list_for=5.0)
    if wanted is not Phase.STORED:
        c.on_answer(0.1)
    if wanted is Phase.FULL:
        tick_between(c, 0.1, 1.0)
    assert c.phase is wanted
    assert not c.tick(3.9) and c.ready
    assert c.tick(4.0), "written one second before the start"
    assert not c.ready and not c.tick(4.1)
    assert c.on_list(5.0, True, 3, 1) is ListDecision.ACCEPT and c.ready, "then anything is better than nothing"


def test_confirmed_list_does_not_expire() -> None:
    c = with_stored_list(list_for=5.0)
    c.on_list(1.0, False, 0, 41)
    assert not c.tick(1000.0) and c.ready


def test_stored_list_of_unknown_age_has_half_the_lifetime_and_an_old_one_none() -> None:
    c = make_recovery(list_for=10.0)
    c.on_stored_list(0.0, 40, None)
    assert not c.tick(4.9) and c.tick(5.0)
    c = make_recovery(list_for=10.0)
    c.on_stored_list(0.0, 40, 10.0)
    assert c.phase is Phase.NO_LIST


def test_each_row_of_the_list_table() -> None:
    assert make_recovery().on_list(0.0, True, 0, 9) is ListDecision.ACCEPT
    assert not make_recovery().ready
    assert with_stored_list().on_list(1.0, False, 1, 42) is ListDecision.ACCEPT
    assert with_stored_list().on_list(1.0, True, 40, 41) is ListDecision.ACCEPT
    empty, older = with_stored_list(), with_stored_list()
    assert empty.on_list(1.0, True, 0, 50) is ListDecision.WAIT and not empty.discovery_reported
    assert older.on_list(1.0, True, 40, 40) is ListDecision.MERGE and not older.discovery_reported
    for c in (empty, older):
        assert c.on_list(2.0, False, 1, 51) is ListDecision.ACCEPT and not c.discovery_reported, (
            "a change to a list that is doubted"
        )
        assert not c.confirm_distrusted(10.9, 3) and c.confirm_distrusted(11.0, 3) and c.discovery_reported
        assert not c.confirm_distrusted(12.0, 3), "told once"


def test_repeated_reports_do_not_extend_distrust() -> None:
    c = with_stored_list()
    for second in range(1, 10):
        c.on_list(float(second), True, 0, 50)
    assert c.confirm_distrusted(11.0, 0)


def test_a_change_does_not_end_distrust() -> None:
    c = with_stored_list()
    c.on_list(1.0, True, 0, 50)
    assert c.on_list(11.5, False, 1, 51) is ListDecision.ACCEPT and not c.discovery_reported, (
        "later than doubt_for, before the next look"
    )
    assert c.confirm_distrusted(11.6, 1) and c.discovery_reported


def test_a_consistent_list_ends_distrust() -> None:
    c = with_stored_list()
    c.on_list(1.0, True, 0, 50)
    assert c.on_list(2.0, True, 40, 51) is ListDecision.ACCEPT and c.discovery_reported
    assert not c.confirm_distrusted(100.0, 0)


@pytest.mark.parametrize(
    ("mine", "theirs", "kept"),
    [
        (ServerRow(1, started=9.0), ServerRow(1, started=5.0), True),
        (ServerRow(1, started=5.0), ServerRow(1, started=9.0), False),
        (ServerRow(1, State.DRAINING, started=5.0), ServerRow(1, State.UP, started=5.0), True),
        (ServerRow(1, State.DRAINING, started=5.0), ServerRow(1, State.UP, started=9.0), False),
        (ServerRow(1, State.UP, started=5.0), ServerRow(1, State.DRAINING, started=5.0), False),
    ],
)
def test_merge_prefers_the_later_start_and_the_drain(mine: ServerRow, theirs: ServerRow, kept: bool) -> None:
    assert Recovery.prefers_stored(mine, theirs) is kept


def test_contradiction_drops_stored_servers_but_not_reported_ones() -> None:
    c = with_stored_list()
    assert c.on_contradiction(7, "refuses connections")
    c.on_list(1.0, True, 40, 42)
    assert not c.on_contradiction(7, "refuses connections")
    assert c.milestones.servers_dropped == 1


# ---- paces and the door ------------------------------------------------------------------


def test_connection_rates_of_the_fleet_stay_within_the_multiple() -> None:
    for returning in range(1, 21):
        plan = RecoveryPlan(instances=20, returning=returning, calm=1.3, multiple=3.0)
        total = returning * plan.connection_rate(1.3) + (20 - returning) * 1.3
        assert total <= 3.0 * 20 * 1.3 + 1e-9


def test_first_connection_is_immediate_and_others_are_rate_limited() -> None:
    pace = ConnectionRateLimiter(0.0, 2.0)
    assert pace.available(0.0) == 1.0
    pace.spend(0.0, 1)
    assert pace.next_at(0.0) == pytest.approx(0.5)
    assert pace.available(0.4) < 1.0 <= pace.available(0.5) + 1e-9
    pace.spend(1.0, 3)  # repeats and second copies did not ask
    assert pace.next_at(1.0) == pytest.approx(2.5)


def test_queued_requests_are_released_in_order() -> None:
    c = with_stored_list()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.PASS
    c.on_connections_opened(0.0, 1)
    assert c.admit(0.0, "b", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert c.admit(0.0, "c", 3.0, 1.0, 1) is AdmissionVerdict.QUEUE, "nobody overtakes"
    assert c.release_next(0.01, 0) is None
    assert c.release_next(0.01, 1) == "b"
    assert c.release_next(0.01, 0) is None
    assert c.release_next(c.next_wakeup(0.01), 0) == "c"


def test_without_a_list_requests_are_queued_until_their_deadline() -> None:
    c = make_recovery()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert c.release_next(0.1, 5) is None
    assert c.next_wakeup(0.1) == pytest.approx(2.5)
    assert c.pop_overdue(2.49) == [] and c.pop_overdue(2.5) == ["a"]
    assert c.milestones.requests_refused == 1
    assert c.admit(0.0, "b", 0.0, 1.0, 0) is AdmissionVerdict.REFUSE, "no time at all"


def test_queue_is_bounded() -> None:
    c = make_recovery()
    verdicts = [c.admit(0.0, i, 3.0, 1.0, 0) for i in range(MAX_QUEUED + 5)]
    assert verdicts.count(AdmissionVerdict.QUEUE) == MAX_QUEUED == c.queue_length
    assert verdicts[MAX_QUEUED:] == [AdmissionVerdict.REFUSE] * 5


def test_withdrawn_request_does_not_use_up_a_release() -> None:
    c = make_recovery()
    c.admit(0.0, "a", 3.0, 1.0, 0)
    c.admit(0.0, "b", 3.0, 1.0, 0)
    assert c.withdraw("a") and not c.withdraw("a")
    c.on_list(0.1, True, 3, 1)
    assert c.release_next(0.1, 0) == "b"


def test_long_queueing_delays_full_service() -> None:
    c = with_stored_list()
    c.on_answer(0.1)
    c.on_connections_opened(0.1, 2)
    c.admit(0.1, "a", 5.0, 1.0, 0)
    tick_between(c, 0.1, 1.0)
    assert current_phase(c) is Phase.RAMPING
    c.release_next(1.0, 1)
    tick_between(c, 1.0, 1.0 + FULL_SERVICE_AFTER + 0.1)
    assert current_phase(c) is Phase.FULL and c.milestones.full_service_at == pytest.approx(1.0, abs=QUEUE_GRACE)


def test_rate_limit_lasts_until_demand_settles() -> None:
    c = with_stored_list()
    c.on_answer(0.1)
    opened = 0
    for i in range(200):
        now = 0.1 + 0.05 * i
        c.tick(now)
        if i < 60 and c.rate_limiter.available(now) >= 1.0:
            opened += 1
        c.on_connections_opened(now, opened)
        if i < 60:
            assert c.rate_limited
    assert not c.rate_limited
    assert c.milestones.settled_at >= 0.1 + 0.05 * 60 + SETTLE_TIME - 0.3
    assert c.admit(20.0, "a", 23.0, 1.0, 0) is AdmissionVerdict.PASS


def test_normal_rate_is_learned_after_settling_and_bounded() -> None:
    c = with_stored_list()
    tick_between(c, 0.0, 5.0)
    assert not c.rate_limited
    for second in range(60):
        c.on_connections_opened(5.0 + second, 3 * second)
        c.tick(5.0 + second)
    assert 2.5 < c.normal_rate < 3.1
    assert Recovery(0.0, PLAN, 1, normal_rate=1e9).normal_rate == 20.0
    assert Recovery(0.0, PLAN, 1, normal_rate=0.0).normal_rate == 0.5


def test_retry_after_is_spread() -> None:
    c = make_recovery()
    times = [c.retry_after() for _ in range(200)]
    assert min(times) < 0.6 and max(times) > 1.4 and all(0.5 <= t <= 1.5 for t in times)
    assert make_recovery(retry_after=0.0).retry_after() == 0.0


@given(st.integers(0, 2**32))
def test_invariants_hold_for_any_order_of_events(seed: int) -> None:
    """Nobody is let in with nothing known or waits past its time; the pace holds; phases go where they may."""
    rng = Random(seed)
    c = make_recovery(list_for=rng.uniform(0.5, 6.0), doubt_for=rng.uniform(0.2, 3.0))
    now, opened, number = 0.0, 0, 0
    waiting: dict[object, float] = {}
    allowed = 1.0
    for _ in range(300):
        step = rng.choice([0.0, 0.001, 0.05, 0.3])
        now += step
        allowed += c.rate_limiter.rate * step
        before = c.phase
        what = rng.randrange(9)
        free = rng.choice([0, 0, 1, 3])
        if what == 0:
            c.on_stored_list(now, rng.choice([0, 5]), rng.choice([None, 0.1, 4.0]), 41)
        elif what == 1:
            c.on_list(now, rng.random() < 0.7, rng.choice([0, 1, 9]), rng.choice([40, 41, 42]))
        elif what == 2:
            c.confirm_distrusted(now, rng.choice([0, 9]))
        elif what == 3 and c.ready:
            c.on_answer(now)
        elif what == 4:
            c.tick(now)
        elif what in (5, 6):
            number += 1
            verdict = c.admit(now, number, now + rng.uniform(0.0, 3.0), 1.0, free)
            if verdict is AdmissionVerdict.PASS:
                assert c.ready
                if c.rate_limited and not free:
                    opened += 1
                    c.on_connections_opened(now, opened)
            elif verdict is AdmissionVerdict.QUEUE:
                waiting[number] = now + 3.0
        elif what == 7:
            late = c.pop_overdue(now)
            for request in late:
                del waiting[request]
        else:
            turn = c.release_next(now, free)
            if turn is not None:
                assert c.ready
                del waiting[turn]
                if c.rate_limited and not free:
                    opened += 1
                    c.on_connections_opened(now, opened)
        if c.rate_limited:
            assert opened <= allowed + 1e-6
        assert c.queue_length == len(waiting)
        c.pop_overdue(now)
        waiting = {k: v for k, v in waiting.items() if k in c._queue}
        assert all(until >= now for until in waiting.values())
        assert c.next_wakeup(now) > now or c.queue_length
        if before is Phase.FULL and c.phase is not Phase.FULL:
            assert c.phase is Phase.NO_LIST
        if c.discovery_reported:
            assert not c.tick(now + 0.0) or c.phase is Phase.NO_LIST
    assert all(
        math.isnan(mark) or mark <= now
        for mark in (c.milestones.list_known_at, c.milestones.first_answer_at, c.milestones.full_service_at)
    )


def test_rear_tiers_start_first_and_starts_are_spread() -> None:
    waves = StartScheduler(10.0, Random(1))
    names = [(f"i{i}", 0) for i in range(10)] + [(f"a{i}", 2) for i in range(10)]
    due = waves.schedule(100.0, names)
    assert max(due[f"a{i}"] for i in range(10)) < min(due[f"i{i}"] for i in range(10)) + 0.1
    assert min(due.values()) >= 100.0 and 101.8 <= max(due.values()) <= 102.0
    assert len(set(due.values())) > 15


@pytest.mark.parametrize(
    "values",
    [
        {"instances": 0},
        {"returning": 0},
        {"multiple": 0.5},
        {"calm": 0.0},
        {"tries": 0.0},
        {"list_for": math.inf},
    ],
)
def test_invalid_plan_names_the_field(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=next(iter(values))):
        RecoveryPlan(**values).check()
