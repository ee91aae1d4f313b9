"""Propagates bans that hold in the whole fleet to the instances of one supervisor, by their management addresses.

Each process is sent each order until it confirms it: one that restarts, was unreachable, or does not know the backend
yet is sent the order again. This uses the operators' own call (`docs/operators/operations.md`), so there is one
mechanism for bans.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping

import orjson

from cometusher.config import Address
from weldroute.outlier_detection import Key

log = logging.getLogger("cometusher.mesh.orders")  # the `subsystem` of its log records

TICK_INTERVAL = 0.1  # seconds
RETRY_INTERVAL = 1.0  # seconds until an order that was not confirmed is sent again
RESPONSE_TIMEOUT = 2.0  # seconds
MAX_RESPONSE_BYTES = 4096

ManagementAddresses = Callable[[], Iterable[tuple[Key, Address]]]


async def send_order(address: Address, call: str, host: str) -> int:
    """Make one call about a backend; return the HTTP status, or 0 if there is no answer."""
    body = orjson.dumps({"who": host})
    head = f"POST /api/{call} HTTP/1.1\r\nHost: instance\r\nContent-Length: {len(body)}\r\n\r\n"
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_RESPONSE_BYTES)
            try:
                writer.write(head.encode() + body)
                status_line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return 0
    words = status_line.split(b" ", 2)
    return int(words[1]) if len(words) > 1 and words[1].isdigit() else 0


class BanPropagator:
    """Sends each process of one supervisor the orders that it has not confirmed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        management_addresses: ManagementAddresses,
        bans: Callable[[], Mapping[str, bool]],
    ) -> None:
        """`bans`: all backends about which the fleet has an order, and whether they are banned."""
        self._loop = loop
        self._management_addresses = management_addresses
        self._bans = bans
        self._confirmed: dict[Key, dict[str, bool]] = {}  # by process: backends, and whether banned
        self._retry_at: dict[Key, float] = {}  # earliest time of the next attempt
        self._tasks: dict[Key, asyncio.Task[None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the periodic work."""
        self._tick()

    def close(self) -> None:
        """Stop, and cancel the calls in flight."""
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks.values():
            task.cancel()

    def pending(self) -> int:
        """Number of orders that some process has not confirmed."""
        bans = self._bans()
        return sum(
            self._confirmed.get(key, {}).get(host) is not banned
            for key, _ in self._management_addresses()
            for host, banned in bans.items()
        )

    def _tick(self) -> None:
        now, processes = self._loop.time(), dict(self._management_addresses())
        self._confirmed = {key: confirmed for key, confirmed in self._confirmed.items() if key in processes}
        self._retry_at = {key: retry_at for key, retry_at in self._retry_at.items() if key in processes}
        bans = self._bans()
        for key, address in processes.items():
            confirmed = self._confirmed.setdefault(key, {})
            due = {host: banned for host, banned in bans.items() if confirmed.get(host) is not banned}
            if due and key not in self._tasks and now >= self._retry_at.get(key, now):
                task = self._tasks[key] = self._loop.create_task(self._propagate(key, address, due))
                task.add_done_callback(lambda _, key=key: self._tasks.pop(key, None))  # type: ignore[misc]
        self._timer = self._loop.call_later(TICK_INTERVAL, self._tick)

    async def _propagate(self, key: Key, address: Address, due: Mapping[str, bool]) -> None:
        for host, banned in due.items():
            status = await send_order(address, "exclude" if banned else "include", host)
            if status == 200 or (status == 404 and not banned):  # a backend that it does not know is not banned there
                self._confirmed.get(key, {})[host] = banned
            else:
                self._retry_at[key] = self._loop.time() + RETRY_INTERVAL
                log.debug("%s did not confirm the order about %s: status %d", key[0], host, status)
