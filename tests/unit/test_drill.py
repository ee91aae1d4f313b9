"""Fault injection: scenario files are validated, schedules depend on the seed alone, and figures are computed."""

from __future__ import annotations

from pathlib import Path

import pytest

from cometusher.config import ConfigError
from cometusher.fault_injection.environment import BackendStats, RequestResult
from cometusher.fault_injection.report import bin_counts
from cometusher.fault_injection.runner import ACTIONS, time_to_full_service
from cometusher.fault_injection.scenario import ACTION_TARGETS, LINK_FAULTS, pick_targets, read_scenario, schedule
from standins import faulty_link

ROOT = Path(__file__).parent.parent.parent
HEADER = '[drill]\nname = "t"\nseed = 7\n[[fleet]]\nname = "a"\n[[fleet]]\nname = "b"\n'


def write_scenario(folder: Path, text: str) -> Path:
    path = folder / "t.toml"
    path.write_text(text)
    return path


@pytest.mark.parametrize("path", sorted((ROOT / "deploy" / "drills").glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_scenarios_are_valid_and_have_faults_and_expectations(path: Path) -> None:
    scenario = read_scenario(path)
    assert scenario.name == path.stem and scenario.expectations and scenario.faults


def test_the_seed_determines_the_schedule_and_the_targets(tmp_path: Path) -> None:
    fault = '[[fault]]\nat = 1.0\nabout = 2.0\ndo = "stop"\nshare = 0.5\nlasts = 1.0\n'
    scenario = read_scenario(write_scenario(tmp_path, HEADER + 3 * fault))
    first, second = schedule(scenario), schedule(scenario)
    assert first == second and [event.time for event in first] == sorted(event.time for event in first)
    assert len(first) == 6 and sum(event.undo for event in first) == 3
    names = [f"p{index}" for index in range(10)]
    for event in first:
        assert pick_targets(event, names) == pick_targets(event, names) and len(pick_targets(event, names)) == 5
    assert all(
        pick_targets(drawn, names) == pick_targets(same, names) for drawn, same in zip(first, second, strict=True)
    )
    other = read_scenario(write_scenario(tmp_path, (HEADER + 3 * fault).replace("seed = 7", "seed = 8")))
    assert schedule(other) != first


@pytest.mark.parametrize(
    ("text", "location"),
    [
        ("", "fleet: at least one is required"),
        (HEADER + '[[fault]]\ndo = "explode"\n', r"t.toml:9: fault\[0\].do"),
        (HEADER + "[[fault]]\nat = 1.0\n", r"fault\[0\].do: missing"),
        (HEADER + '[[fault]]\ndo = "kill"\nfleet = "c"\n', r"t.toml:10: fault\[0\].fleet"),
        (HEADER + '[[fault]]\ndo = "link"\n', r"fault\[0\].link"),
        (HEADER + '[[fault]]\ndo = "kill"\nlink = "caller"\n', r"fault\[0\].link"),
        (HEADER + '[[fault]]\ndo = "kill"\nshare = 2.0\n', r"share"),
        (HEADER + '[[expect]]\nfigure = "luck"\n', r"t.toml:9: expect\[0\].figure"),
        (HEADER + '[[fleet]]\nname = "a"\n', "twice"),
        (HEADER + "[load]\nrates = 3\n", "did you mean rate"),
    ],
)
def test_invalid_files_are_rejected_with_file_line_and_key(tmp_path: Path, text: str, location: str) -> None:
    with pytest.raises(ConfigError, match=location):
        read_scenario(write_scenario(tmp_path, text))


def test_every_action_and_link_fault_is_implemented() -> None:
    assert set(ACTION_TARGETS) == set(ACTIONS) and set(LINK_FAULTS) == set(faulty_link.LINK_FAULTS)


def test_full_service_begins_after_the_last_request_that_was_not_served_promptly() -> None:
    results = [
        RequestResult(0.5, 0.6, "refused"),
        RequestResult(1.0, 1.1, "served"),
        RequestResult(1.5, 2.5, "served"),
        RequestResult(2.0, 2.1, "served"),
    ]
    assert time_to_full_service(results, 1.0) == 0.5
    assert time_to_full_service(results, 1.8) == 0.0


def test_peaks_and_bins_count_the_times_within_them() -> None:
    stats = BackendStats(connect_times=[0.0, 0.1, 0.15, 0.5, 0.52, 0.54, 0.56, 2.0])
    assert stats.peak_connects(0.0, 1.0) == 4 and stats.peak_connects(0.0, 0.3) == 3
    assert bin_counts([0.0, 0.1, 0.25, 9.0], 1.0)[:2] == [2, 1]
