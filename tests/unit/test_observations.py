"""Recorded observations replay to the same decisions, and the file that holds them is bounded."""

from __future__ import annotations

from pathlib import Path

import pytest

from cometusher.fleet.observations import (
    FLUSH_LINES,
    ObservationRecorder,
    ObservationRound,
    read_observations,
    replay_detector,
)
from weldroute.failure_detector import Decision, FailureDetector, FailureDetectorPolicy, Observation, Response
from weldroute.outlier_detection import Key

INTERVAL = 0.05


def make_rounds(count: int) -> list[ObservationRound]:
    """Rounds of four processes; one of them stops its heartbeat after round 100."""
    rounds = []
    for i in range(count):
        now = 10.0 + INTERVAL * i
        observations: dict[Key, Observation] = {
            (f"p{n}", 1): Observation(now, cpu_time=0.001 * i, progress=i) for n in range(4)
        }
        if i > 100:
            observations["p3", 1] = Observation(10.0 + INTERVAL * 100, cpu_time=0.1, progress=100)
        rounds.append(ObservationRound(now, INTERVAL, 4, observations))
    return rounds


def test_replay_repeats_decisions_and_differs_with_other_thresholds(tmp_path: Path) -> None:
    path, rounds = tmp_path / "evidence", make_rounds(200)
    recorder, detector = ObservationRecorder(path, 2**20), FailureDetector(FailureDetectorPolicy())
    expected: list[tuple[float, Decision]] = []
    for round_ in rounds:
        recorder.record(round_)
        expected += [
            (round_.observed_at, decision)
            for decision in detector.tick(
                round_.observed_at, round_.observations, round_.wanted_count, round_.interval
            )
        ]
    recorder.flush()
    assert list(read_observations(path)) == rounds
    assert [decision.response for _, decision in expected] == [Response.DIVERT_ACCEPTS, Response.REPLACE]
    assert list(replay_detector(read_observations(path), FailureDetectorPolicy())) == expected
    later = list(replay_detector(read_observations(path), FailureDetectorPolicy(suspect=60.0, certain=80.0)))
    assert later[0][0] > expected[0][0]


def test_file_stays_within_its_size_limit(tmp_path: Path) -> None:
    path = tmp_path / "evidence"
    recorder = ObservationRecorder(path, 60_000)
    for round_ in make_rounds(20 * FLUSH_LINES):
        recorder.record(round_)
    recorder.flush()
    assert 20_000 < path.stat().st_size <= 60_000
    assert len(list(read_observations(path))) % FLUSH_LINES == 0


def test_incomplete_last_line_ends_reading_and_an_invalid_line_is_named(tmp_path: Path) -> None:
    path = tmp_path / "evidence"
    recorder = ObservationRecorder(path, 2**20)
    for round_ in make_rounds(FLUSH_LINES):
        recorder.record(round_)
    data = path.read_bytes()
    path.write_bytes(data[:-7])
    assert len(list(read_observations(path))) == FLUSH_LINES - 1
    lines = data.splitlines(keepends=True)
    lines[4] = b'[1, 2, 3, [["p0", 1, "x", 2, 3, 4, 5, 6, 7, 8, 9]]]\n'
    path.write_bytes(b"".join(lines))
    with pytest.raises(ValueError, match=r"evidence:5: "):
        list(read_observations(path))


def test_missing_folder_stops_the_recording_only(tmp_path: Path) -> None:
    path = tmp_path / "there" / "evidence"
    path.parent.mkdir()
    recorder = ObservationRecorder(path, 2**20)
    path.unlink()
    path.parent.rmdir()
    for round_ in make_rounds(3 * FLUSH_LINES):
        recorder.record(round_)
    assert not path.exists()
