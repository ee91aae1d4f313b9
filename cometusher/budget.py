"""Budgets of one process: file descriptors, and memory."""

from __future__ import annotations

from collections.abc import Callable

RESERVED_DESCRIPTORS = 24  # standard streams, event loop, listener, discovery, and a reserve
MANAGEMENT_DESCRIPTORS = 14  # connections and listener of the management address
IDLE_PROCESS_MB = 28  # memory of an idle process, with a reserve
IDLE_TWO_PROCESSES_MB = 44  # memory of two idle processes during a hot restart, with a reserve
CALLER_BYTES = 4 * 1024  # memory of a caller's connection at rest, with a short head
CALLERS_FRACTION = 0.375  # share of the memory beyond an idle process that callers' connections may take
MIN_CALLERS = 256  # connections that are accepted however little memory there is
REQUEST_BYTES = 12 * 1024  # memory of an open request and its attempt, with the parts of an answer in transit
REQUESTS_FRACTION = 0.25  # share of the memory beyond an idle process that open requests may take
MIN_REQUESTS = 64  # open requests that are accepted however little memory there is
SCARCE_FRACTION = 0.5  # share of the memory budget in use above which answers are passed on in small pieces
TIGHT_FRACTION = 0.8  # share of descriptors in use above which the old process makes room for its successor
IDLE_FREE_FRACTION = 0.1  # share of descriptors that must be free for a further idle connection to be kept
BACKEND_FRACTION = 0.25  # share of descriptors that callers can't use


class DescriptorBudget:
    """One budget of descriptors for the connections of callers and of backends.

    Avoids EMFILE: beyond the limit the kernel refuses accepts and connects in ways that lose requests or cause a
    busy loop. Callers can't use the last quarter, as an accepted request that finds no descriptor for a backend
    fails. Idle connections are closed to make room.
    """

    def __init__(self, sockets: int, reserved: int = RESERVED_DESCRIPTORS, max_callers: int = 2**31) -> None:
        self._reserved = reserved
        self.resize(sockets, max_callers)
        self.used = 0
        self.caller_count = 0
        self.peak = 0
        self.evict_backend: Callable[[], bool] = lambda: False
        self.evict_caller: Callable[[], bool] = lambda: False
        self.on_free: list[Callable[[], None]] = []
        self.used_by_others: Callable[[], int] = lambda: 0  # by other processes of this proxy
        self.report_usage: Callable[[int], None] = lambda used: None  # to those processes
        self._waiting: list[Callable[[], None]] = []

    def resize(self, sockets: int, max_callers: int = 2**31) -> None:
        """Sets the limits; descriptors in use beyond them are released as their connections end."""
        self.limit = max(4, sockets - self._reserved)
        self.caller_limit = min(max_callers, max(2, int(self.limit * (1.0 - BACKEND_FRACTION))))

    def _acquire(self) -> None:
        self.used += 1
        self.peak = max(self.peak, self.used)
        self.report_usage(self.used)

    def _is_full(self) -> bool:
        return self.used + self.used_by_others() >= self.limit

    def is_tight(self) -> bool:
        """Whether few descriptors are left for the other processes of this proxy."""
        others = self.used_by_others()
        return others > 0 and self.used + others > TIGHT_FRACTION * self.limit

    def allows_idle(self) -> bool:
        """Whether a connection may stay open without a use, rather than be closed for others to open."""
        return self.used + self.used_by_others() <= (1.0 - IDLE_FREE_FRACTION) * self.limit

    def acquire_caller(self) -> bool:
        """Acquires one for a connection that is about to be accepted; returns False if none is free."""
        if self.caller_count >= self.caller_limit or self._is_full():
            # An evicted connection releases its descriptor when it has closed, not at once.
            if self.caller_count >= self.caller_limit or not self.evict_backend():
                self.evict_caller()
            return False
        self.caller_count += 1
        self._acquire()
        return True

    def acquire_backend(self, on_available: Callable[[], None]) -> bool:
        """Acquires one for a connection to a backend, or returns False and later calls `on_available`."""
        if not self._is_full():
            self._acquire()
            return True
        self._waiting.append(on_available)
        if not self.evict_backend():
            self.evict_caller()
        return False

    def has_room(self, count: int, callers: int = 0) -> bool:
        """Whether `count` more are free, of which `callers` are for callers."""
        return (
            self.used + self.used_by_others() + count <= self.limit
            and self.caller_count + callers <= self.caller_limit
        )

    def adopt(self, caller: bool) -> None:
        """Counts one that another process has passed to this one already."""
        self.caller_count += caller
        self._acquire()

    def release_caller(self) -> None:
        """Releases the descriptor of a caller's connection."""
        self.caller_count -= 1
        self._release()

    def release_backend(self) -> None:
        """Releases the descriptor of a connection to a backend."""
        self._release()

    def _release(self) -> None:
        self.used -= 1
        self.report_usage(self.used)
        self._on_released()

    def check_waiting(self) -> None:
        """Lets those that wait try again if other processes have released some, which nothing reports here."""
        if self._waiting and not self._is_full():
            self._on_released()

    def _on_released(self) -> None:
        # All are called: a single call could go to a waiter that has given up.
        waiting, self._waiting = self._waiting, []
        for on_available in waiting:
            on_available()
        for on_free in self.on_free:
            on_free()


class MemoryBudget:
    """Limits the bytes of all long heads, request bodies and answers together, and what else peers can take.

    Many bodies at once must not exhaust the memory. A body's announced length is reserved as soon as its head has
    arrived, so that no accepted body waits for another. Requests without a reservation are rejected; this affects
    callers with large bodies while others hold all the memory. What callers leave unread of their answers is counted
    as well, but can't be turned away: while memory is scarce, answers are passed on in small pieces.
    """

    def __init__(self, memory_mb: int, idle_mb: int = IDLE_PROCESS_MB) -> None:
        self._idle_mb = idle_mb
        self.resize(memory_mb)
        self.used = 0
        self.peak = 0
        self.used_by_others: Callable[[], int] = lambda: 0  # by other processes of this proxy
        self.report_usage: Callable[[int], None] = lambda used: None  # to those processes

    def resize(self, memory_mb: int) -> None:
        """Sets the limits: a third of what an idle process leaves for bytes, as a body is copied to be sent."""
        spare_mb = max(0, memory_mb - self._idle_mb)
        self.limit = max(2, spare_mb // 3) * 1024 * 1024
        spare_bytes = spare_mb * 1024 * 1024
        self.max_callers = max(MIN_CALLERS, int(CALLERS_FRACTION * spare_bytes) // CALLER_BYTES)
        self.max_requests = max(MIN_REQUESTS, int(REQUESTS_FRACTION * spare_bytes) // REQUEST_BYTES)

    def reserve(self, count: int) -> bool:
        """Reserves bytes; returns False if there is no room."""
        if count > 0 and self.used + self.used_by_others() + count > self.limit:
            return False
        if count:
            self.count(count)
        return True

    def count(self, count: int) -> None:
        """Counts bytes that are in use whether or not there is room; fewer than before if negative."""
        self.used += count
        self.peak = max(self.peak, self.used)
        self.report_usage(self.used)

    @property
    def is_scarce(self) -> bool:
        """Whether little of the budget is left."""
        return self.used + self.used_by_others() > SCARCE_FRACTION * self.limit

    def release(self, count: int) -> None:
        """Releases reserved bytes."""
        if count:
            self.used -= count
            self.report_usage(self.used)
