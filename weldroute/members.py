"""Failure detection among the members of a fleet: SWIM with suspicion and Lifeguard. Sans I/O, without clocks.

SWIM (Das, Gupta, Motivala, DSN 2002): in each period a member probes one other, directly and then through helpers. A
member that does not answer becomes *suspect*, and *dead* if the suspicion is not refuted in time. Updates about
members are piggybacked on the probes, each a bounded number of times, so the load on a member does not depend on the
size of the fleet. Lifeguard (Dadgar, Phillips, Currey 2017): a member that misses answers which others receive raises
its own health score, probes more slowly and waits longer; a helper reports that it had no answer either (nack);
a suspicion shared by many members ends sooner than that of one; a suspect is told of the suspicion with the next
probe. Every event takes the time of the machine's own monotonic clock.

What is known of a member is one `MemberRecord`. Of two records the greater one wins, ordered by incarnation, then
state, then the remaining fields: records form a join semilattice, so the order in which updates about living members
arrive does not matter.

| state   | entered by                                    | left by                                     |
| ------- | --------------------------------------------- | ------------------------------------------- |
| alive   | its own update, of a higher incarnation       | suspect, dead, left of the same incarnation |
| suspect | an unanswered probe, or a report by another   | its own update; timeout                     |
| dead    | timeout as a suspect; a report, if unknown    | its own update; after `forget` seconds      |
| left    | its own update                                | its own update; after `forget` seconds      |

Only the member itself raises its incarnation: when it receives a wrong record about itself, it takes one more than
the incarnation in that record. A member that restarts without state therefore needs neither a clock nor a disk: it
starts at 1, receives the last known record from the first member that it contacts, and refutes it (`on_message`).
Two processes of one name (they differ in `life`) raise each other's incarnation in turns; that is counted as a
conflict and reported.

Partitions. A member that is unreachable in one direction, or for one other member only, is reached through helpers.
Dead members and the seeds are still contacted now and then: once a partition heals, either side learns that it is
believed dead, and refutes that. A report of death never kills a member that is known to be alive: it counts as one
more suspicion, and each member waits the time for a refutation itself. Otherwise a member that receives nothing but
can send would declare all the others dead, and so would both sides for a moment when a partition heals.

Pauses. A member whose `tick` comes late by more than `pause` drops everything that it was waiting for: its probe does
not count, the timeouts of suspicions begin again, and it raises its health score at once.

Bounds: known members (`most`), updates in a message (`riding`), records in a message of a full exchange (`page`),
probes relayed for others, and how often one update is sent (`spread` times the logarithm of the number of members).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from random import Random

from weldroute.checks import check_numbers

MAX_RELAYED_PROBES = 64  # probes in flight on behalf of other members
MAX_HEALTH_SCORE = 8
PAUSE_HEALTH_PENALTY = 4  # added to the health score after a pause of this process
MAX_SUSPECTED_BY = 32  # stored names of members that share one suspicion


class MemberState(IntEnum):
    """State of a member; of two states of the same incarnation the greater one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberPolicy:
    """Settings of the failure detector; times in seconds."""

    period: float = 0.5  # between probes
    patience: float = 0.12  # for an answer to a direct probe, before helpers are asked
    helpers: int = 3  # members asked to probe a target that did not answer
    gossip: float = 0.1  # between gossip rounds, while there are updates to send
    fanout: int = 3  # members that receive one gossip round
    riding: int = 8  # updates in one message
    spread: float = 3.0  # times the logarithm of the number of members: how often each update is sent
    suspicion: float = 3.0  # periods, times the logarithm of the number of members: shortest suspicion timeout
    alone: float = 4.0  # factor on that for a suspicion that no other member shares
    sync: float = 10.0  # between full exchanges
    page: int = 64  # records in one message of a full exchange
    knock: float = 3.0  # between contact probes of a dead member or a seed
    forget: float = 86400.0  # for which dead members and those that left are kept
    pause: float = 1.0  # lateness of a tick from which this process counts as paused
    most: int = 1024  # known members

    def check(self) -> None:
        """Raise ValueError naming the first invalid field."""
        check_numbers(self, allow_zero=True)
        for name in ("period", "patience", "gossip", "sync", "knock", "pause", "fanout", "riding", "page", "most"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: must be greater than 0")
        if self.patience >= self.period:
            raise ValueError("patience: not below period")
        if self.alone < 1.0:
            raise ValueError(f"alone: {self.alone!r} is below 1")


@dataclass(frozen=True, slots=True, order=True)
class MemberRecord:
    """What is known of a member. The order decides which of two records about one member wins."""

    incarnation: int
    state: MemberState
    life: int  # random identifier of the process, drawn at its start
    address: str
    zone: str = ""
    name: str = ""
    by: str = field(default="", compare=False)  # the member that first reported a suspicion or death


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member."""

    fleet: str
    sender: str
    number: int
    target: str  # other members that receive it do not answer; "": whichever member has that address
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a ping, or from a helper on behalf of the probed member."""

    fleet: str
    sender: str
    number: int
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """A helper's report that it is alive itself and had no answer from the probed member."""

    fleet: str
    sender: str
    number: int


@dataclass(frozen=True, slots=True)
class PingFor:
    """Request to a helper to probe a member (SWIM's ping-req)."""

    fleet: str
    sender: str
    number: int
    target: str
    address: str
    patience: float
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """Updates without a probe."""

    fleet: str
    sender: str
    news: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class Sync:
    """One page of all records of the sender; `asks` for the receiver's in return."""

    fleet: str
    sender: str
    rows: tuple[MemberRecord, ...]
    asks: bool


Message = Ping | Ack | Nack | PingFor | Gossip | Sync


@dataclass(frozen=True, slots=True)
class Send:
    """A message to send to an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member has changed its state."""

    record: MemberRecord
    previous: MemberState | None  # None: the member is new
    reason: str


Action = Send | StateChange


@dataclass(slots=True)
class Member:
    """Another member as this one knows it."""

    record: MemberRecord
    state_since: float
    suspected_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Probe:
    """The probe in flight."""

    target: str
    number: int
    started: float
    timeout: float  # seconds from the start until helpers are asked
    deadline: float
    helpers: int = 0
    nacks: int = 0
    helpers_asked: bool = False


@dataclass(slots=True)
class RelayedProbe:
    """A probe in flight on behalf of another member."""

    requester: str  # address
    number: int  # of the requester's probe
    deadline: float


@dataclass(slots=True)
class PendingUpdate:
    """An update that is still to be sent."""

    record: MemberRecord
    sent: int = 0


class Membership:
    """The fleet as one member sees it."""

    def __init__(
        self,
        policy: MemberPolicy,
        fleet: str,
        name: str,
        address: str,
        seeds: Iterable[str],
        now: float,
        seed: int,
        zone: str = "",
    ) -> None:
        """`seeds`: addresses to join by; `seed`: of the random numbers. Raises ValueError for an invalid policy."""
        policy.check()
        self.policy = policy
        self.fleet = fleet
        self._rng = Random(seed)
        self.local = MemberRecord(1, MemberState.ALIVE, self._rng.getrandbits(62), address, zone, name)
        self.members: dict[str, Member] = {}
        self.health_score = 0  # Lifeguard's local health multiplier: 0 is healthy, at most MAX_HEALTH_SCORE
        self.conflicts = 0  # records about its name that came from another process of that name
        self.foreign_messages = 0  # messages of other fleets
        self._seeds = sorted(set(seeds) - {address})
        self._probe_order: list[str] = []  # members to probe next, from the end
        self._probe: Probe | None = None
        self._relays: dict[int, RelayedProbe] = {}
        self._updates: dict[str, PendingUpdate] = {}
        self._last_number = 0
        self._last_tick = now
        self._next_probe = now + policy.period * self._rng.random()
        self._next_gossip = now
        self._next_sync = now
        self._next_contact_probe = now
        self._actions: list[Action] = []
        self._enqueue_update(self.local)

    # ---- queries -------------------------------------------------------------------------

    @property
    def alive(self) -> list[MemberRecord]:
        """The other members that are alive or suspect."""
        return [member.record for member in self.members.values() if member.record.state <= MemberState.SUSPECT]

    def state(self, name: str) -> MemberState | None:
        """The state of a member; None if it is unknown."""
        if name == self.local.name:
            return self.local.state
        member = self.members.get(name)
        return member.record.state if member is not None else None

    def next_due(self) -> float:
        """The time at which `tick` is due next."""
        probe = self._probe
        times = [
            self._next_probe,
            self._next_sync,
            self._next_contact_probe,
            *(relay.deadline for relay in self._relays.values()),
        ]
        if probe is not None:
            times.append(probe.deadline if probe.helpers_asked else probe.started + probe.timeout)
        if self._updates:
            times.append(self._next_gossip)
        times += [
            self._suspicion_deadline(member)
            for member in self.members.values()
            if member.record.state is MemberState.SUSPECT
        ]
        return min(times)

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Do what is due and return the actions to take; to be called at `next_due`, and may be called earlier."""
        gap = now - max(self._last_tick, self._next_scheduled())
        self._last_tick = now
        if gap > self.policy.pause:
            self._on_pause(now)
        self._tick_probe(now)
        self._expire_relays(now)
        self._expire_suspects(now)
        if now >= self._next_sync:
            self._next_sync = now + self.policy.sync * self._rng.uniform(0.5, 1.0)
            self._start_sync()
        if now >= self._next_contact_probe:
            self._next_contact_probe = now + self.policy.knock * self._rng.uniform(0.5, 1.0)
            self._send_contact_probe(now)
        if self._updates and now >= self._next_gossip:
            self._next_gossip = now + self.policy.gossip
            self._send_gossip()
        return self._take_actions()

    def _next_scheduled(self) -> float:
        """The next scheduled time for a tick; a tick that is much later follows a pause of this process."""
        return min(self._next_probe, self._next_sync, self._next_contact_probe)

    def _on_pause(self, now: float) -> None:
        """Drop what was pending before a pause of this process: answers may have come and gone unread."""
        self._probe = None
        self._relays.clear()
        self._next_probe = now
        self._adjust_health_score(PAUSE_HEALTH_PENALTY)
        for member in self.members.values():
            if member.record.state is MemberState.SUSPECT:
                member.state_since = now

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions

    def _adjust_health_score(self, steps: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + steps))

    # ---- probes --------------------------------------------------------------------------

    def _tick_probe(self, now: float) -> None:
        probe, policy = self._probe, self.policy
        if probe is not None and not probe.helpers_asked and now >= probe.started + probe.timeout:
            self._send_indirect_probes(now, probe)
        if probe is not None and now >= probe.deadline:
            self._probe = None
            missing = probe.helpers - probe.nacks
            # Helpers that are silent as well suggest that this member is the one cut off. Without helpers the
            # unanswered probe is the only sign.
            self._adjust_health_score(missing if probe.helpers else 1)
            reason = f"no answer to a probe, {probe.nacks} of {probe.helpers} helpers had none"
            self._suspect(now, probe.target, reason)
        if self._probe is None and now >= self._next_probe:
            stretch = 1.0 + self.health_score
            self._next_probe = now + policy.period * stretch
            target = self._next_target()
            if target is not None:
                self._probe = Probe(target, self._next_number(), now, policy.patience * stretch, self._next_probe)
                self._send_ping(target, self._probe.number)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _next_target(self) -> str | None:
        """The next member to probe: each in turn, in a new random order for each round (SWIM, section 4.3)."""
        while True:
            if not self._probe_order:
                self._probe_order = sorted(record.name for record in self.alive)
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            name = self._probe_order.pop()
            member = self.members.get(name)
            if member is not None and member.record.state <= MemberState.SUSPECT:
                return name

    def _send_ping(self, name: str, number: int) -> None:
        record = self.members[name].record
        news = self._select_updates()
        if record.state is not MemberState.ALIVE and record not in news:
            news = (record, *news)[: self.policy.riding]  # the target must learn of its suspicion first
        self._actions.append(Send(record.address, Ping(self.fleet, self.local.name, number, name, news)))

    def _send_indirect_probes(self, now: float, probe: Probe) -> None:
        probe.helpers_asked = True
        target = self.members.get(probe.target)
        if target is None:
            return
        others = [
            member.record
            for member in self.members.values()
            if member.record.state is MemberState.ALIVE and member.record.name != probe.target
        ]
        helpers = self._rng.sample(others, min(self.policy.helpers, len(others)))
        probe.helpers = len(helpers)
        self._send_ping(probe.target, probe.number)  # a second direct ping, in case the first one was lost
        time_left = 0.8 * max(0.0, probe.deadline - now)
        for record in helpers:
            self._actions.append(
                Send(
                    record.address,
                    PingFor(
                        self.fleet,
                        self.local.name,
                        probe.number,
                        probe.target,
                        target.record.address,
                        time_left,
                        self._select_updates(),
                    ),
                )
            )

    def _expire_relays(self, now: float) -> None:
        for number, relay in list(self._relays.items()):
            if now >= relay.deadline:
                del self._relays[number]
                self._actions.append(Send(relay.requester, Nack(self.fleet, self.local.name, relay.number)))

    # ---- suspicion -----------------------------------------------------------------------

    def _suspect(self, now: float, name: str, reason: str) -> None:
        member = self.members.get(name)
        if member is None or member.record.state > MemberState.SUSPECT:
            return
        if member.record.state is MemberState.SUSPECT:
            self._confirm_suspicion(member, self.local.name)
        else:
            self._accept(now, replace(member.record, state=MemberState.SUSPECT, by=self.local.name), reason)

    def _confirm_suspicion(self, member: Member, by: str) -> None:
        if by and by not in member.suspected_by and len(member.suspected_by) < MAX_SUSPECTED_BY:
            member.suspected_by.add(by)
            self._enqueue_update(replace(member.record, by=by))

    def _suspicion_deadline(self, member: Member) -> float:
        """When a suspect that does not refute is dead: the sooner the more members suspect it (Lifeguard)."""
        policy = self.policy
        count = len(self.members) + 1
        shortest = policy.suspicion * max(1.0, math.log10(count)) * policy.period
        longest = policy.alone * shortest
        enough = max(1, min(policy.helpers, count - 2))
        fraction = (
            math.log(min(len(member.suspected_by), enough + 1)) / math.log(enough + 1) if member.suspected_by else 0.0
        )
        return member.state_since + max(shortest, longest - (longest - shortest) * fraction)

    def _expire_suspects(self, now: float) -> None:
        for member in list(self.members.values()):
            if member.record.state is MemberState.SUSPECT and now >= self._suspicion_deadline(member):
                reason = f"suspect for {now - member.state_since:.1f} s, by {len(member.suspected_by)}"
                self._accept(now, replace(member.record, state=MemberState.DEAD, by=self.local.name), reason)

    # ---- received messages ---------------------------------------------------------------

    def on_message(self, now: float, address: str, message: Message) -> list[Action]:
        """Handle a message from an address and return the actions to take; those of other fleets are only counted."""
        if message.fleet != self.fleet:
            self.foreign_messages += 1
            return []
        if isinstance(message, Ping):
            self._on_ping(now, address, message)
        elif isinstance(message, Ack):
            self._on_ack(now, message)
        elif isinstance(message, Nack):
            if self._probe is not None and message.number == self._probe.number:
                self._probe.nacks += 1
        elif isinstance(message, PingFor):
            self._merge_records(now, message.news)
            self._relay_probe(now, address, message)
        elif isinstance(message, Gossip):
            self._merge_records(now, message.news)
        else:
            self._on_sync(now, address, message)
        return self._take_actions()

    def _on_ping(self, now: float, address: str, ping: Ping) -> None:
        if ping.target not in ("", self.local.name):
            return  # meant for a member that had this address before
        self._merge_records(now, ping.news)
        self._actions.append(
            Send(address, Ack(self.fleet, self.local.name, ping.number, self._select_updates(self.local)))
        )

    def _on_ack(self, now: float, ack: Ack) -> None:
        self._merge_records(now, ack.news)
        relay = self._relays.pop(ack.number, None)
        if relay is not None:
            self._actions.append(Send(relay.requester, Ack(self.fleet, ack.sender, relay.number)))
            return
        probe = self._probe
        if probe is not None and (ack.number, ack.sender) == (probe.number, probe.target):
            self._probe = None
            self._adjust_health_score(0 if probe.helpers_asked else -1)

    def _relay_probe(self, now: float, requester: str, request: PingFor) -> None:
        if len(self._relays) >= MAX_RELAYED_PROBES:
            return
        number = self._next_number()
        self._relays[number] = RelayedProbe(requester, request.number, now + min(request.patience, self.policy.sync))
        member = self.members.get(request.target)
        news = (
            self._select_updates(member.record)
            if member is not None and member.record.state is not MemberState.ALIVE
            else self._select_updates()
        )
        self._actions.append(Send(request.address, Ping(self.fleet, self.local.name, number, request.target, news)))

    def _merge_records(self, now: float, records: Iterable[MemberRecord]) -> None:
        for record in records:
            if record.name == self.local.name:
                self._refute(now, record)
            elif record.name:
                self._merge_record(now, self._downgrade_to_suspect(record))

    def _merge_record(self, now: float, record: MemberRecord) -> None:
        member = self.members.get(record.name)
        if member is not None and record <= member.record:
            same = record.incarnation == member.record.incarnation
            if same and record.state is MemberState.SUSPECT and member.record.state is MemberState.SUSPECT:
                self._confirm_suspicion(member, record.by)
            return
        if member is None and len(self.members) >= self.policy.most and not self._evict_dead():
            return
        self._accept(now, record, f"reported by {record.by or 'the member itself'}")

    def _accept(self, now: float, record: MemberRecord, reason: str) -> None:
        """Store a record that is greater than the known one, and spread it."""
        member = self.members.get(record.name)
        previous = member.record.state if member is not None else None
        if member is None:
            member = self.members[record.name] = Member(record, now)
            self._probe_order.insert(self._rng.randint(0, len(self._probe_order)), record.name)
        if previous is not record.state:
            member.state_since = now
            self._actions.append(StateChange(record, previous, reason))
        member.record = record
        member.suspected_by = {record.by} if record.state is MemberState.SUSPECT and record.by else set()
        self._enqueue_update(record)

    def _refute(self, now: float, record: MemberRecord) -> None:
        """Answer a wrong record about this member with a higher incarnation."""
        if record.incarnation < self.local.incarnation or record == self.local:
            return
        if record.life != self.local.life and record.state is MemberState.ALIVE:
            self.conflicts += 1
        if record.life == self.local.life and record.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._adjust_health_score(1)
        self.local = replace(self.local, incarnation=record.incarnation + 1)
        self._enqueue_update(self.local)

    def _evict_dead(self) -> bool:
        """Make room by removing the member that has been dead or gone for the longest; False if there is none."""
        gone = [member for member in self.members.values() if member.record.state >= MemberState.DEAD]
        if not gone:
            return False
        del self.members[min(gone, key=lambda member: member.state_since).record.name]
        return True

    # ---- gossip --------------------------------------------------------------------------

    def _enqueue_update(self, record: MemberRecord) -> None:
        self._updates[record.name] = PendingUpdate(record)

    def _max_transmissions(self) -> int:
        return math.ceil(self.policy.spread * math.log2(len(self.members) + 2))

    def _select_updates(self, *first: MemberRecord) -> tuple[MemberRecord, ...]:
        """Updates for one message, after `first`: those that were sent least often."""
        records = list(first)
        max_transmissions = self._max_transmissions()
        waiting = sorted(self._updates.values(), key=lambda update: (update.sent, update.record.name))
        for update in waiting[: self.policy.riding - len(records)]:
            if update.record in records:
                continue
            records.append(update.record)
            update.sent += 1
            if update.sent >= max_transmissions:
                del self._updates[update.record.name]
        return tuple(records)

    def _send_gossip(self) -> None:
        others = [record.address for record in self.alive]
        for address in self._rng.sample(others, min(self.policy.fanout, len(others))):
            news = self._select_updates()
            if news:
                self._actions.append(Send(address, Gossip(self.fleet, self.local.name, news)))

    # ---- full exchange -------------------------------------------------------------------

    def _start_sync(self) -> None:
        """Exchange all records with one other member, or with two seeds (some may be wrong) while none is known."""
        others = [record.address for record in self.alive]
        targets = [self._rng.choice(others)] if others else self._rng.sample(self._seeds, min(2, len(self._seeds)))
        if not others:
            self._next_sync = self._last_tick + min(self.policy.sync, 2.0 * self.policy.period)
        for address in targets:
            self._send_all_records(address, True)

    def _send_all_records(self, address: str, asks: bool) -> None:
        records = [self.local, *(member.record for member in self.members.values())]
        for start in range(0, len(records), self.policy.page):
            page = tuple(records[start : start + self.policy.page])
            self._actions.append(Send(address, Sync(self.fleet, self.local.name, page, asks and start == 0)))

    def _on_sync(self, now: float, address: str, sync: Sync) -> None:
        if sync.asks:
            # Records from before the merge: they include those that the sender has to refute.
            self._send_all_records(address, False)
        self._merge_records(now, sync.rows)

    def _downgrade_to_suspect(self, record: MemberRecord) -> MemberRecord:
        """Turn a report of death into a suspicion if the member is not dead here, so that it can refute first."""
        member = self.members.get(record.name)
        if record.state is MemberState.DEAD and member is not None and member.record.state <= MemberState.SUSPECT:
            return replace(record, state=MemberState.SUSPECT)
        return record

    def _send_contact_probe(self, now: float) -> None:
        """Contact a dead member or an unknown seed, in case a partition has healed; drop members gone for long."""
        for name, member in list(self.members.items()):
            if member.record.state >= MemberState.DEAD and now - member.state_since >= self.policy.forget:
                del self.members[name]
        known = {
            member.record.address for member in self.members.values() if member.record.state <= MemberState.SUSPECT
        }
        dead = [member.record.address for member in self.members.values() if member.record.state is MemberState.DEAD]
        candidates = sorted({*dead, *self._seeds} - known - {self.local.address})
        if candidates:
            self._send_all_records(self._rng.choice(candidates), True)

    # ---- leaving and reports -------------------------------------------------------------

    def leave(self, now: float) -> list[Action]:
        """Announce to some members that this one leaves; they spread it."""
        self._last_tick = now
        self.local = replace(self.local, state=MemberState.LEFT)
        others = [record.address for record in self.alive]
        for address in self._rng.sample(others, min(2 * self.policy.fanout, len(others))):
            self._actions.append(Send(address, Gossip(self.fleet, self.local.name, (self.local,))))
        return self._take_actions()

    def view(self, now: float) -> list[dict[str, object]]:
        """All members for operators, sorted by name; `since`: seconds in the state."""
        members = [Member(self.local, now), *(self.members[name] for name in sorted(self.members))]
        return [
            {
                "name": member.record.name,
                "address": member.record.address,
                "zone": member.record.zone,
                "state": member.record.state.name.lower(),
                "incarnation": member.record.incarnation,
                "since": round(now - member.state_since, 2),
                "suspected_by": sorted(member.suspected_by),
            }
            for member in members
        ]
