"""Measures how much of a request's time may have passed while its body was held back.

A request's time counts from its last byte. While a proxy does not read a body, because its backend takes no more of
it, that byte may be waiting already, in the system of either side, and nothing on this side shows whether it is. The
last byte arrives at most as much later as reading was paused in all, so this sum is the part of the request's time
that may be used up. Reading that has emptied the connection twice, some time apart, shows that no byte waits any
more: what comes from then on was not delayed, and the sum starts again at 0.

Sans I/O. Times are seconds; `now` is any clock that never goes backwards.
"""

from __future__ import annotations

#: Seconds between two reads that emptied the connection; a byte that the caller's system held back arrives sooner.
CATCH_UP_TIME = 0.05


class BodyDelay:
    """The time for which one body was held back."""

    __slots__ = ("_earlier", "_empty_since", "_held_since", "_paused")

    def __init__(self) -> None:
        self._earlier = 0.0  # in spans that are over
        self._held_since: float | None = None
        self._paused = False
        self._empty_since: float | None = None  # the first read since the last pause that left nothing unread

    @property
    def is_held(self) -> bool:
        """Whether a part of the body may be waiting to be read."""
        return self._held_since is not None

    @property
    def may_catch_up(self) -> bool:
        """Whether `on_emptied` or `on_left_unread` can change anything."""
        return self._earlier > 0.0 and not self._paused

    def pause(self, now: float) -> None:
        """Reading is paused."""
        self._paused = True
        if self._held_since is None:
            self._held_since = now
        self._empty_since = None

    def resume(self, now: float, waiting: bool) -> None:
        """Reading is allowed again; `waiting`: there is something to read, so that the span ends with that read."""
        self._paused = False
        if not waiting:
            self._end_span(now)

    def on_read(self, now: float) -> None:
        """The next part of the body is being read."""
        if not self._paused:
            self._end_span(now)

    def _end_span(self, now: float) -> None:
        if self._held_since is not None:
            self._earlier += now - self._held_since
            self._held_since = None

    def on_left_unread(self) -> None:
        """A read has left something unread."""
        self._empty_since = None

    def on_emptied(self, now: float) -> None:
        """A read has left nothing unread."""
        if self._empty_since is None:
            self._empty_since = now
        elif now - self._empty_since >= CATCH_UP_TIME:
            self._earlier = 0.0

    def total(self, now: float) -> float:
        """Seconds for which the last byte of the body may have been held back."""
        return self._earlier + (now - self._held_since if self._held_since is not None else 0.0)
