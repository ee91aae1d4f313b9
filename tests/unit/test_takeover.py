"""What an heir does with work in hand: the table; and that just one does it, in every order of a small world."""

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
    ("work", "now", "verdict"),
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
def test_the_table(work: RequestAssessment, now: float, verdict: TakeoverAction) -> None:
    found, why = decide_takeover(work, now)
    assert found is verdict and why


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
def test_the_rules_hold_for_everything_that_can_be_inherited(
    kind: RequestClass,
    stage: Stage,
    deadline: float,
    now: float,
    body: bool,
    caller: bool,
    left: int,
    more: bool,
    sent: list[tuple[float, bool, bool]],
) -> None:
    tries = tuple(PriorAttempt(1, at, maybe, maybe and joined) for at, maybe, joined in sent)
    work = RequestAssessment(kind, stage, deadline, body, caller, left, more, tries)
    verdict, _ = decide_takeover(work, now)
    maybe = any(one.maybe_ran for one in tries)
    sends = verdict in (TakeoverAction.SEND, TakeoverAction.SEND_TO_GROUP)
    if sends or verdict is TakeoverAction.JOIN:
        assert caller and deadline - now >= MIN_TIME_LEFT and stage < Stage.STREAMING
    if sends:
        assert body or kind.repeat is Repeat.SAFE
    if stage < Stage.STREAMING and kind.repeat is Repeat.UNSAFE and maybe:
        assert not sends and verdict is not TakeoverAction.REFUSE, "it may have run"
    if stage < Stage.STREAMING and kind.repeat is Repeat.KEYED and maybe and sends:
        assert verdict is TakeoverAction.SEND_TO_GROUP
        assert now - min(one.sent for one in tries if one.maybe_ran) < kind.window
    if stage < Stage.STREAMING and kind is KEYED and maybe:
        assert verdict is not TakeoverAction.REFUSE
    if verdict is TakeoverAction.JOIN:
        assert any(one.joined for one in tries)
    if caller and stage < Stage.STREAMING:
        assert verdict not in (TakeoverAction.NOTHING, TakeoverAction.ABORT, TakeoverAction.DELIVER), (
            "one answer is owed"
        )


def noted(length: int = 100, end: AttemptEnd = AttemptEnd.OPEN) -> AttemptRecord:
    return AttemptRecord(1, 0, 0, 10.0, end, 5, 77, length, bytes_written=1000, bytes_read=500)


@pytest.mark.parametrize(
    ("one", "seen", "maybe", "joins"),
    [
        (noted(), None, True, False),  # its connection is gone
        (noted(), ConnectionCounters(1000, 500), False, False),  # nothing has gone out
        (noted(), ConnectionCounters(1099, 500), False, False),  # all but the last byte
        (noted(), ConnectionCounters(1100, 500), True, True),
        (noted(), ConnectionCounters(1100, 501), True, False),  # a byte of the answer was read, and is lost
        (
            noted(),
            ConnectionCounters(1100, 500, closed_by_peer=True),
            True,
            True,
        ),  # what it has answered is there to be read
        (noted(0), ConnectionCounters(1000, 500), False, False),  # a body that goes on while it comes
        (noted(0), ConnectionCounters(1001, 500), True, False),
        (noted(end=AttemptEnd.NEVER_RAN), ConnectionCounters(1100, 500), False, False),
        (noted(end=AttemptEnd.MAYBE_RAN), ConnectionCounters(1100, 500), True, False),
    ],
)
def test_an_attempt_by_the_account_of_its_connection(
    one: AttemptRecord, seen: ConnectionCounters | None, maybe: bool, joins: bool
) -> None:
    past = assess_attempt(one, seen)
    assert (past.maybe_ran, past.joined) == (maybe, joins)


def test_nothing_runs_before_its_last_byte_has_come() -> None:
    assert assess_attempt(noted(0), ConnectionCounters(5000, 500), body_received=False).maybe_ran is False
    assert assess_attempt(noted(0), None, body_received=False).maybe_ran is False
    assert assess_attempt(noted(0), ConnectionCounters(5000, 500), body_received=True).maybe_ran is True


def entry(stage: Stage, answer: bytes | None = None, closes: bool = False, length: int = 10) -> RequestRecord:
    request = b"GET / HTTP/1.1\r\n\r\n"
    return RequestRecord(0, stage, 9, 77, 20.0, 9.0, request, True, True, closes, 300, 200, length, answer, (), None)


@pytest.mark.parametrize(
    ("seen", "left", "more"),
    [
        (ConnectionCounters(200, 300), 10, False),
        (ConnectionCounters(203, 300), 7, False),
        (ConnectionCounters(210, 300), 0, False),
        (ConnectionCounters(210, 301), 0, True),
    ],
)
def test_of_an_answer_that_was_noted_the_rest_is_left(seen: ConnectionCounters, left: int, more: bool) -> None:
    work = assess(entry(Stage.ANSWERED, b"0123456789"), SAFE, seen, ())
    assert (work.unsent, work.read_ahead, work.caller_connected) == (left, more, True)


@pytest.mark.parametrize(
    ("written", "verdict"),
    [
        (200, TakeoverAction.SEND),
        (203, TakeoverAction.ABORT),
        (210, TakeoverAction.NOTHING),
        (211, TakeoverAction.NOTHING),
    ],
)
def test_an_answer_of_which_only_the_length_was_noted(written: int, verdict: TakeoverAction) -> None:
    work = assess(entry(Stage.ANSWERED), SAFE, ConnectionCounters(written, 300), ())
    assert decide_takeover(work, 11.0)[0] is verdict


def test_a_caller_that_ended_has_gone_and_one_that_was_told_something_else_is_left_alone() -> None:
    assert not assess(
        entry(Stage.RECEIVED), SAFE, ConnectionCounters(200, 300, closed_by_peer=True), ()
    ).caller_connected
    assert not assess(entry(Stage.RECEIVED), SAFE, None, ()).caller_connected
    assert not assess(entry(Stage.ANSWERED, b"0123456789"), SAFE, ConnectionCounters(211, 400), ()).caller_connected


@pytest.mark.parametrize(
    ("seen", "how"),
    [
        (None, IdleConnectionAction.DROP),
        (ConnectionCounters(5, 7, closed_by_peer=True), IdleConnectionAction.DROP),
        (ConnectionCounters(5, 7), IdleConnectionAction.KEEP),
        (ConnectionCounters(5, 8), IdleConnectionAction.REFUSE),
        (ConnectionCounters(6, 8), IdleConnectionAction.DROP),  # what was read was answered at once
    ],
)
def test_a_connection_without_work(seen: ConnectionCounters | None, how: IdleConnectionAction) -> None:
    assert decide_idle_connection(7, 5, seen)[0] is how


# ---- every interleaving of an owner, two heirs and their supervisor ------------------------

MOST_TERMS = 2  # namings of one piece; more would only repeat what is there


@dataclass(frozen=True)
class Life:
    """A process. What it received goes through the steps one by one, and may stop between any two."""

    state: str = "runs"  # runs, stopped, dead
    reaped: bool = False
    offers: tuple[tuple[RequestRef, int], ...] = ()  # sent to it, not received
    offer: tuple[RequestRef, int] | None = None  # received
    step: str = ""  # received, looked, noted, adopted, done
    chain: frozenset[int] = frozenset()  # whose attempts its note tells of
    saw: bool = False  # one of them, when it looked
    adopted: int = 0  # in its book, by another


@dataclass(frozen=True)
class Small:
    """One piece of work, an owner (0) and two heirs; each is a process by its place and 1."""

    lives: tuple[Life, ...] = (Life(step="adopted"), Life(), Life())
    claims: tuple[tuple[RequestRef, int, int], ...] = ()  # piece, holder, term: as the supervisor has them
    orphans: tuple[RequestRef, ...] = ()
    sends: tuple[int, ...] = ()  # who sent


@dataclass(frozen=True)
class Plant:
    """What is done wrong, to see that it is found."""

    no_fence: bool = False  # work of one that is only stopped is handed on
    takes_received: bool = False  # work is named anew though the heir has received the message
    believes_notes: bool = False  # what a dead heir noted counts, adopted or not


def _life(world: Small, i: int, life: Life, **changes: object) -> Small:
    lives = tuple(life if j == i else other for j, other in enumerate(world.lives))
    return replace(world, lives=lives, **changes)  # type: ignore[arg-type]


def _process_steps(world: Small, i: int) -> Iterator[Small]:
    life = world.lives[i]
    if life.state == "stopped":
        yield _life(world, i, replace(life, state="runs"))
    if life.state != "runs":
        return
    yield _life(world, i, replace(life, state="stopped"))
    if life.step in ("", "done") and life.offers:
        yield _life(world, i, replace(life, offers=life.offers[1:], offer=life.offers[0], step="received"))
    elif life.step == "received" and life.offer is not None:
        before = life.offer[0][0] - 1
        chain = world.lives[before].chain | {before}
        yield _life(world, i, replace(life, step="looked", chain=chain, saw=not chain.isdisjoint(world.sends)))
        yield _life(world, i, replace(life, step="declined"))
    elif life.step == "looked":
        yield _life(world, i, replace(life, step="noted"))
    elif life.step == "noted" and life.offer is not None:
        yield from _adopts(world, i, life, life.offer)
    elif life.step == "adopted":
        yield _life(world, i, replace(life, step="done"), sends=world.sends if life.saw else (*world.sends, i))


def _adopts(world: Small, i: int, life: Life, offer: tuple[RequestRef, int]) -> Iterator[Small]:
    (before, _), term = offer
    terms = {piece: named for piece, _, named in world.claims}
    if terms.get(offer[0]) != term:
        yield _life(world, i, replace(life, step="declined"))
        return
    after = _life(world, i, replace(life, step="adopted"))
    yield _life(after, before - 1, replace(after.lives[before - 1], adopted=term))


def _estate(world: Small) -> TakeoverPlanner:
    """The supervisor's decisions, by the code that is tested."""
    estate = TakeoverPlanner()
    for piece, holder, term in world.claims:
        estate.claims[piece] = Claim(100.0, holder, term)
    estate.orphans = list(world.orphans)
    return estate


def _told(world: Small, estate: TakeoverPlanner) -> Small:
    claims = tuple(sorted((piece, claim.successor, claim.term) for piece, claim in estate.claims.items()))
    return replace(world, claims=claims, orphans=tuple(estate.orphans))


def _see(world: Small, estate: TakeoverPlanner) -> None:
    for piece, claim in estate.assigned():
        if world.lives[piece[0] - 1].adopted == claim.term:
            estate.on_adopted(piece)


def _reaps(world: Small, i: int, plant: Plant) -> Small:
    estate, life = _estate(world), world.lives[i]
    mine = {piece for piece, claim in estate.assigned() if claim.successor == i + 1}
    _see(world, estate)
    unproven = mine & set(estate.claims)
    estate.on_reaped(i + 1)
    there = life.step in ("noted", "adopted", "done")
    proven = life.offer is None or life.offer[0] not in unproven or plant.believes_notes
    if there and proven:
        estate.add_orphans(i + 1, [(0, 100.0)])
    return _told(_life(world, i, replace(life, reaped=True)), estate)


def _supervisor_steps(world: Small, plant: Plant) -> Iterator[Small]:
    for i, life in enumerate(world.lives):
        ended = life.state == "dead" or (plant.no_fence and life.state == "stopped")
        if ended and not life.reaped:
            yield _reaps(world, i, plant)
        if life.offers and life.state != "dead":
            estate = _estate(world)
            for piece, term in life.offers:
                estate.on_withdrawn(piece, i + 1, term)
            yield _told(_life(world, i, replace(life, offers=())), estate)
        if plant.takes_received and life.step == "received" and life.offer is not None:
            estate = _estate(world)
            if estate.on_withdrawn(life.offer[0], i + 1, life.offer[1]):
                yield _told(world, estate)
        if life.step == "declined" and life.offer is not None:
            estate = _estate(world)
            if estate.on_declined(life.offer[0], i + 1, life.offer[1]):
                yield _told(_life(world, i, replace(life, step="", offer=None)), estate)
    yield from _names(world)


def _names(world: Small) -> Iterator[Small]:
    estate = _estate(world)
    _see(world, estate)
    heirs = [(i + 1, 0) for i, life in enumerate(world.lives) if i and life.state == "runs" and not life.reaped]
    named = replace(world)
    for heir, rows in estate.assign(0.0, heirs).items():
        if any(term > MOST_TERMS for _, term in rows):
            return
        life = named.lives[heir - 1]
        named = _life(named, heir - 1, replace(life, offers=(*life.offers, *rows)))
    told = _told(named, estate)
    if told != world:
        yield told


def steps(world: Small, plant: Plant) -> Iterator[Small]:
    """All that can happen next."""
    for i, life in enumerate(world.lives):
        yield from _process_steps(world, i)
        if life.state != "dead":
            yield _life(world, i, replace(life, state="dead"))
    yield from _supervisor_steps(world, plant)


def explore(plant: Plant) -> tuple[dict[Small, list[Small]], list[Small]]:
    """All worlds that there are, with what can come next, and those in which two have sent; planted, the first."""
    ways: dict[Small, list[Small]] = {}
    waiting = [Small()]
    twice: list[Small] = []
    while waiting and not (twice and plant != Plant()):
        world = waiting.pop()
        if world in ways:
            continue
        ways[world] = []
        if len(world.sends) > 1:
            twice.append(world)
            continue
        ways[world] = list(steps(world, plant))
        waiting += [after for after in ways[world] if after not in ways]
    return ways, twice


def test_in_no_interleaving_do_two_send_and_in_none_is_the_work_forgotten() -> None:
    ways, twice = explore(Plant())
    assert len(ways) > 1000 and not twice
    assert {world.sends for world in ways} == {(), (0,), (1,), (2,)}, "and each of them may be the one"
    good = {world for world in ways if world.sends}
    before: dict[Small, list[Small]] = {}
    for world, afters in ways.items():
        for after in afters:
            before.setdefault(after, []).append(world)
    waiting = list(good)
    while waiting:
        for world in before.get(waiting.pop(), ()):
            if world not in good:
                good.add(world)
                waiting.append(world)
    stuck = [
        world
        for world in ways
        if world not in good
        and any(life.state == "runs" for life in world.lives[1:])
        and all(term < MOST_TERMS for _, _, term in world.claims)  # else only the bound of this model ends it
    ]
    assert not stuck, stuck[:1]


@pytest.mark.parametrize(
    "plant",
    [
        Plant(no_fence=True),
        Plant(takes_received=True),
        Plant(believes_notes=True),
    ],
    ids=["no fence", "takes what was received", "believes notes"],
)
def test_a_double_claim_that_is_planted_is_found(plant: Plant) -> None:
    _, twice = explore(plant)
    assert twice


# ---- the estate ----------------------------------------------------------------------------


def test_heirs_get_as_much_as_they_can_carry_and_the_rest_waits() -> None:
    estate = TakeoverPlanner(max_pending=3)
    estate.add_orphans(9, [(slot, 5.0 + slot) for slot in range(10)])
    given = estate.assign(0.0, [(1, 5), (2, 0)])
    assert [len(given[heir]) for heir in (1, 2)] == [3, 3]
    assert given[2][0][0] == (9, 0), "the most urgent first"
    assert len(estate.orphans) == 4 and estate.assign(0.0, [(1, 5), (2, 0)]) == {}, "both have enough to adopt"
    for piece, _ in given[1]:
        estate.on_adopted(piece)
    assert len(estate.assign(0.1, [(1, 0), (2, 0)])[1]) == 3
    assert estate.has_claims(9) and len(estate.orphans) == 1


def test_what_one_declines_goes_to_another_and_in_the_end_to_whoever_there_is() -> None:
    estate = TakeoverPlanner()
    estate.add_orphans(9, [(0, 5.0)])
    (((piece, term),),) = estate.assign(0.0, [(1, 0), (2, 5)]).values()
    assert not estate.on_declined(piece, 2, term), "not its own to say"
    assert estate.on_declined(piece, 1, term) and not estate.on_declined(piece, 1, term)
    assert list(estate.assign(0.0, [(1, 0), (2, 5)])) == [2]
    assert estate.on_declined(piece, 2, term + 1)
    assert estate.assign(0.0, [(1, 0), (2, 5)]) == {}, "all have"
    assert list(estate.assign(0.1, [(1, 0), (2, 5)])) == [1], "and are asked again"


def test_slow_heirs_are_told_and_late_work_is_given_up() -> None:
    estate = TakeoverPlanner(adoption_timeout=0.2)
    estate.add_orphans(9, [(0, 1.0), (1, 9.0)])
    estate.assign(0.0, [(1, 0)])
    assert estate.slow_successors(0.1) == set() and estate.slow_successors(0.3) == {1}
    assert estate.expire(5.0) == [], "what was handed on is not given up"
    assert sorted(estate.on_reaped(1)) == [(9, 0), (9, 1)]
    assert estate.expire(5.0) == [(9, 0)] and estate.orphans == [(9, 1)]


def test_nobody_inherits_from_itself() -> None:
    estate = TakeoverPlanner()
    estate.add_orphans(3, [(0, 5.0)])
    assert estate.assign(0.0, [(3, 0)]) == {}
    assert list(estate.assign(0.0, [(3, 0), (4, 0)])) == [4]


def test_every_stage_and_class_has_a_verdict() -> None:
    for kind, stage, tries in itertools.product((SAFE, KEYED, KEYED_ALL, UNSAFE), Stage, (SENT, NEVER, JOINED, ())):
        assert decide_takeover(RequestAssessment(kind, stage, 20.0, attempts=tries), 11.0)[0] in TakeoverAction


def test_one_that_did_not_receive_is_left_out_for_a_while() -> None:
    estate = TakeoverPlanner()
    heirs = [(1, 5), (2, 0), (3, 2)]
    assert [heir for heir, _ in estate.available(10.0, heirs)] == [2, 3, 1], "the least at work first"
    estate.avoid(10.0, 2)
    assert [heir for heir, _ in estate.available(10.4, heirs)] == [3, 1]
    estate.avoid(10.4, 3)
    estate.avoid(10.4, 1)
    assert estate.available(10.45, heirs) == [], "then all of it waits"
    assert [heir for heir, _ in estate.available(10.6, heirs)] == [2] and 2 not in estate.avoided_until


def test_an_answer_of_the_same_key_is_given_within_its_window_and_not_after_it() -> None:
    """Whoever has it may not have let go of it yet."""
    served = Progress(Stage.ANSWERED, 20.0, OK_STATUS_PREFIX + b" OK\r\n\r\n", 14.0)
    assert decide_follow(served, 13.9)[0] is FollowStep.DELIVER
    assert decide_follow(served, 14.0) == (FollowStep.PROCEED, "its window is over")
