"""What waits for a neighbour and what is dropped, at what pace it is dialled, and when its link is ended."""

from __future__ import annotations

import math
from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute.links import LinkEnd, LinkManager, LinkPolicy, Priority, SendQueue, should_replace

POLICY = LinkPolicy()
SMALL = replace(POLICY, waiting=100, messages=8)


def all_of(box: SendQueue, now: float) -> list[bytes | None]:
    """What goes out, in its order."""
    return list(iter(lambda: box.dequeue(now), None))


def test_what_matters_most_goes_out_first_and_in_its_order() -> None:
    box = SendQueue(POLICY)
    hint, news, probe, lease = Priority.HINT, Priority.NEWS, Priority.PROBE, Priority.LEASE
    for kind, data in ((hint, b"h"), (news, b"n1"), (probe, b"p"), (news, b"n2"), (lease, b"l")):
        box.enqueue(0.0, kind, data)
    assert all_of(box, 0.0) == [b"l", b"p", b"n1", b"n2", b"h"] and box.bytes == box.count == 0


def test_hints_make_room_first_and_nothing_for_what_goes_out_after_it() -> None:
    box = SendQueue(SMALL)
    assert box.enqueue(0.0, Priority.LEASE, b"l" * 40) and box.enqueue(0.0, Priority.HINT, b"h" * 50)
    assert box.enqueue(0.0, Priority.NEWS, b"n" * 55) and box.dropped[Priority.HINT] == 1
    assert not box.enqueue(0.0, Priority.HINT, b"h" * 20) and box.dropped[Priority.HINT] == 2
    assert not box.enqueue(0.0, Priority.LEASE, b"l" * 101), "not even alone"
    assert all_of(box, 0.0) == [b"l" * 40, b"n" * 55], "and nothing was given up for what does not fit"


@given(st.lists(st.tuples(st.sampled_from(Priority), st.integers(0, 60), st.floats(0.0, 0.4)), max_size=60))
def test_an_outbox_is_bounded_counts_all_and_sends_nothing_late(puts: list[tuple[Priority, int, float]]) -> None:
    box, now, out = SendQueue(SMALL), 0.0, 0
    rng = Random(len(puts))
    born: dict[bytes, tuple[float, Priority]] = {}
    for i, (kind, size, pause) in enumerate(puts):
        now += pause
        data = b"%04d" % i + b"x" * size
        born[data] = now, kind
        box.enqueue(now, kind, data)
        assert box.bytes <= SMALL.waiting and box.count <= SMALL.messages
        if rng.random() < 0.3 and (sent := box.dequeue(now)) is not None:
            out += 1
            at, of = born[sent]
            assert now - at <= SMALL.max_age(of)
    assert len(puts) == out + box.count + sum(box.dropped) + box.expired


def test_a_neighbour_that_is_away_is_dialled_ever_more_rarely_and_others_at_other_times() -> None:
    links = [LinkManager(POLICY, seed) for seed in range(20)]
    firsts = set()
    for one in links:
        one.enqueue(0.0, "a:1", Priority.NEWS, b"x")
        assert one.start_dials(0.0) == ["a:1"] and one.start_dials(0.0) == []
        one.on_disconnected(0.0, "a:1")
        firsts.add(round(one.peers["a:1"].next_dial, 4))
        assert one.start_dials(0.0) == []
    assert len(firsts) == 20 and max(firsts) - min(firsts) > 0.5 * POLICY.again_from
    one, dials, now = links[0], [], 0.0
    while now < 60.0:
        now += 0.01
        for address in one.start_dials(now):
            dials.append(now)
            one.on_disconnected(now, address)
    assert len(dials) < 40 and max(b - a for a, b in pairwise(dials)) <= POLICY.again_to + 0.02


def test_dials_have_a_pace() -> None:
    links = LinkManager(POLICY, 1)
    for i in range(100):
        links.enqueue(0.0, f"n{i}:1", Priority.NEWS, b"x")
    assert len(links.start_dials(0.0)) == POLICY.burst
    count, now = 0, 0.0
    while now < 1.0:
        now += 0.01
        count += len(links.start_dials(now))
    assert count <= POLICY.dials + 1


def test_nobody_is_dialled_for_nothing_and_so_many_neighbours_are_kept() -> None:
    links = LinkManager(replace(POLICY, most=2), 1)
    links.enqueue(0.0, "a:1", Priority.PROBE, b"x")
    links.enqueue(1.0, "b:1", Priority.NEWS, b"x")
    assert links.enqueue(2.0, "c:1", Priority.NEWS, b"x") is not None and set(links.peers) == {"b:1", "c:1"}
    for address in ("b:1", "c:1"):
        links.on_connected(2.0, address)
    assert links.enqueue(2.0, "d:1", Priority.NEWS, b"x") is None and links.refused == 1
    links.on_disconnected(3.0, "b:1")
    all_of(links.peers["b:1"].send_queue, 3.0)
    assert links.start_dials(100.0) == []


def test_a_link_is_asked_for_a_sign_of_life_before_it_is_ended_for_silence() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    links.on_sent(1.0, "a:1")
    asked: list[float] = []
    over: list[tuple[str, str]] = []
    now = 1.0
    while not over and now < 10.0:
        now += 0.05
        asked += [now for _ in links.due_keepalives(now)]
        over = links.expired_links(now)
    assert over == [("a:1", "silent")] and len(asked) == 1
    assert asked[0] - 1.0 == pytest.approx(POLICY.silent / 3.0, abs=0.06)
    assert now - 1.0 == pytest.approx(POLICY.silent, abs=0.06)
    links.on_disconnected(now, "a:1")
    assert links.expired_links(now) == []


def test_a_link_that_answers_stays_and_one_that_nobody_uses_ends() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    now = 0.0
    while now < POLICY.idle - 1.0:
        now += 0.5
        links.on_sent(now, "a:1")
        links.on_received(now + 0.1, "a:1")
        assert links.due_keepalives(now + 0.2) == [] and links.expired_links(now + 0.2) == []
    assert links.expired_links(now + POLICY.idle + 1.0) == [("a:1", "idle")]


def test_one_that_stood_still_ends_no_link_for_what_it_has_not_read_yet() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    links.due_keepalives(0.0)
    links.on_sent(0.1, "a:1")
    assert links.due_keepalives(30.0) == [] and links.expired_links(30.0) == []


@pytest.mark.parametrize("lives", [(1, 1), (1, 2)])
def test_both_ends_keep_the_same_one_of_two_links_whichever_came_first(lives: tuple[int, int]) -> None:
    """`a` has dialled one and `b` the other; each end sees them in any order."""
    kept = set()
    for me, other in (("a", "b"), ("b", "a")):
        for first in (True, False):
            old, new = LinkEnd(other, lives[0], first), LinkEnd(other, lives[1], not first)
            chosen = new if should_replace(me, old, new) else old
            kept.add(me if chosen.dialled else other)
    assert kept == ({"a"} if lives[0] == lives[1] else {"a", "b"}), "of another process the newer stays"


@pytest.mark.parametrize(("name", "value"), [("waiting", 0), ("silent", math.nan), ("again_to", 0.1)])
def test_a_policy_that_makes_no_sense_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        LinkManager(replace(POLICY, **{name: value}), 1)  # type: ignore[arg-type]
