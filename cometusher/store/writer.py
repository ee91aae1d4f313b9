"""Writes records off the event loop, at a bounded rate: the newest of each kind, never a queue of old ones."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cometusher.store.records import RecordFile
from weldroute.snapshots import ClockReading, Owner, Record

log = logging.getLogger("cometusher.store.keeper")  # the `subsystem` of its log records

EVERY = 0.5  # seconds between writings, at least...
RETRY_INTERVAL = 5.0  # ...and after one that failed
LAST = 1.0  # seconds that the end waits for the last writing


class RecordWriter:
    """The writer of one file."""

    def __init__(self, records: RecordFile, owner: Owner, moment: Callable[[], ClockReading]) -> None:
        self._records = records
        self._owner = owner
        self._moment = moment
        self._loop = asyncio.get_running_loop()
        # One thread, begun with the first writing: SQLite's waits for the disk are not the loop's.
        self._thread = ThreadPoolExecutor(1, "store")
        self._due: dict[str, object] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._running: asyncio.Future[bool] | None = None
        self._said = ""
        self.written = 0  # times
        self.failed = 0

    def put(self, kind: str, body: object) -> None:
        """Have a form written soon; a newer one of its kind takes its place until then."""
        self._due[kind] = body
        if self._timer is None and self._running is None:
            self._timer = self._loop.call_later(0.0, self._begin)

    def _begin(self) -> None:
        self._timer = None
        if not self._due:
            return
        now, due, self._due = self._moment(), self._due, {}
        records = [Record(k, self._records.next_serial(k), self._owner, now, body) for k, body in due.items()]
        self._running = self._loop.run_in_executor(self._thread, self._records.write, records)
        self._running.add_done_callback(lambda done: self._ended(done, due))

    def _ended(self, done: asyncio.Future[bool], due: dict[str, object]) -> None:
        self._running = None
        good = not done.cancelled() and done.exception() is None and done.result()
        why = self._records.problem or ("" if good else f"not written: {done.exception()}")
        if why != self._said:
            self._said = why
            level = logging.WARNING if why else logging.INFO
            log.log(level, "%s: %s", self._records.path.name, why or "written again")
        self.written += good
        self.failed += not good
        if not good:
            self._due = due | self._due  # newer ones first
        if self._due or good:
            self._timer = self._loop.call_later(EVERY if good else RETRY_INTERVAL, self._begin)

    async def close(self) -> None:
        """Write what is due once more, as far as that is quick, and let go."""
        if self._timer is not None:
            self._timer.cancel()
        if self._running is not None:
            await asyncio.wait([self._running], timeout=LAST)
        if self._running is None:
            self._begin()
            if self._running is not None:
                await asyncio.wait([self._running], timeout=LAST)
        if self._timer is not None:
            self._timer.cancel()
        self._thread.shutdown(wait=False, cancel_futures=True)
        if self._running is None:
            self._records.close()
