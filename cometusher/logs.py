"""Structured log records, written without ever blocking on the reader of the log.

A record is a flat object: `ts` (seconds, Unix time), `level`, `instance` (the sender's name), `subsystem`, `event`
(a word that does not change between releases), `request` (an id, where there is one), `text`. It is written as one
line of JSON or text. An instance under a supervisor writes JSON into a pipe, and the supervisor writes the records in
the format that its file names.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any

import orjson

MAX_RECORD = 4096  # bytes; writes to a pipe up to this size are atomic (POSIX, PIPE_BUF)
FIELDS = ("instance", "subsystem", "event", "request")


class RateLimit(logging.Filter):
    """Limits the records per second from each source line with a token bucket.

    Without it the log would grow with the load, and writing could block on a log that nobody reads. Records of one
    line that differ in their attribute `cause` have buckets of their own: a frequent cause must not hide a rare one.
    """

    def __init__(self, per_second: float = 2.0, burst: float = 10.0) -> None:
        super().__init__()
        self._per_second = per_second
        self._burst = burst
        # By source line and cause: tokens, time of the last record, suppressed records.
        self._buckets: dict[str, tuple[float, float, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        source_line = f"{record.pathname}:{record.lineno}:{getattr(record, 'cause', '')}"
        now = time.monotonic()
        tokens, last_at, suppressed = self._buckets.get(source_line, (self._burst, now, 0))
        tokens = min(self._burst, tokens + (now - last_at) * self._per_second)
        if tokens < 1.0:
            self._buckets[source_line] = (tokens, now, suppressed + 1)
            return False
        self._buckets[source_line] = (tokens - 1.0, now, 0)
        if suppressed:
            record.msg = f"{record.msg} [{suppressed} more like it were suppressed]"
        return True


def record_fields(record: logging.LogRecord, instance: str) -> dict[str, Any]:
    """Convert a record of the logging module to a structured one."""
    subsystem = record.name.removeprefix("cometusher.")
    text = record.getMessage()
    if record.exc_info and record.exc_info[0] is not None:
        text += "\n" + logging.Formatter().formatException(record.exc_info)
    values: dict[str, Any] = {
        "ts": round(record.created, 3),
        "level": record.levelname.lower(),
        "instance": instance,
        "subsystem": "proxy" if subsystem == "root" else subsystem,
        "event": getattr(record, "event", "log"),
    }
    request = getattr(record, "request", None)
    if request is not None:
        values["request"] = request
    return values | {"text": text}


def to_json(values: dict[str, Any]) -> bytes:
    """One line of JSON without a line end; the text is cut so that a write to a pipe stays atomic."""
    line = orjson.dumps(values)
    if len(line) >= MAX_RECORD:
        # A character takes up to six bytes when escaped.
        max_characters = max(0, (MAX_RECORD - len(orjson.dumps(values | {"text": ""})) - 8) // 6)
        line = orjson.dumps(values | {"text": str(values["text"])[:max_characters] + "…"})
    return line


def to_text(values: dict[str, Any]) -> bytes:
    """One line of plain text without a line end; line breaks are escaped, so peers can't forge records."""
    seconds = float(values["ts"])
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(seconds)) + f",{int(seconds * 1000) % 1000:03d}"
    request = f" [{values['request']}]" if "request" in values else ""
    text = str(values["text"]).replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")
    origin = f"{values['instance']} {values['subsystem']}/{values['event']}{request}"
    return f"{timestamp} {str(values['level']).upper()} {origin}: {text}".encode()


FORMATTERS = {"json": to_json, "text": to_text}


class PipeHandler(logging.Handler):
    """Writes JSON lines to a non-blocking descriptor; counts records that do not fit, and reports the count."""

    def __init__(self, descriptor: int, instance: str) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._instance = instance
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped; never blocks and never raises."""
        try:
            values = record_fields(record, self._instance)
            if self.dropped:
                values["dropped"] = self.dropped
            os.write(self._descriptor, to_json(values) + b"\n")
        except (BlockingIOError, OSError):
            self.dropped += 1
        except Exception:
            self.handleError(record)
        else:
            self.dropped = 0


def log_to_stderr() -> None:
    """Log plain text lines to standard error, for a proxy that the platform starts."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def log_to_pipe(descriptor: int, instance: str) -> None:
    """Log structured lines to a supervisor's pipe, in place of earlier handlers."""
    handler = PipeHandler(descriptor, instance)
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
