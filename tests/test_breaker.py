"""The design's formulas on figures worked out by hand."""

from random import Random

import pytest

from weldroute.decide import Breaker


def test_error_ratio_with_k_falling() -> None:
    b = Breaker()
    for _ in range(20):
        b.record_failure(0.0)
    # one failing bucket of 40: k does not matter without accepts; (20 - 5) / 21
    assert b.error_ratio(0.0) == pytest.approx(15 / 21)
    b.record_success(0.0)
    # an accept ends the run of failing buckets: (21 - 5 - 1.5) / 22
    assert b.error_ratio(0.0) == pytest.approx(14.5 / 22)
    b.record_failure(0.3)
    # one newest bucket failed only: k = 1.5 - 0.4 / 40 = 1.49; (22 - 5 - 1.49) / 23
    assert b.error_ratio(0.3) == pytest.approx(15.51 / 23)


def test_protection_and_window() -> None:
    b = Breaker()
    for _ in range(5):
        b.record_failure(0.0)
    assert b.error_ratio(0.0) == 0.0
    b.record_failure(0.0)
    assert b.error_ratio(9.9) == pytest.approx(1 / 7)
    assert b.error_ratio(10.0) == 0.0  # bucket 0 has left the window


def test_local_refusals_count_as_requests() -> None:
    b = Breaker()
    for _ in range(6):
        b.record_refusal(0.0)
    assert b.error_ratio(0.0) == pytest.approx(1 / 7)


def test_both_averages() -> None:
    b = Breaker()
    b.record_latency(0.1)
    assert (b.baseline, b.current) == (0.1, 0.1)
    b.record_latency(0.5)  # up: (0.5 + 99 * 0.1) / 100 and (0.5 + 3 * 0.1) / 4
    assert b.baseline == pytest.approx(0.104)
    assert b.current == pytest.approx(0.2)
    b.record_latency(0.004)  # down: (0.004 + 3 * 0.104) / 4 and (0.004 + 3 * 0.2) / 4
    assert b.baseline == pytest.approx(0.079)
    assert b.current == pytest.approx(0.151)


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
    b = Breaker()
    b.baseline, b.current = baseline, current
    assert b.latency_ratio(timeout) == pytest.approx(expected)


def test_larger_term_wins_and_one_call_a_second_passes() -> None:
    b = Breaker()
    b.baseline, b.current = 0.1, 5.0
    assert b.drop_probability(0.0, 1.0) == pytest.approx(0.3)
    for _ in range(500):
        b.record_failure(0.0)
    assert b.drop_probability(0.0, 1.0) == pytest.approx(495 / 501)
    rng = Random(1)
    assert not b.refuses(0.0, 1.0, rng)  # the forced pass
    assert sum(b.refuses(0.5, 1.0, rng) for _ in range(20)) >= 18
    assert not b.refuses(b.last_pass + 1.0, 1.0, rng)
