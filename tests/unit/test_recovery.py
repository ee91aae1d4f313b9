"""Recovery of one instance: the tables of `weldroute.recovery`, its rate limits, and random orders of events."""

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
    recovery = make_recovery(**changes)
    recovery.on_stored_list(0.0, 40, 1.0, seq)
    return recovery


def current_phase(recovery: Recovery) -> Phase:
    return recovery.phase


def tick_between(recovery: Recovery, begin: float, end: float) -> None:
    for i in range(int((end - begin) / 0.05) + 1):
        recovery.tick(begin + 0.05 * i)


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
    for recovery in (kept, nothing, with_stored_list()):
        recovery.on_answer(1.1)
        assert current_phase(recovery) is Phase.RAMPING
        tick_between(recovery, 1.1, 1.1 + FULL_SERVICE_AFTER + 0.1)
        assert current_phase(recovery) is Phase.FULL
        assert recovery.milestones.full_service_at == pytest.approx(1.1), (
            "full service counts from when delays ended, not from when that was noticed"
        )


def test_full_service_is_reached_without_requests() -> None:
    recovery = with_stored_list()
    tick_between(recovery, 0.0, FULL_SERVICE_AFTER + 0.1)
    assert recovery.phase is Phase.FULL


@pytest.mark.parametrize("wanted", [Phase.STORED, Phase.RAMPING, Phase.FULL])
def test_stored_list_expires(wanted: Phase) -> None:
    recovery = with_stored_list(list_for=5.0)
    if wanted is not Phase.STORED:
        recovery.on_answer(0.1)
    if wanted is Phase.FULL:
        tick_between(recovery, 0.1, 1.0)
    assert recovery.phase is wanted
    assert not recovery.tick(3.9) and recovery.ready
    assert recovery.tick(4.0), "written one second before the start"
    assert not recovery.ready and not recovery.tick(4.1)
    assert recovery.on_list(5.0, True, 3, 1) is ListDecision.ACCEPT and recovery.ready, (
        "any list is accepted when there is none"
    )


def test_confirmed_list_does_not_expire() -> None:
    recovery = with_stored_list(list_for=5.0)
    recovery.on_list(1.0, False, 0, 41)
    assert not recovery.tick(1000.0) and recovery.ready


def test_stored_list_of_unknown_age_has_half_the_lifetime_and_an_old_one_none() -> None:
    recovery = make_recovery(list_for=10.0)
    recovery.on_stored_list(0.0, 40, None)
    assert not recovery.tick(4.9) and recovery.tick(5.0)
    recovery = make_recovery(list_for=10.0)
    recovery.on_stored_list(0.0, 40, 10.0)
    assert recovery.phase is Phase.NO_LIST


def test_each_row_of_the_list_table() -> None:
    assert make_recovery().on_list(0.0, True, 0, 9) is ListDecision.ACCEPT
    assert not make_recovery().ready
    assert with_stored_list().on_list(1.0, False, 1, 42) is ListDecision.ACCEPT
    assert with_stored_list().on_list(1.0, True, 40, 41) is ListDecision.ACCEPT
    empty, older = with_stored_list(), with_stored_list()
    assert empty.on_list(1.0, True, 0, 50) is ListDecision.WAIT and not empty.discovery_reported
    assert older.on_list(1.0, True, 40, 40) is ListDecision.MERGE and not older.discovery_reported
    for recovery in (empty, older):
        assert recovery.on_list(2.0, False, 1, 51) is ListDecision.ACCEPT and not recovery.discovery_reported, (
            "a change to a distrusted list"
        )
        assert (
            not recovery.confirm_distrusted(10.9, 3)
            and recovery.confirm_distrusted(11.0, 3)
            and recovery.discovery_reported
        )
        assert not recovery.confirm_distrusted(12.0, 3), "true only once"


def test_repeated_reports_do_not_extend_distrust() -> None:
    recovery = with_stored_list()
    for second in range(1, 10):
        recovery.on_list(float(second), True, 0, 50)
    assert recovery.confirm_distrusted(11.0, 0)


def test_a_change_does_not_end_distrust() -> None:
    recovery = with_stored_list()
    recovery.on_list(1.0, True, 0, 50)
    assert recovery.on_list(11.5, False, 1, 51) is ListDecision.ACCEPT and not recovery.discovery_reported, (
        "after doubt_for, before the next tick"
    )
    assert recovery.confirm_distrusted(11.6, 1) and recovery.discovery_reported


def test_a_consistent_list_ends_distrust() -> None:
    recovery = with_stored_list()
    recovery.on_list(1.0, True, 0, 50)
    assert recovery.on_list(2.0, True, 40, 51) is ListDecision.ACCEPT and recovery.discovery_reported
    assert not recovery.confirm_distrusted(100.0, 0)


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
    recovery = with_stored_list()
    assert recovery.on_contradiction(7, "refuses connections")
    recovery.on_list(1.0, True, 40, 42)
    assert not recovery.on_contradiction(7, "refuses connections")
    assert recovery.milestones.servers_dropped == 1


# ---- rate limits and admission ------------------------------------------------------------------


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
    pace.spend(1.0, 3)  # retries and second copies are opened without asking
    assert pace.next_at(1.0) == pytest.approx(2.5)


def test_queued_requests_are_released_in_order() -> None:
    recovery = with_stored_list()
    assert recovery.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.PASS
    recovery.on_connections_opened(0.0, 1)
    assert recovery.admit(0.0, "b", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert recovery.admit(0.0, "c", 3.0, 1.0, 1) is AdmissionVerdict.QUEUE, "no request overtakes another"
    assert recovery.release_next(0.01, 0) is None
    assert recovery.release_next(0.01, 1) == "b"
    assert recovery.release_next(0.01, 0) is None
    assert recovery.release_next(recovery.next_wakeup(0.01), 0) == "c"


def test_without_a_list_requests_are_queued_until_their_deadline() -> None:
    recovery = make_recovery()
    assert recovery.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert recovery.release_next(0.1, 5) is None
    assert recovery.next_wakeup(0.1) == pytest.approx(2.5)
    assert recovery.pop_overdue(2.49) == [] and recovery.pop_overdue(2.5) == ["a"]
    assert recovery.milestones.requests_refused == 1
    assert recovery.admit(0.0, "b", 0.0, 1.0, 0) is AdmissionVerdict.REFUSE, "its deadline has passed already"


def test_queue_is_bounded() -> None:
    recovery = make_recovery()
    verdicts = [recovery.admit(0.0, i, 3.0, 1.0, 0) for i in range(MAX_QUEUED + 5)]
    assert verdicts.count(AdmissionVerdict.QUEUE) == MAX_QUEUED == recovery.queue_length
    assert verdicts[MAX_QUEUED:] == [AdmissionVerdict.REFUSE] * 5


def test_withdrawn_request_does_not_use_up_a_release() -> None:
    recovery = make_recovery()
    recovery.admit(0.0, "a", 3.0, 1.0, 0)
    recovery.admit(0.0, "b", 3.0, 1.0, 0)
    assert recovery.withdraw("a") and not recovery.withdraw("a")
    recovery.on_list(0.1, True, 3, 1)
    assert recovery.release_next(0.1, 0) == "b"


def test_long_queueing_delays_full_service() -> None:
    recovery = with_stored_list()
    recovery.on_answer(0.1)
    recovery.on_connections_opened(0.1, 2)
    recovery.admit(0.1, "a", 5.0, 1.0, 0)
    tick_between(recovery, 0.1, 1.0)
    assert current_phase(recovery) is Phase.RAMPING
    recovery.release_next(1.0, 1)
    tick_between(recovery, 1.0, 1.0 + FULL_SERVICE_AFTER + 0.1)
    assert current_phase(recovery) is Phase.FULL and recovery.milestones.full_service_at == pytest.approx(
        1.0, abs=QUEUE_GRACE
    )


def test_rate_limit_lasts_until_demand_settles() -> None:
    recovery = with_stored_list()
    recovery.on_answer(0.1)
    opened = 0
    for i in range(200):
        now = 0.1 + 0.05 * i
        recovery.tick(now)
        if i < 60 and recovery.rate_limiter.available(now) >= 1.0:
            opened += 1
        recovery.on_connections_opened(now, opened)
        if i < 60:
            assert recovery.rate_limited
    assert not recovery.rate_limited
    assert recovery.milestones.settled_at >= 0.1 + 0.05 * 60 + SETTLE_TIME - 0.3
    assert recovery.admit(20.0, "a", 23.0, 1.0, 0) is AdmissionVerdict.PASS


def test_normal_rate_is_learned_after_settling_and_bounded() -> None:
    recovery = with_stored_list()
    tick_between(recovery, 0.0, 5.0)
    assert not recovery.rate_limited
    for second in range(60):
        recovery.on_connections_opened(5.0 + second, 3 * second)
        recovery.tick(5.0 + second)
    assert 2.5 < recovery.normal_rate < 3.1
    assert Recovery(0.0, PLAN, 1, normal_rate=1e9).normal_rate == 20.0
    assert Recovery(0.0, PLAN, 1, normal_rate=0.0).normal_rate == 0.5


def test_retry_after_is_spread() -> None:
    recovery = make_recovery()
    times = [recovery.retry_after() for _ in range(200)]
    assert min(times) < 0.6 and max(times) > 1.4 and all(0.5 <= t <= 1.5 for t in times)
    assert make_recovery(retry_after=0.0).retry_after() == 0.0


@given(st.integers(0, 2**32))
def test_invariants_hold_for_any_order_of_events(seed: int) -> None:
    """No admission without a list, no waiting past the deadline; rate limits and phase changes hold."""
    rng = Random(seed)
    recovery = make_recovery(list_for=rng.uniform(0.5, 6.0), doubt_for=rng.uniform(0.2, 3.0))
    now, opened, number = 0.0, 0, 0
    waiting: dict[object, float] = {}
    allowed = 1.0
    for _ in range(300):
        step = rng.choice([0.0, 0.001, 0.05, 0.3])
        now += step
        allowed += recovery.rate_limiter.rate * step
        before = recovery.phase
        what = rng.randrange(9)
        free = rng.choice([0, 0, 1, 3])
        if what == 0:
            recovery.on_stored_list(now, rng.choice([0, 5]), rng.choice([None, 0.1, 4.0]), 41)
        elif what == 1:
            recovery.on_list(now, rng.random() < 0.7, rng.choice([0, 1, 9]), rng.choice([40, 41, 42]))
        elif what == 2:
            recovery.confirm_distrusted(now, rng.choice([0, 9]))
        elif what == 3 and recovery.ready:
            recovery.on_answer(now)
        elif what == 4:
            recovery.tick(now)
        elif what in (5, 6):
            number += 1
            verdict = recovery.admit(now, number, now + rng.uniform(0.0, 3.0), 1.0, free)
            if verdict is AdmissionVerdict.PASS:
                assert recovery.ready
                if recovery.rate_limited and not free:
                    opened += 1
                    recovery.on_connections_opened(now, opened)
            elif verdict is AdmissionVerdict.QUEUE:
                waiting[number] = now + 3.0
        elif what == 7:
            late = recovery.pop_overdue(now)
            for request in late:
                del waiting[request]
        else:
            turn = recovery.release_next(now, free)
            if turn is not None:
                assert recovery.ready
                del waiting[turn]
                if recovery.rate_limited and not free:
                    opened += 1
                    recovery.on_connections_opened(now, opened)
        if recovery.rate_limited:
            assert opened <= allowed + 1e-6
        assert recovery.queue_length == len(waiting)
        recovery.pop_overdue(now)
        waiting = {k: v for k, v in waiting.items() if k in recovery._queue}
        assert all(until >= now for until in waiting.values())
        assert recovery.next_wakeup(now) > now or recovery.queue_length
        if before is Phase.FULL and recovery.phase is not Phase.FULL:
            assert recovery.phase is Phase.NO_LIST
        if recovery.discovery_reported:
            assert not recovery.tick(now + 0.0) or recovery.phase is Phase.NO_LIST
    assert all(
        math.isnan(mark) or mark <= now
        for mark in (
            recovery.milestones.list_known_at,
            recovery.milestones.first_answer_at,
            recovery.milestones.full_service_at,
        )
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
