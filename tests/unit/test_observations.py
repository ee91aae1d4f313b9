"""Evidence that was kept is judged again exactly as it was the first time, and its file is bounded."""

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

EVERY = 0.05


def looks(count: int) -> list[ObservationRound]:
    """Four processes; one of them falls silent."""
    found = []
    for i in range(count):
        now = 10.0 + EVERY * i
        seen: dict[Key, Observation] = {
            (f"p{n}", 1): Observation(now, cpu_time=0.001 * i, progress=i) for n in range(4)
        }
        if i > 100:
            seen["p3", 1] = Observation(10.0 + EVERY * 100, cpu_time=0.1, progress=100)
        found.append(ObservationRound(now, EVERY, 4, seen))
    return found


def test_what_was_kept_is_judged_as_it_was_and_otherwise_by_other_thresholds(tmp_path: Path) -> None:
    path, seen = tmp_path / "evidence", looks(200)
    recorder, vigil = ObservationRecorder(path, 2**20), FailureDetector(FailureDetectorPolicy())
    first: list[tuple[float, Decision]] = []
    for look in seen:
        recorder.record(look)
        first += [
            (look.observed_at, act)
            for act in vigil.tick(look.observed_at, look.observations, look.wanted_count, look.interval)
        ]
    recorder.flush()
    assert list(read_observations(path)) == seen
    assert [act.response for _, act in first] == [Response.DIVERT_ACCEPTS, Response.REPLACE]
    assert list(replay_detector(read_observations(path), FailureDetectorPolicy())) == first
    later = list(replay_detector(read_observations(path), FailureDetectorPolicy(suspect=60.0, certain=80.0)))
    assert later[0][0] > first[0][0]


def test_a_file_is_never_larger_than_it_may_be(tmp_path: Path) -> None:
    path = tmp_path / "evidence"
    recorder = ObservationRecorder(path, 60_000)
    for look in looks(20 * FLUSH_LINES):
        recorder.record(look)
    recorder.flush()
    assert 20_000 < path.stat().st_size <= 60_000
    assert len(list(read_observations(path))) % FLUSH_LINES == 0


def test_a_line_that_was_cut_ends_it_and_one_that_is_nonsense_is_named(tmp_path: Path) -> None:
    path = tmp_path / "evidence"
    recorder = ObservationRecorder(path, 2**20)
    for look in looks(FLUSH_LINES):
        recorder.record(look)
    data = path.read_bytes()
    path.write_bytes(data[:-7])
    assert len(list(read_observations(path))) == FLUSH_LINES - 1
    lines = data.splitlines(keepends=True)
    lines[4] = b'[1, 2, 3, [["p0", 1, "x", 2, 3, 4, 5, 6, 7, 8, 9]]]\n'
    path.write_bytes(b"".join(lines))
    with pytest.raises(ValueError, match=r"evidence:5: "):
        list(read_observations(path))


def test_a_folder_that_is_gone_ends_the_keeping_and_nothing_else(tmp_path: Path) -> None:
    path = tmp_path / "there" / "evidence"
    path.parent.mkdir()
    recorder = ObservationRecorder(path, 2**20)
    path.unlink()
    path.parent.rmdir()
    for look in looks(3 * FLUSH_LINES):
        recorder.record(look)
    assert not path.exists()
