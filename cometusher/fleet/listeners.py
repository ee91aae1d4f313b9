"""The listeners of a fleet: the supervisor holds them, and every process of an instance gets a copy.

So one process can take over from another with no connection refused between them, and an address has one owner
from the first moment on. Sockets that a service manager hands over (sd_listen_fds(3)) are used for the addresses
that they are bound to.
"""

from __future__ import annotations

import errno
import ipaddress
import logging
import os
import socket
from collections.abc import Mapping
from pathlib import Path

from cometusher.config import Address
from cometusher.runtime import open_listener

log = logging.getLogger(__name__)

FIRST_PASSED_FD = 3  # SD_LISTEN_FDS_START
LISTEN_STATE = "0A"  # in /proc/net/tcp


class AddressUnavailable(Exception):
    """An address can't be listened on; the text says which and who has it."""


def passed_sockets(environ: Mapping[str, str]) -> list[socket.socket]:
    """The listeners that a service manager handed over, if they are meant for this process."""
    if environ.get("LISTEN_PID") != str(os.getpid()):
        return []
    count = environ.get("LISTEN_FDS", "")
    found = []
    for descriptor in range(FIRST_PASSED_FD, FIRST_PASSED_FD + (int(count) if count.isdigit() else 0)):
        try:
            os.set_inheritable(descriptor, False)
            found.append(socket.socket(fileno=descriptor))
        except OSError as error:
            log.warning("descriptor %d was passed and is no socket: %s", descriptor, error)
    return found


def _listening_inodes(address: Address) -> set[str]:
    """Inodes of the sockets that listen on an address, or on all addresses with its port."""
    target = ipaddress.ip_address(address[0])
    found = set()
    for table in ("/proc/net/tcp", "/proc/net/tcp6"):
        try:
            rows = Path(table).read_text().splitlines()[1:]
        except OSError:
            continue
        for row in rows:
            columns = row.split()
            host, _, port = columns[1].partition(":")
            if columns[3] != LISTEN_STATE or int(port, 16) != address[1]:
                continue
            # Each group of four bytes is in the machine's order.
            words = [bytes.fromhex(host[i : i + 8])[::-1] for i in range(0, len(host), 8)]
            bound = ipaddress.ip_address(b"".join(words))
            if bound == target or bound.is_unspecified or target.is_unspecified:
                found.add(f"socket:[{columns[9]}]")
    return found


def describe_listener(address: Address) -> str:
    """The process that has an address, for people."""
    inodes = _listening_inodes(address)
    for entry in os.scandir("/proc") if inodes else ():
        if not entry.name.isdigit():
            continue
        try:
            links = [os.readlink(link.path) for link in os.scandir(f"/proc/{entry.name}/fd")]
            name = Path(f"/proc/{entry.name}/comm").read_text().strip()
        except OSError:
            continue  # it has ended, or is another user's
        if inodes & set(links):
            return f"pid {entry.name} ({name})"
    return "a process that can't be seen from here"


class Listeners:
    """Open listeners by the name of their instance."""

    def __init__(self, passed: list[socket.socket]) -> None:
        self._open: dict[str, socket.socket] = {}
        self._passed = {sock.getsockname()[:2]: sock for sock in passed}

    def get(self, name: str, address: Address) -> socket.socket:
        """An instance's listener, opened if need be; raises Taken."""
        if name not in self._open:
            passed = self._passed.get(address)
            if passed is not None:
                self._open[name] = passed.dup()  # the manager's own stays, for the next start
                return self._open[name]
            try:
                self._open[name] = open_listener(address)
            except OSError as error:
                holder = f" by {describe_listener(address)}" if error.errno == errno.EADDRINUSE else ""
                text = "taken" if error.errno == errno.EADDRINUSE else str(error.strerror or error)
                raise AddressUnavailable(f"{name}: {address[0]}:{address[1]} is {text}{holder}") from None
        return self._open[name]

    def find(self, name: str) -> socket.socket | None:
        """An instance's listener, if it is open here."""
        return self._open.get(name)

    def release(self, name: str) -> None:
        """Close an instance's listener here; copies that processes hold stay open."""
        listener = self._open.pop(name, None)
        if listener is not None:
            listener.close()

    def release_all(self) -> None:
        """Close them all."""
        for name in list(self._open):
            self.release(name)
