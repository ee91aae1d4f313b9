"""An instance's own side of its supervisor: the status pipe, the lifeline, and the start under them.

The descriptors have fixed numbers: 3 the listener (as LISTEN_FDS has it), 4 the status pipe to write to, 5 the
lifeline to read from. The status pipe carries JSON lines: `{"event":"ready"}`, `{"event":"beat",...}` every
second, `{"event":"reloaded","why":null}`, `{"event":"stopping"}`; what further subsystems tell are events of theirs.
The lifeline carries nothing: it ends when the supervisor does, however it does, and an instance then ends in order,
as on SIGTERM.
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

LISTENER, STATUS, LIFELINE = 3, 4, 5
BEAT = 1.0  # seconds between signs of life
MOST_WAITING = 64  # lines that wait for room in the pipe
COUNTED = ("served", "refused", "failed", "malformed", "left")


class Channel:
    """The way to the supervisor; a `service.Parent`."""

    def __init__(self, name: str, generation: str) -> None:
        self._mark = f"{name}/{generation}".encode()
        self._lines: deque[bytes] = deque(maxlen=MOST_WAITING)
        self._proxy: Proxy | None = None
        os.set_blocking(STATUS, False)

    def _say(self, **values: Any) -> None:
        """Write a line; one that finds no room waits for the next beat, for the supervisor may be paused."""
        self._lines.append(orjson.dumps(values) + b"\n")
        try:
            while self._lines:
                os.write(STATUS, self._lines[0])
                self._lines.popleft()
        except OSError:
            pass  # no room, or no supervisor: the lifeline tells

    def started(self, proxy: Proxy, stop: asyncio.Event) -> None:
        """Say so, and watch the lifeline from here on."""
        self._proxy = proxy
        proxy.identity_headers = [(b"x-instance", self._mark)]
        loop = asyncio.get_running_loop()

        def orphaned() -> None:
            loop.remove_reader(LIFELINE)
            logging.warning("the supervisor is gone; ending in order")
            stop.set()

        loop.add_reader(LIFELINE, orphaned)
        self._say(event="ready")
        if proxy.recovery is not None:
            proxy.recovery.report = self._tell_comeback
            self._tell_comeback(proxy.recovery.status())
        if proxy.inflight is not None:
            proxy.inflight.report_declined = self._tell_declined
        if os.environ.get("FLEET_VIGIL") == "1":
            self._turn(proxy)
        self._beat(loop)

    @staticmethod
    def _turn(proxy: Proxy) -> None:
        """Beat on the supervisor's board, as its file for this process says."""
        from cometusher.fleet.heartbeat import turn

        told = orjson.loads(Path(os.environ["LB_CONFIG"]).read_bytes())["vigil"]
        turn(proxy, int(told["row"]), float(told["beat"]))

    def _tell_declined(self, offer: ReceivedOffer) -> None:
        self._say(event="declined", process=offer.process, slot=offer.slot, term=offer.term)

    def _tell_comeback(self, values: dict[str, Any]) -> None:
        self._say(event="comeback", **values)

    def _beat(self, loop: asyncio.AbstractEventLoop) -> None:
        loop.call_later(BEAT, self._beat, loop)
        assert self._proxy is not None
        tallies = self._proxy.counters
        hand = {"hand": self._proxy.inflight.counters()} if self._proxy.inflight is not None else {}
        counts = {name: tallies.get(name, 0) for name in COUNTED}
        self._say(event="beat", open=self._proxy.open_requests, **counts, **hand)

    def reloaded(self, why: str | None) -> None:
        """What came of a reload."""
        self._say(event="reloaded", why=why)

    def stopping(self) -> None:
        """Nothing new is taken."""
        self._say(event="stopping")


def _with_more(settings: Config) -> Config:
    """What the supervisor has told of this instance's return and of its book, if switched on; raises ConfigError."""
    path = Path(os.environ["LB_CONFIG"])
    if os.environ.get("FLEET_COMEBACK") == "1":
        from cometusher.recovery import read_recovery_config

        settings = replace(settings, returning=read_recovery_config(path))
    if os.environ.get("FLEET_TAKEOVER") == "1":
        from cometusher.inflight.endpoint import read_assignment

        settings = replace(settings, covered=read_assignment(path))
    return settings


def _be_kept() -> None:
    """Have a keeper, before there is a second thread. Without one, what is in hand dies with this process."""
    from cometusher.inflight import descriptor_holder
    from cometusher.inflight.endpoint import HOLDER_FD

    try:
        descriptor_holder.start(HOLDER_FD)
    except OSError as fault:
        logging.warning("no keeper, and nothing in hand is covered: %s", fault)


def main() -> int:
    """One proxy under a supervisor; returns the exit code."""
    # Guards against ending on a reload that comes before there is anything to reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    name = os.environ.get("FLEET_INSTANCE", "?")
    logs.to_pipe(sys.stderr.fileno(), name)
    try:
        settings = _with_more(config.load(os.environ))
    except config.ConfigError as fault:
        logging.error("%s", fault)
        return 2
    if settings.covered is not None:
        _be_kept()
    listener = socket.socket(fileno=LISTENER)
    uvloop.run(service.serve(settings, listener, Channel(name, os.environ.get("FLEET_GENERATION", "0"))))
    return 0
