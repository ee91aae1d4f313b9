"""Heartbeats of instances: cells of shared memory that each instance's event loop writes and its supervisor reads.

The supervisor sends no request, so it also notices a process that hangs, and does not disturb one that is slow.

A row has CELL_COUNT cells of 64 bits. The first holds the time of the last turn of the loop, in nanoseconds of the
machine's monotonic clock, and 0 before the first; the second is written by the supervisor: whether the process should
leave new connections to others. The rest are its traffic counters (`weldroute.outlier_detection.TrafficRecorder`).
"""

from __future__ import annotations

import mmap
import os
import time
from typing import TYPE_CHECKING

from weldroute.outlier_detection import CELL_COUNT, TrafficCounters, TrafficRecorder, read_counters

if TYPE_CHECKING:
    from cometusher.proxy import Proxy

BOARD_FD = 9  # number of the descriptor in an instance
LAST_TURN_CELL, EJECTED_CELL = 0, 1  # indexes of cells
ROW_BYTES = 8 * CELL_COUNT  # bytes
MAX_ROWS = 4096  # processes that can be alive at once


def start_heartbeat(proxy: Proxy, row: int, interval: float) -> None:
    """Write heartbeat and traffic counters every `interval` seconds, and apply the supervisor's ejection flag."""
    cells = memoryview(mmap.mmap(BOARD_FD, MAX_ROWS * ROW_BYTES))[row * ROW_BYTES : (row + 1) * ROW_BYTES].cast("q")
    recorder = proxy.traffic_counters = TrafficRecorder(cells)

    def write_heartbeat() -> None:
        cells[LAST_TURN_CELL] = time.monotonic_ns()
        recorder.publish_state(proxy.discovery.seq, proxy.callers.out_of_descriptors)
        proxy.set_ejected(bool(cells[EJECTED_CELL]))
        proxy.loop.call_later(interval, write_heartbeat)

    write_heartbeat()


class HeartbeatBoard:
    """The supervisor's side: the rows of all processes."""

    def __init__(self) -> None:
        self.descriptor = os.memfd_create("board", os.MFD_CLOEXEC)
        os.ftruncate(self.descriptor, MAX_ROWS * ROW_BYTES)
        self._cells = memoryview(mmap.mmap(self.descriptor, MAX_ROWS * ROW_BYTES)).cast("q")
        self._free = list(range(MAX_ROWS - 1, -1, -1))

    def allocate_row(self) -> int:
        """Return a free row, zeroed; raises OSError if there is none."""
        if not self._free:
            raise OSError("no row of the heartbeat board is free")
        row = self._free.pop()
        self._row(row)[:] = memoryview(bytes(ROW_BYTES)).cast("q")
        return row

    def _row(self, row: int) -> memoryview:
        return self._cells[row * CELL_COUNT : (row + 1) * CELL_COUNT]

    def release_row(self, row: int) -> None:
        """Free a row whose process has been reaped and writes no more."""
        self._free.append(row)

    def last_turn(self, row: int) -> float:
        """The time of the last heartbeat, in seconds of the monotonic clock; 0 before the first."""
        return self._cells[row * CELL_COUNT + LAST_TURN_CELL] / 1e9

    def traffic_counters(self, row: int, tier: int) -> TrafficCounters:
        """The traffic counters of the row's process, which belongs to `tier`."""
        return read_counters(self._row(row).tolist(), tier)

    def set_ejected(self, row: int, ejected: bool) -> None:
        """Tell the row's process whether to leave new connections to others."""
        self._cells[row * CELL_COUNT + EJECTED_CELL] = ejected

    def close(self) -> None:
        """Close the shared memory's descriptor."""
        os.close(self.descriptor)
