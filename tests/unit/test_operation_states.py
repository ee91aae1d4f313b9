"""The states of leaving, and the verdicts on calls, as their table says."""

from __future__ import annotations

import pytest

from weldroute import operations as ops
from weldroute.operations import (
    CallResult,
    LifecycleState,
    ListenerState,
    ManagementCall,
    Operations,
    read_backend_id,
    route,
)


def test_serving_holds_everything() -> None:
    assert Operations().listener_state(5.0) == ListenerState()


def test_a_drain_says_no_at_once_serves_on_and_lets_idle_connections_go_in_time() -> None:
    o = Operations()
    assert o.evacuate(10.0).succeeded and o.state is LifecycleState.EVACUATED
    early = o.listener_state(10.0)
    assert (early.up, early.listens, early.closes_after_answer, early.keeps_idle) == (False, True, True, True)
    late = o.listener_state(10.0 + ops.EVACUATE_IDLE_TIMEOUT)
    assert late.listens and not late.keeps_idle
    # Nothing asked in the last 2 s of 4 may be held: what is kept ends its last answer well before.
    assert ops.EVACUATE_IDLE_TIMEOUT < 2.0
    assert o.evacuate(11.0) == ops.ALREADY_DONE
    assert not o.listener_state(10.0 + ops.EVACUATE_IDLE_TIMEOUT).keeps_idle, "a second call does not begin it anew"
    assert o.rejoin().succeeded and o.listener_state(12.0) == ListenerState() and o.rejoin() == ops.ALREADY_DONE


def test_stopping_listens_for_a_while_serves_for_longer_and_is_final() -> None:
    o = Operations()
    o.stop(0.0, 2.0)
    assert o.listener_state(0.0) == ListenerState()
    deaf = o.listener_state(ops.STOP_ACCEPT_PERIOD)
    assert (deaf.up, deaf.listens, deaf.closes_after_answer, deaf.keeps_idle) == (False, False, False, True)
    over = o.listener_state(2.0)
    assert over.closes_after_answer and not over.keeps_idle and over.keeps_incomplete
    assert not o.listener_state(2.0 + ops.STOP_READ_PERIOD).keeps_incomplete
    for verdict in (o.evacuate(1.0), o.rejoin(), o.readiness()):
        assert verdict.status == 409
    o.stop(5.0, 9.0)
    assert o.listener_state(2.0).closes_after_answer, "a second order does not put the end off"


@pytest.mark.parametrize("keep", [0.0, 0.3])
def test_stopping_never_ends_connections_while_it_takes_new_ones(keep: float) -> None:
    o = Operations()
    o.stop(0.0, keep)
    posture = o.listener_state(ops.STOP_ACCEPT_PERIOD - 0.01)
    assert posture.listens and posture.keeps_idle and not posture.closes_after_answer


def test_yielding_leaves_new_connections_to_the_newer_process_and_takes_them_back() -> None:
    o = Operations()
    o.on_newer_process(True)
    assert o.state is LifecycleState.YIELDING
    assert o.listener_state(0.0) == ListenerState(listens=False, closes_after_answer=True)
    o.on_newer_process(False)
    assert o.listener_state(0.0) == ListenerState()
    o.on_newer_process(True)
    o.stop(0.0, 2.0)
    posture = o.listener_state(0.01)
    assert not posture.listens and posture.closes_after_answer and posture.keeps_idle


def test_a_drain_outlasts_yielding() -> None:
    o = Operations()
    o.evacuate(0.0)
    o.on_newer_process(True)
    assert not o.listener_state(0.1).up
    o.on_newer_process(False)
    assert o.state is LifecycleState.EVACUATED


def test_ready_once_it_serves() -> None:
    o = Operations()
    assert o.readiness().status == 503
    o.serving = True
    assert o.readiness().succeeded
    o.evacuate(0.0)
    assert o.readiness().succeeded, "an emptied proxy can serve"


@pytest.mark.parametrize(
    ("method", "target", "want"),
    [
        (b"GET", b"/api/ready", ManagementCall.READY),
        (b"GET", b"/api/ready?x=1", ManagementCall.READY),
        (b"POST", b"/api/exclude", ManagementCall.EXCLUDE),
        (b"POST", b"/api/include", ManagementCall.INCLUDE),
        (b"POST", b"/api/evacuate", ManagementCall.EVACUATE),
        (b"POST", b"/api/rejoin", ManagementCall.REJOIN),
        (b"POST", b"/api/ready", 405),
        (b"GET", b"/api/exclude", 405),
        (b"DELETE", b"/api/rejoin", 405),
        (b"GET", b"/api", 404),
        (b"POST", b"/api/ready/", 404),
        (b"GET", b"/", 404),
    ],
)
def test_routes(method: bytes, target: bytes, want: ManagementCall | int) -> None:
    got = route(method, target)
    assert (got.status if isinstance(got, CallResult) else got) == want


@pytest.mark.parametrize("body", [None, [], {}, {"who": 5}, {"who": ""}, {"who": None}, "s-1", {"id": "s-1"}])
def test_a_body_without_an_id_is_told(body: object) -> None:
    verdict = read_backend_id(body)
    assert isinstance(verdict, CallResult) and verdict.status == 400


def test_an_id_is_read() -> None:
    assert read_backend_id({"who": "s-1", "more": 1}) == "s-1"
