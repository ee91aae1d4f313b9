"""Which kept connection may carry a request, as a function of what was seen on connections."""

from __future__ import annotations

import pytest

from weldroute import Repeat
from weldroute.connection_reuse import (
    CLOSE_RACE_MARGIN,
    CLOSE_RACES,
    CLOSE_RACES_WINDOW,
    DEFAULT_IDLE_TIMEOUT,
    IDLE_TIMEOUT_FRACTION,
    LATE_INPUT_MEMORY,
    MIN_RACE_IDLE_AGE,
    MIN_REST,
    REST_MARGIN,
    ConnectionReuse,
)

NOW = 1000.0  # seconds


@pytest.mark.parametrize(
    ("repeat", "first_attempt", "allowed"),
    [
        (Repeat.SAFE, True, True),
        (Repeat.SAFE, False, True),
        (Repeat.KEYED, True, True),
        (Repeat.KEYED, False, False),
        (Repeat.UNSAFE, True, False),
        (Repeat.UNSAFE, False, False),
    ],
)
def test_effect_of_a_class_decides_on_kept_connections(repeat: Repeat, first_attempt: bool, allowed: bool) -> None:
    """A late rejection would prove that a running unsafe request never ran, however long the connection rested."""
    assert ConnectionReuse(5.0).may_reuse(repeat, first_attempt) is allowed


def test_idle_time_is_bounded_by_the_rest_and_the_servers_timeout() -> None:
    reuse = ConnectionReuse(5.0)
    assert reuse.min_idle(NOW) == MIN_REST
    assert reuse.max_idle(NOW, Repeat.KEYED) == reuse.idle_timeout == 5.0 * IDLE_TIMEOUT_FRACTION
    assert ConnectionReuse(0.0).idle_timeout == DEFAULT_IDLE_TIMEOUT


def test_late_input_lengthens_the_rest_for_a_while() -> None:
    reuse = ConnectionReuse(5.0)
    reuse.on_late_input(NOW, 0.4)
    reuse.on_late_input(NOW + 1.0, 0.01)  # less late: the longer one still counts
    assert reuse.min_idle(NOW + 1.0) == pytest.approx(REST_MARGIN * 0.4)
    assert reuse.min_idle(NOW + LATE_INPUT_MEMORY) == MIN_REST
    reuse.on_late_input(NOW + LATE_INPUT_MEMORY, 0.2)
    assert reuse.min_idle(NOW + LATE_INPUT_MEMORY) == pytest.approx(REST_MARGIN * 0.2)


def test_input_right_behind_an_answer_changes_nothing() -> None:
    reuse = ConnectionReuse(5.0)
    reuse.on_late_input(NOW, 0.0)
    assert reuse.min_idle(NOW) == MIN_REST


def test_early_closes_bound_the_idle_time_of_what_is_not_safe_to_repeat() -> None:
    reuse = ConnectionReuse(5.0)
    for i in range(CLOSE_RACES):
        assert reuse.max_idle(NOW, Repeat.KEYED) == reuse.idle_timeout
        reuse.on_immediate_reset(NOW, 1.0 + i)
    assert reuse.max_idle(NOW, Repeat.KEYED) == pytest.approx(CLOSE_RACE_MARGIN * 1.0)
    assert reuse.max_idle(NOW, Repeat.SAFE) == reuse.idle_timeout
    assert reuse.max_idle(NOW + CLOSE_RACES_WINDOW + 0.1, Repeat.KEYED) == reuse.idle_timeout


def test_reset_of_a_fresh_connection_forgets_one_early_close() -> None:
    reuse = ConnectionReuse(5.0)
    for _ in range(CLOSE_RACES):
        reuse.on_immediate_reset(NOW, 1.0)
    reuse.on_immediate_reset(NOW, MIN_RACE_IDLE_AGE / 2.0)
    assert reuse.max_idle(NOW, Repeat.KEYED) == reuse.idle_timeout


def test_rejection_on_a_kept_connection_proves_nothing_while_input_outlasts_the_rest() -> None:
    """Else a keyed request could run in two groups: the rejection may be a late one of an earlier request."""
    reuse = ConnectionReuse(5.0)
    reuse.on_late_input(NOW, MIN_REST / REST_MARGIN)
    assert reuse.proves_rejection(NOW, Repeat.KEYED, first_request=False)
    reuse.on_late_input(NOW, MIN_REST)
    assert not reuse.proves_rejection(NOW, Repeat.KEYED, first_request=False)
    assert reuse.proves_rejection(NOW, Repeat.KEYED, first_request=True)
    assert reuse.proves_rejection(NOW, Repeat.SAFE, first_request=False)
    assert reuse.proves_rejection(NOW + LATE_INPUT_MEMORY, Repeat.KEYED, first_request=False)
