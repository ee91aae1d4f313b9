"""Reads the kernel's byte counters of a TCP connection (tcp(7), TCP_INFO), and identifies connections.

The counters are exact whatever the process was doing when it died: `bytes_acked` and the bytes in the send queue make
up all that programs have written; `bytes_received` less the bytes in the receive queue is all that they have read. A
connection that this side has opened counts its SYN as a byte, and the peer's FIN counts as a byte received (RFC 9293,
section 3.4).
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

BYTE_COUNTERS = struct.Struct("=QQ")  # tcpi_bytes_acked, tcpi_bytes_received
BYTE_COUNTERS_OFFSET = 120  # in struct tcp_info (linux/tcp.h)
LAST_DATA_AGE = struct.Struct("=I")  # tcpi_last_data_recv: milliseconds since the last data arrived
LAST_DATA_AGE_OFFSET = 52
MAX_SNAPSHOT_READS = 64
ESTABLISHED, FIN_WAIT1, FIN_WAIT2, CLOSE_WAIT = 1, 4, 5, 8  # tcpi_state


def address_pair_id(local: Any, peer: Any) -> int:
    """A connection id, derived from the connection's two addresses; 0 where it has none any more."""
    return zlib.crc32(repr((local, peer)).encode()) if local and peer else 0


def connection_id_of(sock: socket.socket) -> int:
    """The connection id of a socket; 0 where it is not connected."""
    try:
        return address_pair_id(sock.getsockname(), sock.getpeername())
    except OSError:
        return 0


def read_counters_at(descriptor: int, connection_id: int) -> ConnectionCounters | None:
    """Read the counters of a caller's connection by its descriptor, which stays open; see `read_counters`."""
    sock = socket.socket(fileno=descriptor)
    try:
        return read_counters(sock, connection_id, opened_here=False)
    finally:
        sock.detach()


def _queue_length(sock: socket.socket, request: int) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), request, count)
    return count[0]


def _consistent_snapshot(sock: socket.socket) -> tuple[bytes, int, int]:
    """Read TCP_INFO and the unsent and unread byte counts of the same instant; raises OSError.

    This takes three system calls. What arrives between them (a late acknowledgement, the caller's next request) would
    be counted on one side only, so they are repeated until nothing has changed in between. A connection whose queues
    keep changing is given up.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size)
    for _ in range(MAX_SNAPSHOT_READS):
        unsent, unread = _queue_length(sock, termios.TIOCOUTQ), _queue_length(sock, termios.FIONREAD)
        again = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size)
        if again[BYTE_COUNTERS_OFFSET:] == info[BYTE_COUNTERS_OFFSET:] and again[0] == info[0]:
            return again, unsent, unread
        info = again
    raise OSError("the connection's queues keep changing")


def read_counters(sock: socket.socket, connection_id: int, opened_here: bool) -> ConnectionCounters | None:
    """Read the counters of a connection; None if it is closed, or does not have this id."""
    if not connection_id or connection_id_of(sock) != connection_id:
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
    closed_by_peer = info[0] == CLOSE_WAIT
    last_data_age = LAST_DATA_AGE.unpack_from(info, LAST_DATA_AGE_OFFSET)[0] / 1000.0 if unread else 0.0
    return ConnectionCounters(
        acked - opened_here + unsent, received - closed_by_peer - unread, closed_by_peer, unread, last_data_age
    )
