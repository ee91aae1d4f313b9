"""Takeover decisions: the table of actions, and that exactly one process sends a request in every interleaving."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute.model import Group, PriorAttempt, Repeat, RequestClass
from weldroute.request_journal import AttemptEnd, AttemptRecord, Progress, RequestRecord, Stage
from weldroute.takeover import (
    MIN_TIME_LEFT,
    OK_STATUS_PREFIX,
    Claim,
    ConnectionCounters,
    FollowStep,
    IdleConnectionAction,
    RequestAssessment,
    RequestRef,
    TakeoverAction,
    TakeoverPlanner,
    assess,
    assess_attempt,
    decide_follow,
    decide_idle_connection,
    decide_takeover,
)

SAFE = RequestClass("view", repeat=Repeat.SAFE)
KEYED = RequestClass("submit", repeat=Repeat.KEYED, group=Group.ZONE, window=4.0)
KEYED_ALL = replace(KEYED, group=Group.ALL)
UNSAFE = RequestClass("once", repeat=Repeat.UNSAFE)
SENT = (PriorAttempt(1, 10.0),)
NEVER = (PriorAttempt(1, 10.0, maybe_ran=False),)
JOINED = (PriorAttempt(1, 10.0, joined=True),)


@pytest.mark.parametrize(
    ("request_state", "now", "action"),
    [
        (RequestAssessment(SAFE, Stage.SENT, 20.0, caller_connected=False), 11.0, TakeoverAction.NOTHING),
        (RequestAssessment(UNSAFE, Stage.ANSWERED, 20.0), 11.0, TakeoverAction.NOTHING),
        (RequestAssessment(UNSAFE, Stage.ANSWERED, 20.0, unsent=3), 11.0, TakeoverAction.DELIVER),
        (RequestAssessment(UNSAFE, Stage.ANSWERED, 20.0, read_ahead=True), 11.0, TakeoverAction.REFUSE),
        (RequestAssessment(UNSAFE, Stage.ANSWERED, 20.0, unsent=3, read_ahead=True), 11.0, TakeoverAction.DELIVER),
        (RequestAssessment(SAFE, Stage.STREAMING, 20.0), 11.0, TakeoverAction.ABORT),
        (RequestAssessment(UNSAFE, Stage.RECEIVED, 20.0), 11.0, TakeoverAction.SEND),
        (RequestAssessment(UNSAFE, Stage.SENT, 20.0, attempts=NEVER), 11.0, TakeoverAction.SEND),
        (
            RequestAssessment(UNSAFE, Stage.SENT, 20.0, body_available=False, attempts=NEVER),
            11.0,
            TakeoverAction.REFUSE,
        ),
        (RequestAssessment(KEYED, Stage.RECEIVED, 11.0), 11.0, TakeoverAction.REFUSE),
        (RequestAssessment(UNSAFE, Stage.SENT, 20.0, attempts=JOINED), 11.0, TakeoverAction.JOIN),
        (
            RequestAssessment(UNSAFE, Stage.SENT, 20.0, body_available=False, attempts=JOINED),
            11.0,
            TakeoverAction.JOIN,
        ),
        (RequestAssessment(UNSAFE, Stage.SENT, 11.0, attempts=JOINED), 11.0, TakeoverAction.FAIL),
        (RequestAssessment(SAFE, Stage.SENT, 20.0, attempts=SENT), 11.0, TakeoverAction.SEND),
        (RequestAssessment(SAFE, Stage.SENT, 11.0, attempts=SENT), 11.0, TakeoverAction.REFUSE),
        (RequestAssessment(KEYED, Stage.SENT, 20.0, attempts=SENT), 11.0, TakeoverAction.SEND_TO_GROUP),
        (RequestAssessment(KEYED, Stage.SENT, 20.0, attempts=SENT), 13.7, TakeoverAction.FAIL),
        (RequestAssessment(KEYED, Stage.SENT, 20.0, attempts=SENT, body_available=False), 11.0, TakeoverAction.FAIL),
        (RequestAssessment(KEYED, Stage.SENT, 11.0, attempts=SENT), 11.0, TakeoverAction.FAIL),
        (RequestAssessment(KEYED_ALL, Stage.SENT, 11.0, attempts=SENT), 11.0, TakeoverAction.REFUSE),
        (RequestAssessment(KEYED_ALL, Stage.SENT, 20.0, attempts=SENT), 14.0, TakeoverAction.FAIL),
        (RequestAssessment(UNSAFE, Stage.SENT, 20.0, attempts=SENT), 11.0, TakeoverAction.FAIL),
    ],
)
def test_table_of_actions(request_state: RequestAssessment, now: float, action: TakeoverAction) -> None:
    found, reason = decide_takeover(request_state, now)
    assert found is action and reason


@given(
    st.sampled_from([SAFE, KEYED, KEYED_ALL, UNSAFE]),
    st.sampled_from(list(Stage)),
    st.floats(0.0, 30.0),
    st.floats(0.0, 30.0),
    st.booleans(),
    st.booleans(),
    st.integers(0, 2),
    st.booleans(),
    st.lists(st.tuples(st.floats(0.0, 30.0), st.booleans(), st.booleans()), max_size=3),
)
def test_rules_hold_for_every_request_that_can_be_taken_over(
    request_class: RequestClass,
    stage: Stage,
    deadline: float,
    now: float,
    body_available: bool,
    caller_connected: bool,
    unsent: int,
    read_ahead: bool,
    sent: list[tuple[float, bool, bool]],
) -> None:
    attempts = tuple(PriorAttempt(1, sent_at, maybe_ran, maybe_ran and joined) for sent_at, maybe_ran, joined in sent)
    assessment = RequestAssessment(
        request_class, stage, deadline, body_available, caller_connected, unsent, read_ahead, attempts
    )
    action, _ = decide_takeover(assessment, now)
    maybe_ran = any(attempt.maybe_ran for attempt in attempts)
    sends = action in (TakeoverAction.SEND, TakeoverAction.SEND_TO_GROUP)
    if sends or action is TakeoverAction.JOIN:
        assert caller_connected and deadline - now >= MIN_TIME_LEFT and stage < Stage.STREAMING
    if sends:
        assert body_available or request_class.repeat is Repeat.SAFE
    if stage < Stage.STREAMING and request_class.repeat is Repeat.UNSAFE and maybe_ran:
        assert not sends and action is not TakeoverAction.REFUSE, "the request may have run"
    if stage < Stage.STREAMING and request_class.repeat is Repeat.KEYED and maybe_ran and sends:
        assert action is TakeoverAction.SEND_TO_GROUP
        assert now - min(attempt.sent for attempt in attempts if attempt.maybe_ran) < request_class.window
    if stage < Stage.STREAMING and request_class is KEYED and maybe_ran:
        assert action is not TakeoverAction.REFUSE
    if action is TakeoverAction.JOIN:
        assert any(attempt.joined for attempt in attempts)
    if caller_connected and stage < Stage.STREAMING:
        assert action not in (TakeoverAction.NOTHING, TakeoverAction.ABORT, TakeoverAction.DELIVER), (
            "an answer is due"
        )


def attempt_record(length: int = 100, end: AttemptEnd = AttemptEnd.OPEN) -> AttemptRecord:
    return AttemptRecord(1, 0, 0, 10.0, end, 5, 77, length, bytes_written=1000, bytes_read=500)


@pytest.mark.parametrize(
    ("record", "counters", "maybe_ran", "joinable"),
    [
        (attempt_record(), None, True, False),  # its connection is closed
        (attempt_record(), ConnectionCounters(1000, 500), False, False),  # nothing was sent
        (attempt_record(), ConnectionCounters(1099, 500), False, False),  # all but the last byte
        (attempt_record(), ConnectionCounters(1100, 500), True, True),
        (attempt_record(), ConnectionCounters(1100, 501), True, False),  # a byte of the answer was read, and is lost
        (
            attempt_record(),
            ConnectionCounters(1100, 500, closed_by_peer=True),
            True,
            True,
        ),  # its answer can still be read
        (attempt_record(0), ConnectionCounters(1000, 500), False, False),  # a body that is streamed
        (attempt_record(0), ConnectionCounters(1001, 500), True, False),
        (attempt_record(end=AttemptEnd.NEVER_RAN), ConnectionCounters(1100, 500), False, False),
        (attempt_record(end=AttemptEnd.MAYBE_RAN), ConnectionCounters(1100, 500), True, False),
    ],
)
def test_attempt_state_from_connection_counters(
    record: AttemptRecord, counters: ConnectionCounters | None, maybe_ran: bool, joinable: bool
) -> None:
    prior = assess_attempt(record, counters)
    assert (prior.maybe_ran, prior.joined) == (maybe_ran, joinable)


@pytest.mark.parametrize(
    ("request_class", "action"),
    [(SAFE, TakeoverAction.SEND), (KEYED, TakeoverAction.FAIL), (UNSAFE, TakeoverAction.FAIL)],
)
def test_attempt_without_a_record_may_have_run(request_class: RequestClass, action: TakeoverAction) -> None:
    """Guards against a second run where nothing is known of an attempt (review/1), whatever the others show."""
    joinable = PriorAttempt(1, 10.0, joined=True)
    for attempts in ((), (PriorAttempt(1, 10.0, maybe_ran=False),), (joinable,)):
        request = RequestAssessment(request_class, Stage.SENT, 20.0, attempts=attempts, attempt_unrecorded=True)
        assert decide_takeover(request, 10.5)[0] is action


def test_attempt_cannot_have_run_before_the_last_body_byte_arrived() -> None:
    assert assess_attempt(attempt_record(0), ConnectionCounters(5000, 500), body_received=False).maybe_ran is False
    assert assess_attempt(attempt_record(0), None, body_received=False).maybe_ran is False
    assert assess_attempt(attempt_record(0), ConnectionCounters(5000, 500), body_received=True).maybe_ran is True


def request_record(
    stage: Stage, answer: bytes | None = None, closes_connection: bool = False, length: int = 10
) -> RequestRecord:
    request = b"GET / HTTP/1.1\r\n\r\n"
    return RequestRecord(
        0, stage, 9, 77, 20.0, 9.0, request, True, True, closes_connection, 300, 200, length, answer, (), None
    )


@pytest.mark.parametrize(
    ("counters", "unsent", "read_ahead"),
    [
        (ConnectionCounters(200, 300), 10, False),
        (ConnectionCounters(203, 300), 7, False),
        (ConnectionCounters(210, 300), 0, False),
        (ConnectionCounters(210, 301), 0, True),
    ],
)
def test_rest_of_a_recorded_answer_is_unsent(counters: ConnectionCounters, unsent: int, read_ahead: bool) -> None:
    assessment = assess(request_record(Stage.ANSWERED, b"0123456789"), SAFE, counters, ())
    assert (assessment.unsent, assessment.read_ahead, assessment.caller_connected) == (unsent, read_ahead, True)


@pytest.mark.parametrize(
    ("written", "action"),
    [
        (200, TakeoverAction.SEND),
        (203, TakeoverAction.ABORT),
        (210, TakeoverAction.NOTHING),
        (211, TakeoverAction.NOTHING),
    ],
)
def test_answer_of_which_only_the_length_was_recorded(written: int, action: TakeoverAction) -> None:
    assessment = assess(request_record(Stage.ANSWERED), SAFE, ConnectionCounters(written, 300), ())
    assert decide_takeover(assessment, 11.0)[0] is action


def test_closed_caller_and_caller_with_a_later_answer_count_as_disconnected() -> None:
    assert not assess(
        request_record(Stage.RECEIVED), SAFE, ConnectionCounters(200, 300, closed_by_peer=True), ()
    ).caller_connected
    assert not assess(request_record(Stage.RECEIVED), SAFE, None, ()).caller_connected
    assert not assess(
        request_record(Stage.ANSWERED, b"0123456789"), SAFE, ConnectionCounters(211, 400), ()
    ).caller_connected


@pytest.mark.parametrize(
    ("counters", "action"),
    [
        (None, IdleConnectionAction.DROP),
        (ConnectionCounters(5, 7, closed_by_peer=True), IdleConnectionAction.DROP),
        (ConnectionCounters(5, 7), IdleConnectionAction.KEEP),
        (ConnectionCounters(5, 8), IdleConnectionAction.REFUSE),
        (ConnectionCounters(6, 8), IdleConnectionAction.DROP),  # what was read was answered already
    ],
)
def test_idle_connection(counters: ConnectionCounters | None, action: IdleConnectionAction) -> None:
    assert decide_idle_connection(7, 5, counters)[0] is action


# ---- every interleaving of an owner, two successors and their supervisor -------------------

MAX_TERMS = 2  # terms of one request; further ones would only repeat states that exist already


@dataclass(frozen=True)
class Process:
    """A process. A received offer goes through the steps one by one, and the process may stop between any two."""

    state: str = "runs"  # runs, stopped, dead
    reaped: bool = False
    offers: tuple[tuple[RequestRef, int], ...] = ()  # sent to it, not received
    offer: tuple[RequestRef, int] | None = None  # received
    step: str = ""  # received, looked, noted, adopted, done
    owners: frozenset[int] = frozenset()  # previous owners, whose attempts its record holds
    saw_attempt: bool = False  # whether it found that one of them had sent the request
    adopted: int = 0  # term in which another process adopted the request from this one's journal


@dataclass(frozen=True)
class State:
    """One request, its owner (index 0) and two successors; a process's number is its index plus 1."""

    processes: tuple[Process, ...] = (Process(step="adopted"), Process(), Process())
    claims: tuple[tuple[RequestRef, int, int], ...] = ()  # request, successor, term: as the supervisor has them
    orphans: tuple[RequestRef, ...] = ()
    senders: tuple[int, ...] = ()  # indices of the processes that sent the request


@dataclass(frozen=True)
class Defect:
    """A planted defect, to check that the exploration finds it."""

    no_fence: bool = False  # requests of a process that is only stopped are given to others
    reassigns_received: bool = False  # another successor is named although the first has received the offer
    trusts_unadopted: bool = False  # a dead successor's record counts, whether adopted or not


def _with_process(state: State, index: int, process: Process, **changes: object) -> State:
    processes = tuple(process if j == index else other for j, other in enumerate(state.processes))
    return replace(state, processes=processes, **changes)  # type: ignore[arg-type]


def _process_steps(state: State, index: int) -> Iterator[State]:
    process = state.processes[index]
    if process.state == "stopped":
        yield _with_process(state, index, replace(process, state="runs"))
    if process.state != "runs":
        return
    yield _with_process(state, index, replace(process, state="stopped"))
    if process.step in ("", "done") and process.offers:
        yield _with_process(
            state, index, replace(process, offers=process.offers[1:], offer=process.offers[0], step="received")
        )
    elif process.step == "received" and process.offer is not None:
        previous = process.offer[0][0] - 1
        owners = state.processes[previous].owners | {previous}
        yield _with_process(
            state,
            index,
            replace(process, step="looked", owners=owners, saw_attempt=not owners.isdisjoint(state.senders)),
        )
        yield _with_process(state, index, replace(process, step="declined"))
    elif process.step == "looked":
        yield _with_process(state, index, replace(process, step="noted"))
    elif process.step == "noted" and process.offer is not None:
        yield from _adopt(state, index, process, process.offer)
    elif process.step == "adopted":
        yield _with_process(
            state,
            index,
            replace(process, step="done"),
            senders=state.senders if process.saw_attempt else (*state.senders, index),
        )


def _adopt(state: State, index: int, process: Process, offer: tuple[RequestRef, int]) -> Iterator[State]:
    (previous, _), term = offer
    terms = {request: claimed_term for request, _, claimed_term in state.claims}
    if terms.get(offer[0]) != term:
        yield _with_process(state, index, replace(process, step="declined"))
        return
    after = _with_process(state, index, replace(process, step="adopted"))
    yield _with_process(after, previous - 1, replace(after.processes[previous - 1], adopted=term))


def _planner(state: State) -> TakeoverPlanner:
    """A planner in the supervisor's state: its decisions are made by the code under test."""
    planner = TakeoverPlanner()
    for request, successor, term in state.claims:
        planner.claims[request] = Claim(100.0, successor, term)
    planner.orphans = list(state.orphans)
    return planner


def _with_planner(state: State, planner: TakeoverPlanner) -> State:
    claims = tuple(sorted((request, claim.successor, claim.term) for request, claim in planner.claims.items()))
    return replace(state, claims=claims, orphans=tuple(planner.orphans))


def _check_adopted(state: State, planner: TakeoverPlanner) -> None:
    for request, claim in planner.assigned():
        if state.processes[request[0] - 1].adopted == claim.term:
            planner.on_adopted(request)


def _reap(state: State, index: int, defect: Defect) -> State:
    planner, process = _planner(state), state.processes[index]
    assigned = {request for request, claim in planner.assigned() if claim.successor == index + 1}
    _check_adopted(state, planner)
    unproven = assigned & set(planner.claims)
    planner.on_reaped(index + 1)
    recorded = process.step in ("noted", "adopted", "done")
    trusted = process.offer is None or process.offer[0] not in unproven or defect.trusts_unadopted
    if recorded and trusted:
        planner.add_orphans(index + 1, [(0, 100.0)])
    return _with_planner(_with_process(state, index, replace(process, reaped=True)), planner)


def _supervisor_steps(state: State, defect: Defect) -> Iterator[State]:
    for index, process in enumerate(state.processes):
        ended = process.state == "dead" or (defect.no_fence and process.state == "stopped")
        if ended and not process.reaped:
            yield _reap(state, index, defect)
        if process.offers and process.state != "dead":
            planner = _planner(state)
            for request, term in process.offers:
                planner.on_withdrawn(request, index + 1, term)
            yield _with_planner(_with_process(state, index, replace(process, offers=())), planner)
        if defect.reassigns_received and process.step == "received" and process.offer is not None:
            planner = _planner(state)
            if planner.on_withdrawn(process.offer[0], index + 1, process.offer[1]):
                yield _with_planner(state, planner)
        if process.step == "declined" and process.offer is not None:
            planner = _planner(state)
            if planner.on_declined(process.offer[0], index + 1, process.offer[1]):
                yield _with_planner(_with_process(state, index, replace(process, step="", offer=None)), planner)
    yield from _assign(state)


def _assign(state: State) -> Iterator[State]:
    planner = _planner(state)
    _check_adopted(state, planner)
    candidates = [
        (index + 1, 0)
        for index, process in enumerate(state.processes)
        if index and process.state == "runs" and not process.reaped
    ]
    next_state = replace(state)
    for successor, offers in planner.assign(0.0, candidates).items():
        if any(term > MAX_TERMS for _, term in offers):
            return
        process = next_state.processes[successor - 1]
        next_state = _with_process(next_state, successor - 1, replace(process, offers=(*process.offers, *offers)))
    after = _with_planner(next_state, planner)
    if after != state:
        yield after


def steps(state: State, defect: Defect) -> Iterator[State]:
    """All states that can follow."""
    for index, process in enumerate(state.processes):
        yield from _process_steps(state, index)
        if process.state != "dead":
            yield _with_process(state, index, replace(process, state="dead"))
    yield from _supervisor_steps(state, defect)


def explore(defect: Defect) -> tuple[dict[State, list[State]], list[State]]:
    """All reachable states with their successors, and those in which two processes have sent the request.

    With a planted defect it stops at the first such state.
    """
    graph: dict[State, list[State]] = {}
    waiting = [State()]
    double_sends: list[State] = []
    while waiting and not (double_sends and defect != Defect()):
        state = waiting.pop()
        if state in graph:
            continue
        graph[state] = []
        if len(state.senders) > 1:
            double_sends.append(state)
            continue
        graph[state] = list(steps(state, defect))
        waiting += [after for after in graph[state] if after not in graph]
    return graph, double_sends


def test_in_every_interleaving_at_most_one_process_sends_and_no_request_is_forgotten() -> None:
    graph, double_sends = explore(Defect())
    assert len(graph) > 1000 and not double_sends
    assert {state.senders for state in graph} == {(), (0,), (1,), (2,)}, "any of them may be the sender"
    can_finish = {state for state in graph if state.senders}
    previous: dict[State, list[State]] = {}
    for state, afters in graph.items():
        for after in afters:
            previous.setdefault(after, []).append(state)
    waiting = list(can_finish)
    while waiting:
        for state in previous.get(waiting.pop(), ()):
            if state not in can_finish:
                can_finish.add(state)
                waiting.append(state)
    stuck = [
        state
        for state in graph
        if state not in can_finish
        and any(process.state == "runs" for process in state.processes[1:])
        and all(term < MAX_TERMS for _, _, term in state.claims)  # otherwise only MAX_TERMS ends it
    ]
    assert not stuck, stuck[:1]


@pytest.mark.parametrize(
    "defect",
    [
        Defect(no_fence=True),
        Defect(reassigns_received=True),
        Defect(trusts_unadopted=True),
    ],
    ids=["no fence", "reassigns received offers", "trusts unadopted records"],
)
def test_planted_defect_leads_to_a_double_send(defect: Defect) -> None:
    _, double_sends = explore(defect)
    assert double_sends


# ---- the planner ---------------------------------------------------------------------------


def test_successors_get_max_pending_requests_and_the_rest_waits() -> None:
    planner = TakeoverPlanner(max_pending=3)
    planner.add_orphans(9, [(slot, 5.0 + slot) for slot in range(10)])
    assigned = planner.assign(0.0, [(1, 5), (2, 0)])
    assert [len(assigned[process]) for process in (1, 2)] == [3, 3]
    assert assigned[2][0][0] == (9, 0), "the most urgent first"
    assert len(planner.orphans) == 4 and planner.assign(0.0, [(1, 5), (2, 0)]) == {}, (
        "both have their maximum to adopt"
    )
    for request, _ in assigned[1]:
        planner.on_adopted(request)
    assert len(planner.assign(0.1, [(1, 0), (2, 0)])[1]) == 3
    assert planner.has_claims(9) and len(planner.orphans) == 1


def test_declined_request_goes_to_another_successor_and_is_offered_again_when_all_declined() -> None:
    planner = TakeoverPlanner()
    planner.add_orphans(9, [(0, 5.0)])
    (((request, term),),) = planner.assign(0.0, [(1, 0), (2, 5)]).values()
    assert not planner.on_declined(request, 2, term), "it is not assigned to this process"
    assert planner.on_declined(request, 1, term) and not planner.on_declined(request, 1, term)
    assert list(planner.assign(0.0, [(1, 0), (2, 5)])) == [2]
    assert planner.on_declined(request, 2, term + 1)
    assert planner.assign(0.0, [(1, 0), (2, 5)]) == {}, "all have declined"
    assert list(planner.assign(0.1, [(1, 0), (2, 5)])) == [1], "offered again at the next call"


def test_slow_successors_are_reported_and_expired_requests_dropped() -> None:
    planner = TakeoverPlanner(adoption_timeout=0.2)
    planner.add_orphans(9, [(0, 1.0), (1, 9.0)])
    planner.assign(0.0, [(1, 0)])
    assert planner.slow_successors(0.1) == set() and planner.slow_successors(0.3) == {1}
    assert planner.expire(5.0) == [], "an assigned request does not expire"
    assert sorted(planner.on_reaped(1)) == [(9, 0), (9, 1)]
    assert planner.expire(5.0) == [(9, 0)] and planner.orphans == [(9, 1)]


def test_process_does_not_take_over_from_itself() -> None:
    planner = TakeoverPlanner()
    planner.add_orphans(3, [(0, 5.0)])
    assert planner.assign(0.0, [(3, 0)]) == {}
    assert list(planner.assign(0.0, [(3, 0), (4, 0)])) == [4]


def test_every_stage_and_class_has_an_action() -> None:
    for request_class, stage, attempts in itertools.product(
        (SAFE, KEYED, KEYED_ALL, UNSAFE), Stage, (SENT, NEVER, JOINED, ())
    ):
        assert (
            decide_takeover(RequestAssessment(request_class, stage, 20.0, attempts=attempts), 11.0)[0]
            in TakeoverAction
        )


def test_successor_that_did_not_receive_is_avoided_for_a_while() -> None:
    planner = TakeoverPlanner()
    candidates = [(1, 5), (2, 0), (3, 2)]
    assert [process for process, _ in planner.available(10.0, candidates)] == [2, 3, 1], (
        "those with the fewest requests first"
    )
    planner.avoid(10.0, 2)
    assert [process for process, _ in planner.available(10.4, candidates)] == [3, 1]
    planner.avoid(10.4, 3)
    planner.avoid(10.4, 1)
    assert planner.available(10.45, candidates) == [], "then all requests wait"
    assert [process for process, _ in planner.available(10.6, candidates)] == [2] and 2 not in planner.avoided_until


def test_answer_of_a_key_is_replayed_within_its_window_and_not_after_it() -> None:
    """The journal that holds the answer may not have released it yet when the window ends."""
    served = Progress(Stage.ANSWERED, 20.0, OK_STATUS_PREFIX + b" OK\r\n\r\n", 14.0)
    assert decide_follow(served, 13.9)[0] is FollowStep.DELIVER
    assert decide_follow(served, 14.0) == (FollowStep.PROCEED, "its window is over")
