"""What one process of a proxy leaves to the next: what to write down, and what to believe of what is found.

Sans-I/O. There are two forms, each a JSON object with its number in `form`:

- *standing*: what operators have ordered and must outlive a process: bans, lately ended bans, the drain. Versions
  grow; a reader takes the highest.
- *learned*: the list of backends and what was learned of them. Older than MAX_AGE only its list is believed.

A value that can't be read makes the whole form `Unusable`: nothing of it is taken, and the start goes on without.
Further subsystems add a key to a form; a reader ignores keys that it does not know.

Who serves is decided here too: each process has a `Row`, and yields to a newer one that serves. And `OpenIds` holds
which requests are open in any of them.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Callable, Iterable, Mapping, MutableSequence
from dataclasses import dataclass
from enum import IntEnum
from itertools import pairwise
from typing import Any

from weldroute.decide import BUCKETS, AdmissionControl, Balancer, Breaker, Server
from weldroute.model import ServerId

FORM = 1
MAX_AGE = 15.0  # seconds after which what was learned is of no use
MAX_ROWS = 100_000  # of any list in a form

BREAKER = ("baseline", "current", "k", "last_pass")
SERVER = ("latency", "seen", "cold_credit", "cold_seen", "back")
BALANCER = ("pooled", "usual", "rate", "rate_at", "retry_tokens", "copy_tokens")
ENTRY = ("sort_at", "filled", "aim", "pace", "recent", "paced_at", "since")
ENTRY_LISTS = ("asked", "served", "chance", "quota", "quota_at")


class Unusable(Exception):
    """A form that can't be believed; the text says why."""


class Stage(IntEnum):
    """How far a process is."""

    STARTING = 1
    SERVING = 2
    STOPPING = 3


@dataclass(frozen=True, slots=True)
class Row:
    """What one process tells the others of the same proxy."""

    generation: int  # grows with every start
    stage: Stage
    descriptors: int = 0  # in use
    bodies: int = 0  # bytes


def yields(me: int, others: Iterable[Row]) -> bool:
    """Whether the process of this generation leaves new connections to a newer one."""
    return any(row.generation > me and row.stage is Stage.SERVING for row in others)


def next_generation(rows: Iterable[Row]) -> int:
    """The generation of a process that starts beside these."""
    return 1 + max((row.generation for row in rows), default=0)


class OpenIds:
    """The ids of requests that are open in any process of a proxy.

    Guards against an id that is open in one process and comes again in another: it would be a second copy of an
    unsafe request. Each process writes a row of its own: how many places are in use at most, and a digest for each
    open request, 0 where a place is free. Harm: past PLACES open requests the further ones are not seen by others.
    """

    PLACES = 1023  # for each process
    WIDTH = PLACES + 1

    def __init__(
        self, values: MutableSequence[int] | memoryview[int], row: int, alive: Callable[[int], bool]
    ) -> None:
        self._values = values  # WIDTH for each row
        self._at = row * self.WIDTH
        self._alive = alive  # whether the process of a row is; asked only where a row seems to hold an id
        self._free: list[int] = []
        self._high = 0
        self.clear(row)

    @staticmethod
    def digest(name: bytes) -> int:
        """64 bits that nobody can aim at another's id; never 0."""
        return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "big", signed=True) or 1

    def clear(self, row: int) -> None:
        """Forget a row: its process is dead, or begins."""
        at = row * self.WIDTH
        for place in range(at, at + self._values[at] + 1):
            self._values[place] = 0

    def open(self, name: bytes) -> int:
        """A request with this id is open from here on; returns its place, or 0 where there is none."""
        if self._free:
            place = self._free.pop()
        elif self._high < self.PLACES:
            self._high += 1
            place = self._high
        else:
            return 0
        self._values[self._at + place] = self.digest(name)
        self._values[self._at] = self._high
        return place

    def close(self, place: int) -> None:
        """The request at a place is over."""
        if place:
            self._values[self._at + place] = 0
            self._free.append(place)

    def elsewhere(self, name: bytes) -> bool:
        """Whether another process that is alive has an open request with this id."""
        values = self._values
        digest = 0
        for at in range(0, len(values), self.WIDTH):
            high = values[at]
            if at == self._at or not 0 < high <= self.PLACES:
                continue
            digest = digest or self.digest(name)
            if digest in list(values[at + 1 : at + 1 + high]) and self._alive(at // self.WIDTH):
                return True
        return False


# ---- reading -----------------------------------------------------------------------------


def _number(value: Any, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or value != value:
        raise Unusable(f"{what}: {value!r} is not a number")
    return float(value)


def _whole(value: Any, what: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise Unusable(f"{what}: {value!r} is not a whole number")
    return value


def _rows(value: Any, what: str, width: int) -> list[list[Any]]:
    if not isinstance(value, list) or len(value) > MAX_ROWS:
        raise Unusable(f"{what}: not a list, or too long")
    for row in value:
        if not isinstance(row, list) or len(row) != width:
            raise Unusable(f"{what}: {row!r} has not {width} values")
    return value


def _object(value: Any, what: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise Unusable(f"{what}: not an object")
    return value


def _form(value: Any) -> dict[str, Any]:
    form = _object(value, "form")
    if form.get("form") != FORM:
        raise Unusable(f"form: {form.get('form')!r} is not {FORM}")
    return form


# ---- what operators ordered ---------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Standing:
    """The operators' orders that hold for the proxy, whichever process has heard them."""

    version: int = 0
    evacuated: bool = False
    bans: tuple[tuple[str, ServerId, float], ...] = ()  # host, id, since
    returned: tuple[tuple[ServerId, float, float], ...] = ()  # id, banned from, to

    def write(self) -> dict[str, Any]:
        """The form."""
        return {
            "form": FORM,
            "version": self.version,
            "evacuated": self.evacuated,
            "bans": [list(ban) for ban in self.bans],
            "returned": [list(span) for span in self.returned],
        }


def read_standing(value: Any) -> Standing:
    """The orders out of their form; raises Unusable."""
    form = _form(value)
    evacuated = form.get("evacuated")
    if not isinstance(evacuated, bool):
        raise Unusable("evacuated: not true or false")
    bans = []
    for host, server, since in _rows(form.get("bans"), "bans", 3):
        if not isinstance(host, str) or not host:
            raise Unusable(f"bans: {host!r} is not a name")
        bans.append((host, _whole(server, "bans"), _number(since, "bans")))
    returned = tuple(
        (_whole(server, "returned"), _number(since, "returned"), _number(back, "returned"))
        for server, since, back in _rows(form.get("returned"), "returned", 3)
    )
    return Standing(_whole(form.get("version"), "version"), evacuated, tuple(bans), returned)


def apply_standing(balancer: Balancer, now: float, wanted: Standing) -> list[ServerId]:
    """Bring the bans to what is ordered; returns the servers whose ban begins or ends."""
    bans = {server: since for _, server, since in wanted.bans}
    changed = [server for server in (*balancer.bans, *bans) if (server in balancer.bans) is not (server in bans)]
    for server in changed:
        if server in bans:
            balancer.ban(now, server)
            balancer.bans[server] = min(now, bans[server])
        else:
            balancer.unban(now, server)
    for server, since, back in wanted.returned:
        if server not in balancer.bans and server not in balancer.past_bans and server not in changed:
            balancer.past_bans[server] = (since, back)
            balancer.apply_past_ban(now, server)
    return changed


# ---- what was learned ---------------------------------------------------------------------


def _write_breaker(breaker: Breaker) -> dict[str, Any]:
    return {name: getattr(breaker, name) for name in BREAKER if getattr(breaker, name) > float("-inf")} | {
        "ring": [list(bucket) for bucket in breaker._buckets]
    }


def _read_breaker(value: Any, what: str) -> dict[str, Any]:
    form = _object(value, what)
    values: dict[str, Any] = {name: _number(form[name], what) for name in BREAKER if name in form}
    ring = [[_number(v, what) for v in bucket] for bucket in _rows(form.get("ring"), what, 4)]
    if len(ring) > BUCKETS or any(a[0] >= b[0] for a, b in pairwise(ring)):
        raise Unusable(f"{what}: its window is out of order")
    return values | {"ring": ring}


def _fill_breaker(breaker: Breaker, values: Mapping[str, Any]) -> None:
    for name in BREAKER:
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


def write_learned(balancer: Balancer, now: float) -> dict[str, Any]:
    """What a balancer has learned."""
    servers = [
        [
            server.row.server,
            server.row.started,
            {name: getattr(server, name) for name in SERVER},
            _write_breaker(server.breaker) if server.breaker is not None else None,
        ]
        for server in balancer.servers.values()
        if server.latency > 0.0 or server.breaker is not None or server.back
    ]
    form: dict[str, Any] = {"form": FORM, "at": now, "servers": servers}
    form |= {name: getattr(balancer, name) for name in BALANCER}
    entry = balancer.admission
    if entry is not None:
        form["entry"] = {name: getattr(entry, name) for name in (*ENTRY, *ENTRY_LISTS)} | {
            "breaker": _write_breaker(entry.breaker)
        }
    return form


def _read_entry(value: Any, entry: AdmissionControl) -> dict[str, Any]:
    form = _object(value, "entry")
    values: dict[str, Any] = {name: _number(form.get(name), f"entry.{name}") for name in ENTRY}
    for name in ENTRY_LISTS:
        numbers, have = form.get(name), getattr(entry, name)
        if not isinstance(numbers, list) or len(numbers) != len(have):
            raise Unusable(f"entry.{name}: not {len(have)} numbers: classes or tenants have changed")
        values[name] = [_number(v, f"entry.{name}") for v in numbers]
    return values | {"breaker": _read_breaker(form.get("breaker"), "entry.breaker")}


def adopt_learned(balancer: Balancer, now: float, value: Any) -> int:
    """Take over what another process has learned, of servers that the list still names with the same start.

    Returns how many servers it is known of; raises Unusable before anything is changed.
    """
    form = _form(value)
    age = now - _number(form.get("at"), "at")
    if not -1.0 <= age <= MAX_AGE:
        raise Unusable(f"at: what was learned is {age:.1f} s old")
    values = {name: _number(form.get(name), name) for name in BALANCER}
    read: list[tuple[Server, dict[str, float], dict[str, Any] | None]] = []
    for number, started, about, breaker in _rows(form.get("servers"), "servers", 4):
        _whole(number, "servers")
        about = _object(about, "servers")
        figures = {name: _number(about.get(name), f"servers.{name}") for name in SERVER}
        window = None if breaker is None else _read_breaker(breaker, "servers.breaker")
        server = balancer.servers.get(number)
        if server is not None and server.row.started == _number(started, "servers.started"):
            read.append((server, figures, window))
    entry = balancer.admission
    door = _read_entry(form["entry"], entry) if entry is not None and "entry" in form else None
    for name, number in values.items():
        setattr(balancer, name, number)
    for server, figures, window in read:
        for name, number in figures.items():
            setattr(server, name, number)
        if window is not None:
            server.breaker = Breaker()
            _fill_breaker(server.breaker, window)
    if entry is not None and door is not None:
        _fill_breaker(entry.breaker, door.pop("breaker"))
        for name, found in door.items():
            setattr(entry, name, found)
    return len(read)
