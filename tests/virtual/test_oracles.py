"""Each oracle is broken on purpose, and just not broken."""

from __future__ import annotations

import pytest

from cometusher.simulation.oracles import RunChecker
from cometusher.simulation.script import Plan
from cometusher.simulation.world import settings
from weldroute.settings import read_settings

PATH = 0.01
LATE = 0.02 + 0.05 + PATH  # the rules' slack, that of a network, and the way


def ledger(copies: int = 1) -> RunChecker:
    told = read_settings(settings(Plan(zones=2, copies=copies), 0, 0, 0, 2))
    return RunChecker(told, {"s-1": "z0", "s-2": "z0", "s-3": "z1"}, PATH)


def broken(account: RunChecker) -> list[str]:
    return [violation.oracle for violation in account.violations]


def body(rid: str) -> bytes:
    return f"report {rid} by s-1 ".encode()


def test_a_served_request_breaks_nothing() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    account.on_attempt_started(1.1, "p", "a", "s-1")
    account.on_backend_received(1.2, "a", "s-1", 0)
    account.on_backend_ran(1.2, "a", "s-1", None, True)
    account.on_answer(1.3, "a", 200, body("a"), 0)
    account.check_deadlines(9.0)
    assert broken(account) == [] and account.outcome_counts() == {"served": 1}


def test_no_answer_in_time() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    account.check_deadlines(2.0 + LATE - 0.001)
    assert broken(account) == []
    account.check_deadlines(2.0 + LATE + 0.001)
    assert broken(account) == ["one answer in time"]


def test_a_proxy_that_was_held_up_has_as_much_longer() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    account.on_blocked(1.5, "p")
    account.check_deadlines(5.0)
    account.on_unblocked(5.0, "p")
    account.check_deadlines(5.5 + LATE - 0.001)
    assert broken(account) == []
    account.check_deadlines(5.5 + LATE + 0.2)
    assert account.outcome_counts() == {"overdue": 1}


def test_what_is_with_a_dead_proxy_is_nobodys_fault_and_what_comes_later_is() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    account.on_killed(1.2, "p")
    account.on_connection_lost(1.3, "a")
    account.on_request_sent(2.0, "b", "view", "p", "c", 1.0)
    account.on_connection_lost(2.5, "b")
    assert broken(account) == ["no request lost"]


@pytest.mark.parametrize(
    ("kind", "rejected", "breaks"),
    [
        ("view", False, []),
        ("submit", False, ["no effect twice"]),
        ("pay", False, ["no effect twice"]),
        ("submit", True, []),
        ("pay", True, []),
    ],
)
def test_a_refusal_says_that_nothing_ran(kind: str, rejected: bool, breaks: list[str]) -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", kind, "p", "c", 1.0)
    account.on_attempt_started(1.1, "p", "a", "s-1")
    if rejected:
        account.on_backend_rejected(1.2, "a", "s-1")
    account.on_answer(1.3, "a", 503, b"refused\n", 0)
    assert broken(account) == breaks


@pytest.mark.parametrize(
    ("kind", "node", "after", "breaks"),
    [
        ("view", "s-3", 0.5, []),
        ("pay", "s-1", 0.5, ["no effect twice"]),
        ("submit", "s-2", 0.5, []),
        ("submit", "s-3", 0.5, ["no effect twice"]),
        ("submit", "s-2", 3.2, ["no effect twice"]),
    ],
)
def test_a_further_attempt(kind: str, node: str, after: float, breaks: list[str]) -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", kind, "p", "c", 5.0)
    account.on_attempt_started(1.1, "p", "a", "s-1")
    account.on_attempt_started(1.1 + after, "p", "a", node)
    assert broken(account) == breaks


def test_more_attempts_than_allowed_and_two_at_once() -> None:
    account = ledger(copies=0)
    account.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    account.on_attempt_started(1.1, "p", "a", "s-1", lambda: False)
    account.on_attempt_started(1.2, "p", "a", "s-2", lambda: True)
    assert broken(account) == []
    account.on_attempt_started(1.3, "p", "a", "s-1", lambda: False)
    account.on_attempt_started(1.4, "p", "a", "s-1", lambda: False)
    assert broken(account) == ["copies", "copies", "attempts"]


def test_nothing_goes_out_after_the_answer_nor_long_after_the_caller_left() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    account.on_answer(1.1, "a", 503, b"", 0)
    account.on_attempt_started(1.2, "p", "a", "s-1")
    account.on_request_sent(1.0, "b", "view", "p", "c", 5.0)
    account.on_caller_left(1.1, "b")
    account.on_attempt_started(1.11, "p", "b", "s-1")
    assert broken(account) == ["nothing after"]
    account.on_attempt_started(1.3, "p", "b", "s-1")
    assert broken(account) == ["nothing after"] * 2


def test_wrong_answers_and_wrong_requests() -> None:
    account = ledger()
    account.on_request_sent(1.0, "a", "view", "p", "c", 5.0)
    account.on_backend_ran(1.1, "a", "s-1", None, True)
    account.on_answer(1.2, "a", 200, body("b"), 0)
    account.on_answer(1.2, "a", 200, body("a"), 0)
    account.on_request_sent(1.0, "b", "view", "p", "c", 5.0)
    account.on_answer(1.2, "b", 200, body("b"), 0)
    account.on_request_sent(1.0, "c", "view", "p", "c", 5.0)
    account.on_answer(1.2, "c", 413, b"", 0)
    account.on_attempt_started(1.3, "p", "d", "s-1")
    account.on_request_sent(1.4, "e", "pay", "p", "c", 5.0, 7)
    account.on_attempt_started(1.5, "p", "e", "s-1")
    account.on_backend_received(1.6, "e", "s-1", 6)
    account.on_backend_received(1.6, "e", "s-2", 7)
    account.on_surplus_data(1.7, "p", b"HTTP/1.1 200")
    assert broken(account) == [
        "right answer",
        "one answer",
        "right answer",
        "turned away",
        "right request",
        "right request",
        "right request",
        "one answer",
    ]


def test_an_effect_counts_once_in_its_window() -> None:
    account = ledger()
    for rid, kind in (("a", "pay"), ("b", "submit"), ("c", "submit")):
        account.on_request_sent(1.0, rid, kind, "p", "c", 9.0)
    account.on_backend_ran(1.1, "a", "s-1", None, True)
    account.on_backend_ran(1.2, "b", "s-1", "k", True)
    account.on_backend_ran(1.3, "b", "s-2", "k", False)
    account.on_backend_ran(9.0, "b", "s-2", "k", True)  # sent in time, it came late
    assert broken(account) == []
    account.on_backend_ran(1.4, "a", "s-2", None, True)
    account.on_backend_ran(2.0, "c", "s-3", "k", True)
    assert broken(account) == ["no effect twice"] * 2


def test_drains_have_their_grace_from_when_they_were_told() -> None:
    account = ledger()
    for rid in "abc":
        account.on_request_sent(1.0, rid, "view", "p", "c", 5.0)
    account.on_discovery_update(1.0, "p", "s-1", True, 0.0)
    account.on_discovery_update(2.0, "p", "s-1", False, 0.0)
    account.on_discovery_update(2.3, "p", "s-1", False, 0.0)  # told again is not told anew
    account.on_attempt_started(2.54, "p", "a", "s-1")
    account.on_attempt_started(3.0, "q", "b", "s-1")  # another, which was not told
    assert broken(account) == []
    account.on_attempt_started(2.56, "p", "c", "s-1")
    assert broken(account) == ["drains"]


@pytest.mark.parametrize(("knew", "breaks"), [(3, ["cold"]), (2, ["cold"]), (1, [])])
def test_a_cold_node_falls_by_those_that_knew(knew: int, breaks: list[str]) -> None:
    account = ledger()
    account.on_discovery_update(1.0, "p", "s-1", True, 1.6e12)
    for i, rid in enumerate("abc"):
        account.on_request_sent(1.0, rid, "view", "p", "c", 5.0)
        account.on_attempt_started(1.1, "p" if i < knew else "q", rid, "s-1")
    account.on_cold_overload(1.2, "s-1", 2.0, 1.0)
    assert broken(account) == breaks


def test_the_digest_is_of_all_that_was_noted() -> None:
    one, two = ledger(), ledger()
    for account in (one, two):
        account.on_request_sent(1.0, "a", "view", "p", "c", 1.0)
    assert one.digest() == two.digest()
    two.on_caller_left(1.1, "a")
    assert one.digest() != two.digest()
    assert one.trace_lines() == ["   1.000000 sent a view p 1.000"]
