"""The lifecycle states of a proxy, as the table of `weldroute.operations` has them, and its management calls."""

from __future__ import annotations

import pytest

from weldroute import operations
from weldroute.operations import (
    CallResult,
    LifecycleState,
    ListenerState,
    ManagementCall,
    Operations,
    read_backend_id,
    route,
)


def test_serving_state_keeps_all_connections() -> None:
    assert Operations().listener_state(5.0) == ListenerState()


def test_drain_reports_down_at_once_and_closes_idle_connections_later() -> None:
    lifecycle = Operations()
    assert lifecycle.evacuate(10.0).succeeded and lifecycle.state is LifecycleState.EVACUATED
    early = lifecycle.listener_state(10.0)
    assert (early.up, early.listens, early.closes_after_answer, early.keeps_idle) == (False, True, True, True)
    late = lifecycle.listener_state(10.0 + operations.EVACUATE_IDLE_TIMEOUT)
    assert late.listens and not late.keeps_idle
    # No request may be left open in the last 2 s of the 4: kept connections end their last answer well before.
    assert operations.EVACUATE_IDLE_TIMEOUT < 2.0
    assert lifecycle.evacuate(11.0) == operations.ALREADY_DONE
    assert not lifecycle.listener_state(10.0 + operations.EVACUATE_IDLE_TIMEOUT).keeps_idle, (
        "a second order does not restart the time limit"
    )
    assert (
        lifecycle.rejoin().succeeded
        and lifecycle.listener_state(12.0) == ListenerState()
        and lifecycle.rejoin() == operations.ALREADY_DONE
    )


def test_stopping_listens_briefly_serves_longer_and_is_final() -> None:
    lifecycle = Operations()
    lifecycle.stop(0.0, 2.0)
    assert lifecycle.listener_state(0.0) == ListenerState()
    not_accepting = lifecycle.listener_state(operations.STOP_ACCEPT_PERIOD)
    assert (not_accepting.up, not_accepting.listens, not_accepting.closes_after_answer, not_accepting.keeps_idle) == (
        False,
        False,
        False,
        True,
    )
    elapsed = lifecycle.listener_state(2.0)
    assert elapsed.closes_after_answer and not elapsed.keeps_idle and elapsed.keeps_incomplete
    assert not lifecycle.listener_state(2.0 + operations.STOP_READ_PERIOD).keeps_incomplete
    for result in (lifecycle.evacuate(1.0), lifecycle.rejoin(), lifecycle.readiness()):
        assert result.status == 409
    lifecycle.stop(5.0, 9.0)
    assert lifecycle.listener_state(2.0).closes_after_answer, "a second order does not postpone the end"


@pytest.mark.parametrize("keep", [0.0, 0.3])
def test_stopping_keeps_connections_while_it_accepts_new_ones(keep: float) -> None:
    lifecycle = Operations()
    lifecycle.stop(0.0, keep)
    state = lifecycle.listener_state(operations.STOP_ACCEPT_PERIOD - 0.01)
    assert state.listens and state.keeps_idle and not state.closes_after_answer


def test_yielding_leaves_new_connections_to_the_newer_process_until_it_goes_away() -> None:
    lifecycle = Operations()
    lifecycle.on_newer_process(True)
    assert lifecycle.state is LifecycleState.YIELDING
    assert lifecycle.listener_state(0.0) == ListenerState(listens=False, closes_after_answer=True)
    lifecycle.on_newer_process(False)
    assert lifecycle.listener_state(0.0) == ListenerState()
    lifecycle.on_newer_process(True)
    lifecycle.stop(0.0, 2.0)
    state = lifecycle.listener_state(0.01)
    assert not state.listens and state.closes_after_answer and state.keeps_idle


def test_a_drain_outlasts_yielding() -> None:
    lifecycle = Operations()
    lifecycle.evacuate(0.0)
    lifecycle.on_newer_process(True)
    assert not lifecycle.listener_state(0.1).up
    lifecycle.on_newer_process(False)
    assert lifecycle.state is LifecycleState.EVACUATED


def test_ready_once_serving() -> None:
    lifecycle = Operations()
    assert lifecycle.readiness().status == 503
    lifecycle.serving = True
    assert lifecycle.readiness().succeeded
    lifecycle.evacuate(0.0)
    assert lifecycle.readiness().succeeded, "a drained proxy can serve"


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
def test_a_body_without_an_id_is_rejected(body: object) -> None:
    result = read_backend_id(body)
    assert isinstance(result, CallResult) and result.status == 400


def test_backend_id_is_read_from_the_body() -> None:
    assert read_backend_id({"who": "s-1", "more": 1}) == "s-1"
