"""Links: queueing and dropping of messages, dialling, keepalives and closing."""

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


def drain(queue: SendQueue, now: float) -> list[bytes | None]:
    """All messages, in the order in which they are sent."""
    return list(iter(lambda: queue.dequeue(now), None))


def test_messages_leave_by_priority_and_in_order_within_one() -> None:
    queue = SendQueue(POLICY)
    hint, news, probe, lease = Priority.HINT, Priority.NEWS, Priority.PROBE, Priority.LEASE
    for priority, data in ((hint, b"h"), (news, b"n1"), (probe, b"p"), (news, b"n2"), (lease, b"l")):
        queue.enqueue(0.0, priority, data)
    assert drain(queue, 0.0) == [b"l", b"p", b"n1", b"n2", b"h"] and queue.bytes == queue.count == 0


def test_lowest_priority_is_dropped_first_and_never_a_higher_one() -> None:
    queue = SendQueue(SMALL)
    assert queue.enqueue(0.0, Priority.LEASE, b"l" * 40) and queue.enqueue(0.0, Priority.HINT, b"h" * 50)
    assert queue.enqueue(0.0, Priority.NEWS, b"n" * 55) and queue.dropped[Priority.HINT] == 1
    assert not queue.enqueue(0.0, Priority.HINT, b"h" * 20) and queue.dropped[Priority.HINT] == 2
    assert not queue.enqueue(0.0, Priority.LEASE, b"l" * 101), "larger than the whole queue"
    assert drain(queue, 0.0) == [b"l" * 40, b"n" * 55], "nothing is dropped for a message that does not fit"


@given(st.lists(st.tuples(st.sampled_from(Priority), st.integers(0, 60), st.floats(0.0, 0.4)), max_size=60))
def test_send_queue_is_bounded_counts_all_messages_and_sends_none_late(
    messages: list[tuple[Priority, int, float]],
) -> None:
    queue, now, sent_count = SendQueue(SMALL), 0.0, 0
    rng = Random(len(messages))
    queued: dict[bytes, tuple[float, Priority]] = {}
    for i, (priority, size, pause) in enumerate(messages):
        now += pause
        data = b"%04d" % i + b"x" * size
        queued[data] = now, priority
        queue.enqueue(now, priority, data)
        assert queue.bytes <= SMALL.waiting and queue.count <= SMALL.messages
        if rng.random() < 0.3 and (sent := queue.dequeue(now)) is not None:
            sent_count += 1
            queued_at, sent_priority = queued[sent]
            assert now - queued_at <= SMALL.max_age(sent_priority)
    assert len(messages) == sent_count + queue.count + sum(queue.dropped) + queue.expired


def test_unreachable_peer_is_dialled_with_exponential_backoff_and_jitter() -> None:
    managers = [LinkManager(POLICY, seed) for seed in range(20)]
    first_retries = set()
    for links in managers:
        links.enqueue(0.0, "a:1", Priority.NEWS, b"x")
        assert links.start_dials(0.0) == ["a:1"] and links.start_dials(0.0) == []
        links.on_disconnected(0.0, "a:1")
        first_retries.add(round(links.peers["a:1"].next_dial, 4))
        assert links.start_dials(0.0) == []
    assert len(first_retries) == 20 and max(first_retries) - min(first_retries) > 0.5 * POLICY.again_from
    links, dials, now = managers[0], [], 0.0
    while now < 60.0:
        now += 0.01
        for address in links.start_dials(now):
            dials.append(now)
            links.on_disconnected(now, address)
    assert len(dials) < 40 and max(later - earlier for earlier, later in pairwise(dials)) <= POLICY.again_to + 0.02


def test_dials_are_rate_limited() -> None:
    links = LinkManager(POLICY, 1)
    for i in range(100):
        links.enqueue(0.0, f"n{i}:1", Priority.NEWS, b"x")
    assert len(links.start_dials(0.0)) == POLICY.burst
    count, now = 0, 0.0
    while now < 1.0:
        now += 0.01
        count += len(links.start_dials(now))
    assert count <= POLICY.dials + 1


def test_peers_are_bounded_and_dialled_only_with_queued_messages() -> None:
    links = LinkManager(replace(POLICY, most=2), 1)
    links.enqueue(0.0, "a:1", Priority.PROBE, b"x")
    links.enqueue(1.0, "b:1", Priority.NEWS, b"x")
    assert links.enqueue(2.0, "c:1", Priority.NEWS, b"x") is not None and set(links.peers) == {"b:1", "c:1"}
    for address in ("b:1", "c:1"):
        links.on_connected(2.0, address)
    assert links.enqueue(2.0, "d:1", Priority.NEWS, b"x") is None and links.refused == 1
    links.on_disconnected(3.0, "b:1")
    drain(links.peers["b:1"].send_queue, 3.0)
    assert links.start_dials(100.0) == []


def test_silent_link_is_sent_a_keepalive_before_it_is_closed() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    links.on_sent(1.0, "a:1")
    keepalives: list[float] = []
    expired: list[tuple[str, str]] = []
    now = 1.0
    while not expired and now < 10.0:
        now += 0.05
        keepalives += [now for _ in links.due_keepalives(now)]
        expired = links.expired_links(now)
    assert expired == [("a:1", "silent")] and len(keepalives) == 1
    assert keepalives[0] - 1.0 == pytest.approx(POLICY.silent / 3.0, abs=0.06)
    assert now - 1.0 == pytest.approx(POLICY.silent, abs=0.06)
    links.on_disconnected(now, "a:1")
    assert links.expired_links(now) == []


def test_answering_link_stays_open_and_idle_link_is_closed() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    now = 0.0
    while now < POLICY.idle - 1.0:
        now += 0.5
        links.on_sent(now, "a:1")
        links.on_received(now + 0.1, "a:1")
        assert links.due_keepalives(now + 0.2) == [] and links.expired_links(now + 0.2) == []
    assert links.expired_links(now + POLICY.idle + 1.0) == [("a:1", "idle")]


def test_no_link_is_closed_for_answers_left_unread_during_a_pause() -> None:
    links = LinkManager(POLICY, 1)
    links.on_connected(0.0, "a:1")
    links.due_keepalives(0.0)
    links.on_sent(0.1, "a:1")
    assert links.due_keepalives(30.0) == [] and links.expired_links(30.0) == []


@pytest.mark.parametrize("lives", [(1, 1), (1, 2)])
def test_both_ends_keep_the_same_of_two_links_in_any_order(lives: tuple[int, int]) -> None:
    """`a` and `b` have dialled each other; each end sees the two links in either order."""
    kept = set()
    for local, other in (("a", "b"), ("b", "a")):
        for first in (True, False):
            old, new = LinkEnd(other, lives[0], first), LinkEnd(other, lives[1], not first)
            chosen = new if should_replace(local, old, new) else old
            kept.add(local if chosen.dialled else other)
    assert kept == ({"a"} if lives[0] == lives[1] else {"a", "b"}), (
        "the newer link is kept if the process has changed"
    )


@pytest.mark.parametrize(("name", "value"), [("waiting", 0), ("silent", math.nan), ("again_to", 0.1)])
def test_invalid_policy_is_refused(name: str, value: float) -> None:
    with pytest.raises(ValueError, match=name):
        LinkManager(replace(POLICY, **{name: value}), 1)  # type: ignore[arg-type]
