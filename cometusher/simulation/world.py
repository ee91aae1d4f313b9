"""A world: proxies, nodes, discovery, a front and clients on machines of their own, and what a plan does to them.

The proxies are the real ones (`cometusher.proxy`), the peers are `standins`; everything runs on one virtual loop and
network. `play` runs a plan to its end and returns the account.
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
from standins.client_connections import Address, Courier, End, Parcel
from standins.discovery import HostList, Watch
from standins.messages import Seen
from standins.service_backend import Keys, Node
from weldroute.recovery import RecoveryPlan as ReturnPlan
from weldroute.settings import read_settings
from weldroute.snapshots import AgeLimits, KnownVersions, Owner

EPOCH = 1.6e9  # Unix time at a world's beginning
PORT = 9000
MANAGEMENT_PORT = 9001  # where operators call: the first of the ports that the processes of one proxy take in turn
MANAGEMENT_PORTS = 8
READY_POLL_INTERVAL = 0.3  # seconds between questions of the front to an evacuated proxy
RESERVED_DESCRIPTORS = 24  # descriptors of a process that are not connections: none of those are here
START_POLL_INTERVAL = 0.05  # seconds between questions whether a new process is ready
START_TIMEOUT = 4.0  # seconds within which one must be
COLD_PERIOD, COLD_FROM, FALL_MULTIPLE, FALL_AFTER = 6.0, 0.1, 2.0, 1.0
WINDOW_BYTES = 64 * 1024  # of a connection
KEY_WINDOW = 3.0  # seconds in which a zone's nodes recognise a key
DEADLINE = 1.5
WORK_SECONDS = {"view": 0.06, "submit": 0.05, "pay": 0.04}
SPEEDS = (1.0, 1.6, 0.8)
FRONT_DEATH_DELAY = (2.0, 3.8)  # seconds after which the front knows of a death...
FRONT_STOP_DELAY = 0.3  # ...and of an order to stop
DISCOVERY_DEATH_DELAY = 1.0  # seconds after which discovery knows of a death, and 0.2 of a start
ANSWER_GRACE = 4.0  # seconds that answers may still take at the end
QUIET_PERIOD = 16.0  # seconds after which nothing may be left
MAX_PROBES, PROBE_INTERVAL = 40, 0.5
BOUNDS_CHECK_INTERVAL = 0.25  # seconds between looks at what a proxy holds
MAX_BUFFERED = 12 * 1024 * 1024  # bytes that answers may take which nobody reads
IDLE_TIMERS = 4  # of a proxy at rest: the sweep, the watch, the module's...
SPARE_TIMERS = 8  # ...and beside three for each request at work: what ends at this moment
Undo = Callable[[], object]  # what ends a fault
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
    """One process of a proxy."""

    machine: Machine
    surroundings: VirtualRuntime
    management: Address  # where operators call
    number: int  # grows with every start
    proxy: Proxy | None = None
    journal: JournalAssignment | None = None  # its book of work in hand


@dataclass(eq=False)
class ProxySlot:
    """One proxy, and where it is."""

    name: str
    address: Address
    tier: int
    zone: int
    config: config.Config
    for_backend: BackendSlot | None = None  # the node that has it for itself
    process: Process | None = None  # the one that serves
    other_processes: list[Process] = field(
        default_factory=list
    )  # that take over from it, or from which it has taken over
    shared_memory: SharedMemory | None = None  # what its processes share
    disk: VirtualDisk = field(default_factory=VirtualDisk)  # what outlives them, where they keep anything
    operator_orders: dict[str, Any] | None = None  # orders that it told its supervisor of
    routed: bool = False  # the front sends here
    draining: bool = False
    accepts_until: float = 0.0  # with an order to stop, it takes connections until then
    starved: bool = False  # it was short of descriptors through no fault of its own
    discovery_index: int = 0  # which discovery it follows
    generation: int = 0
    process_count: int = 0  # of processes
    upgrades_in_progress: int = 0  # under way
    evacuated: bool = False  # by operators, who have their yes, and have asked for nothing else since
    revoked_orders: int = 0  # that were taken back
    banned_hosts: set[str] = field(default_factory=set)  # backends that operators have out, or want out

    @property
    def up(self) -> bool:
        """Whether its process is there."""
        return self.process is not None and not self.process.machine.dead

    @property
    def machine(self) -> Machine | None:
        """Of the process that serves."""
        return self.process.machine if self.process is not None else None

    @property
    def proxy(self) -> Proxy | None:
        """The program in it."""
        return self.process.proxy if self.process is not None else None


@dataclass(eq=False)
class BackendSlot:
    """One node, and where it is."""

    number: int
    tier: int
    zone: int
    address: str
    speed: float
    machine: Machine | None = None
    backend: Node | None = None
    own_proxy: ProxySlot | None = None  # its own proxy to the tier behind
    leaving: bool = False

    @property
    def host(self) -> str:
        """Its name in the list."""
        return f"s-{self.number + 1:x}"

    @property
    def up(self) -> bool:
        """Whether its process is there."""
        return self.machine is not None and not self.machine.dead


@dataclass(eq=False)
class DiscoveryTier:
    """The list of one tier, at two discovery services."""

    tier: int
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    seq: int = 1
    machines: list[Machine] = field(default_factory=list)
    lists: list[HostList] = field(default_factory=list)
    last_seen_seq: dict[tuple[str, int], int] = field(default_factory=dict)  # the newest that each was told by each
    starting: set[int] = field(default_factory=set)  # services that begin


@dataclass
class Result:
    """The account of one run."""

    plan: Plan
    violations: list[Violation]
    digest: str
    lines: list[str]
    outcomes: dict[str, int]
    seconds: float
    steps: int

    @property
    def oracles(self) -> list[str]:
        """What was broken, first things first."""
        return list(dict.fromkeys(violation.oracle for violation in self.violations))


class _ErrorHandler(logging.Handler):
    """What the program itself calls an error: a fault that it survived is one all the same."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        if record.exc_info is not None and record.exc_info[1] is not None:
            text += f": {record.exc_info[1]!r}"
        self._world.checker.report_violation(self._world.loop.time(), "sound", text)


class World:
    """All that there is in one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = VirtualLoop(plan.seed)
        self.network = VirtualNetwork(self.loop, Link(plan.latency, plan.jitter, plan.bandwidth, plan.cut))
        self.network.max_read_delay = plan.lazy
        self.rng = Random(f"world {plan.seed}")
        nodes = plan.zones * plan.backends
        self.backends = [
            BackendSlot(
                n,
                n // nodes,
                n % nodes // plan.backends,
                f"10.2.{n // nodes}.{n % nodes + 1}",
                SPEEDS[n % len(SPEEDS)],
            )
            for n in range(nodes * plan.tiers)
        ]
        self.discoveries = [DiscoveryTier(tier) for tier in range(plan.tiers)]
        self.proxies: list[ProxySlot] = []
        for zone in range(plan.zones):
            for i in range(plan.proxies):
                self._add_proxy(f"10.1.{zone}.{i + 1}", 0, zone, None)
        if plan.tiers > 1:
            for stand in self.backends[:nodes]:
                stand.own_proxy = self._add_proxy(f"10.5.0.{stand.number + 1}", 1, stand.zone, stand)
        self.keys = {(tier, zone): Keys(KEY_WINDOW) for tier in range(plan.tiers) for zone in range(plan.zones)}
        self.client_machines = [self.network.add_machine(f"10.3.{zone}.1", 100000) for zone in range(plan.zones)]
        self.client_pools: list[Courier] = []
        self.longest_message = max([ask.want + ask.body for ask in plan.requests], default=0)
        # From SIGTERM to SIGKILL: whoever reads a long answer slowly is waited for.
        dawdles = max([ask.dawdle for ask in plan.requests], default=0.0)
        self.patience = DEADLINE + 0.7 + 2.0 * dawdles + self._seconds_per_byte(plan) * self.longest_message
        self.round_trip = 4.0 * plan.latency * (1.0 + plan.jitter) + 200000.0 / plan.bandwidth
        self.checker = RunChecker(
            self.proxies[0].config.settings,
            {stand.host: f"z{stand.zone}" for stand in self.backends},
            self.round_trip,
            self._seconds_per_byte(plan),
        )
        self._backend_by_address = {stand.address: stand for stand in self.backends}
        self._backend_by_host = {stand.host: stand for stand in self.backends}
        self.orphans = (
            VirtualOrphans(self.loop, Random(f"estate {plan.seed}"), self._successors) if plan.covers else None
        )
        self._proxy_by_address = {door.address[0]: door for door in self.proxies}
        self._active_faults: dict[int, Undo] = {}
        self._fault_count = 0
        self._attempt_by_transport: dict[
            VirtualTransport, tuple[str, str, int]
        ] = {}  # whose, what, and what was told before
        self._duplicable_requests: dict[
            str, tuple[ProxySlot, Parcel, bytes]
        ] = {}  # requests that are harmless to copy
        self._pending_bans: dict[Parcel, str] = {}  # calls for bans that wait for their answer
        self._next_bounds_check = 0.0
        self.bounds_check_interval = BOUNDS_CHECK_INTERVAL

    @staticmethod
    def _seconds_per_byte(plan: Plan) -> float:
        """Seconds that each byte of a long message may take: a window a round trip, over each of three ways."""
        trip = 2.0 * plan.latency * (1.0 + plan.jitter) + 3.0 * plan.lazy
        return 3.0 * (trip / WINDOW_BYTES + 1.0 / plan.bandwidth)

    def _add_proxy(self, address: str, tier: int, zone: int, owner: BackendSlot | None) -> ProxySlot:
        plan, number = self.plan, len(self.proxies)
        raw = settings(plan, tier, zone, number if tier == 0 else 0, plan.zones * plan.proxies if tier == 0 else 1)
        told = config.Config(
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
        door = ProxySlot(f"proxy/{number}", (address, PORT), tier, zone, told, owner)
        self.proxies.append(door)
        return door

    # ---- starting and ending processes ---------------------------------------------------

    async def _run_on(self, machine: Machine, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        await self.loop.create_task(make(), context=machine.context())

    def _spawn(self, machine: Machine, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loop.create_task(make(), context=machine.context())

    def _start_process(self, door: ProxySlot) -> Process:
        """A process of a proxy begins."""
        # Its own books keep a part of the descriptors for what is not a connection; none of that is here.
        machine = self.network.add_machine(door.address[0], door.config.sockets)
        machine.on_write = lambda transport, data: self._on_proxy_write(door, transport, data)
        machine.on_descriptors_exhausted = lambda: self._on_descriptors_exhausted(door, machine)
        door.process_count += 1
        calls = (door.address[0], MANAGEMENT_PORT + door.process_count % MANAGEMENT_PORTS)
        estates = self.orphans if door.tier == 0 else None
        covered = estates.assign_journal() if estates is not None else None
        covers = partial(VirtualTakeoverChannel, estates) if estates is not None else None
        surroundings = VirtualRuntime(self.network, EPOCH, door.shared_memory, door.disk, covers)
        process = Process(machine, surroundings, calls, door.process_count, journal=covered)
        listener = self.network.listeners.get(door.address) if self.plan.shared else None

        def hear(values: dict[str, Any]) -> None:
            door.operator_orders = values.get("standing", door.operator_orders)

        async def begin() -> None:
            told = replace(
                door.config,
                seed=door.config.seed + 100 * door.process_count,
                management=calls,
                shared="shared" if self.plan.shared else None,
                returning=self._recovery_config(door),
                covered=covered,
            )
            process.proxy = proxy = Proxy(told, process.surroundings)
            if proxy.recovery is not None:
                proxy.recovery.report = hear
            if listener is None:
                proxy.start()
            else:
                await proxy.start_on(cast(socket.socket, listener))

        self._spawn(machine, begin)
        return process

    def _successors(self) -> list[tuple[int, int]]:
        """Processes of the first tier that serve, and what they have in hand."""
        return [
            (door.process.journal.process, door.process.proxy.open_requests)
            for door in self.proxies
            if door.routed
            and door.up
            and door.process is not None
            and door.process.journal is not None
            and door.process.proxy is not None
        ]

    def _recovery_config(self, door: ProxySlot) -> RecoveryConfig | None:
        """What a supervisor would tell of its return."""
        if not self.plan.keeps:
            return None
        many = sum(each.tier == door.tier for each in self.proxies)
        limits = AgeLimits()
        owner = Owner("world", door.name, 1)
        plan = ReturnPlan(instances=many, returning=many, list_for=limits.list_for)
        version = door.operator_orders["version"] if door.operator_orders is not None else 0
        return RecoveryConfig(plan, limits, owner, Path("-"), KnownVersions(standing=version), door.operator_orders)

    def start_proxy(self, door: ProxySlot) -> None:
        """A proxy begins, with one process."""
        now = self.loop.time()
        door.draining = door.starved = False
        door.accepts_until = 0.0
        door.generation += 1
        door.upgrades_in_progress = 0
        door.evacuated = False
        if not self.plan.keeps:
            door.banned_hosts.clear()
            self.checker.on_new_proxy(door.name)
        door.other_processes.clear()
        door.shared_memory = SharedMemory()
        if self.plan.shared:
            self._open_listener(door)
        self.checker.record_event(now, "start", door.name)
        door.process = self._start_process(door)
        if door.for_backend is None:
            self.loop.call_soon(
                self._poll_ready, door, door.generation, context=self.client_machines[door.zone].context()
            )

    def _open_listener(self, door: ProxySlot) -> None:
        """The platform listens for a proxy."""
        if door.address not in self.network.listeners:
            contextvars.Context().run(self.network.listen, door.address)

    def _close_listener(self, door: ProxySlot) -> None:
        listener = self.network.listeners.get(door.address)
        if self.plan.shared and listener is not None:
            listener.close()

    def _poll_ready(self, door: ProxySlot, life: int) -> None:
        """The front takes in a proxy that says that it is ready."""
        if door.generation != life or door.routed or not door.up:
            return

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200 and door.generation == life and door.up:
                door.routed = True
                self.checker.record_event(self.loop.time(), "ready", door.name)
            else:
                self.loop.call_later(0.1, self._poll_ready, door, life)

        self.client_pools[door.zone].send(Parcel(door.address, [READY_REQUEST], done=done))

    def end_proxy(self, door: ProxySlot, excused: bool) -> None:
        """A proxy's process ends; what it owes is lost, and excused only if it was killed."""
        now = self.loop.time()
        if not door.up or door.machine is None:
            return
        self.checker.record_event(now, "ends", door.name, "killed" if excused else "by itself")
        if excused:
            self.checker.on_killed(now, door.name, kept=bool(self.plan.keeps))
        for process in (door.process, *door.other_processes):
            if process is not None:
                orphans = process.machine.kill(keeps=process.journal is not None)
                process.proxy = None
                if self.orphans is not None and process.journal is not None:
                    self.orphans.on_died(process.journal.process, orphans)
        self._close_listener(door)
        life = door.generation

        def notice() -> None:
            if door.generation == life:
                door.routed = False

        self.loop.call_later(self.rng.uniform(*FRONT_DEATH_DELAY), notice, context=contextvars.Context())

    async def start_backend(self, stand: BackendSlot, cold: bool) -> None:
        """A node's process begins."""
        now = self.loop.time()
        stand.machine = self.network.add_machine(stand.address, 4096)
        stand.leaving = False
        node = stand.backend = Node(
            stand.host,
            f"z{stand.zone}",
            stand.speed,
            WORK_SECONDS,
            self.keys[stand.tier, stand.zone],
            Random(f"{self.plan.seed} {stand.number} {now}"),
            self,
            cold_from=COLD_FROM,
            cold_for=COLD_PERIOD if cold else 0.0,
            fall=(FALL_MULTIPLE, FALL_AFTER),
            born=now,
        )
        if stand.own_proxy is not None:
            node.behind = stand.own_proxy.address
        await self._run_on(stand.machine, lambda: node.start(stand.address, PORT))
        node.courier.was_read = _peer_has_read
        node.courier.surplus = self._on_surplus_data
        born = int((EPOCH + now) * 1000.0) if cold else 0
        entry = node.entry(dial=f"{stand.address}:{PORT}", born_ms=born)
        if not cold:
            self.discoveries[stand.tier].entries[stand.host] = entry
        else:
            self.loop.call_later(0.2, self._publish, stand, entry, context=contextvars.Context())
        if stand.own_proxy is not None:
            self.start_proxy(stand.own_proxy)

    def end_backend(self, stand: BackendSlot) -> None:
        """A node's process dies, and its own proxy with it."""
        if not stand.up or stand.machine is None:
            return
        self.checker.record_event(self.loop.time(), "ends", stand.host)
        self.checker.on_caller_died(self.loop.time(), stand.host)
        stand.machine.kill()
        if stand.own_proxy is not None:
            self.end_proxy(stand.own_proxy, True)
        self.loop.call_later(DISCOVERY_DEATH_DELAY, self._publish_death, stand, context=contextvars.Context())

    def _publish_death(self, stand: BackendSlot) -> None:
        if not stand.up:
            self._publish(stand, self.discoveries[stand.tier].entries[stand.host] | {"health": "terminated"})

    def _publish(self, stand: BackendSlot, entry: dict[str, Any]) -> None:
        """Discovery is told."""
        registry = self.discoveries[stand.tier]
        registry.entries[stand.host] = entry
        registry.seq += 1
        for machine, hosts in zip(registry.machines, registry.lists, strict=True):
            if not machine.dead:
                self.loop.call_soon(hosts.change, entry, context=machine.context())

    async def start_discovery(self, registry: DiscoveryTier, which: int) -> None:
        """A discovery service begins, with the list as it is."""
        address = f"10.4.{registry.tier}.{which + 1}"
        machine = self.network.add_machine(address, 4096)
        hosts = HostList(list(registry.entries.values()))
        hosts.seq = registry.seq
        hosts.on_tell = lambda watch, seq, entries: self._on_discovery_update(registry, which, watch, seq, entries)
        registry.machines[which : which + 1] = [machine]
        registry.lists[which : which + 1] = [hosts]
        await self._run_on(machine, lambda: hosts.start(address, PORT))
        registry.starting.discard(which)

    def _on_discovery_update(
        self, registry: DiscoveryTier, which: int, watch: Watch, seq: int, entries: list[dict[str, Any]]
    ) -> None:
        door = self._proxy_by_address.get(watch.writer.get_extra_info("peername")[0])
        if door is None or watch.writer.is_closing():
            return
        key = (f"{door.name} {door.generation}", which)
        if seq < registry.last_seen_seq.get(key, 0):
            return  # an older change after a newer one tells nothing
        registry.last_seen_seq[key] = seq
        now = self.loop.time()
        for entry in entries:
            self.checker.on_discovery_update(
                now, door.name, entry["host"], entry["health"] == "in_service", entry["born_ms"]
            )

    # ---- what the account is told --------------------------------------------------------

    def _on_proxy_write(self, door: ProxySlot, transport: VirtualTransport, data: bytes) -> None:
        """All that a proxy writes passes here; what goes to a node begins an attempt."""
        if MANAGEMENT_PORT <= transport.get_extra_info("sockname")[1] < MANAGEMENT_PORT + MANAGEMENT_PORTS:
            self._on_management_answer(door, transport, data)
            return
        stand = self._backend_by_address.get(transport.get_extra_info("peername")[0])
        if stand is None or transport.get_extra_info("sockname")[1] == PORT:
            return
        found = CALL_ID.search(data)
        if found is not None:
            rid, told = found[1].decode(), transport.bytes_read
            if transport.pending:
                text = f"{door.name} wrote {rid} to a connection on which something else had come"
                self.checker.report_violation(self.loop.time(), "right answer", text)
            self._attempt_by_transport[transport] = (door.name, rid, told)
            rows = [row.partition(b":") for row in data[: data.find(b"\r\n\r\n")].split(b"\r\n")[1:]]
            last = transport.bytes_written + data.find(b"\r\n\r\n") + 4 + self.checker.body_size(rid)
            self.checker.on_attempt_started(
                self.loop.time(),
                door.name,
                rid,
                stand.host,
                lambda: transport.bytes_read == told and not transport.ended,
                lambda: transport.bytes_written >= last,
                {name.strip().lower(): value.strip() for name, _, value in rows},
            )

    def _on_management_answer(self, door: ProxySlot, transport: VirtualTransport, data: bytes) -> None:
        """A yes holds from the moment that it is given, whenever it is heard."""
        peer = transport.get_extra_info("peername")
        for parcel, host in list(self._pending_bans.items()):
            there = parcel.line.transport if parcel.line is not None else None
            if there is not None and there.get_extra_info("sockname") == peer:
                del self._pending_bans[parcel]
                if data.startswith(b"HTTP/1.1 200"):
                    self.checker.on_banned(self.loop.time(), door.name, host)
            elif parcel.over:
                del self._pending_bans[parcel]

    def _request_id(self, seen: Seen) -> str:
        return seen.headers.get(b"x-call-id", b"-").decode()

    def came(self, node: Node, seen: Seen) -> None:
        self.checker.on_backend_received(self.loop.time(), self._request_id(seen), node.host, len(seen.body))

    def rejected(self, node: Node, seen: Seen) -> None:
        self.checker.on_backend_rejected(self.loop.time(), self._request_id(seen), node.host)

    def ran(self, node: Node, seen: Seen, effect: bool) -> None:
        key = seen.headers.get(b"idempotency-key")
        tier = self._backend_by_host[node.host].tier
        name = None if key is None else f"{tier} {key.decode()}"
        self.checker.on_backend_ran(self.loop.time(), self._request_id(seen), node.host, name, effect)

    def fell(self, node: Node, sent: float, carries: float) -> None:
        self.checker.on_cold_overload(self.loop.time(), node.host, sent, carries)

    def calls(self, node: Node, parcel: Parcel, seen: Seen, budget: float) -> Parcel:
        """A node calls the tier behind through its own proxy, as any caller does."""
        found = CALL_ID.search(parcel.pieces[0])
        door = self._backend_by_host[node.host].own_proxy
        assert found is not None and door is not None
        kind = seen.headers[b"x-call-class"].decode()
        want = int(seen.headers.get(b"x-want", b"0"))
        self._track(parcel, found[1].decode(), kind, door, node.host, budget, want)
        return parcel

    def _on_surplus_data(self, address: Address, data: bytes) -> None:
        self.checker.on_surplus_data(self.loop.time(), self._proxy_by_address[address[0]].name, data)

    def _track(
        self, parcel: Parcel, rid: str, kind: str, door: ProxySlot, caller: str, budget: float, want: int
    ) -> None:
        """Have the account follow a parcel."""
        done = parcel.done
        ledger, loop = self.checker, self.loop

        message = b"".join(parcel.pieces)
        found = IDEMPOTENCY_KEY.search(message)
        key = found[1] if found is not None else b""
        body = len(message) - message.find(b"\r\n\r\n") - 4

        def written() -> None:
            if parcel.tries:
                ledger.on_request_resent(loop.time(), rid)
            else:
                ledger.on_request_sent(
                    loop.time(),
                    rid,
                    kind,
                    door.name,
                    caller,
                    budget,
                    body,
                    want,
                    key,
                    self._connection_holder(parcel),
                    alone=not any(each.up and each.routed for each in self.proxies if each.tier == door.tier),
                )

        def ended(end: End, answer: Seen | None) -> None:
            now = loop.time()
            if answer is not None:
                ledger.on_answer(now, rid, answer.status, answer.body, want)
            elif end is End.LOST:
                ledger.on_connection_lost(now, rid)
            elif end is End.CUT:
                ledger.on_answer_cut(now, rid)
            else:
                ledger.on_caller_left(now, rid)
                if end is End.UNREACHED and door.up and now < door.accepts_until:
                    ledger.report_violation(
                        now, "drains", f"{door.name} refused {rid} while the front still sent to it"
                    )
            done(end, answer)

        parcel.written, parcel.done = written, ended
        parcel.begun = lambda: ledger.on_answer_started(loop.time(), rid)
        if body > LONG_MESSAGE:
            parcel.coming = lambda: ledger.on_request_started(loop.time(), rid, kind, door.name, caller, body, want)

    def _connection_holder(self, parcel: Parcel) -> str:
        """Which proxy has the connection that a parcel is on; empty for none that is known."""
        there = parcel.line.transport if parcel.line is not None else None
        far = there.peer if isinstance(there, VirtualTransport) else None
        return next(
            (
                door.name
                for door in self.proxies
                for process in (door.process, *door.other_processes)
                if far is not None and process is not None and process.machine is far.machine
            ),
            "",
        )

    # ---- clients -------------------------------------------------------------------------

    def send_planned(self, ask: PlannedRequest, attempt: int = 0) -> None:
        """A client sends a request: on a connection that it has, or on one through the front."""
        courier = self.client_pools[ask.zone]
        doors = [
            door
            for door in self.proxies
            if door.for_backend is None and door.zone == ask.zone and (door.routed or courier.has_idle(door.address))
        ]
        if not doors:
            self.checker.record_event(self.loop.time(), "nowhere", ask.number)
            return
        self._send_request(ask, attempt, self.rng.choice(doors))

    def _send_request(self, ask: PlannedRequest, attempt: int, door: ProxySlot) -> Parcel:
        rid = f"{ask.number:x}-{attempt}"
        method = b"GET" if ask.kind == "view" else b"POST"
        rows = [
            method + b" /api HTTP/1.1",
            b"Host: backend.local",
            b"X-Call-Id: " + rid.encode(),
            b"X-Call-Class: " + ask.kind.encode(),
            b"X-Caller: univ",
            b"X-Budget: %dm" % int(ask.budget * 1000.0),
            b"X-Want: %d" % ask.want,
        ]
        if ask.kind == "submit":
            rows.append(b"Idempotency-Key: k%d" % ask.number)
        body = b"" if method == b"GET" else b"x" * ask.body
        if method == b"POST":
            rows.append(b"Content-Length: %d" % len(body))
        message = b"\r\n".join([*rows, b"", b""]) + body
        pieces = [message]
        if ask.slow:
            cuts = [0, *(len(message) - (3 - i) * (len(message) // 5) for i in range(3)), len(message)]
            pieces = [message[a:b] for a, b in itertools.pairwise(cuts)]
        parcel = Parcel(door.address, pieces, ask.slow / 4.0, ask.dawdle)

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status in (503, 429) and attempt < ask.again:
                after = float(answer.headers.get(b"retry-after", b"0.2"))
                self.loop.call_later(after, self.send_planned, ask, attempt + 1)

        parcel.done = done
        courier = self.client_pools[ask.zone]
        self._track(parcel, rid, ask.kind, door, f"client/{ask.zone}", ask.budget, ask.want)
        if ask.kind == "view":
            self._duplicable_requests[rid] = (door, parcel, message)
        courier.send(parcel)
        if ask.leaves:
            self.loop.call_later(ask.leaves, courier.leave, parcel)
        return parcel

    # ---- faults --------------------------------------------------------------------------

    def inject(self, fault: Fault) -> None:
        """A fault begins, and plans its end."""
        self.checker.record_event(
            self.loop.time(), "fault", fault.what, fault.whom, f"{fault.seconds:g}", f"{fault.by:g}"
        )
        kind, _, number = fault.whom.partition("/")
        if kind == "backend":
            self.checker.faulted_backends.add(self.backends[int(number)].host)
        if kind == "proxy":
            heal = self._inject_proxy_fault(fault, self.proxies[int(number)])
        elif kind == "backend":
            heal = self._inject_backend_fault(fault, self.backends[int(number)])
        else:
            heal = self._inject_discovery_fault(fault, self.discoveries[int(number)])
        if heal is not None:
            key = self._fault_count = self._fault_count + 1
            self._active_faults[key] = heal
            self.loop.call_later(fault.seconds, self._end_fault, key)

    def _end_fault(self, key: int) -> None:
        heal = self._active_faults.pop(key, None)
        if heal is not None:
            heal()

    def _inject_proxy_fault(self, fault: Fault, door: ProxySlot) -> Undo | None:
        process = door.process
        if process is None or process.machine.dead or process.proxy is None:
            return None
        machine, proxy, surroundings = process.machine, process.proxy, process.surroundings
        what = fault.what
        if what == "blow":
            return self._kill_many(fault)
        if what in ("forget", "rollback"):
            self.end_proxy(door, True)
            self.checker.on_state_lost(door.name)
            if what == "forget":
                door.disk.records.clear()
            else:
                door.disk.restore_snapshot()
            return lambda: self._restart_proxy(door)
        if what == "kill" or (what == "drain" and door.for_backend is not None):
            self.end_proxy(door, True)
            return lambda: self._restart_proxy(door)
        if what == "drain":
            self._drain_proxy(door, machine, proxy, fault.seconds)
            return None
        if what == "pause":
            # What has come meanwhile is worked off first.
            return self._block_proxy(door, machine.pause, machine.resume, self.round_trip + 0.1 * fault.seconds)
        if what == "silent":
            address = machine.address
            return self._block_proxy(
                door,
                lambda: self.network.set_silent(address, True),
                lambda: self.network.set_silent(address, False),
                0.5,
            )
        if what == "cut":
            nodes = [stand for stand in self.backends if stand.tier == door.tier]
            node = nodes[int(fault.by) % len(nodes)]
            self.checker.faulted_backends.add(node.host)
            return self._partition(machine.address, node.address)
        if what in ("lag", "narrow"):
            heal = self._degrade_link(machine.address, fault)
            if what == "lag":
                way = fault.by * (1.0 + self.plan.jitter)
                self.checker.slack[door.name] = max(
                    self.checker.slack.get(door.name, 0.0), (6.0 + 4.0 * self.longest_message / WINDOW_BYTES) * way
                )
                return heal
            return self._block_proxy(door, lambda: None, heal, 2.0 + (3e5 + 3.0 * self.longest_message) / fault.by)
        if what == "reload":
            door.discovery_index = 1 - door.discovery_index
            machine_context = machine.context()
            fresh = replace(proxy.config, discovery=(f"10.4.{door.tier}.{door.discovery_index + 1}", PORT))
            self.loop.call_soon(proxy.reconfigure, fresh, context=machine_context)
            return None
        if what == "ban":
            nodes = [stand for stand in self.backends if stand.tier == door.tier]
            return self._ban(door, nodes[int(fault.by) % len(nodes)].host)
        if what == "evacuate":
            return self._evacuate(door)
        if what == "upgrade":
            self._upgrade(door, int(fault.by))
            return None
        if what == "famine":
            door.starved = True
            machine.descriptor_limit = machine.descriptors_used + int(fault.by)
            return self._block_proxy(
                door, lambda: None, lambda: setattr(machine, "descriptor_limit", door.config.sockets), 1.0
            )
        if what == "coarse":
            machine.timer_granularity = fault.by
            self.checker.slack[door.name] = max(self.checker.slack.get(door.name, 0.0), 4.0 * fault.by)
            return lambda: setattr(machine, "timer_granularity", 0.0)
        if what == "step":
            surroundings.epoch += fault.by
            return None
        if what in ("crowd", "halves"):
            return self._open_silent_connections(door, int(fault.by), b"GET /api HT" if what == "halves" else b"")
        if what == "twins":
            self._duplicate_open_ids(door, int(fault.by))
        return None  # a burst is told by its requests

    def _kill_many(self, fault: Fault) -> Undo:
        """A part of the first tier is killed at once, and comes back at once."""
        first = [door for door in self.proxies if door.tier == 0]
        fallen = first[: max(1, round(fault.by * len(first)))]
        for door in fallen:
            self.end_proxy(door, True)

        def heal() -> None:
            for door in fallen:
                self._restart_proxy(door)

        return heal

    def _duplicate_open_ids(self, door: ProxySlot, count: int) -> None:
        """Strangers send requests with the ids of open ones: while those are open, they are turned away."""
        for rid, (owner, parcel, message) in list(self._duplicable_requests.items()):
            if parcel.over:
                del self._duplicable_requests[rid]
            elif owner is door and count > 0 and not parcel.heard and self.checker.is_waiting(self.loop.time(), rid):
                count -= 1
                self._send_duplicate(door, rid, parcel, message)

    def _send_duplicate(self, door: ProxySlot, rid: str, original: Parcel, message: bytes) -> None:
        self.checker.duplicated_ids.add(rid)
        self.checker.record_event(self.loop.time(), "twin", rid, door.name)

        def check() -> None:
            if not original.over and not original.heard:
                text = f"a stranger's {rid} was served while the request of that id was open"
                self.checker.report_violation(self.loop.time(), "right answer", text)

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200:
                self.loop.call_later(self.round_trip, check)  # what was answered before is here by then

        twin = Parcel(door.address, [message], done=done)
        self.loop.call_soon(
            self.client_pools[door.zone].connect, twin, context=self.client_machines[door.zone].context()
        )

    def _block_proxy(self, door: ProxySlot, begin: Undo, end: Undo, after: float) -> Undo:
        """A proxy can't do its work for a while, and is excused."""
        self.checker.on_blocked(self.loop.time(), door.name)
        begin()

        def heal() -> None:
            end()
            self.checker.on_unblocked(self.loop.time(), door.name, after)

        return heal

    def _restart_proxy(self, door: ProxySlot) -> None:
        if not door.up and (door.for_backend is None or door.for_backend.up):
            door.config = replace(door.config, discovery=(f"10.4.{door.tier}.{door.discovery_index + 1}", PORT))
            self.start_proxy(door)

    def _drain_proxy(self, door: ProxySlot, machine: Machine, proxy: Proxy, seconds: float) -> None:
        """SIGTERM; the front sends for a moment longer; SIGKILL for one that does not end."""
        if door.draining or door.upgrades_in_progress or door.other_processes:
            return
        door.draining = True
        began = self.loop.time()
        door.accepts_until = began + FRONT_STOP_DELAY
        life = door.generation

        def stop() -> None:
            if door.generation == life:
                door.routed = False

        def again() -> None:
            if door.generation == life:
                self._restart_proxy(door)

        def exited() -> None:
            if door.generation == life and door.up:
                # One that was held up meanwhile could not end in its time.
                self.end_proxy(door, self.checker.blocked_seconds(door.name, began, self.loop.time()) > 0.0)
                key = self._fault_count = self._fault_count + 1
                self._active_faults[key] = again
                self.loop.call_later(seconds, self._end_fault, key)

        async def drain() -> None:
            await proxy.drain()
            # The process is at its end: what follows is the world's.
            self.loop.call_soon(exited, context=contextvars.Context())

        def leave_it() -> None:
            # The platform's listener would keep them waiting for the next process, which is not what is asked here.
            listener = self.network.listeners.get(door.address)
            if self.plan.shared and listener is not None and door.generation == life:
                listener.stop_accepting()

        self.loop.call_later(FRONT_STOP_DELAY, stop, context=contextvars.Context())
        self.loop.call_later(FRONT_STOP_DELAY + 0.1, leave_it, context=contextvars.Context())
        self._spawn(machine, drain)
        self.loop.call_later(self.patience, exited, context=contextvars.Context())

    # ---- operators -----------------------------------------------------------------------

    def _call_management(
        self,
        door: ProxySlot,
        process: Process,
        call: str,
        done: Callable[[int], None],
        body: bytes = b"",
        method: str = "POST",
    ) -> Parcel:
        """A call to one process of a proxy; `done` is told its status, or 0 where no answer came."""
        lines = f"{method} /api/{call} HTTP/1.1\r\nHost: p\r\nContent-Length: {len(body)}\r\n\r\n".encode()

        def ended(end: End, answer: Seen | None) -> None:
            status = answer.status if answer is not None else 0
            self.checker.record_event(self.loop.time(), "call", door.name, call, body.decode(), status)
            done(status)

        parcel = Parcel(process.management, [lines + body], done=ended)
        self.loop.call_soon(
            self.client_pools[door.zone].send, parcel, context=self.client_machines[door.zone].context()
        )
        return parcel

    def _operator_order(
        self, door: ProxySlot, call: str, opposite: str, body: bytes, yes: Undo, no: Undo, host: str = ""
    ) -> Undo:
        """An order, and at its end the opposite one: after the answer to the first, and until there is a yes."""
        life = door.generation
        state = {"answered": False, "over": False}

        def ordered(status: int) -> None:
            state["answered"] = True
            if status == 200 and door.generation == life and door.up:
                yes()
            if state["over"]:
                revoke()

        def revoked(status: int) -> None:
            if status in (0, 409) and (self.plan.keeps or (door.generation == life and door.up)):
                self.loop.call_later(0.1, revoke)  # the process that was asked is ending, or has gone

        def revoke() -> None:
            door.revoked_orders += 1
            no()
            ask()

        def ask() -> None:
            # Where orders are kept, they outlive the process that was told; so does the wish to take them back.
            if door.up and door.process is not None and (door.generation == life or self.plan.keeps):
                self._call_management(door, door.process, opposite, revoked, body)
            elif self.plan.keeps:
                self.loop.call_later(0.1, ask)

        def end() -> None:
            state["over"] = True
            if state["answered"]:
                revoke()

        assert door.process is not None
        parcel = self._call_management(door, door.process, call, ordered, body)
        if host:
            self._pending_bans[parcel] = host
        return end

    def _ban(self, door: ProxySlot, host: str) -> Undo | None:
        """A backend is out at one proxy, from the yes on until its return is asked for."""
        if host in door.banned_hosts:
            return None
        door.banned_hosts.add(host)

        def no() -> None:
            door.banned_hosts.discard(host)
            self.checker.on_unbanned(door.name, host)

        return self._operator_order(
            door,
            "exclude",
            "include",
            b'{"who":"%s"}' % host.encode(),
            lambda: None,
            no,
            host,
        )

    def _evacuate(self, door: ProxySlot) -> Undo:
        """A proxy is emptied; the front goes on for a moment, and comes back when it is told yes again."""
        life = door.generation

        def stop() -> None:
            if door.generation == life:
                door.routed = False

        def yes() -> None:
            door.accepts_until = max(door.accepts_until, self.loop.time() + FRONT_STOP_DELAY)
            door.evacuated = True
            self.loop.call_later(FRONT_STOP_DELAY, stop, context=contextvars.Context())
            self._poll_evacuated(door, life)

        def no() -> None:
            door.evacuated = False
            if door.for_backend is None and door.generation == life:
                self.loop.call_later(2.0 * FRONT_STOP_DELAY, self._poll_ready, door, life)

        return self._operator_order(door, "evacuate", "rejoin", b"", yes, no)

    def _poll_evacuated(self, door: ProxySlot, life: int) -> None:
        """While it is evacuated, whichever process answers says no to the front."""
        if door.generation != life or not door.up or not door.evacuated or door.draining:
            return
        orders = door.revoked_orders

        def done(end: End, answer: Seen | None) -> None:
            if (
                answer is not None
                and answer.status == 200
                and door.generation == life
                and door.revoked_orders == orders
            ):
                self.checker.on_ready_while_evacuated(self.loop.time(), door.name)

        parcel = Parcel(door.address, [READY_REQUEST], done=done)
        self.loop.call_soon(
            self.client_pools[door.zone].connect, parcel, context=self.client_machines[door.zone].context()
        )
        self.loop.call_later(READY_POLL_INTERVAL, self._poll_evacuated, door, life)

    # ---- upgrades ------------------------------------------------------------------------

    def _upgrade(self, door: ProxySlot, how: int) -> None:
        """A new process beside the old one, on one listener; the old one ends when the new one is ready."""
        old = door.process
        if not self.plan.shared or door.draining or door.upgrades_in_progress > 1 or old is None or old.machine.dead:
            return
        trouble = UPGRADE_TROUBLES[how % len(UPGRADE_TROUBLES)]
        if trouble == "what was learned is torn" and door.shared_memory is not None:
            door.shared_memory.truncate("learned")
        life, began = door.generation, self.loop.time()
        door.upgrades_in_progress += 1
        new = self._start_process(door)
        door.other_processes.append(new)
        self.checker.record_event(began, "new", door.name, trouble)

        def gone() -> None:
            if door.generation == life:
                door.upgrades_in_progress -= 1
                self._end_process(door, new)

        def ready(status: int) -> None:
            if door.generation != life or not door.up:
                return
            if status == 200 and not new.machine.dead:
                self._promote(door, new)
            elif new.machine.dead:
                gone()
            elif self.loop.time() > began + START_TIMEOUT and not self.checker.recently_blocked(
                self.loop.time(), door.name
            ):
                self.checker.report_violation(
                    self.loop.time(), "liveness", f"{door.name}: a new process is not ready"
                )
                gone()
            else:
                self.loop.call_later(START_POLL_INTERVAL, ask)

        def ask() -> None:
            if door.generation == life and door.up:
                self._call_management(door, new, "ready", ready, method="GET")

        self.loop.call_later(START_POLL_INTERVAL, ask)
        if trouble == "the new process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._kill_new, door, new)
        elif trouble == "the old process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._kill_old, door, old, new)
        elif trouble == "a second one follows":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._upgrade, door, 0)

    def _promote(self, door: ProxySlot, new: Process) -> None:
        """A new process serves; one before it, or one that came late, is told to end."""
        old, now = door.process, self.loop.time()
        door.upgrades_in_progress -= 1
        self.checker.record_event(now, "serves", door.name)
        if new is old:  # the other was killed meanwhile, and nobody was there to answer
            self.checker.on_unblocked(now, door.name, 0.5)
            return
        if old is not None and old.number > new.number:
            self._retire(door, new)
            return
        door.process = new
        door.other_processes.remove(new)
        if old is not None and not old.machine.dead:
            door.other_processes.append(old)
            self._retire(door, old)

    def _retire(self, door: ProxySlot, old: Process) -> None:
        """SIGTERM to one of several; SIGKILL for one that does not end."""
        proxy = old.proxy
        if proxy is None:
            return
        now, life = self.loop.time(), door.generation

        def exited() -> None:
            if door.generation == life and not old.machine.dead:
                if self.checker.blocked_seconds(door.name, now, self.loop.time()) > 0.0:
                    self.checker.on_killed(self.loop.time(), door.name, False)
                self._end_process(door, old)

        async def drain() -> None:
            await proxy.drain()
            self.loop.call_soon(exited, context=contextvars.Context())

        self._spawn(old.machine, drain)
        self.loop.call_later(self.patience, exited, context=contextvars.Context())

    def _end_process(self, door: ProxySlot, process: Process) -> None:
        """One of several ends."""
        process.machine.kill()
        process.proxy = None
        if process in door.other_processes:
            door.other_processes.remove(process)

    def _kill_new(self, door: ProxySlot, new: Process) -> None:
        """The new process dies before the platform has its yes."""
        if new in door.other_processes and new is not door.process:
            now = self.loop.time()
            self.checker.record_event(now, "new killed", door.name)
            self.checker.on_killed(now, door.name, False)  # it may have listened already
            self._end_process(door, new)

    def _kill_old(self, door: ProxySlot, old: Process, new: Process) -> None:
        """The old process is killed while the new one starts: what it had is lost, what waits is the new one's."""
        if old is not door.process or new not in door.other_processes or new.machine.dead or old.machine.dead:
            return
        now = self.loop.time()
        self.checker.record_event(now, "old killed", door.name)
        self.checker.on_killed(now, door.name, False)
        self.checker.on_blocked(now, door.name)  # until the new one serves
        door.process = new
        door.other_processes.remove(new)
        door.other_processes.append(old)
        self._end_process(door, old)

    def _partition(self, one: str, other: str) -> Undo:
        self.network.set_partitioned(one, other, True)
        return lambda: self.network.set_partitioned(one, other, False)

    def _degrade_link(self, address: str, fault: Fault) -> Undo:
        usual = self.network.default_link
        more = {"latency": usual.latency + fault.by} if fault.what == "lag" else {"bandwidth": fault.by}
        self.network.link_overrides[address] = replace(usual, **more)
        return lambda: self.network.link_overrides.pop(address, None)

    def _open_silent_connections(self, door: ProxySlot, count: int, say: bytes) -> Undo:
        """Strangers that take up connections; while they are many, a proxy is excused."""
        lines: list[asyncio.Transport] = []
        ended: list[bool] = []

        async def come() -> None:
            for _ in range(count):
                with contextlib.suppress(OSError):
                    transport, _ = await self.loop.create_connection(asyncio.Protocol, *door.address)
                    transport.write(say)
                    lines.append(transport)
                if ended:
                    break

        def leave() -> None:
            ended.append(True)
            for line in lines:
                line.abort()

        self._spawn(self.client_machines[door.zone], come)
        return self._block_proxy(door, lambda: None, leave, 3.0)

    def _inject_backend_fault(self, fault: Fault, stand: BackendSlot) -> Undo | None:
        machine, node = stand.machine, stand.backend
        if machine is None or machine.dead or node is None:
            return None
        what = fault.what
        if what == "kill":
            self.end_backend(stand)
            return lambda: self._restart_backend(stand)
        if what == "leave":
            return self._drain_backend(stand, node)
        if what == "pause":
            return self._with_own_proxy(stand, machine.pause, machine.resume)
        if what == "silent":
            return self._with_own_proxy(
                stand,
                lambda: self.network.set_silent(stand.address, True),
                lambda: self.network.set_silent(stand.address, False),
            )
        if what == "cut":
            doors = [door for door in self.proxies if door.tier == stand.tier]
            return self._partition(machine.address, doors[int(fault.by) % len(doors)].address[0])
        if what in ("lag", "narrow"):
            return self._with_own_proxy(stand, lambda: None, self._degrade_link(machine.address, fault))
        if what == "slow":
            node.slow = fault.by
            return lambda: setattr(node, "slow", 1.0)
        if what == "hasty":
            node.idle_for = fault.by
            return lambda: setattr(node, "idle_for", 5.0)
        node.mood = what
        self.checker.cutting_backends.add(node.host)
        return node.calm

    def _with_own_proxy(self, stand: BackendSlot, begin: Undo, end: Undo) -> Undo:
        """What befalls a node on the side of its own proxy, too: that one's answers can't reach it."""
        if stand.own_proxy is not None:
            return self._block_proxy(stand.own_proxy, begin, end, 2.0)
        begin()
        return end

    def _drain_backend(self, stand: BackendSlot, node: Node) -> Undo | None:
        """A node drains: discovery says so, it finishes what it has, and is gone."""
        if stand.leaving:
            return None
        stand.leaving = True
        entry = self.discoveries[stand.tier].entries[stand.host]
        self._publish(stand, entry | {"health": "terminating"})

        def refuse() -> None:
            node.draining = True

        def end() -> None:
            if stand.backend is node:
                self.end_backend(stand)

        self.loop.call_later(1.0, refuse)
        self.loop.call_later(2.5, end)

        def back() -> None:
            if stand.backend is node and stand.up:
                self.loop.call_later(3.0, self._restart_backend, stand)
            else:
                self._restart_backend(stand)

        return back

    def _restart_backend(self, stand: BackendSlot) -> None:
        if not stand.up:
            self.loop.create_task(self.start_backend(stand, True))

    def _inject_discovery_fault(self, fault: Fault, registry: DiscoveryTier) -> Undo | None:
        what = fault.what
        machines, lists = list(registry.machines), list(registry.lists)
        if what == "kill":
            for machine in machines:
                machine.kill()

            def again() -> None:
                for which in range(len(machines)):
                    if registry.machines[which].dead and which not in registry.starting:
                        registry.starting.add(which)
                        self.loop.create_task(self.start_discovery(registry, which))

            return again
        if what == "pause":
            for machine in machines:
                machine.pause()

            def resume() -> None:
                for machine in machines:
                    machine.resume()

            return resume
        for hosts in lists:
            hosts.mood = what

        def calm() -> None:
            for machine, hosts in zip(machines, lists, strict=True):
                self.loop.call_soon(hosts.calm, context=machine.context())

        return calm

    # ---- the run -------------------------------------------------------------------------

    def _after_step(self) -> None:
        """After every step: nothing is overdue, and no proxy holds more than it may."""
        now = self.loop.time()
        self.checker.check_deadlines(now)
        if now >= self._next_bounds_check:
            self._next_bounds_check = now + self.bounds_check_interval
            for door in self.proxies:
                self._check_bounds(now, door)
            self._check_abandoned(now)

    def _on_descriptors_exhausted(self, door: ProxySlot, machine: Machine) -> None:
        """A proxy's own limit is there so that this never happens."""
        if not door.starved:
            door.starved = True
            self.checker.report_violation(
                self.loop.time(), "descriptors", f"{door.name} ran out of its {machine.descriptor_limit}"
            )

    def _check_bounds(self, now: float, door: ProxySlot) -> None:
        """What a proxy holds is bounded by what it is at work on."""
        if door.machine is None or not door.up:
            return
        timers = len(self.loop.timers_of(door.machine))
        near = [each for each in self.proxies if each.tier == door.tier] if self.orphans is not None else [door]
        work = sum(self.checker.open_requests(each.name) for each in near)  # heirs have that of others
        offers = self.orphans.planner.max_pending if self.orphans is not None else 0  # that are on their way here
        if timers > IDLE_TIMERS + SPARE_TIMERS + offers + 3 * work and not self.checker.recently_blocked(
            now, door.name
        ):
            self.checker.report_violation(now, "bounded", f"{door.name} has {timers} timers for {work} requests")
        machines = [
            one.machine for one in (door.process, *door.other_processes) if one is not None and not one.machine.dead
        ]
        if len(machines) > 1 and not door.starved:
            most = door.config.sockets - RESERVED_DESCRIPTORS * len(machines)
            self.checker.check_descriptors(
                now, door.name, sum(machine.descriptors_used for machine in machines), most
            )
        held = sum(map(VirtualTransport.get_write_buffer_size, door.machine.transports))
        if held > MAX_BUFFERED:
            self.checker.report_violation(now, "bounded", f"{door.name} holds {held} bytes that nobody takes")

    def _check_abandoned(self, now: float) -> None:
        """An attempt is given up by ending its connection; the node must not go on with it for nobody."""
        for transport, (proxy, rid, told) in list(self._attempt_by_transport.items()):
            if transport.ended or transport.bytes_read != told:
                del self._attempt_by_transport[transport]
            elif transport.machine is None:
                continue  # its process is dead, and no heir there yet
            elif self.checker.must_be_abandoned(now, rid) and not self.checker.recently_blocked(now, proxy):
                del self._attempt_by_transport[transport]
                self.checker.report_violation(now, "nothing left", f"{proxy} still waits for {rid}, which is over")

    async def _build(self) -> None:
        for client in self.client_machines:
            courier = Courier(self.loop, client.context())
            courier.was_read = _peer_has_read
            courier.surplus = self._on_surplus_data
            self.client_pools.append(courier)
        for stand in self.backends:
            await self.start_backend(stand, False)
        for registry in self.discoveries:
            for which in (0, 1):
                await self.start_discovery(registry, which)
        for door in self.proxies:
            if door.for_backend is None:
                self.start_proxy(door)
        await asyncio.sleep(1.0)

    async def main(self) -> None:
        """The whole run: the plan, then its end, then silence."""
        await self._build()
        begin = self.loop.time()
        for ask in self.plan.requests:
            self.loop.call_at(begin + ask.at, self.send_planned, ask)
        batches: dict[float, list[Fault]] = {}
        for fault in self.plan.faults:
            batches.setdefault(fault.at, []).append(fault)
        for at, batch in batches.items():
            self.loop.call_at(begin + at, self._inject_all, batch)
            if self.plan.keeps:
                self.loop.call_at(begin + 0.5 * at, self._snapshot_disks)
        await asyncio.sleep(begin + self.plan.seconds - self.loop.time())
        for key in sorted(self._active_faults):
            self._end_fault(key)
        await asyncio.sleep(ANSWER_GRACE + 1.0)  # whoever drains or starts has done so
        for key in sorted(self._active_faults):
            self._end_fault(key)
        await asyncio.sleep(1.0)
        self._check_timers()
        await self._check_liveness()
        for courier in self.client_pools:
            courier.close()
        await asyncio.sleep(QUIET_PERIOD)
        self._check_leaks()
        self._check_unhandled_errors()

    def _snapshot_disks(self) -> None:
        for door in self.proxies:
            door.disk.take_snapshot()

    def _inject_all(self, batch: list[Fault]) -> None:
        for fault in batch:
            self.inject(fault)

    def _check_timers(self) -> None:
        """With nothing under way there is nothing to wait for."""
        now = self.loop.time()
        for door in self.proxies:
            if door.machine is None or not door.up or self.checker.open_requests(door.name):
                continue
            timers = self.loop.timers_of(door.machine)
            if len(timers) > IDLE_TIMERS:
                names = [getattr(timer._callback, "__qualname__", "?") for timer in timers]  # type: ignore[attr-defined]
                self.checker.report_violation(now, "nothing left", f"{door.name} has timers: {', '.join(names)}")

    async def _check_liveness(self) -> None:
        """Liveness: every proxy serves again before long."""
        waiting = {door: True for door in self.proxies if door.for_backend is None}
        for i in range(MAX_PROBES):
            for number, door in enumerate(list(waiting)):
                if door.up:
                    ask = PlannedRequest(0x10000 + i * 100 + number, 0.0, "view", door.zone)
                    self._track_liveness(door, self._send_request(ask, 0, door), waiting)
            await asyncio.sleep(PROBE_INTERVAL if i < 3 else 2.0)
            if not waiting:
                return
        for door in waiting:
            self.checker.report_violation(self.loop.time(), "liveness", f"{door.name} serves nothing")

    @staticmethod
    def _track_liveness(door: ProxySlot, parcel: Parcel, waiting: dict[ProxySlot, bool]) -> None:
        """Cross a proxy off once it serves."""
        done = parcel.done

        def ended(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200:
                waiting.pop(door, None)
            done(end, answer)

        parcel.done = ended

    def _check_leaks(self) -> None:
        """In silence: no descriptor, task, exchange or byte of a body is left."""
        now = self.loop.time()
        for door in self.proxies:
            if door.machine is None or not door.up or door.proxy is None:
                continue
            if door.machine.descriptors_used > 1:
                self.checker.report_violation(
                    now, "nothing left", f"{door.name} holds {door.machine.descriptors_used} descriptors"
                )
            if len(door.machine.tasks) > 1:
                names = sorted(getattr(t.get_coro(), "__qualname__", "?") for t in door.machine.tasks)
                self.checker.report_violation(now, "nothing left", f"{door.name} has tasks: {', '.join(names)}")
            nodes = sum(stand.tier == door.tier for stand in self.backends)
            for name, (count, bound) in containers_over_bound(door.proxy, nodes).items():
                self.checker.report_violation(
                    now, "nothing left", f"{door.name} has {count} in {name}, where {bound} may be"
                )
            if door.proxy.memory.used:
                self.checker.report_violation(
                    now, "nothing left", f"{door.name} counts {door.proxy.memory.used} bytes"
                )
            if door.proxy.descriptors.used != door.machine.descriptors_used - 1:
                books = f"{door.proxy.descriptors.used} descriptors, and has {door.machine.descriptors_used - 1}"
                self.checker.report_violation(now, "nothing left", f"{door.name} counts {books}")
        self._check_objects()

    def _check_unhandled_errors(self) -> None:
        """What nobody caught; not what the end of the world itself cancels later."""
        for context in self.loop.unhandled_errors:
            text = f"{context.get('message')}: {context.get('exception')!r}"
            self.checker.report_violation(self.loop.time(), "sound", text)

    def _check_objects(self) -> None:
        """Nothing of a request lives on: what the collector can't free, something still holds."""
        gc.collect()
        living = {id(door.proxy): door for door in self.proxies if door.up and door.proxy is not None}
        found: dict[str, dict[str, int]] = {}
        for thing in gc.get_objects():
            owner: object = None
            if type(thing) is Exchange:
                owner = thing.proxy
            elif type(thing) is CallerConnection:
                owner = thing._callers.handler
            elif type(thing) is BackendConnection:
                owner = thing._pool.sink
            if owner is not None and id(owner) in living:
                of_door = found.setdefault(living[id(owner)].name, {})
                of_door[type(thing).__name__] = of_door.get(type(thing).__name__, 0) + 1
        for name, kinds in sorted(found.items()):
            self.checker.report_violation(
                self.loop.time(), "nothing left", f"{name} keeps {dict(sorted(kinds.items()))}"
            )


def _peer_has_read(transport: asyncio.Transport | None) -> bool:
    """Whether the other end had read all that was written; in memory that is known."""
    if not isinstance(transport, VirtualTransport) or transport.peer is None:
        return False
    return transport.peer.bytes_read >= transport.bytes_written


@contextlib.contextmanager
def _capture_errors(world: World) -> Iterator[None]:
    """Take the program's errors into the account, and spare its other words."""
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
    """Run a plan to its end; what goes wrong is in the account.

    After every step it is checked whether an answer is overdue, and a few times a second what the proxies hold;
    `every_step` has both done after every step, which is slow.
    """
    world = World(plan)
    ledger, loop = world.checker, world.loop
    if every_step:
        world.bounds_check_interval = 0.0
    loop.after_step = world._after_step
    with _capture_errors(world):
        try:
            run(loop, world.main())
        except (Deadlock, Stuck) as fault:
            ledger.report_violation(loop.time(), "liveness", f"{type(fault).__name__}: {fault}")
    return Result(
        plan,
        ledger.violations,
        ledger.digest(),
        ledger.trace_lines(),
        ledger.outcome_counts(),
        loop.time(),
        loop.steps,
    )
