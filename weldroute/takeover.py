"""Work in hand that outlives its proxy: what an heir does with it, and who the one heir is. Sans I/O, without clocks.

What was noted of a piece of work (`weldroute.request_journal`) is weighed against the kernel's own account of its
connections (`Seen`): how many bytes went out and how many were read. Notes are written before the act that they tell
of, and the account is exact, so that together they leave no moment in which it is open what has happened:

- an attempt of which less than the whole request went out has never run: a backend begins with the last byte; nor has
  one whose last byte has not come from the caller;
- an attempt of whose answer nothing was read goes on in the heir, which reads the answer (*join*);
- of an answer that was kept the rest is given, from the first byte that has not gone out; one of which only the
  length was noted counts as sent, as long as nothing of it is out.

What an heir does; the first row that applies counts. `never` means that no attempt can have run.

| stage    | class        | besides                              | verdict                                          |
| -------- | ------------ | ------------------------------------ | ------------------------------------------------ |
| any      | any          | the caller has gone                  | nothing                                          |
| answered | any          | all of it is out, and more was read  | refuse what was read: it has certainly not run   |
| answered | any          | every byte of it is out              | nothing; the connection goes on                  |
| answered | any          |                                      | give what is left of the answer                  |
| passing  | any          | or a part out of one that was not kept | cut, so that the caller can tell               |
| sent     | any          | an attempt can be joined, time left  | join                                             |
| taken, or never | any   | time and body left                   | send                                             |
| taken, or never | any   | no time, or no body                  | refuse                                           |
| sent     | safe         | time left                            | send                                             |
| sent     | safe         | no time                              | refuse                                           |
| sent     | keyed        | time, body, within the window        | send, to the group that knows the key            |
| sent     | keyed by all | else, within the window              | refuse                                           |
| sent     | keyed        | else                                 | fail                                             |
| sent     | unsafe       |                                      | fail                                             |

The claim, within one machine. A supervisor names the heir, and only for work of a process that it has *reaped*: one
that was merely stopped may wake and go on. It names an heir by a message that only that heir can receive; what has
not been received it can take back, and then nobody has received it. Who has received one notes the work in its own
book, and by one write to the book of the one before (*adopts*) the work is there, and no longer here; it acts after
that. So at every moment the work is in one book: of an heir that dies before that write it is named anew, of one that
dies after it the work is found in its own book. What an heir has received and neither adopts nor declines waits for
its end: the supervisor can't tell whether it is about to.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from weldroute.model import Group, PriorAttempt, Repeat, RequestClass
from weldroute.request_journal import AttemptEnd, AttemptRecord, Progress, RequestRecord, Stage

AVOID_SECONDS = 0.5  # seconds in which one that has not received what it was offered is offered nothing more
MIN_TIME_LEFT = 0.05  # seconds: with less an heir's attempt can't be answered in time
WINDOW_MARGIN = 0.9  # the part of a keyed class's window in which an heir sends
OK_STATUS_PREFIX = b"HTTP/1.1 200 "


class TakeoverAction(Enum):
    """What an heir does."""

    JOIN = "join"
    SEND = "send"
    SEND_TO_GROUP = "send to the group"
    DELIVER = "give the answer"
    REFUSE = "refuse"
    FAIL = "fail"
    ABORT = "cut"
    NOTHING = "nothing"


@dataclass(frozen=True, slots=True)
class ConnectionCounters:
    """The kernel's account of a connection."""

    written: int  # bytes that programs wrote to it
    read: int  # bytes that programs read from it
    closed_by_peer: bool = False  # the far side has ended it
    unread: int = 0  # bytes that came and were not read yet...
    last_data_age: float = 0.0  # ...and how many seconds ago the last of them came


class IdleConnectionAction(Enum):
    """What becomes of a caller's connection that had no request in hand."""

    KEEP = "keep"
    REFUSE = "refuse"
    DROP = "drop"


def decide_idle_connection(
    read: int, wrote: int, seen: ConnectionCounters | None
) -> tuple[IdleConnectionAction, str]:
    """What an heir does with a caller's connection on which nothing was noted since so much was read and written.

    What the dead owner read and had no time to note has certainly not been sent: it is refused, and the connection
    ends, for the heir can't know how much of a request that was.
    """
    if seen is None or seen.closed_by_peer:
        return IdleConnectionAction.DROP, "its caller has gone"
    if seen.written != wrote:
        return IdleConnectionAction.DROP, "something was answered"
    if seen.read != read:
        return IdleConnectionAction.REFUSE, "what was read of it is lost, and has certainly not run"
    return IdleConnectionAction.KEEP, "nothing was lost"


@dataclass(frozen=True, slots=True)
class RequestAssessment:
    """A piece of work, weighed."""

    request_class: RequestClass
    stage: Stage
    deadline: float  # seconds, of the machine's clock
    body_available: bool = True  # at hand whole, or there is none
    caller_connected: bool = True  # its connection is at hand
    unsent: int = 0  # bytes of the noted answer that have not gone out
    read_ahead: bool = False  # more was read from the caller behind this request
    attempts: tuple[PriorAttempt, ...] = ()

    @property
    def never_ran(self) -> bool:
        """Whether it has certainly not run."""
        return not any(one.maybe_ran for one in self.attempts)


def assess_attempt(one: AttemptRecord, seen: ConnectionCounters | None, came: bool = True) -> PriorAttempt:
    """An attempt, by its note and the account of its connection, if that is at hand.

    `came`: the last byte of the request has come from the caller.
    """
    maybe, joins = came and one.end is not AttemptEnd.NEVER_RAN, False
    if maybe and one.end is AttemptEnd.OPEN and seen is not None:
        out = seen.written - one.bytes_written
        maybe = out >= one.request_length if one.request_length else out > 0
        joins = maybe and 0 < one.request_length <= out and seen.read == one.bytes_read
    return PriorAttempt(one.server, one.sent_at, maybe, joins, one.zone, one.cell)


def assess(
    entry: RequestRecord,
    kind: RequestClass,
    caller: ConnectionCounters | None,
    tries: Sequence[ConnectionCounters | None],
) -> RequestAssessment:
    """What was noted of a piece of work against what its connections tell."""
    left, stage = 0, entry.stage
    there = caller is not None and not caller.closed_by_peer
    if stage is Stage.ANSWERED and caller is not None:
        out = caller.written - entry.bytes_written
        there = there and out <= entry.answer_length  # else something else was answered since
        left = max(0, entry.answer_length - max(0, out))
        if left and entry.answer is None:
            # Its length is all that is known: with nothing out it is as if it had never come.
            stage, left = (Stage.SENT, 0) if out <= 0 else (Stage.STREAMING, 0)
    pasts = tuple(
        assess_attempt(one, seen, entry.body_received) for one, seen in zip(entry.attempts, tries, strict=True)
    )
    more = caller is not None and caller.read > entry.bytes_read
    return RequestAssessment(kind, stage, entry.deadline, entry.has_body, there, left, more, pasts)


def decide_takeover(work: RequestAssessment, now: float) -> tuple[TakeoverAction, str]:
    """What an heir does with a piece of work, and why, for the record; see the table of the module."""
    if not work.caller_connected:
        return TakeoverAction.NOTHING, "its caller has gone"
    if work.stage is Stage.ANSWERED:
        if work.unsent:
            return TakeoverAction.DELIVER, f"{work.unsent} bytes of its answer are left"
        if work.read_ahead:
            return TakeoverAction.REFUSE, "what was read behind it is lost, and has certainly not run"
        return TakeoverAction.NOTHING, "it is answered"
    if work.stage is Stage.STREAMING:
        return TakeoverAction.ABORT, "a part of its answer is out"
    time = work.deadline - now >= MIN_TIME_LEFT
    if time and any(one.joined for one in work.attempts):
        return TakeoverAction.JOIN, "nothing of its backend's answer was read"
    if work.never_ran:
        if time and work.body_available:
            return TakeoverAction.SEND, "it has certainly not run"
        return TakeoverAction.REFUSE, "it has certainly not run, and " + (
            "its body is lost" if time else "its time is up"
        )
    return _decide_sent(work, now, time)


def _decide_sent(work: RequestAssessment, now: float, time: bool) -> tuple[TakeoverAction, str]:
    repeat = work.request_class.repeat
    if repeat is Repeat.SAFE:
        return (
            (TakeoverAction.SEND, "harmless to repeat")
            if time
            else (TakeoverAction.REFUSE, "harmless, and its time is up")
        )
    if repeat is Repeat.UNSAFE:
        return TakeoverAction.FAIL, "it may have run"
    first = min((one.sent for one in work.attempts if one.maybe_ran), default=-math.inf)
    within = now - first < WINDOW_MARGIN * work.request_class.window
    if time and work.body_available and within:
        return TakeoverAction.SEND_TO_GROUP, "its group knows the key"
    why = "its time is up" if not time else "its body is lost" if not work.body_available else "its window is over"
    if work.request_class.group is Group.ALL and within:
        return TakeoverAction.REFUSE, f"whoever gets it again knows the key, and {why}"
    return TakeoverAction.FAIL, f"it may have run, and {why}"


class FollowStep(Enum):
    """What one who follows the work of a key does now."""

    WAIT = "wait"
    DELIVER = "give"
    PROCEED = "ask"


def decide_follow(progress: Progress | None, now: float) -> tuple[FollowStep, str]:
    """What one does who was asked for the same as another has in hand, or had; for times, see `Progress`.

    Only an answer that was served is passed on. Where there is none to be had it asks for itself: its group knows the
    key, within the window that holds for any repeat.
    """
    if progress is None:
        return FollowStep.PROCEED, "it is nowhere in hand"
    if progress.stage is Stage.ANSWERED:
        if now >= progress.replay_until:
            return FollowStep.PROCEED, "its window is over"
        served = progress.answer is not None and progress.answer.startswith(OK_STATUS_PREFIX)
        return (FollowStep.DELIVER, "it is answered") if served else (FollowStep.PROCEED, "it was not served")
    if progress.stage is Stage.STREAMING:
        return FollowStep.PROCEED, "its answer is too long to be kept"
    if now >= progress.deadline:
        return FollowStep.PROCEED, "its time was up"
    return FollowStep.WAIT, "it is in hand"


# ---- the claim ----------------------------------------------------------------------------

RequestRef = tuple[int, int]  # of work: a process, and the slot in its book


@dataclass(slots=True)
class Claim:
    """Who is to have a piece of work."""

    expires_at: float  # when it is of no use to anybody any more
    successor: int = 0  # a process, by a number that is never used again; 0: nobody
    term: int = 0  # grows with each naming
    assigned_at: float = -math.inf  # of the naming
    declined_by: set[int] = field(default_factory=set)  # heirs that can't carry it


@dataclass(slots=True)
class TakeoverPlanner:
    """The supervisor's side of all claims: who inherits, how much at a time, and only from the reaped."""

    max_pending: int = 32  # pieces of work that one heir is given at once
    adoption_timeout: float = 0.25  # seconds until work that an heir has not adopted is taken back, if it can be
    claims: dict[RequestRef, Claim] = field(default_factory=dict)
    orphans: list[RequestRef] = field(default_factory=list)  # work that waits for an heir, most urgent first
    avoided_until: dict[int, float] = field(
        default_factory=dict
    )  # heirs that were slow, and until when they are left out

    def add_orphans(self, process: int, work: Iterable[tuple[int, float]]) -> None:
        """A process is reaped, and leaves these slots of its book; with each, until when an heir is of use."""
        for slot, until in work:
            self.claims[process, slot] = Claim(until)
            self.orphans.append((process, slot))
        self._sort()

    def _sort(self) -> None:
        self.orphans.sort(key=lambda piece: (self.claims[piece].expires_at, piece))

    def on_reaped(self, process: int) -> list[RequestRef]:
        """An heir is no more: what it was given and has not adopted (see `adopted`) waits again."""
        back = [piece for piece, claim in self.claims.items() if claim.successor == process]
        for piece in back:
            self._unassign(piece)
        return back

    def _unassign(self, piece: RequestRef) -> None:
        claim = self.claims[piece]
        claim.successor, claim.assigned_at = 0, -math.inf
        self.orphans.append(piece)
        self._sort()

    def assign(self, now: float, heirs: Iterable[tuple[int, int]]) -> dict[int, list[tuple[RequestRef, int]]]:
        """Name heirs, out of (process, requests that it has in hand): by heir, the work and its term.

        The one with the least in hand is given the next, and none has more than `pace` to adopt at once, so that
        heirs are not pushed over by what they inherit; what is left waits for the next call. What an heir has
        declined goes to another; where all have, it is offered again at the next call.
        """
        load = dict(heirs)
        room = {heir: self.max_pending - self._assigned_count(heir) for heir in load}
        given: dict[int, list[tuple[RequestRef, int]]] = {}
        waiting: list[RequestRef] = []
        for piece in self.orphans:
            claim = self.claims[piece]
            able = [heir for heir in load if room[heir] > 0 and heir not in claim.declined_by and heir != piece[0]]
            if not able:
                if claim.declined_by.issuperset(load):
                    claim.declined_by.clear()
                waiting.append(piece)
                continue
            heir = min(able, key=lambda process: (load[process], process))
            claim.successor, claim.term, claim.assigned_at = heir, claim.term + 1, now
            given.setdefault(heir, []).append((piece, claim.term))
            load[heir] += 1
            room[heir] -= 1
        self.orphans = waiting
        return given

    def _assigned_count(self, heir: int) -> int:
        return sum(claim.successor == heir for claim in self.claims.values())

    def assigned(self) -> list[tuple[RequestRef, Claim]]:
        """Work that was handed on and is not known to be adopted."""
        return [(piece, claim) for piece, claim in self.claims.items() if claim.successor]

    def on_adopted(self, piece: RequestRef) -> None:
        """The heir has it in its own book, or it is over."""
        self.claims.pop(piece, None)
        if piece in self.orphans:
            self.orphans.remove(piece)

    def on_declined(self, piece: RequestRef, heir: int, term: int) -> bool:
        """An heir can't carry it; whether that was its own to say."""
        claim = self.claims.get(piece)
        if claim is None or (claim.successor, claim.term) != (heir, term):
            return False
        claim.declined_by.add(heir)
        self._unassign(piece)
        return True

    def slow_successors(self, now: float) -> set[int]:
        """Heirs with work that they have not adopted in time: what they have not received is to be taken back."""
        return {claim.successor for _, claim in self.assigned() if now - claim.assigned_at > self.adoption_timeout}

    def avoid(self, now: float, heir: int) -> None:
        """It has not received in time what it was offered: most likely it stands still.

        Guards what is handed on against going from one stalled heir to the next, each at the cost of `patience`.
        """
        self.avoided_until[heir] = now + AVOID_SECONDS

    def available(self, now: float, heirs: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
        """Those of (process, requests in hand) that are worth an offer now, the least at work first."""
        self.avoided_until = {heir: until for heir, until in self.avoided_until.items() if until > now}
        return sorted((heir for heir in heirs if heir[0] not in self.avoided_until), key=lambda heir: heir[1])

    def on_withdrawn(self, piece: RequestRef, heir: int, term: int) -> bool:
        """The message that named an heir was not received, and never will be; whether that naming still holds."""
        return self.on_declined(piece, heir, term)

    def expire(self, now: float) -> list[RequestRef]:
        """Work that nobody inherited while it was of use; it is forgotten."""
        late = [piece for piece in self.orphans if self.claims[piece].expires_at <= now]
        for piece in late:
            self.on_adopted(piece)
        return late

    def has_claims(self, process: int) -> bool:
        """Whether anything of a process's book is still claimed or waits."""
        return any(piece[0] == process for piece in self.claims)
