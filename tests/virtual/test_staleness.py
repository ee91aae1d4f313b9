"""How old a list may become: a change is known within 6 s of discovery having it, whatever failed before.

The real proxy and a discovery that fails in a stated way until a stated moment, on a virtual clock. The moment moves
through the proxy's own timers, so that it falls between any two of them.
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
MARGIN = 0.5  # seconds of them that are not to be needed
HEARTBEAT = 2.0  # seconds between empty lines
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ADDRESS = ("10.4.0.1", 8500)
PHASES = [2.5 + 0.31 * step for step in range(24)]  # seconds after the start when discovery is well again

#: What discovery does with calls while it is not well. A watch that was open before falls silent, or ends.
FAILURES = ["refuses", "resets", "503", "never answers", "never connects", "ends"]


def entry(health: str) -> dict[str, Any]:
    return {"host": "s-1", "dial": "10.2.0.1:9000", "site": "kigali", "health": health, "born_ms": 0}


class Service:
    """Discovery that pushes a change, and fails in one way for some time."""

    def __init__(self, network: VirtualNetwork, machine: Machine) -> None:
        self.network = network
        self.machine = machine
        self.failure = ""  # how calls fail now
        self.changed = False
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._watches: set[asyncio.StreamWriter] = set()
        self.calls = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, *ADDRESS)

    def _line(self) -> bytes:
        health = "terminating" if self.changed else "in_service"
        text = json.dumps({"seq": 2 if self.changed else 1, "whole": True, "hosts": [entry(health)]}).encode() + b"\n"
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
        """Open watches fall silent, or end; calls fail from now on."""
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
        """It is well, and has a change to tell to whoever calls."""
        self.changed = True
        failure, self.failure = self.failure, ""
        if failure == "refuses":
            await self.start()
        elif failure == "never connects":
            self.machine.silent = False


async def staleness(loop: VirtualLoop, failure: str, silently: bool, at: float, mode: str) -> tuple[float, int]:
    """Seconds from discovery's being well to the proxy's knowing of the change, and the calls up to then."""
    network = VirtualNetwork(loop, Link(latency=0.002, jitter=0.5))
    machine = network.add_machine(ADDRESS[0])
    service = Service(network, machine)
    raw = proxy_settings(1, 0) | {"RegistryMode": mode}
    told = config.Config(
        name="p",
        listen=("10.1.0.1", 9000),
        discovery=ADDRESS,
        seed=round(at * 1000),
        memory_mb=64,
        sockets=256,
        known={},
        settings=read_settings(raw),
        zones=tuple(raw["Zones"]),
    )
    await loop.create_task(service.start(), context=machine.context())

    async def begin() -> Proxy:
        proxy = Proxy(told, VirtualRuntime(network))
        proxy.start()
        return proxy

    proxy = await loop.create_task(begin(), context=network.add_machine("10.1.0.1", descriptors=256).context())

    async def state() -> State | None:
        server = proxy.balancer.servers.get(1)
        return None if server is None else server.row.state

    while await state() is not State.UP:
        await asyncio.sleep(0.01)
    await asyncio.sleep(1.0 + at % 1.0)
    service.fail(failure, silently)
    await asyncio.sleep(at)
    await loop.create_task(service.recover(), context=machine.context())
    since, calls = loop.time(), service.calls
    while await state() is not State.DRAINING:
        assert loop.time() < since + 60.0
        await asyncio.sleep(0.005)
    return loop.time() - since, calls


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("silently", [False, True], ids=["ended", "silent"])
@pytest.mark.parametrize("failure", FAILURES)
def test_a_change_is_known_in_time_whatever_failed_before(failure: str, silently: bool, mode: str) -> None:
    worst = 0.0
    for phase in PHASES:
        loop = VirtualLoop(round(phase * 100))
        took, _ = run(loop, staleness(loop, failure, silently, phase, mode))
        worst = max(worst, took)
    assert worst < KNOWN_WITHIN - MARGIN


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
def test_a_watch_that_falls_silent_is_opened_anew_in_time(mode: str) -> None:
    """Calls are well all the time; only what is open says nothing any more."""
    for phase in PHASES:
        loop = VirtualLoop(round(phase * 100))
        took, _ = run(loop, staleness(loop, "", True, phase % 0.5, mode))
        assert took < KNOWN_WITHIN - MARGIN
