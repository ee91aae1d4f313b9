"""What the watch saw, kept in a file, and judged again with other thresholds.

One line of JSON a look: the moment, how long after the last look it was due, how many instances are wanted, and for
each process its name, generation and evidence. The file is bounded: what no longer fits is not kept, and that is said
once. The decisions are sans-I/O, so what they would have done with other thresholds is exactly what they do with the
same evidence; what followed from an act (a process that was replaced) is not in it.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping
from dataclasses import astuple, dataclass, replace
from pathlib import Path

import orjson

from weldroute.failure_detector import Decision, FailureDetector, FailureDetectorPolicy, Lifecycle, Observation
from weldroute.outlier_detection import Key

log = logging.getLogger("cometusher.fleet.evidence")  # the `subsystem` of its log records

FLUSH_LINES = 64  # that are written at once


@dataclass(frozen=True, slots=True)
class ObservationRound:
    """All that one look saw."""

    observed_at: float  # seconds of the machine's clock
    interval: float
    wanted_count: int
    observations: Mapping[Key, Observation]


class ObservationRecorder:
    """Keeps looks, as far as there is room."""

    def __init__(self, path: Path, size_limit: int) -> None:
        self._path = path
        self._bytes_left = size_limit  # bytes
        self._lines: list[bytes] = []
        path.write_bytes(b"")

    def record(self, round_: ObservationRound) -> None:
        """One more."""
        if self._bytes_left <= 0:
            return
        rows = [
            [*key, *astuple(observation)] for key, observation in round_.observations.items()
        ]  # an Enum is written as its value
        self._lines.append(orjson.dumps([round_.observed_at, round_.interval, round_.wanted_count, rows]) + b"\n")
        if len(self._lines) >= FLUSH_LINES:
            self.flush()

    def flush(self) -> None:
        """Write what is due."""
        data, self._lines = b"".join(self._lines), []
        if len(data) > self._bytes_left:
            self._bytes_left = 0
            log.warning("%s is full: no more evidence is kept", self._path)
            return
        self._bytes_left -= len(data)
        try:
            with self._path.open("ab") as file:
                file.write(data)
        except OSError as error:
            self._bytes_left = 0
            log.warning("no more evidence is kept: %s: %s", self._path, error.strerror)


def read_observations(path: Path) -> Iterator[ObservationRound]:
    """The looks of a file, in their order; one that was cut ends it.

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
    """What would be done, and when, with these thresholds."""
    detector = FailureDetector(policy)
    for round_ in rounds:
        for decision in detector.tick(round_.observed_at, round_.observations, round_.wanted_count, round_.interval):
            yield round_.observed_at, decision
