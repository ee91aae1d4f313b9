"""Who of many machines is alive: SWIM with suspicion, and a member's doubt in itself. Sans I/O, without clocks.

SWIM (Das, Gupta, Motivala, DSN 2002): each member probes one other a period, itself and then through helpers; who
does not answer is *suspect*, and *dead* when that has not been refuted in time. News of members ride on the probes,
each a bounded number of times. So the work of a member is the same however many there are. Lifeguard (Dadgar,
Phillips, Currey 2017): one that misses answers which others get doubts itself first, probes more slowly and waits
longer; helpers say when they had no answer either (nack); suspicion by many ends sooner than that by one; a suspect
is told so with the next probe. Every event takes the time of the machine's own monotonic clock.

What is believed of a member is one `Row`, and of two rows the greater holds, in the order of incarnation, state, and
what else is in it: rows are a join semilattice, so the order in which news of the living come does not matter.

| state   | becomes by                                             | ends by                                        |
| ------- | ------------------------------------------------------ | ---------------------------------------------- |
| alive   | its own word, of a higher incarnation                  | suspect, dead, left of the same incarnation    |
| suspect | a probe without an answer, or another's word           | its own word; time                             |
| dead    | time as a suspect; another's word, if it was not known | its own word; forgotten after `forget` seconds |
| left    | its own word                                           | its own word; likewise                         |

Only the member itself raises its incarnation: whenever it hears of itself what is not so, to one more than it heard.
So one that comes back without any state needs no clock and no disk: it begins at 1, is told what was last known of it
by the first that it asks, and speaks from above that (`hear`). Two processes of one name (their `life` differs) raise
each other's by turns: that is counted as a conflict, and told.

Cuts. Who is unreachable one way, or for one, is reached by helpers. Whoever is dead is still asked now and then, and
so are the seeds: when a cut heals either side hears that it is thought dead, and refutes. Nobody who is known to be
alive is dead by word alone: the word of others is one more suspicion, and the time to refute it is given by each
member itself. Else one that hears nobody and is heard would end all the others, and healing would for a moment.

A stop. One that has stood still (`look` comes late by more than `pause`) believes nothing that it was waiting for:
its probe counts for nothing, suspicions begin their time anew, and it doubts itself at once.

Bounds: members known (`most`), news in a message (`riding`), rows in an exchange of all (`page`), probes relayed for
others, and how often one piece of news is sent (`spread` times the logarithm of the members).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import IntEnum
from random import Random

from weldroute.checks import check_numbers

MAX_RELAYED_PROBES = 64  # probes that are under way for others
MAX_HEALTH_SCORE = 8  # steps of doubt in itself...
PAUSE_HEALTH_PENALTY = 4  # ...and those of one that had stood still
MAX_SUSPECTED_BY = 32  # names that are kept of who else suspects


class MemberState(IntEnum):
    """Of a member, in the order in which one outweighs another of the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class MemberPolicy:
    """Times in seconds."""

    period: float = 0.5  # between probes
    patience: float = 0.12  # for an answer, before helpers are asked
    helpers: int = 3
    gossip: float = 0.1  # between rounds of news, while there are any...
    fanout: int = 3  # ...each to so many
    riding: int = 8  # news on one message
    spread: float = 3.0  # times the logarithm of the members that each piece of news is sent
    suspicion: float = 3.0  # periods, times the logarithm of the members, for a suspicion that many share...
    alone: float = 4.0  # ...and so many times that for one that nobody shares
    sync: float = 10.0  # between exchanges of all that is known
    page: int = 64  # rows in one of those
    knock: float = 3.0  # between probes of a dead one, or of a seed
    forget: float = 86400.0  # for which the dead and those that left are remembered
    pause: float = 1.0  # by which a look may be late
    most: int = 1024  # members

    def check(self) -> None:
        """Raise ValueError naming the first field that makes no sense."""
        check_numbers(self, allow_zero=True)
        for name in ("period", "patience", "gossip", "sync", "knock", "pause", "fanout", "riding", "page", "most"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: 0 is not enough")
        if self.patience >= self.period:
            raise ValueError("patience: not below period")
        if self.alone < 1.0:
            raise ValueError(f"alone: {self.alone!r} is below 1")


@dataclass(frozen=True, slots=True, order=True)
class MemberRecord:
    """What is believed of a member. The order decides which of two rows about one member holds."""

    incarnation: int
    state: MemberState
    life: int  # of its process, drawn at its start
    address: str
    zone: str = ""
    name: str = ""
    by: str = field(default="", compare=False)  # who says so first, of a suspicion


@dataclass(frozen=True, slots=True)
class Ping:
    """Are you there?"""

    fleet: str
    sender: str
    number: int
    target: str  # whoever else hears it does not answer; "": whoever is at that address
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Yes; or for another, who was asked."""

    fleet: str
    sender: str
    number: int
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Nack:
    """I am here, and had no answer from whom you asked for."""

    fleet: str
    sender: str
    number: int


@dataclass(frozen=True, slots=True)
class PingFor:
    """Please ask this one for me."""

    fleet: str
    sender: str
    number: int
    target: str
    address: str
    patience: float
    news: tuple[MemberRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """News alone."""

    fleet: str
    sender: str
    news: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class Sync:
    """All that one knows, in pages; `asks` for the same."""

    fleet: str
    sender: str
    rows: tuple[MemberRecord, ...]
    asks: bool


Message = Ping | Ack | Nack | PingFor | Gossip | Sync


@dataclass(frozen=True, slots=True)
class Send:
    """To be sent to an address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class StateChange:
    """A member is in another state."""

    record: MemberRecord
    previous: MemberState | None  # None: it is new
    reason: str


Action = Send | StateChange


@dataclass(slots=True)
class Member:
    """One other."""

    record: MemberRecord
    since: float  # of its state
    suspected_by: set[str] = field(default_factory=set)  # who suspects it


@dataclass(slots=True)
class Probe:
    """The one that is under way."""

    target: str
    number: int
    since: float
    timeout: float
    deadline: float
    helpers: int = 0
    nacks: int = 0
    helpers_asked: bool = False


@dataclass(slots=True)
class RelayedProbe:
    """A probe for another."""

    requester: str  # address
    number: int  # the asker's
    deadline: float


@dataclass(slots=True)
class PendingUpdate:
    """A piece of news on its way."""

    record: MemberRecord
    sent: int = 0


class Membership:
    """One member's view of all."""

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
        policy.check()
        self.policy = policy
        self.fleet = fleet
        self._rng = Random(seed)
        self.local = MemberRecord(1, MemberState.ALIVE, self._rng.getrandbits(62), address, zone, name)
        self.members: dict[str, Member] = {}
        self.health_score = 0  # in itself, from 0 to DOUBT_MOST
        self.conflicts = 0  # rows about its name that another process of that name has spoken
        self.foreign_messages = 0  # messages of other fleets
        self._seeds = sorted(set(seeds) - {address})
        self._probe_order: list[str] = []  # whom it probes next, from the end
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

    # ---- what others ask -----------------------------------------------------------------

    @property
    def alive(self) -> list[MemberRecord]:
        """The others that are alive, or only suspect."""
        return [one.record for one in self.members.values() if one.record.state <= MemberState.SUSPECT]

    def state(self, name: str) -> MemberState | None:
        """Of a member; None for one that is not known."""
        if name == self.local.name:
            return self.local.state
        one = self.members.get(name)
        return one.record.state if one is not None else None

    def next_due(self) -> float:
        """When `look` has something to do next."""
        probe = self._probe
        times = [
            self._next_probe,
            self._next_sync,
            self._next_contact_probe,
            *(one.deadline for one in self._relays.values()),
        ]
        if probe is not None:
            times.append(probe.deadline if probe.helpers_asked else probe.since + probe.timeout)
        if self._updates:
            times.append(self._next_gossip)
        times += [
            self._suspicion_deadline(one) for one in self.members.values() if one.record.state is MemberState.SUSPECT
        ]
        return min(times)

    # ---- time ----------------------------------------------------------------------------

    def tick(self, now: float) -> list[Action]:
        """Called when something is due, and often in any case; what to do."""
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
        """The latest moment at which a look was due that has not come: what is later than that is a pause."""
        return min(self._next_probe, self._next_sync, self._next_contact_probe)

    def _on_pause(self, now: float) -> None:
        """It has stood still: what it was waiting for may have come and gone."""
        self._probe = None
        self._relays.clear()
        self._next_probe = now
        self._adjust_health_score(PAUSE_HEALTH_PENALTY)
        for one in self.members.values():
            if one.record.state is MemberState.SUSPECT:
                one.since = now

    def _take_actions(self) -> list[Action]:
        out, self._actions = self._actions, []
        return out

    def _adjust_health_score(self, steps: int) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, max(0, self.health_score + steps))

    # ---- probes --------------------------------------------------------------------------

    def _tick_probe(self, now: float) -> None:
        probe, policy = self._probe, self.policy
        if probe is not None and not probe.helpers_asked and now >= probe.since + probe.timeout:
            self._send_indirect_probes(now, probe)
        if probe is not None and now >= probe.deadline:
            self._probe = None
            missing = probe.helpers - probe.nacks
            # Helpers that are silent too: it may be this member that nobody hears. With none there is no other sign.
            self._adjust_health_score(missing if probe.helpers else 1)
            why = f"no answer to a probe, {probe.nacks} of {probe.helpers} helpers had none"
            self._suspect(now, probe.target, why)
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
        """All in turn, in an order drawn anew for each round (SWIM, 4.3): none is left out for long."""
        while True:
            if not self._probe_order:
                self._probe_order = sorted(row.name for row in self.alive)
                self._rng.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            name = self._probe_order.pop()
            one = self.members.get(name)
            if one is not None and one.record.state <= MemberState.SUSPECT:
                return name

    def _send_ping(self, name: str, number: int) -> None:
        row = self.members[name].record
        news = self._select_updates()
        if row.state is not MemberState.ALIVE and row not in news:
            news = (row, *news)[: self.policy.riding]  # it must be the first to hear of it
        self._actions.append(Send(row.address, Ping(self.fleet, self.local.name, number, name, news)))

    def _send_indirect_probes(self, now: float, probe: Probe) -> None:
        probe.helpers_asked = True
        target = self.members.get(probe.target)
        if target is None:
            return
        others = [
            one.record
            for one in self.members.values()
            if one.record.state is MemberState.ALIVE and one.record.name != probe.target
        ]
        helpers = self._rng.sample(others, min(self.policy.helpers, len(others)))
        probe.helpers = len(helpers)
        self._send_ping(probe.target, probe.number)  # once more: where messages get lost, two are better than one
        left = 0.8 * max(0.0, probe.deadline - now)
        for row in helpers:
            self._actions.append(
                Send(
                    row.address,
                    PingFor(
                        self.fleet,
                        self.local.name,
                        probe.number,
                        probe.target,
                        target.record.address,
                        left,
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

    def _suspect(self, now: float, name: str, why: str) -> None:
        one = self.members.get(name)
        if one is None or one.record.state > MemberState.SUSPECT:
            return
        if one.record.state is MemberState.SUSPECT:
            self._confirm_suspicion(one, self.local.name)
        else:
            self._accept(now, replace(one.record, state=MemberState.SUSPECT, by=self.local.name), why)

    def _confirm_suspicion(self, one: Member, by: str) -> None:
        if by and by not in one.suspected_by and len(one.suspected_by) < MAX_SUSPECTED_BY:
            one.suspected_by.add(by)
            self._enqueue_update(replace(one.record, by=by))

    def _suspicion_deadline(self, one: Member) -> float:
        """When a suspect is dead, if it says nothing: the sooner the more suspect it (Lifeguard, local-aware)."""
        policy = self.policy
        count = len(self.members) + 1
        least = policy.suspicion * max(1.0, math.log10(count)) * policy.period
        most = policy.alone * least
        enough = max(1, min(policy.helpers, count - 2))
        part = math.log(min(len(one.suspected_by), enough + 1)) / math.log(enough + 1) if one.suspected_by else 0.0
        return one.since + max(least, most - (most - least) * part)

    def _expire_suspects(self, now: float) -> None:
        for one in list(self.members.values()):
            if one.record.state is MemberState.SUSPECT and now >= self._suspicion_deadline(one):
                why = f"suspect for {now - one.since:.1f} s, by {len(one.suspected_by)}"
                self._accept(now, replace(one.record, state=MemberState.DEAD, by=self.local.name), why)

    # ---- news ----------------------------------------------------------------------------

    def on_message(self, now: float, address: str, message: Message) -> list[Action]:
        """A message has come from an address; what to do. One of another fleet is counted, and that is all."""
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
            return  # another had this address
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

    def _relay_probe(self, now: float, asker: str, request: PingFor) -> None:
        if len(self._relays) >= MAX_RELAYED_PROBES:
            return
        number = self._next_number()
        self._relays[number] = RelayedProbe(asker, request.number, now + min(request.patience, self.policy.sync))
        one = self.members.get(request.target)
        news = (
            self._select_updates(one.record)
            if one is not None and one.record.state is not MemberState.ALIVE
            else self._select_updates()
        )
        self._actions.append(Send(request.address, Ping(self.fleet, self.local.name, number, request.target, news)))

    def _merge_records(self, now: float, rows: Iterable[MemberRecord]) -> None:
        for row in rows:
            if row.name == self.local.name:
                self._refute(now, row)
            elif row.name:
                self._merge_record(now, self._downgrade_to_suspect(row))

    def _merge_record(self, now: float, row: MemberRecord) -> None:
        one = self.members.get(row.name)
        if one is not None and row <= one.record:
            same = row.incarnation == one.record.incarnation
            if same and row.state is MemberState.SUSPECT and one.record.state is MemberState.SUSPECT:
                self._confirm_suspicion(one, row.by)
            return
        if one is None and len(self.members) >= self.policy.most and not self._evict_dead():
            return
        self._accept(now, row, f"{row.by or 'its own word'} says so")

    def _accept(self, now: float, row: MemberRecord, why: str) -> None:
        """Believe a row that is greater than what was believed."""
        one = self.members.get(row.name)
        before = one.record.state if one is not None else None
        if one is None:
            one = self.members[row.name] = Member(row, now)
            self._probe_order.insert(self._rng.randint(0, len(self._probe_order)), row.name)
        if before is not row.state:
            one.since = now
            self._actions.append(StateChange(row, before, why))
        one.record = row
        one.suspected_by = {row.by} if row.state is MemberState.SUSPECT and row.by else set()
        self._enqueue_update(row)

    def _refute(self, now: float, row: MemberRecord) -> None:
        """What is not so is refuted, from above it."""
        if row.incarnation < self.local.incarnation or row == self.local:
            return
        if row.life != self.local.life and row.state is MemberState.ALIVE:
            self.conflicts += 1
        if row.life == self.local.life and row.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._adjust_health_score(1)
        self.local = replace(self.local, incarnation=row.incarnation + 1)
        self._enqueue_update(self.local)

    def _evict_dead(self) -> bool:
        """Forget the one that has been dead or gone for the longest."""
        gone = [one for one in self.members.values() if one.record.state >= MemberState.DEAD]
        if not gone:
            return False
        del self.members[min(gone, key=lambda one: one.since).record.name]
        return True

    # ---- spreading -----------------------------------------------------------------------

    def _enqueue_update(self, row: MemberRecord) -> None:
        self._updates[row.name] = PendingUpdate(row)

    def _max_transmissions(self) -> int:
        return math.ceil(self.policy.spread * math.log2(len(self.members) + 2))

    def _select_updates(self, *first: MemberRecord) -> tuple[MemberRecord, ...]:
        """News for one message: what was sent the least goes first."""
        rows = list(first)
        most = self._max_transmissions()
        waiting = sorted(self._updates.values(), key=lambda one: (one.sent, one.record.name))
        for one in waiting[: self.policy.riding - len(rows)]:
            if one.record in rows:
                continue
            rows.append(one.record)
            one.sent += 1
            if one.sent >= most:
                del self._updates[one.record.name]
        return tuple(rows)

    def _send_gossip(self) -> None:
        others = [row.address for row in self.alive]
        for address in self._rng.sample(others, min(self.policy.fanout, len(others))):
            news = self._select_updates()
            if news:
                self._actions.append(Send(address, Gossip(self.fleet, self.local.name, news)))

    # ---- all that is known ---------------------------------------------------------------

    def _start_sync(self) -> None:
        """Exchange all with one other; while there is none, with two of the seeds, of which some may be wrong."""
        others = [row.address for row in self.alive]
        targets = [self._rng.choice(others)] if others else self._rng.sample(self._seeds, min(2, len(self._seeds)))
        if not others:
            self._next_sync = self._last_tick + min(self.policy.sync, 2.0 * self.policy.period)
        for address in targets:
            self._send_all_records(address, True)

    def _send_all_records(self, address: str, asks: bool) -> None:
        rows = [self.local, *(one.record for one in self.members.values())]
        for at in range(0, len(rows), self.policy.page):
            page = tuple(rows[at : at + self.policy.page])
            self._actions.append(Send(address, Sync(self.fleet, self.local.name, page, asks and at == 0)))

    def _on_sync(self, now: float, address: str, sync: Sync) -> None:
        if sync.asks:
            self._send_all_records(address, False)  # what was known before: also what the asker has to refute
        self._merge_records(now, sync.rows)

    def _downgrade_to_suspect(self, row: MemberRecord) -> MemberRecord:
        """Of whom another holds for dead, and this one does not: suspect, so that it is asked before."""
        one = self.members.get(row.name)
        if row.state is MemberState.DEAD and one is not None and one.record.state <= MemberState.SUSPECT:
            return replace(row, state=MemberState.SUSPECT)
        return row

    def _send_contact_probe(self, now: float) -> None:
        """Probe one that is dead, or a seed that nobody has: a cut may have healed. Forget who is gone for long."""
        for name, one in list(self.members.items()):
            if one.record.state >= MemberState.DEAD and now - one.since >= self.policy.forget:
                del self.members[name]
        known = {one.record.address for one in self.members.values() if one.record.state <= MemberState.SUSPECT}
        dead = [one.record.address for one in self.members.values() if one.record.state is MemberState.DEAD]
        doors = sorted({*dead, *self._seeds} - known - {self.local.address})
        if doors:
            self._send_all_records(self._rng.choice(doors), True)

    # ---- the end -------------------------------------------------------------------------

    def leave(self, now: float) -> list[Action]:
        """Say to some at once that it leaves; they tell the rest."""
        self._last_tick = now
        self.local = replace(self.local, state=MemberState.LEFT)
        others = [row.address for row in self.alive]
        for address in self._rng.sample(others, min(2 * self.policy.fanout, len(others))):
            self._actions.append(Send(address, Gossip(self.fleet, self.local.name, (self.local,))))
        return self._take_actions()

    def view(self, now: float) -> list[dict[str, object]]:
        """All members for operators, by name: state, since how many seconds, incarnation, who suspects."""
        ones = [Member(self.local, now), *(self.members[name] for name in sorted(self.members))]
        return [
            {
                "name": one.record.name,
                "address": one.record.address,
                "zone": one.record.zone,
                "state": one.record.state.name.lower(),
                "incarnation": one.record.incarnation,
                "since": round(now - one.since, 2),
                "suspected_by": sorted(one.suspected_by),
            }
            for one in ones
        ]
