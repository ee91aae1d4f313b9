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
    CALM,
    GRACE,
    MOST_HELD,
    SETTLE,
    Comeback,
    Hearing,
    Pace,
    Phase,
    Plan,
    Verdict,
    Waves,
)

PLAN = Plan(instances=20, returning=14, calm=1.0, multiple=3.0, list_for=120.0, doubt_for=10.0, retry_after=1.0)


def made(now: float = 0.0, **changes: Any) -> Comeback:
    return Comeback(now, Plan(**{name: getattr(PLAN, name) for name in Plan.__slots__} | changes), 1)


def remembered(seq: int = 41, **changes: Any) -> Comeback:
    c = made(**changes)
    c.found(0.0, 40, 1.0, seq)
    return c


def phase(c: Comeback) -> Phase:
    return c.phase


def ticked(c: Comeback, begin: float, end: float) -> None:
    for i in range(int((end - begin) / 0.05) + 1):
        c.tick(begin + 0.05 * i)


def test_the_table_of_phases() -> None:
    nothing = made()
    assert (nothing.phase, nothing.ready) == (Phase.NOTHING, False)
    kept = remembered()
    assert (kept.phase, kept.ready) == (Phase.REMEMBERED, True)
    assert kept.hears(1.0, True, 40, 42) is Hearing.TAKE
    told = kept.phase
    assert told is Phase.CONFIRMED
    nothing.hears(1.0, True, 40, 1)
    told = nothing.phase
    assert told is Phase.CONFIRMED
    for c in (kept, nothing, remembered()):
        c.served(1.1)
        assert phase(c) is Phase.RAMPING
        ticked(c, 1.1, 1.1 + CALM + 0.1)
        assert phase(c) is Phase.FULL
        assert c.marks.full == pytest.approx(1.1), "full when the calm began, not when it was seen"


def test_full_also_where_nobody_asks() -> None:
    c = remembered()
    ticked(c, 0.0, CALM + 0.1)
    assert c.phase is Phase.FULL


@pytest.mark.parametrize("wanted", [Phase.REMEMBERED, Phase.RAMPING, Phase.FULL])
def test_a_remembered_list_serves_for_its_time_and_no_longer(wanted: Phase) -> None:
    c = remembered(list_for=5.0)
    if wanted is not Phase.REMEMBERED:
        c.served(0.1)
    if wanted is Phase.FULL:
        ticked(c, 0.1, 1.0)
    assert c.phase is wanted
    assert not c.tick(3.9) and c.ready
    assert c.tick(4.0), "written one second before the start"
    assert not c.ready and not c.tick(4.1)
    assert c.hears(5.0, True, 3, 1) is Hearing.TAKE and c.ready, "then anything is better than nothing"


def test_a_list_that_discovery_told_has_no_end() -> None:
    c = remembered(list_for=5.0)
    c.hears(1.0, False, 0, 41)
    assert not c.tick(1000.0) and c.ready


def test_a_list_of_unknown_age_gets_half_of_the_time_and_an_old_one_none() -> None:
    c = made(list_for=10.0)
    c.found(0.0, 40, None)
    assert not c.tick(4.9) and c.tick(5.0)
    c = made(list_for=10.0)
    c.found(0.0, 40, 10.0)
    assert c.phase is Phase.NOTHING


def test_the_table_of_what_discovery_tells() -> None:
    assert made().hears(0.0, True, 0, 9) is Hearing.TAKE
    assert not made().ready
    assert remembered().hears(1.0, False, 1, 42) is Hearing.TAKE
    assert remembered().hears(1.0, True, 40, 41) is Hearing.TAKE
    empty, older = remembered(), remembered()
    assert empty.hears(1.0, True, 0, 50) is Hearing.WAIT and not empty.told
    assert older.hears(1.0, True, 40, 40) is Hearing.MERGE and not older.told
    for c in (empty, older):
        assert c.hears(2.0, False, 1, 51) is Hearing.TAKE and not c.told, "a change to a list that is doubted"
        assert not c.believes(10.9, 3) and c.believes(11.0, 3) and c.told
        assert not c.believes(12.0, 3), "told once"


def test_doubt_is_not_put_off_by_being_told_again() -> None:
    c = remembered()
    for second in range(1, 10):
        c.hears(float(second), True, 0, 50)
    assert c.believes(11.0, 0)


def test_doubt_lasts_until_it_is_ended_and_not_until_a_change_happens_to_come() -> None:
    c = remembered()
    c.hears(1.0, True, 0, 50)
    assert c.hears(11.5, False, 1, 51) is Hearing.TAKE and not c.told, "later than doubt_for, before the next look"
    assert c.believes(11.6, 1) and c.told


def test_a_good_list_ends_the_doubt() -> None:
    c = remembered()
    c.hears(1.0, True, 0, 50)
    assert c.hears(2.0, True, 40, 51) is Hearing.TAKE and c.told
    assert not c.believes(100.0, 0)


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
    assert Comeback.outlives(mine, theirs) is kept


def test_a_contradiction_drops_what_is_remembered_and_not_what_was_told() -> None:
    c = remembered()
    assert c.doubts(7, "refuses connections")
    c.hears(1.0, True, 40, 42)
    assert not c.doubts(7, "refuses connections")
    assert c.marks.dropped == 1


# ---- paces and the door ------------------------------------------------------------------


def test_the_shares_of_those_that_return_and_of_those_that_stayed_keep_to_the_multiple() -> None:
    for returning in range(1, 21):
        plan = Plan(instances=20, returning=returning, calm=1.3, multiple=3.0)
        total = returning * plan.share(1.3) + (20 - returning) * 1.3
        assert total <= 3.0 * 20 * 1.3 + 1e-9


def test_one_connection_at_once_and_further_ones_at_the_pace() -> None:
    pace = Pace(0.0, 2.0)
    assert pace.look(0.0) == 1.0
    pace.spend(0.0, 1)
    assert pace.due(0.0) == pytest.approx(0.5)
    assert pace.look(0.4) < 1.0 <= pace.look(0.5) + 1e-9
    pace.spend(1.0, 3)  # repeats and second copies did not ask
    assert pace.due(1.0) == pytest.approx(2.5)


def test_requests_wait_for_a_connection_in_their_order_and_go_on_with_one() -> None:
    c = remembered()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is Verdict.PASS
    c.opened(0.0, 1)
    assert c.admit(0.0, "b", 3.0, 1.0, 0) is Verdict.HOLD
    assert c.admit(0.0, "c", 3.0, 1.0, 1) is Verdict.HOLD, "nobody overtakes"
    assert c.release(0.01, 0) is None
    assert c.release(0.01, 1) == "b"
    assert c.release(0.01, 0) is None
    assert c.release(c.due(0.01), 0) == "c"


def test_with_nothing_known_requests_wait_as_long_as_their_time_allows_and_no_longer() -> None:
    c = made()
    assert c.admit(0.0, "a", 3.0, 1.0, 0) is Verdict.HOLD
    assert c.release(0.1, 5) is None
    assert c.due(0.1) == pytest.approx(2.5)
    assert c.overdue(2.49) == [] and c.overdue(2.5) == ["a"]
    assert c.marks.refused == 1
    assert c.admit(0.0, "b", 0.0, 1.0, 0) is Verdict.REFUSE, "no time at all"


def test_what_waits_is_bounded() -> None:
    c = made()
    verdicts = [c.admit(0.0, i, 3.0, 1.0, 0) for i in range(MOST_HELD + 5)]
    assert verdicts.count(Verdict.HOLD) == MOST_HELD == c.held
    assert verdicts[MOST_HELD:] == [Verdict.REFUSE] * 5


def test_who_leaves_takes_nobodys_turn() -> None:
    c = made()
    c.admit(0.0, "a", 3.0, 1.0, 0)
    c.admit(0.0, "b", 3.0, 1.0, 0)
    assert c.leave("a") and not c.leave("a")
    c.hears(0.1, True, 3, 1)
    assert c.release(0.1, 0) == "b"


def test_waiting_for_long_puts_full_service_off() -> None:
    c = remembered()
    c.served(0.1)
    c.opened(0.1, 2)
    c.admit(0.1, "a", 5.0, 1.0, 0)
    ticked(c, 0.1, 1.0)
    assert phase(c) is Phase.RAMPING
    c.release(1.0, 1)
    ticked(c, 1.0, 1.0 + CALM + 0.1)
    assert phase(c) is Phase.FULL and c.marks.full == pytest.approx(1.0, abs=GRACE)


def test_the_pace_lasts_until_nobody_asks_for_more() -> None:
    c = remembered()
    c.served(0.1)
    opened = 0
    for i in range(200):
        now = 0.1 + 0.05 * i
        c.tick(now)
        if i < 60 and c.pace.look(now) >= 1.0:
            opened += 1
        c.opened(now, opened)
        if i < 60:
            assert c.paced
    assert not c.paced
    assert c.marks.settled >= 0.1 + 0.05 * 60 + SETTLE - 0.3
    assert c.admit(20.0, "a", 23.0, 1.0, 0) is Verdict.PASS


def test_calm_is_learned_once_it_is_calm_and_within_bounds() -> None:
    c = remembered()
    ticked(c, 0.0, 5.0)
    assert not c.paced
    for second in range(60):
        c.opened(5.0 + second, 3 * second)
        c.tick(5.0 + second)
    assert 2.5 < c.calm < 3.1
    assert Comeback(0.0, PLAN, 1, calm=1e9).calm == 20.0
    assert Comeback(0.0, PLAN, 1, calm=0.0).calm == 0.5


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
        allowed += c.pace.rate * step
        before = c.phase
        what = rng.randrange(9)
        free = rng.choice([0, 0, 1, 3])
        if what == 0:
            c.found(now, rng.choice([0, 5]), rng.choice([None, 0.1, 4.0]), 41)
        elif what == 1:
            c.hears(now, rng.random() < 0.7, rng.choice([0, 1, 9]), rng.choice([40, 41, 42]))
        elif what == 2:
            c.believes(now, rng.choice([0, 9]))
        elif what == 3 and c.ready:
            c.served(now)
        elif what == 4:
            c.tick(now)
        elif what in (5, 6):
            number += 1
            verdict = c.admit(now, number, now + rng.uniform(0.0, 3.0), 1.0, free)
            if verdict is Verdict.PASS:
                assert c.ready
                if c.paced and not free:
                    opened += 1
                    c.opened(now, opened)
            elif verdict is Verdict.HOLD:
                waiting[number] = now + 3.0
        elif what == 7:
            late = c.overdue(now)
            for request in late:
                del waiting[request]
        else:
            turn = c.release(now, free)
            if turn is not None:
                assert c.ready
                del waiting[turn]
                if c.paced and not free:
                    opened += 1
                    c.opened(now, opened)
        if c.paced:
            assert opened <= allowed + 1e-6
        assert c.held == len(waiting)
        c.overdue(now)
        waiting = {k: v for k, v in waiting.items() if k in c._held}
        assert all(until >= now for until in waiting.values())
        assert c.due(now) > now or c.held
        if before is Phase.FULL and c.phase is not Phase.FULL:
            assert c.phase is Phase.NOTHING
        if c.told:
            assert not c.tick(now + 0.0) or c.phase is Phase.NOTHING
    assert all(math.isnan(mark) or mark <= now for mark in (c.marks.known, c.marks.first, c.marks.full))


def test_tiers_behind_start_first_and_starts_are_spread() -> None:
    waves = Waves(10.0, Random(1))
    names = [(f"i{i}", 0) for i in range(10)] + [(f"a{i}", 2) for i in range(10)]
    due = waves.spread(100.0, names)
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
        Plan(**values).check()
