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
NOTHING: Ballot = (0, "")


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
        if self.held <= 0.0:
            raise ValueError(f"length: {self.length!r} leaves nothing after drift and margin")

    @property
    def held(self) -> float:
        """Seconds for which a holder believes in its lease, from before it proposed it."""
        return self.length * (1.0 - self.drift) / (1.0 + self.drift) - self.margin

    @property
    def forgotten(self) -> float:
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
class Given:
    """What a grantor knows of one duty."""

    promised: Ballot = NOTHING
    lease: Lease | None = None
    until: float = -math.inf


class Grantor:
    """One of those whose majority decides. It keeps nothing that outlives it."""

    def __init__(self, policy: LeasePolicy, now: float, most: int = 1024) -> None:
        policy.check()
        self._policy = policy
        self._silent_until = now + policy.forgotten
        self._most = most  # duties
        self._given: dict[str, Given] = {}

    def hear(self, now: float, request: Request) -> Answer | None:
        """The answer to a request; None where none is given."""
        if now < self._silent_until:
            return None
        given = self._given.get(request.duty)
        if given is None:
            if len(self._given) >= self._most and not self._forget(now):
                return None
            given = self._given[request.duty] = Given()
        if given.lease is not None and now >= given.until:
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
        given.lease, given.until = request.lease, now + self._policy.length
        return Accepted(request.duty, request.ballot)

    def _forget(self, now: float) -> bool:
        """Make room by a duty that nobody has; promises about it go with it, which is as after a start.

        So it is done only for one whose lease ended long enough ago that no proposal under way can count.
        """
        for duty, given in self._given.items():
            if now >= given.until + self._policy.forgotten:
                del self._given[duty]
                return True
        return False

    def key(self, now: float) -> tuple[object, ...]:
        """All that its answers depend on, with times from now: for tests that explore."""
        rows = tuple(
            (duty, one.promised, one.lease, max(0.0, one.until - now)) for duty, one in sorted(self._given.items())
        )
        return (max(0.0, self._silent_until - now), rows)


@dataclass(slots=True)
class Round:
    """One try of an asker."""

    ballot: Ballot
    since: float
    proposed: float = math.nan  # when, before it was sent; nan: not yet
    promises: set[str] = field(default_factory=set)
    accepted: set[str] = field(default_factory=set)


class Asker:
    """One that may hold a duty, and asks for it as long as it wishes to."""

    def __init__(self, policy: LeasePolicy, duty: str, name: str, grantors: Iterable[str], turn: float = 0.0) -> None:
        """`turn`, from 0 to 1, is its own: askers that began together do not go on together."""
        policy.check()
        self._policy = policy
        self.duty = duty
        self.name = name
        self.grantors = sorted(set(grantors))
        self._turn = turn
        self._seen = 0  # the highest round that it has seen or used
        self._round: Round | None = None
        self._next = -math.inf  # when it tries again
        self._lease: Lease | None = None
        self._until = -math.inf  # of its own clock
        self.wishes = True

    @property
    def majority(self) -> int:
        """So many grantors decide."""
        return len(self.grantors) // 2 + 1

    def may(self, now: float) -> Ballot | None:
        """The epoch with which to act at this very moment, or None: it must not."""
        return self._lease.epoch if self._lease is not None and now < self._until else None

    def until(self, now: float) -> float:
        """When it stops by its own clock; now, if it holds nothing."""
        return self._until if self.may(now) is not None else now

    def saw(self, epoch: Ballot) -> None:
        """An epoch that others have acted with: its own next is higher, whatever grantors have forgotten."""
        self._seen = max(self._seen, epoch[0])

    def due(self, now: float) -> float:
        """When `look` has something to do next; at once or later."""
        if self._round is not None:
            return self._round.since + self._policy.patience
        return max(self._next, self._renew_at() if self.may(now) is not None else now)

    def _renew_at(self) -> float:
        return self._until - self._policy.held * (1.0 - self._policy.renew)

    def look(self, now: float) -> list[Request]:
        """Called when something is due; what to send to every grantor."""
        if self._round is not None and now - self._round.since >= self._policy.patience:
            self._give_up(now)
        if not self.wishes or self._round is not None or now < self._next:
            return []
        if self.may(now) is not None and now < self._renew_at():
            return []
        self._seen += 1
        self._round = Round((self._seen, self.name), now)
        return [Prepare(self.duty, self._round.ballot)]

    def hear(self, now: float, grantor: str, answer: Answer) -> list[Request]:
        """A grantor has answered; what to send to every grantor."""
        if isinstance(answer, Rejected):
            self._seen = max(self._seen, answer.promised[0])
        one = self._round
        if one is None or answer.duty != self.duty or answer.ballot != one.ballot or grantor not in self.grantors:
            return []
        if isinstance(answer, Rejected):
            self._give_up(now)
            return []
        if isinstance(answer, Accepted):
            return self._accepted(now, one, grantor)
        if answer.lease is not None and answer.lease.holder != self.name:
            self.saw(answer.lease.epoch)
            return []  # a majority without it may come all the same
        one.promises.add(grantor)
        if len(one.promises) < self.majority or not math.isnan(one.proposed):
            return []
        one.proposed = now
        epoch = self.may(now)
        return [Propose(self.duty, one.ballot, Lease(self.name, epoch if epoch is not None else one.ballot))]

    def _accepted(self, now: float, one: Round, grantor: str) -> list[Request]:
        if math.isnan(one.proposed):
            return []
        one.accepted.add(grantor)
        if len(one.accepted) < self.majority:
            return []
        self._round = None
        # Renewed only if it has not ended meanwhile: another may have held it in between.
        epoch = self.may(now)
        self._lease = Lease(self.name, epoch if epoch is not None else one.ballot)
        self._until = one.proposed + self._policy.held
        self._next = now
        return []

    def _give_up(self, now: float) -> None:
        self._round = None
        self._next = now + self._policy.pause * (1.0 + self._turn)

    def release(self, now: float) -> list[Request]:
        """Stop, before the time is over; nothing may be done with it from here on."""
        lease, self._lease, self.wishes = self._lease, None, False
        self._round, self._until = None, -math.inf
        return [Released(self.duty, lease)] if lease is not None else []

    def key(self, now: float) -> tuple[object, ...]:
        """All that its acts depend on, with times from now: for tests that explore."""
        one = self._round
        tried = (
            None
            if one is None
            else (
                one.ballot,
                now - one.since,
                None if math.isnan(one.proposed) else now - one.proposed,
                tuple(sorted(one.promises)),
                tuple(sorted(one.accepted)),
            )
        )
        return (self._seen, tried, max(0.0, self._next - now), self._lease, max(0.0, self._until - now), self.wishes)
