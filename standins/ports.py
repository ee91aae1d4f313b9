"""Finds free loopback ports for servers that a test or the demo is about to start."""

from __future__ import annotations

import fcntl
import os
import socket
import tempfile
from pathlib import Path

FIRST_PORT, LAST_PORT = 20000, 32000  # below the kernel's range for outgoing connections (ip(7))
BLOCK_SIZE = 100  # ports in a block, which one process locks for itself
_lock_descriptors: dict[int, int] = {}  # by first port of a block
_free: list[int] = []  # ports of the locked blocks that were not given out
_owner = 0  # id of the process that locked the blocks; a forked child owns none


def _lock_block(first: int) -> int | None:
    """Lock a block for this process until it ends; returns None if another process has it."""
    path = Path(tempfile.gettempdir()) / f"ports-{os.getuid()}-{first}.lock"
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        return None
    return descriptor


def _take_block() -> None:
    """Lock one more block; raises OSError if none is free."""
    count = (LAST_PORT - FIRST_PORT) // BLOCK_SIZE
    for i in range(count):
        first = FIRST_PORT + (os.getpid() + i) % count * BLOCK_SIZE
        if first in _lock_descriptors:
            continue
        descriptor = _lock_block(first)
        if descriptor is not None:
            _lock_descriptors[first] = descriptor
            _free.extend(range(first, first + BLOCK_SIZE))
            return
    raise OSError("no free ports")


def free_ports(count: int) -> list[int]:
    """Ports that are free now; no port is given out twice by one process, or by two processes at the same time.

    The kernel's ephemeral ports are avoided, as an outgoing connection could take one at any time. Other processes'
    blocks are avoided, as the port of a server that a test has stopped for a while would look free.
    """
    global _owner
    if _owner != os.getpid():
        _owner = os.getpid()
        _lock_descriptors.clear()  # the parent's, whose descriptors stay open in this process without effect
        _free.clear()
    ports: list[int] = []
    while len(ports) < count:
        if not _free:
            _take_block()
        port = _free.pop(0)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
    return ports
