"""One instance's return to service: what it knows, how fast it may lean on others, what it lets in. Sans I/O.

Every event is a method that takes the time (seconds, of any clock that never steps back). Phases, and what each event
makes of them ("-": nothing):

| phase      | a list was kept | discovery tells | an answer   | calm for CALM | the kept list is over |
| ---------- | --------------- | --------------- | ----------- | ------------- | --------------------- |
| nothing    | remembered      | confirmed       | -           | -             | -                     |
| remembered | -               | confirmed       | ramping     | full          | nothing               |
| confirmed  | -               | -               | ramping     | full          | -                     |
| ramping    | -               | -               | -           | full          | nothing               |
| full       | -               | -               | -           | -             | nothing               |

Calm is a time in which nobody had to wait for longer than GRACE and nobody was refused for the return. The last
column holds as long as discovery has not told anything. In `nothing` requests wait, as long as their time allows:
nothing has been sent for them, so a refusal is certain to be harmless.

What discovery tells is weighed against what is remembered (`hears`):

| discovery tells         | and remembered is | verdict                                                    |
| ----------------------- | ----------------- | ---------------------------------------------------------- |
| anything                | nothing           | take                                                       |
| a change to a list      | a list            | take                                                       |
| a list, version no lower | a list           | take                                                       |
| an empty list           | a list            | wait: taken if nothing else comes within `doubt_for`       |
| a list, version lower   | a list            | merge what is newer in it; taken whole after `doubt_for`   |

Merged: of each backend the later start counts, and a drain of that start stays a drain; a backend that is not in the
remembered list has gone since, unless it started after that list was written.

The pace of new connections lasts beyond `full`: until the bucket has been full for SETTLE seconds, so that the
connections which the return has put off do not come all at once after it.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from weldroute.model import ServerId, ServerRow, State

CALM = 0.3  # seconds
GRACE = 0.1  # seconds that a request may wait at the door and count as served at once
SETTLE = 2.0
MOST_HELD = 512  # requests that wait at the door
RESERVE = 0.5  # of its aim that a request must have left when it is let in...
RESERVE_PART = 0.3  # ...but no more than this part of the time that its caller gives
LEARN = 10.0  # seconds over which the pace of new connections in calm times is smoothed
LEAST_CALM, MOST_CALM = 0.5, 20.0  # new connections a second of one instance that are believed
INITIAL_RETRY_TOKENS = 1.0  # further attempts that a returning instance has saved up


class Phase(Enum):
    """See the table of the module."""

    NO_LIST = "nothing"
    STORED = "remembered"
    CONFIRMED = "confirmed"
    RAMPING = "ramping"
    FULL = "full"


class ListDecision(Enum):
    """What is made of a list that discovery tells; see the second table of the module."""

    ACCEPT = "take"
    MERGE = "merge"
    WAIT = "wait"


class AdmissionVerdict(Enum):
    """What becomes of a request at the door."""

    PASS = "pass"
    QUEUE = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """What one instance is told of the return that it is part of."""

    instances: int = 1  # of the fleet
    returning: int = 1  # of them that come back together with this one
    calm: float = 1.0  # new connections a second of one instance, until its own pace is known
    multiple: float = 3.0  # of calm that the whole fleet may open while it comes back
    list_for: float = 120.0  # seconds that a remembered list serves
    doubt_for: float = 10.0  # seconds that a list which contradicts what is remembered must stand
    tries: float = 40.0  # calls of discovery a second that the whole fleet may try
    retry_after: float = 1.0  # seconds over which the return of those refused is spread; 0: none is named

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        for name, least in (("instances", 1), ("returning", 1), ("multiple", 1.0)):
            if not getattr(self, name) >= least:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number of {least} or more")
        for name in ("calm", "list_for", "doubt_for", "tries", "retry_after"):
            value = getattr(self, name)
            if not math.isfinite(value) or value < 0.0 or (name in ("calm", "tries") and not value):
                raise ValueError(f"{name}: {value!r} is not a number above 0")

    def connection_rate(self, calm: float) -> float:
        """New connections a second that this instance may open: an equal part of what those that stayed leave."""
        back = min(self.returning, self.instances)
        stayed = self.instances - back
        return calm * max(1.0, (self.multiple * self.instances - stayed) / back)

    @property
    def discovery_interval(self) -> float:
        """Seconds between tries at discovery, at most: all instances together keep to `tries`."""
        return min(max(self.instances / self.tries, 0.1), 10.0)


class ConnectionRateLimiter:
    """A token bucket for new connections; holds one, so that instances which begin at once open one each."""

    def __init__(self, now: float, rate: float) -> None:
        self.rate = rate
        self.tokens = 1.0
        self._at = now
        self.full_since = now

    def look(self, now: float) -> float:
        """Tokens now."""
        before, self._at = self._at, max(now, self._at)
        if self.tokens < 1.0:
            filled = self.tokens + self.rate * (self._at - before)
            self.tokens = 1.0 if filled >= 1.0 - 1e-9 else filled
            self.full_since = self._at
        return self.tokens

    def spend(self, now: float, count: int) -> None:
        """So many connections were opened. What was not asked here (repeats) is paid for later."""
        self.look(now)
        if count:
            self.tokens -= count
            self.full_since = self._at

    def due(self, now: float) -> float:
        """When the next connection may be opened."""
        missing = 1.0 - self.look(now)
        return now if missing <= 0.0 else now + missing / self.rate


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits at the door."""

    since: float
    until: float  # it must be let in or refused by then


@dataclass(slots=True)
class Milestones:
    """When each phase was reached, on the instance's own clock; NaN for never. And what it leaned on others for."""

    began: float
    known: float = math.nan
    first: float = math.nan
    full: float = math.nan
    settled: float = math.nan
    connects: int = 0  # new connections to backends until it was settled
    held: int = 0
    refused: int = 0
    dropped: int = 0  # remembered servers that were not what was remembered


@dataclass(frozen=True, slots=True)
class RecoveryEvent:
    """Something that operators want to know."""

    name: str
    description: str


class Recovery:
    """One instance's return."""

    def __init__(self, now: float, plan: RecoveryPlan, seed: int, calm: float | None = None) -> None:
        plan.check()
        self.plan = plan
        self._rng = Random(seed)
        self.normal_rate = plan.calm if calm is None else min(max(calm, LEAST_CALM), MOST_CALM)
        self.rate_limiter = ConnectionRateLimiter(now, plan.connection_rate(self.normal_rate))
        self.rate_limited = True
        self.phase = Phase.NO_LIST
        self.discovery_reported = False  # discovery has spoken
        self.milestones = Milestones(now)
        self.events: list[RecoveryEvent] = []  # not yet taken by who reports them
        self.stored_seq = 0
        self._doubt_until = math.inf  # when what discovery tells is believed after all
        self._list_until = math.inf
        self._trouble = now  # when somebody waited too long or was refused, last
        self._held: dict[Hashable, QueuedRequest] = {}
        self._opened = 0
        self._learned_at = now
        self._learned_from = 0

    # ---- what is known -------------------------------------------------------------------

    def on_stored_list(self, now: float, servers: int, age: float | None, seq: int = 0) -> None:
        """A list was kept, so many seconds ago (None: nobody can tell, and then half of its time is left)."""
        if self.phase is not Phase.NO_LIST or not servers:
            return
        self.stored_seq = seq
        left = self.plan.list_for * 0.5 if age is None else self.plan.list_for - age
        if left <= 0.0:
            return
        self._list_until = now + left
        self._know(now, Phase.STORED, f"{servers} backends, for {left:.0f} s or until discovery tells")

    def on_list(self, now: float, whole: bool, servers: int, seq: int) -> ListDecision:
        """Discovery tells a list, or a change (not `whole`), of so many servers; what is to be made of it.

        Guards against discovery that has lost its own state, or an older copy of it. Harm: where all backends are
        gone indeed, they are tried for `doubt_for`; each that refuses is dropped at once.
        """
        if self.discovery_reported or self.phase is Phase.NO_LIST:
            if servers:
                self._tells(now, servers)
            return ListDecision.ACCEPT
        if not whole:
            if not self._doubted:
                self._tells(now, servers)
            return ListDecision.ACCEPT
        if servers and seq >= self.stored_seq:
            self._tells(now, servers)
            return ListDecision.ACCEPT
        if not self._doubted:
            self._doubt_until = now + self.plan.doubt_for
            text = f"version {seq}, and {self.stored_seq} is remembered" if servers else "an empty list"
            self.events.append(RecoveryEvent("doubted", f"discovery tells of {text}"))
        return ListDecision.MERGE if servers else ListDecision.WAIT

    @property
    def _doubted(self) -> bool:
        """What discovery tells is not believed yet: until `believes` says so, or a list that fits has come."""
        return self._doubt_until < math.inf

    def confirm_distrusted(self, now: float, servers: int) -> bool:
        """Whether a list that was doubted has stood for long enough, of so many servers; told once."""
        if now < self._doubt_until:
            return False
        self._tells(now, servers)
        return True

    @staticmethod
    def prefers_stored(remembered: ServerRow, told: ServerRow) -> bool:
        """Whether a remembered row is kept against one of a lower version."""
        if remembered.started != told.started:
            return remembered.started > told.started
        return remembered.state is State.DRAINING and told.state is State.UP

    def _tells(self, now: float, servers: int) -> None:
        if self.discovery_reported:
            return
        self.discovery_reported = True
        self._list_until = self._doubt_until = math.inf
        if self.phase in (Phase.NO_LIST, Phase.STORED):
            self._know(now, Phase.CONFIRMED, f"discovery tells of {servers} backends")
        else:
            self.events.append(RecoveryEvent("confirmed", f"discovery tells of {servers} backends"))

    def _know(self, now: float, phase: Phase, text: str) -> None:
        self.phase = phase
        if math.isnan(self.milestones.known):
            self.milestones.known = now
        self.events.append(RecoveryEvent(phase.value, text))

    def on_contradiction(self, server: ServerId, how: str) -> bool:
        """A server refused a connection, or answered as another: whether it is no longer believed to be there.

        Guards against a list that is out of date: what discovery has told is discovery's to take back, what is only
        remembered is dropped at the first contradiction.
        """
        if self.discovery_reported:
            return False
        self.milestones.dropped += 1
        self.events.append(RecoveryEvent("dropped", f"remembered backend {server:x} {how}"))
        return True

    @property
    def ready(self) -> bool:
        """What a front may be told: whether anything can be served here."""
        return self.phase is not Phase.NO_LIST

    # ---- the door ------------------------------------------------------------------------

    def admit(self, now: float, request: Hashable, until: float, aim: float, free: int) -> AdmissionVerdict:
        """Whether a request goes on now. `free` connections to ready servers wait for work; seconds."""
        if not self.rate_limited and self.phase is not Phase.NO_LIST:
            return AdmissionVerdict.PASS
        if not self._held and self._room(now, free):
            return AdmissionVerdict.PASS
        until -= min(RESERVE * aim, RESERVE_PART * (until - now))
        if len(self._held) >= MOST_HELD or until <= now:
            self.on_refused(now)
            return AdmissionVerdict.REFUSE
        self._held[request] = QueuedRequest(now, until)
        self.milestones.held += 1
        return AdmissionVerdict.QUEUE

    def _room(self, now: float, free: int) -> bool:
        if self.phase is Phase.NO_LIST:
            return False
        return not self.rate_limited or free > 0 or self.rate_limiter.look(now) >= 1.0

    def release_next(self, now: float, free: int) -> Hashable | None:
        """The next of those that wait, if its turn has come: it goes on now."""
        if not self._held or not self._room(now, free):
            return None
        request = next(iter(self._held))
        if now - self._held.pop(request).since > GRACE:
            self._trouble = now
        return request

    def pop_overdue(self, now: float) -> list[Hashable]:
        """Those that wait and whose time is up: they are refused now."""
        late = [request for request, held in self._held.items() if held.until <= now]
        for request in late:
            del self._held[request]
            self.on_refused(now)
        return late

    def withdraw(self, request: Hashable) -> bool:
        """A request that waits goes away; whether it did wait."""
        return self._held.pop(request, None) is not None

    @property
    def queue_length(self) -> int:
        """Requests that wait."""
        return len(self._held)

    def next_wakeup(self, now: float) -> float:
        """When to look at those that wait again, if nothing happens before; infinity for never."""
        if not self._held:
            return math.inf
        first = min(held.until for held in self._held.values())
        return first if self.phase is Phase.NO_LIST else min(first, self.rate_limiter.due(now))

    def on_refused(self, now: float) -> None:
        """A request was refused for the return."""
        self.milestones.refused += 1
        self._trouble = now

    def retry_after(self) -> float:
        """Seconds for one that is refused: spread, so that those who are sent away together do not come back so."""
        spread = self.plan.retry_after
        return spread * (0.5 + self._rng.random()) if spread else 0.0

    # ---- what was leaned on --------------------------------------------------------------

    def on_connections_opened(self, now: float, total: int) -> None:
        """So many connections to backends were opened since the start."""
        fresh, self._opened = total - self._opened, total
        if self.rate_limited:
            self.rate_limiter.spend(now, fresh)
            self.milestones.connects += fresh

    def on_answer(self, now: float) -> None:
        """An answer was passed on."""
        if self.phase in (Phase.STORED, Phase.CONFIRMED):
            self.phase = Phase.RAMPING
            self.milestones.first = now if math.isnan(self.milestones.first) else self.milestones.first
            self.events.append(
                RecoveryEvent("ramping", f"first answer {now - self.milestones.began:.3f} s after the start")
            )

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> bool:
        """Look at what time alone changes; whether the remembered list is over and must be let go."""
        if self._held and now - next(iter(self._held.values())).since > GRACE:
            self._trouble = now
        if now >= self._list_until:
            self._list_until = math.inf
            self.phase = Phase.NO_LIST
            self._trouble = now
            self.events.append(
                RecoveryEvent("nothing", f"discovery is silent, and the list is {self.plan.list_for:g} s old")
            )
            return True
        if self.phase in (Phase.STORED, Phase.CONFIRMED, Phase.RAMPING) and now - self._calm_since() >= CALM:
            self._become_full()
        if self.rate_limited and self.phase is Phase.FULL and self._settles(now):
            self.rate_limited = False
            self.milestones.settled = now
            self.events.append(
                RecoveryEvent(
                    "settled", f"{self.milestones.connects} connections opened at {self.rate_limiter.rate:.1f}/s"
                )
            )
            self._learned_at, self._learned_from = now, self._opened
        if not self.rate_limited:
            self._learn(now)
        return False

    def _calm_since(self) -> float:
        """The moment from which on nobody was kept waiting: that is when the service was full."""
        first = self.milestones.first if self.phase is Phase.RAMPING else self.milestones.known
        return max(self._trouble, self.milestones.known, first)

    def _become_full(self) -> None:
        self.milestones.full = self._calm_since() if math.isnan(self.milestones.full) else self.milestones.full
        self.phase = Phase.FULL
        marks = self.milestones
        text = f"full service {marks.full - marks.began:.3f} s after the start; {marks.held} waited, "
        self.events.append(
            RecoveryEvent("full", text + f"{marks.refused} refused, {marks.connects} connections opened")
        )

    def _settles(self, now: float) -> bool:
        return self.rate_limiter.look(now) >= 1.0 and now - self.rate_limiter.full_since >= SETTLE

    def _learn(self, now: float) -> None:
        """Smooth the pace of new connections while nothing is held back: what calm is for this instance."""
        passed = now - self._learned_at
        if passed < 1.0:
            return
        rate = (self._opened - self._learned_from) / passed
        self._learned_at, self._learned_from = now, self._opened
        weight = min(1.0, passed / LEARN)
        self.normal_rate = min(max(self.normal_rate + (rate - self.normal_rate) * weight, LEAST_CALM), MOST_CALM)

    def take_events(self) -> list[RecoveryEvent]:
        """What happened since the last call."""
        steps, self.events = self.events, []
        return steps

    def status(self) -> dict[str, float | int | str | bool | None]:
        """The return as plain values; seconds since the start of the process."""
        marks = self.milestones
        times = {
            name: None if math.isnan(at) else round(at - marks.began, 4)
            for name, at in (
                ("known", marks.known),
                ("first", marks.first),
                ("full", marks.full),
                ("settled", marks.settled),
            )
        }
        return {
            "phase": self.phase.value,
            "told": self.discovery_reported,
            **times,
            "connects": marks.connects,
            "held": marks.held,
            "refused": marks.refused,
            "dropped": marks.dropped,
            "waiting": len(self._held),
        }


@dataclass(slots=True)
class StartScheduler:
    """In which order and at what pace those that fell together are started again.

    The tiers behind come first: an instance of a tier before could serve nothing without them. Each start waits for
    its place, moved by chance within half a place either way, so that no two fleets beat in step.
    """

    pace: float  # starts a second
    rng: Random = field(default_factory=Random)

    def schedule(self, begin: float, names: list[tuple[str, int]], first: int = 0) -> dict[str, float]:
        """When to start each of these (name, tier); the listed order counts within a tier.

        The places begin at `begin`, and `first` of them are taken.
        """
        ordered = sorted(names, key=lambda pair: -pair[1])
        gap = 1.0 / self.pace
        return {
            name: begin + gap * max(0.0, place + self.rng.random() - 0.5)
            for place, (name, _) in enumerate(ordered, first)
        }
