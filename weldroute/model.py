"""Plain types of the decision library's interface: settings, list rows, outcomes, actions.

Nothing here decides anything or knows a wire format. Times are seconds on the caller's clock; identifiers are
whatever hashable values the embedding proxy uses.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from enum import Enum
from typing import Any

ServerId = int
RequestId = str


class Repeat(Enum):
    """Whether requests of a class may be repeated once they may have run."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which servers recognize and discard the repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Discovery(Enum):
    """Whether discovery pushes the list of servers or has to be asked for it."""

    PUSHED = "pushed"
    ON_REQUEST = "on_request"


class State(Enum):
    """State of a server according to the list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """Meaning of a list message."""

    STALE = "stale"
    WHOLE = "whole"
    PATCH = "patch"
    BROKEN = "broken"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    CANCELLED = "cancelled"
    VOID = "void"
    REJECTED = "rejected"  # the server answered that the request itself is invalid


#: Outcomes that prove that an attempt never ran.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHABLE, Outcome.VOID})


def _check_number(name: str, value: float, minimum: float = 0.0, maximum: float = math.inf) -> None:
    ok = isinstance(value, (int, float)) and not isinstance(value, bool) and minimum <= value <= maximum
    if not ok or math.isnan(value):
        raise ValueError(f"{name}: {value!r} is not a number from {minimum} to {maximum}")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of request; `aim`, `deadline` and `window` (that of repeats) are seconds."""

    name: str = "request"
    aim: float = 1.0
    deadline: float = 5.0
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.CELL
    window: float = 0.0
    worth: float = 1.0
    late_worth: float = 0.0  # fraction of `worth` that an answer after the aim still has
    streaming: bool = False

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        for name in ("aim", "deadline", "window", "worth"):
            _check_number(f"{path}.{name}", getattr(self, name))
        _check_number(f"{path}.late_worth", self.late_worth, 0.0, 1.0)
        if not self.aim or not self.deadline:
            raise ValueError(f"{path}: aim and deadline must be above 0")


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant; `quota` is its share in requests a second over all balancers, 0 for none."""

    name: str = "tenant"
    share: float = 0.0
    quota: float = 0.0

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        _check_number(f"{path}.share", self.share, 0.0, 1.0)
        _check_number(f"{path}.quota", self.quota)


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment permits; times are seconds."""

    cancel: bool = False
    second_copies: bool = False
    probes: bool = False
    retry_after: bool = False
    max_attempts: int = 3
    max_retry_after: float = 0.0
    connect_timeout: float = 0.25
    connection_idle: float = 0.0
    streams_per_connection: int = 1

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        _check_number(f"{path}.max_attempts", self.max_attempts, 1)
        _check_number(f"{path}.streams_per_connection", self.streams_per_connection, 1)
        for name in ("max_retry_after", "connect_timeout", "connection_idle"):
            _check_number(f"{path}.{name}", getattr(self, name))


@dataclass(slots=True, frozen=True)
class Rules:
    """Parameters of the four rules; times are seconds."""

    drain_grace: float = 0.0
    answer_slack: float = 0.0
    ask_within: float = 10.0
    cold_from: float = 0.1  # fraction of its capacity that a server has at its start
    cold_for: float = 30.0  # until a started server has its full capacity
    fall_multiple: float = 2.0  # of a cold server's capacity: more load than that makes it collapse
    fall_after: float = 1.0  # for which a cold server stands an overload

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        _check_number(f"{path}.cold_from", self.cold_from, 0.0, 1.0)
        for item in fields(self):
            _check_number(f"{path}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Goal:
    """Weights of the terms of the operators' goal."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        for item in fields(self):
            _check_number(f"{path}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Prices:
    """Cost of each unit, in points of the goal."""

    cross_zone: float = 0.0
    waste: float = 0.0
    connection: float = 0.0
    handshake: float = 0.0
    probe: float = 0.0
    late_fail: float = 0.0

    def check(self, path: str) -> None:
        """Raise ValueError for invalid values; `path` names the object in the message."""
        for item in fields(self):
            _check_number(f"{path}.{item.name}", getattr(self, item.name))


@dataclass(slots=True, frozen=True)
class Settings:
    """Configuration of an instance; the balancer calls `check()`."""

    classes: tuple[RequestClass, ...] = (RequestClass(),)
    tenants: tuple[Tenant, ...] = ()
    balancers: int = 1
    me: int = 0  # index of this balancer among `balancers`
    tier: int = 0
    tiers: int = 1
    zone: int = 0
    zones: int = 1
    discovery: Discovery = Discovery.PUSHED
    over_share_worth: float = 1.0  # factor on the worth of a tenant's requests beyond its quota
    passes_deadline: bool = True
    report_fields: tuple[str, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    goal: Goal = field(default_factory=Goal)
    prices: Prices = field(default_factory=Prices)

    def check(self) -> None:
        """Raise ValueError that names the first invalid field."""
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        for i, request_class in enumerate(self.classes):
            request_class.check(f"classes[{i}]")
        for i, tenant in enumerate(self.tenants):
            tenant.check(f"tenants[{i}]")
        for name, count in (("me", "balancers"), ("tier", "tiers"), ("zone", "zones")):
            _check_number(count, getattr(self, count), 1)
            _check_number(name, getattr(self, name), 0, getattr(self, count) - 1)
        _check_number("over_share_worth", self.over_share_worth, 0.0, 1.0)
        self.limits.check("limits")
        self.rules.check("rules")
        self.goal.check("goal")
        self.prices.check("prices")


def known_fields(cls: type, values: Mapping[str, Any]) -> dict[str, Any]:
    """Return the items of `values` that are fields of the dataclass `cls` and not None."""
    names = {class_field.name for class_field in fields(cls)}
    return {name: value for name, value in values.items() if name in names and value is not None}


@dataclass(slots=True, frozen=True)
class ServerRow:
    """One row of the list of servers; `started` is 0 for a distant past."""

    server: ServerId
    state: State = State.UP
    zone: int = 0
    cell: int = 0
    size: float = 1.0
    started: float = 0.0


@dataclass(slots=True, frozen=True)
class PriorAttempt:
    """An attempt that another process made for a request that is taken over from that process."""

    server: ServerId
    sent: float
    maybe_ran: bool = True
    joined: bool = False  # it continues in this process
    zone: int = 0
    cell: int = 0


@dataclass(slots=True)
class Send:
    """Start an attempt; `timeout` is in seconds, 0 means until the client gives up."""

    request: RequestId
    server: ServerId
    timeout: float = 0.0


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; a repeat by the client is harmless."""

    request: RequestId
    retry_after: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may have run."""

    request: RequestId


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    request: RequestId
    attempt: int


@dataclass(slots=True)
class Timer:
    """Call `on_timer(now, token)` at the time `due` or soon after."""

    due: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Subscribe to changes at discovery."""


Action = Send | Refuse | Fail | Cancel | Timer | Subscribe
