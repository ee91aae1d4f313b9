"""A deterministic event loop for asyncio: time is virtual, and jumps to the next event.

It keeps asyncio's guarantees: callbacks run in the order in which they were registered, timers in the order of their
times, and an iteration of the loop runs what was ready when it began. The order of timers with the same time, which
asyncio leaves open, is drawn from the seed; two runs with one seed are equal.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import contextvars
import heapq
import math
import signal
import sys
from collections.abc import Callable, Coroutine, Generator
from random import Random
from types import FrameType
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from cometusher.simulation.network import Machine, VirtualNetwork

T = TypeVar("T")

#: The machine that the running code belongs to; tasks and callbacks inherit it with their context.
CURRENT_MACHINE: contextvars.ContextVar[Machine | None] = contextvars.ContextVar("machine", default=None)
STUCK_CPU_TIMEOUT = 4.0  # seconds of processor time after which a callback counts as one that never yields
MAX_STEPS_PER_INSTANT = 100_000  # callbacks at one instant, after which time counts as stuck


class Deadlock(Exception):
    """No callback is ready and no timer is set, but the awaited future is not done."""


class Stuck(BaseException):
    """A callback does not return, or time does not advance; the text says where.

    Not an Exception, so that code under test that catches Exception does not swallow it.
    """


#: Typed as Any: the abstract loop's methods that a simulation does not use (subprocesses, threads, signals, name
#: resolution) are left unimplemented, and raise NotImplementedError.
_LoopBase: Any = asyncio.AbstractEventLoop


class VirtualLoop(_LoopBase):  # type: ignore[misc]
    """The event loop of one simulation; not thread-safe, and without threads of its own."""

    def __init__(self, seed: int = 0) -> None:
        self.rng = Random(seed)
        self.network: VirtualNetwork | None = None
        self.unhandled_errors: list[dict[str, Any]] = []  # contexts that went to the exception handler
        self.steps = 0
        self._now = 0.0
        self._ready: collections.deque[asyncio.Handle] = collections.deque()
        self._timers: list[tuple[float, float, int, asyncio.TimerHandle]] = []
        self._timer_count = 0
        self._running = False
        self._closed = False
        self._stopping = False
        self._tasks: set[asyncio.Task[Any]] = set()
        self._watchdog_step = -1
        self._last_advance_step = 0  # the step at which time last advanced
        self._stuck_error: Stuck | None = None
        self.after_step: Callable[[], None] | None = None  # called after every callback
        self.dead_tasks: list[asyncio.Task[Any]] = []  # of dead processes: freed tasks would run their cleanup

    # ---- time ----------------------------------------------------------------------------

    def time(self) -> float:
        """Virtual seconds since the loop was made."""
        return self._now

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Run a callback in the next iteration."""
        self._check_open()
        handle = asyncio.Handle(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_soon_threadsafe(
        self, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """The same as `call_soon`: there are no threads."""
        return self.call_soon(callback, *args, context=context)

    def call_later(
        self, delay: float, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback after a delay in seconds."""
        return self.call_at(self._now + delay, callback, *args, context=context)

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.TimerHandle:
        """Run a callback at a time; the seed decides the order of callbacks with the same time."""
        self._check_open()
        machine = CURRENT_MACHINE.get() if context is None else context.get(CURRENT_MACHINE)
        if machine is not None and machine.timer_granularity:
            when = machine.timer_granularity * math.ceil(when / machine.timer_granularity - 1e-9)
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._timer_count += 1
        heapq.heappush(self._timers, (when, self.rng.random(), self._timer_count, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: cancelled timers are skipped when their time comes."""

    # ---- running -------------------------------------------------------------------------

    def _run_once(self) -> None:
        """Run what is ready; if nothing is, jump to the time of the next timer first."""
        while self._timers and self._timers[0][3].cancelled():
            heapq.heappop(self._timers)
        if not self._ready:
            if not self._timers:
                raise Deadlock("nothing is ready and no timer is set")
            if self._timers[0][0] > self._now:
                self._now, self._last_advance_step = self._timers[0][0], self.steps
        while self._timers and self._timers[0][0] <= self._now:
            handle = heapq.heappop(self._timers)[3]
            if not handle.cancelled():
                self._ready.append(handle)
        for _ in range(len(self._ready)):
            next_handle = self._ready.popleft()
            if next_handle.cancelled():
                continue
            machine = next_handle._context.get(CURRENT_MACHINE)  # type: ignore[attr-defined]
            if machine is not None and machine.stopped:
                machine.defer(next_handle)
                continue
            self.steps += 1
            next_handle._run()
            if self.steps - self._last_advance_step > MAX_STEPS_PER_INSTANT:
                raise Stuck(f"time stands still: {next_handle!r}")
            if self._stuck_error is not None:
                raise self._stuck_error  # the handle took it for an error of the callback
            if self.after_step is not None:
                self.after_step()

    def run_forever(self) -> None:
        """Run until `stop`."""
        self._check_open()
        if self._running or asyncio._get_running_loop() is not None:
            raise RuntimeError("an event loop is already running")
        self._running = True
        asyncio._set_running_loop(self)
        previous_handler = self._start_watchdog()
        try:
            while not self._stopping:
                self._run_once()
        finally:
            self._stop_watchdog(previous_handler)
            asyncio._set_running_loop(None)
            self._running = self._stopping = False

    def run_until_complete(self, future: Generator[Any, None, T] | Coroutine[Any, Any, T] | asyncio.Future[T]) -> T:
        """Run until a future is done and return its result."""
        task: asyncio.Future[T] = asyncio.ensure_future(future, loop=self)  # type: ignore[arg-type]
        task.add_done_callback(lambda _: self.stop())
        try:
            self.run_forever()
        except BaseException:
            if task.done() and not task.cancelled():
                task.exception()  # marks the exception as retrieved; it is being raised
            raise
        if not task.done():
            raise RuntimeError("the loop was stopped before the future was done")
        return task.result()

    def stop(self) -> None:
        """Stop after the current iteration."""
        self._stopping = True

    def _start_watchdog(self) -> Any:
        """Detect stuck callbacks by processor time, so that a slow machine does not count as one."""

        def check_progress(signal_number: int, frame: FrameType | None) -> None:
            if self._watchdog_step == self.steps and frame is not None:
                self._stuck_error = Stuck(
                    f"a callback never yields: {frame.f_code.co_qualname}, line {frame.f_lineno}"
                )
                raise self._stuck_error
            self._watchdog_step = self.steps

        previous_handler = signal.signal(signal.SIGVTALRM, check_progress)
        signal.setitimer(signal.ITIMER_VIRTUAL, STUCK_CPU_TIMEOUT / 2.0, STUCK_CPU_TIMEOUT / 2.0)
        return previous_handler

    @staticmethod
    def _stop_watchdog(previous_handler: Any) -> None:
        signal.setitimer(signal.ITIMER_VIRTUAL, 0.0)
        signal.signal(signal.SIGVTALRM, previous_handler)

    def is_running(self) -> bool:
        """Whether the loop is running."""
        return self._running

    def is_closed(self) -> bool:
        """Whether the loop was closed."""
        return self._closed

    def close(self) -> None:
        """Close the loop and drop what is left."""
        if self._running:
            raise RuntimeError("cannot close a running event loop")
        for task in self.dead_tasks:
            # Cleanup code of dead processes runs while the loop still accepts callbacks; these never run.
            with contextlib.suppress(RuntimeError):
                task.get_coro().close()
        self.dead_tasks.clear()
        self._closed = True
        self._ready.clear()
        self._timers.clear()

    def _check_open(self) -> None:
        if self._closed:
            raise RuntimeError("Event loop is closed")

    async def shutdown_asyncgens(self) -> None:
        """Do nothing: asynchronous generators are not tracked."""

    async def shutdown_default_executor(self, timeout: float | None = None) -> None:
        """Do nothing: there is no executor."""

    # ---- futures and tasks ---------------------------------------------------------------

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Coroutine[Any, Any, T], *, name: object = None, context: contextvars.Context | None = None
    ) -> asyncio.Task[T]:
        """Create a task; it is tracked until it is done, so that leftover tasks can be reported."""
        self._check_open()
        task = asyncio.Task(coro, loop=self, name=None if name is None else str(name), context=context)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        machine = CURRENT_MACHINE.get() if context is None else context.get(CURRENT_MACHINE)
        if machine is not None:
            machine.tasks[task] = None
            task.add_done_callback(machine.on_task_done)
        return task

    def discard_tasks(self, tasks: list[asyncio.Task[Any]]) -> None:
        """Discard the tasks of a process that died: they never continue, and no warning is logged."""
        for task in tasks:
            task._log_destroy_pending = False  # type: ignore[attr-defined]
            self._tasks.discard(task)
        self.dead_tasks += tasks

    @property
    def tasks(self) -> set[asyncio.Task[Any]]:
        """All tasks that are not done."""
        return {task for task in self._tasks if not task.done()}

    @property
    def timer_count(self) -> int:
        """The number of timers that are set."""
        return sum(not handle.cancelled() for _, _, _, handle in self._timers)

    def timers_of(self, machine: Machine) -> list[asyncio.TimerHandle]:
        """The timers that code on one machine has set."""
        handles = (handle for _, _, _, handle in sorted(self._timers, key=lambda row: row[:3]))
        return [h for h in handles if not h.cancelled() and h._context.get(CURRENT_MACHINE) is machine]  # type: ignore[attr-defined]

    # ---- errors --------------------------------------------------------------------------

    def get_debug(self) -> bool:
        """Always false: debug mode would read real time."""
        return False

    def set_debug(self, enabled: bool) -> None:
        """Do nothing: debug mode is not available."""

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled error."""
        self.unhandled_errors.append(context)

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled error."""
        self.call_exception_handler(context)

    # ---- the network ---------------------------------------------------------------------

    def _require_network(self) -> VirtualNetwork:
        if self.network is None:
            raise RuntimeError("this loop has no network")
        return self.network

    async def create_connection(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **unused: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect; raises OSError as a socket would."""
        return await self._require_network().connect(protocol_factory, (host, port))

    async def create_server(
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int, **unused: Any
    ) -> Any:
        """Listen, and accept every connection."""
        return self._require_network().serve(protocol_factory, (host, port))


def run(loop: VirtualLoop, main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine to its end on a loop, cancel leftover tasks and close the loop; returns its result."""
    try:
        return loop.run_until_complete(main)
    finally:
        unfinished = sorted(loop.tasks, key=lambda task: task.get_name())
        for task in unfinished:
            task.cancel()
        if unfinished and sys.exc_info()[0] is not Stuck:
            loop.run_until_complete(asyncio.gather(*unfinished, return_exceptions=True))
        loop.close()
