"""One holder of a duty at a time, without a disk: leases that a majority of grantors gives. Sans I/O, without clocks.

PaxosLease (Trencseni and Farago, 2012): a lease is agreed on as a value is in Paxos (Lamport 1998), but every part of
it ends by itself, so that nothing has to be written down. Every event takes the time of the machine's own monotonic
clock; clocks of machines are never compared, only the lengths of times, which may differ by `drift`.

| who     | on                                               | does                                                 |
| ------- | ------------------------------------------------ | ---------------------------------------------------- |
| grantor | prepare(ballot)                                  | under the highest promised: rejects with that; else  |
|         |                                                  | promises, and tells of the lease that has not ended  |
| grantor | propose(ballot, lease)                           | under the highest promised: rejects; else gives it,  |
|         |                                                  | for its whole length from now                        |
| grantor | start without state                              | answers nobody for the longest lease, stretched by   |
|         |                                                  | drift: what it gave and forgot has ended by then     |
| asker   | its wish                                         | takes a ballot over all that it has seen, prepares   |
| asker   | a majority of promises without another's lease   | notes the time, and only then proposes itself        |
| asker   | a majority of acceptances                        | holds from that noted time for the length, shrunk by |
|         |                                                  | drift and margin                                     |
| asker   | rejection, or no majority in time                | gives up this ballot, and tries again later          |

A holder that is stopped and wakes has ended by its own clock, and `may` looks at that clock at the moment of the act:
there is no state "holds" that could be out of date. What an act carries is the epoch, the ballot with which the lease
was first won: of two holders the later has the higher, as long as one grantor of both majorities remembers; and
whoever is acted upon refuses what is lower. Where grantors have forgotten, the later holder may be refused so: it
hears the higher epoch (`saw`) and wins one over that. It errs towards nobody, never towards two.

Renewal is the same exchange, in time, with the same epoch: a grantor's own lease to the asker does not stand in its
way.

Invariant: the time that a holder believes in ends, by any clock, before a majority of grantors is free to give to
another; two majorities have a grantor in common, and that one gives one lease at a time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from weldroute.checks import check_numbers

Ballot = tuple[int, str]  # a round, and the asker; compared in this order
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class LeasePolicy:
    """Times in seconds."""

    length: float = 3.0  # of a lease
    drift: float = 0.02  # two clocks may differ by this part
    margin: float = 0.05  # by which a holder stops earlier still
    renew: float = 0.5  # of its time: from here on a holder asks anew
    patience: float = 1.0  # for which an asker waits for a majority
    pause: float = 0.4  # between two tries of an asker, stretched by its turn

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self, allow_zero=True)
        for name in ("length", "patience", "pause"):
            if getattr(self, name) == 0.0:
                raise ValueError(f"{name}: 0 is not enough")
        if not 0.0 < self.renew < 1.0:
            raise ValueError(f"renew: {self.renew!r} is not between 0 and 1")
        if self.drift >= 0.5:
            raise ValueError(f"drift: {self.drift!r} is half or more")
        if self.holding_time <= 0.0:
            raise ValueError(f"length: {self.length!r} leaves nothing after drift and margin")

    @property
    def holding_time(self) -> float:
        """Seconds for which a holder believes in its lease, from before it proposed it."""
        return self.length * (1.0 - self.drift) / (1.0 + self.drift) - self.margin

    @property
    def restart_wait(self) -> float:
        """Seconds after which whatever a grantor gave before its start has ended, by any clock."""
        return self.length * (1.0 + self.drift) / (1.0 - self.drift)


@dataclass(frozen=True, slots=True)
class Lease:
    """Who has the duty, and the epoch of its acts."""

    holder: str
    epoch: Ballot


@dataclass(frozen=True, slots=True)
class Prepare:
    """To each grantor."""

    duty: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Promise:
    """Nothing under this ballot is taken any more; the lease that is given, if any."""

    duty: str
    ballot: Ballot
    lease: Lease | None


@dataclass(frozen=True, slots=True)
class Propose:
    """To each grantor."""

    duty: str
    ballot: Ballot
    lease: Lease


@dataclass(frozen=True, slots=True)
class Accepted:
    """It is given."""

    duty: str
    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Rejected:
    """A higher one was promised."""

    duty: str
    ballot: Ballot
    promised: Ballot


@dataclass(frozen=True, slots=True)
class Released:
    """The holder has stopped by itself, before its time."""

    duty: str
    lease: Lease


Request = Prepare | Propose | Released
Answer = Promise | Accepted | Rejected


@dataclass(slots=True)
class Grant:
    """What a grantor knows of one duty."""

    promised: Ballot = NO_BALLOT
    lease: Lease | None = None
    expires_at: float = -math.inf


class Grantor:
    """One of those whose majority decides. It keeps nothing that outlives it."""

    def __init__(self, policy: LeasePolicy, now: float, max_duties: int = 1024) -> None:
        policy.check()
        self._policy = policy
        self._ready_at = now + policy.restart_wait
        self._max_duties = max_duties  # duties
        self._grants: dict[str, Grant] = {}

    def on_request(self, now: float, request: Request) -> Answer | None:
        """The answer to a request; None where none is given."""
        if now < self._ready_at:
            return None
        given = self._grants.get(request.duty)
        if given is None:
            if len(self._grants) >= self._max_duties and not self._evict_expired(now):
                return None
            given = self._grants[request.duty] = Grant()
        if given.lease is not None and now >= given.expires_at:
            given.lease = None
        if isinstance(request, Released):
            if given.lease == request.lease:
                given.lease = None
            return None
        if request.ballot < given.promised:
            return Rejected(request.duty, request.ballot, given.promised)
        given.promised = request.ballot
        if isinstance(request, Prepare):
            return Promise(request.duty, request.ballot, given.lease)
        given.lease, given.expires_at = request.lease, now + self._policy.length
        return Accepted(request.duty, request.ballot)

    def _evict_expired(self, now: float) -> bool:
        """Make room by a duty that nobody has; promises about it go with it, which is as after a start.

        So it is done only for one whose lease ended long enough ago that no proposal under way can count.
        """
        for duty, given in self._grants.items():
            if now >= given.expires_at + self._policy.restart_wait:
                del self._grants[duty]
                return True
        return False

    def state_key(self, now: float) -> tuple[object, ...]:
        """All that its answers depend on, with times from now: for tests that explore."""
        rows = tuple(
            (duty, one.promised, one.lease, max(0.0, one.expires_at - now))
            for duty, one in sorted(self._grants.items())
        )
        return (max(0.0, self._ready_at - now), rows)


@dataclass(slots=True)
class Round:
    """One try of an asker."""

    ballot: Ballot
    started: float
    proposed_at: float = math.nan  # when, before it was sent; nan: not yet
    promises: set[str] = field(default_factory=set)
    acceptances: set[str] = field(default_factory=set)


class Proposer:
    """One that may hold a duty, and asks for it as long as it wishes to."""

    def __init__(
        self, policy: LeasePolicy, duty: str, name: str, grantors: Iterable[str], stagger: float = 0.0
    ) -> None:
        """`turn`, from 0 to 1, is its own: askers that began together do not go on together."""
        policy.check()
        self._policy = policy
        self.duty = duty
        self.name = name
        self.grantors = sorted(set(grantors))
        self._turn = stagger
        self._highest_round = 0  # the highest round that it has seen or used
        self._round: Round | None = None
        self._next_try = -math.inf  # when it tries again
        self._lease: Lease | None = None
        self._held_until = -math.inf  # of its own clock
        self.wanted = True

    @property
    def majority(self) -> int:
        """So many grantors decide."""
        return len(self.grantors) // 2 + 1

    def current_epoch(self, now: float) -> Ballot | None:
        """The epoch with which to act at this very moment, or None: it must not."""
        return self._lease.epoch if self._lease is not None and now < self._held_until else None

    def expires_at(self, now: float) -> float:
        """When it stops by its own clock; now, if it holds nothing."""
        return self._held_until if self.current_epoch(now) is not None else now

    def observe_epoch(self, epoch: Ballot) -> None:
        """An epoch that others have acted with: its own next is higher, whatever grantors have forgotten."""
        self._highest_round = max(self._highest_round, epoch[0])

    def next_due(self, now: float) -> float:
        """When `look` has something to do next; at once or later."""
        if self._round is not None:
            return self._round.started + self._policy.patience
        return max(self._next_try, self._renewal_time() if self.current_epoch(now) is not None else now)

    def _renewal_time(self) -> float:
        return self._held_until - self._policy.holding_time * (1.0 - self._policy.renew)

    def tick(self, now: float) -> list[Request]:
        """Called when something is due; what to send to every grantor."""
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
        """A grantor has answered; what to send to every grantor."""
        if isinstance(answer, Rejected):
            self._highest_round = max(self._highest_round, answer.promised[0])
        one = self._round
        if one is None or answer.duty != self.duty or answer.ballot != one.ballot or grantor not in self.grantors:
            return []
        if isinstance(answer, Rejected):
            self._abandon_round(now)
            return []
        if isinstance(answer, Accepted):
            return self._on_accepted(now, one, grantor)
        if answer.lease is not None and answer.lease.holder != self.name:
            self.observe_epoch(answer.lease.epoch)
            return []  # a majority without it may come all the same
        one.promises.add(grantor)
        if len(one.promises) < self.majority or not math.isnan(one.proposed_at):
            return []
        one.proposed_at = now
        epoch = self.current_epoch(now)
        return [Propose(self.duty, one.ballot, Lease(self.name, epoch if epoch is not None else one.ballot))]

    def _on_accepted(self, now: float, one: Round, grantor: str) -> list[Request]:
        if math.isnan(one.proposed_at):
            return []
        one.acceptances.add(grantor)
        if len(one.acceptances) < self.majority:
            return []
        self._round = None
        # Renewed only if it has not ended meanwhile: another may have held it in between.
        epoch = self.current_epoch(now)
        self._lease = Lease(self.name, epoch if epoch is not None else one.ballot)
        self._held_until = one.proposed_at + self._policy.holding_time
        self._next_try = now
        return []

    def _abandon_round(self, now: float) -> None:
        self._round = None
        self._next_try = now + self._policy.pause * (1.0 + self._turn)

    def release(self, now: float) -> list[Request]:
        """Stop, before the time is over; nothing may be done with it from here on."""
        lease, self._lease, self.wanted = self._lease, None, False
        self._round, self._held_until = None, -math.inf
        return [Released(self.duty, lease)] if lease is not None else []

    def state_key(self, now: float) -> tuple[object, ...]:
        """All that its acts depend on, with times from now: for tests that explore."""
        one = self._round
        tried = (
            None
            if one is None
            else (
                one.ballot,
                now - one.started,
                None if math.isnan(one.proposed_at) else now - one.proposed_at,
                tuple(sorted(one.promises)),
                tuple(sorted(one.acceptances)),
            )
        )
        return (
            self._highest_round,
            tried,
            max(0.0, self._next_try - now),
            self._lease,
            max(0.0, self._held_until - now),
            self.wanted,
        )
