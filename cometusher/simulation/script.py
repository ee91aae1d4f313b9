"""The simulation's script language: a world, its requests and its faults, as text that can be edited and replayed.

A script has one statement a line; `#` starts a comment. Everything that a seed draws is written in full, so that a
script keeps its meaning when the drawing changes:

    world zone seed 17 seconds 6.0
    shape zones 2 tiers 1 proxies 1 backends 2
    link latency 0.002 jitter 0.5 bandwidth 10000000 cut 0.5 lazy 0.001
    limits sockets 192 copies 1 cancel 1 shared 0
    request 1 at 0.412 view zone 0 budget 1.5 want 200
    fault at 2.150 kill proxy/0 for 1.3
    fault at 2.150 slow backend/1 for 2 by 8

Faults with the same time start in the order of their lines. `for` is the duration in seconds, `by` an amount whose
meaning depends on the fault (see FAULT_KINDS). Faults that still last at the end of the plan are ended then.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from random import Random
from typing import Any

from cometusher.config import ConfigError

REQUEST_CLASSES = ("view", "submit", "pay")


@dataclass(frozen=True)
class PlannedRequest:
    """One planned request; times in seconds, sizes in bytes.

    `leaves` is the time until its caller disconnects, `slow` the time that writing the request takes.
    """

    number: int
    at: float
    kind: str
    zone: int = 0
    budget: float = 1.5
    want: int = 0
    body: int = 0
    leaves: float = 0.0
    slow: float = 0.0
    dawdle: float = 0.0  # seconds for which the caller pauses reading a long answer
    again: int = 1  # number of retries after a refusal


@dataclass(frozen=True)
class Fault:
    """One planned fault: when, its kind, its target, for how long and how much."""

    at: float
    what: str
    whom: str  # proxy/0, backend/3, discovery/0
    seconds: float = 0.0
    by: float = 0.0


@dataclass(frozen=True)
class Plan:
    """A world with its requests and faults: everything that determines a run."""

    world: str = "one"
    seed: int = 0
    seconds: float = 6.0
    zones: int = 1
    tiers: int = 1
    proxies: int = 1  # of the first tier, in each zone
    backends: int = 3  # of each tier, in each zone
    latency: float = 0.002
    jitter: float = 0.5
    bandwidth: float = 1e7
    cut: float = 0.5
    sockets: int = 96
    copies: int = 1  # whether a second copy of a request may be sent
    cancel: int = 1  # whether an attempt may be abandoned early
    keeps: int = 0  # whether proxies store state and recover it after a restart, as under a supervisor
    covers: int = 0  # whether in-flight requests of killed proxies of the first tier are taken over
    shared: int = 0  # whether the platform holds the listeners, and processes of one proxy share a folder
    lazy: float = 0.0  # seconds that a program may take to read what has arrived
    requests: tuple[PlannedRequest, ...] = ()
    faults: tuple[Fault, ...] = ()


#: By kind of fault: its possible targets, and a function that draws `by` (None if `by` has no meaning).
FAULT_KINDS: dict[str, tuple[tuple[str, ...], Callable[[Random], float] | None]] = {
    "kill": (("proxy", "backend", "discovery"), None),  # and restarted after `for`
    "pause": (("proxy", "backend", "discovery"), None),
    "silent": (("proxy", "backend"), None),
    "cut": (
        ("proxy", "backend"),
        lambda rng: float(rng.randrange(4)),
    ),  # partitioned from the by-th machine of the other kind
    "lag": (("proxy", "backend"), lambda rng: round(rng.uniform(0.005, 0.08), 3)),
    "narrow": (("proxy", "backend"), lambda rng: round(rng.uniform(2e4, 2e5))),
    "slow": (("backend",), lambda rng: round(rng.uniform(2.0, 30.0), 1)),
    "stall": (("backend",), None),
    "spoil": (("backend",), None),
    "double": (
        ("backend",),
        lambda rng: rng.choice((0.0, round(rng.uniform(0.001, 0.04), 3))),
    ),  # each response is sent once more, after `by` seconds
    "reset": (("backend",), None),
    "error": (("backend",), None),
    "hasty": (
        ("backend",),
        lambda rng: round(rng.uniform(0.02, 0.4), 3),
    ),  # closes idle connections after `by` seconds
    "leave": (("backend",), None),  # drains, exits, and is restarted after `for`
    "stale": (("discovery",), None),  # sends no changes
    "reorder": (("discovery",), None),  # sends the older list after the newer one
    "garble": (("discovery",), None),
    "reload": (("proxy",), None),  # SIGHUP, with the other discovery service
    "drain": (("proxy",), None),  # SIGTERM, and restarted `for` seconds after its exit
    "ban": (("proxy",), lambda rng: float(rng.randrange(8))),  # operators ban the by-th backend during `for`
    "evacuate": (("proxy",), None),  # operators evacuate it, and let it rejoin after `for`
    "upgrade": (("proxy",), lambda rng: float(rng.choice((0, 0, 0, 1, 2, 3, 4)))),  # see UPGRADE_TROUBLES
    "famine": (("proxy",), lambda rng: float(rng.randint(4, 40))),  # number of free descriptors that are left
    "coarse": (("proxy",), lambda rng: round(rng.uniform(0.005, 0.05), 3)),
    "step": (
        ("proxy",),
        lambda rng: round(rng.uniform(-3600.0, 3600.0), 1),
    ),  # the wall clock steps by this many seconds
    "crowd": (("proxy",), lambda rng: float(rng.randint(10, 120))),  # idle connections
    "halves": (("proxy",), lambda rng: float(rng.randint(5, 60))),  # connections with half a request
    "twins": (("proxy",), lambda rng: float(rng.randint(1, 8))),  # other clients use the ids of `by` open requests
    "blow": (("proxy",), lambda rng: round(rng.uniform(0.3, 1.0), 2)),  # kills this part of the first tier at once
    "forget": (("proxy",), None),  # killed, and its stored state is lost
    "rollback": (("proxy",), None),  # killed, and its stored state is that of half of the fault's time
    "burst": (
        ("proxy",),
        lambda rng: float(rng.randint(20, 60)),
    ),  # a burst of requests, which have statements of their own
}
RESTART_FAULTS = ("blow", "forget", "rollback")  # drawn separately, so that the plans of older seeds stay the same
INSTANT_FAULTS = ("reload", "step", "burst", "upgrade", "twins")
LONG_SIZES = (100_000, 300_000, 900_000)  # bytes of long messages
LONG_THRESHOLD = 64 * 1024  # bytes; longer messages are streamed: they may outlast the deadline while data arrives
LONG_SHARE = 0.04  # share of requests with long messages
#: What goes wrong during an upgrade, by the fault's `by`.
UPGRADE_TROUBLES = (
    "nothing",
    "what was learned is torn",
    "the new process dies",
    "the old process dies",
    "a second one follows",
)


def world_shape(world: str, rng: Random) -> dict[str, Any]:
    """The sizes of a named kind of world; raises KeyError if it is unknown."""
    return {
        "one": {"backends": rng.randint(2, 4)},
        "zone": {"zones": 2, "backends": rng.randint(1, 3)},
        "fleet": {"zones": 2, "proxies": 2, "backends": rng.randint(2, 4)},
        "tiers": {"tiers": 2, "zones": 1, "backends": 2},
    }[world]


WORLDS = ("one", "zone", "fleet", "tiers")


def target_counts(plan: Plan) -> dict[str, int]:
    """The number of targets of each kind that a fault can name."""
    backends = plan.zones * plan.backends
    return {
        "proxy": plan.zones * plan.proxies + (plan.tiers - 1) * backends,
        "backend": backends * plan.tiers,
        "discovery": plan.tiers,
    }


def draw_plan(seed: int, world: str = "any") -> Plan:
    """Draw the plan of a seed; raises KeyError if the kind of world is unknown."""
    rng = Random(f"fenneldeal {world} {seed}")
    name = rng.choice(WORLDS) if world == "any" else world
    plan = Plan(
        world=name,
        seed=seed,
        seconds=round(rng.uniform(4.0, 8.0), 1),
        latency=round(rng.uniform(0.0002, 0.008), 4),
        jitter=round(rng.uniform(0.0, 2.0), 2),
        cut=rng.choice((0.0, 0.3, 0.6)),
        bandwidth=float(rng.choice((1e6, 1e7, 1e9))),
        sockets=rng.choice((192, 256)),
        copies=int(rng.random() < 0.7),
        cancel=int(rng.random() < 0.8),
        lazy=rng.choice((0.0, 0.001, 0.004)),
        **world_shape(name, rng),
    )
    plan = replace(plan, shared=int(rng.random() < 0.3))
    plan = replace(plan, faults=tuple(sorted(_draw_faults(rng, plan), key=lambda fault: fault.at)))
    if any(fault.what == "upgrade" for fault in plan.faults):
        plan = replace(plan, shared=1)
    plan = replace(plan, requests=tuple(_draw_requests(rng, plan)))
    if plan.shared:
        return plan
    plan = _add_restart_faults(Random(f"returns {world} {seed}"), plan)
    return plan if plan.keeps else _add_takeover_faults(Random(f"covers {world} {seed}"), plan)


def _add_restart_faults(rng: Random, plan: Plan) -> Plan:
    """Add stored state and restarts to a part of the plans without upgrades, which share state in another way."""
    if rng.random() >= 0.3:
        return plan
    faults = list(plan.faults)
    for _ in range(rng.choice((1, 1, 2, 3))):
        kind = rng.choice(RESTART_FAULTS)
        at = round(rng.uniform(0.8, plan.seconds - 0.5), 3)
        draw_amount = FAULT_KINDS[kind][1]
        target = f"proxy/{0 if kind == 'blow' else rng.randrange(target_counts(plan)['proxy'])}"
        seconds = round(rng.choice((0.05, 0.3, 1.0)) * rng.uniform(0.5, 1.5), 3)
        faults.append(Fault(at, kind, target, seconds, draw_amount(rng) if draw_amount else 0.0))
        if rng.random() < 0.5:
            faults.append(Fault(max(0.1, round(at - 0.1, 3)), "kill", "discovery/0", round(rng.uniform(0.5, 3.0), 3)))
    return replace(plan, keeps=1, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _add_takeover_faults(rng: Random, plan: Plan) -> Plan:
    """Add takeovers from killed proxies to a part of the plans with several proxies in the first tier."""
    count = plan.zones * plan.proxies
    if plan.tiers > 1 or count < 2 or rng.random() >= 0.5:
        return plan
    faults = list(plan.faults)
    for _ in range(rng.choice((1, 2, 3, 5))):
        at = round(rng.uniform(0.4, plan.seconds - 0.5), 3)
        victim = rng.randrange(count)
        faults.append(Fault(at, "kill", f"proxy/{victim}", round(rng.choice((0.05, 0.3, 1.0)), 3)))
        if rng.random() < 0.4:
            # A successor is paused, or killed in the middle of the takeover.
            successor = (victim + 1 + rng.randrange(count - 1)) % count
            kind = rng.choice(("pause", "kill"))
            faults.append(Fault(round(at + rng.uniform(0.0, 0.08), 3), kind, f"proxy/{successor}", 0.2))
    return replace(plan, covers=1, faults=tuple(sorted(faults, key=lambda fault: fault.at)))


def _draw_faults(rng: Random, plan: Plan) -> list[Fault]:
    available = target_counts(plan)
    faults: list[Fault] = []
    for _ in range(rng.choice((0, 1, 2, 3, 4, 5, 7))):
        kind = rng.choice(sorted(set(FAULT_KINDS) - set(RESTART_FAULTS)))
        targets, draw_amount = FAULT_KINDS[kind]
        target = rng.choice(targets)
        at = round(rng.uniform(0.3, plan.seconds - 0.5), 3)
        if faults and rng.random() < 0.2:
            at = faults[-1].at  # two faults at one instant
        seconds = (
            0.0 if kind in INSTANT_FAULTS else round(rng.choice((0.05, 0.3, 1.0, 3.0)) * rng.uniform(0.5, 1.5), 3)
        )
        faults.append(
            Fault(
                at,
                kind,
                f"{target}/{rng.randrange(available[target])}",
                seconds,
                draw_amount(rng) if draw_amount else 0.0,
            )
        )
    for fault in list(faults):
        faults += _companion_faults(rng, fault)
    return faults


def _companion_faults(rng: Random, fault: Fault) -> list[Fault]:
    """Draw faults to accompany another one, because their combinations are the most severe."""
    faults = []
    earlier = max(0.1, round(fault.at - 0.4, 3))
    if fault.what == "upgrade":
        if rng.random() < 0.5:
            kind = rng.choice(("ban", "evacuate"))
            faults.append(Fault(earlier, kind, fault.whom, 1.5, float(rng.randrange(8)) if kind == "ban" else 0.0))
        if rng.random() < 0.3:
            faults += [Fault(at, "crowd", fault.whom, 1.5, 120.0) for at in (earlier, round(fault.at + 0.1, 3))]
    elif fault.what == "ban" and rng.random() < 0.5:
        faults.append(Fault(max(0.1, round(fault.at - 0.003, 3)), "burst", fault.whom, 0.0, 40.0))
    return faults


def _draw_requests(rng: Random, plan: Plan) -> list[PlannedRequest]:
    rate = rng.choice((10.0, 25.0, 50.0))
    time = 0.2
    times: list[float] = []
    while (time := time + rng.expovariate(rate)) < plan.seconds:
        times.append(time)
    for fault in plan.faults:
        if fault.what == "burst":
            times += [fault.at + 0.0005 * i for i in range(int(fault.by))]
    return [_draw_request(rng, number, time, plan) for number, time in enumerate(sorted(times), 1)]


def _draw_request(rng: Random, number: int, time: float, plan: Plan) -> PlannedRequest:
    class_name = rng.choices(REQUEST_CLASSES, (6, 3, 2))[0]
    request = PlannedRequest(
        number,
        round(time, 4),
        class_name,
        rng.randrange(plan.zones),
        round(rng.choice((0.3, 1.0, 1.5)), 1),
        want=rng.choice((0, 0, 200, 4000, 60000)),
        body=0 if class_name == "view" else rng.choice((0, 5, 3000, 60000)),
        leaves=round(rng.uniform(0.0, 0.4), 3) if rng.random() < 0.05 else 0.0,
        slow=round(rng.uniform(0.05, 1.2), 3) if rng.random() < 0.03 else 0.0,
    )
    # On a narrowed link a long body would outlast its budget, which counts from the last byte.
    if (
        plan.bandwidth >= 1e7
        and rng.random() < LONG_SHARE
        and not any(fault.what == "narrow" for fault in plan.faults)
    ):
        request = replace(request, want=rng.choice((200, *LONG_SIZES)))
        if request.want > LONG_THRESHOLD:
            request = replace(request, dawdle=round(rng.choice((0.0, rng.uniform(0.1, 1.0))), 3))
        if class_name != "view":
            request = replace(request, body=rng.choice(LONG_SIZES))
    return request


# ---- the text ------------------------------------------------------------------------------

_STATEMENTS: dict[str, tuple[str, ...]] = {
    "world": ("seed", "seconds"),
    "shape": ("zones", "tiers", "proxies", "backends"),
    "link": ("latency", "jitter", "bandwidth", "cut", "lazy"),
    "limits": ("sockets", "copies", "cancel", "shared", "keeps", "covers"),
}
_REQUEST_OPTIONS = {
    "zone": int,
    "budget": float,
    "want": int,
    "body": int,
    "leaves": float,
    "slow": float,
    "dawdle": float,
    "again": int,
}
_FAULT_OPTIONS = {"for": ("seconds", float), "by": ("by", float)}
_DEFAULT_REQUEST = PlannedRequest(0, 0.0, "view")


def format_plan(plan: Plan) -> str:
    """The script of a plan, as text."""
    lines = []
    for statement, names in _STATEMENTS.items():
        values = " ".join(f"{name} {getattr(plan, name):.12g}" for name in names)
        lines.append(f"world {plan.world} {values}" if statement == "world" else f"{statement} {values}")
    for request in plan.requests:
        extra = "".join(
            f" {name} {getattr(request, name):g}"
            for name in _REQUEST_OPTIONS
            if getattr(request, name) != getattr(_DEFAULT_REQUEST, name)
        )
        lines.append(f"request {request.number} at {request.at:.12g} {request.kind}{extra}")
    for fault in plan.faults:
        extra = (f" for {fault.seconds:g}" if fault.seconds else "") + (f" by {fault.by:.12g}" if fault.by else "")
        lines.append(f"fault at {fault.at:.12g} {fault.what} {fault.whom}{extra}")
    return "\n".join(lines) + "\n"


@dataclass
class _Reader:
    """Parses one script; errors name the file, line and word."""

    name: str
    line: int = 0
    values: dict[str, Any] = field(default_factory=dict)
    requests: list[PlannedRequest] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)

    def wrong(self, text: str) -> ConfigError:
        return ConfigError(f"{self.name}:{self.line}: {text}")

    def number(self, convert: Callable[[str], Any], name: str, text: str) -> Any:
        try:
            value = convert(text)
        except ValueError:
            raise self.wrong(f"{name}: {text!r} is not a number") from None
        if not -1e15 < value < 1e15:
            raise self.wrong(f"{name}: {text} is out of range")
        return value

    def pairs(self, words: list[str], converters: dict[str, Callable[[str], Any]]) -> dict[str, Any]:
        if len(words) % 2:
            raise self.wrong(f"{words[-1]!r} has no value")
        found = {}
        for name, text in zip(words[::2], words[1::2], strict=True):
            if name not in converters:
                raise self.wrong(f"{name!r} is not one of {', '.join(converters)}")
            found[name] = self.number(converters[name], name, text)
        return found

    def statement(self, words: list[str]) -> None:
        head, *rest = words
        converters: dict[str, Callable[[str], Any]] = {
            item.name: float if item.type == "float" else int for item in fields(Plan)
        }
        if head in _STATEMENTS:
            if head == "world":
                if not rest:
                    raise self.wrong("world: no name")
                self.values["world"], *rest = rest
            self.values |= self.pairs(rest, {name: converters[name] for name in _STATEMENTS[head]})
        elif head == "request":
            self.request(rest)
        elif head == "fault":
            self.fault(rest)
        else:
            raise self.wrong(f"{head!r} is not one of {', '.join([*_STATEMENTS, 'request', 'fault'])}")

    def request(self, words: list[str]) -> None:
        if len(words) < 4 or words[1] != "at" or words[3] not in REQUEST_CLASSES:
            raise self.wrong(f"request: not of the form NUMBER at SECONDS {'|'.join(REQUEST_CLASSES)}")
        number, time = self.number(int, "request", words[0]), self.number(float, "at", words[2])
        if any(ask.number == number for ask in self.requests[-1:]):
            raise self.wrong(f"request: the number {number} is used twice")
        self.requests.append(PlannedRequest(number, time, words[3], **self.pairs(words[4:], dict(_REQUEST_OPTIONS))))

    def fault(self, words: list[str]) -> None:
        if len(words) < 4 or words[0] != "at" or words[2] not in FAULT_KINDS:
            names = ", ".join(sorted(FAULT_KINDS))
            raise self.wrong(f"fault: not of the form at SECONDS WHAT WHOM; WHAT is one of {names}")
        extra = self.pairs(words[4:], {name: target_kind for name, (_, target_kind) in _FAULT_OPTIONS.items()})
        targets = FAULT_KINDS[words[2]][0]
        target_kind, slash, number = words[3].partition("/")
        if target_kind not in targets or not slash or not number.isdigit():
            raise self.wrong(
                f"{words[2]}: {words[3]!r} is not {' or '.join(f'{target}/NUMBER' for target in targets)}"
            )
        values = {_FAULT_OPTIONS[name][0]: value for name, value in extra.items()}
        self.faults.append(Fault(self.number(float, "at", words[1]), words[2], words[3], **values))

    def plan(self) -> Plan:
        plan = Plan(**self.values, requests=tuple(self.requests), faults=tuple(self.faults))
        for name in ("seconds", "zones", "tiers", "proxies", "backends", "latency", "bandwidth", "sockets"):
            if not 0 < getattr(plan, name) < 1e12:
                raise self.wrong(f"{name}: must be above 0")
        if (
            target_counts(plan)["proxy"] + target_counts(plan)["backend"] > 200
            or plan.tiers > 2
            or not 0.0 <= plan.cut < 0.95
        ):
            raise self.wrong("a world has at most 2 tiers and 200 machines, and cut is under 0.95")
        available = target_counts(plan)
        for fault in plan.faults:
            target_kind, _, number = fault.whom.partition("/")
            if int(number) >= available[target_kind]:
                raise self.wrong(f"{fault.whom}: there are {available[target_kind]}")
        if any(not 0 <= request.zone < plan.zones or request.budget <= 0.0 for request in plan.requests):
            raise self.wrong("a request's zone is not there, or its budget is 0")
        if len({request.number for request in plan.requests}) < len(plan.requests):
            raise self.wrong("two requests have one number")
        return plan


def parse_plan(text: str, name: str = "script") -> Plan:
    """Parse a script; raises ConfigError."""
    reader = _Reader(name)
    for reader.line, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if words:
            reader.statement(words)
    return reader.plan()
