"""What is scarce in one process: file descriptors, and the memory that request bodies take."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, discovery, and some to spare
BACKEND_PART = 0.25  # of the descriptors that callers can't take


class Descriptors:
    """One budget of descriptors for both sides.

    Guards against EMFILE: past the limit the kernel refuses accepts and connects in ways that lose
    requests or spin. Callers can't take the last quarter, for a request that was accepted and finds no
    descriptor to a backend is of no use. Idle connections are closed to make room.
    """

    def __init__(self, sockets: int) -> None:
        self.resize(sockets)
        self.used = 0
        self.callers = 0
        self.peak = 0
        self.evict_backend: Callable[[], bool] = lambda: False
        self.evict_caller: Callable[[], bool] = lambda: False
        self.on_free: list[Callable[[], None]] = []
        self._waiting: list[Callable[[], None]] = []

    def resize(self, sockets: int) -> None:
        """Set the limit; what is in use beyond it goes as it ends."""
        self.limit = max(4, sockets - RESERVED_DESCRIPTORS)
        self.caller_limit = max(2, int(self.limit * (1.0 - BACKEND_PART)))

    def _take(self) -> None:
        self.used += 1
        self.peak = max(self.peak, self.used)

    def take_caller(self) -> bool:
        """Take one for a connection that is about to be accepted."""
        if self.callers >= self.caller_limit or self.used >= self.limit:
            # An eviction frees its descriptor when its connection has closed, not at once.
            if self.callers >= self.caller_limit or not self.evict_backend():
                self.evict_caller()
            return False
        self.callers += 1
        self._take()
        return True

    def take_backend(self, later: Callable[[], None]) -> bool:
        """Take one for a connection to a backend, or have `later` called when one may be free."""
        if self.used < self.limit:
            self._take()
            return True
        self._waiting.append(later)
        if not self.evict_backend():
            self.evict_caller()
        return False

    def give_caller(self) -> None:
        """Give back a caller's."""
        self.callers -= 1
        self._give()

    def give_backend(self) -> None:
        """Give back a backend's."""
        self._give()

    def _give(self) -> None:
        self.used -= 1
        # All of them: one that has given up meanwhile would swallow the only call.
        waiting, self._waiting = self._waiting, []
        for later in waiting:
            later()
        for callback in self.on_free:
            callback()


class Uploader(Protocol):
    """A connection whose request body is being read."""

    def pause_upload(self) -> None:
        """Stop reading."""

    def resume_upload(self) -> None:
        """Read on."""


class BodyMemory:
    """Bytes held in large request bodies.

    Guards against running out of memory (reading stops while the budget is used up) and against a
    deadlock of half-read bodies that wait for each other: the first in line always reads on, for which
    the room of one whole body is kept free. Bodies up to `SMALL` are never held up: they are taken when
    the kernel has their last byte, and would be late.
    """

    SMALL = 64 * 1024

    def __init__(self, memory_mb: int) -> None:
        self.resize(memory_mb)
        self.used = 0
        self.peak = 0
        self._uploaders: dict[Uploader, None] = {}  # in order of arrival
        self._paused = False

    def resize(self, memory_mb: int) -> None:
        """Set the limit."""
        self.limit = max(1, min(memory_mb // 4, memory_mb - 144)) * 1024 * 1024

    def join(self, uploader: Uploader) -> None:
        """A large body is being read."""
        if uploader not in self._uploaders:
            self._uploaders[uploader] = None
            if self._paused and len(self._uploaders) > 1:
                uploader.pause_upload()

    def leave(self, uploader: Uploader) -> None:
        """It is read, or given up."""
        if uploader in self._uploaders:
            del self._uploaders[uploader]
            self._settle()

    def add(self, count: int) -> None:
        """Bytes were read (or, below 0, let go)."""
        self.used += count
        self.peak = max(self.peak, self.used)
        self._settle()

    def _settle(self) -> None:
        if self._paused:
            if self.used < 0.8 * self.limit:
                self._paused = False
                for uploader in list(self._uploaders):
                    uploader.resume_upload()
            elif self._uploaders:
                next(iter(self._uploaders)).resume_upload()
        elif self.used >= self.limit:
            self._paused = True
            for uploader in list(self._uploaders)[1:]:
                uploader.pause_upload()
