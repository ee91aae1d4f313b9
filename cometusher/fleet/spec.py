"""Reads and validates a fleet's file: its instances, their configurations, and how they are supervised."""

from __future__ import annotations

import hashlib
import ipaddress
import os
import re
import stat
from collections.abc import Collection
from dataclasses import dataclass, field, fields
from pathlib import Path
from typing import Any, Protocol, TypeVar

import orjson

from cometusher import config
from cometusher.config import Address, ConfigError, read_address
from cometusher.toml_reader import Table, read_file
from weldroute.correlated_failures import CorrelationPolicy
from weldroute.failure_detector import FailureDetectorPolicy
from weldroute.fleet import SupervisionPolicy
from weldroute.leases import LeasePolicy
from weldroute.members import MemberPolicy
from weldroute.outlier_detection import OutlierPolicy
from weldroute.recovery import RecoveryPlan
from weldroute.request_journal import BLOCK_SIZE, JournalPool, JournalSize
from weldroute.snapshots import AgeLimits

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_INSTANCES = 1024
SPARE_JOURNALS = 8  # request journals beyond two for each instance
MAX_SOCKET_PATH = 100  # bytes; sun_path of unix(7) has 108
MIN_SECRET, MAX_SECRET = 32, 1024  # bytes
MAX_MEMBER_NAME = 128  # characters
RELOADABLE_KEYS = frozenset({"discovery", "limits", "known"})  # keys that a running instance can apply


def serialize_config(values: dict[str, Any]) -> bytes:
    """Return the content of an instance's configuration file."""
    return orjson.dumps(values, option=orjson.OPT_INDENT_2)


@dataclass(frozen=True, slots=True)
class InstanceSpec:
    """One instance: everything that is needed to start it."""

    name: str
    listen: Address
    values: dict[str, Any]  # the configuration file's, overridden by those of the fleet's file
    command: tuple[str, ...]  # runs instead of the proxy; empty for the proxy
    memory_mb: int
    sockets: int

    @property
    def tier(self) -> int:
        """The tier that it balances; 0 if its file does not say."""
        settings = self.values.get("settings")
        tier = settings.get("Tier", 0) if isinstance(settings, dict) else 0
        return tier if isinstance(tier, int) else 0

    @property
    def version(self) -> str:
        """A digest of the configuration; the same content has the same version everywhere."""
        return hashlib.sha256(serialize_config(self.values) + repr(self.command).encode()).hexdigest()[:12]

    def at_ring_position(self, ring_position: dict[str, int]) -> dict[str, Any]:
        """Return its configuration with the settings of a ring position, as a process gets it."""
        settings = self.values.get("settings")
        return self.values | {"settings": settings | ring_position} if isinstance(settings, dict) else self.values

    def needs_restart(self, new: InstanceSpec) -> bool:
        """Whether changing to another configuration needs a new process."""
        fixed, new_fixed = (
            {k: v for k, v in spec.values.items() if k not in RELOADABLE_KEYS} for spec in (self, new)
        )
        return (fixed, self.command) != (new_fixed, new.command) or self.sockets != new.sockets


@dataclass(frozen=True, slots=True)
class LogSpec:
    """Where log records go."""

    target: str = "stderr"  # or the path of a file
    form: str = "text"
    max_bytes: int = 10 * 1024 * 1024
    keep: int = 3


@dataclass(frozen=True, slots=True)
class ObservationFileSpec:
    """The file in which the failure detector's observations are recorded."""

    path: Path
    size_limit: int  # bytes


@dataclass(frozen=True, slots=True)
class FleetLocation:
    """The files of a fleet: all that a command needs to reach it."""

    name: str
    file: Path  # the fleet's file
    state_directory: Path

    @property
    def lock_file(self) -> Path:
        """Locked by the only supervisor of this state directory."""
        return self.state_directory / "supervisor.lock"

    @property
    def pid_file(self) -> Path:
        """Names the holder of the lock, for people; never trusted unless the lock is held."""
        return self.state_directory / "supervisor.pid"

    @property
    def control_socket(self) -> Path:
        """The control socket."""
        return self.state_directory / "control.sock"

    @property
    def roster(self) -> Path:
        """The processes that the supervisor has started; read by the next supervisor."""
        return self.state_directory / "instances.json"

    @property
    def store(self) -> Path:
        """The folder of stored records."""
        return self.state_directory / "store"

    def records_file(self, name: str) -> Path:
        """An instance's record file."""
        return self.store / f"{name}.records"

    @property
    def fleet_records_file(self) -> Path:
        """The supervisor's record file; no instance's name begins with a dot."""
        return self.store / ".fleet.records"

    def instance_file(self, name: str) -> Path:
        """An instance's configuration file."""
        return self.state_directory / f"instance-{name}.json"


@dataclass(frozen=True, slots=True)
class RecoverySpec:
    """How instances recover after a restart, which stored records they trust, and what is a correlated failure."""

    plan: RecoveryPlan
    limits: AgeLimits
    correlation: CorrelationPolicy


@dataclass(frozen=True, slots=True)
class TakeoverSpec:
    """How many in-flight requests are journalled, and how fast orphaned ones are handed over."""

    journal_pool: JournalPool = field(default_factory=JournalPool)
    answer_retention: float = 10.0  # seconds that a dead process's answers can be requested: the longest window
    pace: int = 32  # requests that one successor is offered at once
    patience: float = 0.25  # seconds until an offer that a successor has not received is withdrawn


@dataclass(frozen=True, slots=True)
class ClusterSpec:
    """How this supervisor communicates with those of other machines."""

    listen: Address
    address: str  # at which others reach it
    name: str  # unique in the cluster
    seeds: tuple[str, ...]
    secret: Path
    zone: str = ""
    policy: MemberPolicy = field(default_factory=MemberPolicy)
    grantors: tuple[str, ...] = ()  # addresses of members whose majority grants leases; if none, nobody gets one
    lease: LeasePolicy = field(default_factory=LeasePolicy)


@dataclass(frozen=True, slots=True)
class FleetSpec:
    """The content of a fleet's file."""

    location: FleetLocation
    spawn: str  # "fork" of the supervisor with all modules imported, or "exec" of a new interpreter
    policy: SupervisionPolicy
    log: LogSpec
    instances: dict[str, InstanceSpec]
    recovery: RecoverySpec | None = None  # enabled by the table [comeback]
    takeover: TakeoverSpec | None = None  # enabled by the table [takeover]
    failure_detection: FailureDetectorPolicy | None = None  # enabled by the table [vigil]
    outliers: OutlierPolicy = field(default_factory=OutlierPolicy)  # keys of [vigil] too
    observation_file: ObservationFileSpec | None = None  # keys of [vigil] too
    cluster: ClusterSpec | None = None  # enabled by the table [mesh]

    def ring_position(self, name: str) -> dict[str, int]:
        """Return the settings Ordinal and Instances: an instance's number in its tier; none for a custom command.

        Without them all instances of a fleet would choose the same subset of a long list of backends, because they
        share one configuration file, and the rest of the ring would stay unused. The file's own `Ordinal` is the
        number of this fleet's first instance, since other machines may run further ones. A process gets its position
        when it starts; it is no part of the configuration's version, so that adding or removing other instances does
        not replace the process.
        """
        instance = self.instances[name]
        if instance.command:
            return {}
        settings = instance.values["settings"]
        names = [other.name for other in self.instances.values() if other.tier == instance.tier and not other.command]
        total = max(len(names), int(settings.get("Instances") or 1))
        return {"Ordinal": (int(settings.get("Ordinal") or 0) + names.index(name)) % total, "Instances": total}


def _read_policy(table: Table) -> SupervisionPolicy:
    values: dict[str, Any] = {}
    for item in fields(SupervisionPolicy):
        default = item.default
        if isinstance(default, int):
            values[item.name] = table.integer(item.name, default)
        else:
            assert isinstance(default, float)
            values[item.name] = table.number(item.name, default)
    table.reject_unknown_keys()
    return _validated(table, SupervisionPolicy(**values))


class _Checkable(Protocol):
    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""


P = TypeVar("P", bound=_Checkable)


def _validated(table: Table, policy: P) -> P:
    """Return a policy that passes its own check; raises ConfigError naming the key of one that does not."""
    try:
        policy.check()
    except ValueError as error:
        key, _, reason = str(error).partition(": ")
        raise table.error(key, reason) from None
    return policy


def _read_recovery(root: Table, instances: int) -> RecoverySpec | None:
    """Read the table `[comeback]`; None if the file has none."""
    if not root.has("comeback"):
        return None
    table = root.table("comeback")
    plan, limits, correlation = RecoveryPlan(), AgeLimits(), CorrelationPolicy()
    try:
        plan = RecoveryPlan(
            instances=max(1, instances),
            returning=max(1, instances),
            calm=table.number("connects", plan.calm, 0.01, 1000.0),
            multiple=table.number("multiple", plan.multiple, 1.0, 1000.0),
            list_for=table.number("list_for", plan.list_for),
            doubt_for=table.number("doubt_for", plan.doubt_for),
            tries=table.number("tries", plan.tries, 0.1, 1e5),
            retry_after=table.number("retry_after", plan.retry_after, 0.0, 3600.0),
        )
        limits = AgeLimits(plan.list_for, min(table.number("learned_for", limits.learned_for), plan.list_for))
        correlation = CorrelationPolicy(
            share=table.number("herd_share", correlation.share, 0.001, 1.0),
            least=table.integer("herd_least", correlation.least, 2),
            within=table.number("herd_within", correlation.within, 0.01, 600.0),
            pace=table.number("starts", correlation.pace, 0.1, 1e4),
            forgiven=table.integer("forgiven", correlation.forgiven),
        )
        plan.check()
        limits.check()
        correlation.check()
    except ValueError as error:
        raise table.error("", str(error)) from None
    table.reject_unknown_keys()
    return RecoverySpec(plan, limits, correlation)


def _read_takeover(root: Table, instances: Collection[InstanceSpec]) -> TakeoverSpec | None:
    """Read the table `[takeover]`; None if the file has none."""
    if not root.has("takeover"):
        return None
    table, spec, size = root.table("takeover"), TakeoverSpec(), JournalSize()
    entries = table.integer("entries", size.entries, 1, 2**16)
    kilobytes = table.integer("kilobytes", size.blocks * BLOCK_SIZE // 1024, 64, 2**20)
    journal_size = JournalSize(
        entries, kilobytes * 1024 // BLOCK_SIZE, max((instance.sockets for instance in instances), default=1)
    )
    # Two for each instance: its replacement runs beside it, and journals of dead processes are kept for a while.
    journal_pool = JournalPool(
        journal_size, 2 * len(instances) + SPARE_JOURNALS, table.integer("keys", JournalPool().keys, 64, 2**22)
    )
    takeover = TakeoverSpec(
        journal_pool,
        table.number("rests", spec.answer_retention, 0.0, 600.0),
        table.integer("pace", spec.pace, 1, 10_000),
        table.number("patience", spec.patience, 0.02, 60.0),
    )
    table.reject_unknown_keys()
    return takeover


def _read_failure_detection(
    root: Table, base: Path
) -> tuple[FailureDetectorPolicy | None, OutlierPolicy, ObservationFileSpec | None]:
    """Read the table `[vigil]`, which has the keys of all three; no failure detection if the file has none."""
    if not root.has("vigil"):
        return None, OutlierPolicy(), None
    table = root.table("vigil")
    record, size_limit = table.text("record", ""), int(table.number("record_mb", 64.0, 0.001, 1e4) * 2**20)
    detector_values, outlier_values = (
        {item.name: table.number(item.name, getattr(defaults, item.name), 0.001, 1e6) for item in fields(defaults)}
        for defaults in (FailureDetectorPolicy(), OutlierPolicy())
    )
    table.reject_unknown_keys()
    observation_file = ObservationFileSpec(base / record, size_limit) if record else None
    return (
        _validated(table, FailureDetectorPolicy(**detector_values)),
        _validated(table, OutlierPolicy(**outlier_values)),
        observation_file,
    )


def _read_cluster(root: Table, base: Path) -> ClusterSpec | None:
    """Read the table `[mesh]`; None if the file has none."""
    if not root.has("mesh"):
        return None
    table, defaults = root.table("mesh"), MemberPolicy()
    listen = table.address("listen")
    if not _is_numeric(listen):
        raise table.error("listen", "not an IP address and a port from 1 to 65535")
    address = "{}:{}".format(*table.address("address", "{}:{}".format(*listen)))
    seeds, grantors = _read_members(table, "seeds"), _read_members(table, "grantors")
    if len(set(grantors)) != len(grantors):
        raise table.error("grantors", "an address is listed twice")
    name, zone = table.text("name", address), table.text("zone", "")
    if len(name) > MAX_MEMBER_NAME:
        raise table.error("name", f"longer than {MAX_MEMBER_NAME} characters")
    values: dict[str, Any] = {}
    for item in fields(MemberPolicy):
        default = getattr(defaults, item.name)
        read = table.integer if isinstance(default, int) else table.number
        values[item.name] = read(item.name, default)
    lease = LeasePolicy(length=table.number("lease", LeasePolicy().length, 0.5, 600.0))
    secret = base / table.text("secret")
    table.reject_unknown_keys()
    policy = _validated(table, MemberPolicy(**values))
    return ClusterSpec(listen, address, name, seeds, secret, zone, policy, grantors, lease)


def _read_members(table: Table, key: str) -> tuple[str, ...]:
    """Read a list of members' addresses."""
    members = table.texts(key)
    for address in members:
        try:
            is_valid = _is_numeric(read_address(address, key))
        except ConfigError:
            is_valid = False
        if not is_valid:
            raise table.error(key, f"{address!r} is not an IP address and a port")
    return members


def read_secret(path: Path) -> bytes:
    """Read the secret that all members of a cluster share; raises ConfigError. Never shown nor part of a spec."""
    try:
        mode = path.stat().st_mode
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    if stat.S_IMODE(mode) & 0o077:
        raise ConfigError(f"{path}: others may read it; chmod 600")
    if not MIN_SECRET <= len(data.strip()) <= MAX_SECRET:
        raise ConfigError(f"{path}: not {MIN_SECRET} to {MAX_SECRET} bytes")
    return data.strip()


def _read_log(table: Table, base: Path) -> LogSpec:
    target = table.text("target", "stderr")
    spec = LogSpec(
        target=target if target == "stderr" else str(base / target),
        form=table.choice("form", "text", ("text", "json")),
        max_bytes=int(table.number("max_mb", 10.0, 0.001, 1e5) * 1024 * 1024),
        keep=table.integer("keep", 3, 0, 100),
    )
    table.reject_unknown_keys()
    return spec


@dataclass(frozen=True, slots=True)
class _CommonSettings:
    """Settings of all instances that don't have their own."""

    config: str = ""
    discovery: str = ""
    zone: str = ""
    tier: int = -1
    memory_mb: int = 192
    sockets: int = 1024
    command: tuple[str, ...] = ()


def _read_common(table: Table, base: _CommonSettings) -> _CommonSettings:
    return _CommonSettings(
        config=table.text("config", base.config),
        discovery=table.text("discovery", base.discovery),
        zone=table.text("zone", base.zone),
        tier=table.integer("tier", base.tier, 0),
        memory_mb=table.integer("memory_mb", base.memory_mb, 32, 2**20),
        sockets=table.integer("sockets", base.sockets, 64, 2**20),
        command=table.texts("command") or base.command,
    )


def _is_numeric(address: Address) -> bool:
    """Whether it is an IP address and a valid port.

    A host name would have to be resolved, which blocks or needs threads; a process that forks can do neither.
    """
    try:
        ipaddress.ip_address(address[0])
    except ValueError:
        return False
    return 1 <= address[1] <= 65535


class _InstanceReader:
    """Builds the instances' specs, and reads each configuration file once."""

    def __init__(self, base: Path) -> None:
        self.base = base
        self._files: dict[str, dict[str, Any]] = {}
        self.instances: dict[str, InstanceSpec] = {}
        self._addresses: dict[Address, str] = {}

    def _load_config(self, table: Table, name: str) -> dict[str, Any]:
        if name not in self._files:
            path = self.base / name
            try:
                values = orjson.loads(path.read_bytes())
            except OSError as error:
                raise table.error("config", f"{path}: {error.strerror}") from None
            except orjson.JSONDecodeError as error:
                raise table.error("config", f"{path}: not JSON: {error}") from None
            if not isinstance(values, dict):
                raise table.error("config", f"{path}: not an object")
            self._files[name] = values
        return self._files[name]

    def add(
        self, table: Table, name: str, listen: Address, common: _CommonSettings, management: Address | None = None
    ) -> None:
        """Validate and add one instance; raises ConfigError."""
        if not NAME_PATTERN.fullmatch(name):
            raise table.error("name", f"{name!r} is not a name (letters, digits, '.', '_', '-')")
        if name in self.instances:
            raise table.error("name", f"{name!r} is there twice")
        if listen in self._addresses:
            raise table.error("listen", f"{listen[0]}:{listen[1]} is also {self._addresses[listen]!r}'s")
        if not _is_numeric(listen):
            raise table.error("listen", "not an IP address and a port from 1 to 65535")
        if len(self.instances) >= MAX_INSTANCES:
            raise table.error("", f"more than {MAX_INSTANCES} instances")
        if not common.config and not common.command:
            raise table.error("config", "missing")
        values = dict(self._load_config(table, common.config)) if common.config else {}
        values |= {"name": name, "listen": f"{listen[0]}:{listen[1]}"}
        values["limits"] = {**values.get("limits", {}), "memory_mb": common.memory_mb, "sockets": common.sockets}
        if common.discovery:
            values["discovery"] = common.discovery
        if management is not None:
            values["management"] = "{}:{}".format(*management)
        self._apply_place(values, common)
        if not common.command:
            try:
                config.check(values)
            except ConfigError as error:
                raise table.error("config", f"{self.base / common.config}: {error}") from None
        self._addresses[listen] = name
        self.instances[name] = InstanceSpec(name, listen, values, common.command, common.memory_mb, common.sockets)

    @staticmethod
    def _apply_place(values: dict[str, Any], common: _CommonSettings) -> None:
        settings = values.get("settings")
        if isinstance(settings, dict):
            if common.zone:
                zones = list(settings.get("Zones") or ())
                settings = settings | {"Zone": zones.index(common.zone) if common.zone in zones else common.zone}
            if common.tier >= 0:
                settings = settings | {"Tier": common.tier}
            values["settings"] = settings


def _read_range(table: Table, reader: _InstanceReader, common: _CommonSettings) -> None:
    pattern = table.text("name")
    if pattern.count("{}") != 1:
        raise table.error("name", f"{pattern!r} needs one {{}} for the number")
    host = table.text("host", "127.0.0.1")
    ports = table.text("ports")
    match = re.fullmatch(r"(\d{1,5})-(\d{1,5})", ports)
    if not match or not 1 <= int(match[1]) <= int(match[2]) <= 65535:
        raise table.error("ports", f"{ports!r} is not a range such as 9000-9039")
    range_settings = _read_common(table, common)
    table.reject_unknown_keys()
    for number, port in enumerate(range(int(match[1]), int(match[2]) + 1)):
        reader.add(table, pattern.replace("{}", str(number)), (host, port), range_settings)


def _read_location(path: Path, table: Table) -> FleetLocation:
    name = table.text("name", "fleet")
    if not NAME_PATTERN.fullmatch(name):
        raise table.error("name", f"{name!r} is not a name (letters, digits, '.', '_', '-')")
    location = FleetLocation(name, path, path.parent / table.text("state"))
    if len(os.fsencode(location.control_socket)) > MAX_SOCKET_PATH:
        raise table.error("state", "the path is too long for a socket in it (sun_path, unix(7))")
    return location


def read_location(path: Path) -> FleetLocation:
    """Read only the location from a fleet's file; raises ConfigError."""
    path = Path(os.path.abspath(path))
    return _read_location(path, read_file(path).table("fleet"))


def read_spec(path: Path) -> FleetSpec:
    """Read a fleet's file and the files that it names; raises ConfigError naming file, line and key."""
    path = Path(os.path.abspath(path))
    spec = build_spec(path, read_file(path))
    if spec.cluster is not None:
        read_secret(spec.cluster.secret)
    return spec


def build_spec(path: Path, root: Table) -> FleetSpec:
    """Build a fleet from its file's values; raises ConfigError naming file, line and key."""
    base = path.parent
    fleet_table = root.table("fleet")
    location = _read_location(path, fleet_table)
    spawn = fleet_table.choice("spawn", "fork", ("fork", "exec"))
    fleet_table.reject_unknown_keys()
    policy = _read_policy(root.table("policy"))
    log_spec = _read_log(root.table("log"), base)
    table = root.table("common")
    common = _read_common(table, _CommonSettings())
    table.reject_unknown_keys()
    reader = _InstanceReader(base)
    for table in root.tables("instance"):
        listen, instance_settings, name_ = table.address("listen"), _read_common(table, common), table.text("name")
        management = table.address("management") if table.has("management") else None
        table.reject_unknown_keys()
        reader.add(table, name_, listen, instance_settings, management)
    for table in root.tables("range"):
        _read_range(table, reader, common)
    recovery = _read_recovery(root, len(reader.instances))
    takeover = _read_takeover(root, reader.instances.values())
    failure_detection, outliers, observation_file = _read_failure_detection(root, base)
    cluster = _read_cluster(root, base)
    root.reject_unknown_keys()
    if not reader.instances:
        raise ConfigError(f"{path}: instance: there is none")
    return FleetSpec(
        location,
        spawn,
        policy,
        log_spec,
        reader.instances,
        recovery,
        takeover,
        failure_detection,
        outliers,
        observation_file,
        cluster,
    )


def write_private(path: Path, content: bytes) -> None:
    """Replace a file atomically; only its owner may read it. Raises OSError."""
    temporary = path.with_name(path.name + ".new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_NOFOLLOW, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)
    os.replace(temporary, path)


def prepare_state_directory(path: Path) -> None:
    """Create the state directory for its owner only; raises ConfigError if it is unusable."""
    try:
        path.mkdir(mode=0o700, parents=True, exist_ok=True)
        info = path.stat()
        if info.st_uid != os.geteuid():
            raise ConfigError(f"state directory {path}: belongs to user {info.st_uid}")
        if stat.S_IMODE(info.st_mode) & 0o022:
            raise ConfigError(f"state directory {path}: others may write there")
    except OSError as error:
        raise ConfigError(f"state directory {path}: not writable: {error.strerror}") from error
