"""The kernel's byte counters of a connection are consistent, whatever arrives while they are read."""

from __future__ import annotations

import socket
import termios
from typing import Any

import pytest

from cometusher.inflight import tcp_info
from cometusher.inflight.tcp_info import (
    BYTE_COUNTERS,
    BYTE_COUNTERS_OFFSET,
    ESTABLISHED,
    LAST_DATA_AGE,
    LAST_DATA_AGE_OFFSET,
    address_pair_id,
    read_counters,
)


class Kernel:
    """A connection on which data arrives at each of the first reads, `arrivals` in number."""

    def __init__(self, arrivals: int) -> None:
        self.remaining_arrivals = arrivals
        self.acked, self.unsent, self.received, self.unread = 100, 50, 70, 0

    def _receive_data(self) -> None:
        if self.remaining_arrivals:
            self.remaining_arrivals -= 1
            self.acked, self.unsent = self.acked + 10, self.unsent - 10
            self.received, self.unread = self.received + 5, self.unread + 5

    def getsockopt(self, *arguments: Any) -> bytes:
        info = bytearray(BYTE_COUNTERS_OFFSET + BYTE_COUNTERS.size)
        info[0] = ESTABLISHED
        LAST_DATA_AGE.pack_into(info, LAST_DATA_AGE_OFFSET, 40)
        BYTE_COUNTERS.pack_into(info, BYTE_COUNTERS_OFFSET, self.acked, self.received)
        self._receive_data()
        return bytes(info)

    def getsockname(self) -> tuple[str, int]:
        return ("127.0.0.1", 1)

    def getpeername(self) -> tuple[str, int]:
        return ("127.0.0.1", 2)


def queue_length(kernel: Any, request: int) -> int:
    return int(kernel.unsent if request == termios.TIOCOUTQ else kernel.unread)


@pytest.mark.parametrize("arrivals", [0, 1, 3])
def test_data_arriving_between_two_system_calls_is_counted_once(
    arrivals: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(tcp_info, "_queue_length", queue_length)
    kernel: Any = Kernel(arrivals)
    counters = read_counters(kernel, address_pair_id(kernel.getsockname(), kernel.getpeername()), False)
    assert counters is not None and (counters.written, counters.read) == (150, 70)
    assert (counters.unread, counters.last_data_age) == (5 * arrivals, 0.04 if arrivals else 0.0)


def test_connection_that_keeps_changing_has_no_counters(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(tcp_info, "_queue_length", queue_length)
    kernel: Any = Kernel(10**6)
    assert read_counters(kernel, address_pair_id(kernel.getsockname(), kernel.getpeername()), False) is None


def test_counters_of_a_real_connection() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
        accepted, _ = server.accept()
        with accepted:
            accepted.sendall(b"x" * 30)
            client.sendall(b"y" * 20)
            assert accepted.recv(5) == b"yyyyy"
            counters = read_counters(accepted, tcp_info.connection_id_of(accepted), False)
            assert (
                counters is not None
                and (counters.written, counters.read, counters.unread) == (30, 5, 15)
                and not counters.closed_by_peer
            )
