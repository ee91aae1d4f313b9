"""Detects how long this process did not run, from the gaps between checks at a regular interval.

A process may be stopped, or kept busy by a long computation, while its peers go on: what they sent meanwhile waits in
the system. Limits on how long a peer may be silent or slow must not count that time.

Sans I/O. Times are seconds; `now` is any clock that never goes backwards.
"""

from __future__ import annotations


class HoldUpDetector:
    """Compares the time between two checks with the interval at which they are due."""

    __slots__ = ("_interval", "_last_check_at", "_tolerance")

    def __init__(self, interval: float, tolerance: float) -> None:
        self._interval = interval
        self._tolerance = tolerance  # seconds by which a check may be late without a hold-up
        self._last_check_at: float | None = None

    def check(self, now: float) -> float:
        """Return for how long the process did not run since the last check; 0 within the tolerance."""
        last_check_at, self._last_check_at = self._last_check_at, now
        if last_check_at is None:
            return 0.0
        late = now - last_check_at - self._interval
        return late if late > self._tolerance else 0.0
