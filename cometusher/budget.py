"""What is scarce in one process: file descriptors, and the memory that request bodies take."""

from __future__ import annotations

from collections.abc import Callable

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, discovery, and some to spare
MANAGEMENT_DESCRIPTORS = 14  # where operators can call: their connections, and their listener
IDLE_PROCESS_MB = 28  # that the process takes by itself, with some to spare...
IDLE_TWO_PROCESSES_MB = 44  # ...and that two do, while one takes over from the other
TIGHT_FRACTION = 0.8  # of the descriptors, from which one that takes over is made room for
BACKEND_FRACTION = 0.25  # of the descriptors that callers can't take


class DescriptorBudget:
    """One budget of descriptors for both sides.

    Guards against EMFILE: past the limit the kernel refuses accepts and connects in ways that lose
    requests or spin. Callers can't take the last quarter, for a request that was accepted and finds no
    descriptor to a backend is of no use. Idle connections are closed to make room.
    """

    def __init__(self, sockets: int, reserved: int = RESERVED_DESCRIPTORS) -> None:
        self._reserved = reserved
        self.resize(sockets)
        self.used = 0
        self.caller_count = 0
        self.peak = 0
        self.evict_backend: Callable[[], bool] = lambda: False
        self.evict_caller: Callable[[], bool] = lambda: False
        self.on_free: list[Callable[[], None]] = []
        self.used_by_others: Callable[[], int] = lambda: 0  # in use by other processes of this proxy
        self.report_usage: Callable[[int], None] = lambda used: None  # lets them know
        self._waiting: list[Callable[[], None]] = []

    def resize(self, sockets: int) -> None:
        """Set the limit; what is in use beyond it goes as it ends."""
        self.limit = max(4, sockets - self._reserved)
        self.caller_limit = max(2, int(self.limit * (1.0 - BACKEND_FRACTION)))

    def _acquire(self) -> None:
        self.used += 1
        self.peak = max(self.peak, self.used)
        self.report_usage(self.used)

    def _is_full(self) -> bool:
        return self.used + self.used_by_others() >= self.limit

    def is_tight(self) -> bool:
        """Whether hardly any is left for the other processes of this proxy."""
        others = self.used_by_others()
        return others > 0 and self.used + others > TIGHT_FRACTION * self.limit

    def acquire_caller(self) -> bool:
        """Take one for a connection that is about to be accepted."""
        if self.caller_count >= self.caller_limit or self._is_full():
            # An eviction frees its descriptor when its connection has closed, not at once.
            if self.caller_count >= self.caller_limit or not self.evict_backend():
                self.evict_caller()
            return False
        self.caller_count += 1
        self._acquire()
        return True

    def acquire_backend(self, later: Callable[[], None]) -> bool:
        """Take one for a connection to a backend, or have `later` called when one may be free."""
        if not self._is_full():
            self._acquire()
            return True
        self._waiting.append(later)
        if not self.evict_backend():
            self.evict_caller()
        return False

    def has_room(self, count: int, callers: int = 0) -> bool:
        """Whether so many more could be taken, so many of them for callers."""
        return (
            self.used + self.used_by_others() + count <= self.limit
            and self.caller_count + callers <= self.caller_limit
        )

    def adopt(self, caller: bool) -> None:
        """Count one that was handed over and is here already."""
        self.caller_count += caller
        self._acquire()

    def release_caller(self) -> None:
        """Give back a caller's."""
        self.caller_count -= 1
        self._release()

    def release_backend(self) -> None:
        """Give back a backend's."""
        self._release()

    def _release(self) -> None:
        self.used -= 1
        self.report_usage(self.used)
        # All of them: one that has given up meanwhile would swallow the only call.
        waiting, self._waiting = self._waiting, []
        for later in waiting:
            later()
        for callback in self.on_free:
            callback()


class BodyMemoryBudget:
    """Bytes that request bodies may take, all callers together.

    Guards against running out of memory by many bodies at once. A body's whole announced length is set
    aside when its head has come, so that no body that was let in waits for another. What can't be set aside
    is turned away; in harm's way are callers with large bodies while others hold all the room.
    """

    def __init__(self, memory_mb: int, idle_mb: int = IDLE_PROCESS_MB) -> None:
        self._idle_mb = idle_mb
        self.resize(memory_mb)
        self.used = 0
        self.peak = 0
        self.used_by_others: Callable[[], int] = lambda: 0  # held by other processes of this proxy
        self.report_usage: Callable[[int], None] = lambda used: None  # lets them know

    def resize(self, memory_mb: int) -> None:
        """Set the limit: a third of what the idle process leaves, as a body is copied once to be sent on."""
        self.limit = max(2, (memory_mb - self._idle_mb) // 3) * 1024 * 1024

    def reserve(self, count: int) -> bool:
        """Set bytes aside, if there is room."""
        if self.used + self.used_by_others() + count > self.limit:
            return False
        self.used += count
        self.peak = max(self.peak, self.used)
        self.report_usage(self.used)
        return True

    def release(self, count: int) -> None:
        """Give them back."""
        self.used -= count
        self.report_usage(self.used)
