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

from weldroute.takeover import Seen

ACKED = struct.Struct("=QQ")  # tcpi_bytes_acked, tcpi_bytes_received...
ACKED_AT = 120  # ...and where they stand in struct tcp_info (linux/tcp.h)
HEARD = struct.Struct("=I")  # tcpi_last_data_recv: milliseconds since the last data came
HEARD_AT = 52
LOOKS = 64
ESTABLISHED, FIN_WAIT1, FIN_WAIT2, CLOSE_WAIT = 1, 4, 5, 8


def name_by(here: Any, there: Any) -> int:
    """A number for a connection by its two addresses; 0 where it has none any more."""
    return zlib.crc32(repr((here, there)).encode()) if here and there else 0


def name_of(sock: socket.socket) -> int:
    """The same for a socket."""
    try:
        return name_by(sock.getsockname(), sock.getpeername())
    except OSError:
        return 0


def look_at(descriptor: int, name: int) -> Seen | None:
    """The account of a caller's connection by its descriptor, which stays open."""
    sock = socket.socket(fileno=descriptor)
    try:
        return look(sock, name, opened_here=False)
    finally:
        sock.detach()


def _queue(sock: socket.socket, which: int) -> int:
    count = array.array("i", [0])
    fcntl.ioctl(sock.fileno(), which, count)
    return count[0]


def _at_one_moment(sock: socket.socket) -> tuple[bytes, int, int]:
    """TCP_INFO, and what is unsent and unread, that belong together; raises OSError.

    Three calls: what arrives between them (a late acknowledgement, the caller's next request) would be counted on
    one side only. So it is looked at until nothing has changed meanwhile; a queue that never rests is given up.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, ACKED_AT + ACKED.size)
    for _ in range(LOOKS):
        unsent, unread = _queue(sock, termios.TIOCOUTQ), _queue(sock, termios.FIONREAD)
        again = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, ACKED_AT + ACKED.size)
        if again[ACKED_AT:] == info[ACKED_AT:] and again[0] == info[0]:
            return again, unsent, unread
        info = again
    raise OSError("never at rest")


def look(sock: socket.socket, name: int, opened_here: bool) -> Seen | None:
    """The account of a connection; None if it is gone, or is not the one of this name."""
    if not name or name_of(sock) != name:
        return None
    try:
        info, unsent, unread = _at_one_moment(sock)
    except OSError:
        return None
    if len(info) < ACKED_AT + ACKED.size or info[0] not in (ESTABLISHED, FIN_WAIT1, FIN_WAIT2, CLOSE_WAIT):
        return None
    acked, received = ACKED.unpack_from(info, ACKED_AT)
    ended = info[0] == CLOSE_WAIT
    quiet = HEARD.unpack_from(info, HEARD_AT)[0] / 1000.0 if unread else 0.0
    return Seen(acked - opened_here + unsent, received - ended - unread, ended, unread, quiet)
