"""The message by which a supervisor names an heir: what it is about, and the connections themselves.

One message (SOCK_SEQPACKET) for one piece of work, or for some connections without work. The kernel gives a message
to one reader, once: who has received it is the heir, and what the supervisor has received back nobody else can.
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

MAX_MESSAGE = 64 * 1024
MAX_DESCRIPTORS = 240


@dataclass(slots=True)
class Offer:
    """What one message says. `descriptors` belong to whoever holds it."""

    process: int  # whose work it was
    slot: int = -1  # in its book; -1: connections without work
    term: int = 0
    tries: list[bool] = field(default_factory=list)  # of each attempt, whether its connection is here
    book: int = 0  # ...and which that is
    rows: list[list[int]] = field(default_factory=list)  # of connections without work: name, read, wrote
    descriptors: list[int] = field(default_factory=list)  # the caller, attempts; or the callers
    truncated: bool = False  # not all of them could be received: there was no descriptor left

    def send(self, door: socket.socket) -> None:
        """Offer it; raises OSError (BlockingIOError where there is no room)."""
        values: dict[str, Any] = {
            "process": self.process,
            "slot": self.slot,
            "term": self.term,
            "tries": self.tries,
            "book": self.book,
            "rows": self.rows,
        }
        socket.send_fds(door, [orjson.dumps(values)], self.descriptors)

    def close(self) -> None:
        """Let go of its connections."""
        close_all(self.descriptors)
        self.descriptors = []


def receive(door: socket.socket) -> Offer | None:
    """The next offer; None where there is none now. Raises OSError or EOFError."""
    try:
        data, descriptors, flags, _ = socket.recv_fds(door, MAX_MESSAGE, MAX_DESCRIPTORS)
    except BlockingIOError:
        return None
    if not data:
        raise EOFError
    try:
        return Offer(**orjson.loads(data), descriptors=descriptors, truncated=bool(flags & socket.MSG_CTRUNC))
    except (orjson.JSONDecodeError, TypeError):
        close_all(descriptors)
        return receive(door)


def is_waiting(door: socket.socket) -> bool:
    """Whether an offer waits to be received at this end."""
    poller = select.poll()
    poller.register(door, select.POLLIN)
    return bool(poller.poll(0))


def close_all(descriptors: Sequence[int]) -> None:
    """Close these."""
    for number in descriptors:
        with contextlib.suppress(OSError):
            os.close(number)
