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
from cometusher.simulation.container_audit import excess
from cometusher.simulation.loop import Deadlock, Stuck, VirtualLoop, run
from cometusher.simulation.network import (
    Disk,
    Link,
    Machine,
    Memory,
    VirtualNetwork,
    VirtualSurroundings,
    VirtualTransport,
)
from cometusher.simulation.oracles import LONG, Ledger, Violation
from cometusher.simulation.orphans import VirtualDoor, VirtualEstates
from cometusher.simulation.script import UPGRADES, Ask, Fault, Plan
from standins.client_connections import Address, Courier, End, Parcel
from standins.discovery import HostList, Watch
from standins.messages import Seen
from standins.service_backend import Keys, Node
from weldroute.recovery import RecoveryPlan as ReturnPlan
from weldroute.settings import read_settings
from weldroute.snapshots import AgeLimits, KnownVersions, Owner

EPOCH = 1.6e9  # Unix time at a world's beginning
PORT = 9000
CALLS = 9001  # where operators call: the first of the ports that the processes of one proxy take in turn
CALL_PORTS = 8
UP_EVERY = 0.3  # seconds between questions of the front to an evacuated proxy
BASE = 24  # descriptors of a process that are not connections: none of those are here
ASK_READY = 0.05  # seconds between questions whether a new process is ready
STARTS = 4.0  # seconds within which one must be
COLD, COLD_FROM, FALL, SPAN = 6.0, 0.1, 2.0, 1.0
WINDOW_BYTES = 64 * 1024  # of a connection
WINDOW = 3.0  # seconds in which a zone's nodes recognise a key
DEADLINE = 1.5
WORK = {"view": 0.06, "submit": 0.05, "pay": 0.04}
SPEEDS = (1.0, 1.6, 0.8)
NOTICED = (2.0, 3.8)  # seconds after which the front knows of a death...
FRONT_LAG = 0.3  # ...and of an order to stop
LISTED = 1.0  # seconds after which discovery knows of a death, and 0.2 of a start
OWED = 4.0  # seconds that answers may still take at the end
QUIET = 16.0  # seconds after which nothing may be left
PROBES, PROBE_EVERY = 40, 0.5
LOOK_EVERY = 0.25  # seconds between looks at what a proxy holds
HELD = 12 * 1024 * 1024  # bytes that answers may take which nobody reads
TIMERS = 4  # of a proxy at rest: the sweep, the watch, the module's...
SPARE_TIMERS = 8  # ...and beside three for each request at work: what ends at this moment
Heal = Callable[[], object]  # what ends a fault
UP = b"GET /up HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n"
KEY = re.compile(rb"\r\nidempotency-key: ([^\r\n]+)", re.IGNORECASE)
SEND = re.compile(rb"\r\nx-call-id: ([^\r\n]+)", re.IGNORECASE)


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
                "Window": WINDOW,
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
            "Cold": COLD,
            "ColdFrom": COLD_FROM,
            "AskEvery": 10.0,
            "DrainGrace": 0.5,
            "GraceToAnswer": 0.02,
            "FallMultiple": FALL,
            "TipAfter": SPAN,
        },
    }


@dataclass(eq=False)
class Process:
    """One process of a proxy."""

    machine: Machine
    surroundings: VirtualSurroundings
    calls: Address  # where operators call
    number: int  # grows with every start
    proxy: Proxy | None = None
    covered: JournalAssignment | None = None  # its book of work in hand


@dataclass(eq=False)
class Door:
    """One proxy, and where it is."""

    name: str
    address: Address
    tier: int
    zone: int
    config: config.Config
    owner: Stand | None = None  # the node that has it for itself
    process: Process | None = None  # the one that serves
    others: list[Process] = field(default_factory=list)  # that take over from it, or from which it has taken over
    memory: Memory | None = None  # what its processes share
    disk: Disk = field(default_factory=Disk)  # what outlives them, where they keep anything
    standing: dict[str, Any] | None = None  # orders that it told its supervisor of
    believed: bool = False  # the front sends here
    draining: bool = False
    open_until: float = 0.0  # with an order to stop, it takes connections until then
    starved: bool = False  # it was short of descriptors through no fault of its own
    moved: int = 0  # which discovery it follows
    life: int = 0
    count: int = 0  # of processes
    upgrades: int = 0  # under way
    evacuated: bool = False  # by operators, who have their yes, and have asked for nothing else since
    orders: int = 0  # that were taken back
    banned: set[str] = field(default_factory=set)  # backends that operators have out, or want out

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
class Stand:
    """One node, and where it is."""

    number: int
    tier: int
    zone: int
    address: str
    speed: float
    machine: Machine | None = None
    node: Node | None = None
    door: Door | None = None  # its own proxy to the tier behind
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
class Registry:
    """The list of one tier, at two discovery services."""

    tier: int
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    seq: int = 1
    machines: list[Machine] = field(default_factory=list)
    lists: list[HostList] = field(default_factory=list)
    seen: dict[tuple[str, int], int] = field(default_factory=dict)  # the newest that each was told by each
    starting: set[int] = field(default_factory=set)  # services that begin


@dataclass
class Result:
    """The account of one run."""

    plan: Plan
    violations: list[Violation]
    digest: str
    lines: list[str]
    ended: dict[str, int]
    seconds: float
    steps: int

    @property
    def oracles(self) -> list[str]:
        """What was broken, first things first."""
        return list(dict.fromkeys(violation.oracle for violation in self.violations))


class _Errors(logging.Handler):
    """What the program itself calls an error: a fault that it survived is one all the same."""

    def __init__(self, world: World) -> None:
        super().__init__(logging.ERROR)
        self._world = world

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        if record.exc_info is not None and record.exc_info[1] is not None:
            text += f": {record.exc_info[1]!r}"
        self._world.ledger.violate(self._world.loop.time(), "sound", text)


class World:
    """All that there is in one run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = VirtualLoop(plan.seed)
        self.network = VirtualNetwork(self.loop, Link(plan.latency, plan.jitter, plan.bandwidth, plan.cut))
        self.network.lazy = plan.lazy
        self.rng = Random(f"world {plan.seed}")
        nodes = plan.zones * plan.backends
        self.stands = [
            Stand(
                n,
                n // nodes,
                n % nodes // plan.backends,
                f"10.2.{n // nodes}.{n % nodes + 1}",
                SPEEDS[n % len(SPEEDS)],
            )
            for n in range(nodes * plan.tiers)
        ]
        self.registries = [Registry(tier) for tier in range(plan.tiers)]
        self.doors: list[Door] = []
        for zone in range(plan.zones):
            for i in range(plan.proxies):
                self._door(f"10.1.{zone}.{i + 1}", 0, zone, None)
        if plan.tiers > 1:
            for stand in self.stands[:nodes]:
                stand.door = self._door(f"10.5.0.{stand.number + 1}", 1, stand.zone, stand)
        self.keys = {(tier, zone): Keys(WINDOW) for tier in range(plan.tiers) for zone in range(plan.zones)}
        self.clients = [self.network.machine(f"10.3.{zone}.1", 100000) for zone in range(plan.zones)]
        self.couriers: list[Courier] = []
        self.longest = max([ask.want + ask.body for ask in plan.requests], default=0)
        # From SIGTERM to SIGKILL: whoever reads a long answer slowly is waited for.
        dawdles = max([ask.dawdle for ask in plan.requests], default=0.0)
        self.patience = DEADLINE + 0.7 + 2.0 * dawdles + self._pace(plan) * self.longest
        self.path = 4.0 * plan.latency * (1.0 + plan.jitter) + 200000.0 / plan.bandwidth
        self.ledger = Ledger(
            self.doors[0].config.settings,
            {stand.host: f"z{stand.zone}" for stand in self.stands},
            self.path,
            self._pace(plan),
        )
        self._by_address = {stand.address: stand for stand in self.stands}
        self._by_host = {stand.host: stand for stand in self.stands}
        self.estates = VirtualEstates(self.loop, Random(f"estate {plan.seed}"), self._heirs) if plan.covers else None
        self._sources = {door.address[0]: door for door in self.doors}
        self._heals: dict[int, Heal] = {}
        self._healed = 0
        self._carries: dict[VirtualTransport, tuple[str, str, int]] = {}  # whose, what, and what was told before
        self._views: dict[str, tuple[Door, Parcel, bytes]] = {}  # requests that are harmless to copy
        self._asked: dict[Parcel, str] = {}  # calls for bans that wait for their answer
        self._look_at = 0.0
        self.look_every = LOOK_EVERY

    @staticmethod
    def _pace(plan: Plan) -> float:
        """Seconds that each byte of a long message may take: a window a round trip, over each of three ways."""
        trip = 2.0 * plan.latency * (1.0 + plan.jitter) + 3.0 * plan.lazy
        return 3.0 * (trip / WINDOW_BYTES + 1.0 / plan.bandwidth)

    def _door(self, address: str, tier: int, zone: int, owner: Stand | None) -> Door:
        plan, number = self.plan, len(self.doors)
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
        door = Door(f"proxy/{number}", (address, PORT), tier, zone, told, owner)
        self.doors.append(door)
        return door

    # ---- starting and ending processes ---------------------------------------------------

    async def _on(self, machine: Machine, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        await self.loop.create_task(make(), context=machine.context())

    def _spawn(self, machine: Machine, make: Callable[[], Coroutine[Any, Any, None]]) -> None:
        self.loop.create_task(make(), context=machine.context())

    def _launch(self, door: Door) -> Process:
        """A process of a proxy begins."""
        # Its own books keep a part of the descriptors for what is not a connection; none of that is here.
        machine = self.network.machine(door.address[0], door.config.sockets)
        machine.tap = lambda transport, data: self._tap(door, transport, data)
        machine.on_short = lambda: self._short(door, machine)
        door.count += 1
        calls = (door.address[0], CALLS + door.count % CALL_PORTS)
        estates = self.estates if door.tier == 0 else None
        covered = estates.begins() if estates is not None else None
        covers = partial(VirtualDoor, estates) if estates is not None else None
        surroundings = VirtualSurroundings(self.network, EPOCH, door.memory, door.disk, covers)
        process = Process(machine, surroundings, calls, door.count, covered=covered)
        listener = self.network.listeners.get(door.address) if self.plan.shared else None

        def hear(values: dict[str, Any]) -> None:
            door.standing = values.get("standing", door.standing)

        async def begin() -> None:
            told = replace(
                door.config,
                seed=door.config.seed + 100 * door.count,
                management=calls,
                shared="shared" if self.plan.shared else None,
                returning=self._returning(door),
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

    def _heirs(self) -> list[tuple[int, int]]:
        """Processes of the first tier that serve, and what they have in hand."""
        return [
            (door.process.covered.process, door.process.proxy.open_requests)
            for door in self.doors
            if door.believed
            and door.up
            and door.process is not None
            and door.process.covered is not None
            and door.process.proxy is not None
        ]

    def _returning(self, door: Door) -> RecoveryConfig | None:
        """What a supervisor would tell of its return."""
        if not self.plan.keeps:
            return None
        many = sum(each.tier == door.tier for each in self.doors)
        limits = AgeLimits()
        owner = Owner("world", door.name, 1)
        plan = ReturnPlan(instances=many, returning=many, list_for=limits.list_for)
        version = door.standing["version"] if door.standing is not None else 0
        return RecoveryConfig(plan, limits, owner, Path("-"), KnownVersions(standing=version), door.standing)

    def start_door(self, door: Door) -> None:
        """A proxy begins, with one process."""
        now = self.loop.time()
        door.draining = door.starved = False
        door.open_until = 0.0
        door.life += 1
        door.upgrades = 0
        door.evacuated = False
        if not self.plan.keeps:
            door.banned.clear()
            self.ledger.started_anew(door.name)
        door.others.clear()
        door.memory = Memory()
        if self.plan.shared:
            self._open(door)
        self.ledger.note(now, "start", door.name)
        door.process = self._launch(door)
        if door.owner is None:
            self.loop.call_soon(self._ask_up, door, door.life, context=self.clients[door.zone].context())

    def _open(self, door: Door) -> None:
        """The platform listens for a proxy."""
        if door.address not in self.network.listeners:
            contextvars.Context().run(self.network.listen, door.address)

    def _shut(self, door: Door) -> None:
        listener = self.network.listeners.get(door.address)
        if self.plan.shared and listener is not None:
            listener.close()

    def _ask_up(self, door: Door, life: int) -> None:
        """The front takes in a proxy that says that it is ready."""
        if door.life != life or door.believed or not door.up:
            return

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200 and door.life == life and door.up:
                door.believed = True
                self.ledger.note(self.loop.time(), "ready", door.name)
            else:
                self.loop.call_later(0.1, self._ask_up, door, life)

        self.couriers[door.zone].send(Parcel(door.address, [UP], done=done))

    def end_door(self, door: Door, excused: bool) -> None:
        """A proxy's process ends; what it owes is lost, and excused only if it was killed."""
        now = self.loop.time()
        if not door.up or door.machine is None:
            return
        self.ledger.note(now, "ends", door.name, "killed" if excused else "by itself")
        if excused:
            self.ledger.killed(now, door.name, kept=bool(self.plan.keeps))
        for process in (door.process, *door.others):
            if process is not None:
                orphans = process.machine.kill(keeps=process.covered is not None)
                process.proxy = None
                if self.estates is not None and process.covered is not None:
                    self.estates.died(process.covered.process, orphans)
        self._shut(door)
        life = door.life

        def notice() -> None:
            if door.life == life:
                door.believed = False

        self.loop.call_later(self.rng.uniform(*NOTICED), notice, context=contextvars.Context())

    async def start_stand(self, stand: Stand, cold: bool) -> None:
        """A node's process begins."""
        now = self.loop.time()
        stand.machine = self.network.machine(stand.address, 4096)
        stand.leaving = False
        node = stand.node = Node(
            stand.host,
            f"z{stand.zone}",
            stand.speed,
            WORK,
            self.keys[stand.tier, stand.zone],
            Random(f"{self.plan.seed} {stand.number} {now}"),
            self,
            cold_from=COLD_FROM,
            cold_for=COLD if cold else 0.0,
            fall=(FALL, SPAN),
            born=now,
        )
        if stand.door is not None:
            node.behind = stand.door.address
        await self._on(stand.machine, lambda: node.start(stand.address, PORT))
        node.courier.was_read = _was_read
        node.courier.surplus = self._surplus
        born = int((EPOCH + now) * 1000.0) if cold else 0
        entry = node.entry(dial=f"{stand.address}:{PORT}", born_ms=born)
        if not cold:
            self.registries[stand.tier].entries[stand.host] = entry
        else:
            self.loop.call_later(0.2, self._list, stand, entry, context=contextvars.Context())
        if stand.door is not None:
            self.start_door(stand.door)

    def end_stand(self, stand: Stand) -> None:
        """A node's process dies, and its own proxy with it."""
        if not stand.up or stand.machine is None:
            return
        self.ledger.note(self.loop.time(), "ends", stand.host)
        self.ledger.caller_died(self.loop.time(), stand.host)
        stand.machine.kill()
        if stand.door is not None:
            self.end_door(stand.door, True)
        self.loop.call_later(LISTED, self._list_dead, stand, context=contextvars.Context())

    def _list_dead(self, stand: Stand) -> None:
        if not stand.up:
            self._list(stand, self.registries[stand.tier].entries[stand.host] | {"health": "terminated"})

    def _list(self, stand: Stand, entry: dict[str, Any]) -> None:
        """Discovery is told."""
        registry = self.registries[stand.tier]
        registry.entries[stand.host] = entry
        registry.seq += 1
        for machine, hosts in zip(registry.machines, registry.lists, strict=True):
            if not machine.dead:
                self.loop.call_soon(hosts.change, entry, context=machine.context())

    async def start_discovery(self, registry: Registry, which: int) -> None:
        """A discovery service begins, with the list as it is."""
        address = f"10.4.{registry.tier}.{which + 1}"
        machine = self.network.machine(address, 4096)
        hosts = HostList(list(registry.entries.values()))
        hosts.seq = registry.seq
        hosts.on_tell = lambda watch, seq, entries: self._told(registry, which, watch, seq, entries)
        registry.machines[which : which + 1] = [machine]
        registry.lists[which : which + 1] = [hosts]
        await self._on(machine, lambda: hosts.start(address, PORT))
        registry.starting.discard(which)

    def _told(self, registry: Registry, which: int, watch: Watch, seq: int, entries: list[dict[str, Any]]) -> None:
        door = self._sources.get(watch.writer.get_extra_info("peername")[0])
        if door is None or watch.writer.is_closing():
            return
        key = (f"{door.name} {door.life}", which)
        if seq < registry.seen.get(key, 0):
            return  # an older change after a newer one tells nothing
        registry.seen[key] = seq
        now = self.loop.time()
        for entry in entries:
            self.ledger.told(now, door.name, entry["host"], entry["health"] == "in_service", entry["born_ms"])

    # ---- what the account is told --------------------------------------------------------

    def _tap(self, door: Door, transport: VirtualTransport, data: bytes) -> None:
        """All that a proxy writes passes here; what goes to a node begins an attempt."""
        if CALLS <= transport.get_extra_info("sockname")[1] < CALLS + CALL_PORTS:
            self._call_answered(door, transport, data)
            return
        stand = self._by_address.get(transport.get_extra_info("peername")[0])
        if stand is None or transport.get_extra_info("sockname")[1] == PORT:
            return
        found = SEND.search(data)
        if found is not None:
            rid, told = found[1].decode(), transport.told
            if transport.pending:
                text = f"{door.name} wrote {rid} to a connection on which something else had come"
                self.ledger.violate(self.loop.time(), "right answer", text)
            self._carries[transport] = (door.name, rid, told)
            rows = [row.partition(b":") for row in data[: data.find(b"\r\n\r\n")].split(b"\r\n")[1:]]
            last = transport.written + data.find(b"\r\n\r\n") + 4 + self.ledger.body_of(rid)
            self.ledger.wrote(
                self.loop.time(),
                door.name,
                rid,
                stand.host,
                lambda: transport.told == told and not transport.over,
                lambda: transport.written >= last,
                {name.strip().lower(): value.strip() for name, _, value in rows},
            )

    def _call_answered(self, door: Door, transport: VirtualTransport, data: bytes) -> None:
        """A yes holds from the moment that it is given, whenever it is heard."""
        peer = transport.get_extra_info("peername")
        for parcel, host in list(self._asked.items()):
            there = parcel.line.transport if parcel.line is not None else None
            if there is not None and there.get_extra_info("sockname") == peer:
                del self._asked[parcel]
                if data.startswith(b"HTTP/1.1 200"):
                    self.ledger.banned(self.loop.time(), door.name, host)
            elif parcel.over:
                del self._asked[parcel]

    def _rid(self, seen: Seen) -> str:
        return seen.headers.get(b"x-call-id", b"-").decode()

    def came(self, node: Node, seen: Seen) -> None:
        self.ledger.came(self.loop.time(), self._rid(seen), node.host, len(seen.body))

    def rejected(self, node: Node, seen: Seen) -> None:
        self.ledger.rejected(self.loop.time(), self._rid(seen), node.host)

    def ran(self, node: Node, seen: Seen, effect: bool) -> None:
        key = seen.headers.get(b"idempotency-key")
        tier = self._by_host[node.host].tier
        name = None if key is None else f"{tier} {key.decode()}"
        self.ledger.ran(self.loop.time(), self._rid(seen), node.host, name, effect)

    def fell(self, node: Node, sent: float, carries: float) -> None:
        self.ledger.fell(self.loop.time(), node.host, sent, carries)

    def calls(self, node: Node, parcel: Parcel, seen: Seen, budget: float) -> Parcel:
        """A node calls the tier behind through its own proxy, as any caller does."""
        found = SEND.search(parcel.pieces[0])
        door = self._by_host[node.host].door
        assert found is not None and door is not None
        kind = seen.headers[b"x-call-class"].decode()
        want = int(seen.headers.get(b"x-want", b"0"))
        self._account(parcel, found[1].decode(), kind, door, node.host, budget, want)
        return parcel

    def _surplus(self, address: Address, data: bytes) -> None:
        self.ledger.surplus(self.loop.time(), self._sources[address[0]].name, data)

    def _account(
        self, parcel: Parcel, rid: str, kind: str, door: Door, caller: str, budget: float, want: int
    ) -> None:
        """Have the account follow a parcel."""
        done = parcel.done
        ledger, loop = self.ledger, self.loop

        message = b"".join(parcel.pieces)
        found = KEY.search(message)
        key = found[1] if found is not None else b""
        body = len(message) - message.find(b"\r\n\r\n") - 4

        def written() -> None:
            if parcel.tries:
                ledger.resent(loop.time(), rid)
            else:
                ledger.sent(
                    loop.time(),
                    rid,
                    kind,
                    door.name,
                    caller,
                    budget,
                    body,
                    want,
                    key,
                    self._holder(parcel),
                    alone=not any(each.up and each.believed for each in self.doors if each.tier == door.tier),
                )

        def ended(end: End, answer: Seen | None) -> None:
            now = loop.time()
            if answer is not None:
                ledger.answered(now, rid, answer.status, answer.body, want)
            elif end is End.LOST:
                ledger.lost(now, rid)
            elif end is End.CUT:
                ledger.cut(now, rid)
            else:
                ledger.left(now, rid)
                if end is End.UNREACHED and door.up and now < door.open_until:
                    ledger.violate(now, "drains", f"{door.name} refused {rid} while the front still sent to it")
            done(end, answer)

        parcel.written, parcel.done = written, ended
        parcel.begun = lambda: ledger.begun(loop.time(), rid)
        if body > LONG:
            parcel.coming = lambda: ledger.coming(loop.time(), rid, kind, door.name, caller, body, want)

    def _holder(self, parcel: Parcel) -> str:
        """Which proxy has the connection that a parcel is on; empty for none that is known."""
        there = parcel.line.transport if parcel.line is not None else None
        far = there.peer if isinstance(there, VirtualTransport) else None
        return next(
            (
                door.name
                for door in self.doors
                for process in (door.process, *door.others)
                if far is not None and process is not None and process.machine is far.machine
            ),
            "",
        )

    # ---- clients -------------------------------------------------------------------------

    def ask(self, ask: Ask, attempt: int = 0) -> None:
        """A client sends a request: on a connection that it has, or on one through the front."""
        courier = self.couriers[ask.zone]
        doors = [
            door
            for door in self.doors
            if door.owner is None and door.zone == ask.zone and (door.believed or courier.has_idle(door.address))
        ]
        if not doors:
            self.ledger.note(self.loop.time(), "nowhere", ask.number)
            return
        self._send(ask, attempt, self.rng.choice(doors))

    def _send(self, ask: Ask, attempt: int, door: Door) -> Parcel:
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
                self.loop.call_later(after, self.ask, ask, attempt + 1)

        parcel.done = done
        courier = self.couriers[ask.zone]
        self._account(parcel, rid, ask.kind, door, f"client/{ask.zone}", ask.budget, ask.want)
        if ask.kind == "view":
            self._views[rid] = (door, parcel, message)
        courier.send(parcel)
        if ask.leaves:
            self.loop.call_later(ask.leaves, courier.leave, parcel)
        return parcel

    # ---- faults --------------------------------------------------------------------------

    def strike(self, fault: Fault) -> None:
        """A fault begins, and plans its end."""
        self.ledger.note(self.loop.time(), "fault", fault.what, fault.whom, f"{fault.seconds:g}", f"{fault.by:g}")
        kind, _, number = fault.whom.partition("/")
        if kind == "backend":
            self.ledger.disturbed.add(self.stands[int(number)].host)
        if kind == "proxy":
            heal = self._strike_door(fault, self.doors[int(number)])
        elif kind == "backend":
            heal = self._strike_stand(fault, self.stands[int(number)])
        else:
            heal = self._strike_registry(fault, self.registries[int(number)])
        if heal is not None:
            key = self._healed = self._healed + 1
            self._heals[key] = heal
            self.loop.call_later(fault.seconds, self._heal, key)

    def _heal(self, key: int) -> None:
        heal = self._heals.pop(key, None)
        if heal is not None:
            heal()

    def _strike_door(self, fault: Fault, door: Door) -> Heal | None:
        process = door.process
        if process is None or process.machine.dead or process.proxy is None:
            return None
        machine, proxy, surroundings = process.machine, process.proxy, process.surroundings
        what = fault.what
        if what == "blow":
            return self._blow(fault)
        if what in ("forget", "rollback"):
            self.end_door(door, True)
            self.ledger.forgets(door.name)
            if what == "forget":
                door.disk.records.clear()
            else:
                door.disk.put_back()
            return lambda: self._start_again(door)
        if what == "kill" or (what == "drain" and door.owner is not None):
            self.end_door(door, True)
            return lambda: self._start_again(door)
        if what == "drain":
            self._drain(door, machine, proxy, fault.seconds)
            return None
        if what == "pause":
            # What has come meanwhile is worked off first.
            return self._held(door, machine.pause, machine.resume, self.path + 0.1 * fault.seconds)
        if what == "silent":
            address = machine.address
            return self._held(
                door, lambda: self.network.silence(address, True), lambda: self.network.silence(address, False), 0.5
            )
        if what == "cut":
            nodes = [stand for stand in self.stands if stand.tier == door.tier]
            node = nodes[int(fault.by) % len(nodes)]
            self.ledger.disturbed.add(node.host)
            return self._cut(machine.address, node.address)
        if what in ("lag", "narrow"):
            heal = self._line(machine.address, fault)
            if what == "lag":
                way = fault.by * (1.0 + self.plan.jitter)
                self.ledger.slack[door.name] = max(
                    self.ledger.slack.get(door.name, 0.0), (6.0 + 4.0 * self.longest / WINDOW_BYTES) * way
                )
                return heal
            return self._held(door, lambda: None, heal, 2.0 + (3e5 + 3.0 * self.longest) / fault.by)
        if what == "reload":
            door.moved = 1 - door.moved
            machine_context = machine.context()
            fresh = replace(proxy.config, discovery=(f"10.4.{door.tier}.{door.moved + 1}", PORT))
            self.loop.call_soon(proxy.reconfigure, fresh, context=machine_context)
            return None
        if what == "ban":
            nodes = [stand for stand in self.stands if stand.tier == door.tier]
            return self._ban(door, nodes[int(fault.by) % len(nodes)].host)
        if what == "evacuate":
            return self._evacuate(door)
        if what == "upgrade":
            self._upgrade(door, int(fault.by))
            return None
        if what == "famine":
            door.starved = True
            machine.limit = machine.used + int(fault.by)
            return self._held(door, lambda: None, lambda: setattr(machine, "limit", door.config.sockets), 1.0)
        if what == "coarse":
            machine.coarse = fault.by
            self.ledger.slack[door.name] = max(self.ledger.slack.get(door.name, 0.0), 4.0 * fault.by)
            return lambda: setattr(machine, "coarse", 0.0)
        if what == "step":
            surroundings.epoch += fault.by
            return None
        if what in ("crowd", "halves"):
            return self._crowd(door, int(fault.by), b"GET /api HT" if what == "halves" else b"")
        if what == "twins":
            self._twins(door, int(fault.by))
        return None  # a burst is told by its requests

    def _blow(self, fault: Fault) -> Heal:
        """A part of the first tier is killed at once, and comes back at once."""
        first = [door for door in self.doors if door.tier == 0]
        fallen = first[: max(1, round(fault.by * len(first)))]
        for door in fallen:
            self.end_door(door, True)

        def heal() -> None:
            for door in fallen:
                self._start_again(door)

        return heal

    def _twins(self, door: Door, count: int) -> None:
        """Strangers send requests with the ids of open ones: while those are open, they are turned away."""
        for rid, (owner, parcel, message) in list(self._views.items()):
            if parcel.over:
                del self._views[rid]
            elif owner is door and count > 0 and not parcel.heard and self.ledger.waits(self.loop.time(), rid):
                count -= 1
                self._twin(door, rid, parcel, message)

    def _twin(self, door: Door, rid: str, original: Parcel, message: bytes) -> None:
        self.ledger.doubled.add(rid)
        self.ledger.note(self.loop.time(), "twin", rid, door.name)

        def check() -> None:
            if not original.over and not original.heard:
                text = f"a stranger's {rid} was served while the request of that id was open"
                self.ledger.violate(self.loop.time(), "right answer", text)

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200:
                self.loop.call_later(self.path, check)  # what was answered before is here by then

        twin = Parcel(door.address, [message], done=done)
        self.loop.call_soon(self.couriers[door.zone].connect, twin, context=self.clients[door.zone].context())

    def _held(self, door: Door, begin: Heal, end: Heal, after: float) -> Heal:
        """A proxy can't do its work for a while, and is excused."""
        self.ledger.hold(self.loop.time(), door.name)
        begin()

        def heal() -> None:
            end()
            self.ledger.release(self.loop.time(), door.name, after)

        return heal

    def _start_again(self, door: Door) -> None:
        if not door.up and (door.owner is None or door.owner.up):
            door.config = replace(door.config, discovery=(f"10.4.{door.tier}.{door.moved + 1}", PORT))
            self.start_door(door)

    def _drain(self, door: Door, machine: Machine, proxy: Proxy, seconds: float) -> None:
        """SIGTERM; the front sends for a moment longer; SIGKILL for one that does not end."""
        if door.draining or door.upgrades or door.others:
            return
        door.draining = True
        began = self.loop.time()
        door.open_until = began + FRONT_LAG
        life = door.life

        def stop() -> None:
            if door.life == life:
                door.believed = False

        def again() -> None:
            if door.life == life:
                self._start_again(door)

        def exited() -> None:
            if door.life == life and door.up:
                # One that was held up meanwhile could not end in its time.
                self.end_door(door, self.ledger.held_for(door.name, began, self.loop.time()) > 0.0)
                key = self._healed = self._healed + 1
                self._heals[key] = again
                self.loop.call_later(seconds, self._heal, key)

        async def drain() -> None:
            await proxy.drain()
            # The process is at its end: what follows is the world's.
            self.loop.call_soon(exited, context=contextvars.Context())

        def leave_it() -> None:
            # The platform's listener would keep them waiting for the next process, which is not what is asked here.
            listener = self.network.listeners.get(door.address)
            if self.plan.shared and listener is not None and door.life == life:
                listener.refuse()

        self.loop.call_later(FRONT_LAG, stop, context=contextvars.Context())
        self.loop.call_later(FRONT_LAG + 0.1, leave_it, context=contextvars.Context())
        self._spawn(machine, drain)
        self.loop.call_later(self.patience, exited, context=contextvars.Context())

    # ---- operators -----------------------------------------------------------------------

    def _operate(
        self,
        door: Door,
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
            self.ledger.note(self.loop.time(), "call", door.name, call, body.decode(), status)
            done(status)

        parcel = Parcel(process.calls, [lines + body], done=ended)
        self.loop.call_soon(self.couriers[door.zone].send, parcel, context=self.clients[door.zone].context())
        return parcel

    def _order(self, door: Door, call: str, opposite: str, body: bytes, yes: Heal, no: Heal, host: str = "") -> Heal:
        """An order, and at its end the opposite one: after the answer to the first, and until there is a yes."""
        life = door.life
        state = {"answered": False, "over": False}

        def ordered(status: int) -> None:
            state["answered"] = True
            if status == 200 and door.life == life and door.up:
                yes()
            if state["over"]:
                revoke()

        def revoked(status: int) -> None:
            if status in (0, 409) and (self.plan.keeps or (door.life == life and door.up)):
                self.loop.call_later(0.1, revoke)  # the process that was asked is ending, or has gone

        def revoke() -> None:
            door.orders += 1
            no()
            ask()

        def ask() -> None:
            # Where orders are kept, they outlive the process that was told; so does the wish to take them back.
            if door.up and door.process is not None and (door.life == life or self.plan.keeps):
                self._operate(door, door.process, opposite, revoked, body)
            elif self.plan.keeps:
                self.loop.call_later(0.1, ask)

        def end() -> None:
            state["over"] = True
            if state["answered"]:
                revoke()

        assert door.process is not None
        parcel = self._operate(door, door.process, call, ordered, body)
        if host:
            self._asked[parcel] = host
        return end

    def _ban(self, door: Door, host: str) -> Heal | None:
        """A backend is out at one proxy, from the yes on until its return is asked for."""
        if host in door.banned:
            return None
        door.banned.add(host)

        def no() -> None:
            door.banned.discard(host)
            self.ledger.unbanned(door.name, host)

        return self._order(
            door,
            "exclude",
            "include",
            b'{"who":"%s"}' % host.encode(),
            lambda: None,
            no,
            host,
        )

    def _evacuate(self, door: Door) -> Heal:
        """A proxy is emptied; the front goes on for a moment, and comes back when it is told yes again."""
        life = door.life

        def stop() -> None:
            if door.life == life:
                door.believed = False

        def yes() -> None:
            door.open_until = max(door.open_until, self.loop.time() + FRONT_LAG)
            door.evacuated = True
            self.loop.call_later(FRONT_LAG, stop, context=contextvars.Context())
            self._see_it_out(door, life)

        def no() -> None:
            door.evacuated = False
            if door.owner is None and door.life == life:
                self.loop.call_later(2.0 * FRONT_LAG, self._ask_up, door, life)

        return self._order(door, "evacuate", "rejoin", b"", yes, no)

    def _see_it_out(self, door: Door, life: int) -> None:
        """While it is evacuated, whichever process answers says no to the front."""
        if door.life != life or not door.up or not door.evacuated or door.draining:
            return
        orders = door.orders

        def done(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200 and door.life == life and door.orders == orders:
                self.ledger.says_yes(self.loop.time(), door.name)

        parcel = Parcel(door.address, [UP], done=done)
        self.loop.call_soon(self.couriers[door.zone].connect, parcel, context=self.clients[door.zone].context())
        self.loop.call_later(UP_EVERY, self._see_it_out, door, life)

    # ---- upgrades ------------------------------------------------------------------------

    def _upgrade(self, door: Door, how: int) -> None:
        """A new process beside the old one, on one listener; the old one ends when the new one is ready."""
        old = door.process
        if not self.plan.shared or door.draining or door.upgrades > 1 or old is None or old.machine.dead:
            return
        trouble = UPGRADES[how % len(UPGRADES)]
        if trouble == "what was learned is torn" and door.memory is not None:
            door.memory.tear("learned")
        life, began = door.life, self.loop.time()
        door.upgrades += 1
        new = self._launch(door)
        door.others.append(new)
        self.ledger.note(began, "new", door.name, trouble)

        def gone() -> None:
            if door.life == life:
                door.upgrades -= 1
                self._end_process(door, new)

        def ready(status: int) -> None:
            if door.life != life or not door.up:
                return
            if status == 200 and not new.machine.dead:
                self._promote(door, new)
            elif new.machine.dead:
                gone()
            elif self.loop.time() > began + STARTS and not self.ledger.held_up(self.loop.time(), door.name):
                self.ledger.violate(self.loop.time(), "liveness", f"{door.name}: a new process is not ready")
                gone()
            else:
                self.loop.call_later(ASK_READY, ask)

        def ask() -> None:
            if door.life == life and door.up:
                self._operate(door, new, "ready", ready, method="GET")

        self.loop.call_later(ASK_READY, ask)
        if trouble == "the new process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._lose_new, door, new)
        elif trouble == "the old process dies":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._lose_old, door, old, new)
        elif trouble == "a second one follows":
            self.loop.call_later(self.rng.uniform(0.0, 0.3), self._upgrade, door, 0)

    def _promote(self, door: Door, new: Process) -> None:
        """A new process serves; one before it, or one that came late, is told to end."""
        old, now = door.process, self.loop.time()
        door.upgrades -= 1
        self.ledger.note(now, "serves", door.name)
        if new is old:  # the other was killed meanwhile, and nobody was there to answer
            self.ledger.release(now, door.name, 0.5)
            return
        if old is not None and old.number > new.number:
            self._retire(door, new)
            return
        door.process = new
        door.others.remove(new)
        if old is not None and not old.machine.dead:
            door.others.append(old)
            self._retire(door, old)

    def _retire(self, door: Door, old: Process) -> None:
        """SIGTERM to one of several; SIGKILL for one that does not end."""
        proxy = old.proxy
        if proxy is None:
            return
        now, life = self.loop.time(), door.life

        def exited() -> None:
            if door.life == life and not old.machine.dead:
                if self.ledger.held_for(door.name, now, self.loop.time()) > 0.0:
                    self.ledger.killed(self.loop.time(), door.name, False)
                self._end_process(door, old)

        async def drain() -> None:
            await proxy.drain()
            self.loop.call_soon(exited, context=contextvars.Context())

        self._spawn(old.machine, drain)
        self.loop.call_later(self.patience, exited, context=contextvars.Context())

    def _end_process(self, door: Door, process: Process) -> None:
        """One of several ends."""
        process.machine.kill()
        process.proxy = None
        if process in door.others:
            door.others.remove(process)

    def _lose_new(self, door: Door, new: Process) -> None:
        """The new process dies before the platform has its yes."""
        if new in door.others and new is not door.process:
            now = self.loop.time()
            self.ledger.note(now, "new killed", door.name)
            self.ledger.killed(now, door.name, False)  # it may have listened already
            self._end_process(door, new)

    def _lose_old(self, door: Door, old: Process, new: Process) -> None:
        """The old process is killed while the new one starts: what it had is lost, what waits is the new one's."""
        if old is not door.process or new not in door.others or new.machine.dead or old.machine.dead:
            return
        now = self.loop.time()
        self.ledger.note(now, "old killed", door.name)
        self.ledger.killed(now, door.name, False)
        self.ledger.hold(now, door.name)  # until the new one serves
        door.process = new
        door.others.remove(new)
        door.others.append(old)
        self._end_process(door, old)

    def _cut(self, one: str, other: str) -> Heal:
        self.network.cut(one, other, True)
        return lambda: self.network.cut(one, other, False)

    def _line(self, address: str, fault: Fault) -> Heal:
        usual = self.network.default
        more = {"latency": usual.latency + fault.by} if fault.what == "lag" else {"bandwidth": fault.by}
        self.network.links[address] = replace(usual, **more)
        return lambda: self.network.links.pop(address, None)

    def _crowd(self, door: Door, count: int, say: bytes) -> Heal:
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

        self._spawn(self.clients[door.zone], come)
        return self._held(door, lambda: None, leave, 3.0)

    def _strike_stand(self, fault: Fault, stand: Stand) -> Heal | None:
        machine, node = stand.machine, stand.node
        if machine is None or machine.dead or node is None:
            return None
        what = fault.what
        if what == "kill":
            self.end_stand(stand)
            return lambda: self._stand_again(stand)
        if what == "leave":
            return self._leave(stand, node)
        if what == "pause":
            return self._with_own(stand, machine.pause, machine.resume)
        if what == "silent":
            return self._with_own(
                stand,
                lambda: self.network.silence(stand.address, True),
                lambda: self.network.silence(stand.address, False),
            )
        if what == "cut":
            doors = [door for door in self.doors if door.tier == stand.tier]
            return self._cut(machine.address, doors[int(fault.by) % len(doors)].address[0])
        if what in ("lag", "narrow"):
            return self._with_own(stand, lambda: None, self._line(machine.address, fault))
        if what == "slow":
            node.slow = fault.by
            return lambda: setattr(node, "slow", 1.0)
        if what == "hasty":
            node.idle_for = fault.by
            return lambda: setattr(node, "idle_for", 5.0)
        node.mood = what
        self.ledger.broken_off.add(node.host)
        return node.calm

    def _with_own(self, stand: Stand, begin: Heal, end: Heal) -> Heal:
        """What befalls a node on the side of its own proxy, too: that one's answers can't reach it."""
        if stand.door is not None:
            return self._held(stand.door, begin, end, 2.0)
        begin()
        return end

    def _leave(self, stand: Stand, node: Node) -> Heal | None:
        """A node drains: discovery says so, it finishes what it has, and is gone."""
        if stand.leaving:
            return None
        stand.leaving = True
        entry = self.registries[stand.tier].entries[stand.host]
        self._list(stand, entry | {"health": "terminating"})

        def refuse() -> None:
            node.draining = True

        def end() -> None:
            if stand.node is node:
                self.end_stand(stand)

        self.loop.call_later(1.0, refuse)
        self.loop.call_later(2.5, end)

        def back() -> None:
            if stand.node is node and stand.up:
                self.loop.call_later(3.0, self._stand_again, stand)
            else:
                self._stand_again(stand)

        return back

    def _stand_again(self, stand: Stand) -> None:
        if not stand.up:
            self.loop.create_task(self.start_stand(stand, True))

    def _strike_registry(self, fault: Fault, registry: Registry) -> Heal | None:
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

    def _step(self) -> None:
        """After every step: nothing is overdue, and no proxy holds more than it may."""
        now = self.loop.time()
        self.ledger.step(now)
        if now >= self._look_at:
            self._look_at = now + self.look_every
            for door in self.doors:
                self._check_bounds(now, door)
            self._check_given_up(now)

    def _short(self, door: Door, machine: Machine) -> None:
        """A proxy's own limit is there so that this never happens."""
        if not door.starved:
            door.starved = True
            self.ledger.violate(self.loop.time(), "descriptors", f"{door.name} ran out of its {machine.limit}")

    def _check_bounds(self, now: float, door: Door) -> None:
        """What a proxy holds is bounded by what it is at work on."""
        if door.machine is None or not door.up:
            return
        timers = len(self.loop.timers_of(door.machine))
        near = [each for each in self.doors if each.tier == door.tier] if self.estates is not None else [door]
        work = sum(self.ledger.open_at(each.name) for each in near)  # heirs have that of others
        offers = self.estates.estate.max_pending if self.estates is not None else 0  # that are on their way here
        if timers > TIMERS + SPARE_TIMERS + offers + 3 * work and not self.ledger.held_up(now, door.name):
            self.ledger.violate(now, "bounded", f"{door.name} has {timers} timers for {work} requests")
        machines = [one.machine for one in (door.process, *door.others) if one is not None and not one.machine.dead]
        if len(machines) > 1 and not door.starved:
            most = door.config.sockets - BASE * len(machines)
            self.ledger.together(now, door.name, sum(machine.used for machine in machines), most)
        held = sum(map(VirtualTransport.get_write_buffer_size, door.machine.transports))
        if held > HELD:
            self.ledger.violate(now, "bounded", f"{door.name} holds {held} bytes that nobody takes")

    def _check_given_up(self, now: float) -> None:
        """An attempt is given up by ending its connection; the node must not go on with it for nobody."""
        for transport, (proxy, rid, told) in list(self._carries.items()):
            if transport.over or transport.told != told:
                del self._carries[transport]
            elif transport.machine is None:
                continue  # its process is dead, and no heir there yet
            elif self.ledger.void(now, rid) and not self.ledger.held_up(now, proxy):
                del self._carries[transport]
                self.ledger.violate(now, "nothing left", f"{proxy} still waits for {rid}, which is over")

    async def _build(self) -> None:
        for client in self.clients:
            courier = Courier(self.loop, client.context())
            courier.was_read = _was_read
            courier.surplus = self._surplus
            self.couriers.append(courier)
        for stand in self.stands:
            await self.start_stand(stand, False)
        for registry in self.registries:
            for which in (0, 1):
                await self.start_discovery(registry, which)
        for door in self.doors:
            if door.owner is None:
                self.start_door(door)
        await asyncio.sleep(1.0)

    async def main(self) -> None:
        """The whole run: the plan, then its end, then silence."""
        await self._build()
        begin = self.loop.time()
        for ask in self.plan.requests:
            self.loop.call_at(begin + ask.at, self.ask, ask)
        batches: dict[float, list[Fault]] = {}
        for fault in self.plan.faults:
            batches.setdefault(fault.at, []).append(fault)
        for at, batch in batches.items():
            self.loop.call_at(begin + at, self._strike_all, batch)
            if self.plan.keeps:
                self.loop.call_at(begin + 0.5 * at, self._copy_disks)
        await asyncio.sleep(begin + self.plan.seconds - self.loop.time())
        for key in sorted(self._heals):
            self._heal(key)
        await asyncio.sleep(OWED + 1.0)  # whoever drains or starts has done so
        for key in sorted(self._heals):
            self._heal(key)
        await asyncio.sleep(1.0)
        self._check_timers()
        await self._probe()
        for courier in self.couriers:
            courier.close()
        await asyncio.sleep(QUIET)
        self._check_rest()
        self._check_faults()

    def _copy_disks(self) -> None:
        for door in self.doors:
            door.disk.copy()

    def _strike_all(self, batch: list[Fault]) -> None:
        for fault in batch:
            self.strike(fault)

    def _check_timers(self) -> None:
        """With nothing under way there is nothing to wait for."""
        now = self.loop.time()
        for door in self.doors:
            if door.machine is None or not door.up or self.ledger.open_at(door.name):
                continue
            timers = self.loop.timers_of(door.machine)
            if len(timers) > TIMERS:
                names = [getattr(timer._callback, "__qualname__", "?") for timer in timers]  # type: ignore[attr-defined]
                self.ledger.violate(now, "nothing left", f"{door.name} has timers: {', '.join(names)}")

    async def _probe(self) -> None:
        """Liveness: every proxy serves again before long."""
        waiting = {door: True for door in self.doors if door.owner is None}
        for i in range(PROBES):
            for number, door in enumerate(list(waiting)):
                if door.up:
                    ask = Ask(0x10000 + i * 100 + number, 0.0, "view", door.zone)
                    self._served_by(door, self._send(ask, 0, door), waiting)
            await asyncio.sleep(PROBE_EVERY if i < 3 else 2.0)
            if not waiting:
                return
        for door in waiting:
            self.ledger.violate(self.loop.time(), "liveness", f"{door.name} serves nothing")

    @staticmethod
    def _served_by(door: Door, parcel: Parcel, waiting: dict[Door, bool]) -> None:
        """Cross a proxy off once it serves."""
        done = parcel.done

        def ended(end: End, answer: Seen | None) -> None:
            if answer is not None and answer.status == 200:
                waiting.pop(door, None)
            done(end, answer)

        parcel.done = ended

    def _check_rest(self) -> None:
        """In silence: no descriptor, task, exchange or byte of a body is left."""
        now = self.loop.time()
        for door in self.doors:
            if door.machine is None or not door.up or door.proxy is None:
                continue
            if door.machine.used > 1:
                self.ledger.violate(now, "nothing left", f"{door.name} holds {door.machine.used} descriptors")
            if len(door.machine.tasks) > 1:
                names = sorted(getattr(t.get_coro(), "__qualname__", "?") for t in door.machine.tasks)
                self.ledger.violate(now, "nothing left", f"{door.name} has tasks: {', '.join(names)}")
            nodes = sum(stand.tier == door.tier for stand in self.stands)
            for name, (count, bound) in excess(door.proxy, nodes).items():
                self.ledger.violate(now, "nothing left", f"{door.name} has {count} in {name}, where {bound} may be")
            if door.proxy.memory.used:
                self.ledger.violate(now, "nothing left", f"{door.name} counts {door.proxy.memory.used} bytes")
            if door.proxy.descriptors.used != door.machine.used - 1:
                books = f"{door.proxy.descriptors.used} descriptors, and has {door.machine.used - 1}"
                self.ledger.violate(now, "nothing left", f"{door.name} counts {books}")
        self._check_objects()

    def _check_faults(self) -> None:
        """What nobody caught; not what the end of the world itself cancels later."""
        for context in self.loop.faults:
            text = f"{context.get('message')}: {context.get('exception')!r}"
            self.ledger.violate(self.loop.time(), "sound", text)

    def _check_objects(self) -> None:
        """Nothing of a request lives on: what the collector can't free, something still holds."""
        gc.collect()
        living = {id(door.proxy): door for door in self.doors if door.up and door.proxy is not None}
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
            self.ledger.violate(self.loop.time(), "nothing left", f"{name} keeps {dict(sorted(kinds.items()))}")


def _was_read(transport: asyncio.Transport | None) -> bool:
    """Whether the other end had read all that was written; in memory that is known."""
    if not isinstance(transport, VirtualTransport) or transport.peer is None:
        return False
    return transport.peer.told >= transport.written


@contextlib.contextmanager
def _listening(world: World) -> Iterator[None]:
    """Take the program's errors into the account, and spare its other words."""
    logger = logging.getLogger("cometusher")
    handler, level, propagate = _Errors(world), logger.level, logger.propagate
    logger.addHandler(handler)
    logger.setLevel(logging.ERROR)
    logger.propagate = False
    try:
        yield
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagate


def play(plan: Plan, every_step: bool = False) -> Result:
    """Run a plan to its end; what goes wrong is in the account.

    After every step it is checked whether an answer is overdue, and a few times a second what the proxies hold;
    `every_step` has both done after every step, which is slow.
    """
    world = World(plan)
    ledger, loop = world.ledger, world.loop
    if every_step:
        world.look_every = 0.0
    loop.after_step = world._step
    with _listening(world):
        try:
            run(loop, world.main())
        except (Deadlock, Stuck) as fault:
            ledger.violate(loop.time(), "liveness", f"{type(fault).__name__}: {fault}")
    return Result(
        plan, ledger.violations, ledger.digest(), ledger.lines(), ledger.statuses(), loop.time(), loop.steps
    )
