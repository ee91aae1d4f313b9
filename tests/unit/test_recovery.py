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


def made(now: float = 0.0, **changes: Any) -> Recovery:
    return Recovery(now, RecoveryPlan(**{name: getattr(PLAN, name) for name in RecoveryPlan.__slots__} | changes), 1)


def remembered(seq: int = 41, **changes: Any) -> Recovery:
    c = made(**changes)
    c.on_stored_list(0.0, 40, 1.0, seq)
    return c


def phase(c: Recovery) -> Phase:
    return c.phase


def ticked(c: Recovery, begin: float, end: float) -> None:
    for i in range(int((end - begin) / 0.05) + 1):
        c.tick(begin + 0.05 * i)


def test_the_table_of_phases() -> None:
    nothing = made()
    assert (nothing.phase, nothing.ready) == (Phase.NO_LIST, False)
    kept = remembered()
    assert (kept.phase, kept.ready) == (Phase.STORED, True)
    assert kept.on_list(1.0, True, 40, 42) is ListDecision.ACCEPT
    told = kept.phase
    assert told is Phase.CONFIRMED
    nothing.on_list(1.0, True, 40, 1)
    told = nothing.phase
    assert told is Phase.CONFIRMED
    for c in (kept, nothing, remembered()):
        c.on_answer(1.1)
        assert phase(c) is Phase.RAMPING
        ticked(c, 1.1, 1.1 + FULL_SERVICE_AFTER + 0.1)
        assert phase(c) is Phase.FULL
        assert c.milestones.full_service_at == pytest.approx(1.1), "full when the calm began, not when it was seen"


def test_full_also_where_nobody_asks() -> None:
    c = remembered()
    ticked(c, 0.0, FULL_SERVICE_AFTER + 0.1)
    assert c.phase is Phase.FULL


@pytest.mark.parametrize("wanted", [Phase.STORED, Phase.RAMPING, Phase.FULL])
def test_a_remembered_list_serves_for_its_time_and_no_longer(wanted: Phase) -> None:
    c = remembered(list_for=5.0)
    if wanted is not Phase.STORED:
        c.on_answer(0.1)
    if wanted is Phase.FULL:
        ticked(c, 0.1, 1.0)
    assert c.phase is wanted
    assert not c.tick(3.9) and c.ready
    assert c.tick(4.0), "written one second before the start"
    assert not c.ready and not c.tick(4.1)
    assert c.on_list(5.0, True, 3, 1) is ListDecision.ACCEPT and c.ready, "then anything is better than nothing"


def test_a_list_that_discovery_told_has_no_end() -> None:
    c = remembered(list_for=5.0)
    c.on_list(1.0, False, 0, 41)
    assert not c.tick(1000.0) and c.ready


def test_a_list_of_unknown_age_gets_half_of_the_time_and_an_old_one_none() -> None:
    c = made(list_for=10.0)
    c.on_stored_list(0.0, 40, None)
    assert not c.tick(4.9) and c.tick(5.0)
    c = made(list_for=10.0)
    c.on_stored_list(0.0, 40, 10.0)
    assert c.phase is Phase.NO_LIST


def test_the_table_of_what_discovery_tells() -> None:
    assert made().on_list(0.0, True, 0, 9) is ListDecision.ACCEPT
    assert not made().ready
    assert remembered().on_list(1.0, False, 1, 42) is ListDecision.ACCEPT
    assert remembered().on_list(1.0, True, 40, 41) is ListDecision.ACCEPT
    empty, older = remembered(), remembered()
    assert empty.on_list(1.0, True, 0, 50) is ListDecision.WAIT and not empty.discovery_reported
    assert older.on_list(1.0, True, 40, 40) is ListDecision.MERGE and not older.discovery_reported
    for c in (empty, older):
        assert c.on_list(2.0, False, 1, 51) is ListDecision.ACCEPT and not c.discovery_reported, (
            "a change to a list that is doubted"
        )
        assert not c.confirm_distrusted(10.9, 3) and c.confirm_distrusted(11.0, 3) and c.discovery_reported
        assert not c.confirm_distrusted(12.0, 3), "told once"


def test_doubt_is_not_put_off_by_being_told_again() -> None:
    c = remembered()
    for second in range(1, 10):
        c.on_list(float(second), True, 0, 50)
    assert c.confirm_distrusted(11.0, 0)


def test_doubt_lasts_until_it_is_ended_and_not_until_a_change_happens_to_come() -> None:
    c = remembered()
    c.on_list(1.0, True, 0, 50)
    assert c.on_list(11.5, False, 1, 51) is ListDecision.ACCEPT and not c.discovery_reported, (
        "later than doubt_for, before the next look"
    )
    assert c.confirm_distrusted(11.6, 1) and c.discovery_reported


def test_a_good_list_ends_the_doubt() -> None:
    c = remembered()
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
def test_of_two_rows_the_later_start_and_the_drain_count(mine: ServerRow, theirs: ServerRow, kept: bool) -> None:
    assert Recovery.prefers_stored(mine, theirs) is kept


def test_a_contradiction_drops_what_is_remembered_and_not_what_was_told() -> None:
    c = remembered()
    assert c.on_contradiction(7, "refuses connections")
    c.on_list(1.0, True, 40, 42)
    assert not c.on_contradiction(7, "refuses connections")
    assert c.milestones.servers_dropped == 1


# ---- paces and the door ------------------------------------------------------------------


def test_the_shares_of_those_that_return_and_of_those_that_stayed_keep_to_the_multiple() -> None:
    for returning in range(1, 21):
        plan = RecoveryPlan(instances=20, returning=returning, calm=1.3, multiple=3.0)
        total = returning * plan.connection_rate(1.3) + (20 - returning) * 1.3
        assert total <= 3.0 * 20 * 1.3 + 1e-9


def test_one_connection_at_once_and_further_ones_at_the_pace() -> None:
    pace = ConnectionRateLimiter(0.0, 2.0)
    assert pace.available(0.0) == 1.0
    pace.spend(0.0, 1)
    assert pace.next_at(0.0) == pytest.approx(0.5)
    assert pace.available(0.4) < 1.0 <= pace.available(0.5) + 1e-9
    pace.spend(1.0, 3)  # repeats and second copies did not ask
    assert pace.next_at(1.0) == pytest.approx(2.5)


def test_requests_wait_for_a_connection_in_their_order_and_go_on_with_one() -> None:
    c = remembered()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.PASS
    c.on_connections_opened(0.0, 1)
    assert c.admit(0.0, "b", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert c.admit(0.0, "c", 3.0, 1.0, 1) is AdmissionVerdict.QUEUE, "nobody overtakes"
    assert c.release_next(0.01, 0) is None
    assert c.release_next(0.01, 1) == "b"
    assert c.release_next(0.01, 0) is None
    assert c.release_next(c.next_wakeup(0.01), 0) == "c"


def test_with_nothing_known_requests_wait_as_long_as_their_time_allows_and_no_longer() -> None:
    c = made()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is AdmissionVerdict.QUEUE
    assert c.release_next(0.1, 5) is None
    assert c.next_wakeup(0.1) == pytest.approx(2.5)
    assert c.pop_overdue(2.49) == [] and c.pop_overdue(2.5) == ["a"]
    assert c.milestones.requests_refused == 1
    assert c.admit(0.0, "b", 0.0, 1.0, 0) is AdmissionVerdict.REFUSE, "no time at all"


def test_what_waits_is_bounded() -> None:
    c = made()
    verdicts = [c.admit(0.0, i, 3.0, 1.0, 0) for i in range(MAX_QUEUED + 5)]
    assert verdicts.count(AdmissionVerdict.QUEUE) == MAX_QUEUED == c.queue_length
    assert verdicts[MAX_QUEUED:] == [AdmissionVerdict.REFUSE] * 5


def test_who_leaves_takes_nobodys_turn() -> None:
    c = made()
    c.admit(0.0, "a", 3.0, 1.0, 0)
    c.admit(0.0, "b", 3.0, 1.0, 0)
    assert c.withdraw("a") and not c.withdraw("a")
    c.on_list(0.1, True, 3, 1)
    assert c.release_next(0.1, 0) == "b"


def test_waiting_for_long_puts_full_service_off() -> None:
    c = remembered()
    c.on_answer(0.1)
    c.on_connections_opened(0.1, 2)
    c.admit(0.1, "a", 5.0, 1.0, 0)
    ticked(c, 0.1, 1.0)
    assert phase(c) is Phase.RAMPING
    c.release_next(1.0, 1)
    ticked(c, 1.0, 1.0 + FULL_SERVICE_AFTER + 0.1)
    assert phase(c) is Phase.FULL and c.milestones.full_service_at == pytest.approx(1.0, abs=QUEUE_GRACE)


def test_the_pace_lasts_until_nobody_asks_for_more() -> None:
    c = remembered()
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


def test_calm_is_learned_once_it_is_calm_and_within_bounds() -> None:
    c = remembered()
    ticked(c, 0.0, 5.0)
    assert not c.rate_limited
    for second in range(60):
        c.on_connections_opened(5.0 + second, 3 * second)
        c.tick(5.0 + second)
    assert 2.5 < c.normal_rate < 3.1
    assert Recovery(0.0, PLAN, 1, normal_rate=1e9).normal_rate == 20.0
    assert Recovery(0.0, PLAN, 1, normal_rate=0.0).normal_rate == 0.5


def test_refusals_are_sent_back_spread_in_time() -> None:
    c = made()
    times = [c.retry_after() for _ in range(200)]
    assert min(times) < 0.6 and max(times) > 1.4 and all(0.5 <= t <= 1.5 for t in times)
    assert made(retry_after=0.0).retry_after() == 0.0


@given(st.integers(0, 2**32))
def test_any_order_of_events_keeps_the_promises(seed: int) -> None:
    """Nobody is let in with nothing known or waits past its time; the pace holds; phases go where they may."""
    rng = Random(seed)
    c = made(list_for=rng.uniform(0.5, 6.0), doubt_for=rng.uniform(0.2, 3.0))
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


def test_tiers_behind_start_first_and_starts_are_spread() -> None:
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
def test_plans_that_make_no_sense(values: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match=next(iter(values))):
        RecoveryPlan(**values).check()
