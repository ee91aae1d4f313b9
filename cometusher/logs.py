"""Log records: one structured form for all that the program says, written without ever stopping on its reader.

A record is a flat object: `ts` (seconds, Unix time), `level`, `instance` (who speaks), `subsystem`, `event`
(a word that does not change between releases), `request` (an id, where there is one), `text`. It is written as
one line, as JSON or for people. An instance under a supervisor writes JSON into a pipe, and the supervisor
writes it on in the form that its file asks for.
"""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any

import orjson

MAX_RECORD = 4096  # bytes; a write of so many to a pipe goes through whole or not at all (POSIX, PIPE_BUF)
FIELDS = ("instance", "subsystem", "event", "request")


class RateLimit(logging.Filter):
    """At most so many lines a second of each kind.

    Guards against a log that grows with the load, and against stopping on a log that nobody reads.
    """

    def __init__(self, per_second: float = 2.0, burst: float = 10.0) -> None:
        super().__init__()
        self._per_second = per_second
        self._burst = burst
        self._kinds: dict[str, tuple[float, float, int]] = {}  # left, at, held back; keyed by source line

    def filter(self, record: logging.LogRecord) -> bool:
        kind = f"{record.pathname}:{record.lineno}"
        now = time.monotonic()
        left, at, held = self._kinds.get(kind, (self._burst, now, 0))
        left = min(self._burst, left + (now - at) * self._per_second)
        if left < 1.0:
            self._kinds[kind] = (left, now, held + 1)
            return False
        self._kinds[kind] = (left - 1.0, now, 0)
        if held:
            record.msg = f"{record.msg} [{held} more like it were left out]"
        return True


def record_fields(record: logging.LogRecord, instance: str) -> dict[str, Any]:
    """A record of the logging module as the structured one."""
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
    """One line, without its end; shortened to what a pipe takes in one piece."""
    line = orjson.dumps(values)
    if len(line) >= MAX_RECORD:
        # Escapes can make a character six bytes long.
        room = max(0, (MAX_RECORD - len(orjson.dumps(values | {"text": ""})) - 8) // 6)
        line = orjson.dumps(values | {"text": str(values["text"])[:room] + "…"})
    return line


def to_text(values: dict[str, Any]) -> bytes:
    """One line for people, without its end; what a peer chose can't start a line of its own."""
    at = float(values["ts"])
    stamp = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(at)) + f",{int(at * 1000) % 1000:03d}"
    request = f" [{values['request']}]" if "request" in values else ""
    text = str(values["text"]).replace("\\", "\\\\").replace("\n", "\\n").replace("\r", "\\r")
    who = f"{values['instance']} {values['subsystem']}/{values['event']}{request}"
    return f"{stamp} {str(values['level']).upper()} {who}: {text}".encode()


FORMATTERS = {"json": to_json, "text": to_text}


class PipeHandler(logging.Handler):
    """Writes JSON lines to a descriptor that does not block; what finds no room is counted, and said later."""

    def __init__(self, descriptor: int, instance: str) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._instance = instance
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped; never waits and never raises."""
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
    """The platform's form: plain lines on standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter("%(asctime)s %(levelname)s %(name)s: %(message)s"))
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler])


def log_to_pipe(descriptor: int, instance: str) -> None:
    """Structured lines into a supervisor's pipe, in place of whatever was set up before."""
    handler = PipeHandler(descriptor, instance)
    handler.addFilter(RateLimit())
    logging.basicConfig(level=logging.INFO, handlers=[handler], force=True)
