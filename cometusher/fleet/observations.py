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

    time: float  # seconds of the machine's clock
    interval: float
    wanted_count: int
    observations: Mapping[Key, Observation]


class ObservationRecorder:
    """Keeps looks, as far as there is room."""

    def __init__(self, path: Path, most: int) -> None:
        self._path = path
        self._bytes_left = most  # bytes
        self._lines: list[bytes] = []
        path.write_bytes(b"")

    def record(self, look: ObservationRound) -> None:
        """One more."""
        if self._bytes_left <= 0:
            return
        rows = [
            [*key, *astuple(evidence)] for key, evidence in look.observations.items()
        ]  # an Enum is written as its value
        self._lines.append(orjson.dumps([look.time, look.interval, look.wanted_count, rows]) + b"\n")
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
        except OSError as fault:
            self._bytes_left = 0
            log.warning("no more evidence is kept: %s: %s", self._path, fault.strerror)


def read_observations(path: Path) -> Iterator[ObservationRound]:
    """The looks of a file, in their order; one that was cut ends it.

    Raises OSError, and ValueError naming the line.
    """
    for number, line in enumerate(path.read_bytes().splitlines(keepends=True), 1):
        if not line.endswith(b"\n"):
            return
        try:
            at, every, wanted, rows = orjson.loads(line)
            seen = {
                (str(name), int(generation)): replace(Observation(*rest), lifecycle=Lifecycle(life))
                for name, generation, *rest, life in rows
            }
            yield ObservationRound(float(at), float(every), int(wanted), seen)
        except (orjson.JSONDecodeError, TypeError, ValueError) as fault:
            raise ValueError(f"{path}:{number}: {fault}") from None


def replay_detector(
    looks: Iterator[ObservationRound], policy: FailureDetectorPolicy
) -> Iterator[tuple[float, Decision]]:
    """What would be done, and when, with these thresholds."""
    vigil = FailureDetector(policy)
    for look in looks:
        for act in vigil.tick(look.time, look.observations, look.wanted_count, look.interval):
            yield look.time, act
