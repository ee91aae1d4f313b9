"""The message by which a supervisor names a successor: the request that it is to take over, and its connections.

One message (SOCK_SEQPACKET) offers one request, or some idle connections. The kernel delivers a message to one
reader, once: the process that has received it is the successor, and a message that the supervisor has received back
can't be received by anybody else.
"""

from __future__ import annotations

import contextlib
import os
import select
import socket
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import orjson

MAX_MESSAGE = 64 * 1024  # bytes
MAX_DESCRIPTORS = 240  # of one message


@dataclass(slots=True)
class Offer:
    """The contents of one message. Whoever holds the offer owns its `descriptors`.

    The fields other than `descriptors` and `truncated` are keys of the message.
    """

    process: int  # the previous owner
    slot: int = -1  # in its journal; -1: idle connections
    term: int = 0
    tries: list[bool] = field(default_factory=list)  # for each attempt, whether its connection is included
    book: int = 0  # number of its journal
    rows: list[list[int]] = field(
        default_factory=list
    )  # of idle connections: connection id, bytes read, bytes written
    descriptors: list[int] = field(default_factory=list)  # of the caller, then the attempts; or of idle connections
    truncated: bool = False  # not all of them could be received, for lack of descriptors

    def send(self, channel: socket.socket) -> None:
        """Send the offer; raises OSError (BlockingIOError where the socket's buffer is full)."""
        values: dict[str, Any] = {
            "process": self.process,
            "slot": self.slot,
            "term": self.term,
            "tries": self.tries,
            "book": self.book,
            "rows": self.rows,
        }
        socket.send_fds(channel, [orjson.dumps(values)], self.descriptors)

    def close(self) -> None:
        """Close its connections."""
        close_all(self.descriptors)
        self.descriptors = []


def receive(channel: socket.socket) -> Offer | None:
    """Receive the next offer; None if none is waiting. Malformed messages are skipped. Raises OSError or EOFError."""
    try:
        data, descriptors, flags, _ = socket.recv_fds(channel, MAX_MESSAGE, MAX_DESCRIPTORS)
    except BlockingIOError:
        return None
    if not data:
        raise EOFError
    try:
        return Offer(**orjson.loads(data), descriptors=descriptors, truncated=bool(flags & socket.MSG_CTRUNC))
    except (orjson.JSONDecodeError, TypeError):
        close_all(descriptors)
        return receive(channel)


def is_waiting(channel: socket.socket) -> bool:
    """Whether an offer waits to be received at this end."""
    poller = select.poll()
    poller.register(channel, select.POLLIN)
    return bool(poller.poll(0))


def close_all(descriptors: Sequence[int]) -> None:
    """Close descriptors, of which some may be closed already."""
    for descriptor in descriptors:
        with contextlib.suppress(OSError):
            os.close(descriptor)
