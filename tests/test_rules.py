"""Checks the four rules over random legal event sequences, and that the checker can fail."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from harness import Checker
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from weldroute import decide
from weldroute.model import (
    Discovery,
    Group,
    Limits,
    ListKind,
    Outcome,
    Repeat,
    RequestClass,
    Rules,
    ServerRow,
    Settings,
    State,
    Tenant,
)

RULES = Rules(answer_slack=0.02, cold_from=0.14, cold_for=20.0, fall_multiple=3.0, fall_after=1.0)
CLASSES = tuple(
    RequestClass(f"{repeat.value}-{group.value}", aim, 3.0, repeat, group, 1.5, worth, late)
    for repeat, group, aim, worth, late in (
        (Repeat.SAFE, Group.CELL, 1.0, 1.0, 0.3),
        (Repeat.UNSAFE, Group.ALL, 0.5, 5.0, 0.0),
        (Repeat.KEYED, Group.ALL, 1.0, 2.0, 0.0),
        (Repeat.KEYED, Group.ZONE, 1.0, 8.0, 0.5),
        (Repeat.KEYED, Group.CELL, 0.8, 1.0, 0.0),
    )
)
OUTCOMES = [o for o in Outcome if o is not Outcome.CANCELLED]
step = st.tuples(st.integers(0, 9), st.integers(0, 10_000), st.integers(0, 10_000))


def play(checker: Checker, steps: list[tuple[int, int, int]]) -> None:
    for step_kind, first, second in steps:
        if step_kind <= 3:
            checker.request(first % len(CLASSES), 0.05 + (second % 300) / 100.0, first % 2)
        elif step_kind <= 6:
            open_attempts_now = checker.open_attempts()
            if open_attempts_now:
                checker.end(*open_attempts_now[first % len(open_attempts_now)], OUTCOMES[second % len(OUTCOMES)])
        elif step_kind == 7:
            rows = list(checker.rows.values())
            if not rows:
                continue
            row = rows[first % len(rows)]
            state = (State.UP, State.DRAINING, State.GONE)[second % 3]
            started = checker.now - 0.5 if state is State.UP and second % 2 else row.started
            list_kind = (ListKind.PATCH, ListKind.WHOLE, ListKind.BROKEN)[second // 3 % 3]
            changed = ServerRow(row.server, state, row.zone, row.cell, 1.0, started)
            if list_kind is ListKind.WHOLE:
                rest = [r for r in rows if r.server != row.server and r.state is not State.GONE]
                checker.members(list_kind, rest if state is State.GONE else [*rest, changed])
            else:
                checker.members(list_kind, [changed] if list_kind is ListKind.PATCH else [])
        elif step_kind == 8 and checker.pending:
            checker.abort(list(checker.pending)[first % len(checker.pending)])
        else:
            checker.advance((first % 1000) / 1000.0)
    checker.advance(10.0)


@settings(derandomize=True, max_examples=250, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(step, min_size=20, max_size=120),
    seed=st.integers(0, 2**32),
    flags=st.tuples(st.booleans(), st.booleans(), st.booleans()),
    attempts=st.integers(1, 6),
    servers=st.integers(0, 14),
)
def test_rules_hold(
    steps: list[tuple[int, int, int]], seed: int, flags: tuple[bool, bool, bool], attempts: int, servers: int
) -> None:
    second, cancel, asks = flags
    config = Settings(
        classes=CLASSES,
        tenants=(Tenant("a", 0.6, 5.0), Tenant("b", 0.4, 3.0)),
        zones=2,
        rules=RULES,
        balancers=3,
        me=seed % 3,
        tier=seed % 2,
        tiers=2,
        over_share_worth=0.1,
        discovery=Discovery.ON_REQUEST if asks else Discovery.PUSHED,
        limits=Limits(cancel=cancel, second_copies=second, max_attempts=attempts),
    )
    rows = [ServerRow(1000 + i, State.UP, i % 2, i // 3) for i in range(servers)]
    play(Checker(config, seed, rows), steps)


def send_steady_traffic(checker: Checker, seconds: float, rate: float, rng: Random) -> None:
    """Send requests at a steady rate, and answer each after about a tenth of a second."""
    end = checker.now + seconds
    while checker.now < end:
        checker.request(0, 3.0)
        checker.advance(1.0 / rate)
        for request_id, number in checker.open_attempts():
            if rng.random() < 0.3:
                checker.end(request_id, number, Outcome.OK)


@pytest.mark.parametrize("seed", range(5))
def test_cold_server_gets_at_most_its_fraction_of_a_warm_servers_share(seed: int) -> None:
    config = Settings(classes=CLASSES, rules=RULES)
    rows = [ServerRow(i) for i in range(10)]
    checker = Checker(config, seed, rows)
    rng = Random(seed)
    send_steady_traffic(checker, 5.0, 100.0, rng)
    checker.members(ListKind.PATCH, [ServerRow(3, started=checker.now)])
    begin = checker.now
    checker.sends.clear()
    send_steady_traffic(checker, 4.0, 100.0, rng)
    cold = [t for t in checker.sends.get(3, []) if t >= begin]
    warm = sum(len(v) for k, v in checker.sends.items() if k != 3) / 9
    # After 4 s it can certainly handle 0.14 + 0.86 * 4 / 20 = 0.31 of a warm server's load; 3 times that is overload.
    assert len(cold) <= 0.31 * 2 * warm
    for first, later in pairwise(cold):
        assert later > first, "two calls to a server that has just started, at the same time"


@pytest.mark.parametrize("seed", range(5))
def test_all_servers_cold_at_once(seed: int) -> None:
    rows = [ServerRow(i, started=100.0) for i in range(10)]
    checker = Checker(Settings(classes=CLASSES, rules=RULES), seed, rows)
    send_steady_traffic(checker, 3.0, 200.0, Random(seed))
    sent = sum(len(v) for v in checker.sends.values())
    # Without a warm server to compare with, about the certain fraction of the calls is sent.
    assert 0 < sent <= 600 * (0.14 + 0.86 * 3 / 20) * 2


def test_the_checker_detects_broken_rules(monkeypatch: pytest.MonkeyPatch) -> None:
    """The checker fails for decisions that ignore the repeat rules, and for ones that never answer."""
    steps = [(0, 1, 250), (4, 0, 1), (0, 4, 250), (4, 0, 1), (0, 3, 250), (4, 0, 1)] * 12
    rows = [ServerRow(1000 + i, State.UP, i % 2, i // 3) for i in range(9)]
    config = Settings(classes=CLASSES, zones=2, rules=RULES, limits=Limits(max_attempts=4))
    play(Checker(config, 1, rows), steps)
    with monkeypatch.context() as patch:
        patch.setattr(decide.Balancer, "_allowed_servers", lambda self, now, request: self.ready)
        with pytest.raises(AssertionError, match=r"sent twice|another"):
            play(Checker(config, 1, rows), steps)
    with monkeypatch.context() as patch:
        patch.setattr(decide.Balancer, "_refuse_or_fail", lambda self, *rest: None)
        with pytest.raises(AssertionError, match="final answers"):
            play(Checker(config, 1, rows), steps)
