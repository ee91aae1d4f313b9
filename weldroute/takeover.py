"""Decides how another process finishes the in-flight requests of a dead one, and which process that is.

Sans I/O and without clocks. The process that takes a request over is its *successor*.

A dead process's journal (`weldroute.request_journal`) is compared with the kernel's byte counters of its connections
(`ConnectionCounters`): how many bytes were sent and how many were read. Journal entries are written before the action
that they describe, and the counters are exact, so that together they always determine what has happened:

- An attempt of which less than the whole request was sent has never run, because a backend starts with the last byte.
  Nor has one whose last byte had not arrived from the caller.
- An attempt of whose answer nothing was read continues in the successor, which reads the answer (*join*).
- The rest of a stored answer is delivered, from the first byte that was not sent. An answer of which only the length
  was recorded counts as a sent request as long as none of it has been sent to the caller.

What a successor does; the first row that applies counts. `never` means that no attempt can have run.

| stage    | class        | further conditions                   | action                                           |
| -------- | ------------ | ------------------------------------ | ------------------------------------------------ |
| any      | any          | the caller has disconnected          | nothing                                          |
| answered | any          | all of it is sent, and more was read | refuse what was read: it has certainly not run   |
| answered | any          | every byte of it is sent             | nothing; the connection continues                |
| answered | any          |                                      | deliver the rest of the answer                   |
| streaming | any         | or part of an unstored answer is sent | abort, so that the caller notices               |
| sent     | any          | an attempt can be joined, time left  | join                                             |
| received, or never | any | time and body available             | send                                             |
| received, or never | any | no time, or no body                 | refuse                                           |
| sent     | safe         | time left                            | send                                             |
| sent     | safe         | no time                              | refuse                                           |
| sent     | keyed        | time, body, within the window        | send, to the group that knows the key            |
| sent     | keyed by all | otherwise, within the window         | refuse                                           |
| sent     | keyed        | otherwise                            | fail                                             |
| sent     | unsafe       |                                      | fail                                             |

Claims, within one machine. A supervisor names the successor, and only for requests of a process that it has *reaped*:
a process that was merely stopped may continue. It names a successor by a message that only this successor can
receive. A message that was not received can be withdrawn, and then nobody has received it. A successor that has
received one records the request in its own journal, and moves it there by one write to the previous journal
(*adopts* it); it acts only after that. So at every moment the request is in one journal: if a successor dies before
that write, another one is named; if it dies after it, the request is found in its own journal. A request that a
successor has received and neither adopts nor declines waits for that process to end: the supervisor cannot know
whether it is about to adopt it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import Enum

from weldroute.model import Group, PriorAttempt, Repeat, RequestClass
from weldroute.request_journal import AttemptEnd, AttemptRecord, Progress, RequestRecord, Stage

AVOID_SECONDS = 0.5  # for which a successor that has not received its offers is offered nothing more
MIN_TIME_LEFT = 0.05  # seconds: with less time left, an attempt of a successor cannot be answered in time
KEY_MARGIN = 60.0  # seconds for which a key stays in the index after its request can be in flight or replayed
WINDOW_MARGIN = 0.9  # part of a keyed class's window in which a successor sends
OK_STATUS_PREFIX = b"HTTP/1.1 200 "


class TakeoverAction(Enum):
    """What a successor does with a request."""

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
    """The kernel's byte counters of a connection."""

    written: int  # bytes that programs wrote to it
    read: int  # bytes that programs read from it
    closed_by_peer: bool = False
    unread: int = 0  # bytes that have arrived and were not read yet
    last_data_age: float = 0.0  # seconds since the last unread byte arrived


class IdleConnectionAction(Enum):
    """What a successor does with a caller's connection that had no in-flight request."""

    KEEP = "keep"
    REFUSE = "refuse"
    DROP = "drop"


def decide_idle_connection(
    recorded_read: int, recorded_written: int, counters: ConnectionCounters | None
) -> tuple[IdleConnectionAction, str]:
    """Decide about a caller's connection without a request; `recorded_*` are its journal's byte counts.

    Bytes that the dead owner read and did not record have certainly not been sent on. The request is refused and the
    connection closed, because the successor cannot know how much of a request those bytes were.
    """
    if counters is None or counters.closed_by_peer:
        return IdleConnectionAction.DROP, "the caller has disconnected"
    if counters.written != recorded_written:
        return IdleConnectionAction.DROP, "bytes were sent to the caller that the journal does not have"
    if counters.read != recorded_read:
        return IdleConnectionAction.REFUSE, "bytes read from the caller are lost, and have certainly not run"
    return IdleConnectionAction.KEEP, "nothing was lost"


@dataclass(frozen=True, slots=True)
class RequestAssessment:
    """An orphaned request, as its journal and its connections' counters describe it."""

    request_class: RequestClass
    stage: Stage
    deadline: float  # seconds, of the machine's clock
    body_available: bool = True  # the whole body is stored, or there is none
    caller_connected: bool = True  # the caller's connection is available
    unsent: int = 0  # bytes of the recorded answer that have not been sent
    read_ahead: bool = False  # more bytes were read from the caller after this request
    attempts: tuple[PriorAttempt, ...] = ()
    attempt_unrecorded: bool = False  # an attempt that is not among `attempts` may have run, or may be running

    @property
    def never_ran(self) -> bool:
        """Whether no backend can have run the request."""
        return not self.attempt_unrecorded and not any(attempt.maybe_ran for attempt in self.attempts)

    @property
    def attempt_ends(self) -> list[AttemptEnd]:
        """How the attempts ended; those that can be joined are open."""
        return [
            AttemptEnd.OPEN if attempt.joined else AttemptEnd.MAYBE_RAN if attempt.maybe_ran else AttemptEnd.NEVER_RAN
            for attempt in self.attempts
        ]


def assess_attempt(
    attempt: AttemptRecord, counters: ConnectionCounters | None, body_received: bool = True
) -> PriorAttempt:
    """Derive an attempt's state from its record and from its connection's counters, if that connection is available.

    `body_received`: the last byte of the request has arrived from the caller.
    """
    maybe_ran, joinable = body_received and attempt.end is not AttemptEnd.NEVER_RAN, False
    if maybe_ran and attempt.end is AttemptEnd.OPEN and counters is not None:
        sent = counters.written - attempt.bytes_written
        maybe_ran = sent >= attempt.request_length if attempt.request_length else sent > 0
        joinable = maybe_ran and 0 < attempt.request_length <= sent and counters.read == attempt.bytes_read
    return PriorAttempt(attempt.server, attempt.sent_at, maybe_ran, joinable, attempt.zone, attempt.cell)


def assess(
    record: RequestRecord,
    request_class: RequestClass,
    caller: ConnectionCounters | None,
    attempts: Sequence[ConnectionCounters | None],
) -> RequestAssessment:
    """Compare a request's record with the counters of its caller's and its attempts' connections."""
    unsent, stage = 0, record.stage
    connected = caller is not None and not caller.closed_by_peer
    if stage is Stage.ANSWERED and caller is not None:
        sent = caller.written - record.bytes_written
        connected = connected and sent <= record.answer_length  # else a later request was answered
        unsent = max(0, record.answer_length - max(0, sent))
        if unsent and record.answer is None:
            # Only its length is known: as long as nothing was sent, the answer counts as never received.
            stage, unsent = (Stage.SENT, 0) if sent <= 0 else (Stage.STREAMING, 0)
    prior_attempts = tuple(
        assess_attempt(attempt, counters, record.body_received)
        for attempt, counters in zip(record.attempts, attempts, strict=True)
    )
    read_ahead = caller is not None and caller.read > record.bytes_read
    return RequestAssessment(
        request_class,
        stage,
        record.deadline,
        record.body_stored,
        connected,
        unsent,
        read_ahead,
        prior_attempts,
        record.attempt_unrecorded,
    )


def decide_takeover(request: RequestAssessment, now: float) -> tuple[TakeoverAction, str]:
    """What a successor does with a request, and the reason for the log; see the table of the module."""
    if not request.caller_connected:
        return TakeoverAction.NOTHING, "the caller has disconnected"
    if request.stage is Stage.ANSWERED:
        if request.unsent:
            return TakeoverAction.DELIVER, f"{request.unsent} bytes of the answer are unsent"
        if request.read_ahead:
            return TakeoverAction.REFUSE, "bytes read after the request are lost, and have certainly not run"
        return TakeoverAction.NOTHING, "the request is answered"
    if request.stage is Stage.STREAMING:
        return TakeoverAction.ABORT, "part of the answer is sent"
    time_left = request.deadline - now >= MIN_TIME_LEFT
    if time_left and not request.attempt_unrecorded and any(attempt.joined for attempt in request.attempts):
        return TakeoverAction.JOIN, "nothing of the backend's answer was read"
    if request.never_ran:
        if time_left and request.body_available:
            return TakeoverAction.SEND, "the request has certainly not run"
        return TakeoverAction.REFUSE, "the request has certainly not run, and " + (
            "its body is lost" if time_left else "its deadline has passed"
        )
    return _decide_sent(request, now, time_left)


def _decide_sent(request: RequestAssessment, now: float, time_left: bool) -> tuple[TakeoverAction, str]:
    repeat = request.request_class.repeat
    if repeat is Repeat.SAFE:
        return (
            (TakeoverAction.SEND, "safe to repeat")
            if time_left
            else (TakeoverAction.REFUSE, "safe to repeat, and its deadline has passed")
        )
    if repeat is Repeat.UNSAFE:
        return TakeoverAction.FAIL, "the request may have run"
    first_sent = min((attempt.sent for attempt in request.attempts if attempt.maybe_ran), default=-math.inf)
    in_window = not request.attempt_unrecorded and now - first_sent < WINDOW_MARGIN * request.request_class.window
    if time_left and request.body_available and in_window:
        return TakeoverAction.SEND_TO_GROUP, "the group of servers knows the key"
    reason = (
        "its deadline has passed"
        if not time_left
        else "its body is lost"
        if not request.body_available
        else "its window is over"
    )
    if request.request_class.group is Group.ALL and in_window:
        return TakeoverAction.REFUSE, f"every server knows the key, and {reason}"
    return TakeoverAction.FAIL, f"the request may have run, and {reason}"


def key_expiry(deadline: float, replay_until: float) -> float:
    """Until when a key stays in the index (seconds, as both arguments): as long as its request may be of use."""
    return max(deadline, replay_until) + KEY_MARGIN


class FollowStep(Enum):
    """What a request that waits for another request of the same key does next."""

    WAIT = "wait"
    DELIVER = "give"
    PROCEED = "ask"


def decide_follow(progress: Progress | None, now: float) -> tuple[FollowStep, str]:
    """What a request does while a request of the same key is, or was, in flight elsewhere; see `Progress` for times.

    Only a 200 answer is passed on. Without one the request is sent to a backend itself: its group of servers knows
    the key, within the window that holds for any repeat.
    """
    if progress is None:
        return FollowStep.PROCEED, "no such request is in flight"
    if progress.stage is Stage.ANSWERED:
        if now >= progress.replay_until:
            return FollowStep.PROCEED, "its window is over"
        served = progress.answer is not None and progress.answer.startswith(OK_STATUS_PREFIX)
        return (
            (FollowStep.DELIVER, "the request is answered")
            if served
            else (FollowStep.PROCEED, "the request was not served")
        )
    if progress.stage is Stage.STREAMING:
        return FollowStep.PROCEED, "the answer is too long to be stored"
    if now >= progress.deadline:
        return FollowStep.PROCEED, "the request's deadline has passed"
    return FollowStep.WAIT, "the request is in flight"


# ---- claims -------------------------------------------------------------------------------

RequestRef = tuple[int, int]  # a process, and the request's slot in its journal


@dataclass(slots=True)
class Claim:
    """Which process is to take an orphaned request over."""

    expires_at: float  # when a takeover is of no use any more
    successor: int = 0  # a process, by a number that is never used again; 0: none
    term: int = 0  # grows each time that a successor is named
    assigned_at: float = -math.inf  # when the successor was named
    declined_by: set[int] = field(default_factory=set)  # successors that cannot take it


@dataclass(slots=True)
class TakeoverPlanner:
    """The supervisor's side of all claims: assigns requests of reaped processes to successors, a few at a time."""

    max_pending: int = 32  # requests that one successor is given at once
    adoption_timeout: float = 0.25  # seconds until an unadopted request is withdrawn, if that is possible
    claims: dict[RequestRef, Claim] = field(default_factory=dict)
    orphans: list[RequestRef] = field(default_factory=list)  # requests without a successor, most urgent first
    avoided_until: dict[int, float] = field(default_factory=dict)  # slow successors: until when they get no offers

    def add_orphans(self, process: int, requests: Iterable[tuple[int, float]]) -> None:
        """Add requests of a reaped process: slots of its journal, each with the time until which it is of use."""
        for slot, expires_at in requests:
            self.claims[process, slot] = Claim(expires_at)
            self.orphans.append((process, slot))
        self._sort()

    def _sort(self) -> None:
        self.orphans.sort(key=lambda request: (self.claims[request].expires_at, request))

    def on_reaped(self, process: int) -> list[RequestRef]:
        """A successor has died: requests that it was given and has not adopted (see `on_adopted`) wait again."""
        returned = [request for request, claim in self.claims.items() if claim.successor == process]
        for request in returned:
            self._unassign(request)
        return returned

    def _unassign(self, request: RequestRef) -> None:
        claim = self.claims[request]
        claim.successor, claim.assigned_at = 0, -math.inf
        self.orphans.append(request)
        self._sort()

    def assign(self, now: float, candidates: Iterable[tuple[int, int]]) -> dict[int, list[tuple[RequestRef, int]]]:
        """Assign requests to candidates (process, in-flight requests); returns requests and terms by successor.

        The candidate with the fewest in-flight requests gets the next one, and none has more than `max_pending` to
        adopt at once, so that takeovers do not overload successors; the rest waits for the next call. A request that
        one successor has declined goes to another; when all have declined it, it is offered again at the next call.
        """
        load = dict(candidates)
        room = {candidate: self.max_pending - self._assigned_count(candidate) for candidate in load}
        assigned: dict[int, list[tuple[RequestRef, int]]] = {}
        waiting: list[RequestRef] = []
        for request in self.orphans:
            claim = self.claims[request]
            eligible = [
                candidate
                for candidate in load
                if room[candidate] > 0 and candidate not in claim.declined_by and candidate != request[0]
            ]
            if not eligible:
                if claim.declined_by.issuperset(load):
                    claim.declined_by.clear()
                waiting.append(request)
                continue
            successor = min(eligible, key=lambda process: (load[process], process))
            claim.successor, claim.term, claim.assigned_at = successor, claim.term + 1, now
            assigned.setdefault(successor, []).append((request, claim.term))
            load[successor] += 1
            room[successor] -= 1
        self.orphans = waiting
        return assigned

    def _assigned_count(self, successor: int) -> int:
        return sum(claim.successor == successor for claim in self.claims.values())

    def assigned(self) -> list[tuple[RequestRef, Claim]]:
        """Requests that have a successor and are not known to be adopted."""
        return [(request, claim) for request, claim in self.claims.items() if claim.successor]

    def on_adopted(self, request: RequestRef) -> None:
        """The successor has the request in its own journal, or the request is over."""
        self.claims.pop(request, None)
        if request in self.orphans:
            self.orphans.remove(request)

    def on_declined(self, request: RequestRef, successor: int, term: int) -> bool:
        """A successor cannot take the request; returns whether the request was still assigned to it in this term."""
        claim = self.claims.get(request)
        if claim is None or (claim.successor, claim.term) != (successor, term):
            return False
        claim.declined_by.add(successor)
        self._unassign(request)
        return True

    def slow_successors(self, now: float) -> set[int]:
        """Successors that have not adopted requests in time: their unreceived offers are to be withdrawn."""
        return {claim.successor for _, claim in self.assigned() if now - claim.assigned_at > self.adoption_timeout}

    def avoid(self, now: float, successor: int) -> None:
        """A successor has not received an offer in time and has most likely stalled: offer it nothing for a while.

        Guards orphaned requests against going from one stalled successor to the next, at the cost of
        `adoption_timeout` each time.
        """
        self.avoided_until[successor] = now + AVOID_SECONDS

    def available(self, now: float, candidates: Iterable[tuple[int, int]]) -> list[tuple[int, int]]:
        """The (process, in-flight requests) that may get an offer now, those with the fewest requests first."""
        self.avoided_until = {process: until for process, until in self.avoided_until.items() if until > now}
        return sorted(
            (candidate for candidate in candidates if candidate[0] not in self.avoided_until),
            key=lambda candidate: candidate[1],
        )

    def on_withdrawn(self, request: RequestRef, successor: int, term: int) -> bool:
        """An offer was withdrawn unreceived; returns whether the request was still assigned to that successor."""
        return self.on_declined(request, successor, term)

    def expire(self, now: float) -> list[RequestRef]:
        """Drop and return the requests that no successor has taken over while that was of use."""
        expired = [request for request in self.orphans if self.claims[request].expires_at <= now]
        for request in expired:
            self.on_adopted(request)
        return expired

    def has_claims(self, process: int) -> bool:
        """Whether any request of a process's journal is still claimed or waits."""
        return any(request[0] == process for request in self.claims)
