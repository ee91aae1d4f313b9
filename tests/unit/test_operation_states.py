"""The states of leaving, and the verdicts on calls, as their table says."""

from __future__ import annotations

import pytest

from weldroute import operations as ops
from weldroute.operations import Call, Operations, Posture, Stance, Verdict, route, who


def test_serving_holds_everything() -> None:
    assert Operations().posture(5.0) == Posture()


def test_a_drain_says_no_at_once_serves_on_and_lets_idle_connections_go_in_time() -> None:
    o = Operations()
    assert o.evacuate(10.0).yes and o.stance is Stance.EVACUATED
    early = o.posture(10.0)
    assert (early.up, early.listens, early.closes, early.keeps_idle) == (False, True, True, True)
    late = o.posture(10.0 + ops.EVACUATE_IDLE)
    assert late.listens and not late.keeps_idle
    # Nothing asked in the last 2 s of 4 may be held: what is kept ends its last answer well before.
    assert ops.EVACUATE_IDLE < 2.0
    assert o.evacuate(11.0) == ops.ALREADY
    assert not o.posture(10.0 + ops.EVACUATE_IDLE).keeps_idle, "a second call does not begin it anew"
    assert o.rejoin().yes and o.posture(12.0) == Posture() and o.rejoin() == ops.ALREADY


def test_stopping_listens_for_a_while_serves_for_longer_and_is_final() -> None:
    o = Operations()
    o.stop(0.0, 2.0)
    assert o.posture(0.0) == Posture()
    deaf = o.posture(ops.STOP_ACCEPT)
    assert (deaf.up, deaf.listens, deaf.closes, deaf.keeps_idle) == (False, False, False, True)
    over = o.posture(2.0)
    assert over.closes and not over.keeps_idle and over.keeps_partial
    assert not o.posture(2.0 + ops.STOP_READ).keeps_partial
    for verdict in (o.evacuate(1.0), o.rejoin(), o.ready()):
        assert verdict.status == 409
    o.stop(5.0, 9.0)
    assert o.posture(2.0).closes, "a second order does not put the end off"


@pytest.mark.parametrize("keep", [0.0, 0.3])
def test_stopping_never_ends_connections_while_it_takes_new_ones(keep: float) -> None:
    o = Operations()
    o.stop(0.0, keep)
    posture = o.posture(ops.STOP_ACCEPT - 0.01)
    assert posture.listens and posture.keeps_idle and not posture.closes


def test_yielding_leaves_new_connections_to_the_newer_process_and_takes_them_back() -> None:
    o = Operations()
    o.yielded(True)
    assert o.stance is Stance.YIELDING
    assert o.posture(0.0) == Posture(listens=False, closes=True)
    o.yielded(False)
    assert o.posture(0.0) == Posture()
    o.yielded(True)
    o.stop(0.0, 2.0)
    posture = o.posture(0.01)
    assert not posture.listens and posture.closes and posture.keeps_idle


def test_a_drain_outlasts_yielding() -> None:
    o = Operations()
    o.evacuate(0.0)
    o.yielded(True)
    assert not o.posture(0.1).up
    o.yielded(False)
    assert o.stance is Stance.EVACUATED


def test_ready_once_it_serves() -> None:
    o = Operations()
    assert o.ready().status == 503
    o.serving = True
    assert o.ready().yes
    o.evacuate(0.0)
    assert o.ready().yes, "an emptied proxy can serve"


@pytest.mark.parametrize(
    ("method", "target", "want"),
    [
        (b"GET", b"/api/ready", Call.READY),
        (b"GET", b"/api/ready?x=1", Call.READY),
        (b"POST", b"/api/exclude", Call.EXCLUDE),
        (b"POST", b"/api/include", Call.INCLUDE),
        (b"POST", b"/api/evacuate", Call.EVACUATE),
        (b"POST", b"/api/rejoin", Call.REJOIN),
        (b"POST", b"/api/ready", 405),
        (b"GET", b"/api/exclude", 405),
        (b"DELETE", b"/api/rejoin", 405),
        (b"GET", b"/api", 404),
        (b"POST", b"/api/ready/", 404),
        (b"GET", b"/", 404),
    ],
)
def test_routes(method: bytes, target: bytes, want: Call | int) -> None:
    got = route(method, target)
    assert (got.status if isinstance(got, Verdict) else got) == want


@pytest.mark.parametrize("body", [None, [], {}, {"who": 5}, {"who": ""}, {"who": None}, "s-1", {"id": "s-1"}])
def test_a_body_without_an_id_is_told(body: object) -> None:
    verdict = who(body)
    assert isinstance(verdict, Verdict) and verdict.status == 400


def test_an_id_is_read() -> None:
    assert who({"who": "s-1", "more": 1}) == "s-1"
