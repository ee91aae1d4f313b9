"""Ports of loopback for servers that a test or the demo is about to start."""

from __future__ import annotations

import os
import socket

FIRST, LAST = 20000, 32000  # under the range that the kernel takes for outgoing connections (ip(7))
_given: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Ports that nobody has now; no port is given twice by one process.

    Not those that the kernel would choose: any outgoing connection could take one of these meanwhile.
    """
    span = LAST - FIRST
    found: list[int] = []
    offset = os.getpid() * 61
    for i in range(span):
        port = FIRST + (offset + i) % span
        if port in _given:
            continue
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given.add(port)
        found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")
