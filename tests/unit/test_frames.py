"""The frame protocol of links: handshake, authentication, replay protection and bounds."""

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


def session_pair(key: bytes = KEY, fleet: str = "f") -> tuple[Session, Session]:
    return Session(KEY, "f", "a", 1, "a:1", True), Session(key, fleet, "b", 2, "b:1", False)


def connected_pair() -> tuple[Session, Session]:
    dialler, acceptor = session_pair()
    assert list(acceptor.feed(dialler.start_handshake())) == [] and not acceptor.authenticated
    assert list(dialler.feed(acceptor.reply)) == [] and dialler.authenticated
    assert list(acceptor.feed(dialler.reply)) == [] and acceptor.authenticated
    acceptor.reply = dialler.reply = b""
    return dialler, acceptor


def test_handshake_succeeds_and_every_message_type_is_delivered() -> None:
    dialler, acceptor = connected_pair()
    assert dialler.peer is not None and acceptor.peer is not None
    assert (dialler.peer.name, acceptor.peer.name, acceptor.peer.address) == ("b", "a", "a:1")
    for message in MESSAGES:
        for sender, receiver in ((dialler, acceptor), (acceptor, dialler)):
            (content,) = receiver.feed(sender.seal(encode(message)[1]))
            assert decode(content) == message


def test_messages_have_the_priority_of_their_type() -> None:
    priorities = [encode(message)[0] for message in MESSAGES]
    assert priorities[:6] == [Priority.PROBE] * 4 + [Priority.NEWS, Priority.WHOLE] and set(priorities[6:-2]) == {
        Priority.LEASE
    }


@given(st.lists(st.integers(0, len(MESSAGES) - 1), min_size=1, max_size=6), st.lists(st.integers(1, 50), max_size=40))
def test_frames_may_arrive_in_any_pieces(indices: list[int], cuts: list[int]) -> None:
    dialler, acceptor = connected_pair()
    data = b"".join(dialler.seal(encode(MESSAGES[i])[1]) for i in indices)
    received, start = [], 0
    for cut in [*cuts, len(data)]:
        received += [decode(content) for content in acceptor.feed(data[start : start + cut])]
        start += cut
    assert received == [MESSAGES[i] for i in indices]


@given(st.integers(0, 2000), st.integers(1, 255))
def test_frame_with_a_changed_byte_is_refused(position: int, change: int) -> None:
    dialler, acceptor = connected_pair()
    data = bytearray(dialler.seal(encode(MESSAGES[5])[1]))
    data[position % len(data)] ^= change
    with contextlib.suppress(BadFrame):
        assert list(acceptor.feed(bytes(data))) == [], "the session waits for the rest of a longer frame"


def test_replayed_frames_are_refused() -> None:
    dialler, acceptor = connected_pair()
    sealed = dialler.seal(encode(MESSAGES[0])[1])
    assert len(list(acceptor.feed(sealed))) == 1
    with pytest.raises(BadFrame, match="tag"):
        list(acceptor.feed(sealed))  # a second time
    with pytest.raises(BadFrame, match="tag"):
        list(dialler.feed(dialler.seal(encode(MESSAGES[0])[1])))  # in the other direction
    _, fresh = connected_pair()
    with pytest.raises(BadFrame, match="tag"):
        list(fresh.feed(sealed))  # on another link


def test_replayed_hello_is_answered_but_not_authenticated() -> None:
    dialler, acceptor = session_pair()
    hello = dialler.start_handshake()
    list(acceptor.feed(hello))
    list(dialler.feed(acceptor.reply))
    confirmation = dialler.reply
    _, later = session_pair()
    list(later.feed(hello))
    assert later.reply and not later.authenticated
    with pytest.raises(BadFrame, match="tag"):
        list(later.feed(confirmation))
    assert not later.authenticated


@pytest.mark.parametrize(("key", "fleet", "reason"), [(b"x" * 32, "f", "another key"), (KEY, "g", "of fleet 'f'")])
def test_hello_with_another_key_or_fleet_is_refused(key: bytes, fleet: str, reason: str) -> None:
    dialler, acceptor = session_pair(key, fleet)
    with pytest.raises(BadFrame, match=reason):
        list(acceptor.feed(dialler.start_handshake()))


@pytest.mark.parametrize("length", [0, MAX_HELLO_BYTES + 1, 2**30, 2**32 - 1])
def test_invalid_length_is_refused_before_anything_else_is_read(length: int) -> None:
    _, acceptor = session_pair()
    with pytest.raises(BadFrame, match="bytes"):
        list(acceptor.feed(length.to_bytes(LENGTH_BYTES, "big")))
    acceptor = connected_pair()[1]
    if not 0 < length <= MAX_FRAME_BYTES:
        with pytest.raises(BadFrame, match="bytes"):
            list(acceptor.feed(length.to_bytes(LENGTH_BYTES, "big")))


@given(st.binary(max_size=3000))
def test_random_bytes_are_refused_or_incomplete_and_never_a_message(data: bytes) -> None:
    for session in (session_pair()[0], session_pair()[1], connected_pair()[0], connected_pair()[1]):
        with contextlib.suppress(BadFrame):
            assert list(session.feed(data)) == []
        assert len(session._buffer) <= LENGTH_BYTES + TAG_BYTES + MAX_FRAME_BYTES


@given(st.binary(max_size=200))
def test_content_that_is_not_a_message_is_refused(data: bytes) -> None:
    with contextlib.suppress(BadFrame):
        assert encode(decode(data))


def test_keepalive_is_answered() -> None:
    dialler, acceptor = connected_pair()
    assert list(acceptor.feed(dialler.keepalive())) == [] and acceptor.reply
    assert list(dialler.feed(acceptor.reply)) == []


def test_short_key_is_refused() -> None:
    with pytest.raises(ValueError, match="shorter"):
        Session(b"short", "f", "a", 1, "a:1", True)
