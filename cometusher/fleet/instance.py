"""Runs a proxy as an instance under a supervisor: reports through the status pipe and watches the lifeline.

The descriptors have fixed numbers: 3 is the listener (as with LISTEN_FDS), 4 the write end of the status pipe, 5 the
read end of the lifeline. The status pipe carries JSON lines: `{"event":"ready"}`, `{"event":"beat",...}` every
second, `{"event":"reloaded","why":null}`, `{"event":"stopping"}`, and events of further subsystems. The lifeline
carries no data: it closes when the supervisor exits, in whatever way, and the instance then shuts down gracefully, as
on SIGTERM.
"""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import socket
import sys
from collections import deque
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson
import uvloop

from cometusher import config, logs, service
from cometusher.config import Config
from cometusher.proxy import Proxy

if TYPE_CHECKING:
    from cometusher.inflight.tracker import ReceivedOffer

LISTENER_FD, STATUS_FD, LIFELINE_FD = 3, 4, 5
HEARTBEAT_INTERVAL = 1.0  # seconds between reports on the status pipe
MAX_QUEUED_LINES = 64  # lines that wait for room in the status pipe
REPORTED_COUNTERS = ("served", "refused", "failed", "malformed", "left")


class SupervisorChannel:
    """Reports to the supervisor through the status pipe; implements `service.Parent`."""

    def __init__(self, name: str, generation: str) -> None:
        self._instance_id = f"{name}/{generation}".encode()
        self._lines: deque[bytes] = deque(maxlen=MAX_QUEUED_LINES)
        self._proxy: Proxy | None = None
        os.set_blocking(STATUS_FD, False)

    def _send(self, **values: Any) -> None:
        """Queue and write a line; the supervisor may be paused, so lines without room are written with later ones."""
        self._lines.append(orjson.dumps(values) + b"\n")
        try:
            while self._lines:
                os.write(STATUS_FD, self._lines[0])
                self._lines.popleft()
        except OSError:
            pass  # no room, or the supervisor has exited, which the lifeline shows

    def on_started(self, proxy: Proxy, stop: asyncio.Event) -> None:
        """Report that the proxy is ready, start the periodic reports, and watch the lifeline."""
        self._proxy = proxy
        proxy.identity_headers = [(b"x-instance", self._instance_id)]
        loop = asyncio.get_running_loop()

        def orphaned() -> None:
            loop.remove_reader(LIFELINE_FD)
            logging.warning("the supervisor has exited; shutting down")
            stop.set()

        loop.add_reader(LIFELINE_FD, orphaned)
        self._send(event="ready")
        if proxy.recovery is not None:
            proxy.recovery.report = self._report_recovery
            self._report_recovery(proxy.recovery.status())
        if proxy.inflight is not None:
            proxy.inflight.report_declined = self._report_declined
        if os.environ.get("FLEET_VIGIL") == "1":
            self._start_heartbeat(proxy)
        self._report_counters(loop)

    @staticmethod
    def _start_heartbeat(proxy: Proxy) -> None:
        """Write the heartbeat on the supervisor's board, as this process's file configures it."""
        from cometusher.fleet.heartbeat import start_heartbeat

        values = orjson.loads(Path(os.environ["LB_CONFIG"]).read_bytes())["vigil"]
        start_heartbeat(proxy, int(values["row"]), float(values["beat"]))

    def _report_declined(self, offer: ReceivedOffer) -> None:
        self._send(event="declined", process=offer.process, slot=offer.slot, term=offer.term)

    def _report_recovery(self, values: dict[str, Any]) -> None:
        self._send(event="comeback", **values)

    def _report_counters(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(HEARTBEAT_INTERVAL, self._report_counters, loop)
        assert self._proxy is not None
        counters = self._proxy.counters
        inflight = {"hand": self._proxy.inflight.counters()} if self._proxy.inflight is not None else {}
        reported = {name: counters.get(name, 0) for name in REPORTED_COUNTERS}
        self._send(event="beat", open=self._proxy.open_requests, **reported, **inflight)

    def on_reloaded(self, why: str | None) -> None:
        """Report the outcome of a reload."""
        self._send(event="reloaded", why=why)

    def on_stopping(self) -> None:
        """Report that no new connections are accepted."""
        self._send(event="stopping")


def _with_supervisor_values(settings: Config) -> Config:
    """Add the supervisor's settings for recovery and the request journal, if enabled; raises ConfigError."""
    path = Path(os.environ["LB_CONFIG"])
    if os.environ.get("FLEET_COMEBACK") == "1":
        from cometusher.recovery import read_recovery_config

        settings = replace(settings, recovery=read_recovery_config(path))
    if os.environ.get("FLEET_TAKEOVER") == "1":
        from cometusher.inflight.endpoint import read_assignment

        settings = replace(settings, journal=read_assignment(path))
    return settings


def _start_descriptor_holder() -> None:
    """Start the descriptor holder before there is a second thread; without one, in-flight requests die with us."""
    from cometusher.inflight import descriptor_holder
    from cometusher.inflight.endpoint import HOLDER_FD

    try:
        descriptor_holder.start(HOLDER_FD)
    except OSError as error:
        logging.warning("no descriptor holder; in-flight requests cannot be taken over: %s", error)


def main() -> int:
    """Run one proxy under a supervisor; return the exit code."""
    # A reload signal that arrives before there is anything to reload must not kill the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    name = os.environ.get("FLEET_INSTANCE", "?")
    logs.log_to_pipe(sys.stderr.fileno(), name)
    try:
        settings = _with_supervisor_values(config.load(os.environ))
    except config.ConfigError as error:
        logging.error("%s", error)
        return 2
    if settings.journal is not None:
        _start_descriptor_holder()
    listener = socket.socket(fileno=LISTENER_FD)
    uvloop.run(service.serve(settings, listener, SupervisorChannel(name, os.environ.get("FLEET_GENERATION", "0"))))
    return 0
