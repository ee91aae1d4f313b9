"""Offers between processes: their descriptors, lost descriptors, and descriptors that are no sockets."""

from __future__ import annotations

import os
import resource
import socket
from collections.abc import Iterator

import pytest

from cometusher.inflight.descriptor_holder import _is_socket
from cometusher.inflight.endpoint import _sockets
from cometusher.inflight.offer import Offer, close_all, is_waiting, receive

SocketPair = tuple[socket.socket, socket.socket]


@pytest.fixture
def socket_pair() -> Iterator[SocketPair]:
    local, remote = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    local.setblocking(False)
    remote.setblocking(False)
    yield local, remote
    local.close()
    remote.close()


def test_offer_is_received_once_by_the_first_reader(socket_pair: SocketPair) -> None:
    sender, receiver = socket_pair
    second_receiver = socket.socket(fileno=os.dup(receiver.fileno()))
    listener = socket.create_server(("127.0.0.1", 0))
    Offer(7, 3, 2, [True, False], book=5, descriptors=[listener.fileno()]).send(sender)
    assert is_waiting(receiver) and is_waiting(second_receiver)
    received = receive(second_receiver)
    assert received is not None and receive(receiver) is None and not is_waiting(receiver)
    assert (received.process, received.slot, received.term, received.tries, received.book) == (
        7,
        3,
        2,
        [True, False],
        5,
    )
    assert os.fstat(received.descriptors[0]).st_ino == os.fstat(listener.fileno()).st_ino and not received.truncated
    received.close()
    listener.close()
    second_receiver.close()


def test_offer_reports_descriptors_that_could_not_be_received(socket_pair: SocketPair) -> None:
    sender, receiver = socket_pair
    Offer(7, 3, 2, descriptors=[0, 1, 2]).send(sender)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    probe = os.dup(0)
    os.close(probe)
    resource.setrlimit(resource.RLIMIT_NOFILE, (probe + 1, hard))
    try:
        offer = receive(receiver)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    assert offer is not None and offer.truncated and len(offer.descriptors) < 3
    offer.close()


def test_descriptor_that_is_no_socket_any_more_is_skipped() -> None:
    """The recorded connection to a backend is closed, and its descriptor number is reused for a file or a pipe."""
    local, remote = socket.socketpair()
    reading, writing = os.pipe()
    assert _is_socket(local.fileno()) and not _is_socket(reading) and not _is_socket(99999)
    sockets = _sockets([os.dup(local.fileno()), reading])
    assert sockets[0] is not None and sockets[1] is None
    with pytest.raises(OSError):
        os.fstat(reading)
    sockets[0].close()
    close_all([writing])
    local.close()
    remote.close()


def test_malformed_message_is_skipped_and_the_end_is_reported(socket_pair: SocketPair) -> None:
    sender, receiver = socket_pair
    sender.send(b"nonsense")
    Offer(1).send(sender)
    offer = receive(receiver)
    assert offer is not None and offer.process == 1
    sender.close()
    with pytest.raises(EOFError):
        receive(receiver)
