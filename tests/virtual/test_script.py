"""Tests of the script language: drawn plans can be written and read again; errors are reported with their line."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cometusher.config import ConfigError
from cometusher.simulation import script


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**9), st.sampled_from(["any", *script.WORLDS]))
def test_a_drawn_plan_survives_formatting_and_parsing(seed: int, world: str) -> None:
    plan = script.draw_plan(seed, world)
    assert script.parse_plan(script.format_plan(plan)) == plan
    assert script.draw_plan(seed, world) == plan
    assert world in ("any", plan.world)


def test_every_kind_of_fault_is_drawn() -> None:
    drawn = {fault.what for seed in range(300) for fault in script.draw_plan(seed).faults}
    assert drawn == set(script.FAULT_KINDS)


def test_simultaneous_faults_are_drawn_and_keep_their_order() -> None:
    pairs = 0
    for seed in range(100):
        plan = script.draw_plan(seed)
        times = [fault.at for fault in plan.faults]
        pairs += len(times) - len(set(times))
        lines = script.format_plan(plan).splitlines()
        assert times == sorted(times) and len(lines) == 4 + len(plan.requests) + len(plan.faults)
    assert pairs > 20


def test_comments_and_empty_lines_are_ignored() -> None:
    plan = script.parse_plan("# a world\n\nworld one seed 3 seconds 2  # short\nrequest 1 at 0.5 view\n")
    assert plan.seed == 3 and plan.seconds == 2.0 and plan.requests == (script.PlannedRequest(1, 0.5, "view"),)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("wrold one", "'wrold' is not one of world"),
        ("world", "no name"),
        ("world one seed", "'seed' has no value"),
        ("world one seed x", "seed: 'x' is not a number"),
        ("world one speed 3", "'speed' is not one of seed, seconds"),
        ("link latency nan", "latency"),
        ("request 1 at 0.5 buy", "request: not of the form"),
        ("request 1 at 0.5 view size 3", "'size' is not one of zone"),
        ("request 1 at 0.5 view zone 7", "zone is not there"),
        ("fault at 1 explode proxy/0", "fault: not of the form"),
        ("fault at 1 kill node/0", "'node/0' is not proxy/NUMBER or backend/NUMBER or discovery/NUMBER"),
        ("fault at 1 slow proxy/0", "'proxy/0' is not backend/NUMBER"),
        ("fault at 1 kill proxy/9", "proxy/9: there are 1"),
        ("fault at 1 kill proxy/0 for", "'for' has no value"),
        ("shape backends 0", "backends: must be above 0"),
        ("shape backends 100000", "at most"),
        ("link cut 1", "cut is under 0.95"),
    ],
)
def test_a_parse_error_names_its_line(line: str, message: str) -> None:
    with pytest.raises(ConfigError) as error:
        script.parse_plan(f"# first\n{line}\n", "x.world")
    assert str(error.value).startswith("x.world:2: ") and message in str(error.value)


def test_a_request_number_that_is_used_twice_is_rejected() -> None:
    with pytest.raises(ConfigError, match="two requests have one number"):
        script.parse_plan("request 1 at 0.5 view\nrequest 2 at 0.6 view\nrequest 1 at 0.7 view\n")
