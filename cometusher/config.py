"""The proxy's configuration: the file at LB_CONFIG and the environment, read into typed values."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import orjson

from weldroute import Settings
from weldroute.settings import read_settings

if TYPE_CHECKING:
    from cometusher.inflight.endpoint import JournalAssignment
    from cometusher.recovery import RecoveryConfig

Address = tuple[str, int]


class ConfigError(Exception):
    """A setting is missing or invalid; the text names it."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one proxy."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    memory_mb: int
    sockets: int
    known: dict[str, Any]
    settings: Settings
    zones: tuple[str, ...]
    management: Address | None = None  # address for operators' calls
    accept_fd: int | None = None  # descriptor of the listener that this process was started with
    shared_folder: str | None = None  # folder that processes of this proxy share for a hot restart
    recovery: RecoveryConfig | None = None  # set by a supervisor that has recovery enabled
    journal: JournalAssignment | None = None  # set by a supervisor that has takeover enabled


def read_address(text: Any, name: str) -> Address:
    """Parse `host:port`; raises ConfigError with the setting's name."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{name}: {text!r} is not host:port")
    return host.strip("[]"), int(port)


def stable_number(text: str) -> int:
    """A hash below 2**32 that is the same in every process, unlike `hash()`."""
    return zlib.crc32(text.encode())


def _positive(values: Mapping[str, Any], key: str, default: int) -> int:
    value = values.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not 1 <= value < 2**31:
        raise ConfigError(f"limits.{key}: {value!r} is not a number of 1 or more")
    return int(value)


def _descriptor(text: str | None) -> int | None:
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or not 0 <= int(text) < 2**20:
        raise ConfigError(f"LB_ACCEPT_FD: {text!r} is not a descriptor")
    return int(text)


def _seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        return stable_number(str(value))


def _object(values: Mapping[str, Any], key: str) -> dict[str, Any]:
    value = values.get(key, {})
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: not an object")
    return value


def _settings(raw: dict[str, Any]) -> Settings:
    if not raw.get("Services"):
        raise ConfigError("settings.Services: missing")
    try:
        settings = read_settings(raw)
        settings.check()
    except (ValueError, TypeError, AttributeError, KeyError) as error:
        raise ConfigError(f"settings: {error}") from error
    if not settings.limits.connect_timeout > 0.0:
        raise ConfigError("settings.Bounds.DialTimeout: must be above 0")
    return settings


def build(values: dict[str, Any], environ: Mapping[str, str], reload: bool = False) -> Config:
    """Build the configuration from the file's values and the environment; raises ConfigError.

    On a reload the file's address of discovery has precedence, as the environment can't change after the start.
    """
    limits = _object(values, "limits")
    raw = _object(values, "settings")
    settings = _settings(raw)
    known = _object(values, "known")
    if not isinstance(known.get("hosts", []), list) or not isinstance(known.get("seq", 0), int):
        raise ConfigError("known: not a list of hosts with a seq")
    management = environ.get("LB_MANAGEMENT") or values.get("management")
    addresses = (environ.get("LB_DISCOVERY"), values.get("discovery"))
    return Config(
        name=str(environ.get("LB_NAME") or values.get("name") or "proxy"),
        listen=read_address(environ.get("LB_LISTEN") or values.get("listen"), "listen"),
        discovery=read_address(next(filter(None, addresses[::-1] if reload else addresses), None), "discovery"),
        seed=_seed(values.get("seed", "")),
        memory_mb=_positive(limits, "memory_mb", 192),
        sockets=_positive(limits, "sockets", 1024),
        known=known,
        settings=settings,
        zones=tuple(str(zone) for zone in raw.get("Zones") or ()),
        management=read_address(management, "management") if management else None,
        accept_fd=_descriptor(environ.get("LB_ACCEPT_FD")),
        shared_folder=(environ.get("TMPDIR") or None) if environ.get("LB_ACCEPT_FD") else None,
    )


def check(values: dict[str, Any]) -> None:
    """Raise ConfigError if a proxy could not start with these file values alone."""
    build(values, {})


def load(environ: Mapping[str, str], reload: bool = False) -> Config:
    """Load the configuration file at LB_CONFIG; raises ConfigError."""
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set")
    try:
        values = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"LB_CONFIG: {path}: {error.strerror}") from error
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"LB_CONFIG: {path}: not JSON: {error}") from error
    if not isinstance(values, dict):
        raise ConfigError(f"LB_CONFIG: {path}: not an object")
    return build(values, environ, reload)
