"""Stored records of a process's state, and how much of them its next process may use. Sans I/O, no clock.

A *record* is one serialized state of `weldroute.handover` (or of the fleet) in an envelope: its kind, its owner, the
fleet's epoch, a serial number, and the time of writing by two clocks: Unix time, and seconds since boot together with
the boot's id. The second gives the age as long as the machine has not booted since; no set clock can change it.

`assess` decides what is trusted. Order matters: the first row that applies is the verdict.

| found                                             | verdict                | what is used                         |
| ------------------------------------------------- | ---------------------- | ------------------------------------ |
| nothing, or no intact copy                        | NOTHING "nothing"      | nothing                              |
| a format version above ours                       | NEWER "newer"          | nothing, and it is not overwritten   |
| another instance's or another fleet's record      | FOREIGN "foreign"      | nothing                              |
| an epoch above the fleet's current one            | AHEAD "ahead"          | orders only: a supervisor lost state |
| a time of writing after now: a clock was set back | UNDATED "undated"      | orders, and the list with unknown age |
| older than `list_for`                             | OLD "old"              | orders only                          |
| older than what other instances are known to have | SUPERSEDED "overtaken" | orders, unless newer ones are known  |
| older than `learned_for`                          | AGED "aged"            | orders and the list                  |
| else                                              | FRESH "fresh"          | all                                  |

Operator orders (bans, the drain) are never dropped for their age: only operators take them back, or a newer version.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

FORMAT_VERSION = 1  # of the envelope
CLOCK_TOLERANCE = 2.0  # seconds by which two clock readings may differ


class InvalidRecord(Exception):
    """An envelope that can't be read; the text says why."""


class Trust(Enum):
    """Verdict on a record; see the module's table."""

    NOTHING = "nothing"
    NEWER = "newer"
    FOREIGN = "foreign"
    AHEAD = "ahead"
    UNDATED = "undated"
    OLD = "old"
    SUPERSEDED = "overtaken"
    AGED = "aged"
    FRESH = "fresh"


#: Kinds of state that each verdict allows a process to use: operator orders, the list, learned state.
USABLE_PARTS: Mapping[Trust, frozenset[str]] = {
    Trust.NOTHING: frozenset(),
    Trust.NEWER: frozenset(),
    Trust.FOREIGN: frozenset(),
    Trust.AHEAD: frozenset({"standing"}),
    Trust.UNDATED: frozenset({"standing", "list"}),
    Trust.OLD: frozenset({"standing"}),
    Trust.SUPERSEDED: frozenset({"standing"}),
    Trust.AGED: frozenset({"standing", "list"}),
    Trust.FRESH: frozenset({"standing", "list", "learned"}),
}


@dataclass(frozen=True, slots=True)
class ClockReading:
    """One instant by both clocks; seconds."""

    unix: float
    boot: str  # id of this boot of the machine
    since_boot: float  # of a clock that goes on while the machine sleeps, and that can't be set


@dataclass(frozen=True, slots=True)
class Owner:
    """Instance that a record belongs to."""

    fleet: str
    instance: str
    epoch: int  # of the fleet: grows with each start of its supervisor


@dataclass(frozen=True, slots=True)
class Record:
    """One serialized state and its envelope."""

    kind: str
    serial: int  # grows with each record of this kind
    owner: Owner
    written_at: ClockReading
    body: Any
    format_version: int = FORMAT_VERSION

    def to_dict(self) -> dict[str, Any]:
        """The record as plain values, for `read_record`."""
        return {
            "form": self.format_version,
            "kind": self.kind,
            "serial": self.serial,
            "fleet": self.owner.fleet,
            "instance": self.owner.instance,
            "epoch": self.owner.epoch,
            "unix": self.written_at.unix,
            "boot": self.written_at.boot,
            "since_boot": self.written_at.since_boot,
            "body": self.body,
        }


def _as_float(value: Any, name: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise InvalidRecord(f"{name}: {value!r} is not a finite number")
    return float(value)


def _as_count(value: Any, name: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidRecord(f"{name}: {value!r} is not a whole number of 0 or more")
    return value


def _as_string(value: Any, name: str) -> str:
    if not isinstance(value, str):
        raise InvalidRecord(f"{name}: {value!r} is not a string")
    return value


def read_record(value: Any) -> Record:
    """Read a record from plain values; of a newer format only the version is read. Raises InvalidRecord."""
    if not isinstance(value, dict):
        raise InvalidRecord("not an object")
    format_version = _as_count(value.get("form"), "form")
    if format_version > FORMAT_VERSION:
        return Record("", 0, Owner("", "", 0), ClockReading(0.0, "", 0.0), None, format_version)
    return Record(
        _as_string(value.get("kind"), "kind"),
        _as_count(value.get("serial"), "serial"),
        Owner(
            _as_string(value.get("fleet"), "fleet"),
            _as_string(value.get("instance"), "instance"),
            _as_count(value.get("epoch"), "epoch"),
        ),
        ClockReading(
            _as_float(value.get("unix"), "unix"),
            _as_string(value.get("boot"), "boot"),
            _as_float(value.get("since_boot"), "since_boot"),
        ),
        value.get("body"),
        format_version,
    )


def age(record: Record, now: ClockReading) -> float | None:
    """Seconds since a record was written; None if neither clock gives its age."""
    same_boot = record.written_at.boot == now.boot
    passed = now.since_boot - record.written_at.since_boot if same_boot else now.unix - record.written_at.unix
    return max(0.0, passed) if passed >= -CLOCK_TOLERANCE else None


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """How long stored state may be used; seconds."""

    list_for: float = 120.0
    learned_for: float = 15.0

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        for name in ("list_for", "learned_for"):
            value = getattr(self, name)
            if not math.isfinite(value) or value < 0.0:
                raise ValueError(f"{name}: {value!r} is not a number of 0 or more")
        if self.learned_for > self.list_for:
            raise ValueError("learned_for: above list_for")


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """The latest versions of an instance's state that the rest of the fleet knows of."""

    list_seq: int = 0  # the highest version of the list that any instance had
    standing: int = 0  # the version of this instance's operator orders


def assess(
    record: Record | None, owner: Owner, now: ClockReading, limits: AgeLimits, known: KnownVersions
) -> tuple[Trust, str]:
    """How far to trust a record, and the reason for the log."""
    if record is None:
        return Trust.NOTHING, "nothing is stored"
    if record.format_version > FORMAT_VERSION:
        return Trust.NEWER, f"format version {record.format_version}; the newest readable here is {FORMAT_VERSION}"
    stored_by = record.owner
    if (stored_by.fleet, stored_by.instance) != (owner.fleet, owner.instance):
        return Trust.FOREIGN, f"belongs to {stored_by.fleet}/{stored_by.instance}"
    if stored_by.epoch > owner.epoch:
        return Trust.AHEAD, f"of epoch {stored_by.epoch}, but the fleet is in {owner.epoch}"
    passed = age(record, now)
    if passed is None:
        return Trust.UNDATED, "written later than now: a clock was set back"
    if passed > limits.list_for:
        return Trust.OLD, f"{passed:.1f} s old"
    if _is_superseded(record, known):
        return Trust.SUPERSEDED, "the fleet knows of a newer version"
    if passed > limits.learned_for:
        return Trust.AGED, f"{passed:.1f} s old"
    return Trust.FRESH, f"{passed:.1f} s old"


def _is_superseded(record: Record, known: KnownVersions) -> bool:
    body = record.body if isinstance(record.body, dict) else {}
    if record.kind == "list":
        seq = body.get("seq")
        return isinstance(seq, int) and seq < known.list_seq
    if record.kind == "standing":
        version = body.get("version")
        return isinstance(version, int) and version < known.standing
    return False


def newest_copy(copies: list[Record | None]) -> Record | None:
    """The copy to use of those that are intact: the newest format version first, then the highest serial."""
    return max(
        (copy for copy in copies if copy is not None),
        key=lambda copy: (copy.format_version, copy.serial),
        default=None,
    )
