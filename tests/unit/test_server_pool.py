"""Pools of servers that are kept up to date change by change."""

from __future__ import annotations

import sys
from random import Random
from types import FrameType

import pytest

from weldroute import Balancer, ListKind, Repeat, RequestClass, Send, ServerRow, Settings, State
from weldroute.model import Outcome, Prices, Rules
from weldroute.server_pool import ServerPool

VIEW = RequestClass("view", aim=1.0, deadline=4.0, repeat=Repeat.SAFE)


def calls_made(balancer: Balancer, row: ServerRow) -> int:
    """The function calls, in Python and in C, that one change of the list costs."""
    count = 0

    def on_event(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(on_event)
    try:
        balancer.members(1.0, ListKind.PATCH, [row])
    finally:
        sys.setprofile(None)
    return count


def test_a_change_costs_the_same_in_a_long_list() -> None:
    """Guards against a release of a large fleet that takes all the time: no request was answered meanwhile."""
    costs = {}
    for servers in (50, 3200):
        balancer = Balancer(Settings(classes=(VIEW,), zones=2), 1)
        balancer.members(0.0, ListKind.WHOLE, [ServerRow(i, zone=i % 2, cell=i // 10) for i in range(servers)])
        rows = (
            ServerRow(7, State.DRAINING, zone=1),
            ServerRow(7, State.GONE, zone=1),
            ServerRow(100_007, zone=1, started=1.0),
        )
        costs[servers] = sum(calls_made(balancer, row) for row in rows)
    assert costs[3200] <= 2 * costs[50], costs


def pool_state(pool: ServerPool) -> tuple[list[int], float, float]:
    return [server.row.server for server in pool.active], pool.warm_fraction, pool.next_warm_at


@pytest.mark.parametrize("seed", range(6))
def test_pools_after_changes_equal_those_of_the_resulting_list(seed: int) -> None:
    """Any sequence of changes, bans and attempts in flight leaves what the final list alone would give."""
    rng = Random(seed)
    settings = Settings(
        classes=(VIEW,),
        zones=2,
        me=3,
        balancers=7,
        prices=Prices(cross_zone=rng.choice((0.0, 0.1))),
        rules=Rules(cold_for=10.0),
    )
    balancer = Balancer(settings, seed)
    rows: dict[int, ServerRow] = {}
    open_attempts: dict[str, int] = {}
    for step in range(400):
        now = step * 0.05
        number = rng.randrange(40)
        event = rng.random()
        if event < 0.6:
            state = rng.choice((State.UP, State.UP, State.DRAINING, State.GONE))
            row = ServerRow(number, state, rng.randrange(2), rng.randrange(5), started=rng.choice((0.0, now)))
            rows[number] = row
            kind = ListKind.WHOLE if event < 0.05 else ListKind.PATCH
            balancer.members(now, kind, [row] if kind is ListKind.PATCH else list(rows.values()))
        elif event < 0.7:
            (balancer.unban if number in balancer.bans else balancer.ban)(now, number)
        elif event < 0.9:
            for action in balancer.request(now, str(step), 0, 0, now + 4.0):
                if isinstance(action, Send):
                    open_attempts[action.request] = 0
        elif open_attempts:
            balancer.outcome(now, open_attempts.popitem()[0], 0, Outcome.OK, 0.1, last=True)
    for request_id in open_attempts:
        balancer.outcome(now, request_id, 0, Outcome.OK, 0.1, last=True)
    listed = {number for number, row in rows.items() if row.state is not State.GONE}
    assert set(balancer.servers) == listed
    ready = {n for n in listed if rows[n].state is State.UP and n not in balancer.bans}
    assert {server.row.server for server in balancer.ready} == ready
    for groups, attribute in ((balancer._zones, "zone"), (balancer._cells, "cell")):
        members = {(key, server.row.server) for key, group in groups.items() for server in group.servers}
        assert members == {(getattr(rows[n], attribute), n) for n in ready}
    fresh = Balancer(settings, seed)
    fresh.bans, fresh.past_bans = dict(balancer.bans), dict(balancer.past_bans)
    fresh.members(now, ListKind.WHOLE, list(rows.values()))
    for pool, expected in ((balancer.near_pool, fresh.near_pool), (balancer.far_pool, fresh.far_pool)):
        pool.active.clear()  # its size depends on earlier ones
        pool.resize(now, 10)
        expected.active.clear()
        expected.resize(now, 10)
        assert pool_state(pool) == pool_state(expected)
        warm = [s.cold_until(settings.rules) <= now for s in pool.active]
        assert pool.warm_fraction == pytest.approx(sum(warm) / len(warm) if warm else 1.0)
