"""The breaker's formulas, compared with values computed by hand."""

from random import Random

import pytest

from weldroute.breaker import Breaker


def test_error_ratio_with_k_falling() -> None:
    breaker = Breaker()
    for _ in range(20):
        breaker.record_failure(0.0)
    # One failing bucket of 40; K does not matter without accepts: (20 - 5) / 21.
    assert breaker.error_ratio(0.0) == pytest.approx(15 / 21)
    breaker.record_success(0.0)
    # An accept ends the run of failing buckets: (21 - 5 - 1.5) / 22.
    assert breaker.error_ratio(0.0) == pytest.approx(14.5 / 22)
    breaker.record_failure(0.3)
    # only the newest bucket has failures alone: k = 1.5 - 0.4 / 40 = 1.49; (22 - 5 - 1.49) / 23
    assert breaker.error_ratio(0.3) == pytest.approx(15.51 / 23)


def test_protection_and_window() -> None:
    breaker = Breaker()
    for _ in range(5):
        breaker.record_failure(0.0)
    assert breaker.error_ratio(0.0) == 0.0
    breaker.record_failure(0.0)
    assert breaker.error_ratio(9.9) == pytest.approx(1 / 7)
    assert breaker.error_ratio(10.0) == 0.0  # bucket 0 has left the window


def test_local_refusals_count_as_requests() -> None:
    breaker = Breaker()
    for _ in range(6):
        breaker.record_refusal(0.0)
    assert breaker.error_ratio(0.0) == pytest.approx(1 / 7)


def test_latency_averages() -> None:
    breaker = Breaker()
    breaker.record_latency(0.1)
    assert (breaker.baseline, breaker.current) == (0.1, 0.1)
    breaker.record_latency(0.5)  # up: (0.5 + 99 * 0.1) / 100 and (0.5 + 3 * 0.1) / 4
    assert breaker.baseline == pytest.approx(0.104)
    assert breaker.current == pytest.approx(0.2)
    breaker.record_latency(0.004)  # down: (0.004 + 3 * 0.104) / 4 and (0.004 + 3 * 0.2) / 4
    assert breaker.baseline == pytest.approx(0.079)
    assert breaker.current == pytest.approx(0.151)


@pytest.mark.parametrize(
    ("baseline", "current", "timeout", "expected"),
    [
        (0.1, 0.3, 1.0, 0.0),  # at 3 x baseline
        (0.1, 0.625, 1.0, 0.15),  # half way to 0.95
        (0.1, 5.0, 1.0, 0.3),  # clamped
        (0.1, 0.2, 1.0, 0.0),  # below
        (0.4, 5.0, 1.0, 0.0),  # the ceiling is not above 3 x baseline
        (0.1, 5.0, 0.0, 0.0),  # no timeout
        (0.0, 0.0, 1.0, 0.0),  # nothing seen
    ],
)
def test_latency_ratio(baseline: float, current: float, timeout: float, expected: float) -> None:
    breaker = Breaker()
    breaker.baseline, breaker.current = baseline, current
    assert breaker.latency_ratio(timeout) == pytest.approx(expected)


def test_drop_probability_is_the_larger_ratio_and_one_call_a_second_passes() -> None:
    breaker = Breaker()
    breaker.baseline, breaker.current = 0.1, 5.0
    assert breaker.drop_probability(0.0, 1.0) == pytest.approx(0.3)
    for _ in range(500):
        breaker.record_failure(0.0)
    assert breaker.drop_probability(0.0, 1.0) == pytest.approx(495 / 501)
    rng = Random(1)
    assert not breaker.refuses(0.0, 1.0, rng)  # the forced pass
    assert sum(breaker.refuses(0.5, 1.0, rng) for _ in range(20)) >= 18
    assert not breaker.refuses(breaker.last_pass + 1.0, 1.0, rng)
