"""The language of faults: what is drawn can be written, edited and read; what can't be read is named."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cometusher.config import ConfigError
from cometusher.simulation import script


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 10**9), st.sampled_from(["any", *script.WORLDS]))
def test_what_is_drawn_is_read_again_as_it_was(seed: int, world: str) -> None:
    plan = script.draw_plan(seed, world)
    assert script.parse_plan(script.format_plan(plan)) == plan
    assert script.draw_plan(seed, world) == plan
    assert world in ("any", plan.world)


def test_every_fault_is_drawn_some_time() -> None:
    seen = {fault.what for seed in range(300) for fault in script.draw_plan(seed).faults}
    assert seen == set(script.FAULT_KINDS)


def test_two_faults_of_one_tick_are_drawn_and_keep_their_order() -> None:
    pairs = 0
    for seed in range(100):
        plan = script.draw_plan(seed)
        times = [fault.at for fault in plan.faults]
        pairs += len(times) - len(set(times))
        swapped = script.format_plan(plan).splitlines()
        assert times == sorted(times) and len(swapped) == 4 + len(plan.requests) + len(plan.faults)
    assert pairs > 20


def test_comments_and_empty_lines_say_nothing() -> None:
    plan = script.parse_plan("# a world\n\nworld one seed 3 seconds 2  # short\nrequest 1 at 0.5 view\n")
    assert plan.seed == 3 and plan.seconds == 2.0 and plan.requests == (script.PlannedRequest(1, 0.5, "view"),)


@pytest.mark.parametrize(
    ("line", "what"),
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
def test_what_cant_be_read_is_named_with_its_line(line: str, what: str) -> None:
    with pytest.raises(ConfigError) as fault:
        script.parse_plan(f"# first\n{line}\n", "x.world")
    assert str(fault.value).startswith("x.world:2: ") and what in str(fault.value)


def test_one_number_for_two_requests_is_refused() -> None:
    with pytest.raises(ConfigError, match="two requests have one number"):
        script.parse_plan("request 1 at 0.5 view\nrequest 2 at 0.6 view\nrequest 1 at 0.7 view\n")
