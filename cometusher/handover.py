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

from weldroute.handover import (
    OpenRequestIds,
    ProcessEntry,
    ProcessStage,
    UnusableState,
    next_generation,
    should_yield,
)

log = logging.getLogger(__name__)

FOLDER_NAME = "cometusher"
MAX_PROCESSES = 8  # processes at once: more than two only where upgrades follow each other closely
ORDERS_CELL = 32  # the cell behind the rows: grows with every order of operators
CELLS_PER_PROCESS = 4  # generation, stage, descriptors, bytes of bodies
LEDGER_SIZE = 4096
SharedCells = MutableSequence[int] | memoryview  # of 64 bits
MAX_FILE_SIZE = 8 * 1024 * 1024


class ProcessLocks(Protocol):
    """One lock for each row of the ledger; a dead process holds none."""

    def try_lock(self, row: int) -> bool:
        """Hold a row's lock, if no other process does."""

    def unlock(self, row: int) -> None:
        """Let go of it."""


class HandoverStore(Protocol):
    """Named pieces of data, each replaced as a whole."""

    def replace(self, name: str, data: bytes) -> None:
        """A reader finds the old or the new one. Raises OSError."""

    def read(self, name: str) -> bytes | None:
        """What is there, MAX_FILE + 1 bytes of it at most; None if nothing. Raises OSError."""

    def revision(self, name: str) -> Hashable | None:
        """Another value after each replacement; None if nothing is there."""


class ProcessLedger:
    """What the processes of one proxy tell each other at every moment. Raises OSError where no row is free."""

    def __init__(self, values: SharedCells, id_cells: SharedCells, locks: ProcessLocks) -> None:
        self._values = values  # ROWS x FIELDS, shared
        self._locks = locks
        self._row_start = -1
        for row in range(MAX_PROCESSES):
            if locks.try_lock(row):
                self._row_start = row * CELLS_PER_PROCESS
                break
        else:
            raise OSError("the ledger has no free row")
        self.open_ids = OpenRequestIds(id_cells, self._row_start // CELLS_PER_PROCESS, self._is_alive)
        self._clear_row(self._row_start // CELLS_PER_PROCESS)
        self.generation = next_generation(self.others())
        self._values[self._row_start + 1] = ProcessStage.STARTING
        self._values[self._row_start] = self.generation

    def _is_alive(self, row: int) -> bool:
        """Whether the process of a row is; a dead one's row is cleared at once."""
        if not self._locks.try_lock(row):
            return True
        self._clear_row(row)
        self._locks.unlock(row)
        return False

    def _clear_row(self, row: int) -> None:
        self.open_ids.clear_row(row)
        for cell in range(CELLS_PER_PROCESS):
            self._values[row * CELLS_PER_PROCESS + cell] = 0

    def clear_dead(self) -> None:
        """Clear the rows of processes that are dead: the kernel has taken back their locks."""
        for row in range(MAX_PROCESSES):
            if row * CELLS_PER_PROCESS != self._row_start and self._values[row * CELLS_PER_PROCESS]:
                self._is_alive(row)

    def others(self) -> list[ProcessEntry]:
        """The rows of the others, as far as they make sense."""
        entries = []
        values = self._values
        for start in range(0, MAX_PROCESSES * CELLS_PER_PROCESS, CELLS_PER_PROCESS):
            if start != self._row_start and values[start] and values[start + 1] in ProcessStage.__members__.values():
                entries.append(
                    ProcessEntry(
                        values[start],
                        ProcessStage(values[start + 1]),
                        max(0, values[start + 2]),
                        max(0, values[start + 3]),
                    )
                )
        return entries

    def should_yield(self) -> bool:
        """Whether a newer process serves."""
        self.clear_dead()
        return should_yield(self.generation, self.others())

    def set_stage(self, stage: ProcessStage) -> None:
        """Say how far this process is."""
        self._values[self._row_start + 1] = stage

    def order_count(self) -> int:
        """Another number after each order that any process was given."""
        return self._values[ORDERS_CELL]

    def count_order(self) -> None:
        """An order was given, and is written."""
        self._values[ORDERS_CELL] += 1

    def descriptors_of_others(self) -> int:
        """In use by the others."""
        values, own_start = self._values, self._row_start
        return sum(
            values[start + 2]
            for start in range(0, MAX_PROCESSES * CELLS_PER_PROCESS, CELLS_PER_PROCESS)
            if start != own_start
        )

    def body_bytes_of_others(self) -> int:
        """Bytes of bodies held by the others."""
        values, own_start = self._values, self._row_start
        return sum(
            values[start + 3]
            for start in range(0, MAX_PROCESSES * CELLS_PER_PROCESS, CELLS_PER_PROCESS)
            if start != own_start
        )

    def report_descriptors(self, count: int) -> None:
        """This process uses so many."""
        self._values[self._row_start + 2] = count

    def report_body_bytes(self, count: int) -> None:
        """This process holds so many bytes."""
        self._values[self._row_start + 3] = count


class Handover:
    """What one process shares with the others of its proxy."""

    def __init__(self, store: HandoverStore, ledger: ProcessLedger) -> None:
        self._store = store
        self.ledger = ledger
        self._seen_revision: Hashable | None = None  # of the standing orders, when read or written last

    def write(self, name: str, state: dict[str, Any]) -> None:
        """Replace one of them as a whole. Raises OSError."""
        data = orjson.dumps(state)
        self._store.replace(name, b"%08x\n" % zlib.crc32(data) + data)
        if name == "standing":
            self._seen_revision = self._store.revision(name)

    def read(self, name: str) -> Any:
        """What one holds; None where there is none or it is torn, which is logged."""
        try:
            data = self._store.read(name)
        except OSError as error:
            log.warning("%s: not read: %s", name, error.strerror)
            return None
        if data is None:
            return None
        checksum, _, body = data.partition(b"\n")
        try:
            if len(data) > MAX_FILE_SIZE or checksum != b"%08x" % zlib.crc32(body):
                raise UnusableState("its check sum does not fit")
            return orjson.loads(body)
        except (UnusableState, orjson.JSONDecodeError) as error:
            log.warning("%s: left aside: %s", name, error)
            return None

    def new_orders(self) -> Any:
        """The standing orders, if another process has written them since the last look; else None."""
        revision = self._store.revision("standing")
        if revision is None or revision == self._seen_revision:
            return None
        self._seen_revision = revision
        return self.read("standing")


# ---- in a folder -------------------------------------------------------------------------


class FileRangeLocks:
    """A lock on one byte of a file for each row; the kernel takes back those of the dead."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def try_lock(self, row: int) -> bool:
        """Hold a row's lock, if no other process does."""
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, row)
        except OSError:
            return False
        return True

    def unlock(self, row: int) -> None:
        """Let go of it."""
        fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, row)


class FolderStore:
    """Files of a folder."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def replace(self, name: str, data: bytes) -> None:
        """A reader finds the old or the new one. Raises OSError."""
        temporary = self._path / f"{name}.{os.getpid()}"
        temporary.write_bytes(data)
        temporary.replace(self._path / name)

    def read(self, name: str) -> bytes | None:
        """What is there, if anything. Raises OSError."""
        try:
            with (self._path / name).open("rb") as file:
                return file.read(MAX_FILE_SIZE + 1)
        except FileNotFoundError:
            return None

    def revision(self, name: str) -> Hashable | None:
        """When it was replaced, and by which file."""
        with contextlib.suppress(OSError):
            status = os.stat(self._path / name)
            return status.st_mtime_ns, status.st_ino
        return None


def open_in_folder(parent: str) -> Handover:
    """What processes share in a folder of a folder. Raises OSError where it can't be had."""
    path = Path(parent) / FOLDER_NAME
    path.mkdir(mode=0o700, exist_ok=True)
    ledger_descriptor, values = _map_file(path / "ledger", LEDGER_SIZE)
    _, id_cells = _map_file(path / "open", 8 * MAX_PROCESSES * OpenRequestIds.ROW_WIDTH)
    return Handover(FolderStore(path), ProcessLedger(values, id_cells, FileRangeLocks(ledger_descriptor)))


def _map_file(path: Path, size: int) -> tuple[int, memoryview]:
    """A descriptor of a file of so many bytes, and its 64-bit cells in memory. Raises OSError."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    os.ftruncate(descriptor, size)
    return descriptor, memoryview(mmap.mmap(descriptor, size)).cast("q")
