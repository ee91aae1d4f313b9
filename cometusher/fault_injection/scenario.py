"""Fault injection scenarios: reads and validates a scenario file, and derives its fault schedule from the seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random

from cometusher.toml_reader import Table, read_file

#: Each action, and what it is applied to.
ACTION_TARGETS = {
    "kill": "instances",
    "stop": "instances",
    "continue": "instances",
    "lose": "fleets",
    "kill-supervisor": "fleets",
    "start": "fleets",
    "lose-store": "fleets",
    "damage-store": "fleets",
    "copy-store": "fleets",
    "put-back-store": "fleets",
    "clock-back": "fleets",
    "clock-forth": "fleets",
    "replace-backends": "backends",
    "slow-backends": "backends",
    "ban": "backends",
    "unban": "backends",
    "discovery-away": "discovery",
    "discovery-back": "discovery",
    "discovery-empty": "discovery",
    "discovery-older": "discovery",
    "load": "load",
    "link": "links",
}
LINKS = ("caller", "backend", "discovery", "control")
OWN_LINKS = ("own", "own-discovery")  # links of isolated instances alone: to backends, to discovery
LINK_FAULTS = ("pass", "drop", "mute", "reset", "refuse", "half", "slow", "narrow", "cut", "repeat")
FIGURES = (
    "full_s",
    "back_s",
    "first_s",
    "sent",
    "served",
    "refused",
    "failed",
    "lost",
    "unreachable",
    "unserved",
    "peak",
    "calls",
    "stale",
    "twice",
    "wrong",
    "cold",
    "p99_s",
    "events",
    "second",
    "inherited",
    "orphaned",
    "replaced",
    "aside",
)


@dataclass(frozen=True, slots=True)
class ScenarioFleet:
    """One supervisor and its instances."""

    name: str
    tier: int
    instances: int
    recovery: bool
    takeover: bool
    failure_detector: bool = False
    isolated_count: int = 0  # number of instances, from the first, that have links of their own


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a scenario: an action, its targets and its time."""

    time: float  # seconds after the calm period
    time_spread: float  # seconds; the largest delay after that, drawn from the seed
    action: str
    fleet: str  # a fleet's name; empty: all
    share: float  # part of the targets that the action is applied to
    duration: float  # seconds until it is undone; 0: never
    link: str
    link_fault: str
    direction: str
    value: float  # of the link fault, the work (seconds), the rate (requests/s) or the clock (seconds)


@dataclass(frozen=True, slots=True)
class Expectation:
    """The range in which a figure of the results must lie."""

    figure: str
    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario file."""

    name: str
    seed: int
    calm: float  # seconds before the first fault
    seconds: float  # after the calm period
    fleets: tuple[ScenarioFleet, ...]
    backends: int
    work: float  # seconds of work of a request
    max_work: float  # seconds; above 0, the work of each request is drawn between `work` and this
    rate: float  # requests a second, over all fleets
    strict: bool  # callers send all classes of request, and repeat none
    links: tuple[str, ...]  # the links that faults apply to; only these go through a relay
    faults: tuple[Fault, ...]
    expectations: tuple[Expectation, ...]


@dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault at its drawn time, with the seed of its own random choices."""

    time: float
    fault: Fault
    seed: int
    undo: bool = False


def schedule(scenario: Scenario) -> list[ScheduledFault]:
    """The faults in order of time, and the undoing of those that have a duration; depends on the seed alone."""
    rng = Random(scenario.seed)
    events = []
    for fault in scenario.faults:
        time, seed = fault.time + fault.time_spread * rng.random(), rng.getrandbits(32)
        events.append(ScheduledFault(time, fault, seed))
        if fault.duration > 0.0:
            events.append(ScheduledFault(time + fault.duration, fault, seed, undo=True))
    return sorted(events, key=lambda event: event.time)


def pick_targets(event: ScheduledFault, names: Sequence[str]) -> list[str]:
    """The names that an event is applied to; at least one, the same for the same event."""
    count = max(1, round(event.fault.share * len(names)))
    return Random(event.seed).sample(list(names), min(count, len(names)))


def _read_fleet(table: Table) -> ScenarioFleet:
    fleet = ScenarioFleet(
        table.text("name"),
        table.integer("tier", 0, 0, 2),
        table.integer("instances", 8, 1, 200),
        table.choice("comeback", "on", ("on", "off")) == "on",
        table.choice("takeover", "off", ("on", "off")) == "on",
        table.choice("vigil", "off", ("on", "off")) == "on",
        table.integer("own", 0, 0, 20),
    )
    table.reject_unknown_keys()
    return fleet


def _read_fault(table: Table, fleets: Sequence[ScenarioFleet]) -> Fault:
    action = table.choice("do", None, tuple(ACTION_TARGETS))
    fleet = table.text("fleet", "") if table.has("fleet") else ""
    if fleet and fleet not in [candidate.name for candidate in fleets]:
        raise table.error("fleet", f"{fleet!r} is not one of the fleets")
    link = table.choice("link", "", LINKS + OWN_LINKS) if table.has("link") else ""
    if link in OWN_LINKS and not any(candidate.isolated_count for candidate in fleets):
        raise table.error("link", f"{link!r} needs a fleet with `own` above 0")
    if (action == "link") is not bool(link):
        raise table.error("link", 'required with `do = "link"`, and allowed only there')
    fault = Fault(
        time=table.number("at", 0.0, 0.0, 3600.0),
        time_spread=table.number("about", 0.0, 0.0, 3600.0),
        action=action,
        fleet=fleet,
        share=table.number("share", 1.0, 0.0, 1.0),
        duration=table.number("lasts", 0.0, 0.0, 3600.0),
        link=link,
        link_fault=table.choice("mood", "pass", LINK_FAULTS),
        direction=table.choice("way", "down", ("up", "down")),
        value=table.number("value", 0.0),
    )
    table.reject_unknown_keys()
    return fault


def _read_expect(table: Table) -> Expectation:
    figure = table.choice("figure", None, FIGURES)
    expect = Expectation(figure, table.number("least", -1.0, -1.0), table.number("most", 1e9))
    table.reject_unknown_keys()
    return expect


def read_scenario(path: Path) -> Scenario:
    """Read a scenario file; raises ConfigError naming file, line and key."""
    return build_scenario(path, read_file(path))


def build_scenario(path: Path, root: Table) -> Scenario:
    """Build a scenario from the values of its file; raises ConfigError naming file, line and key."""
    drill = root.table("drill")
    name, seed = drill.text("name", path.stem), drill.integer("seed", 1)
    calm, seconds = drill.number("calm", 4.0, 0.5, 600.0), drill.number("seconds", 8.0, 0.5, 3600.0)
    drill.reject_unknown_keys()
    fleets = tuple(_read_fleet(table) for table in root.tables("fleet"))
    if not fleets:
        raise root.error("fleet", "at least one is required")
    if len({fleet.name for fleet in fleets}) < len(fleets):
        raise root.error("fleet", "a name is used twice")
    table = root.table("backends")
    backends, work = table.integer("count", 16, 1, 500), table.number("work", 0.03, 0.0, 60.0)
    max_work = table.number("longest", 0.0, 0.0, 60.0)
    table.reject_unknown_keys()
    table = root.table("load")
    rate = table.number("rate", 100.0, 0.1, 5000.0)
    strict = table.choice("callers", "mend", ("mend", "strict")) == "strict"
    table.reject_unknown_keys()
    faults = tuple(_read_fault(table, fleets) for table in root.tables("fault"))
    expectations = tuple(_read_expect(table) for table in root.tables("expect"))
    root.reject_unknown_keys()
    links = tuple(link for link in LINKS if any(fault.link == link for fault in faults))
    return Scenario(
        name, seed, calm, seconds, fleets, backends, work, max_work, rate, strict, links, faults, expectations
    )
