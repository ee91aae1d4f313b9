"""Recovery of one instance after a restart: which list it uses, how fast it connects, which requests it admits.

Sans I/O. Every event is a method that takes the time (seconds of any monotonic clock). Phases, and the phase that
each event leads to ("-": no change); the value in quotes is what operators see:

| phase                  | a list was stored | discovery reports | an answer | undisturbed | the stored list expired |
| ---------------------- | ----------------- | ----------------- | --------- | ----------- | ----------------------- |
| NO_LIST "nothing"      | STORED            | CONFIRMED         | -         | -           | -                       |
| STORED "remembered"    | -                 | CONFIRMED         | RAMPING   | FULL        | NO_LIST                 |
| CONFIRMED "confirmed"  | -                 | -                 | RAMPING   | FULL        | -                       |
| RAMPING "ramping"      | -                 | -                 | -         | FULL        | NO_LIST                 |
| FULL "full"            | -                 | -                 | -         | -           | NO_LIST                 |

Undisturbed means that for FULL_SERVICE_AFTER seconds no request was queued for longer than QUEUE_GRACE and none was
refused because of the recovery. The last column applies as long as discovery has not reported anything. In NO_LIST
requests are queued as long as their deadline allows: nothing has been sent for them, so refusing them is always safe.

A list from discovery is checked against the stored list (`on_list`):

| discovery reports            | stored  | decision                                                           |
| ---------------------------- | ------- | ------------------------------------------------------------------ |
| anything                     | nothing | ACCEPT                                                             |
| a change to a list           | a list  | ACCEPT                                                             |
| a list, version not lower    | a list  | ACCEPT                                                             |
| an empty list                | a list  | WAIT: accepted if nothing else comes within `doubt_for`            |
| a list, version lower        | a list  | MERGE newer entries; accepted as a whole after `doubt_for`         |

Merge: for each backend the later start counts, and a drain of that start stays a drain; a backend that is missing
from the stored list has gone since, unless it started after that list was written.

New connections stay rate limited beyond FULL, until the bucket has been full for SETTLE_TIME seconds, so that the
connections which the recovery has delayed are not opened all at once after it.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from weldroute.model import ServerId, ServerRow, State

FULL_SERVICE_AFTER = 0.3  # seconds without a delayed or refused request
QUEUE_GRACE = 0.1  # seconds that a request may be queued and still count as served without delay
SETTLE_TIME = 2.0  # seconds
MAX_QUEUED = 512  # requests
AIM_RESERVE = 0.5  # share of its aim that a request must have left when it is admitted
MAX_RESERVE_SHARE = 0.3  # the same as a share of the time until its deadline; the smaller one counts
RATE_SMOOTHING_TIME = 10.0  # seconds over which the normal rate of new connections is smoothed
MIN_NORMAL_RATE, MAX_NORMAL_RATE = 0.5, 20.0  # bounds of the normal rate; new connections per second and instance
INITIAL_RETRY_TOKENS = 1.0  # retries that a recovering instance may make at first


class Phase(Enum):
    """Phases of a recovery; see the module's first table."""

    NO_LIST = "nothing"
    STORED = "remembered"
    CONFIRMED = "confirmed"
    RAMPING = "ramping"
    FULL = "full"


class ListDecision(Enum):
    """What to do with a list from discovery; see the module's second table."""

    ACCEPT = "take"
    MERGE = "merge"
    WAIT = "wait"


class AdmissionVerdict(Enum):
    """What happens to an arriving request."""

    PASS = "pass"
    QUEUE = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class RecoveryPlan:
    """Parameters that the supervisor gives an instance for its recovery."""

    instances: int = 1  # of the fleet
    returning: int = 1  # instances that recover together, this one included
    calm: float = 1.0  # new connections per second of one instance, until its own normal rate is known
    multiple: float = 3.0  # times the normal rate that the whole fleet may open during a recovery
    list_for: float = 120.0  # seconds for which a stored list may be used
    doubt_for: float = 10.0  # seconds after which a list that contradicts the stored one is accepted
    tries: float = 40.0  # calls of discovery per second that the whole fleet may make
    retry_after: float = 1.0  # seconds over which retries of refused requests are spread; 0: no Retry-After is sent

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        for name, least in (("instances", 1), ("returning", 1), ("multiple", 1.0)):
            if not getattr(self, name) >= least:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not a number of {least} or more")
        for name in ("calm", "list_for", "doubt_for", "tries", "retry_after"):
            value = getattr(self, name)
            if not math.isfinite(value) or value < 0.0 or (name in ("calm", "tries") and not value):
                raise ValueError(f"{name}: {value!r} is not a number above 0")

    def connection_rate(self, normal_rate: float) -> float:
        """New connections per second for this instance: an equal share of what the instances that stayed leave."""
        recovering = min(self.returning, self.instances)
        stayed = self.instances - recovering
        return normal_rate * max(1.0, (self.multiple * self.instances - stayed) / recovering)

    @property
    def discovery_interval(self) -> float:
        """Maximum seconds between calls of discovery: all instances together keep to `tries`."""
        return min(max(self.instances / self.tries, 0.1), 10.0)


class ConnectionRateLimiter:
    """A token bucket for new connections; its size is 1, so instances that start together open one each."""

    def __init__(self, now: float, rate: float) -> None:
        self.rate = rate  # tokens per second
        self.tokens = 1.0
        self._updated_at = now
        self.full_since = now

    def available(self, now: float) -> float:
        """Refill the bucket and return its tokens; negative while more connections were opened than it allowed."""
        before, self._updated_at = self._updated_at, max(now, self._updated_at)
        if self.tokens < 1.0:
            filled = self.tokens + self.rate * (self._updated_at - before)
            self.tokens = 1.0 if filled >= 1.0 - 1e-9 else filled
            self.full_since = self._updated_at
        return self.tokens

    def spend(self, now: float, count: int) -> None:
        """Count connections that were opened; those opened without asking (retries) are paid for later."""
        self.available(now)
        if count:
            self.tokens -= count
            self.full_since = self._updated_at

    def next_at(self, now: float) -> float:
        """When the next connection may be opened."""
        missing = 1.0 - self.available(now)
        return now if missing <= 0.0 else now + missing / self.rate


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for admission."""

    queued_at: float
    deadline: float  # it must be admitted or refused by then


@dataclass(slots=True)
class Milestones:
    """When each phase was reached, on the instance's own clock (NaN: never), and counts of the recovery."""

    started_at: float
    list_known_at: float = math.nan
    first_answer_at: float = math.nan
    full_service_at: float = math.nan
    settled_at: float = math.nan
    connections_opened: int = 0  # new connections to backends until settled
    requests_queued: int = 0
    requests_refused: int = 0
    servers_dropped: int = 0  # servers of the stored list that turned out to be wrong


@dataclass(frozen=True, slots=True)
class RecoveryEvent:
    """An event of the recovery that is logged for operators."""

    name: str
    description: str


class Recovery:
    """State machine of one instance's recovery."""

    def __init__(self, now: float, plan: RecoveryPlan, seed: int, normal_rate: float | None = None) -> None:
        plan.check()
        self.plan = plan
        self._rng = Random(seed)
        self.normal_rate = (
            plan.calm if normal_rate is None else min(max(normal_rate, MIN_NORMAL_RATE), MAX_NORMAL_RATE)
        )
        self.rate_limiter = ConnectionRateLimiter(now, plan.connection_rate(self.normal_rate))
        self.rate_limited = True
        self.phase = Phase.NO_LIST
        self.discovery_reported = False
        self.milestones = Milestones(now)
        self.events: list[RecoveryEvent] = []  # not yet fetched by `take_events`
        self.stored_seq = 0
        self._distrust_until = math.inf  # when a distrusted list from discovery is accepted after all
        self._list_expires_at = math.inf
        self._disturbed_at = now  # when a request was last queued for too long or refused
        self._queue: dict[Hashable, QueuedRequest] = {}
        self._connections_opened = 0
        self._rate_updated_at = now
        self._rate_counted_from = 0

    # ---- lists ---------------------------------------------------------------------------

    def on_stored_list(self, now: float, servers: int, age: float | None, seq: int = 0) -> None:
        """A stored list was loaded; `age` in seconds (None: unknown, then half of its lifetime is left)."""
        if self.phase is not Phase.NO_LIST or not servers:
            return
        self.stored_seq = seq
        lifetime_left = self.plan.list_for * 0.5 if age is None else self.plan.list_for - age
        if lifetime_left <= 0.0:
            return
        self._list_expires_at = now + lifetime_left
        self._on_list_known(
            now, Phase.STORED, f"{servers} backends, for {lifetime_left:.0f} s or until discovery reports"
        )

    def on_list(self, now: float, whole: bool, servers: int, seq: int) -> ListDecision:
        """Discovery reported a list, or a change (not `whole`), of `servers` entries; return what to do with it.

        Guards against discovery that has lost its state or restored an older copy of it. Drawback: where all backends
        have really gone, they are tried for `doubt_for`; each that refuses a connection is dropped at once.
        """
        if self.discovery_reported or self.phase is Phase.NO_LIST:
            if servers:
                self._on_discovery_confirmed(now, servers)
            return ListDecision.ACCEPT
        if not whole:
            if not self._distrusted:
                self._on_discovery_confirmed(now, servers)
            return ListDecision.ACCEPT
        if servers and seq >= self.stored_seq:
            self._on_discovery_confirmed(now, servers)
            return ListDecision.ACCEPT
        if not self._distrusted:
            self._distrust_until = now + self.plan.doubt_for
            reported = f"version {seq}, while {self.stored_seq} is stored" if servers else "an empty list"
            self.events.append(RecoveryEvent("doubted", f"discovery reported {reported}"))
        return ListDecision.MERGE if servers else ListDecision.WAIT

    @property
    def _distrusted(self) -> bool:
        """Whether discovery is distrusted: until `confirm_distrusted` ends it, or a consistent list arrives."""
        return self._distrust_until < math.inf

    def confirm_distrusted(self, now: float, servers: int) -> bool:
        """Accept a distrusted list of `servers` entries once `doubt_for` has passed; true only the first time."""
        if now < self._distrust_until:
            return False
        self._on_discovery_confirmed(now, servers)
        return True

    @staticmethod
    def prefers_stored(stored: ServerRow, reported: ServerRow) -> bool:
        """Whether a stored entry wins over the entry of a list with a lower version."""
        if stored.started != reported.started:
            return stored.started > reported.started
        return stored.state is State.DRAINING and reported.state is State.UP

    def _on_discovery_confirmed(self, now: float, servers: int) -> None:
        if self.discovery_reported:
            return
        self.discovery_reported = True
        self._list_expires_at = self._distrust_until = math.inf
        if self.phase in (Phase.NO_LIST, Phase.STORED):
            self._on_list_known(now, Phase.CONFIRMED, f"discovery reported {servers} backends")
        else:
            self.events.append(RecoveryEvent("confirmed", f"discovery reported {servers} backends"))

    def _on_list_known(self, now: float, phase: Phase, description: str) -> None:
        self.phase = phase
        if math.isnan(self.milestones.list_known_at):
            self.milestones.list_known_at = now
        self.events.append(RecoveryEvent(phase.value, description))

    def on_contradiction(self, server: ServerId, reason: str) -> bool:
        """A server refused a connection or answered under another identity; return whether to drop it.

        Guards against an outdated list: a server that discovery reported is only removed by discovery, one that is
        only in the stored list is dropped at the first contradiction.
        """
        if self.discovery_reported:
            return False
        self.milestones.servers_dropped += 1
        self.events.append(RecoveryEvent("dropped", f"backend {server:x} of the stored list {reason}"))
        return True

    @property
    def ready(self) -> bool:
        """Whether requests can be served; reported to the front load balancer."""
        return self.phase is not Phase.NO_LIST

    # ---- admission -----------------------------------------------------------------------

    def admit(
        self, now: float, request: Hashable, deadline: float, aim: float, idle_connections: int
    ) -> AdmissionVerdict:
        """Whether a request is forwarded now. `idle_connections` to ready servers are available; times in seconds."""
        if not self.rate_limited and self.phase is not Phase.NO_LIST:
            return AdmissionVerdict.PASS
        if not self._queue and self._can_forward(now, idle_connections):
            return AdmissionVerdict.PASS
        deadline -= min(AIM_RESERVE * aim, MAX_RESERVE_SHARE * (deadline - now))
        if len(self._queue) >= MAX_QUEUED or deadline <= now:
            self.on_refused(now)
            return AdmissionVerdict.REFUSE
        self._queue[request] = QueuedRequest(now, deadline)
        self.milestones.requests_queued += 1
        return AdmissionVerdict.QUEUE

    def _can_forward(self, now: float, idle_connections: int) -> bool:
        if self.phase is Phase.NO_LIST:
            return False
        return not self.rate_limited or idle_connections > 0 or self.rate_limiter.available(now) >= 1.0

    def release_next(self, now: float, idle_connections: int) -> Hashable | None:
        """Remove and return the oldest queued request if it can be forwarded now."""
        if not self._queue or not self._can_forward(now, idle_connections):
            return None
        request = next(iter(self._queue))
        if now - self._queue.pop(request).queued_at > QUEUE_GRACE:
            self._disturbed_at = now
        return request

    def pop_overdue(self, now: float) -> list[Hashable]:
        """Remove and return the queued requests whose deadline has passed; they are to be refused now."""
        overdue = [request for request, queued in self._queue.items() if queued.deadline <= now]
        for request in overdue:
            del self._queue[request]
            self.on_refused(now)
        return overdue

    def withdraw(self, request: Hashable) -> bool:
        """Remove a request from the queue; return whether it was queued."""
        return self._queue.pop(request, None) is not None

    @property
    def queue_length(self) -> int:
        """Queued requests."""
        return len(self._queue)

    def next_wakeup(self, now: float) -> float:
        """When to check the queue again if no event occurs before; infinity for never."""
        if not self._queue:
            return math.inf
        first = min(queued.deadline for queued in self._queue.values())
        return first if self.phase is Phase.NO_LIST else min(first, self.rate_limiter.next_at(now))

    def on_refused(self, now: float) -> None:
        """A request was refused because of the recovery."""
        self.milestones.requests_refused += 1
        self._disturbed_at = now

    def retry_after(self) -> float:
        """Retry-After in seconds for a refused request, with jitter so that refused callers don't return together."""
        spread = self.plan.retry_after
        return spread * (0.5 + self._rng.random()) if spread else 0.0

    # ---- connections and answers ---------------------------------------------------------

    def on_connections_opened(self, now: float, total: int) -> None:
        """Connections to backends were opened; `total` counts from the start of the process."""
        opened, self._connections_opened = total - self._connections_opened, total
        if self.rate_limited:
            self.rate_limiter.spend(now, opened)
            self.milestones.connections_opened += opened

    def on_answer(self, now: float) -> None:
        """A backend's answer was forwarded to a caller."""
        if self.phase in (Phase.STORED, Phase.CONFIRMED):
            self.phase = Phase.RAMPING
            self.milestones.first_answer_at = (
                now if math.isnan(self.milestones.first_answer_at) else self.milestones.first_answer_at
            )
            self.events.append(
                RecoveryEvent("ramping", f"first answer {now - self.milestones.started_at:.3f} s after the start")
            )

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> bool:
        """Make the changes that depend on time alone; return whether the stored list has expired."""
        if self._queue and now - next(iter(self._queue.values())).queued_at > QUEUE_GRACE:
            self._disturbed_at = now
        if now >= self._list_expires_at:
            self._list_expires_at = math.inf
            self.phase = Phase.NO_LIST
            self._disturbed_at = now
            self.events.append(
                RecoveryEvent("nothing", f"discovery is silent, and the stored list is {self.plan.list_for:g} s old")
            )
            return True
        if (
            self.phase in (Phase.STORED, Phase.CONFIRMED, Phase.RAMPING)
            and now - self._undisturbed_since() >= FULL_SERVICE_AFTER
        ):
            self._become_full()
        if self.rate_limited and self.phase is Phase.FULL and self._is_settled(now):
            self.rate_limited = False
            self.milestones.settled_at = now
            self.events.append(
                RecoveryEvent(
                    "settled",
                    f"{self.milestones.connections_opened} connections opened at {self.rate_limiter.rate:.1f}/s",
                )
            )
            self._rate_updated_at, self._rate_counted_from = now, self._connections_opened
        if not self.rate_limited:
            self._update_normal_rate(now)
        return False

    def _undisturbed_since(self) -> float:
        """Since when no request has been delayed: full service counts from then, not from when it was noticed."""
        first = self.milestones.first_answer_at if self.phase is Phase.RAMPING else self.milestones.list_known_at
        return max(self._disturbed_at, self.milestones.list_known_at, first)

    def _become_full(self) -> None:
        self.milestones.full_service_at = (
            self._undisturbed_since()
            if math.isnan(self.milestones.full_service_at)
            else self.milestones.full_service_at
        )
        self.phase = Phase.FULL
        reached = self.milestones
        summary = (
            f"full service {reached.full_service_at - reached.started_at:.3f} s after the start; "
            f"{reached.requests_queued} queued, "
        )
        self.events.append(
            RecoveryEvent(
                "full",
                summary + f"{reached.requests_refused} refused, {reached.connections_opened} connections opened",
            )
        )

    def _is_settled(self, now: float) -> bool:
        return self.rate_limiter.available(now) >= 1.0 and now - self.rate_limiter.full_since >= SETTLE_TIME

    def _update_normal_rate(self, now: float) -> None:
        """Smooth this instance's rate of new connections while it is not limited."""
        passed = now - self._rate_updated_at
        if passed < 1.0:
            return
        rate = (self._connections_opened - self._rate_counted_from) / passed
        self._rate_updated_at, self._rate_counted_from = now, self._connections_opened
        weight = min(1.0, passed / RATE_SMOOTHING_TIME)
        self.normal_rate = min(
            max(self.normal_rate + (rate - self.normal_rate) * weight, MIN_NORMAL_RATE), MAX_NORMAL_RATE
        )

    def take_events(self) -> list[RecoveryEvent]:
        """Return the events since the last call, and forget them."""
        events, self.events = self.events, []
        return events

    def status(self) -> dict[str, float | int | str | bool | None]:
        """The recovery as plain values; times in seconds since the start of the process."""
        reached = self.milestones
        times = {
            name: None if math.isnan(time) else round(time - reached.started_at, 4)
            for name, time in (
                ("known", reached.list_known_at),
                ("first", reached.first_answer_at),
                ("full", reached.full_service_at),
                ("settled", reached.settled_at),
            )
        }
        return {
            "phase": self.phase.value,
            "told": self.discovery_reported,
            **times,
            "connects": reached.connections_opened,
            "held": reached.requests_queued,
            "refused": reached.requests_refused,
            "dropped": reached.servers_dropped,
            "waiting": len(self._queue),
        }


@dataclass(slots=True)
class StartScheduler:
    """Order and rate at which instances that failed together are started again.

    The rear tiers come first: an instance of a front tier could serve nothing without them. Each start has its slot,
    shifted at random by up to half a slot either way, so that no two fleets start in step.
    """

    rate: float  # starts per second
    rng: Random = field(default_factory=Random)

    def schedule(self, begin: float, names: list[tuple[str, int]], first: int = 0) -> dict[str, float]:
        """When to start each instance of `names` (name, tier); the given order counts within a tier.

        The slots begin at `begin`; the first `first` of them are taken.
        """
        ordered = sorted(names, key=lambda pair: -pair[1])
        interval = 1.0 / self.rate
        return {
            name: begin + interval * max(0.0, slot + self.rng.random() - 0.5)
            for slot, (name, _) in enumerate(ordered, first)
        }
