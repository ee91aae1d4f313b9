"""Storage that the processes of one proxy share during a hot restart; the design is in `docs/design/upgrade.md`.

`standing` (operator orders) and `learned` (learned state) hold one JSON object each, preceded by its checksum, and
are replaced as a whole. `ledger` is one page of shared memory: a row of four numbers for each process, written only
by the process that holds the lock on the row. `open` has a row for each process too: the ids of its open requests.
Unreadable data is logged and ignored; nothing here ends a process. The storage itself is injected: a folder, or the
memory of a simulated world.
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
MAX_PROCESSES = 8  # at the same time; more than two only when hot restarts follow each other closely
ORDERS_CELL = 32  # the cell after the rows: counts the operators' orders
CELLS_PER_PROCESS = 4  # generation, stage, descriptors, bytes of bodies
LEDGER_SIZE = 4096  # bytes: one page
SharedCells = MutableSequence[int] | memoryview  # of 64 bits
MAX_FILE_SIZE = 8 * 1024 * 1024  # bytes


class ProcessLocks(Protocol):
    """One lock for each row of the ledger; a dead process holds none."""

    def try_lock(self, row: int) -> bool:
        """Acquire a row's lock; returns False if another process holds it."""

    def unlock(self, row: int) -> None:
        """Release a row's lock."""


class HandoverStore(Protocol):
    """Named pieces of data, each replaced as a whole."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the data atomically: a reader finds the old or the new version. Raises OSError."""

    def read(self, name: str) -> bytes | None:
        """The stored data, at most MAX_FILE_SIZE + 1 bytes of it; None if there is none. Raises OSError."""

    def revision(self, name: str) -> Hashable | None:
        """A value that differs after each replacement; None if there is no data."""


class ProcessLedger:
    """Shared memory with the current state of each process of one proxy. Raises OSError if no row is free."""

    def __init__(self, values: SharedCells, id_cells: SharedCells, locks: ProcessLocks) -> None:
        self._values = values  # shared: MAX_PROCESSES rows of CELLS_PER_PROCESS, then the ORDERS_CELL
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
        """Whether the process of a row is alive; a dead one's row is cleared."""
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
        """Clear the rows of dead processes: the kernel has released their locks."""
        for row in range(MAX_PROCESSES):
            if row * CELLS_PER_PROCESS != self._row_start and self._values[row * CELLS_PER_PROCESS]:
                self._is_alive(row)

    def others(self) -> list[ProcessEntry]:
        """The valid entries of the other processes."""
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
        """Whether a newer process serves, so that this one leaves new connections to it."""
        self.clear_dead()
        return should_yield(self.generation, self.others())

    def set_stage(self, stage: ProcessStage) -> None:
        """Publish the stage of this process."""
        self._values[self._row_start + 1] = stage

    def order_count(self) -> int:
        """A number that changes with each order that any of the processes receives."""
        return self._values[ORDERS_CELL]

    def count_order(self) -> None:
        """Announce to the other processes that a new order has been stored."""
        self._values[ORDERS_CELL] += 1

    def descriptors_of_others(self) -> int:
        """Number of descriptors that the other processes use."""
        values, own_start = self._values, self._row_start
        return sum(
            values[start + 2]
            for start in range(0, MAX_PROCESSES * CELLS_PER_PROCESS, CELLS_PER_PROCESS)
            if start != own_start
        )

    def body_bytes_of_others(self) -> int:
        """Number of bytes of bodies that the other processes hold."""
        values, own_start = self._values, self._row_start
        return sum(
            values[start + 3]
            for start in range(0, MAX_PROCESSES * CELLS_PER_PROCESS, CELLS_PER_PROCESS)
            if start != own_start
        )

    def report_descriptors(self, count: int) -> None:
        """Publish the number of descriptors that this process uses."""
        self._values[self._row_start + 2] = count

    def report_body_bytes(self, count: int) -> None:
        """Publish the number of bytes of bodies that this process holds."""
        self._values[self._row_start + 3] = count


class Handover:
    """Everything that one process shares with the others of its proxy."""

    def __init__(self, store: HandoverStore, ledger: ProcessLedger) -> None:
        self._store = store
        self.ledger = ledger
        self._seen_revision: Hashable | None = None  # of the operator orders, when last read or written

    def write(self, name: str, state: dict[str, Any]) -> None:
        """Replace a stored state as a whole. Raises OSError."""
        data = orjson.dumps(state)
        self._store.replace(name, b"%08x\n" % zlib.crc32(data) + data)
        if name == "standing":
            self._seen_revision = self._store.revision(name)

    def read(self, name: str) -> Any:
        """A stored state; None if there is none, or if it cannot be read, which is logged."""
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
                raise UnusableState("wrong checksum")
            return orjson.loads(body)
        except (UnusableState, orjson.JSONDecodeError) as error:
            log.warning("%s: ignored: %s", name, error)
            return None

    def new_orders(self) -> Any:
        """The operator orders if another process has written them since they were last read, else None."""
        revision = self._store.revision("standing")
        if revision is None or revision == self._seen_revision:
            return None
        self._seen_revision = revision
        return self.read("standing")


# ---- storage in a folder -----------------------------------------------------------------


class FileRangeLocks:
    """Locks one byte of a file per row; the kernel releases the locks of a dead process."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor

    def try_lock(self, row: int) -> bool:
        """Acquire a row's lock; returns False if another process holds it."""
        try:
            fcntl.lockf(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, row)
        except OSError:
            return False
        return True

    def unlock(self, row: int) -> None:
        """Release a row's lock."""
        fcntl.lockf(self._descriptor, fcntl.LOCK_UN, 1, row)


class FolderStore:
    """Stores each piece of data as a file of a folder."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def replace(self, name: str, data: bytes) -> None:
        """Replace the data atomically: a reader finds the old or the new version. Raises OSError."""
        temporary = self._path / f"{name}.{os.getpid()}"
        temporary.write_bytes(data)
        temporary.replace(self._path / name)

    def read(self, name: str) -> bytes | None:
        """The stored data, at most MAX_FILE_SIZE + 1 bytes of it; None if there is none. Raises OSError."""
        try:
            with (self._path / name).open("rb") as file:
                return file.read(MAX_FILE_SIZE + 1)
        except FileNotFoundError:
            return None

    def revision(self, name: str) -> Hashable | None:
        """Modification time and inode of the file; None if there is none."""
        with contextlib.suppress(OSError):
            status = os.stat(self._path / name)
            return status.st_mtime_ns, status.st_ino
        return None


def open_in_folder(parent: str) -> Handover:
    """Open the shared state in the subfolder FOLDER_NAME, created if missing. Raises OSError."""
    path = Path(parent) / FOLDER_NAME
    path.mkdir(mode=0o700, exist_ok=True)
    ledger_descriptor, values = _map_file(path / "ledger", LEDGER_SIZE)
    _, id_cells = _map_file(path / "open", 8 * MAX_PROCESSES * OpenRequestIds.ROW_WIDTH)
    return Handover(FolderStore(path), ProcessLedger(values, id_cells, FileRangeLocks(ledger_descriptor)))


def _map_file(path: Path, size: int) -> tuple[int, memoryview]:
    """Open and map a file of `size` bytes; returns its descriptor and its 64-bit cells. Raises OSError."""
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    os.ftruncate(descriptor, size)
    return descriptor, memoryview(mmap.mmap(descriptor, size)).cast("q")
