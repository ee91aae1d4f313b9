"""Decides what happens to an answer that has begun, is not complete, and is not passed on to its caller yet.

An answer that pauses may be sound and slow, or may never go on; nothing tells the two apart while it lasts. So a
slow attempt is kept while another one runs beside it, and the first complete answer is the request's. If neither is
faster, the backends are slow, and the slow answer is streamed, where it may be: it is the best there is.

Sans I/O. Times are seconds; `now` is any clock that never goes backwards.
"""

from __future__ import annotations

from enum import Enum

#: Seconds that another attempt has to overtake a slow one: a connection and an answer of usual length.
ALTERNATIVE_TIME = 0.6
#: Seconds before the deadline from which a sound answer is not held back: callers may leave at the deadline.
DEADLINE_LEAD = 0.15


class AnswerStep(Enum):
    """What to do next with a partial answer."""

    WAIT = "wait"
    SEEK_ALTERNATIVE = "start another attempt beside it"
    STREAM = "pass it on as it comes"


class PartialAnswer:
    """One partial answer: whether it is slow, and since when another attempt may overtake it."""

    __slots__ = ("_slow_since",)

    def __init__(self) -> None:
        self._slow_since: float | None = None

    @property
    def is_slow(self) -> bool:
        """Whether it has paused, or taken too long, at least once."""
        return self._slow_since is not None

    def next_step(self, now: float, pauses: bool, may_stream: bool, time_left: float) -> AnswerStep:
        """The next step for an answer that pauses or not at this time, and that may be streamed or not.

        `time_left` is the time until the deadline of its request.
        """
        if may_stream and time_left <= DEADLINE_LEAD:
            return AnswerStep.STREAM
        if self._slow_since is None:
            if not pauses:
                return AnswerStep.WAIT
            self._slow_since = now
            return AnswerStep.SEEK_ALTERNATIVE
        if may_stream and now - self._slow_since >= ALTERNATIVE_TIME:
            return AnswerStep.STREAM
        return AnswerStep.WAIT
