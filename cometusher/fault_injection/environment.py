"""The environment of a fault injection run: backends, discovery, fleets of real processes, load, and measurements."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import time
from collections import deque
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

import orjson

from cometusher.demo import COLD_FOR, COLD_FROM, DEDUP_WINDOW, TENANTS, ZONES, proxy_settings
from cometusher.fleet.control import ControlError, NoSupervisor, send_request
from cometusher.fleet.identity import Identity
from cometusher.fleet.supervisor_state import RECORD_KIND as FLEET_RECORD_KIND
from cometusher.recovery import RECORD_KINDS as INSTANCE_RECORD_KINDS
from cometusher.store.records import RecordFile
from standins.backend import Backend
from standins.discovery import HostList
from standins.faulty_link import FaultyLink, LinkFault
from standins.load import Load, LoadClass
from standins.messages import Message, Writer, read_message, reply
from standins.ports import free_ports
from standins.service_backend import KeyWindow

ROOT = Path(__file__).resolve().parent.parent.parent
STEP_TIMEOUT = 60.0  # seconds for each step of starting and stopping
BACKEND_CORES = 2.0  # seconds of work that a warm backend can do in a second
BIN_WIDTH = 0.2  # seconds; window in which new connections are counted
REPEATABLE_CLASSES = [LoadClass("report-view", 0.63, 3.0, False), LoadClass("submit", 0.37, 2.5, True)]
NON_REPEATABLE_SERVICE = {"Name": "sign-off", "Aim": 1.0, "HardLimit": 3.0, "Repeat": "fragile", "Credit": 4.0}
ALL_CLASSES = [
    *(
        LoadClass(load_class.name, load_class.share * 0.7, load_class.budget, load_class.keyed)
        for load_class in REPEATABLE_CLASSES
    ),
    LoadClass("sign-off", 0.3, 3.0, False, True),
]


def windowed_counts(times: Iterable[float], window: float) -> Iterator[tuple[float, int]]:
    """Yield each time of an ordered sequence, and how many times lie in the window (seconds) that ends there."""
    in_window: deque[float] = deque()
    for moment in times:
        in_window.append(moment)
        while in_window[0] < moment - window:
            in_window.popleft()
        yield moment, len(in_window)


def _python_path() -> str:
    return os.pathsep.join([str(ROOT), *filter(None, [os.environ.get("PYTHONPATH")])])


@dataclass
class BackendStats:
    """What the backends of a run measured together; times are seconds of the monotonic clock."""

    connect_times: list[float] = field(default_factory=list)
    effect_counts: dict[bytes, int] = field(default_factory=dict)  # by idempotency key, or call id without one
    stale_requests: int = 0  # requests at backends that had been removed or banned
    # The keys that the deduplication group recognizes; all backends are in one zone.
    known_keys: KeyWindow = field(default_factory=lambda: KeyWindow(DEDUP_WINDOW))
    # Seconds; above 0, the work of each request is drawn between its backend's and this.
    max_work: float = 0.0
    rng: Random = field(default_factory=lambda: Random(1))

    def draw_work(self, work: float) -> float:
        """Seconds of work of one request, drawn log-uniformly where `max_work` is above the backend's."""
        return work if self.max_work <= work else work * (self.max_work / work) ** self.rng.random()

    def mean_connects(self, begin: float, end: float) -> float:
        """Mean number of new connections in BIN_WIDTH seconds; at least 1."""
        return max(
            1.0, sum(begin <= connected_at <= end for connected_at in self.connect_times) * BIN_WIDTH / (end - begin)
        )

    def peak_connects(self, begin: float, end: float) -> int:
        """Largest number of new connections within BIN_WIDTH seconds."""
        within = (connected_at for connected_at in self.connect_times if begin <= connected_at <= end)
        return max((count for _, count in windowed_counts(within, BIN_WIDTH)), default=0)


class RecordingBackend(Backend):
    """A backend that takes time for each request, answers with its name, and records connections and effects."""

    def __init__(self, number: int, backend_stats: BackendStats, work: float) -> None:
        super().__init__(number, self.serve)
        self.backend_stats = backend_stats
        self.work = work  # seconds
        self.cold_since = 0.0  # monotonic time of a cold start; 0: warm
        self.cold_arrivals: list[float] = []  # times of the requests since a cold start
        self.removed = False  # removed, or banned by operators: each request that arrives now was a stale decision

    async def serve(self, backend: Backend, seen: Message, writer: Writer) -> None:
        """Serve one request."""
        self.requests.clear()
        if self.cold_since:
            self.cold_arrivals.append(time.monotonic())
        if self.removed:
            self.backend_stats.stale_requests += 1
        key = seen.headers.get(b"idempotency-key")
        if key is None and seen.line.startswith(b"POST"):
            key = seen.headers.get(b"x-call-id", b"?")  # nothing deduplicates it: each arrival is an effect
            self.backend_stats.effect_counts[key] = self.backend_stats.effect_counts.get(key, 0) + 1
        elif key is not None and self.backend_stats.known_keys.register(time.monotonic(), key):
            self.backend_stats.effect_counts[key] = self.backend_stats.effect_counts.get(key, 0) + 1
        await asyncio.sleep(self.backend_stats.draw_work(self.work))
        body = b"%s by %s" % (seen.headers.get(b"x-call-id", b"?"), self.host.encode())
        writer.write(reply(200, body, b"X-Backend: " + self.host.encode()))

    def cold_overload(self) -> float:
        """The most work that all proxies sent within one second, as a multiple of its capacity at that time."""
        worst = 0.0
        for arrival, count in windowed_counts(self.cold_arrivals, 1.0):
            age = arrival - self.cold_since
            if age < COLD_FOR:
                capacity_share = COLD_FROM + (1.0 - COLD_FROM) * age / COLD_FOR
                worst = max(worst, count * self.work / (BACKEND_CORES * capacity_share))
        return worst

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.backend_stats.connect_times.append(time.monotonic())
        await super()._serve(reader, writer)


class FaultyDiscovery(HostList):
    """A discovery service that counts its calls and can be made unreachable."""

    def __init__(self, hosts: list[dict[str, Any]]) -> None:
        super().__init__(hosts)
        self.calls = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: Writer) -> None:
        self.calls += 1
        await super()._serve(reader, writer)

    async def disconnect(self) -> None:
        """Become unreachable: connections end, and new ones are refused."""
        await self.stop()

    async def reconnect(self) -> None:
        """Become reachable again on the same port."""
        await self.start(port=self.port)


@dataclass(frozen=True, slots=True)
class RequestResult:
    """One request as its caller saw it; times are seconds of the monotonic clock."""

    sent_at: float
    ended_at: float
    outcome: str
    posted: bool = False
    address: tuple[str, int] = ("", 0)


class RecordingLoad(Load):
    """Open-loop load that records the time and the outcome of each request."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.results: list[RequestResult] = []
        self.send_counts: dict[bytes, int] = {}  # messages sent, by idempotency key (by call id without one)
        self.wrong_answers = 0  # answers to another request
        self.extra_answers = 0  # requests before which a connection had received unrequested data

    async def _exchange(
        self,
        address: tuple[str, int],
        reader: asyncio.StreamReader,
        writer: Writer,
        message: bytes,
        budget: float,
        kept: bool,
    ) -> str | None:
        if message.startswith(b"POST"):
            name = b"Idempotency-Key: " if b"Idempotency-Key: " in message else b"X-Call-Id: "
            key = message.split(name)[1].split(b"\r\n")[0]
            self.send_counts[key] = self.send_counts.get(key, 0) + 1
        self.extra_answers += bool(reader._buffer)  # type: ignore[attr-defined]
        return await super()._exchange(address, reader, writer, message, budget, kept)

    def check(self, message: bytes, answer: Message) -> None:
        """Count an answer that does not name its request."""
        if answer.status == 200 and message.split(b"X-Call-Id: ")[1].split(b"\r\n")[0] not in answer.body:
            self.wrong_answers += 1

    async def _send(self, address: tuple[str, int], message: bytes, budget: float) -> str:
        sent_at = time.monotonic()
        outcome = await super()._send(address, message, budget)
        self.results.append(RequestResult(sent_at, time.monotonic(), outcome, message.startswith(b"POST"), address))
        return outcome


@dataclass
class InstanceLinks:
    """One instance's own links to discovery and to each backend, so that faults can affect it alone."""

    discovery_server: FaultyDiscovery
    discovery_link: FaultyLink
    backend_links: dict[str, FaultyLink]  # by host

    async def set_fault(self, fault: LinkFault, hosts: Collection[str] | None = None) -> None:
        """Apply a fault to the links to these backends, or to all."""
        for host, link in self.backend_links.items():
            if hosts is None or host in hosts:
                await link.set_fault(fault)

    def relayed_entry(self, entry: dict[str, Any]) -> dict[str, Any]:
        """A backend's discovery entry with the address of this instance's link to it."""
        return entry | {"dial": f"127.0.0.1:{self.backend_links[entry['host']].port}"}

    async def stop(self) -> None:
        """Stop the links and the discovery service."""
        for link in (self.discovery_link, *self.backend_links.values()):
            await link.stop()
        await self.discovery_server.stop()


class Fleet:
    """One supervisor and its instances, as processes."""

    def __init__(
        self,
        folder: Path,
        name: str,
        count: int,
        tier: int,
        recovery: bool,
        takeover: bool = False,
        failure_detector: bool = False,
    ) -> None:
        self.folder = folder / name
        self.folder.mkdir(parents=True)
        self.name = name
        self.count = count
        self.tier = tier
        self.recovery = recovery
        self.takeover = takeover
        self.failure_detector = failure_detector
        self.policy: dict[str, float] = {}  # keys of the table [policy]
        self.log_format = "text"
        self.failure_detector_lines: list[str] = []  # of the table [vigil]
        self.instance_lines: dict[str, list[str]] = {}  # of an instance's table, by name
        self.isolated: list[str] = []  # instances that have links of their own
        self.instance_links: dict[str, InstanceLinks] = {}  # of the isolated instances, once the world has started
        self.ports = free_ports(count)
        self.management_ports = free_ports(count)
        self.process: asyncio.subprocess.Process | None = None
        self.file = self.folder / "fleet.toml"
        self.state = self.folder / "s"
        self.control = str(self.state / "control.sock")

    def write(self, discovery: int, recovery_lines: str = "") -> None:
        """Write the fleet's files; `discovery` is a port, `recovery_lines` are of the table [comeback]."""
        raw_settings = proxy_settings(self.tier, 0)
        raw_settings["Services"].append(NON_REPEATABLE_SERVICE)
        (self.folder / "proxy.json").write_bytes(orjson.dumps({"settings": raw_settings}))
        lines = [
            "[fleet]",
            f'name = "{self.name}"',
            'state = "s"',
            "[log]",
            'target = "fleet.log"',
            f'form = "{self.log_format}"',
            "[common]",
            'config = "proxy.json"',
            f'discovery = "127.0.0.1:{discovery}"',
            "sockets = 256",
        ]
        for index, (port, management_port) in enumerate(zip(self.ports, self.management_ports, strict=True)):
            lines += ["[[instance]]", f'name = "p{index}"', f'listen = "127.0.0.1:{port}"']
            lines.append(f'management = "127.0.0.1:{management_port}"')
            lines += self.instance_lines.get(f"p{index}", [])
            if f"p{index}" in self.instance_links:
                lines.append(f'discovery = "127.0.0.1:{self.instance_links[f"p{index}"].discovery_link.port}"')
        lines += ["[comeback]", recovery_lines] if self.recovery else []
        lines += ["[takeover]"] if self.takeover else []
        lines += ["[vigil]", *self.failure_detector_lines] if self.failure_detector else []
        lines += ["[policy]", *(f"{key} = {value}" for key, value in self.policy.items())] if self.policy else []
        self.file.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Start the supervisor in the foreground, unless it runs."""
        if self.process is not None and self.process.returncode is None:
            return
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cometusher",
            "fleet",
            "start",
            "-c",
            str(self.file),
            env=os.environ | {"PYTHONPATH": _python_path()},
            stdout=asyncio.subprocess.DEVNULL,
        )

    async def status(self) -> dict[str, Any]:
        """The supervisor's status; empty if none answers."""
        try:
            return await asyncio.to_thread(send_request, Path(self.control), "status", 5.0)
        except (NoSupervisor, ControlError):
            return {}

    async def instance_status(self) -> dict[str, dict[str, Any]]:
        """The status of each instance, by name."""
        return {row["name"]: row for row in (await self.status()).get("instances", [])}

    async def pids(self) -> dict[str, int]:
        """Process ids of the instances that have a process, by name."""
        return {name: int(row["pid"]) for name, row in (await self.instance_status()).items() if row["pid"]}

    async def is_replaced(self, name: str, pid: int) -> bool:
        """Whether an instance has another process than `pid`, and it is ready."""
        row = (await self.instance_status())[name]
        return row["pid"] not in (None, pid) and row["state"] == "ready"

    async def is_ready(self) -> bool:
        """Whether all instances are ready."""
        rows = await self.instance_status()
        return len(rows) == self.count and all(row["state"] == "ready" for row in rows.values())

    async def operate(self, operation: str, host: str) -> None:
        """Send an operators' request to every instance that listens on its management address."""
        for port in self.management_ports:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                continue
            body = orjson.dumps({"who": host})
            writer.write(f"POST /api/{operation} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            answer = await asyncio.wait_for(read_message(reader), STEP_TIMEOUT)
            writer.close()
            if answer is None or answer.status // 100 != 2:
                raise RuntimeError(f"{operation} {host}: {answer.status if answer else 'no answer'}")

    def log(self) -> str:
        """The text of the fleet's log."""
        path = self.folder / "fleet.log"
        return path.read_text() if path.exists() else ""

    async def stop(self) -> None:
        """Stop the fleet, also if its supervisor is stopped by a signal."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
            await asyncio.wait_for(self.process.wait(), STEP_TIMEOUT)

    # ---- faults --------------------------------------------------------------------------

    async def signal(self, names: list[str], number: int) -> list[int]:
        """Signal instances; returns the pids of those that had a process."""
        rows = await self.instance_status()
        return signal_processes([rows[name]["pid"] for name in names if name in rows and rows[name]["pid"]], number)

    async def kill_machine(self) -> list[int]:
        """Kill the supervisor and all instances at once, as the loss of a machine does."""
        pids = list((await self.pids()).values())
        await self.kill_supervisor(wait=False)
        signal_processes(pids, signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()
        return pids

    async def kill_supervisor(self, wait: bool = True) -> None:
        """Kill only the supervisor."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            if wait:
                await self.process.wait()

    def delete_store(self, names: list[str]) -> None:
        """Delete the records of these instances; with all of them, the fleet's own too."""
        for path in self._record_files(names):
            path.unlink(missing_ok=True)
        if len(names) == self.count:
            shutil.rmtree(self.state / "store", ignore_errors=True)

    def corrupt_store(self, names: list[str], seed: int) -> None:
        """Overwrite some bytes of the records of these instances."""
        for path in self._record_files(names):
            data = bytearray(path.read_bytes()) if path.exists() else bytearray()
            start = seed % max(1, len(data) - 256)
            data[start : start + 256] = bytes(
                (seed + offset) % 256 for offset in range(len(data[start : start + 256]))
            )
            if data:
                path.write_bytes(data)

    def shift_clock(self, names: list[str], seconds: float) -> None:
        """Rewrite these instances' records as if the clock had been set forward (back, if below 0) before a reboot.

        With all instances, the fleet's own records too. No process may have the records open.
        """
        fleet_records = [".fleet"] if len(names) == self.count else []
        for name in [*names, *fleet_records]:
            records = RecordFile(self.state / "store" / f"{name}.records")
            for kind, record in records.read([*INSTANCE_RECORD_KINDS, FLEET_RECORD_KIND]).items():
                written_at = replace(
                    record.written_at, unix=record.written_at.unix - seconds, boot="before", since_boot=0.0
                )
                records.write([replace(record, written_at=written_at, serial=records.next_serial(kind))])
            records.close()

    def copy_store(self) -> None:
        """Make a copy of all records for `restore_store`."""
        shutil.rmtree(self.folder / "older", ignore_errors=True)
        if (self.state / "store").exists():
            shutil.copytree(self.state / "store", self.folder / "older")

    def restore_store(self) -> None:
        """Restore the instances' records from that copy; the fleet's own records stay."""
        for path in self._record_files([f"p{index}" for index in range(self.count)]):
            path.unlink(missing_ok=True)
        for path in (self.folder / "older").glob("p*"):
            shutil.copy(path, self.state / "store" / path.name)

    def _record_files(self, names: list[str]) -> list[Path]:
        store = self.state / "store"
        return [store / f"{name}.records{suffix}" for name in names for suffix in ("", "-wal", "-shm")]


def signal_processes(pids: list[int], number: int) -> list[int]:
    """Signal processes by identity, not by a pid that may be reused; returns the pids of those signalled."""
    processes = [Identity.of(pid) for pid in pids]
    return [process.pid for process in processes if process is not None and process.signal(number)]


async def wait_until(condition: Any, timeout: float = STEP_TIMEOUT) -> bool:
    """Wait until a condition holds; returns whether it did within the timeout (seconds)."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        result = condition()
        if await result if asyncio.iscoroutine(result) else result:
            return True
        await asyncio.sleep(0.02)
    return False


class World:
    """Backends, discovery, fleets and load of one run."""

    def __init__(self, folder: Path, backends: int, work: float, links: tuple[str, ...] = (), seed: int = 1) -> None:
        self.folder = folder
        self.work = work
        self.seed = seed
        self.backend_stats = BackendStats()
        self.backends = [RecordingBackend(index + 1, self.backend_stats, work) for index in range(backends)]
        self.last_backend_number = backends
        self.fleets: list[Fleet] = []
        self.links: dict[str, list[FaultyLink]] = {name: [] for name in links}
        self.discovery = FaultyDiscovery([])
        self.load: RecordingLoad | None = None
        self.request_classes = REPEATABLE_CLASSES
        self.zone_count = 1  # backends are distributed over the zones in turn
        self._stop = asyncio.Event()
        self._load_task: asyncio.Task[None] | None = None

    def add_fleet(
        self, name: str, count: int, tier: int, recovery: bool, takeover: bool = False, failure_detector: bool = False
    ) -> Fleet:
        """Add a fleet; only before `start`."""
        fleet = Fleet(self.folder, name, count, tier, recovery, takeover, failure_detector)
        self.fleets.append(fleet)
        return fleet

    async def add_relay(self, name: str, target: tuple[str, int] | str, listen: str = "") -> int:
        """Start a relay to an address, if this run has links of that name; returns its port, or 0."""
        if name not in self.links:
            return 0
        link = FaultyLink(target, self.seed + len(self.links[name]))
        await link.start(listen or ("127.0.0.1", 0))
        self.links[name].append(link)
        return link.port

    async def discovery_entry(self, backend: RecordingBackend, **changes: Any) -> dict[str, Any]:
        """A backend's discovery entry, with the address of its relay if it has one."""
        port = await self.add_relay("backend", ("127.0.0.1", backend.port)) or backend.port
        site = ZONES[self.backends.index(backend) % self.zone_count]
        return backend.discovery_entry(site=site, dial=f"127.0.0.1:{port}", **changes)

    def hosts_in_zone(self, zone: int) -> list[str]:
        """Hosts of the backends in one zone."""
        return [backend.host for backend in self.backends if self.backends.index(backend) % self.zone_count == zone]

    async def _start_instance_links(self) -> InstanceLinks:
        discovery_server = FaultyDiscovery([])
        await discovery_server.start()
        instance_links = InstanceLinks(
            discovery_server, FaultyLink(("127.0.0.1", discovery_server.port), self.seed), {}
        )
        await instance_links.discovery_link.start()
        for backend in self.backends:
            link = instance_links.backend_links[backend.host] = FaultyLink(
                ("127.0.0.1", backend.port), self.seed + backend.number
            )
            await link.start()
        discovery_server.hosts = [instance_links.relayed_entry(entry) for entry in self.discovery.hosts]
        return instance_links

    def publish(self, *entries: dict[str, Any]) -> None:
        """Publish changed entries through discovery, and through the discovery of each isolated instance."""
        self.discovery.change(*entries)
        for fleet in self.fleets:
            for instance_links in fleet.instance_links.values():
                instance_links.discovery_server.change(*(instance_links.relayed_entry(entry) for entry in entries))

    async def start(self, rate: float, recovery_lines: str = "") -> None:
        """Start everything and wait until every instance is ready; raises RuntimeError if one does not get ready."""
        for backend in self.backends:
            await backend.start()
        self.discovery.hosts = [await self.discovery_entry(backend) for backend in self.backends]
        await self.discovery.start()
        discovery_port = await self.add_relay("discovery", ("127.0.0.1", self.discovery.port)) or self.discovery.port
        for fleet in self.fleets:
            fleet.instance_links = {name: await self._start_instance_links() for name in fleet.isolated}
            fleet.write(discovery_port, recovery_lines)
            await fleet.start()
        for fleet in self.fleets:
            if not await wait_until(fleet.is_ready):
                raise RuntimeError(f"fleet {fleet.name} is not ready; see {fleet.folder / 'fleet.log'}")
            if "control" in self.links:
                relay = str(fleet.folder / "control.link")
                await self.add_relay("control", fleet.control, relay)
                fleet.control = relay
        addresses = []
        for fleet in self.fleets:
            for port in fleet.ports:
                addresses.append(("127.0.0.1", await self.add_relay("caller", ("127.0.0.1", port)) or port))
        self.load = RecordingLoad(addresses, self.request_classes, list(TENANTS), rate, self.seed)
        self.load.resends = self.request_classes is REPEATABLE_CLASSES
        self._load_task = asyncio.create_task(self.load.run(self._stop))

    async def stop(self) -> None:
        """Stop everything that was started."""
        self._stop.set()
        if self._load_task is not None:
            await self._load_task
        for fleet in self.fleets:
            await fleet.stop()
        for link in [link for links in self.links.values() for link in links]:
            await link.stop()
        for instance_links in [
            instance_links for fleet in self.fleets for instance_links in fleet.instance_links.values()
        ]:
            await instance_links.stop()
        await self.discovery.stop()
        for backend in self.backends:
            await backend.stop()

    async def pids(self) -> list[int]:
        """Process ids of all running instances."""
        return [pid for fleet in self.fleets for pid in (await fleet.pids()).values()]

    async def all_running(self, lost_pids: Collection[int] = ()) -> bool:
        """Whether every instance has a process, and none is one of the lost ones."""
        pids = await self.pids()
        return len(pids) == sum(fleet.count for fleet in self.fleets) and not set(pids) & set(lost_pids)

    def duplicate_effects(self) -> int:
        """Number of effects that occurred more than once although the client sent the request once."""
        sent = self.load.send_counts if self.load is not None else {}
        return sum(count > 1 and sent.get(key) == 1 for key, count in self.backend_stats.effect_counts.items())

    def cold_overload(self) -> float:
        """The largest `RecordingBackend.cold_overload`; the specification allows 3."""
        return max((backend.cold_overload() for backend in self.backends), default=0.0)

    async def replace_backends(self, share: float, seed: int) -> int:
        """Replace part of the backends by cold ones with other names at the same addresses; returns how many."""
        removed = Random(seed).sample(self.backends, max(1, round(share * len(self.backends))))
        changes = []
        for old in removed:
            port = old.port
            await old.stop()
            self.last_backend_number += 1
            replacement = RecordingBackend(self.last_backend_number, self.backend_stats, self.work)
            await wait_until(partial(_start_listening, replacement, port), 5.0)
            replacement.cold_since = time.monotonic()
            self.backends[self.backends.index(old)] = replacement
            entry = next(h for h in self.discovery.hosts if h["host"] == old.host)
            changes.append(entry | {"health": "terminated"})
            changes.append(entry | {"host": replacement.host, "born_ms": time.time() * 1000.0})
        self.discovery.change(*changes)
        self.discovery.hosts = [h for h in self.discovery.hosts if h["health"] != "terminated"]
        return len(removed)


async def _start_listening(backend: RecordingBackend, port: int) -> bool:
    try:
        await backend.start(port=port)
    except OSError:
        return False
    return True
