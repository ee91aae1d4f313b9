"""Bans that hold in the whole fleet, told to the instances of one supervisor by their operators' address.

Each process is told each order until it has said yes: one that starts anew, was away, or does not know the backend
yet is told again. It is the operators' own call (`docs/operators/operations.md`), so there is one mechanism for bans.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping

import orjson

from cometusher.config import Address
from weldroute.outlier_detection import Key

log = logging.getLogger("cometusher.mesh.orders")  # the `subsystem` of its log records

EVERY = 0.1  # seconds between looks at who has to be told
AGAIN = 1.0  # seconds until a process that did not say yes is told again
ANSWER = 2.0  # seconds for its answer
LONGEST = 4096  # bytes of one

Doors = Callable[[], Iterable[tuple[Key, Address]]]


async def tell(door: Address, call: str, host: str) -> int:
    """One call; its status, or 0 if there is no answer."""
    body = orjson.dumps({"who": host})
    head = f"POST /api/{call} HTTP/1.1\r\nHost: instance\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(ANSWER):
            reader, writer = await asyncio.open_connection(*door, limit=LONGEST)
            try:
                writer.write(head.encode() + body)
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return 0
    words = line.split(b" ", 2)
    return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


class Orders:
    """What each process of one supervisor has been told."""

    def __init__(self, loop: asyncio.AbstractEventLoop, doors: Doors, bans: Callable[[], Mapping[str, bool]]) -> None:
        """`bans`: of all backends of which the fleet has said something, whether they are banned."""
        self._loop = loop
        self._doors = doors
        self._bans = bans
        self._told: dict[Key, dict[str, bool]] = {}
        self._again: dict[Key, float] = {}  # not before
        self._busy: dict[Key, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Tell from here on."""
        self._look()

    def close(self) -> None:
        """Tell nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._busy.values():
            task.cancel()

    def pending(self) -> int:
        """Orders that some process has not said yes to."""
        bans = self._bans()
        return sum(
            self._told.get(key, {}).get(host) is not out for key, _ in self._doors() for host, out in bans.items()
        )

    def _look(self) -> None:
        now, there = self._loop.time(), dict(self._doors())
        self._told = {key: told for key, told in self._told.items() if key in there}
        self._again = {key: at for key, at in self._again.items() if key in there}
        bans = self._bans()
        for key, door in there.items():
            told = self._told.setdefault(key, {})
            due = {host: out for host, out in bans.items() if told.get(host) is not out}
            if due and key not in self._busy and now >= self._again.get(key, now):
                task = self._busy[key] = self._loop.create_task(self._tell_all(key, door, due))
                task.add_done_callback(lambda _, key=key: self._busy.pop(key, None))  # type: ignore[misc]
        self._timer = self._loop.call_later(EVERY, self._look)

    async def _tell_all(self, key: Key, door: Address, due: Mapping[str, bool]) -> None:
        for host, out in due.items():
            status = await tell(door, "exclude" if out else "include", host)
            if status == 200 or (status == 404 and not out):  # one that it does not know is not banned there
                self._told.get(key, {})[host] = out
            else:
                self._again[key] = self._loop.time() + AGAIN
                log.debug("%s was told of %s: %d", key[0], host, status)
