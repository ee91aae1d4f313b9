"""Offers between processes: what comes with them, what is left out, and what is no connection."""

from __future__ import annotations

import os
import resource
import socket
from collections.abc import Iterator

import pytest

from cometusher.inflight.descriptor_holder import _is_socket
from cometusher.inflight.endpoint import _sockets
from cometusher.inflight.offer import Offer, close_all, is_waiting, receive

Ends = tuple[socket.socket, socket.socket]


@pytest.fixture
def ends() -> Iterator[Ends]:
    one, other = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    one.setblocking(False)
    other.setblocking(False)
    yield one, other
    one.close()
    other.close()


def test_an_offer_is_received_once_by_whoever_reads_first(ends: Ends) -> None:
    door, back = ends
    again = socket.socket(fileno=os.dup(back.fileno()))
    listener = socket.create_server(("127.0.0.1", 0))
    Offer(7, 3, 2, [True, False], book=5, descriptors=[listener.fileno()]).send(door)
    assert is_waiting(back) and is_waiting(again)
    taken = receive(again)
    assert taken is not None and receive(back) is None and not is_waiting(back)
    assert (taken.process, taken.slot, taken.term, taken.tries, taken.book) == (7, 3, 2, [True, False], 5)
    assert os.fstat(taken.descriptors[0]).st_ino == os.fstat(listener.fileno()).st_ino and not taken.truncated
    taken.close()
    listener.close()
    again.close()


def test_what_finds_no_descriptor_is_told(ends: Ends) -> None:
    door, back = ends
    Offer(7, 3, 2, descriptors=[0, 1, 2]).send(door)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    probe = os.dup(0)
    os.close(probe)
    resource.setrlimit(resource.RLIMIT_NOFILE, (probe + 1, hard))
    try:
        offer = receive(back)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert offer is not None and offer.truncated and len(offer.descriptors) < 3
    offer.close()


def test_a_number_that_is_no_connection_any_more_is_left_out() -> None:
    """A backend's connection that was noted is closed, and its number is a file's or a pipe's by now."""
    one, other = socket.socketpair()
    reading, writing = os.pipe()
    assert _is_socket(one.fileno()) and not _is_socket(reading) and not _is_socket(99999)
    found = _sockets([os.dup(one.fileno()), reading])
    assert found[0] is not None and found[1] is None
    with pytest.raises(OSError):
        os.fstat(reading)
    found[0].close()
    close_all([writing])
    one.close()
    other.close()


def test_nonsense_is_passed_over_and_the_end_is_told(ends: Ends) -> None:
    door, back = ends
    door.send(b"nonsense")
    Offer(1).send(door)
    offer = receive(back)
    assert offer is not None and offer.process == 1
    door.close()
    with pytest.raises(EOFError):
        receive(back)
