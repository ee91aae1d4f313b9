"""Frames of links: whatever else comes is refused, and nothing is taken twice."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cometusher.cluster.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    TAG_BYTES,
    BadFrame,
    Message,
    Session,
    decode,
    encode,
)
from weldroute import leases, replicated_map
from weldroute.links import Priority
from weldroute.members import Ack, Gossip, MemberRecord, MemberState, Nack, Ping, PingFor, Sync

KEY = b"k" * 32
ROW = MemberRecord(3, MemberState.SUSPECT, 2**61, "10.0.0.1:7", "kigali", "m1", by="m2")
LEASE = leases.Lease("a", (4, "a"))
MESSAGES: list[Message] = [
    Ping("f", "a", 1, "b", (ROW,)),
    Ack("f", "a", 1, (ROW, ROW)),
    Nack("f", "a", 1),
    PingFor("f", "a", 1, "b", "b:1", 0.25, (ROW,)),
    Gossip("f", "a", (ROW,)),
    Sync("f", "a", (ROW,) * 9, True),
    leases.Prepare("d", (1, "a")),
    leases.Promise("d", (1, "a"), LEASE),
    leases.Promise("d", (1, "a"), None),
    leases.Propose("d", (1, "a"), LEASE),
    leases.Accepted("d", (1, "a")),
    leases.Rejected("d", (1, "a"), (2, "b")),
    leases.Released("d", LEASE),
    replicated_map.News("f", "a", (replicated_map.MapEntry("k", "v", (1, 2, "a")),)),
    replicated_map.Digest("f", "a", 7, True),
]


def ends(key: bytes = KEY, fleet: str = "f") -> tuple[Session, Session]:
    return Session(KEY, "f", "a", 1, "a:1", True), Session(key, fleet, "b", 2, "b:1", False)


def met() -> tuple[Session, Session]:
    one, other = ends()
    assert list(other.feed(one.start_handshake())) == [] and not other.authenticated
    assert list(one.feed(other.reply)) == [] and one.authenticated
    assert list(other.feed(one.reply)) == [] and other.authenticated
    other.reply = one.reply = b""
    return one, other


def test_two_ends_meet_and_every_message_goes_through() -> None:
    one, other = met()
    assert one.peer is not None and other.peer is not None
    assert (one.peer.name, other.peer.name, other.peer.address) == ("b", "a", "a:1")
    for message in MESSAGES:
        for sender, taker in ((one, other), (other, one)):
            (content,) = taker.feed(sender.seal(encode(message)[1]))
            assert decode(content) == message


def test_probes_go_before_news_and_leases_before_all() -> None:
    kinds = [encode(message)[0] for message in MESSAGES]
    assert kinds[:6] == [Priority.PROBE] * 4 + [Priority.NEWS, Priority.WHOLE] and set(kinds[6:-2]) == {
        Priority.LEASE
    }


@given(st.lists(st.integers(0, len(MESSAGES) - 1), min_size=1, max_size=6), st.lists(st.integers(1, 50), max_size=40))
def test_it_does_not_matter_in_which_pieces_they_come(which: list[int], cuts: list[int]) -> None:
    one, other = met()
    data = b"".join(one.seal(encode(MESSAGES[i])[1]) for i in which)
    came, at = [], 0
    for cut in [*cuts, len(data)]:
        came += [decode(content) for content in other.feed(data[at : at + cut])]
        at += cut
    assert came == [MESSAGES[i] for i in which]


@given(st.integers(0, 2000), st.integers(1, 255))
def test_a_changed_byte_ends_the_link_and_nothing_of_it_is_taken(at: int, change: int) -> None:
    one, other = met()
    data = bytearray(one.seal(encode(MESSAGES[5])[1]))
    data[at % len(data)] ^= change
    with contextlib.suppress(BadFrame):
        assert list(other.feed(bytes(data))) == [], "it waits for a longer one"


def test_what_was_recorded_is_nobodys_word() -> None:
    one, other = met()
    sealed = one.seal(encode(MESSAGES[0])[1])
    assert len(list(other.feed(sealed))) == 1
    with pytest.raises(BadFrame, match="tag"):
        list(other.feed(sealed))  # again
    with pytest.raises(BadFrame, match="tag"):
        list(one.feed(one.seal(encode(MESSAGES[0])[1])))  # back to who sent it
    _, fresh = met()
    with pytest.raises(BadFrame, match="tag"):
        list(fresh.feed(sealed))  # on another link


def test_a_recorded_hello_gets_an_answer_and_is_not_believed() -> None:
    one, other = ends()
    hello = one.start_handshake()
    list(other.feed(hello))
    list(one.feed(other.reply))
    here = one.reply
    _, later = ends()
    list(later.feed(hello))
    assert later.reply and not later.authenticated
    with pytest.raises(BadFrame, match="tag"):
        list(later.feed(here))
    assert not later.authenticated


@pytest.mark.parametrize(("key", "fleet", "why"), [(b"x" * 32, "f", "another key"), (KEY, "g", "of fleet 'f'")])
def test_strangers_and_other_fleets_are_refused(key: bytes, fleet: str, why: str) -> None:
    one, other = ends(key, fleet)
    with pytest.raises(BadFrame, match=why):
        list(other.feed(one.start_handshake()))


@pytest.mark.parametrize("length", [0, MAX_HELLO_BYTES + 1, 2**30, 2**32 - 1])
def test_a_length_out_of_bounds_is_refused_before_anything_else_is_read(length: int) -> None:
    _, other = ends()
    with pytest.raises(BadFrame, match="bytes"):
        list(other.feed(length.to_bytes(LENGTH_BYTES, "big")))
    other = met()[1]
    if not 0 < length <= MAX_FRAME_BYTES:
        with pytest.raises(BadFrame, match="bytes"):
            list(other.feed(length.to_bytes(LENGTH_BYTES, "big")))


@given(st.binary(max_size=3000))
def test_garbage_ends_a_link_or_waits_and_is_never_a_message(data: bytes) -> None:
    for session in (ends()[0], ends()[1], met()[0], met()[1]):
        with contextlib.suppress(BadFrame):
            assert list(session.feed(data)) == []
        assert len(session._buffer) <= LENGTH_BYTES + TAG_BYTES + MAX_FRAME_BYTES


@given(st.binary(max_size=200))
def test_content_that_is_no_message_is_refused(data: bytes) -> None:
    with contextlib.suppress(BadFrame):
        assert encode(decode(data))


def test_one_that_is_asked_for_a_sign_of_life_gives_it() -> None:
    one, other = met()
    assert list(other.feed(one.keepalive())) == [] and other.reply
    assert list(one.feed(other.reply)) == []


def test_a_short_key_is_refused() -> None:
    with pytest.raises(ValueError, match="shorter"):
        Session(b"short", "f", "a", 1, "a:1", True)
