"""The service manager's side: sd_notify(3) and its watchdog, as far as a supervisor needs them."""

from __future__ import annotations

import contextlib
import os
import socket
import time
from collections.abc import Mapping


class ServiceManager:
    """Sends states to NOTIFY_SOCKET; does nothing where there is none."""

    def __init__(self, environ: Mapping[str, str]) -> None:
        address = environ.get("NOTIFY_SOCKET", "")
        # A leading '@' stands for the abstract namespace.
        self._address = "\0" + address[1:] if address.startswith("@") else address
        self._socket: socket.socket | None = None
        if self._address:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)
        usec = environ.get("WATCHDOG_USEC", "")
        is_for_this_process = environ.get("WATCHDOG_PID", str(os.getpid())) == str(os.getpid())
        self.watchdog_interval = (
            int(usec) / 2e6 if usec.isdigit() and is_for_this_process else 0.0
        )  # seconds between signs of life
        self._fed_at = 0.0

    def send(self, *lines: str) -> None:
        """Send states; a manager that does not read must not stop us."""
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.sendto("\n".join(lines).encode(), self._address)

    def ready(self, text: str) -> None:
        """All that was to start has started, or has been given up."""
        self.send("READY=1", f"MAINPID={os.getpid()}", f"STATUS={text}")

    def reloading(self) -> None:
        """A new configuration is being taken over; to be followed by `ready`."""
        self.send("RELOADING=1", f"MONOTONIC_USEC={time.monotonic_ns() // 1000}")

    def stopping(self) -> None:
        """The end has begun."""
        self.send("STOPPING=1")

    def feed_watchdog(self, now: float) -> None:
        """A sign of life, as often as the watchdog wants."""
        if self.watchdog_interval and now - self._fed_at >= self.watchdog_interval:
            self._fed_at = now
            self.send("WATCHDOG=1")
