"""Tests of how stale a list may become: the proxy knows a change within 6 s of discovery, whatever failed before.

The real proxy runs on a virtual clock with a discovery that fails in one way until a given time. The time is varied
across the proxy's own timers, so that the recovery falls between any two of them.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from cometusher import config
from cometusher.demo import proxy_settings
from cometusher.proxy import Proxy
from cometusher.simulation.loop import VirtualLoop, run
from cometusher.simulation.network import Link, Machine, VirtualNetwork, VirtualRuntime
from weldroute import State
from weldroute.settings import read_settings

KNOWN_WITHIN = 6.0  # seconds
MARGIN = 0.5  # seconds by which the measured time must stay below the limit
HEARTBEAT = 2.0  # seconds between empty lines
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ADDRESS = ("10.4.0.1", 8500)
PHASES = [2.5 + 0.31 * step for step in range(24)]  # seconds after the start at which discovery recovers

#: How discovery treats calls while it fails. A watch that was open before falls silent or ends.
FAILURES = ["refuses", "resets", "503", "never answers", "never connects", "ends"]


def host_entry(health: str) -> dict[str, Any]:
    return {"host": "s-1", "dial": "10.2.0.1:9000", "site": "kigali", "health": health, "born_ms": 0}


class FailingDiscovery:
    """A discovery service that fails in one way for some time, then pushes a change."""

    def __init__(self, network: VirtualNetwork, machine: Machine) -> None:
        self.network = network
        self.machine = machine
        self.failure = ""  # how calls fail at present; empty if they succeed
        self.changed = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *ADDRESS)

    def _line(self) -> bytes:
        health = "terminating" if self.changed else "in_service"
        text = (
            json.dumps({"seq": 2 if self.changed else 1, "whole": True, "hosts": [host_entry(health)]}).encode()
            + b"\n"
        )
        return b"%x\r\n%s\r\n" % (len(text), text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.calls += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            if self.failure == "resets":
                writer.transport.abort()
            elif self.failure == "503":
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
            elif self.failure == "ends":
                writer.write(HEAD + b"0\r\n\r\n")
            elif not self.failure:
                writer.write(HEAD + self._line())
                self._watches.add(writer)
                while writer in self._watches:
                    await asyncio.sleep(HEARTBEAT)
                    if writer in self._watches:
                        writer.write(b"1\r\n\n\r\n")
            await reader.read()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(writer)
            self._writers.discard(writer)
            writer.close()

    def fail(self, failure: str, silently: bool) -> None:
        """Start failing: open watches fall silent or end, and calls fail."""
        self.failure = failure
        watches, self._watches = set(self._watches), set()
        if not silently:
            for writer in watches:
                writer.transport.abort()
        if failure == "refuses":
            assert self._server is not None
            self._server.close()
        elif failure == "never connects":
            self.machine.silent = True

    async def recover(self) -> None:
        """Recover, with a change for every caller."""
        self.changed = True
        failure, self.failure = self.failure, ""
        if failure == "refuses":
            await self.start()
        elif failure == "never connects":
            self.machine.silent = False


async def measure_staleness(
    loop: VirtualLoop, failure: str, silently: bool, duration: float, mode: str
) -> tuple[float, int]:
    """Seconds from discovery's recovery until the proxy knows the change, and the calls up to the recovery."""
    network = VirtualNetwork(loop, Link(latency=0.002, jitter=0.5))
    machine = network.add_machine(ADDRESS[0])
    service = FailingDiscovery(network, machine)
    raw = proxy_settings(1, 0) | {"RegistryMode": mode}
    proxy_config = config.Config(
        name="p",
        listen=("10.1.0.1", 9000),
        discovery=ADDRESS,
        seed=round(duration * 1000),
        memory_mb=64,
        sockets=256,
        known={},
        settings=read_settings(raw),
        zones=tuple(raw["Zones"]),
    )
    await loop.create_task(service.start(), context=machine.context())

    async def begin() -> Proxy:
        proxy = Proxy(proxy_config, VirtualRuntime(network))
        proxy.start()
        return proxy

    proxy = await loop.create_task(begin(), context=network.add_machine("10.1.0.1", descriptors=256).context())

    async def state() -> State | None:
        server = proxy.balancer.servers.get(1)
        return None if server is None else server.row.state

    while await state() is not State.UP:
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0 + duration % 1.0)
    service.fail(failure, silently)
    await asyncio.sleep(duration)
    await loop.create_task(service.recover(), context=machine.context())
    recovered_at, calls = loop.time(), service.calls
    while await state() is not State.DRAINING:
        assert loop.time() < recovered_at + 60.0
        await asyncio.sleep(0.005)
    return loop.time() - recovered_at, calls


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("silently", [False, True], ids=["ended", "silent"])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_change_is_known_in_time_after_every_failure_of_discovery(failure: str, silently: bool, mode: str) -> None:
    worst = 0.0
    for phase in PHASES:
        loop = VirtualLoop(round(phase * 100))
        staleness, _ = run(loop, measure_staleness(loop, failure, silently, phase, mode))
        worst = max(worst, staleness)
    assert worst < KNOWN_WITHIN - MARGIN


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_watch_that_falls_silent_is_replaced_in_time(mode: str) -> None:
    """Calls succeed all the time; only the open watch falls silent."""
    for phase in PHASES:
        loop = VirtualLoop(round(phase * 100))
        staleness, _ = run(loop, measure_staleness(loop, "", True, phase % 0.5, mode))
        assert staleness < KNOWN_WITHIN - MARGIN
