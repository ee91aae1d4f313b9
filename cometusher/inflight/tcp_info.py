"""The kernel's own account of a connection (tcp(7), TCP_INFO): what went out, what was read, and whose it is.

Exact whatever the process was doing when it died: `bytes_acked` and what waits in the queue make up all that programs
have written; `bytes_received` less what waits to be read is all that they have read. A connection that this side has
opened counts its SYN as a byte, and the far side's FIN counts as one received (RFC 9293, 3.4).
"""

from __future__ import annotations

import array
import fcntl
import socket
import struct
import termios
import zlib
from typing import Any

from weldroute.takeover import ConnectionCounters

BYTE_COUNTERS = struct.Struct("=QQ")  # tcpi_bytes_acked, tcpi_bytes_received...
BYTE_COUNTERS_OFFSET = 120  # ...and where they stand in struct tcp_info (linux/tcp.h)
LAST_DATA_AGE = struct.Struct("=I")  # tcpi_last_data_recv: milliseconds since the last data came
LAST_DATA_AGE_OFFSET = 52
MAX_SNAPSHOT_READS = 64
ESTABLISHED, FIN_WAIT1, FIN_WAIT2, CLOSE_WAIT = 1, 4, 5, 8


def address_pair_id(here: Any, there: Any) -> int:
    """A number for a connection by its two addresses; 0 where it has none any more."""
    return zlib.crc32(repr((here, there)).encode()) if here and there else 0


def connection_id_of(sock: socket.socket) -> int:
    """The same for a socket."""
    try:
        return address_pair_id(sock.getsockname(), sock.getpeername())
    except OSError:
        return 0


def read_counters_at(descriptor: int, name: int) -> ConnectionCounters | None:
    """The account of a caller's connection by its descriptor, which stays open."""
    sock = socket.socket(fileno=descriptor)
    try:
        return read_counters(sock, name, opened_here=False)
    finally:
        sock.detach()


def _queue_length(sock: socket.socket, which: int) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), which, count)
    return count[0]


def _consistent_snapshot(sock: socket.socket) -> tuple[bytes, int, int]:
    """TCP_INFO, and what is unsent and unread, that belong together; raises OSError.

    Three calls: what arrives between them (a late acknowledgement, the caller's next request) would be counted on
    one side only. So it is looked at until nothing has changed meanwhile; a queue that never rests is given up.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size)
    for _ in range(MAX_SNAPSHOT_READS):
        unsent, unread = _queue_length(sock, termios.TIOCOUTQ), _queue_length(sock, termios.FIONREAD)
        again = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size)
        if again[BYTE_COUNTERS_OFFSET:] == info[BYTE_COUNTERS_OFFSET:] and again[0] == info[0]:
            return again, unsent, unread
        info = again
    raise OSError("never at rest")


def read_counters(sock: socket.socket, name: int, opened_here: bool) -> ConnectionCounters | None:
    """The account of a connection; None if it is gone, or is not the one of this name."""
    if not name or connection_id_of(sock) != name:
        return None
    try:
        info, unsent, unread = _consistent_snapshot(sock)
    except OSError:
        return None
    if len(info) < BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size or info[0] not in (
        ESTABLISHED,
        FIN_WAIT1,
        FIN_WAIT2,
        CLOSE_WAIT,
    ):
        return None
    acked, received = BYTE_COUNTERS.unpack_from(info, BYTE_COUNTERS_OFFSET)
    ended = info[0] == CLOSE_WAIT
    quiet = LAST_DATA_AGE.unpack_from(info, LAST_DATA_AGE_OFFSET)[0] / 1000.0 if unread else 0.0
    return ConnectionCounters(acked - opened_here + unsent, received - ended - unread, ended, unread, quiet)
