"""State that the processes of one proxy pass on to each other: its format, checks and use. Sans I/O.

There are two kinds of state, each a JSON object with its format version in `form`:

- *operator orders* (stored as `standing`): what operators have ordered and must outlive a process: bans, recently
  ended bans, evacuation. Versions increase; a reader uses the highest.
- *learned state* (stored as `learned`): the list of backends and what was learned about them. When it is older than
  MAX_LEARNED_AGE only its list is used.

A value that cannot be parsed makes the whole state unusable (`UnusableState`): nothing of it is applied, and the
process starts without it. Other subsystems may add keys to a state; a reader ignores keys that it does not know.

This module also decides which process serves: each process has a `ProcessEntry` and yields to a newer one that
serves. `OpenRequestIds` records which requests are open in any of the processes.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable, Iterable, Mapping, MutableSequence
from dataclasses import dataclass
from enum import IntEnum
from itertools import pairwise
from typing import Any

from weldroute.admission import AdmissionControl
from weldroute.breaker import BUCKETS, Breaker
from weldroute.decide import Balancer
from weldroute.model import ServerId
from weldroute.server import Server

FORMAT_VERSION = 1
MAX_LEARNED_AGE = 15.0  # seconds
MAX_ENTRIES = 100_000  # of any list in a state

BREAKER_FIELDS = ("baseline", "current", "k", "last_pass")
SERVER_FIELDS = ("latency", "seen", "cold_credit", "cold_seen", "back")
BALANCER_FIELDS = ("pooled", "usual", "rate", "rate_at", "retry_tokens", "copy_tokens")
ADMISSION_FIELDS = ("sort_at", "filled", "aim", "pace", "recent", "paced_at", "since")
ADMISSION_LIST_FIELDS = ("asked", "served", "chance", "quota", "quota_at")


class UnusableState(Exception):
    """A serialized state that is invalid; the text gives the reason."""


class ProcessStage(IntEnum):
    """Stage in the life of a process."""

    STARTING = 1
    SERVING = 2
    STOPPING = 3


@dataclass(frozen=True, slots=True)
class ProcessEntry:
    """What one process shares about itself with the others of the same proxy."""

    generation: int  # increases with every start
    stage: ProcessStage
    descriptors: int = 0  # in use
    body_bytes: int = 0  # of buffered bodies


def should_yield(own_generation: int, others: Iterable[ProcessEntry]) -> bool:
    """Whether the process of a generation must leave new connections to a newer one."""
    return any(entry.generation > own_generation and entry.stage is ProcessStage.SERVING for entry in others)


def next_generation(entries: Iterable[ProcessEntry]) -> int:
    """The generation of a process that starts while others are running."""
    return 1 + max((entry.generation for entry in entries), default=0)


class OpenRequestIds:
    """The ids of requests that are open in any process of a proxy.

    Guards against an id that is open in one process and arrives again at another: that would be a second copy of an
    unsafe request. Each process writes a row of its own: the highest slot used so far, then one cell per slot with
    the digest of an open request, or 0 if the slot is free. Limitation: open requests beyond SLOTS are not visible
    to the other processes.
    """

    SLOTS = 1023  # per process
    ROW_WIDTH = SLOTS + 1

    def __init__(
        self, values: MutableSequence[int] | memoryview[int], row: int, is_alive: Callable[[int], bool]
    ) -> None:
        self._values = values  # ROW_WIDTH per row
        self._row_start = row * self.ROW_WIDTH
        self._is_alive = is_alive  # of the process of a row; called only if the row seems to contain an id
        self._free_slots: list[int] = []
        self._slots_used = 0
        self.clear_row(row)

    @staticmethod
    def digest(request_id: bytes) -> int:
        """64 bits of a cryptographic hash, so that nobody can provoke a collision with another id; never 0."""
        return int.from_bytes(hashlib.blake2b(request_id, digest_size=8).digest(), "big", signed=True) or 1

    def clear_row(self, row: int) -> None:
        """Clear a row: its process is dead or just starting."""
        start = row * self.ROW_WIDTH
        for cell in range(start, start + self._values[start] + 1):
            self._values[cell] = 0

    def open(self, request_id: bytes) -> int:
        """Record an open request; returns its slot, or 0 if none is free."""
        if self._free_slots:
            slot = self._free_slots.pop()
        elif self._slots_used < self.SLOTS:
            self._slots_used += 1
            slot = self._slots_used
        else:
            return 0
        self._values[self._row_start + slot] = self.digest(request_id)
        self._values[self._row_start] = self._slots_used
        return slot

    def close(self, slot: int) -> None:
        """Free the slot of a finished request; 0 is allowed and does nothing."""
        if slot:
            self._values[self._row_start + slot] = 0
            self._free_slots.append(slot)

    def is_open_elsewhere(self, request_id: bytes) -> bool:
        """Whether another live process has an open request with this id."""
        values = self._values
        digest = 0
        for row_start in range(0, len(values), self.ROW_WIDTH):
            slots_used = values[row_start]
            if row_start == self._row_start or not 0 < slots_used <= self.SLOTS:
                continue
            digest = digest or self.digest(request_id)
            if digest in list(values[row_start + 1 : row_start + 1 + slots_used]) and self._is_alive(
                row_start // self.ROW_WIDTH
            ):
                return True
        return False


# ---- parsing -----------------------------------------------------------------------------


def _number(value: Any, field_name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise UnusableState(f"{field_name}: {value!r} is not a number")
    return float(value)


def _integer(value: Any, field_name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise UnusableState(f"{field_name}: {value!r} is not a whole number")
    return value


def _entries(value: Any, field_name: str, length: int) -> list[list[Any]]:
    if not isinstance(value, list) or len(value) > MAX_ENTRIES:
        raise UnusableState(f"{field_name}: not a list, or too long")
    for entry in value:
        if not isinstance(entry, list) or len(entry) != length:
            raise UnusableState(f"{field_name}: {entry!r} does not have {length} values")
    return value


def _object(value: Any, field_name: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise UnusableState(f"{field_name}: not an object")
    return value


def _versioned_object(value: Any) -> dict[str, Any]:
    state = _object(value, "form")
    if state.get("form") != FORMAT_VERSION:
        raise UnusableState(f"form: {state.get('form')!r} is not {FORMAT_VERSION}")
    return state


# ---- operator orders ----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class OperatorOrders:
    """The operators' orders that apply to the proxy, whichever process has received them."""

    version: int = 0
    evacuated: bool = False
    bans: tuple[tuple[str, ServerId, float], ...] = ()  # host, id, since
    ended_bans: tuple[tuple[ServerId, float, float], ...] = ()  # id, start and end of the ban

    def serialize(self) -> dict[str, Any]:
        """The orders as a JSON object."""
        return {
            "form": FORMAT_VERSION,
            "version": self.version,
            "evacuated": self.evacuated,
            "bans": [list(ban) for ban in self.bans],
            "returned": [list(span) for span in self.ended_bans],
        }


def parse_operator_orders(value: Any) -> OperatorOrders:
    """Parse serialized orders; raises UnusableState."""
    state = _versioned_object(value)
    evacuated = state.get("evacuated")
    if not isinstance(evacuated, bool):
        raise UnusableState("evacuated: not true or false")
    bans = []
    for host, server, since in _entries(state.get("bans"), "bans", 3):
        if not isinstance(host, str) or not host:
            raise UnusableState(f"bans: {host!r} is not a name")
        bans.append((host, _integer(server, "bans"), _number(since, "bans")))
    ended_bans = tuple(
        (_integer(server, "returned"), _number(since, "returned"), _number(ended, "returned"))
        for server, since, ended in _entries(state.get("returned"), "returned", 3)
    )
    return OperatorOrders(_integer(state.get("version"), "version"), evacuated, tuple(bans), ended_bans)


def apply_operator_orders(balancer: Balancer, now: float, orders: OperatorOrders) -> list[ServerId]:
    """Set and lift bans as ordered; returns the servers whose ban begins or ends."""
    bans = {server: since for _, server, since in orders.bans}
    changed = [server for server in (*balancer.bans, *bans) if (server in balancer.bans) is not (server in bans)]
    for server in changed:
        if server in bans:
            balancer.ban(now, server)
            balancer.bans[server] = min(now, bans[server])
        else:
            balancer.unban(now, server)
    for server, since, ended in orders.ended_bans:
        if server not in balancer.bans and server not in balancer.past_bans and server not in changed:
            balancer.past_bans[server] = (since, ended)
            balancer.apply_past_ban(now, server)
    return changed


# ---- learned state ------------------------------------------------------------------------


def _serialize_breaker(breaker: Breaker) -> dict[str, Any]:
    return {name: getattr(breaker, name) for name in BREAKER_FIELDS if getattr(breaker, name) > float("-inf")} | {
        "ring": [list(bucket) for bucket in breaker._buckets]
    }


def _parse_breaker(value: Any, field_name: str) -> dict[str, Any]:
    state = _object(value, field_name)
    values: dict[str, Any] = {name: _number(state[name], field_name) for name in BREAKER_FIELDS if name in state}
    ring = [
        [_number(number, field_name) for number in bucket] for bucket in _entries(state.get("ring"), field_name, 4)
    ]
    if len(ring) > BUCKETS or any(first[0] >= second[0] for first, second in pairwise(ring)):
        raise UnusableState(f"{field_name}: its buckets are out of order")
    return values | {"ring": ring}


def _restore_breaker(breaker: Breaker, values: Mapping[str, Any]) -> None:
    for name in BREAKER_FIELDS:
        if name in values:
            setattr(breaker, name, values[name])
    breaker._buckets = deque(values["ring"])
    breaker._requests = sum(bucket[1] for bucket in breaker._buckets)
    breaker._accepts = sum(bucket[2] for bucket in breaker._buckets)
    failing = 0
    for bucket in reversed(breaker._buckets):
        if bucket[2] or not bucket[3]:
            break
        failing += 1
    breaker._failing_buckets = failing


def serialize_learned_state(balancer: Balancer, now: float) -> dict[str, Any]:
    """What a balancer has learned, as a JSON object."""
    servers = [
        [
            server.row.server,
            server.row.started,
            {name: getattr(server, name) for name in SERVER_FIELDS},
            _serialize_breaker(server.breaker) if server.breaker is not None else None,
        ]
        for server in balancer.servers.values()
        if server.latency > 0.0 or server.breaker is not None or server.back
    ]
    state: dict[str, Any] = {"form": FORMAT_VERSION, "at": now, "servers": servers}
    state |= {name: getattr(balancer, name) for name in BALANCER_FIELDS}
    admission = balancer.admission
    if admission is not None:
        state["entry"] = {name: getattr(admission, name) for name in (*ADMISSION_FIELDS, *ADMISSION_LIST_FIELDS)} | {
            "breaker": _serialize_breaker(admission.breaker)
        }
    return state


def _parse_admission(value: Any, admission: AdmissionControl) -> dict[str, Any]:
    state = _object(value, "entry")
    values: dict[str, Any] = {name: _number(state.get(name), f"entry.{name}") for name in ADMISSION_FIELDS}
    for name in ADMISSION_LIST_FIELDS:
        numbers, current = state.get(name), getattr(admission, name)
        if not isinstance(numbers, list) or len(numbers) != len(current):
            raise UnusableState(f"entry.{name}: not {len(current)} numbers: classes or tenants have changed")
        values[name] = [_number(number, f"entry.{name}") for number in numbers]
    return values | {"breaker": _parse_breaker(state.get("breaker"), "entry.breaker")}


def adopt_learned_state(balancer: Balancer, now: float, value: Any) -> int:
    """Adopt what another process has learned about the servers that are still listed with the same start time.

    Returns the number of these servers; raises UnusableState before anything is changed.
    """
    state = _versioned_object(value)
    age = now - _number(state.get("at"), "at")
    if not -1.0 <= age <= MAX_LEARNED_AGE:
        raise UnusableState(f"at: the learned state is {age:.1f} s old")
    values = {name: _number(state.get(name), name) for name in BALANCER_FIELDS}
    restored: list[tuple[Server, dict[str, float], dict[str, Any] | None]] = []
    for number, started, figures_object, breaker in _entries(state.get("servers"), "servers", 4):
        _integer(number, "servers")
        figures_object = _object(figures_object, "servers")
        figures = {name: _number(figures_object.get(name), f"servers.{name}") for name in SERVER_FIELDS}
        breaker_values = None if breaker is None else _parse_breaker(breaker, "servers.breaker")
        server = balancer.servers.get(number)
        if server is not None and server.row.started == _number(started, "servers.started"):
            restored.append((server, figures, breaker_values))
    admission = balancer.admission
    admission_values = (
        _parse_admission(state["entry"], admission) if admission is not None and "entry" in state else None
    )
    for name, number in values.items():
        setattr(balancer, name, number)
    for server, figures, breaker_values in restored:
        for name, number in figures.items():
            setattr(server, name, number)
        if breaker_values is not None:
            server.breaker = Breaker()
            _restore_breaker(server.breaker, breaker_values)
        balancer.refresh_pools(now, server.row.server)
    if admission is not None and admission_values is not None:
        _restore_breaker(admission.breaker, admission_values.pop("breaker"))
        for name, restored_value in admission_values.items():
            setattr(admission, name, restored_value)
    return len(restored)
