"""An instance's beats: cells of memory that it shares with its supervisor, written by its event loop as it turns.

Whoever reads them asks nobody: a process that stands still is seen to, and one that is slow to answer is not
disturbed.
A row is CELLS cells of 64 bits. The first is when the loop turned last, in nanoseconds of the machine's clock, and 0
before; the second is the supervisor's: whether the process is to leave new connections to others. The rest are its
account (`weldroute.outlier_detection.Counting`).
"""

from __future__ import annotations

import mmap
import os
import time
from typing import TYPE_CHECKING

from weldroute.outlier_detection import CELL_COUNT, TrafficCounters, TrafficRecorder, read_counters

if TYPE_CHECKING:
    from cometusher.proxy import Proxy

BOARD_FD = 9  # the descriptor that a process under a supervisor has it at
LAST_TURN_CELL, EJECTED_CELL = 0, 1  # cells
ROW_BYTES = 8 * CELL_COUNT  # bytes
MAX_ROWS = 4096  # processes that can be alive at once


def start_heartbeat(proxy: Proxy, row: int, interval: float) -> None:
    """Beat from here on, `every` so many seconds; keep an account, and heed the supervisor's word."""
    cells = memoryview(mmap.mmap(BOARD_FD, MAX_ROWS * ROW_BYTES))[row * ROW_BYTES : (row + 1) * ROW_BYTES].cast("q")
    recorder = proxy.traffic_counters = TrafficRecorder(cells)

    def beat() -> None:
        cells[LAST_TURN_CELL] = time.monotonic_ns()
        recorder.publish_state(proxy.discovery.seq, proxy.callers.out_of_descriptors)
        proxy.set_ejected(bool(cells[EJECTED_CELL]))
        proxy.loop.call_later(interval, beat)

    beat()


class HeartbeatBoard:
    """The supervisor's side: all rows."""

    def __init__(self) -> None:
        self.descriptor = os.memfd_create("board", os.MFD_CLOEXEC)
        os.ftruncate(self.descriptor, MAX_ROWS * ROW_BYTES)
        self._cells = memoryview(mmap.mmap(self.descriptor, MAX_ROWS * ROW_BYTES)).cast("q")
        self._free = list(range(MAX_ROWS - 1, -1, -1))

    def allocate_row(self) -> int:
        """A row of zeros; raises OSError where there is none."""
        if not self._free:
            raise OSError("no row of the board is free")
        row = self._free.pop()
        self._row(row)[:] = memoryview(bytes(ROW_BYTES)).cast("q")
        return row

    def _row(self, row: int) -> memoryview:
        return self._cells[row * CELL_COUNT : (row + 1) * CELL_COUNT]

    def release_row(self, row: int) -> None:
        """Its process has been reaped: nobody writes to it any more."""
        self._free.append(row)

    def last_turn(self, row: int) -> float:
        """Seconds of the machine's clock; 0 if its process has not begun to beat."""
        return self._cells[row * CELL_COUNT + LAST_TURN_CELL] / 1e9

    def traffic_counters(self, row: int, tier: int) -> TrafficCounters:
        """What its process has counted."""
        return read_counters(self._row(row).tolist(), tier)

    def set_ejected(self, row: int, ejected: bool) -> None:
        """Tell its process whether to leave new connections to others."""
        self._cells[row * CELL_COUNT + EJECTED_CELL] = ejected

    def close(self) -> None:
        """The supervisor ends."""
        os.close(self.descriptor)
