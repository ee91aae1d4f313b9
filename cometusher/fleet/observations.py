"""Records the failure detector's observations in a file, and replays them with other thresholds.

Each round of observations is one line of JSON: the time, the interval since the previous round, how many instances
should run, and for each process its name, generation and observation. The file is bounded: rounds that no longer fit
are not recorded, which is logged once. The detector does no I/O, so a replay shows exactly what it would have decided
with other thresholds on the same observations; the consequences of another decision (a process that is replaced) are
not part of them.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping
from dataclasses import astuple, dataclass, replace
from pathlib import Path

import orjson

from weldroute.failure_detector import Decision, FailureDetector, FailureDetectorPolicy, Lifecycle, Observation
from weldroute.outlier_detection import Key

log = logging.getLogger("cometusher.fleet.evidence")  # operators' tools know the log records by this name

FLUSH_LINES = 64  # lines that are written at once


@dataclass(frozen=True, slots=True)
class ObservationRound:
    """The observations of all processes at one time."""

    observed_at: float  # seconds of the machine's monotonic clock
    interval: float
    wanted_count: int
    observations: Mapping[Key, Observation]


class ObservationRecorder:
    """Records rounds of observations until the file has reached its size limit."""

    def __init__(self, path: Path, size_limit: int) -> None:
        self._path = path
        self._bytes_left = size_limit  # bytes
        self._lines: list[bytes] = []
        path.write_bytes(b"")

    def record(self, round_: ObservationRound) -> None:
        """Record one round; it is written with the next flush."""
        if self._bytes_left <= 0:
            return
        rows = [
            [*key, *astuple(observation)] for key, observation in round_.observations.items()
        ]  # orjson writes an enum member as its value
        self._lines.append(orjson.dumps([round_.observed_at, round_.interval, round_.wanted_count, rows]) + b"\n")
        if len(self._lines) >= FLUSH_LINES:
            self.flush()

    def flush(self) -> None:
        """Write the lines that are pending; logs a full or unwritable file and stops recording."""
        data, self._lines = b"".join(self._lines), []
        if len(data) > self._bytes_left:
            self._bytes_left = 0
            log.warning("%s has reached its size limit: recording of observations stops", self._path)
            return
        self._bytes_left -= len(data)
        try:
            with self._path.open("ab") as file:
                file.write(data)
        except OSError as error:
            self._bytes_left = 0
            log.warning("recording of observations stops: %s: %s", self._path, error.strerror)


def read_observations(path: Path) -> Iterator[ObservationRound]:
    """Yield the rounds of a file in order, up to an incomplete last line.

    Raises OSError, and ValueError naming the line.
    """
    for number, line in enumerate(path.read_bytes().splitlines(keepends=True), 1):
        if not line.endswith(b"\n"):
            return
        try:
            observed_at, interval, wanted_count, rows = orjson.loads(line)
            observations = {
                (str(name), int(generation)): replace(Observation(*values), lifecycle=Lifecycle(lifecycle))
                for name, generation, *values, lifecycle in rows
            }
            yield ObservationRound(float(observed_at), float(interval), int(wanted_count), observations)
        except (orjson.JSONDecodeError, TypeError, ValueError) as error:
            raise ValueError(f"{path}:{number}: {error}") from None


def replay_detector(
    rounds: Iterator[ObservationRound], policy: FailureDetectorPolicy
) -> Iterator[tuple[float, Decision]]:
    """Yield the decisions of a failure detector with these thresholds, each with its time."""
    detector = FailureDetector(policy)
    for round_ in rounds:
        for decision in detector.tick(round_.observed_at, round_.observations, round_.wanted_count, round_.interval):
            yield round_.observed_at, decision
