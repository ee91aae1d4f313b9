"""The files that processes of one proxy share while one takes over from another; why: `docs/design/upgrade.md`.

`standing` and `learned` hold one JSON object each behind its check sum and are replaced whole. `ledger` is one page
of shared memory: a row of four numbers for each process, written by its owner alone, who holds the lock on the row's
byte. What can't be read is logged and left aside; nothing here ends a process.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import mmap
import os
import zlib
from pathlib import Path
from typing import Any

import orjson

from weldroute.handover import Row, Stage, Unusable, next_generation, yields

log = logging.getLogger(__name__)

FOLDER = "cometusher"
ROWS = 8  # processes at once: more than two only where upgrades follow each other closely
FIELDS = 4  # generation, stage, descriptors, bytes of bodies
PAGE = 4096
MAX_FILE = 8 * 1024 * 1024


class Ledger:
    """What the processes of one proxy tell each other at every moment. Raises OSError where it can't be had."""

    def __init__(self, folder: Path) -> None:
        descriptor = os.open(folder / "ledger", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._descriptor = descriptor
        os.ftruncate(descriptor, PAGE)
        self._page = mmap.mmap(descriptor, PAGE)
        self._values = memoryview(self._page).cast("q")
        self._at = -1
        for row in range(ROWS):
            if self._lock(row):
                self._at = row * FIELDS
                break
        else:
            raise OSError("the ledger has no free row")
        self._clear(self._at // FIELDS)
        self.generation = next_generation(self.others())
        self._values[self._at + 1] = Stage.STARTING
        self._values[self._at] = self.generation

    def _lock(self, row: int) -> bool:
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, row)
        except OSError:
            return False
        return True

    def _clear(self, row: int) -> None:
        for field in range(FIELDS):
            self._values[row * FIELDS + field] = 0

    def bury(self) -> None:
        """Clear the rows of processes that are dead: the kernel has taken back their locks."""
        for row in range(ROWS):
            if row * FIELDS != self._at and self._values[row * FIELDS] and self._lock(row):
                self._clear(row)
                fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, row)

    def others(self) -> list[Row]:
        """The rows of the others, as far as they make sense."""
        rows = []
        values = self._values
        for at in range(0, ROWS * FIELDS, FIELDS):
            if at != self._at and values[at] and values[at + 1] in Stage.__members__.values():
                rows.append(Row(values[at], Stage(values[at + 1]), max(0, values[at + 2]), max(0, values[at + 3])))
        return rows

    def yields(self) -> bool:
        """Whether a newer process serves."""
        self.bury()
        return yields(self.generation, self.others())

    def stage(self, stage: Stage) -> None:
        """Say how far this process is."""
        self._values[self._at + 1] = stage

    def descriptors(self) -> int:
        """In use by the others."""
        values, at = self._values, self._at
        return sum(values[i + 2] for i in range(0, ROWS * FIELDS, FIELDS) if i != at)

    def bodies(self) -> int:
        """Bytes of bodies held by the others."""
        values, at = self._values, self._at
        return sum(values[i + 3] for i in range(0, ROWS * FIELDS, FIELDS) if i != at)

    def tell_descriptors(self, count: int) -> None:
        """This process uses so many."""
        self._values[self._at + 2] = count

    def tell_bodies(self, count: int) -> None:
        """This process holds so many bytes."""
        self._values[self._at + 3] = count


class Handover:
    """The folder of one proxy. Raises OSError where it can't be had."""

    def __init__(self, parent: str) -> None:
        self._folder = Path(parent) / FOLDER
        self._folder.mkdir(mode=0o700, exist_ok=True)
        self.ledger = Ledger(self._folder)
        self._seen: tuple[int, int] | None = None  # of the standing orders, when read or written last

    def write(self, name: str, form: dict[str, Any]) -> None:
        """Replace a file as a whole; a reader finds the old or the new one. Raises OSError."""
        data = orjson.dumps(form)
        fresh = self._folder / f"{name}.{self.ledger.generation}"
        fresh.write_bytes(b"%08x\n" % zlib.crc32(data) + data)
        fresh.replace(self._folder / name)
        if name == "standing":
            self._seen = self._mark()

    def read(self, name: str) -> Any:
        """What a file holds; None where there is none or it is torn, which is logged."""
        path = self._folder / name
        try:
            with path.open("rb") as file:
                data = file.read(MAX_FILE + 1)
        except FileNotFoundError:
            return None
        except OSError as fault:
            log.warning("%s: not read: %s", path, fault.strerror)
            return None
        head, _, body = data.partition(b"\n")
        try:
            if len(data) > MAX_FILE or head != b"%08x" % zlib.crc32(body):
                raise Unusable("its check sum does not fit")
            return orjson.loads(body)
        except (Unusable, orjson.JSONDecodeError) as fault:
            log.warning("%s: left aside: %s", path, fault)
            return None

    def _mark(self) -> tuple[int, int] | None:
        with contextlib.suppress(OSError):
            found = os.stat(self._folder / "standing")
            return found.st_mtime_ns, found.st_ino
        return None

    def news(self) -> Any:
        """The standing orders, if another process has written them since the last look; else None."""
        mark = self._mark()
        if mark is None or mark == self._seen:
            return None
        self._seen = mark
        return self.read("standing")
