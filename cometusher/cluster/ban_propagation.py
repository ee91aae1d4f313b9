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

TICK_INTERVAL = 0.1  # seconds between looks at who has to be told
RETRY_INTERVAL = 1.0  # seconds until a process that did not say yes is told again
RESPONSE_TIMEOUT = 2.0  # seconds for its answer
MAX_RESPONSE_BYTES = 4096  # bytes of one

ManagementAddresses = Callable[[], Iterable[tuple[Key, Address]]]


async def send_order(address: Address, call: str, host: str) -> int:
    """One call; its status, or 0 if there is no answer."""
    body = orjson.dumps({"who": host})
    head = f"POST /api/{call} HTTP/1.1\r\nHost: instance\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_RESPONSE_BYTES)
            try:
                writer.write(head.encode() + body)
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return 0
    words = line.split(b" ", 2)
    return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


class BanPropagator:
    """What each process of one supervisor has been told."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        management_addresses: ManagementAddresses,
        bans: Callable[[], Mapping[str, bool]],
    ) -> None:
        """`bans`: of all backends of which the fleet has said something, whether they are banned."""
        self._loop = loop
        self._management_addresses = management_addresses
        self._bans = bans
        self._acknowledged: dict[Key, dict[str, bool]] = {}
        self._retry_at: dict[Key, float] = {}  # not before
        self._tasks: dict[Key, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Tell from here on."""
        self._tick()

    def close(self) -> None:
        """Tell nothing more."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks.values():
            task.cancel()

    def pending(self) -> int:
        """Orders that some process has not said yes to."""
        bans = self._bans()
        return sum(
            self._acknowledged.get(key, {}).get(host) is not out
            for key, _ in self._management_addresses()
            for host, out in bans.items()
        )

    def _tick(self) -> None:
        now, there = self._loop.time(), dict(self._management_addresses())
        self._acknowledged = {key: told for key, told in self._acknowledged.items() if key in there}
        self._retry_at = {key: at for key, at in self._retry_at.items() if key in there}
        bans = self._bans()
        for key, door in there.items():
            told = self._acknowledged.setdefault(key, {})
            due = {host: out for host, out in bans.items() if told.get(host) is not out}
            if due and key not in self._tasks and now >= self._retry_at.get(key, now):
                task = self._tasks[key] = self._loop.create_task(self._propagate(key, door, due))
                task.add_done_callback(lambda _, key=key: self._tasks.pop(key, None))  # type: ignore[misc]
        self._timer = self._loop.call_later(TICK_INTERVAL, self._tick)

    async def _propagate(self, key: Key, door: Address, due: Mapping[str, bool]) -> None:
        for host, out in due.items():
            status = await send_order(door, "exclude" if out else "include", host)
            if status == 200 or (status == 404 and not out):  # one that it does not know is not banned there
                self._acknowledged.get(key, {})[host] = out
            else:
                self._retry_at[key] = self._loop.time() + RETRY_INTERVAL
                log.debug("%s was told of %s: %d", key[0], host, status)
