"""What processes of one proxy share while one takes over from another; why: `docs/design/upgrade.md`.

`standing` and `learned` hold one JSON object each behind its check sum and are replaced whole. `ledger` is one page
of shared memory: a row of four numbers for each process, written by its owner alone, who holds the lock on the row;
`open` has a row for each of them too: the ids of its open requests.
What can't be read is logged and left aside; nothing here ends a process. Where all that lies is handed in: a folder,
or the memory of a virtual world.
"""

from __future__ import annotations

import contextlib
import fcntl
import logging
import mmap
import os
import zlib
from collections.abc import Hashable, MutableSequence
from pathlib import Path
from typing import Any, Protocol

import orjson

from weldroute.handover import OpenIds, Row, Stage, Unusable, next_generation, yields

log = logging.getLogger(__name__)

FOLDER = "cometusher"
ROWS = 8  # processes at once: more than two only where upgrades follow each other closely
ORDERS = 32  # the cell behind the rows: grows with every order of operators
FIELDS = 4  # generation, stage, descriptors, bytes of bodies
PAGE = 4096
Cells = MutableSequence[int] | memoryview  # of 64 bits
MAX_FILE = 8 * 1024 * 1024


class Locks(Protocol):
    """One lock for each row of the ledger; a dead process holds none."""

    def take(self, row: int) -> bool:
        """Hold a row's lock, if no other process does."""

    def free(self, row: int) -> None:
        """Let go of it."""


class Store(Protocol):
    """Named pieces of data, each replaced as a whole."""

    def replace(self, name: str, data: bytes) -> None:
        """A reader finds the old or the new one. Raises OSError."""

    def read(self, name: str) -> bytes | None:
        """What is there, MAX_FILE + 1 bytes of it at most; None if nothing. Raises OSError."""

    def mark(self, name: str) -> Hashable | None:
        """Another value after each replacement; None if nothing is there."""


class Ledger:
    """What the processes of one proxy tell each other at every moment. Raises OSError where no row is free."""

    def __init__(self, values: Cells, ids: Cells, locks: Locks) -> None:
        self._values = values  # ROWS x FIELDS, shared
        self._locks = locks
        self._at = -1
        for row in range(ROWS):
            if locks.take(row):
                self._at = row * FIELDS
                break
        else:
            raise OSError("the ledger has no free row")
        self.ids = OpenIds(ids, self._at // FIELDS, self._alive)
        self._clear(self._at // FIELDS)
        self.generation = next_generation(self.others())
        self._values[self._at + 1] = Stage.STARTING
        self._values[self._at] = self.generation

    def _alive(self, row: int) -> bool:
        """Whether the process of a row is; a dead one's row is cleared at once."""
        if not self._locks.take(row):
            return True
        self._clear(row)
        self._locks.free(row)
        return False

    def _clear(self, row: int) -> None:
        self.ids.clear(row)
        for field in range(FIELDS):
            self._values[row * FIELDS + field] = 0

    def bury(self) -> None:
        """Clear the rows of processes that are dead: the kernel has taken back their locks."""
        for row in range(ROWS):
            if row * FIELDS != self._at and self._values[row * FIELDS]:
                self._alive(row)

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

    def orders(self) -> int:
        """Another number after each order that any process was given."""
        return self._values[ORDERS]

    def ordered(self) -> None:
        """An order was given, and is written."""
        self._values[ORDERS] += 1

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
    """What one process shares with the others of its proxy."""

    def __init__(self, store: Store, ledger: Ledger) -> None:
        self._store = store
        self.ledger = ledger
        self._seen: Hashable | None = None  # of the standing orders, when read or written last

    def write(self, name: str, form: dict[str, Any]) -> None:
        """Replace one of them as a whole. Raises OSError."""
        data = orjson.dumps(form)
        self._store.replace(name, b"%08x\n" % zlib.crc32(data) + data)
        if name == "standing":
            self._seen = self._store.mark(name)

    def read(self, name: str) -> Any:
        """What one holds; None where there is none or it is torn, which is logged."""
        try:
            data = self._store.read(name)
        except OSError as fault:
            log.warning("%s: not read: %s", name, fault.strerror)
            return None
        if data is None:
            return None
        head, _, body = data.partition(b"\n")
        try:
            if len(data) > MAX_FILE or head != b"%08x" % zlib.crc32(body):
                raise Unusable("its check sum does not fit")
            return orjson.loads(body)
        except (Unusable, orjson.JSONDecodeError) as fault:
            log.warning("%s: left aside: %s", name, fault)
            return None

    def news(self) -> Any:
        """The standing orders, if another process has written them since the last look; else None."""
        mark = self._store.mark("standing")
        if mark is None or mark == self._seen:
            return None
        self._seen = mark
        return self.read("standing")


# ---- in a folder -------------------------------------------------------------------------


class FileLocks:
    """A lock on one byte of a file for each row; the kernel takes back those of the dead."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def take(self, row: int) -> bool:
        """Hold a row's lock, if no other process does."""
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, row)
        except OSError:
            return False
        return True

    def free(self, row: int) -> None:
        """Let go of it."""
        fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, row)


class Folder:
    """Files of a folder."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def replace(self, name: str, data: bytes) -> None:
        """A reader finds the old or the new one. Raises OSError."""
        fresh = self._path / f"{name}.{os.getpid()}"
        fresh.write_bytes(data)
        fresh.replace(self._path / name)

    def read(self, name: str) -> bytes | None:
        """What is there, if anything. Raises OSError."""
        try:
            with (self._path / name).open("rb") as file:
                return file.read(MAX_FILE + 1)
        except FileNotFoundError:
            return None

    def mark(self, name: str) -> Hashable | None:
        """When it was replaced, and by which file."""
        with contextlib.suppress(OSError):
            found = os.stat(self._path / name)
            return found.st_mtime_ns, found.st_ino
        return None


def in_folder(parent: str) -> Handover:
    """What processes share in a folder of a folder. Raises OSError where it can't be had."""
    path = Path(parent) / FOLDER
    path.mkdir(mode=0o700, exist_ok=True)
    ledger, values = _shared(path / "ledger", PAGE)
    _, ids = _shared(path / "open", 8 * ROWS * OpenIds.WIDTH)
    return Handover(Folder(path), Ledger(values, ids, FileLocks(ledger)))


def _shared(path: Path, size: int) -> tuple[int, memoryview]:
    """A descriptor of a file of so many bytes, and its 64-bit cells in memory. Raises OSError."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    os.ftruncate(descriptor, size)
    return descriptor, memoryview(mmap.mmap(descriptor, size)).cast("q")
