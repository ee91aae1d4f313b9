"""Tests of the real proxy on the virtual loop and network: it serves, survives faults, and runs are reproducible."""

from __future__ import annotations

import asyncio
import functools
import hashlib
from collections.abc import Callable
from pathlib import Path
from random import Random

import pytest

from cometusher import config
from cometusher.demo import DEDUP_WINDOW, proxy_settings
from cometusher.proxy import Proxy
from cometusher.simulation.loop import VirtualLoop, run
from cometusher.simulation.network import Link, Machine, VirtualNetwork, VirtualRuntime
from cometusher.simulation.seed_search import in_fresh_processes
from standins.discovery import HostList
from standins.load import Load, LoadClass, LoadCounters
from standins.service_backend import KeyWindow, ServiceBackend
from weldroute.settings import read_settings

FRONT = ("10.1.0.1", 9000)
ROOT = Path(__file__).parent.parent.parent
KINDS = [LoadClass("report-view", 0.63, 2.0, False), LoadClass("submit", 0.37, 1.25, True)]


class SilentClient(asyncio.Protocol):
    """A client that connects and sends nothing; records when the proxy ends its connection."""

    def __init__(self, number: int, ends: list[tuple[int, float]]) -> None:
        self.number = number
        self.ends = ends

    def connection_lost(self, exc: Exception | None) -> None:
        self.ends.append((self.number, asyncio.get_running_loop().time()))


class World:
    """One proxy, several backends, discovery and a client, each on its own machine."""

    def __init__(self, seed: int, backends: int = 3, rate: float = 60.0) -> None:
        self.loop = VirtualLoop(seed)
        self.network = VirtualNetwork(self.loop, Link(latency=0.002, jitter=0.5))
        self.seed = seed
        self.rate = rate
        self.machines = [self.network.add_machine(f"10.2.0.{i + 1}") for i in range(backends)]
        self.front = self.network.add_machine(FRONT[0], descriptors=256)
        self.clients = self.network.add_machine("10.3.0.1", descriptors=10000)
        self.proxy: Proxy | None = None
        self.load = Load([FRONT], KINDS, ["univ-central"], rate, seed)
        self.services: list[ServiceBackend] = []
        self.ends: list[tuple[int, float]] = []  # of silent clients: number and time

    async def _run_on(self, machine: Machine, start: Callable[[], object]) -> object:
        """Run a function on a machine; the tasks that it starts run there too."""

        async def call() -> object:
            result = start()
            return await result if asyncio.iscoroutine(result) else result

        return await self.loop.create_task(call(), context=machine.context())

    async def build(self) -> None:
        rng = Random(self.seed)
        entries = []
        for i, machine in enumerate(self.machines):
            work = {"report-view": 0.03, "submit": 0.02}
            node = ServiceBackend(
                f"s-{i + 1:x}", "kigali", 1.0 + 0.3 * i, work, KeyWindow(DEDUP_WINDOW), Random(rng.random())
            )
            self.services.append(node)
            await self._run_on(machine, lambda n=node, m=machine: n.start(m.address))  # type: ignore[misc]
            entries.append(node.discovery_entry(dial=f"{machine.address}:{node.port}"))
        hosts = HostList(entries)
        await self._run_on(self.network.add_machine("10.4.0.1"), lambda: hosts.start("10.4.0.1"))
        raw = proxy_settings(1, 0)
        proxy_config = config.Config(
            name="p",
            listen=FRONT,
            discovery=("10.4.0.1", hosts.port),
            seed=self.seed,
            memory_mb=64,
            sockets=256,
            known={},
            settings=read_settings(raw),
            zones=tuple(raw["Zones"]),
        )

        def start() -> None:
            self.proxy = Proxy(proxy_config, VirtualRuntime(self.network))
            self.proxy.start()

        await self._run_on(self.front, start)

    def crowd(self, count: int) -> None:
        """Open silent connections, which the proxy ends all at once."""

        async def connect() -> None:
            for number in range(count):
                await self.loop.create_connection(functools.partial(SilentClient, number, self.ends), *FRONT)

        self.loop.create_task(connect(), context=self.clients.context())

    async def simulate(self, seconds: float, script: dict[float, Callable[[], None]]) -> LoadCounters:
        await self.build()
        await asyncio.sleep(1.0)  # until the proxy knows its backends
        for at, fault in script.items():
            self.loop.call_at(at, fault)
        stop = asyncio.Event()
        self.loop.call_at(seconds, stop.set)
        await self.loop.create_task(self.load.run(stop), context=self.clients.context())
        # Checked before the cancellation at the end, which makes asyncio's streams report errors.
        assert self.loop.unhandled_errors == []
        return self.load.counters


def run_world(
    seed: int,
    seconds: float = 30.0,
    faults: Callable[[World], dict[float, Callable[[], None]]] | None = None,
) -> tuple[LoadCounters, World]:
    world = World(seed)
    figures = run(world.loop, world.simulate(seconds, faults(world) if faults is not None else {}))
    return figures, world


def digest(seed: int) -> str:
    """A hash of all that can be observed of a run with faults and silent clients."""
    figures, world = run_world(
        seed,
        15.0,
        lambda w: {
            2.0: lambda: w.crowd(30),
            3.0: w.machines[0].pause,
            6.0: w.machines[0].resume,
            8.0: lambda: setattr(w.machines[1], "silent", True),
            10.0: w.front.pause,
            10.5: w.front.resume,
        },
    )
    assert world.proxy is not None
    text = repr(
        (vars(figures), world.ends, sorted(world.proxy.counters.items()), world.loop.steps, world.loop.time())
    )
    return hashlib.sha256(text.encode()).hexdigest()


@pytest.mark.parametrize("seed", range(10))
def test_a_world_without_faults_serves_everything_and_leaves_nothing(seed: int) -> None:
    figures, world = run_world(seed)
    assert figures.sent > 1500 and figures.served == figures.sent, figures
    assert world.proxy is not None and world.proxy.open_requests == 0 and world.proxy.memory.used == 0
    assert sum(service.served for service in world.services) >= figures.served


@pytest.mark.parametrize("seed", range(10))
def test_no_request_is_lost_when_a_backend_falls_silent(seed: int) -> None:
    """Its open connections fall silent; every request still has one answer, and the other backends serve."""
    figures, _ = run_world(seed, faults=lambda w: {10.0: lambda: setattr(w.machines[0], "silent", True)})
    assert figures.lost == 0 and figures.served > 0.9 * figures.sent, figures


@pytest.mark.parametrize("seed", range(10))
def test_no_request_is_lost_when_a_backend_and_the_proxy_pause(seed: int) -> None:
    figures, _ = run_world(
        seed,
        faults=lambda w: {
            5.0: w.machines[1].pause,
            7.0: w.machines[1].resume,
            12.0: w.front.pause,
            12.4: w.front.resume,
        },
    )
    assert figures.lost == 0 and figures.served > 0.9 * figures.sent, figures


def test_a_seed_gives_the_same_run_in_every_process_and_with_every_hash_seed() -> None:
    code = "import sys; sys.path[:0] = ['.', 'tests/virtual']; import test_proxy_world as t; print(t.digest(7))"
    assert len(in_fresh_processes(code, ROOT, (0, 1, 4242))) == 1
    assert digest(7) != digest(8)
