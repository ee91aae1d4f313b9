"""Ids of requests that may have run, kept for some time after their end."""

from __future__ import annotations

from collections import OrderedDict

MAX_IDS = 2048
RETENTION = 60.0  # seconds


class RecentIds:
    """Recognizes a request that comes again under its id, which would run a second time.

    An id is new with every request, also with a client's retry, so only requests that should not run are recognized.
    Bounded: beyond MAX_IDS the oldest are forgotten.
    """

    def __init__(self) -> None:
        self._expires_at: OrderedDict[bytes, float] = OrderedDict()  # the oldest first

    def add(self, now: float, request_id: bytes) -> None:
        """Keep an id whose request has ended."""
        self._expire(now)
        self._expires_at[request_id] = now + RETENTION
        self._expires_at.move_to_end(request_id)
        if len(self._expires_at) > MAX_IDS:
            self._expires_at.popitem(last=False)

    def contains(self, now: float, request_id: bytes) -> bool:
        """Return whether an id is kept."""
        self._expire(now)
        return request_id in self._expires_at

    def _expire(self, now: float) -> None:
        while self._expires_at and next(iter(self._expires_at.values())) <= now:
            self._expires_at.popitem(last=False)
