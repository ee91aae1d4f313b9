"""The rate limit of the log."""

from __future__ import annotations

import logging

from cometusher.logs import RateLimit


def test_frequent_cause_does_not_hide_a_rare_one() -> None:
    """Guards against a log in which the many ends of idle connections suppress the few of broken answers."""
    limit = RateLimit(per_second=0.0, burst=3.0)

    def passes(cause: str) -> bool:
        record = logging.LogRecord("n", logging.INFO, "backends.py", 7, "ended", None, None)
        record.cause = cause
        return limit.filter(record)

    assert [passes("NOT_NEEDED") for _ in range(5)] == [True, True, True, False, False]
    assert passes("ANSWER_BROKEN")
