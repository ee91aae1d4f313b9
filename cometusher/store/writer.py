"""Writes records off the event loop at a limited rate: the newest of each kind, never a queue of outdated ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cometusher.store.records import RecordFile
from weldroute.snapshots import ClockReading, Owner, Record

log = logging.getLogger("cometusher.store.keeper")  # the `subsystem` of its log records

WRITE_INTERVAL = 0.5  # seconds between writes, at least
RETRY_INTERVAL = 5.0  # seconds until a failed write is retried
CLOSE_TIMEOUT = 1.0  # seconds that `close` waits for a write


class RecordWriter:
    """Writer of one file."""

    def __init__(self, records: RecordFile, owner: Owner, read_clock: Callable[[], ClockReading]) -> None:
        self._records = records
        self._owner = owner
        self._read_clock = read_clock
        self._loop = asyncio.get_running_loop()
        # One thread, started with the first write: SQLite's waits for the disk must not block the loop.
        self._executor = ThreadPoolExecutor(1, "store")
        self._pending: dict[str, object] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._running: asyncio.Future[bool] | None = None
        self._logged_problem = ""
        self.written = 0  # successful writes
        self.failed = 0

    def put(self, kind: str, body: object) -> None:
        """Schedule a state to be written soon; a newer one of its kind replaces it until then."""
        self._pending[kind] = body
        if self._timer is None and self._running is None:
            self._timer = self._loop.call_later(0.0, self._start_write)

    def _start_write(self) -> None:
        self._timer = None
        if not self._pending:
            return
        now, bodies, self._pending = self._read_clock(), self._pending, {}
        records = [
            Record(kind, self._records.next_serial(kind), self._owner, now, body) for kind, body in bodies.items()
        ]
        self._running = self._loop.run_in_executor(self._executor, self._records.write, records)
        self._running.add_done_callback(lambda done: self._on_write_done(done, bodies))

    def _on_write_done(self, done: asyncio.Future[bool], bodies: dict[str, object]) -> None:
        self._running = None
        succeeded = not done.cancelled() and done.exception() is None and done.result()
        problem = self._records.problem or ("" if succeeded else f"not written: {done.exception()}")
        if problem != self._logged_problem:
            self._logged_problem = problem
            level = logging.WARNING if problem else logging.INFO
            log.log(level, "%s: %s", self._records.path.name, problem or "written again")
        self.written += succeeded
        self.failed += not succeeded
        if not succeeded:
            self._pending = bodies | self._pending  # newer states take precedence
        if self._pending or succeeded:
            self._timer = self._loop.call_later(WRITE_INTERVAL if succeeded else RETRY_INTERVAL, self._start_write)

    async def close(self) -> None:
        """Write what is pending, waiting up to CLOSE_TIMEOUT seconds, and release the file."""
        if self._timer is not None:
            self._timer.cancel()
        if self._running is not None:
            await asyncio.wait([self._running], timeout=CLOSE_TIMEOUT)
        if self._running is None:
            self._start_write()
            if self._running is not None:
                await asyncio.wait([self._running], timeout=CLOSE_TIMEOUT)
        if self._timer is not None:
            self._timer.cancel()
        self._executor.shutdown(wait=False, cancel_futures=True)
        if self._running is None:
            self._records.close()
