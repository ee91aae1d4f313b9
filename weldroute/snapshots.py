"""What a store keeps of a process, and what its next process may believe of it. Sans I/O, without clocks.

A *record* is one form of `weldroute.handover` (or the fleet's own) in an envelope: which kind of form, whose, in
which epoch of the fleet, the how manieth, and when by two clocks: Unix time, and seconds since boot together with the
boot's name. The second tells the age as long as the machine has not booted since: no set clock can change it then.

`judge` says what is believed. Order matters: the first that applies is the verdict.

| found                                                  | verdict     | what is taken of it                       |
| ------------------------------------------------------ | ----------- | ----------------------------------------- |
| nothing, or neither copy whole                         | nothing     | nothing                                   |
| a form number above ours                               | newer       | nothing, and nothing is written over it   |
| another instance's or another fleet's                  | foreign     | nothing                                   |
| an epoch above the one that the fleet is in            | ahead       | orders only: a supervisor lost its state  |
| written later than now by a clock that was set back    | undated     | orders, and the list as of unknown age    |
| older than `list_for`                                  | old         | orders only                               |
| older than what others of the fleet are known to have  | overtaken   | orders, unless newer ones are at hand     |
| older than `learned_for`                               | aged        | orders and the list                       |
| else                                                   | fresh       | all                                       |

Orders (bans, the drain) are never dropped for their age: only operators take them back, or a newer version.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

FORMAT_VERSION = 1  # of the envelope
CLOCK_TOLERANCE = 2.0  # seconds by which two readings of clocks may differ


class InvalidRecord(Exception):
    """An envelope that can't be read; the text says why."""


class Trust(Enum):
    """See the table of the module."""

    NOTHING = "nothing"
    NEWER = "newer"
    FOREIGN = "foreign"
    AHEAD = "ahead"
    UNDATED = "undated"
    OLD = "old"
    SUPERSEDED = "overtaken"
    AGED = "aged"
    FRESH = "fresh"


#: What each verdict lets a process take: orders of operators, the list, what was learned.
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
    """Now, by both clocks; seconds."""

    unix: float
    boot: str  # names this boot of the machine
    since_boot: float  # of a clock that goes on while the machine sleeps, and that nobody can set


@dataclass(frozen=True, slots=True)
class Owner:
    """Whose records these are."""

    fleet: str
    instance: str
    epoch: int  # of the fleet: grows with each start of its supervisor


@dataclass(frozen=True, slots=True)
class Record:
    """One form and its envelope."""

    kind: str
    serial: int  # grows with each writing of this kind
    owner: Owner
    written_at: ClockReading
    body: Any
    format_version: int = FORMAT_VERSION

    def to_dict(self) -> dict[str, Any]:
        """As plain values."""
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


def _real(value: Any, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise InvalidRecord(f"{what}: {value!r} is not a number")
    return float(value)


def _count(value: Any, what: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidRecord(f"{what}: {value!r} is not a whole number")
    return value


def _text(value: Any, what: str) -> str:
    if not isinstance(value, str):
        raise InvalidRecord(f"{what}: {value!r} is not a text")
    return value


def read_record(value: Any) -> Record:
    """A record out of plain values; raises Damaged. Of one of a newer form only the number is read."""
    if not isinstance(value, dict):
        raise InvalidRecord("not an object")
    form = _count(value.get("form"), "form")
    if form > FORMAT_VERSION:
        return Record("", 0, Owner("", "", 0), ClockReading(0.0, "", 0.0), None, form)
    return Record(
        _text(value.get("kind"), "kind"),
        _count(value.get("serial"), "serial"),
        Owner(
            _text(value.get("fleet"), "fleet"),
            _text(value.get("instance"), "instance"),
            _count(value.get("epoch"), "epoch"),
        ),
        ClockReading(
            _real(value.get("unix"), "unix"),
            _text(value.get("boot"), "boot"),
            _real(value.get("since_boot"), "since_boot"),
        ),
        value.get("body"),
        form,
    )


def age(record: Record, now: ClockReading) -> float | None:
    """Seconds since a record was written; None where no clock can tell."""
    same_boot = record.written_at.boot == now.boot
    passed = now.since_boot - record.written_at.since_boot if same_boot else now.unix - record.written_at.unix
    return max(0.0, passed) if passed >= -CLOCK_TOLERANCE else None


@dataclass(frozen=True, slots=True)
class AgeLimits:
    """How long what is remembered may be used; seconds."""

    list_for: float = 120.0
    learned_for: float = 15.0

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        for name in ("list_for", "learned_for"):
            value = getattr(self, name)
            if not math.isfinite(value) or value < 0.0:
                raise ValueError(f"{name}: {value!r} is not a number of 0 or more")
        if self.learned_for > self.list_for:
            raise ValueError("learned_for: above list_for")


@dataclass(frozen=True, slots=True)
class KnownVersions:
    """What the fleet knows of an instance's records without that instance: the versions that were told last."""

    list_seq: int = 0  # the highest version of the list that any instance had
    standing: int = 0  # the version of this instance's orders


def assess(
    record: Record | None, owner: Owner, now: ClockReading, limits: AgeLimits, known: KnownVersions
) -> tuple[Trust, str]:
    """What to believe of a record, and why, for the log."""
    if record is None:
        return Trust.NOTHING, "nothing is kept"
    if record.format_version > FORMAT_VERSION:
        return Trust.NEWER, f"form {record.format_version}, and {FORMAT_VERSION} is the newest that is read here"
    theirs = record.owner
    if (theirs.fleet, theirs.instance) != (owner.fleet, owner.instance):
        return Trust.FOREIGN, f"of {theirs.fleet}/{theirs.instance}"
    if theirs.epoch > owner.epoch:
        return Trust.AHEAD, f"of epoch {theirs.epoch}, and the fleet is in {owner.epoch}"
    passed = age(record, now)
    if passed is None:
        return Trust.UNDATED, "written later than now: a clock was set back"
    if passed > limits.list_for:
        return Trust.OLD, f"{passed:.1f} s old"
    if _overtaken(record, known):
        return Trust.SUPERSEDED, "the fleet knows of a newer one"
    if passed > limits.learned_for:
        return Trust.AGED, f"{passed:.1f} s old"
    return Trust.FRESH, f"{passed:.1f} s old"


def _overtaken(record: Record, known: KnownVersions) -> bool:
    body = record.body if isinstance(record.body, dict) else {}
    if record.kind == "list":
        seq = body.get("seq")
        return isinstance(seq, int) and seq < known.list_seq
    if record.kind == "standing":
        version = body.get("version")
        return isinstance(version, int) and version < known.standing
    return False


def newest_copy(copies: list[Record | None]) -> Record | None:
    """Of the copies that are whole, the one to believe: a newer form first, then the highest serial."""
    return max((c for c in copies if c is not None), key=lambda c: (c.format_version, c.serial), default=None)
