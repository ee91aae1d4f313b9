"""Leases: at most one holder of a duty at a time, granted by a majority and kept in memory. Sans I/O, without clocks.

PaxosLease (Trencseni and Farago, 2012): a lease is agreed on like a value in Paxos (Lamport 1998), but every part of
the state expires by itself, so nothing has to be written to disk. Every event takes the time of the machine's own
monotonic clock. Clocks of different machines are never compared; only durations are, and their rates may differ by
`drift`.

| role     | event                                           | action                                               |
| -------- | ----------------------------------------------- | ---------------------------------------------------- |
| grantor  | prepare(ballot)                                 | below the highest promised ballot: rejects with that |
|          |                                                 | one; otherwise promises, and reports the lease that  |
|          |                                                 | has not expired                                      |
| grantor  | propose(ballot, lease)                          | below the highest promised ballot: rejects;          |
|          |                                                 | otherwise grants the lease for its length from now   |
| grantor  | start without state                             | answers nobody for the longest lease, stretched by   |
|          |                                                 | drift: all that it granted before has then expired   |
| proposer | the duty is wanted                              | takes a ballot above all that it has seen, prepares  |
| proposer | a majority of promises without another's lease  | notes the time, and only then proposes itself        |
| proposer | a majority of acceptances                       | holds from that noted time for the length, shortened |
|          |                                                 | by drift and margin                                  |
| proposer | rejection, or no majority in time               | abandons the ballot, and tries again later           |

A holder that was paused finds its lease expired by its own clock: `current_epoch` compares with that clock at the
time of each act, so there is no "holding" flag that could be out of date. Each act carries the epoch, which is the
ballot that first won the lease. Of two holders the later one has the higher epoch, as long as one grantor of both
majorities has kept its state; whoever is acted upon refuses a lower epoch. If grantors have lost their state, the
later holder may be refused that way: it learns the higher epoch (`observe_epoch`) and wins one above that. The error
is on the side of no holder, never of two.

Renewal is the same exchange, started in time, with the same epoch: a proposer's own lease at a grantor does not stand
in its way.

Invariant: the time for which a holder believes in its lease ends, by any clock, before a majority of grantors is free
to grant it to another; two majorities have a grantor in common, and that one grants one lease at a time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldroute.checks import check_numbers

Ballot = tuple[int, str]  # the round and the name of the proposer; compared in this order
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """Settings of a lease; times in seconds."""

    length: float = 3.0  # of a lease
    drift: float = 0.02  # fraction by which the rates of two clocks may differ
    margin: float = 0.05  # by which a holder stops earlier still
    renew: float = 0.5  # fraction of the holding time after which a holder renews
    patience: float = 1.0  # for which a proposer waits for a majority
    pause: float = 0.4  # between two rounds of a proposer, lengthened by its stagger

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        check_numbers(self, allow_zero=True)
        for name in ("length", "patience", "pause"):
            if getattr(self, name) == 0.0:
                raise ValueError(f"{name}: must be greater than 0")
        if not 0.0 < self.renew < 1.0:
            raise ValueError(f"renew: {self.renew!r} is not between 0 and 1")
        if self.drift >= 0.5:
            raise ValueError(f"drift: {self.drift!r} is not below 0.5")
        if self.holding_time <= 0.0:
            raise ValueError(f"length: {self.length!r} leaves no time after drift and margin")

    @property
    def holding_time(self) -> float:
        """Seconds for which a holder believes in its lease, counted from before it was proposed."""
        return self.length * (1.0 - self.drift) / (1.0 + self.drift) - self.margin

    @property
    def restart_wait(self) -> float:
        """Seconds after which all leases that a grantor granted before its start have expired, by any clock."""
        return self.length * (1.0 + self.drift) / (1.0 - self.drift)


@dataclass(frozen=True, slots=True)
class Lease:
    """The holder of a duty and the epoch of its acts."""

    holder: str
    epoch: Ballot


@dataclass(frozen=True, slots=True)
class Prepare:
    """First phase: a proposer asks for a promise."""

    duty: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """The grantor accepts no lower ballot from here on; `lease`: the unexpired one, if any."""

    duty: str
    ballot: Ballot
    lease: Lease | None


@dataclass(frozen=True, slots=True)
class Propose:
    """Second phase: a proposer asks for the lease."""

    duty: str
    ballot: Ballot
    lease: Lease


@dataclass(frozen=True, slots=True)
class Accepted:
    """The lease is granted."""

    duty: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """A higher ballot was promised."""

    duty: str
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Released:
    """The holder has given up the lease before it expired."""

    duty: str
    lease: Lease


Request = Prepare | Propose | Released
Answer = Promise | Accepted | Rejected


@dataclass(slots=True)
class Grant:
    """A grantor's state of one duty."""

    promised: Ballot = NO_BALLOT
    lease: Lease | None = None
    expires_at: float = -math.inf


class Grantor:
    """One of the members whose majority grants leases. Its state does not outlive the process."""

    def __init__(self, policy: LeasePolicy, now: float, max_duties: int = 1024) -> None:
        """Raises ValueError for an invalid policy."""
        policy.check()
        self._policy = policy
        self._ready_at = now + policy.restart_wait
        self._max_duties = max_duties
        self._grants: dict[str, Grant] = {}

    def on_request(self, now: float, request: Request) -> Answer | None:
        """Handle a request and return the answer to it; None if there is none."""
        if now < self._ready_at:
            return None
        grant = self._grants.get(request.duty)
        if grant is None:
            if len(self._grants) >= self._max_duties and not self._evict_expired(now):
                return None
            grant = self._grants[request.duty] = Grant()
        if grant.lease is not None and now >= grant.expires_at:
            grant.lease = None
        if isinstance(request, Released):
            if grant.lease == request.lease:
                grant.lease = None
            return None
        if request.ballot < grant.promised:
            return Rejected(request.duty, request.ballot, grant.promised)
        grant.promised = request.ballot
        if isinstance(request, Prepare):
            return Promise(request.duty, request.ballot, grant.lease)
        grant.lease, grant.expires_at = request.lease, now + self._policy.length
        return Accepted(request.duty, request.ballot)

    def _evict_expired(self, now: float) -> bool:
        """Make room by removing a duty that nobody holds; False if there is none.

        Promises about it are lost, as after a start, so this is done only for a duty whose lease expired long enough
        ago that no proposal under way can count.
        """
        for duty, grant in self._grants.items():
            if now >= grant.expires_at + self._policy.restart_wait:
                del self._grants[duty]
                return True
        return False

    def state_key(self, now: float) -> tuple[object, ...]:
        """All state that its answers depend on, with times relative to now: for tests that explore states."""
        grants = tuple(
            (duty, grant.promised, grant.lease, max(0.0, grant.expires_at - now))
            for duty, grant in sorted(self._grants.items())
        )
        return (max(0.0, self._ready_at - now), grants)


@dataclass(slots=True)
class Round:
    """One attempt of a proposer to win or renew a lease."""

    ballot: Ballot
    started: float
    proposed_at: float = math.nan  # noted before the proposal is sent; nan: not proposed yet
    promises: set[str] = field(default_factory=set)
    acceptances: set[str] = field(default_factory=set)


class Proposer:
    """A member that may hold a duty; it acquires and renews the lease as long as the duty is `wanted`."""

    def __init__(
        self, policy: LeasePolicy, duty: str, name: str, grantors: Iterable[str], stagger: float = 0.0
    ) -> None:
        """`stagger`, from 0 to 1, differs between proposers: those that collide once do not retry at the same time.

        Raises ValueError for an invalid policy.
        """
        policy.check()
        self._policy = policy
        self.duty = duty
        self.name = name
        self.grantors = sorted(set(grantors))
        self._stagger = stagger
        self._highest_round = 0  # that it has seen or used
        self._round: Round | None = None
        self._next_try = -math.inf
        self._lease: Lease | None = None
        self._held_until = -math.inf  # by its own clock
        self.wanted = True

    @property
    def majority(self) -> int:
        """Number of grantors that decide."""
        return len(self.grantors) // 2 + 1

    def current_epoch(self, now: float) -> Ballot | None:
        """The epoch to act with at this instant; None if it does not hold the duty and must not act."""
        return self._lease.epoch if self._lease is not None and now < self._held_until else None

    def expires_at(self, now: float) -> float:
        """When its lease ends by its own clock; now, if it holds none."""
        return self._held_until if self.current_epoch(now) is not None else now

    def observe_epoch(self, epoch: Ballot) -> None:
        """Note an epoch that others acted with: its own next one is higher, even if grantors lost their state."""
        self._highest_round = max(self._highest_round, epoch[0])

    def next_due(self, now: float) -> float:
        """The time at which `tick` is due next, now or later."""
        if self._round is not None:
            return self._round.started + self._policy.patience
        return max(self._next_try, self._renewal_time() if self.current_epoch(now) is not None else now)

    def _renewal_time(self) -> float:
        return self._held_until - self._policy.holding_time * (1.0 - self._policy.renew)

    def tick(self, now: float) -> list[Request]:
        """Do what is due and return the requests to send to every grantor."""
        if self._round is not None and now - self._round.started >= self._policy.patience:
            self._abandon_round(now)
        if not self.wanted or self._round is not None or now < self._next_try:
            return []
        if self.current_epoch(now) is not None and now < self._renewal_time():
            return []
        self._highest_round += 1
        self._round = Round((self._highest_round, self.name), now)
        return [Prepare(self.duty, self._round.ballot)]

    def on_answer(self, now: float, grantor: str, answer: Answer) -> list[Request]:
        """Handle a grantor's answer and return the requests to send to every grantor."""
        if isinstance(answer, Rejected):
            self._highest_round = max(self._highest_round, answer.promised[0])
        attempt = self._round
        if (
            attempt is None
            or answer.duty != self.duty
            or answer.ballot != attempt.ballot
            or grantor not in self.grantors
        ):
            return []
        if isinstance(answer, Rejected):
            self._abandon_round(now)
            return []
        if isinstance(answer, Accepted):
            return self._on_accepted(now, attempt, grantor)
        if answer.lease is not None and answer.lease.holder != self.name:
            self.observe_epoch(answer.lease.epoch)
            return []  # the other grantors may still form a majority
        attempt.promises.add(grantor)
        if len(attempt.promises) < self.majority or not math.isnan(attempt.proposed_at):
            return []
        attempt.proposed_at = now
        epoch = self.current_epoch(now)
        return [Propose(self.duty, attempt.ballot, Lease(self.name, epoch if epoch is not None else attempt.ballot))]

    def _on_accepted(self, now: float, attempt: Round, grantor: str) -> list[Request]:
        if math.isnan(attempt.proposed_at):
            return []
        attempt.acceptances.add(grantor)
        if len(attempt.acceptances) < self.majority:
            return []
        self._round = None
        # The epoch is kept only if the lease has not expired meanwhile: another may have held it in between.
        epoch = self.current_epoch(now)
        self._lease = Lease(self.name, epoch if epoch is not None else attempt.ballot)
        self._held_until = attempt.proposed_at + self._policy.holding_time
        self._next_try = now
        return []

    def _abandon_round(self, now: float) -> None:
        self._round = None
        self._next_try = now + self._policy.pause * (1.0 + self._stagger)

    def release(self, now: float) -> list[Request]:
        """Give up the duty before the lease expires; return the requests to send. It must not act from here on."""
        lease, self._lease, self.wanted = self._lease, None, False
        self._round, self._held_until = None, -math.inf
        return [Released(self.duty, lease)] if lease is not None else []

    def state_key(self, now: float) -> tuple[object, ...]:
        """All state that its actions depend on, with times relative to now: for tests that explore states."""
        attempt = self._round
        attempt_key = (
            None
            if attempt is None
            else (
                attempt.ballot,
                now - attempt.started,
                None if math.isnan(attempt.proposed_at) else now - attempt.proposed_at,
                tuple(sorted(attempt.promises)),
                tuple(sorted(attempt.acceptances)),
            )
        )
        return (
            self._highest_round,
            attempt_key,
            max(0.0, self._next_try - now),
            self._lease,
            max(0.0, self._held_until - now),
            self.wanted,
        )
