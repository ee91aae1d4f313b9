"""The file of a fleet, read and checked whole: which instances, with what, and how they are looked after."""

from __future__ import annotations

import hashlib
import ipaddress
import os
import re
import stat
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any

import orjson

from cometusher import config
from cometusher.config import Address, ConfigError
from cometusher.tables import Table, read_file
from weldroute.fleet import Policy

NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MOST = 1024  # instances
MAX_SOCKET_PATH = 100  # bytes
RELOADABLE = frozenset({"discovery", "limits", "known"})  # what an instance takes over while it runs


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance: all that it needs to start."""

    name: str
    listen: Address
    values: dict[str, Any]  # the platform's configuration, with what the fleet's file lays over it
    command: tuple[str, ...]  # in place of the proxy; empty for the proxy
    memory_mb: int
    sockets: int

    @property
    def content(self) -> bytes:
        """The instance's own file."""
        return orjson.dumps(self.values, option=orjson.OPT_INDENT_2)

    @property
    def version(self) -> str:
        """Names the configuration; the same content has the same name everywhere."""
        return hashlib.sha256(self.content + repr(self.command).encode()).hexdigest()[:12]

    def needs_restart(self, fresh: InstanceSpec) -> bool:
        """Whether the change to another configuration is more than a running instance can take over."""
        fixed, other = (
            {k: v for k, v in spec.values.items() if k not in RELOADABLE} for spec in (self, fresh)
        )
        return (fixed, self.command) != (other, fresh.command) or self.sockets != fresh.sockets


@dataclass(frozen=True, slots=True)
class LogSpec:
    """Where records go."""

    target: str = "stderr"  # or a path
    form: str = "text"
    max_bytes: int = 10 * 1024 * 1024
    keep: int = 3


@dataclass(frozen=True, slots=True)
class Place:
    """Where a fleet lives: all that a command needs to reach it."""

    name: str
    path: Path  # of the file
    state: Path

    @property
    def lock_file(self) -> Path:
        """Held by the one supervisor of this state directory."""
        return self.state / "supervisor.lock"

    @property
    def pid_file(self) -> Path:
        """Tells who holds the lock; never believed without it."""
        return self.state / "supervisor.pid"

    @property
    def control(self) -> Path:
        """The control socket."""
        return self.state / "control.sock"

    @property
    def roster(self) -> Path:
        """The processes that the supervisor has started, for the one after it."""
        return self.state / "instances.json"

    def instance_file(self, name: str) -> Path:
        """An instance's own configuration."""
        return self.state / f"instance-{name}.json"


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """A fleet's whole file."""

    place: Place
    spawn: str  # "fork" from the warmed supervisor, or "exec" of a new interpreter
    policy: Policy
    log: LogSpec
    instances: dict[str, InstanceSpec]


def _read_policy(table: Table) -> Policy:
    values: dict[str, Any] = {}
    for item in fields(Policy):
        default = item.default
        if isinstance(default, int):
            values[item.name] = table.whole(item.name, default)
        else:
            assert isinstance(default, float)
            values[item.name] = table.number(item.name, default)
    table.done()
    policy = Policy(**values)
    try:
        policy.check()
    except ValueError as fault:
        key, _, why = str(fault).partition(": ")
        raise table.fault(key, why) from None
    return policy


def _read_log(table: Table, base: Path) -> LogSpec:
    target = table.text("target", "stderr")
    spec = LogSpec(
        target=target if target == "stderr" else str(base / target),
        form=table.choice("form", "text", ("text", "json")),
        max_bytes=int(table.number("max_mb", 10.0, 0.001, 1e5) * 1024 * 1024),
        keep=table.whole("keep", 3, 0, 100),
    )
    table.done()
    return spec


@dataclass(frozen=True, slots=True)
class _Common:
    """Settings that hold for an instance unless it has its own."""

    config: str = ""
    discovery: str = ""
    zone: str = ""
    tier: int = -1
    memory_mb: int = 192
    sockets: int = 1024
    command: tuple[str, ...] = ()


def _read_common(table: Table, base: _Common) -> _Common:
    return _Common(
        config=table.text("config", base.config),
        discovery=table.text("discovery", base.discovery),
        zone=table.text("zone", base.zone),
        tier=table.whole("tier", base.tier, 0),
        memory_mb=table.whole("memory_mb", base.memory_mb, 32, 2**20),
        sockets=table.whole("sockets", base.sockets, 64, 2**20),
        command=table.texts("command") or base.command,
    )


def _numeric(host: str) -> bool:
    """A name would have to be looked up, which blocks and needs threads; neither goes with forking."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


class _Reader:
    """Builds instances, and reads each file that they name once."""

    def __init__(self, base: Path) -> None:
        self.base = base
        self._files: dict[str, dict[str, Any]] = {}
        self.instances: dict[str, InstanceSpec] = {}
        self._addresses: dict[Address, str] = {}

    def _load(self, table: Table, name: str) -> dict[str, Any]:
        if name not in self._files:
            path = self.base / name
            try:
                values = orjson.loads(path.read_bytes())
            except OSError as fault:
                raise table.fault("config", f"{path}: {fault.strerror}") from None
            except orjson.JSONDecodeError as fault:
                raise table.fault("config", f"{path}: not JSON: {fault}") from None
            if not isinstance(values, dict):
                raise table.fault("config", f"{path}: not an object")
            self._files[name] = values
        return self._files[name]

    def add(self, table: Table, name: str, listen: Address, common: _Common) -> None:
        """Check one instance whole, and take it in."""
        if not NAME.fullmatch(name):
            raise table.fault("name", f"{name!r} is not a name (letters, digits, '.', '_', '-')")
        if name in self.instances:
            raise table.fault("name", f"{name!r} is there twice")
        if listen in self._addresses:
            raise table.fault("listen", f"{listen[0]}:{listen[1]} is also {self._addresses[listen]!r}'s")
        if not 1 <= listen[1] <= 65535 or not _numeric(listen[0]):
            raise table.fault("listen", "not an IP address and a port from 1 to 65535")
        if len(self.instances) >= MOST:
            raise table.fault("", f"more than {MOST} instances")
        if not common.config and not common.command:
            raise table.fault("config", "missing")
        values = dict(self._load(table, common.config)) if common.config else {}
        values |= {"name": name, "listen": f"{listen[0]}:{listen[1]}"}
        values["limits"] = {**values.get("limits", {}), "memory_mb": common.memory_mb, "sockets": common.sockets}
        if common.discovery:
            values["discovery"] = common.discovery
        self._place(values, common)
        if not common.command:
            try:
                config.check(values)
            except ConfigError as fault:
                raise table.fault("config", f"{self.base / common.config}: {fault}") from None
        self._addresses[listen] = name
        self.instances[name] = InstanceSpec(
            name, listen, values, common.command, common.memory_mb, common.sockets
        )

    @staticmethod
    def _place(values: dict[str, Any], common: _Common) -> None:
        settings = values.get("settings")
        if isinstance(settings, dict):
            if common.zone:
                zones = list(settings.get("Zones") or ())
                settings = settings | {"Zone": zones.index(common.zone) if common.zone in zones else common.zone}
            if common.tier >= 0:
                settings = settings | {"Tier": common.tier}
            values["settings"] = settings


def _read_range(table: Table, reader: _Reader, common: _Common) -> None:
    pattern = table.text("name")
    if pattern.count("{}") != 1:
        raise table.fault("name", f"{pattern!r} needs one {{}} for the number")
    host = table.text("host", "127.0.0.1")
    text = table.text("ports")
    match = re.fullmatch(r"(\d{1,5})-(\d{1,5})", text)
    if not match or not 1 <= int(match[1]) <= int(match[2]) <= 65535:
        raise table.fault("ports", f"{text!r} is not a range such as 9000-9039")
    own = _read_common(table, common)
    table.done()
    for i, port in enumerate(range(int(match[1]), int(match[2]) + 1)):
        reader.add(table, pattern.replace("{}", str(i)), (host, port), own)


def _read_place(path: Path, head: Table) -> Place:
    name = head.text("name", "fleet")
    if not NAME.fullmatch(name):
        raise head.fault("name", f"{name!r} is not a name (letters, digits, '.', '_', '-')")
    place = Place(name, path, path.parent / head.text("state"))
    if len(os.fsencode(place.control)) > MAX_SOCKET_PATH:
        raise head.fault("state", "the path is too long for a socket in it (sun_path, unix(7))")
    return place


def read_place(path: Path) -> Place:
    """Read of a fleet's file only where the fleet lives; raises ConfigError."""
    path = Path(os.path.abspath(path))
    return _read_place(path, read_file(path).table("fleet"))


def read_spec(path: Path) -> FleetSpec:
    """Read a fleet's file and all that it names; raises ConfigError naming file, line and key."""
    path = Path(os.path.abspath(path))
    root = read_file(path)
    base = path.parent
    head = root.table("fleet")
    place = _read_place(path, head)
    spawn = head.choice("spawn", "fork", ("fork", "exec"))
    head.done()
    policy = _read_policy(root.table("policy"))
    log = _read_log(root.table("log"), base)
    table = root.table("common")
    common = _read_common(table, _Common())
    table.done()
    reader = _Reader(base)
    for table in root.tables("instance"):
        listen, own, name_ = table.address("listen"), _read_common(table, common), table.text("name")
        table.done()
        reader.add(table, name_, listen, own)
    for table in root.tables("range"):
        _read_range(table, reader, common)
    root.done()
    if not reader.instances:
        raise ConfigError(f"{path}: instance: there is none")
    return FleetSpec(place, spawn, policy, log, reader.instances)


def write_private(path: Path, content: bytes) -> None:
    """Replace a file whole, readable by its owner only; raises OSError."""
    rest = path.with_name(path.name + ".new")
    descriptor = os.open(rest, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
    os.replace(rest, path)


def prepare_state(path: Path) -> None:
    """Make the state directory, for its owner only; raises ConfigError where it can't be used."""
    try:
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        info = path.stat()
        if info.st_uid != os.geteuid():
            raise ConfigError(f"state directory {path}: belongs to user {info.st_uid}")
        if stat.S_IMODE(info.st_mode) & 0o022:
            raise ConfigError(f"state directory {path}: others may write there")
    except OSError as fault:
        raise ConfigError(f"state directory {path}: not writable: {fault.strerror}") from fault
