"""Runs a simulated world: proxies, backends, discovery, a front and clients, under the faults of a plan.

The proxies are the real ones (`cometusher.proxy`), the peers are `standins`; each has a machine of its own, and all
run on one virtual loop and network. The front is the load balancer before the proxies: it routes clients to proxies
that report ready. `run_plan` runs a plan to its end and returns the result with the trace and the violations.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import gc
import itertools
import logging
import re
import socket
from collections.abc import Callable, Coroutine, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any, cast

from cometusher import config
from cometusher.backends import BackendConnection
from cometusher.callers import CallerConnection
from cometusher.inflight.endpoint import JournalAssignment
from cometusher.proxy import Exchange, Proxy
from cometusher.recovery import RecoveryConfig
from cometusher.simulation.container_audit import containers_over_bound
from cometusher.simulation.loop import Deadlock, Stuck, VirtualLoop, run
from cometusher.simulation.network import (
    Link,
    Machine,
    SharedMemory,
    VirtualDisk,
    VirtualNetwork,
    VirtualRuntime,
    VirtualTransport,
)
from cometusher.simulation.oracles import LONG_MESSAGE, RunChecker, Violation
from cometusher.simulation.orphans import VirtualOrphans, VirtualTakeoverChannel
from cometusher.simulation.script import UPGRADE_TROUBLES, Fault, Plan, PlannedRequest
from standins.client_connections import Address, ClientPool, PendingRequest, RequestEnd
from standins.discovery import HostList, Watch
from standins.messages import Message
from standins.service_backend import KeyWindow, ServiceBackend
from weldroute.recovery import RecoveryPlan as ReturnPlan
from weldroute.settings import read_settings
from weldroute.snapshots import AgeLimits, KnownVersions, Owner

EPOCH = 1.6e9  # Unix time at a world's beginning
PORT = 9000
MANAGEMENT_PORT = 9001  # for operators: the first of the ports that the processes of one proxy use in turn
MANAGEMENT_PORTS = 8
READY_POLL_INTERVAL = 0.3  # seconds between the front's readiness checks of an evacuated proxy
RESERVED_DESCRIPTORS = 24  # descriptors that a real process needs beside its connections; none are used here
START_POLL_INTERVAL = 0.05  # seconds between readiness checks of a new process
START_TIMEOUT = 4.0  # seconds within which a new process must be ready
COLD_PERIOD, COLD_FROM, FALL_MULTIPLE, FALL_AFTER = 6.0, 0.1, 2.0, 1.0
WINDOW_BYTES = 64 * 1024  # receive window of a connection
KEY_WINDOW = 3.0  # seconds in which a zone's backends recognise an idempotency key
DEADLINE = 1.5  # seconds; the hard limit of every class of request
WORK_SECONDS = {"view": 0.06, "submit": 0.05, "pay": 0.04}  # of a backend of speed 1, by class of request
SPEEDS = (1.0, 1.6, 0.8)  # of backends, in turn
FRONT_DEATH_DELAY = (2.0, 3.8)  # seconds until the front stops routing to a proxy that died
FRONT_STOP_DELAY = 0.3  # seconds until the front stops routing to a proxy that was ordered to stop
DISCOVERY_DEATH_DELAY = 1.0  # seconds until discovery lists a dead backend as terminated (a started one: 0.2)
ANSWER_GRACE = 4.0  # seconds that answers may still take after the plan's end
QUIET_PERIOD = 16.0  # seconds without requests after which no proxy may hold anything
MAX_PROBES, PROBE_INTERVAL = 40, 0.5
BOUNDS_CHECK_INTERVAL = 0.25  # seconds between checks of what each proxy holds
MAX_BUFFERED = 12 * 1024 * 1024  # bytes of unread answers that a proxy may hold
IDLE_TIMERS = 4  # timers of an idle proxy: the sweep, the watch of discovery, the decision module's
SPARE_TIMERS = 8  # allowed beside the idle ones and three for each open request, for those that are about to end
Undo = Callable[[], object]  # ends a fault
READY_REQUEST = b"GET /up HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
IDEMPOTENCY_KEY = re.compile(rb"\r\nidempotency-key: ([^\r\n]+)", re.IGNORECASE)
CALL_ID = re.compile(rb"\r\nx-call-id: ([^\r\n]+)", re.IGNORECASE)


def settings(plan: Plan, tier: int, zone: int, ordinal: int, instances: int) -> dict[str, Any]:
    """The platform's settings for one proxy."""
    return {
        "Services": [
            {"Name": "view", "Aim": 0.6, "HardLimit": DEADLINE, "Repeat": "retryable", "Credit": 1.0},
            {
                "Name": "submit",
                "Aim": 0.6,
                "HardLimit": DEADLINE,
                "Repeat": "dedup",
                "Group": "zone",
                "Window": KEY_WINDOW,
                "Credit": 4.0,
            },
            {"Name": "pay", "Aim": 0.6, "HardLimit": DEADLINE, "Repeat": "fragile", "Credit": 4.0},
        ],
        "Orgs": [
            {"Name": "univ", "Share": 0.7, "AllowancePerS": 1000.0},
            {"Name": "poly", "Share": 0.3, "AllowancePerS": 1000.0},
        ],
        "Zones": [f"z{i}" for i in range(plan.zones)],
        "Zone": zone,
        "Tiers": [f"t{i}" for i in range(plan.tiers)],
        "Tier": tier,
        "Instances": instances,
        "Ordinal": ordinal,
        "Bounds": {
            "Cancel": bool(plan.cancel),
            "SecondCopies": bool(plan.copies),
            "MaxAttempts": 3,
            "DialTimeout": 0.3,
            "ConnIdle": 5.0,
            "RetryAfter": True,
            "MaxRetryAfter": 1.0,
        },
        "Rules": {
            "Cold": COLD_PERIOD,
            "ColdFrom": COLD_FROM,
            "AskEvery": 10.0,
            "DrainGrace": 0.5,
            "GraceToAnswer": 0.02,
            "FallMultiple": FALL_MULTIPLE,
            "TipAfter": FALL_AFTER,
        },
    }


@dataclass(eq=False)
class Process:
    """One process in a proxy slot."""

    machine: Machine
    runtime: VirtualRuntime
    management: Address  # for operators' calls
    number: int  # increases with every start in the slot
    proxy: Proxy | None = None
    journal: JournalAssignment | None = None  # for its in-flight requests


@dataclass(eq=False)
class ProxySlot:
    """The place of one proxy, over all processes that run there one after the other."""

    name: str
    address: Address
    tier: int
    zone: int
    config: config.Config
    for_backend: BackendSlot | None = None  # the backend that this proxy serves alone, if any
    process: Process | None = None  # the serving process
    # Processes that take over from the serving one in an upgrade, or from which it has taken over.
    other_processes: list[Process] = field(default_factory=list)
    shared_memory: SharedMemory | None = None  # shared by its processes
    disk: VirtualDisk = field(default_factory=VirtualDisk)  # stored state, which outlives the processes
    operator_orders: dict[str, Any] | None = None  # orders that the proxy reported to its supervisor
    routed: bool = False  # whether the front routes clients here
    draining: bool = False
    accepts_until: float = 0.0  # after an order to stop, it must accept connections until then
    starved: bool = False  # whether a fault took its descriptors, or it ran out of them
    discovery_index: int = 0  # which of the two discovery services it uses
    generation: int = 0
    process_count: int = 0  # processes started so far
    upgrades_in_progress: int = 0
    evacuated: bool = False  # operators' order is confirmed and not revoked
    revoked_orders: int = 0  # number of orders that operators revoked
    banned_hosts: set[str] = field(default_factory=set)  # backends that operators have banned or are about to ban

    @property
    def up(self) -> bool:
        """Whether its process is alive."""
        return self.process is not None and not self.process.machine.dead

    @property
    def machine(self) -> Machine | None:
        """The machine of the serving process."""
        return self.process.machine if self.process is not None else None

    @property
    def proxy(self) -> Proxy | None:
        """The proxy object of the serving process."""
        return self.process.proxy if self.process is not None else None


@dataclass(eq=False)
class BackendSlot:
    """The place of one backend, over all processes that run there one after the other."""

    number: int
    tier: int
    zone: int
    address: str
    speed: float
    machine: Machine | None = None
    service: ServiceBackend | None = None
    own_proxy: ProxySlot | None = None  # the proxy through which it calls the next tier
    leaving: bool = False

    @property
    def host(self) -> str:
        """The host name in discovery's list."""
        return f"s-{self.number + 1:x}"

    @property
    def up(self) -> bool:
        """Whether its process is alive."""
        return self.machine is not None and not self.machine.dead


@dataclass(eq=False)
class DiscoveryTier:
    """The list of backends of one tier, at two discovery services."""

    tier: int
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    seq: int = 1
    machines: list[Machine] = field(default_factory=list)
    lists: list[HostList] = field(default_factory=list)
    # By proxy generation and service: the newest sequence number that was sent.
    last_seen_seq: dict[tuple[str, int], int] = field(default_factory=dict)
    starting: set[int] = field(default_factory=set)  # indices of services that are starting


@dataclass
class Result:
    """The outcome of one run."""

    plan: Plan
    violations: list[Violation]
    digest: str
    lines: list[str]
    outcomes: dict[str, int]
    seconds: float
    steps: int

    @property
    def oracles(self) -> list[str]:
        """The violated oracles, in the order of their first violation."""
        return list(dict.fromkeys(violation.oracle for violation in self.violations))


class _ErrorHandler(logging.Handler):
    """Reports the program's own error log lines as violations, even if the program continues after the error."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        if record.exc_info is not None and record.exc_info[1] is not None:
            text += f": {record.exc_info[1]!r}"
        self._world.checker.report_violation(self._world.loop.time(), "sound", text)


class World:
    """All machines and programs of one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = VirtualLoop(plan.seed)
        self.network = VirtualNetwork(self.loop, Link(plan.latency, plan.jitter, plan.bandwidth, plan.cut))
        self.network.max_read_delay = plan.lazy
        self.rng = Random(f"world {plan.seed}")
        backends_per_tier = plan.zones * plan.backends
        self.backend_slots = [
            BackendSlot(
                number,
                number // backends_per_tier,
                number % backends_per_tier // plan.backends,
                f"10.2.{number // backends_per_tier}.{number % backends_per_tier + 1}",
                SPEEDS[number % len(SPEEDS)],
            )
            for number in range(backends_per_tier * plan.tiers)
        ]
        self.discoveries = [DiscoveryTier(tier) for tier in range(plan.tiers)]
        self.proxy_slots: list[ProxySlot] = []
        for zone in range(plan.zones):
            for i in range(plan.proxies):
                self._add_proxy(f"10.1.{zone}.{i + 1}", 0, zone, None)
        if plan.tiers > 1:
            for backend in self.backend_slots[:backends_per_tier]:
                backend.own_proxy = self._add_proxy(f"10.5.0.{backend.number + 1}", 1, backend.zone, backend)
        self.keys = {(tier, zone): KeyWindow(KEY_WINDOW) for tier in range(plan.tiers) for zone in range(plan.zones)}
        self.client_machines = [self.network.add_machine(f"10.3.{zone}.1", 100000) for zone in range(plan.zones)]
        self.client_pools: list[ClientPool] = []
        self.longest_message = max([request.want + request.body for request in plan.requests], default=0)
        # Seconds from SIGTERM to SIGKILL: a drain waits for callers that read a long answer slowly.
        longest_pause = max([request.dawdle for request in plan.requests], default=0.0)
        self.drain_timeout = (
            DEADLINE + 0.7 + 2.0 * longest_pause + self._seconds_per_byte(plan) * self.longest_message
        )
        self.round_trip = 4.0 * plan.latency * (1.0 + plan.jitter) + 200000.0 / plan.bandwidth
        self.checker = RunChecker(
            self.proxy_slots[0].config.settings,
            {backend.host: f"z{backend.zone}" for backend in self.backend_slots},
            self.round_trip,
            self._seconds_per_byte(plan),
        )
        self._backend_by_address = {backend.address: backend for backend in self.backend_slots}
        self._backend_by_host = {backend.host: backend for backend in self.backend_slots}
        self.orphans = (
            VirtualOrphans(self.loop, Random(f"estate {plan.seed}"), self._successors) if plan.covers else None
        )
        self._proxy_by_address = {slot.address[0]: slot for slot in self.proxy_slots}
        self._active_faults: dict[int, Undo] = {}
        self._fault_count = 0
        # By transport to a backend: the proxy, the request's id, and the bytes that were read before the attempt.
        self._attempt_by_transport: dict[VirtualTransport, tuple[str, str, int]] = {}
        # By id: requests that are safe to repeat, with their proxy and message.
        self._duplicable_requests: dict[str, tuple[ProxySlot, PendingRequest, bytes]] = {}
        # By management call that waits for its answer: the host to be banned.
        self._pending_bans: dict[PendingRequest, str] = {}
        self._next_bounds_check = 0.0
        self.bounds_check_interval = BOUNDS_CHECK_INTERVAL

    @staticmethod
    def _seconds_per_byte(plan: Plan) -> float:
        """Seconds that each byte of a long message may take: one window a round trip on each of three connections."""
        round_trip = 2.0 * plan.latency * (1.0 + plan.jitter) + 3.0 * plan.lazy
        return 3.0 * (round_trip / WINDOW_BYTES + 1.0 / plan.bandwidth)

    def _add_proxy(self, address: str, tier: int, zone: int, for_backend: BackendSlot | None) -> ProxySlot:
        plan, number = self.plan, len(self.proxy_slots)
        raw = settings(plan, tier, zone, number if tier == 0 else 0, plan.zones * plan.proxies if tier == 0 else 1)
        proxy_config = config.Config(
            name=f"proxy/{number}",
            listen=(address, PORT),
            discovery=(f"10.4.{tier}.1", PORT),
            seed=plan.seed * 1000 + number,
            memory_mb=64,
            sockets=plan.sockets,
            known={},
            settings=read_settings(raw),
            zones=tuple(raw["Zones"]),
        )
        slot = ProxySlot(f"proxy/{number}", (address, PORT), tier, zone, proxy_config, for_backend)
        self.proxy_slots.append(slot)
        return slot

    # ---- starting and ending processes ---------------------------------------------------

    async def _run_on(self, machine: Machine, start: Callable[[], Coroutine[Any, Any, None]]) -> None:
        await self.loop.create_task(start(), context=machine.context())

    def _spawn(self, machine: Machine, start: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loop.create_task(start(), context=machine.context())

    def _start_process(self, slot: ProxySlot) -> Process:
        """Start a process of a proxy."""
        # The proxy reserves some descriptors for other uses than connections; none of these exist here.
        machine = self.network.add_machine(slot.address[0], slot.config.sockets)
        machine.on_write = lambda transport, data: self._on_proxy_write(slot, transport, data)
        machine.on_descriptors_exhausted = lambda: self._on_descriptors_exhausted(slot, machine)
        slot.process_count += 1
        management = (slot.address[0], MANAGEMENT_PORT + slot.process_count % MANAGEMENT_PORTS)
        orphans = self.orphans if slot.tier == 0 else None
        journal = orphans.assign_journal() if orphans is not None else None
        open_channel = partial(VirtualTakeoverChannel, orphans) if orphans is not None else None
        runtime = VirtualRuntime(self.network, EPOCH, slot.shared_memory, slot.disk, open_channel)
        process = Process(machine, runtime, management, slot.process_count, journal=journal)
        listener = self.network.listeners.get(slot.address) if self.plan.shared else None

        def on_report(values: dict[str, Any]) -> None:
            slot.operator_orders = values.get("standing", slot.operator_orders)

        async def begin() -> None:
            proxy_config = replace(
                slot.config,
                seed=slot.config.seed + 100 * slot.process_count,
                management=management,
                shared_folder="shared" if self.plan.shared else None,
                recovery=self._recovery_config(slot),
                journal=journal,
            )
            process.proxy = proxy = Proxy(proxy_config, process.runtime)
            if proxy.recovery is not None:
                proxy.recovery.report = on_report
            if listener is None:
                proxy.start()
            else:
                await proxy.start_on(cast(socket.socket, listener))

        self._spawn(machine, begin)
        return process

    def _successors(self) -> list[tuple[int, int]]:
        """Serving processes of the first tier, each with its number of open requests."""
        return [
            (slot.process.journal.process, slot.process.proxy.open_requests)
            for slot in self.proxy_slots
            if slot.routed
            and slot.up
            and slot.process is not None
            and slot.process.journal is not None
            and slot.process.proxy is not None
        ]

    def _recovery_config(self, slot: ProxySlot) -> RecoveryConfig | None:
        """The recovery settings that a supervisor would pass to a proxy; None if the plan keeps no state."""
        if not self.plan.keeps:
            return None
        tier_proxies = sum(other.tier == slot.tier for other in self.proxy_slots)
        limits = AgeLimits()
        owner = Owner("world", slot.name, 1)
        plan = ReturnPlan(instances=tier_proxies, returning=tier_proxies, list_for=limits.list_for)
        version = slot.operator_orders["version"] if slot.operator_orders is not None else 0
        return RecoveryConfig(plan, limits, owner, Path("-"), KnownVersions(standing=version), slot.operator_orders)

    def start_proxy(self, slot: ProxySlot) -> None:
        """Start a proxy with one process."""
        now = self.loop.time()
        slot.draining = slot.starved = False
        slot.accepts_until = 0.0
        slot.generation += 1
        slot.upgrades_in_progress = 0
        slot.evacuated = False
        if not self.plan.keeps:
            slot.banned_hosts.clear()
            self.checker.on_new_proxy(slot.name)
        slot.other_processes.clear()
        slot.shared_memory = SharedMemory()
        if self.plan.shared:
            self._open_listener(slot)
        self.checker.record_event(now, "start", slot.name)
        slot.process = self._start_process(slot)
        if slot.for_backend is None:
            self.loop.call_soon(
                self._poll_ready, slot, slot.generation, context=self.client_machines[slot.zone].context()
            )

    def _open_listener(self, slot: ProxySlot) -> None:
        """Open the platform's listener for a proxy."""
        if slot.address not in self.network.listeners:
            contextvars.Context().run(self.network.listen, slot.address)

    def _close_listener(self, slot: ProxySlot) -> None:
        listener = self.network.listeners.get(slot.address)
        if self.plan.shared and listener is not None:
            listener.close()

    def _poll_ready(self, slot: ProxySlot, generation: int) -> None:
        """The front checks a proxy until it is ready, then routes clients to it."""
        if slot.generation != generation or slot.routed or not slot.up:
            return

        def done(end: RequestEnd, answer: Message | None) -> None:
            if answer is not None and answer.status == 200 and slot.generation == generation and slot.up:
                slot.routed = True
                self.checker.record_event(self.loop.time(), "ready", slot.name)
            else:
                self.loop.call_later(0.1, self._poll_ready, slot, generation)

        self.client_pools[slot.zone].send(PendingRequest(slot.address, [READY_REQUEST], on_end=done))

    def end_proxy(self, slot: ProxySlot, excused: bool) -> None:
        """End a proxy's processes. Their open requests are lost; that is no violation if they were `excused`."""
        now = self.loop.time()
        if not slot.up or slot.machine is None:
            return
        self.checker.record_event(now, "ends", slot.name, "killed" if excused else "by itself")
        if excused:
            self.checker.on_killed(now, slot.name, state_kept=bool(self.plan.keeps))
        for process in (slot.process, *slot.other_processes):
            if process is not None:
                orphans = process.machine.kill(keep_connections=process.journal is not None)
                process.proxy = None
                if self.orphans is not None and process.journal is not None:
                    self.orphans.on_died(process.journal.process, orphans)
        self._close_listener(slot)
        generation = slot.generation

        def stop_routing() -> None:
            if slot.generation == generation:
                slot.routed = False

        self.loop.call_later(self.rng.uniform(*FRONT_DEATH_DELAY), stop_routing, context=contextvars.Context())

    async def start_backend(self, backend: BackendSlot, cold: bool) -> None:
        """Start a backend's process."""
        now = self.loop.time()
        backend.machine = self.network.add_machine(backend.address, 4096)
        backend.leaving = False
        service = backend.service = ServiceBackend(
            backend.host,
            f"z{backend.zone}",
            backend.speed,
            WORK_SECONDS,
            self.keys[backend.tier, backend.zone],
            Random(f"{self.plan.seed} {backend.number} {now}"),
            self,
            cold_from=COLD_FROM,
            cold_for=COLD_PERIOD if cold else 0.0,
            overload_limit=(FALL_MULTIPLE, FALL_AFTER),
            started_at=now,
        )
        if backend.own_proxy is not None:
            service.next_tier = backend.own_proxy.address
        await self._run_on(backend.machine, lambda: service.start(backend.address, PORT))
        service.client_pool.was_read = _peer_has_read
        service.client_pool.on_surplus = self._on_surplus_data
        born = int((EPOCH + now) * 1000.0) if cold else 0
        entry = service.discovery_entry(dial=f"{backend.address}:{PORT}", born_ms=born)
        if not cold:
            self.discoveries[backend.tier].entries[backend.host] = entry
        else:
            self.loop.call_later(0.2, self._publish, backend, entry, context=contextvars.Context())
        if backend.own_proxy is not None:
            self.start_proxy(backend.own_proxy)

    def end_backend(self, backend: BackendSlot) -> None:
        """Kill a backend's process, and the proxy that serves it alone."""
        if not backend.up or backend.machine is None:
            return
        self.checker.record_event(self.loop.time(), "ends", backend.host)
        self.checker.on_caller_died(self.loop.time(), backend.host)
        backend.machine.kill()
        if backend.own_proxy is not None:
            self.end_proxy(backend.own_proxy, True)
        self.loop.call_later(DISCOVERY_DEATH_DELAY, self._publish_death, backend, context=contextvars.Context())

    def _publish_death(self, backend: BackendSlot) -> None:
        if not backend.up:
            self._publish(backend, self.discoveries[backend.tier].entries[backend.host] | {"health": "terminated"})

    def _publish(self, backend: BackendSlot, entry: dict[str, Any]) -> None:
        """Change a backend's entry at both discovery services."""
        discovery = self.discoveries[backend.tier]
        discovery.entries[backend.host] = entry
        discovery.seq += 1
        for machine, hosts in zip(discovery.machines, discovery.lists, strict=True):
            if not machine.dead:
                self.loop.call_soon(hosts.change, entry, context=machine.context())

    async def start_discovery(self, discovery: DiscoveryTier, index: int) -> None:
        """Start a discovery service with the current list."""
        address = f"10.4.{discovery.tier}.{index + 1}"
        machine = self.network.add_machine(address, 4096)
        hosts = HostList(list(discovery.entries.values()))
        hosts.seq = discovery.seq
        hosts.on_list_sent = lambda watch, seq, entries: self._on_discovery_update(
            discovery, index, watch, seq, entries
        )
        discovery.machines[index : index + 1] = [machine]
        discovery.lists[index : index + 1] = [hosts]
        await self._run_on(machine, lambda: hosts.start(address, PORT))
        discovery.starting.discard(index)

    def _on_discovery_update(
        self, discovery: DiscoveryTier, index: int, watch: Watch, seq: int, entries: list[dict[str, Any]]
    ) -> None:
        slot = self._proxy_by_address.get(watch.writer.get_extra_info("peername")[0])
        if slot is None or watch.writer.is_closing():
            return
        key = (f"{slot.name} {slot.generation}", index)
        if seq < discovery.last_seen_seq.get(key, 0):
            return  # a reordered older change; proxies ignore it
        discovery.last_seen_seq[key] = seq
        now = self.loop.time()
        for entry in entries:
            self.checker.on_discovery_update(
                now, slot.name, entry["host"], entry["health"] == "in_service", entry["born_ms"]
            )

    # ---- events for the oracles ----------------------------------------------------------

    def _on_proxy_write(self, slot: ProxySlot, transport: VirtualTransport, data: bytes) -> None:
        """Observe all that a proxy writes: a request head to a backend starts an attempt."""
        if MANAGEMENT_PORT <= transport.get_extra_info("sockname")[1] < MANAGEMENT_PORT + MANAGEMENT_PORTS:
            self._on_management_answer(slot, transport, data)
            return
        backend = self._backend_by_address.get(transport.get_extra_info("peername")[0])
        if backend is None or transport.get_extra_info("sockname")[1] == PORT:
            return
        match = CALL_ID.search(data)
        if match is not None:
            request_id, bytes_read_before = match[1].decode(), transport.bytes_read
            if transport.pending:
                text = f"{slot.name} wrote {request_id} to a connection on which something else had come"
                self.checker.report_violation(self.loop.time(), "right answer", text)
            self._attempt_by_transport[transport] = (slot.name, request_id, bytes_read_before)
            header_lines = [line.partition(b":") for line in data[: data.find(b"\r\n\r\n")].split(b"\r\n")[1:]]
            end_of_request = transport.bytes_written + data.find(b"\r\n\r\n") + 4 + self.checker.body_size(request_id)
            self.checker.on_attempt_started(
                self.loop.time(),
                slot.name,
                request_id,
                backend.host,
                lambda: transport.bytes_read == bytes_read_before and not transport.ended,
                lambda: transport.bytes_written >= end_of_request,
                {name.strip().lower(): value.strip() for name, _, value in header_lines},
            )

    def _on_management_answer(self, slot: ProxySlot, transport: VirtualTransport, data: bytes) -> None:
        """A ban is in force from the instant at which the proxy writes its confirmation, whenever that is read."""
        peer = transport.get_extra_info("peername")
        for pending, host in list(self._pending_bans.items()):
            client_transport = pending.connection.transport if pending.connection is not None else None
            if client_transport is not None and client_transport.get_extra_info("sockname") == peer:
                del self._pending_bans[pending]
                if data.startswith(b"HTTP/1.1 200"):
                    self.checker.on_banned(self.loop.time(), slot.name, host)
            elif pending.ended:
                del self._pending_bans[pending]

    def _request_id(self, message: Message) -> str:
        return message.headers.get(b"x-call-id", b"-").decode()

    def on_request(self, service: ServiceBackend, message: Message) -> None:
        self.checker.on_backend_received(self.loop.time(), self._request_id(message), service.host, len(message.body))

    def on_rejected(self, service: ServiceBackend, message: Message) -> None:
        self.checker.on_backend_rejected(self.loop.time(), self._request_id(message), service.host)

    def on_run(self, service: ServiceBackend, message: Message, effect: bool) -> None:
        key = message.headers.get(b"idempotency-key")
        tier = self._backend_by_host[service.host].tier
        effect_key = None if key is None else f"{tier} {key.decode()}"
        self.checker.on_backend_ran(self.loop.time(), self._request_id(message), service.host, effect_key, effect)

    def on_overload(self, service: ServiceBackend, load: float, capacity: float) -> None:
        self.checker.on_cold_overload(self.loop.time(), service.host, load, capacity)

    def on_call(
        self, service: ServiceBackend, pending: PendingRequest, message: Message, budget: float
    ) -> PendingRequest:
        """A backend calls the next tier through its own proxy, as any caller does."""
        match = CALL_ID.search(pending.pieces[0])
        slot = self._backend_by_host[service.host].own_proxy
        assert match is not None and slot is not None
        class_name = message.headers[b"x-call-class"].decode()
        answer_size = int(message.headers.get(b"x-want", b"0"))
        self._track(pending, match[1].decode(), class_name, slot, service.host, budget, answer_size)
        return pending

    def _on_surplus_data(self, address: Address, data: bytes) -> None:
        self.checker.on_surplus_data(self.loop.time(), self._proxy_by_address[address[0]].name, data)

    def _track(
        self,
        pending: PendingRequest,
        request_id: str,
        class_name: str,
        slot: ProxySlot,
        caller: str,
        budget: float,
        answer_size: int,
    ) -> None:
        """Report the events of a pending request to the oracles."""
        done = pending.on_end
        checker, loop = self.checker, self.loop

        message = b"".join(pending.pieces)
        match = IDEMPOTENCY_KEY.search(message)
        key = match[1] if match is not None else b""
        body_size = len(message) - message.find(b"\r\n\r\n") - 4

        def on_written() -> None:
            if pending.tries:
                checker.on_request_resent(loop.time(), request_id)
            else:
                checker.on_request_sent(
                    loop.time(),
                    request_id,
                    class_name,
                    slot.name,
                    caller,
                    budget,
                    body_size,
                    answer_size,
                    key,
                    self._connection_holder(pending),
                    no_live_proxy=not any(
                        other.up and other.routed for other in self.proxy_slots if other.tier == slot.tier
                    ),
                )

        def on_end(end: RequestEnd, answer: Message | None) -> None:
            now = loop.time()
            if answer is not None:
                checker.on_answer(now, request_id, answer.status, answer.body, answer_size)
            elif end is RequestEnd.LOST:
                checker.on_connection_lost(now, request_id)
            elif end is RequestEnd.TRUNCATED:
                checker.on_answer_cut(now, request_id)
            else:
                checker.on_caller_left(now, request_id)
                if end is RequestEnd.UNREACHED and slot.up and now < slot.accepts_until:
                    checker.report_violation(
                        now, "drains", f"{slot.name} refused {request_id} while the front still sent to it"
                    )
            done(end, answer)

        pending.on_sent, pending.on_end = on_written, on_end
        pending.on_head = lambda: checker.on_answer_started(loop.time(), request_id)
        if body_size > LONG_MESSAGE:
            pending.on_sending = lambda: checker.on_request_started(
                loop.time(), request_id, class_name, slot.name, caller, body_size, answer_size
            )

    def _connection_holder(self, pending: PendingRequest) -> str:
        """The name of the proxy that holds a pending request's connection; empty if unknown."""
        near = pending.connection.transport if pending.connection is not None else None
        far = near.peer if isinstance(near, VirtualTransport) else None
        return next(
            (
                slot.name
                for slot in self.proxy_slots
                for process in (slot.process, *slot.other_processes)
                if far is not None and process is not None and process.machine is far.machine
            ),
            "",
        )

    # ---- clients -------------------------------------------------------------------------

    def send_planned(self, planned: PlannedRequest, attempt: int = 0) -> None:
        """A client sends a request: on an idle connection, or on a new one that the front routes."""
        client_pool = self.client_pools[planned.zone]
        slots = [
            slot
            for slot in self.proxy_slots
            if slot.for_backend is None
            and slot.zone == planned.zone
            and (slot.routed or client_pool.has_idle(slot.address))
        ]
        if not slots:
            self.checker.record_event(self.loop.time(), "nowhere", planned.number)
            return
        self._send_request(planned, attempt, self.rng.choice(slots))

    def _send_request(self, planned: PlannedRequest, attempt: int, slot: ProxySlot) -> PendingRequest:
        request_id = f"{planned.number:x}-{attempt}"
        method = b"GET" if planned.kind == "view" else b"POST"
        header_lines = [
            method + b" /api HTTP/1.1",
            b"Host: backend.local",
            b"X-Call-Id: " + request_id.encode(),
            b"X-Call-Class: " + planned.kind.encode(),
            b"X-Caller: univ",
            b"X-Budget: %dm" % int(planned.budget * 1000.0),
            b"X-Want: %d" % planned.want,
        ]
        if planned.kind == "submit":
            header_lines.append(b"Idempotency-Key: k%d" % planned.number)
        body = b"" if method == b"GET" else b"x" * planned.body
        if method == b"POST":
            header_lines.append(b"Content-Length: %d" % len(body))
        message = b"\r\n".join([*header_lines, b"", b""]) + body
        pieces = [message]
        if planned.slow:
            cuts = [0, *(len(message) - (3 - i) * (len(message) // 5) for i in range(3)), len(message)]
            pieces = [message[a:b] for a, b in itertools.pairwise(cuts)]
        pending = PendingRequest(slot.address, pieces, planned.slow / 4.0, planned.dawdle)

        def done(end: RequestEnd, answer: Message | None) -> None:
            if answer is not None and answer.status in (503, 429) and attempt < planned.again:
                after = float(answer.headers.get(b"retry-after", b"0.2"))
                self.loop.call_later(after, self.send_planned, planned, attempt + 1)

        pending.on_end = done
        client_pool = self.client_pools[planned.zone]
        self._track(pending, request_id, planned.kind, slot, f"client/{planned.zone}", planned.budget, planned.want)
        if planned.kind == "view":
            self._duplicable_requests[request_id] = (slot, pending, message)
        client_pool.send(pending)
        if planned.leaves:
            self.loop.call_later(planned.leaves, client_pool.abandon, pending)
        return pending

    # ---- faults --------------------------------------------------------------------------

    def inject(self, fault: Fault) -> None:
        """Start a fault and schedule its end."""
        self.checker.record_event(
            self.loop.time(), "fault", fault.what, fault.whom, f"{fault.seconds:g}", f"{fault.by:g}"
        )
        target_kind, _, number = fault.whom.partition("/")
        if target_kind == "backend":
            self.checker.faulted_backends.add(self.backend_slots[int(number)].host)
        if target_kind == "proxy":
            undo = self._inject_proxy_fault(fault, self.proxy_slots[int(number)])
        elif target_kind == "backend":
            undo = self._inject_backend_fault(fault, self.backend_slots[int(number)])
        else:
            undo = self._inject_discovery_fault(fault, self.discoveries[int(number)])
        if undo is not None:
            key = self._fault_count = self._fault_count + 1
            self._active_faults[key] = undo
            self.loop.call_later(fault.seconds, self._end_fault, key)

    def _end_fault(self, key: int) -> None:
        undo = self._active_faults.pop(key, None)
        if undo is not None:
            undo()

    def _inject_proxy_fault(self, fault: Fault, slot: ProxySlot) -> Undo | None:
        process = slot.process
        if process is None or process.machine.dead or process.proxy is None:
            return None
        machine, proxy, runtime = process.machine, process.proxy, process.runtime
        fault_kind = fault.what
        if fault_kind == "blow":
            return self._kill_many(fault)
        if fault_kind in ("forget", "rollback"):
            self.end_proxy(slot, True)
            self.checker.on_state_lost(slot.name)
            if fault_kind == "forget":
                slot.disk.records.clear()
            else:
                slot.disk.restore_snapshot()
            return lambda: self._restart_proxy(slot)
        if fault_kind == "kill" or (fault_kind == "drain" and slot.for_backend is not None):
            self.end_proxy(slot, True)
            return lambda: self._restart_proxy(slot)
        if fault_kind == "drain":
            self._drain_proxy(slot, machine, proxy, fault.seconds)
            return None
        if fault_kind == "pause":
            # The backlog that arrived meanwhile is processed first.
            return self._block_proxy(slot, machine.pause, machine.resume, self.round_trip + 0.1 * fault.seconds)
        if fault_kind == "silent":
            address = machine.address
            return self._block_proxy(
                slot,
                lambda: self.network.set_silent(address, True),
                lambda: self.network.set_silent(address, False),
                0.5,
            )
        if fault_kind == "cut":
            tier_backends = [backend for backend in self.backend_slots if backend.tier == slot.tier]
            target = tier_backends[int(fault.by) % len(tier_backends)]
            self.checker.faulted_backends.add(target.host)
            return self._partition(machine.address, target.address)
        if fault_kind in ("lag", "narrow"):
            undo = self._degrade_link(machine.address, fault)
            if fault_kind == "lag":
                one_way = fault.by * (1.0 + self.plan.jitter)
                self.checker.slack[slot.name] = max(
                    self.checker.slack.get(slot.name, 0.0),
                    (6.0 + 4.0 * self.longest_message / WINDOW_BYTES) * one_way,
                )
                return undo
            return self._block_proxy(slot, lambda: None, undo, 2.0 + (3e5 + 3.0 * self.longest_message) / fault.by)
        if fault_kind == "reload":
            slot.discovery_index = 1 - slot.discovery_index
            machine_context = machine.context()
            new_config = replace(proxy.config, discovery=(f"10.4.{slot.tier}.{slot.discovery_index + 1}", PORT))
            self.loop.call_soon(proxy.reconfigure, new_config, context=machine_context)
            return None
        if fault_kind == "ban":
            tier_backends = [backend for backend in self.backend_slots if backend.tier == slot.tier]
            return self._ban(slot, tier_backends[int(fault.by) % len(tier_backends)].host)
        if fault_kind == "evacuate":
            return self._evacuate(slot)
        if fault_kind == "upgrade":
            self._upgrade(slot, int(fault.by))
            return None
        if fault_kind == "famine":
            slot.starved = True
            machine.descriptor_limit = machine.descriptors_used + int(fault.by)
            return self._block_proxy(
                slot, lambda: None, lambda: setattr(machine, "descriptor_limit", slot.config.sockets), 1.0
            )
        if fault_kind == "coarse":
            machine.timer_granularity = fault.by
            self.checker.slack[slot.name] = max(self.checker.slack.get(slot.name, 0.0), 4.0 * fault.by)
            return lambda: setattr(machine, "timer_granularity", 0.0)
        if fault_kind == "step":
            runtime.epoch += fault.by
            return None
        if fault_kind in ("crowd", "halves"):
            return self._open_silent_connections(
                slot, int(fault.by), b"GET /api HT" if fault_kind == "halves" else b""
            )
        if fault_kind == "twins":
            self._duplicate_open_ids(slot, int(fault.by))
        return None  # a burst consists of its requests in the plan

    def _kill_many(self, fault: Fault) -> Undo:
        """Kill a part of the first tier at one instant, and restart it at one instant."""
        first_tier = [slot for slot in self.proxy_slots if slot.tier == 0]
        killed = first_tier[: max(1, round(fault.by * len(first_tier)))]
        for slot in killed:
            self.end_proxy(slot, True)

        def undo() -> None:
            for slot in killed:
                self._restart_proxy(slot)

        return undo

    def _duplicate_open_ids(self, slot: ProxySlot, count: int) -> None:
        """Other clients send requests with the ids of open ones; the proxy must reject them while those are open."""
        for request_id, (target, pending, message) in list(self._duplicable_requests.items()):
            if pending.ended:
                del self._duplicable_requests[request_id]
            elif (
                target is slot
                and count > 0
                and not pending.head_received
                and self.checker.is_waiting(self.loop.time(), request_id)
            ):
                count -= 1
                self._send_duplicate(slot, request_id, pending, message)

    def _send_duplicate(self, slot: ProxySlot, request_id: str, original: PendingRequest, message: bytes) -> None:
        self.checker.duplicated_ids.add(request_id)
        self.checker.record_event(self.loop.time(), "twin", request_id, slot.name)

        def check() -> None:
            if not original.ended and not original.head_received:
                text = f"a stranger's {request_id} was served while the request of that id was open"
                self.checker.report_violation(self.loop.time(), "right answer", text)

        def done(end: RequestEnd, answer: Message | None) -> None:
            if answer is not None and answer.status == 200:
                self.loop.call_later(self.round_trip, check)  # an answer that was sent before has arrived by then

        duplicate = PendingRequest(slot.address, [message], on_end=done)
        self.loop.call_soon(
            self.client_pools[slot.zone].connect, duplicate, context=self.client_machines[slot.zone].context()
        )

    def _block_proxy(self, slot: ProxySlot, begin: Undo, end: Undo, after: float) -> Undo:
        """Run a fault during which a proxy cannot work, so that its delays are excused."""
        self.checker.on_blocked(self.loop.time(), slot.name)
        begin()

        def undo() -> None:
            end()
            self.checker.on_unblocked(self.loop.time(), slot.name, after)

        return undo

    def _restart_proxy(self, slot: ProxySlot) -> None:
        if not slot.up and (slot.for_backend is None or slot.for_backend.up):
            slot.config = replace(slot.config, discovery=(f"10.4.{slot.tier}.{slot.discovery_index + 1}", PORT))
            self.start_proxy(slot)

    def _drain_proxy(self, slot: ProxySlot, machine: Machine, proxy: Proxy, seconds: float) -> None:
        """SIGTERM; SIGKILL if the proxy does not exit in time. The front routes to it for FRONT_STOP_DELAY more."""
        if slot.draining or slot.upgrades_in_progress or slot.other_processes:
            return
        slot.draining = True
        began = self.loop.time()
        slot.accepts_until = began + FRONT_STOP_DELAY
        generation = slot.generation

        def stop_routing() -> None:
            if slot.generation == generation:
                slot.routed = False

        def restart() -> None:
            if slot.generation == generation:
                self._restart_proxy(slot)

        def on_exit() -> None:
            if slot.generation == generation and slot.up:
                # A proxy that was blocked meanwhile could not exit in time.
                self.end_proxy(slot, self.checker.blocked_seconds(slot.name, began, self.loop.time()) > 0.0)
                key = self._fault_count = self._fault_count + 1
                self._active_faults[key] = restart
                self.loop.call_later(seconds, self._end_fault, key)

        async def drain() -> None:
            await proxy.drain()
            # The process has exited: what follows runs outside its machine.
            self.loop.call_soon(on_exit, context=contextvars.Context())

        def stop_accepting() -> None:
            # The platform's listener would queue new connections for the next process; this fault tests a refusal.
            listener = self.network.listeners.get(slot.address)
            if self.plan.shared and listener is not None and slot.generation == generation:
                listener.stop_accepting()

        self.loop.call_later(FRONT_STOP_DELAY, stop_routing, context=contextvars.Context())
        self.loop.call_later(FRONT_STOP_DELAY + 0.1, stop_accepting, context=contextvars.Context())
        self._spawn(machine, drain)
        self.loop.call_later(self.drain_timeout, on_exit, context=contextvars.Context())

    # ---- operators -----------------------------------------------------------------------

    def _call_management(
        self,
        slot: ProxySlot,
        process: Process,
        command: str,
        done: Callable[[int], None],
        body: bytes = b"",
        method: str = "POST",
    ) -> PendingRequest:
        """Call a proxy process's management API; `done` receives the status, or 0 without an answer."""
        lines = f"{method} /api/{command} HTTP/1.1\r\nHost: p\r\nContent-Length: {len(body)}\r\n\r\n".encode()

        def on_end(end: RequestEnd, answer: Message | None) -> None:
            status = answer.status if answer is not None else 0
            self.checker.record_event(self.loop.time(), "call", slot.name, command, body.decode(), status)
            done(status)

        pending = PendingRequest(process.management, [lines + body], on_end=on_end)
        self.loop.call_soon(
            self.client_pools[slot.zone].send, pending, context=self.client_machines[slot.zone].context()
        )
        return pending

    def _operator_order(
        self,
        slot: ProxySlot,
        command: str,
        opposite: str,
        body: bytes,
        on_accepted: Undo,
        on_revoked: Undo,
        host: str = "",
    ) -> Undo:
        """Give an order, and at the fault's end the opposite one: after the answer to the first, until confirmed."""
        generation = slot.generation
        state = {"answered": False, "over": False}

        def on_answer(status: int) -> None:
            state["answered"] = True
            if status == 200 and slot.generation == generation and slot.up:
                on_accepted()
            if state["over"]:
                revoke()

        def on_revoke_answer(status: int) -> None:
            if status in (0, 409) and (self.plan.keeps or (slot.generation == generation and slot.up)):
                self.loop.call_later(0.1, revoke)  # the called process is exiting or has exited

        def revoke() -> None:
            slot.revoked_orders += 1
            on_revoked()
            send_opposite()

        def send_opposite() -> None:
            # Stored orders outlive the process that received them; the revocation is then sent to its successor.
            if slot.up and slot.process is not None and (slot.generation == generation or self.plan.keeps):
                self._call_management(slot, slot.process, opposite, on_revoke_answer, body)
            elif self.plan.keeps:
                self.loop.call_later(0.1, send_opposite)

        def end() -> None:
            state["over"] = True
            if state["answered"]:
                revoke()

        assert slot.process is not None
        pending = self._call_management(slot, slot.process, command, on_answer, body)
        if host:
            self._pending_bans[pending] = host
        return end

    def _ban(self, slot: ProxySlot, host: str) -> Undo | None:
        """Ban a backend at one proxy, from the confirmation until operators ask to lift the ban."""
        if host in slot.banned_hosts:
            return None
        slot.banned_hosts.add(host)

        def on_revoked() -> None:
            slot.banned_hosts.discard(host)
            self.checker.on_unbanned(slot.name, host)

        return self._operator_order(
            slot,
            "exclude",
            "include",
            b'{"who":"%s"}' % host.encode(),
            lambda: None,
            on_revoked,
            host,
        )

    def _evacuate(self, slot: ProxySlot) -> Undo:
        """Evacuate a proxy; the front stops after FRONT_STOP_DELAY and resumes when the proxy is ready again."""
        generation = slot.generation

        def stop_routing() -> None:
            if slot.generation == generation:
                slot.routed = False

        def on_accepted() -> None:
            slot.accepts_until = max(slot.accepts_until, self.loop.time() + FRONT_STOP_DELAY)
            slot.evacuated = True
            self.loop.call_later(FRONT_STOP_DELAY, stop_routing, context=contextvars.Context())
            self._poll_evacuated(slot, generation)

        def on_revoked() -> None:
            slot.evacuated = False
            if slot.for_backend is None and slot.generation == generation:
                self.loop.call_later(2.0 * FRONT_STOP_DELAY, self._poll_ready, slot, generation)

        return self._operator_order(slot, "evacuate", "rejoin", b"", on_accepted, on_revoked)

    def _poll_evacuated(self, slot: ProxySlot, generation: int) -> None:
        """The front checks an evacuated proxy: no process of it may report ready."""
        if slot.generation != generation or not slot.up or not slot.evacuated or slot.draining:
            return
        orders = slot.revoked_orders

        def done(end: RequestEnd, answer: Message | None) -> None:
            if (
                answer is not None
                and answer.status == 200
                and slot.generation == generation
                and slot.revoked_orders == orders
            ):
                self.checker.on_ready_while_evacuated(self.loop.time(), slot.name)

        pending = PendingRequest(slot.address, [READY_REQUEST], on_end=done)
        self.loop.call_soon(
            self.client_pools[slot.zone].connect, pending, context=self.client_machines[slot.zone].context()
        )
        self.loop.call_later(READY_POLL_INTERVAL, self._poll_evacuated, slot, generation)

    # ---- upgrades ------------------------------------------------------------------------

    def _upgrade(self, slot: ProxySlot, trouble_index: int) -> None:
        """Start a new process beside the old one on one listener; the old one exits when the new one is ready."""
        old = slot.process
        if not self.plan.shared or slot.draining or slot.upgrades_in_progress > 1 or old is None or old.machine.dead:
            return
        trouble = UPGRADE_TROUBLES[trouble_index % len(UPGRADE_TROUBLES)]
        if trouble == "what was learned is torn" and slot.shared_memory is not None:
            slot.shared_memory.truncate("learned")
        generation, began = slot.generation, self.loop.time()
        slot.upgrades_in_progress += 1
        new = self._start_process(slot)
        slot.other_processes.append(new)
        self.checker.record_event(began, "new", slot.name, trouble)

        def abandon() -> None:
            if slot.generation == generation:
                slot.upgrades_in_progress -= 1
                self._end_process(slot, new)

        def on_ready_answer(status: int) -> None:
            if slot.generation != generation or not slot.up:
                return
            if status == 200 and not new.machine.dead:
                self._promote(slot, new)
            elif new.machine.dead:
                abandon()
            elif self.loop.time() > began + START_TIMEOUT and not self.checker.recently_blocked(
                self.loop.time(), slot.name
            ):
                self.checker.report_violation(
                    self.loop.time(), "liveness", f"{slot.name}: a new process is not ready"
                )
                abandon()
            else:
                self.loop.call_later(START_POLL_INTERVAL, poll_ready)

        def poll_ready() -> None:
            if slot.generation == generation and slot.up:
                self._call_management(slot, new, "ready", on_ready_answer, method="GET")

        self.loop.call_later(START_POLL_INTERVAL, poll_ready)
        if trouble == "the new process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._kill_new, slot, new)
        elif trouble == "the old process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._kill_old, slot, old, new)
        elif trouble == "a second one follows":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._upgrade, slot, 0)

    def _promote(self, slot: ProxySlot, new: Process) -> None:
        """Make a new process the serving one; the older of the two is told to exit."""
        old, now = slot.process, self.loop.time()
        slot.upgrades_in_progress -= 1
        self.checker.record_event(now, "serves", slot.name)
        if new is old:  # the old process was killed meanwhile; the new one serves already
            self.checker.on_unblocked(now, slot.name, 0.5)
            return
        if old is not None and old.number > new.number:
            self._retire(slot, new)
            return
        slot.process = new
        slot.other_processes.remove(new)
        if old is not None and not old.machine.dead:
            slot.other_processes.append(old)
            self._retire(slot, old)

    def _retire(self, slot: ProxySlot, old: Process) -> None:
        """SIGTERM to one of several processes; SIGKILL if it does not exit in time."""
        proxy = old.proxy
        if proxy is None:
            return
        now, generation = self.loop.time(), slot.generation

        def on_exit() -> None:
            if slot.generation == generation and not old.machine.dead:
                if self.checker.blocked_seconds(slot.name, now, self.loop.time()) > 0.0:
                    self.checker.on_killed(self.loop.time(), slot.name, False)
                self._end_process(slot, old)

        async def drain() -> None:
            await proxy.drain()
            self.loop.call_soon(on_exit, context=contextvars.Context())

        self._spawn(old.machine, drain)
        self.loop.call_later(self.drain_timeout, on_exit, context=contextvars.Context())

    def _end_process(self, slot: ProxySlot, process: Process) -> None:
        """End one of several processes."""
        process.machine.kill()
        process.proxy = None
        if process in slot.other_processes:
            slot.other_processes.remove(process)

    def _kill_new(self, slot: ProxySlot, new: Process) -> None:
        """Kill the new process before the platform knows that it is ready."""
        if new in slot.other_processes and new is not slot.process:
            now = self.loop.time()
            self.checker.record_event(now, "new killed", slot.name)
            self.checker.on_killed(now, slot.name, False)  # it may have accepted connections already
            self._end_process(slot, new)

    def _kill_old(self, slot: ProxySlot, old: Process, new: Process) -> None:
        """Kill the old process while the new one starts: its requests are lost, queued connections remain."""
        if old is not slot.process or new not in slot.other_processes or new.machine.dead or old.machine.dead:
            return
        now = self.loop.time()
        self.checker.record_event(now, "old killed", slot.name)
        self.checker.on_killed(now, slot.name, False)
        self.checker.on_blocked(now, slot.name)  # until the new one serves
        slot.process = new
        slot.other_processes.remove(new)
        slot.other_processes.append(old)
        self._end_process(slot, old)

    def _partition(self, first: str, second: str) -> Undo:
        self.network.set_partitioned(first, second, True)
        return lambda: self.network.set_partitioned(first, second, False)

    def _degrade_link(self, address: str, fault: Fault) -> Undo:
        default_link = self.network.default_link
        changes = {"latency": default_link.latency + fault.by} if fault.what == "lag" else {"bandwidth": fault.by}
        self.network.link_overrides[address] = replace(default_link, **changes)
        return lambda: self.network.link_overrides.pop(address, None)

    def _open_silent_connections(self, slot: ProxySlot, count: int, first_bytes: bytes) -> Undo:
        """Open connections that occupy a proxy's descriptors; the proxy is excused until they are closed."""
        transports: list[asyncio.Transport] = []
        ended: list[bool] = []

        async def connect_all() -> None:
            for _ in range(count):
                with contextlib.suppress(OSError):
                    transport, _ = await self.loop.create_connection(asyncio.Protocol, *slot.address)
                    transport.write(first_bytes)
                    transports.append(transport)
                if ended:
                    break

        def leave() -> None:
            ended.append(True)
            for transport in transports:
                transport.abort()

        self._spawn(self.client_machines[slot.zone], connect_all)
        return self._block_proxy(slot, lambda: None, leave, 3.0)

    def _inject_backend_fault(self, fault: Fault, backend: BackendSlot) -> Undo | None:
        machine, service = backend.machine, backend.service
        if machine is None or machine.dead or service is None:
            return None
        fault_kind = fault.what
        if fault_kind == "kill":
            self.end_backend(backend)
            return lambda: self._restart_backend(backend)
        if fault_kind == "leave":
            return self._drain_backend(backend, service)
        if fault_kind == "pause":
            return self._with_own_proxy(backend, machine.pause, machine.resume)
        if fault_kind == "silent":
            return self._with_own_proxy(
                backend,
                lambda: self.network.set_silent(backend.address, True),
                lambda: self.network.set_silent(backend.address, False),
            )
        if fault_kind == "cut":
            tier_proxies = [slot for slot in self.proxy_slots if slot.tier == backend.tier]
            return self._partition(machine.address, tier_proxies[int(fault.by) % len(tier_proxies)].address[0])
        if fault_kind in ("lag", "narrow"):
            return self._with_own_proxy(backend, lambda: None, self._degrade_link(machine.address, fault))
        if fault_kind == "slow":
            service.slow = fault.by
            return lambda: setattr(service, "slow", 1.0)
        if fault_kind == "hasty":
            service.idle_for = fault.by
            return lambda: setattr(service, "idle_for", 5.0)
        if fault_kind == "double":
            service.copy_delay = fault.by
        service.fault = fault_kind
        self.checker.cutting_backends.add(service.host)
        return service.clear_fault

    def _with_own_proxy(self, backend: BackendSlot, begin: Undo, end: Undo) -> Undo:
        """Start a backend's fault that also blocks its own proxy, whose answers cannot reach the backend."""
        if backend.own_proxy is not None:
            return self._block_proxy(backend.own_proxy, begin, end, 2.0)
        begin()
        return end

    def _drain_backend(self, backend: BackendSlot, service: ServiceBackend) -> Undo | None:
        """Drain a backend: discovery lists it as terminating, it finishes its requests and exits."""
        if backend.leaving:
            return None
        backend.leaving = True
        entry = self.discoveries[backend.tier].entries[backend.host]
        self._publish(backend, entry | {"health": "terminating"})

        def refuse() -> None:
            service.draining = True

        def end() -> None:
            if backend.service is service:
                self.end_backend(backend)

        self.loop.call_later(1.0, refuse)
        self.loop.call_later(2.5, end)

        def restart() -> None:
            if backend.service is service and backend.up:
                self.loop.call_later(3.0, self._restart_backend, backend)
            else:
                self._restart_backend(backend)

        return restart

    def _restart_backend(self, backend: BackendSlot) -> None:
        if not backend.up:
            self.loop.create_task(self.start_backend(backend, True))

    def _inject_discovery_fault(self, fault: Fault, discovery: DiscoveryTier) -> Undo | None:
        fault_kind = fault.what
        machines, lists = list(discovery.machines), list(discovery.lists)
        if fault_kind == "kill":
            for machine in machines:
                machine.kill()

            def restart() -> None:
                for index in range(len(machines)):
                    if discovery.machines[index].dead and index not in discovery.starting:
                        discovery.starting.add(index)
                        self.loop.create_task(self.start_discovery(discovery, index))

            return restart
        if fault_kind == "pause":
            for machine in machines:
                machine.pause()

            def resume() -> None:
                for machine in machines:
                    machine.resume()

            return resume
        for host_list in lists:
            host_list.fault = fault_kind

        def calm() -> None:
            for machine, host_list in zip(machines, lists, strict=True):
                self.loop.call_soon(host_list.clear_fault, context=machine.context())

        return calm

    # ---- the run -------------------------------------------------------------------------

    def _after_step(self) -> None:
        """Check after every step that no answer is overdue, and periodically that no proxy holds too much."""
        now = self.loop.time()
        self.checker.check_deadlines(now)
        if now >= self._next_bounds_check:
            self._next_bounds_check = now + self.bounds_check_interval
            for slot in self.proxy_slots:
                self._check_bounds(now, slot)
            self._check_abandoned(now)

    def _on_descriptors_exhausted(self, slot: ProxySlot, machine: Machine) -> None:
        """A proxy ran out of descriptors: a violation, since its own limit must prevent that."""
        if not slot.starved:
            slot.starved = True
            self.checker.report_violation(
                self.loop.time(), "descriptors", f"{slot.name} ran out of its {machine.descriptor_limit}"
            )

    def _check_bounds(self, now: float, slot: ProxySlot) -> None:
        """Check that a proxy's timers, descriptors and buffers are bounded by its open requests."""
        if slot.machine is None or not slot.up:
            return
        timers = len(self.loop.timers_of(slot.machine))
        tier_slots = (
            [other for other in self.proxy_slots if other.tier == slot.tier] if self.orphans is not None else [slot]
        )
        # With takeover, a successor may hold requests of the other proxies, and offers may be on their way to it.
        open_requests = sum(self.checker.open_request_count(other.name) for other in tier_slots)
        offers = self.orphans.planner.max_pending if self.orphans is not None else 0
        if timers > IDLE_TIMERS + SPARE_TIMERS + offers + 3 * open_requests and not self.checker.recently_blocked(
            now, slot.name
        ):
            self.checker.report_violation(
                now, "bounded", f"{slot.name} has {timers} timers for {open_requests} requests"
            )
        machines = [
            process.machine
            for process in (slot.process, *slot.other_processes)
            if process is not None and not process.machine.dead
        ]
        if len(machines) > 1 and not slot.starved:
            limit = slot.config.sockets - RESERVED_DESCRIPTORS * len(machines)
            self.checker.check_descriptors(
                now, slot.name, sum(machine.descriptors_used for machine in machines), limit
            )
        buffered = sum(map(VirtualTransport.get_write_buffer_size, slot.machine.transports))
        if buffered > MAX_BUFFERED:
            self.checker.report_violation(now, "bounded", f"{slot.name} holds {buffered} bytes that nobody takes")

    def _check_abandoned(self, now: float) -> None:
        """Check that attempts of ended requests are abandoned by closing their connections."""
        for transport, (proxy, request_id, bytes_read_before) in list(self._attempt_by_transport.items()):
            if transport.ended or transport.bytes_read != bytes_read_before:
                del self._attempt_by_transport[transport]
            elif transport.machine is None:
                continue  # its process is dead and no successor has it yet
            elif self.checker.must_be_abandoned(now, request_id) and not self.checker.recently_blocked(now, proxy):
                del self._attempt_by_transport[transport]
                self.checker.report_violation(
                    now, "nothing left", f"{proxy} still waits for {request_id}, which is over"
                )

    async def _build(self) -> None:
        for client in self.client_machines:
            client_pool = ClientPool(self.loop, client.context())
            client_pool.was_read = _peer_has_read
            client_pool.on_surplus = self._on_surplus_data
            self.client_pools.append(client_pool)
        for backend in self.backend_slots:
            await self.start_backend(backend, False)
        for discovery in self.discoveries:
            for index in (0, 1):
                await self.start_discovery(discovery, index)
        for slot in self.proxy_slots:
            if slot.for_backend is None:
                self.start_proxy(slot)
        await asyncio.sleep(1.0)

    async def main(self) -> None:
        """Run the plan, end all faults, probe every proxy, and check that nothing is left after a quiet period."""
        await self._build()
        begin = self.loop.time()
        for planned in self.plan.requests:
            self.loop.call_at(begin + planned.at, self.send_planned, planned)
        batches: dict[float, list[Fault]] = {}
        for fault in self.plan.faults:
            batches.setdefault(fault.at, []).append(fault)
        for offset, batch in batches.items():
            self.loop.call_at(begin + offset, self._inject_all, batch)
            if self.plan.keeps:
                self.loop.call_at(begin + 0.5 * offset, self._snapshot_disks)
        await asyncio.sleep(begin + self.plan.seconds - self.loop.time())
        for key in sorted(self._active_faults):
            self._end_fault(key)
        await asyncio.sleep(ANSWER_GRACE + 1.0)  # drains and starts are complete by then
        for key in sorted(self._active_faults):
            self._end_fault(key)
        await asyncio.sleep(1.0)
        self._check_timers()
        await self._check_liveness()
        for client_pool in self.client_pools:
            client_pool.close()
        await asyncio.sleep(QUIET_PERIOD)
        self._check_leaks()
        self._check_unhandled_errors()

    def _snapshot_disks(self) -> None:
        for slot in self.proxy_slots:
            slot.disk.take_snapshot()

    def _inject_all(self, batch: list[Fault]) -> None:
        for fault in batch:
            self.inject(fault)

    def _check_timers(self) -> None:
        """Check that proxies without open requests have only their idle timers."""
        now = self.loop.time()
        for slot in self.proxy_slots:
            if slot.machine is None or not slot.up or self.checker.open_request_count(slot.name):
                continue
            timers = self.loop.timers_of(slot.machine)
            if len(timers) > IDLE_TIMERS:
                names = [getattr(timer._callback, "__qualname__", "?") for timer in timers]  # type: ignore[attr-defined]
                self.checker.report_violation(now, "nothing left", f"{slot.name} has timers: {', '.join(names)}")

    async def _check_liveness(self) -> None:
        """Check that every proxy serves a request again within MAX_PROBES probes."""
        waiting = {slot: True for slot in self.proxy_slots if slot.for_backend is None}
        for i in range(MAX_PROBES):
            for number, slot in enumerate(list(waiting)):
                if slot.up:
                    planned = PlannedRequest(0x10000 + i * 100 + number, 0.0, "view", slot.zone)
                    self._track_liveness(slot, self._send_request(planned, 0, slot), waiting)
            await asyncio.sleep(PROBE_INTERVAL if i < 3 else 2.0)
            if not waiting:
                return
        for slot in waiting:
            self.checker.report_violation(self.loop.time(), "liveness", f"{slot.name} serves nothing")

    @staticmethod
    def _track_liveness(slot: ProxySlot, pending: PendingRequest, waiting: dict[ProxySlot, bool]) -> None:
        """Remove a proxy from `waiting` once it has served the request."""
        done = pending.on_end

        def on_end(end: RequestEnd, answer: Message | None) -> None:
            if answer is not None and answer.status == 200:
                waiting.pop(slot, None)
            done(end, answer)

        pending.on_end = on_end

    def _check_leaks(self) -> None:
        """Check after the quiet period that no descriptor, task, exchange or byte of a body is left."""
        now = self.loop.time()
        for slot in self.proxy_slots:
            if slot.machine is None or not slot.up or slot.proxy is None:
                continue
            if slot.machine.descriptors_used > 1:
                self.checker.report_violation(
                    now, "nothing left", f"{slot.name} holds {slot.machine.descriptors_used} descriptors"
                )
            if len(slot.machine.tasks) > 1:
                names = sorted(getattr(task.get_coro(), "__qualname__", "?") for task in slot.machine.tasks)
                self.checker.report_violation(now, "nothing left", f"{slot.name} has tasks: {', '.join(names)}")
            tier_size = sum(backend.tier == slot.tier for backend in self.backend_slots)
            for name, (count, bound) in containers_over_bound(slot.proxy, tier_size).items():
                self.checker.report_violation(
                    now, "nothing left", f"{slot.name} has {count} in {name}, where {bound} may be"
                )
            if slot.proxy.memory.used:
                self.checker.report_violation(
                    now, "nothing left", f"{slot.name} counts {slot.proxy.memory.used} bytes"
                )
            if slot.proxy.descriptors.used != slot.machine.descriptors_used - 1:
                books = f"{slot.proxy.descriptors.used} descriptors, and has {slot.machine.descriptors_used - 1}"
                self.checker.report_violation(now, "nothing left", f"{slot.name} counts {books}")
        self._check_objects()

    def _check_unhandled_errors(self) -> None:
        """Report unhandled errors; called before the end of the run cancels what is left."""
        for context in self.loop.unhandled_errors:
            text = f"{context.get('message')}: {context.get('exception')!r}"
            self.checker.report_violation(self.loop.time(), "sound", text)

    def _check_objects(self) -> None:
        """Check with the garbage collector that no object of a request is still referenced."""
        gc.collect()
        living = {id(slot.proxy): slot for slot in self.proxy_slots if slot.up and slot.proxy is not None}
        counts_by_proxy: dict[str, dict[str, int]] = {}
        for candidate in gc.get_objects():
            owner: object = None
            if type(candidate) is Exchange:
                owner = candidate.proxy
            elif type(candidate) is CallerConnection:
                owner = candidate._callers.handler
            elif type(candidate) is BackendConnection:
                owner = candidate._pool.sink
            if owner is not None and id(owner) in living:
                counts = counts_by_proxy.setdefault(living[id(owner)].name, {})
                counts[type(candidate).__name__] = counts.get(type(candidate).__name__, 0) + 1
        for name, counts_of_proxy in sorted(counts_by_proxy.items()):
            self.checker.report_violation(
                self.loop.time(), "nothing left", f"{name} keeps {dict(sorted(counts_of_proxy.items()))}"
            )


def _peer_has_read(transport: asyncio.Transport | None) -> bool:
    """Whether the peer has read all that was written, which an in-memory network knows."""
    if not isinstance(transport, VirtualTransport) or transport.peer is None:
        return False
    return transport.peer.bytes_read >= transport.bytes_written


@contextlib.contextmanager
def _capture_errors(world: World) -> Iterator[None]:
    """Report the program's error log lines as violations and drop its other log lines."""
    logger = logging.getLogger("cometusher")
    handler, level, propagate = _ErrorHandler(world), logger.level, logger.propagate
    logger.addHandler(handler)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagate


def run_plan(plan: Plan, every_step: bool = False) -> Result:
    """Run a plan to its end; the result holds the violations.

    Overdue answers are checked after every step, the bounds on what proxies hold every BOUNDS_CHECK_INTERVAL.
    `every_step` checks both after every step, which is slow.
    """
    world = World(plan)
    checker, loop = world.checker, world.loop
    if every_step:
        world.bounds_check_interval = 0.0
    loop.after_step = world._after_step
    with _capture_errors(world):
        try:
            run(loop, world.main())
        except (Deadlock, Stuck) as error:
            checker.report_violation(loop.time(), "liveness", f"{type(error).__name__}: {error}")
    return Result(
        plan,
        checker.violations,
        checker.digest(),
        checker.trace_lines(),
        checker.outcome_counts(),
        loop.time(),
        loop.steps,
    )
