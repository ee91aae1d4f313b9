"""Collects the log records of all instances and writes them to one target, without ever blocking.

Each instance writes to its own pipe and does not block either: when the pipe is full it drops records and counts
them. Records are read as they arrive, get the name of their instance, and are written to the target. While the target
accepts nothing (a full disk, a pipe that nobody reads) they wait in a bounded queue; records that do not fit are
dropped and counted, and the count is logged when the target accepts records again.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import select
import stat
import time
from collections import deque
from typing import Any

import orjson

from cometusher import logs
from cometusher.fleet.spec import LogSpec

MAX_QUEUED_BYTES = 1024 * 1024  # bytes that wait for the target
MAX_LINE = 16 * 1024  # bytes of a line that an instance writes
READ_SIZE = 64 * 1024  # bytes read from one instance at one wake-up
RETRY_INTERVAL = 0.05  # seconds between attempts to write to a target that accepted nothing
REOPEN_INTERVAL = 1.0  # seconds between attempts to open a target


class LogTarget:
    """Where records are written: standard error or a file, which is rotated by size and reopened on demand."""

    def __init__(self, spec: LogSpec) -> None:
        self.spec = spec
        self._file = -1
        self._regular = False
        self._size = 0
        self._opened_at = 0.0
        self._poll = select.poll()
        if spec.target == "stderr":
            self._use(os.dup(2))
        else:
            self.reopen()

    def _use(self, descriptor: int) -> None:
        self._file = descriptor
        info = os.fstat(descriptor)
        self._regular = stat.S_ISREG(info.st_mode)
        self._size = info.st_size
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def reopen(self) -> None:
        """Open the file again, after it was moved away; raises nothing."""
        if self.spec.target == "stderr":
            return
        self._opened_at = time.monotonic()
        # Non-blocking: opening a FIFO that nobody reads would wait for a reader.
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC | os.O_NONBLOCK
        with contextlib.suppress(OSError):
            descriptor = os.open(self.spec.target, flags, 0o640)
            self.close()
            self._use(descriptor)

    def close(self) -> None:
        """Close the target."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def write(self, data: bytes) -> int:
        """Write what is possible without blocking, to a pipe at most PIPE_BUF bytes; return how many were written."""
        if self._file < 0:
            if time.monotonic() - self._opened_at < REOPEN_INTERVAL:
                return 0
            self.reopen()
            if self._file < 0:
                return 0
        try:
            if self._regular:
                self._rotate(len(data))
            else:
                # A pipe or a terminal that others write to as well, so it is not set to non-blocking. It is polled,
                # and gets no more than it accepts in one piece when it has room (POSIX, PIPE_BUF).
                data = data[: logs.MAX_RECORD]
                if not any(event & select.POLLOUT for _, event in self._poll.poll(0)):
                    return 0
            count = os.write(self._file, data)
        except BlockingIOError:
            return 0
        except OSError:
            if self.spec.target != "stderr" and not self._regular:
                self.close()  # its reader has closed it; it is opened again for the next reader
            return 0
        self._size += count
        return count

    def _rotate(self, size: int) -> None:
        spec = self.spec
        if not self._size or self._size + size <= spec.max_bytes:
            return
        names = [spec.target, *(f"{spec.target}.{i}" for i in range(1, spec.keep + 1))]
        if spec.keep == 0:
            os.ftruncate(self._file, 0)
        for older, newer in zip(names[:0:-1], names[-2::-1], strict=True):
            with contextlib.suppress(FileNotFoundError):
                os.replace(newer, older)
        self._size = 0
        self.reopen()


class LogSink:
    """Formats records and writes them to the target through a bounded queue; never blocks; counts dropped records."""

    def __init__(self, loop: asyncio.AbstractEventLoop, target: LogTarget, instance_name: str) -> None:
        self._loop = loop
        self.target = target
        self._instance_name = instance_name
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._retry: asyncio.TimerHandle | None = None
        self.dropped = 0  # since they were logged last
        self.dropped_total = 0

    def write(self, values: dict[str, Any]) -> None:
        """Queue one record, or drop it if the queue is full."""
        line = logs.FORMATTERS[self.target.spec.form](values) + b"\n"
        if self._queued_bytes + len(line) > MAX_QUEUED_BYTES:
            self.drop(1)
            return
        self._queue.append(line)
        self._queued_bytes += len(line)
        if self._retry is None:
            self.flush()

    def _report_dropped(self) -> None:
        """Log how many records were dropped, as soon as there is room for it."""
        if self.dropped and self._queued_bytes < MAX_QUEUED_BYTES // 2:
            count, self.dropped = self.dropped, 0
            self.write(
                {
                    "ts": time.time(),
                    "level": "warning",
                    "instance": self._instance_name,
                    "subsystem": "log",
                    "event": "dropped",
                    "text": f"{count} records were dropped: the log target took none",
                }
            )

    def drop(self, count: int) -> None:
        """Count dropped records."""
        self.dropped += count
        self.dropped_total += count

    def flush(self) -> None:
        """Write queued records as far as the target accepts them."""
        self._retry = None
        self._report_dropped()
        while self._queue:
            line = self._queue[0]
            count = self.target.write(line)
            self._queued_bytes -= count
            if count < len(line):
                self._queue[0] = line[count:]
                self._retry = self._loop.call_later(RETRY_INTERVAL, self.flush)
                return
            self._queue.popleft()
        self._report_dropped()

    def close(self) -> None:
        """Write what the target accepts at once; the rest is lost."""
        if self._retry is not None:
            self._retry.cancel()
        self.flush()
        if self._retry is not None:
            self._retry.cancel()
        self.target.close()


class LogSinkHandler(logging.Handler):
    """The supervisor's own records."""

    def __init__(self, sink: LogSink, instance_name: str) -> None:
        super().__init__()
        self._sink = sink
        self._instance_name = instance_name

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        try:
            values = logs.record_fields(record, getattr(record, "instance", None) or self._instance_name)
            self._sink.write(values)
        except Exception:
            self.handleError(record)


class ProcessOutput:
    """The output of one process: structured records, or plain lines of a custom command."""

    def __init__(self, sink: LogSink, name: str, descriptor: int) -> None:
        self._sink = sink
        self._name = name
        self._descriptor = descriptor
        self._partial_line = b""

    def read(self) -> bool:
        """Read available output, up to READ_SIZE bytes; return False at its end."""
        try:
            data = os.read(self._descriptor, READ_SIZE)
        except BlockingIOError:
            return True
        except OSError:
            data = b""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        if len(self._partial_line) > MAX_LINE or (not data and self._partial_line):
            lines.append(self._partial_line[:MAX_LINE])
            self._partial_line = b""
        for line in lines:
            if line.strip():
                self._sink.write(self._record(line))
        return bool(data)

    def _record(self, line: bytes) -> dict[str, Any]:
        plain: dict[str, Any] = {
            "ts": time.time(),
            "level": "info",
            "instance": self._name,
            "subsystem": "output",
            "event": "line",
        }
        try:
            values = orjson.loads(line)
            ts = float(values["ts"])
            text = str(values["text"])
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
            return plain | {"text": line.decode(errors="backslashreplace")}
        record: dict[str, Any] = {"ts": ts, "level": str(values.get("level", "info")), "instance": self._name}
        record |= {key: str(values[key]) for key in ("subsystem", "event", "request") if key in values}
        if isinstance(values.get("dropped"), int):
            self._sink.drop(values["dropped"])
        return {"subsystem": "output", "event": "line"} | record | {"text": text}
