"""Notifies the service manager of state changes and feeds its watchdog, see sd_notify(3)."""

from __future__ import annotations

import contextlib
import os
import socket
import time
from collections.abc import Mapping


class ServiceManager:
    """Sends states to NOTIFY_SOCKET; does nothing if it is not set."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        address = environ.get("NOTIFY_SOCKET", "")
        # A leading '@' means the abstract namespace.
        self._address = "\0" + address[1:] if address.startswith("@") else address
        self._socket: socket.socket | None = None
        if self._address:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)
        usec = environ.get("WATCHDOG_USEC", "")
        is_for_this_process = environ.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        self.watchdog_interval = (
            int(usec) / 2e6 if usec.isdigit() and is_for_this_process else 0.0
        )  # seconds between notifications: half of the manager's limit; 0 without a watchdog
        self._fed_at = 0.0

    def send(self, *lines: str) -> None:
        """Send states; a manager that does not read them must not block the supervisor."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.sendto("\n".join(lines).encode(), self._address)

    def ready(self, text: str) -> None:
        """Every instance has started or has failed to."""
        self.send("READY=1", f"MAINPID={os.getpid()}", f"STATUS={text}")

    def reloading(self) -> None:
        """A new configuration is being applied; must be followed by `ready`."""
        self.send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def stopping(self) -> None:
        """The shutdown has begun."""
        self.send("STOPPING=1")

    def feed_watchdog(self, now: float) -> None:
        """Notify the watchdog if it is time to."""
        if self.watchdog_interval and now - self._fed_at >= self.watchdog_interval:
            self._fed_at = now
            self.send("WATCHDOG=1")
