"""Tests of the oracles: each is violated on purpose, and by a narrow margin not violated."""

from __future__ import annotations

import pytest

from cometusher.simulation.oracles import RunChecker
from cometusher.simulation.script import Plan
from cometusher.simulation.world import settings
from weldroute.settings import read_settings

ROUND_TRIP = 0.01
ANSWER_SLACK = 0.02 + 0.05 + ROUND_TRIP  # seconds: the rules' slack, the network's slack, the round trip


def make_checker(copies: int = 1) -> RunChecker:
    rules = read_settings(settings(Plan(zones=2, copies=copies), 0, 0, 0, 2))
    return RunChecker(rules, {"s-1": "z0", "s-2": "z0", "s-3": "z1"}, ROUND_TRIP)


def violated_oracles(checker: RunChecker) -> list[str]:
    return [violation.oracle for violation in checker.violations]


def answer_body(request_id: str) -> bytes:
    return f"report {request_id} by s-1 ".encode()


def test_a_served_request_violates_nothing() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    checker.on_attempt_started(1.1, "p", "a", "s-1")
    checker.on_backend_received(1.2, "a", "s-1", 0)
    checker.on_backend_ran(1.2, "a", "s-1", None, True)
    checker.on_answer(1.3, "a", 200, answer_body("a"), 0)
    checker.check_deadlines(9.0)
    assert violated_oracles(checker) == [] and checker.outcome_counts() == {"served": 1}


def test_a_missing_answer_is_overdue_after_the_slack() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    checker.check_deadlines(2.0 + ANSWER_SLACK - 0.001)
    assert violated_oracles(checker) == []
    checker.check_deadlines(2.0 + ANSWER_SLACK + 0.001)
    assert violated_oracles(checker) == ["one answer in time"]


def test_time_in_which_a_proxy_was_blocked_extends_the_deadline() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    checker.on_blocked(1.5, "p")
    checker.check_deadlines(5.0)
    checker.on_unblocked(5.0, "p")
    checker.check_deadlines(5.5 + ANSWER_SLACK - 0.001)
    assert violated_oracles(checker) == []
    checker.check_deadlines(5.5 + ANSWER_SLACK + 0.2)
    assert checker.outcome_counts() == {"overdue": 1}


def test_only_requests_sent_before_a_proxy_was_killed_are_excused() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    checker.on_killed(1.2, "p")
    checker.on_connection_lost(1.3, "a")
    checker.on_request_sent(2.0, "b", "view", "p", "c", 1.0)
    checker.on_connection_lost(2.5, "b")
    assert violated_oracles(checker) == ["no request lost"]


@pytest.mark.parametrize(
    ("class_name", "rejected", "violations"),
    [
        ("view", False, []),
        ("submit", False, ["no effect twice"]),
        ("pay", False, ["no effect twice"]),
        ("submit", True, []),
        ("pay", True, []),
    ],
)
def test_a_refusal_requires_that_no_attempt_may_have_run(
    class_name: str, rejected: bool, violations: list[str]
) -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", class_name, "p", "c", 1.0)
    checker.on_attempt_started(1.1, "p", "a", "s-1")
    if rejected:
        checker.on_backend_rejected(1.2, "a", "s-1")
    checker.on_answer(1.3, "a", 503, b"refused\n", 0)
    assert violated_oracles(checker) == violations


@pytest.mark.parametrize(
    ("class_name", "backend", "after", "violations"),
    [
        ("view", "s-3", 0.5, []),
        ("pay", "s-1", 0.5, ["no effect twice"]),
        ("submit", "s-2", 0.5, []),
        ("submit", "s-3", 0.5, ["no effect twice"]),
        ("submit", "s-2", 3.2, ["no effect twice"]),
    ],
)
def test_a_further_attempt_requires_that_a_repeat_is_harmless(
    class_name: str, backend: str, after: float, violations: list[str]
) -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", class_name, "p", "c", 5.0)
    checker.on_attempt_started(1.1, "p", "a", "s-1")
    checker.on_attempt_started(1.1 + after, "p", "a", backend)
    assert violated_oracles(checker) == violations


def test_too_many_attempts_and_concurrent_attempts_are_violations() -> None:
    checker = make_checker(copies=0)
    checker.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    checker.on_attempt_started(1.1, "p", "a", "s-1", lambda: False)
    checker.on_attempt_started(1.2, "p", "a", "s-2", lambda: True)
    assert violated_oracles(checker) == []
    checker.on_attempt_started(1.3, "p", "a", "s-1", lambda: False)
    checker.on_attempt_started(1.4, "p", "a", "s-1", lambda: False)
    assert violated_oracles(checker) == ["copies", "copies", "attempts"]


def test_attempts_after_the_answer_or_long_after_the_caller_left_are_violations() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    checker.on_answer(1.1, "a", 503, b"", 0)
    checker.on_attempt_started(1.2, "p", "a", "s-1")
    checker.on_request_sent(1.0, "b", "view", "p", "c", 5.0)
    checker.on_caller_left(1.1, "b")
    checker.on_attempt_started(1.11, "p", "b", "s-1")
    assert violated_oracles(checker) == ["nothing after"]
    checker.on_attempt_started(1.3, "p", "b", "s-1")
    assert violated_oracles(checker) == ["nothing after"] * 2


def test_wrong_answers_and_wrong_requests_are_violations() -> None:
    checker = make_checker()
    checker.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    checker.on_backend_ran(1.1, "a", "s-1", None, True)
    checker.on_answer(1.2, "a", 200, answer_body("b"), 0)
    checker.on_answer(1.2, "a", 200, answer_body("a"), 0)
    checker.on_request_sent(1.0, "b", "view", "p", "c", 5.0)
    checker.on_answer(1.2, "b", 200, answer_body("b"), 0)
    checker.on_request_sent(1.0, "c", "view", "p", "c", 5.0)
    checker.on_answer(1.2, "c", 413, b"", 0)
    checker.on_attempt_started(1.3, "p", "d", "s-1")
    checker.on_request_sent(1.4, "e", "pay", "p", "c", 5.0, 7)
    checker.on_attempt_started(1.5, "p", "e", "s-1")
    checker.on_backend_received(1.6, "e", "s-1", 6)
    checker.on_backend_received(1.6, "e", "s-2", 7)
    checker.on_surplus_data(1.7, "p", b"HTTP/1.1 200")
    assert violated_oracles(checker) == [
        "right answer",
        "one answer",
        "right answer",
        "turned away",
        "right request",
        "right request",
        "right request",
        "one answer",
    ]


def test_a_second_effect_is_a_violation_within_the_key_window() -> None:
    checker = make_checker()
    for request_id, class_name in (("a", "pay"), ("b", "submit"), ("c", "submit")):
        checker.on_request_sent(1.0, request_id, class_name, "p", "c", 9.0)
    checker.on_backend_ran(1.1, "a", "s-1", None, True)
    checker.on_backend_ran(1.2, "b", "s-1", "k", True)
    checker.on_backend_ran(1.3, "b", "s-2", "k", False)
    checker.on_backend_ran(9.0, "b", "s-2", "k", True)  # sent within the window, arrived after it
    assert violated_oracles(checker) == []
    checker.on_backend_ran(1.4, "a", "s-2", None, True)
    checker.on_backend_ran(2.0, "c", "s-3", "k", True)
    assert violated_oracles(checker) == ["no effect twice"] * 2


def test_the_drain_grace_counts_from_the_first_update() -> None:
    checker = make_checker()
    for request_id in "abc":
        checker.on_request_sent(1.0, request_id, "view", "p", "c", 5.0)
    checker.on_discovery_update(1.0, "p", "s-1", True, 0.0)
    checker.on_discovery_update(2.0, "p", "s-1", False, 0.0)
    checker.on_discovery_update(2.3, "p", "s-1", False, 0.0)  # a repeated update does not restart the grace
    checker.on_attempt_started(2.54, "p", "a", "s-1")
    checker.on_attempt_started(3.0, "q", "b", "s-1")  # a proxy that received no update
    assert violated_oracles(checker) == []
    checker.on_attempt_started(2.56, "p", "c", "s-1")
    assert violated_oracles(checker) == ["drains"]


@pytest.mark.parametrize(("informed", "violations"), [(3, ["cold"]), (2, ["cold"]), (1, [])])
def test_overload_of_a_cold_backend_counts_if_the_senders_knew(informed: int, violations: list[str]) -> None:
    checker = make_checker()
    checker.on_discovery_update(1.0, "p", "s-1", True, 1.6e12)
    for i, request_id in enumerate("abc"):
        checker.on_request_sent(1.0, request_id, "view", "p", "c", 5.0)
        checker.on_attempt_started(1.1, "p" if i < informed else "q", request_id, "s-1")
    checker.on_cold_overload(1.2, "s-1", 2.0, 1.0)
    assert violated_oracles(checker) == violations


def test_the_digest_covers_all_recorded_events() -> None:
    one, two = make_checker(), make_checker()
    for checker in (one, two):
        checker.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    assert one.digest() == two.digest()
    two.on_caller_left(1.1, "a")
    assert one.digest() != two.digest()
    assert one.trace_lines() == ["   1.000000 sent a view p 1.000"]
