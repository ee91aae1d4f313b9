"""Ports of loopback for servers that a test or the demo is about to start."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from pathlib import Path

FIRST, LAST = 20000, 32000  # under the range that the kernel takes for outgoing connections (ip(7))
BLOCK = 100  # ports that one process has for itself at a time
_blocks: dict[int, int] = {}  # by first port: the descriptor that holds it
_left: list[int] = []  # of the blocks held, not given yet
_owner = 0  # the process that holds them: one that was forked has none


def _hold(first: int) -> int | None:
    """Hold a block for this process, until it ends; None if another has it."""
    path = Path(tempfile.gettempdir()) / f"ports-{os.getuid()}-{first}.lock"
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def _take_block() -> None:
    """One more block; raises OSError where there is none."""
    count = (LAST - FIRST) // BLOCK
    for i in range(count):
        first = FIRST + (os.getpid() + i) % count * BLOCK
        if first in _blocks:
            continue
        descriptor = _hold(first)
        if descriptor is not None:
            _blocks[first] = descriptor
            _left.extend(range(first, first + BLOCK))
            return
    raise OSError("no free ports")


def free_ports(count: int) -> list[int]:
    """Ports that nobody has now; none is given twice by one process, nor to two at the same time.

    Not those that the kernel would choose: any outgoing connection could take one of these meanwhile. Nor those of
    a process beside it: while a server is away, as tests have it, its port would look free.
    """
    global _owner
    if _owner != os.getpid():
        _owner = os.getpid()
        _blocks.clear()  # the parent's: its descriptors stay open here, and harm nobody
        _left.clear()
    found: list[int] = []
    while len(found) < count:
        if not _left:
            _take_block()
        port = _left.pop(0)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found
