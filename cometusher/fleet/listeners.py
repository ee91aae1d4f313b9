"""The listeners of a fleet: the supervisor keeps them open, and every process of an instance gets a duplicate.

So a process can replace another without a connection being refused in between, and each address has a single owner
from the start. Sockets that a service manager passes (sd_listen_fds(3)) are used for the addresses that they are
bound to.
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
LISTEN_STATE = "0A"  # TCP_LISTEN, as /proc/net/tcp shows it


class AddressUnavailable(Exception):
    """An address cannot be listened on; the text names it and the process that has it."""


def passed_sockets(environ: Mapping[str, str]) -> list[socket.socket]:
    """Return the listeners that a service manager has passed to this process."""
    if environ.get("LISTEN_PID") != str(os.getpid()):
        return []
    count = environ.get("LISTEN_FDS", "")
    found = []
    for descriptor in range(FIRST_PASSED_FD, FIRST_PASSED_FD + (int(count) if count.isdigit() else 0)):
        try:
            os.set_inheritable(descriptor, False)
            found.append(socket.socket(fileno=descriptor))
        except OSError as error:
            log.warning("passed descriptor %d is not a socket: %s", descriptor, error)
    return found


def _listening_inodes(address: Address) -> set[str]:
    """Return the inodes of sockets that listen on an address, or on all addresses with its port."""
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
            # Each group of four bytes is in the machine's byte order.
            words = [bytes.fromhex(host[i : i + 8])[::-1] for i in range(0, len(host), 8)]
            bound = ipaddress.ip_address(b"".join(words))
            if bound == target or bound.is_unspecified or target.is_unspecified:
                found.add(f"socket:[{columns[9]}]")
    return found


def describe_listener(address: Address) -> str:
    """Describe the process that listens on an address, for error messages."""
    inodes = _listening_inodes(address)
    for entry in os.scandir("/proc") if inodes else ():
        if not entry.name.isdigit():
            continue
        try:
            links = [os.readlink(link.path) for link in os.scandir(f"/proc/{entry.name}/fd")]
            name = Path(f"/proc/{entry.name}/comm").read_text().strip()
        except OSError:
            continue  # it has exited, or belongs to another user
        if inodes & set(links):
            return f"pid {entry.name} ({name})"
    return "an unknown process (it may belong to another user)"


class Listeners:
    """The open listeners, by instance."""

    def __init__(self, passed: list[socket.socket]) -> None:
        self._open: dict[str, socket.socket] = {}
        self._passed = {sock.getsockname()[:2]: sock for sock in passed}

    def get(self, name: str, address: Address) -> socket.socket:
        """Return an instance's listener, opened if necessary; raises AddressUnavailable."""
        if name not in self._open:
            passed = self._passed.get(address)
            if passed is not None:
                self._open[name] = passed.dup()  # the passed socket stays open for the next start
                return self._open[name]
            try:
                self._open[name] = open_listener(address)
            except OSError as error:
                holder = f" by {describe_listener(address)}" if error.errno == errno.EADDRINUSE else ""
                text = "taken" if error.errno == errno.EADDRINUSE else str(error.strerror or error)
                raise AddressUnavailable(f"{name}: {address[0]}:{address[1]} is {text}{holder}") from None
        return self._open[name]

    def find(self, name: str) -> socket.socket | None:
        """Return an instance's listener if it is open in this process."""
        return self._open.get(name)

    def release(self, name: str) -> None:
        """Close an instance's listener in this process; duplicates in other processes stay open."""
        listener = self._open.pop(name, None)
        if listener is not None:
            listener.close()

    def release_all(self) -> None:
        """Close all listeners in this process."""
        for name in list(self._open):
            self.release(name)
