"""Runs a proxy in the test's own process, between stand-ins for its peers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

from cometusher import config
from cometusher.proxy import Proxy
from standins.backend import Backend, Script, serve_ok
from standins.caller import Caller, request
from standins.discovery import Discovery, Watch
from standins.messages import PEER_TIMEOUT, Message, Reader, Writer, read_message, reply
from weldroute.settings import read_settings

__all__ = [
    "PEER_TIMEOUT",
    "SETTINGS",
    "Backend",
    "Caller",
    "Discovery",
    "Message",
    "Reader",
    "Rig",
    "Script",
    "Watch",
    "Writer",
    "merge_settings",
    "read_message",
    "reply",
    "request",
    "rig",
    "serve_ok",
    "until",
]

SETTINGS: dict[str, Any] = {
    "Services": [
        {"Name": "view", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "retryable"},
        {"Name": "submit", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "dedup", "Group": "zone", "Window": 4.0},
        {"Name": "once", "Aim": 2.0, "HardLimit": 8.0, "Repeat": "fragile"},
    ],
    "Orgs": [{"Name": "acme", "Share": 1.0, "AllowancePerS": 1000.0}],
    "Zones": ["a", "b"],
    "Tiers": ["front", "back"],
    "Tier": 1,  # this tier has no overall ratio, so every request reaches the server selection
    "Bounds": {
        "Cancel": True,
        "SecondCopies": True,
        "MaxAttempts": 3,
        "DialTimeout": 0.5,
        "ConnIdle": 5.0,
    },
    "Rules": {"Cold": 20.0, "ColdFrom": 0.14, "AskEvery": 1.0},
}


@dataclass
class Rig:
    """A running proxy with its stand-in peers."""

    proxy: Proxy
    discovery: Discovery
    backends: list[Backend]
    callers: list[Caller] = field(default_factory=list)

    async def caller(self) -> Caller:
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.proxy.callers.port))
        self.callers.append(caller)
        return caller

    async def call(self, **options: Any) -> tuple[int, Message]:
        """Sends one request on its own connection; returns status and answer."""
        caller = await self.caller()
        return await caller.call(**options)

    async def management_call(self, call: str, body: bytes | None = None, method: str = "POST") -> int:
        """Makes one management call; returns the status."""
        assert self.proxy.management is not None
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.management.port)
        body = body or b""
        writer.write(f"{method} /api/{call} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        seen = await asyncio.wait_for(read_message(reader), PEER_TIMEOUT)
        writer.close()
        assert seen is not None
        return int(seen.line.split()[1])

    @property
    def seen(self) -> list[Message]:
        """The requests that all backends have read."""
        return [seen for backend in self.backends for seen in backend.requests]


async def until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds; raises TimeoutError after PEER_TIMEOUT."""
    async with asyncio.timeout(PEER_TIMEOUT):
        while not condition():
            await asyncio.sleep(0.005)


def merge_settings(base: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Returns settings with changes, merged one level deep."""
    result = dict(base)
    for key, value in changes.items():
        result[key] = base[key] | value if isinstance(value, dict) and isinstance(base.get(key), dict) else value
    return result


@contextlib.asynccontextmanager
async def rig(
    *scripts: Script,
    settings: dict[str, Any] | None = None,
    sockets: int = 256,
    memory_mb: int = 192,
    managed: bool = False,
) -> AsyncIterator[Rig]:
    """Starts a proxy with one backend for each script."""
    discovery = Discovery()
    backends = [Backend(i + 1, script) for i, script in enumerate(scripts)]
    await discovery.start()
    for backend in backends:
        await backend.start()
    raw = merge_settings(SETTINGS, settings or {})
    proxy = Proxy(
        config.Config(
            name="t",
            listen=("127.0.0.1", 0),
            discovery=("127.0.0.1", discovery.port),
            seed=1,
            memory_mb=memory_mb,
            sockets=sockets,
            known={"seq": 41, "whole": True, "hosts": [b.discovery_entry() for b in backends]},
            settings=read_settings(raw),
            zones=tuple(raw["Zones"]),
            management=("127.0.0.1", 0) if managed else None,
        )
    )
    proxy.start()
    running = Rig(proxy, discovery, backends)
    try:
        yield running
    finally:
        for caller in running.callers:
            caller.abort()
        await proxy.drain()
        await discovery.stop()
        for backend in backends:
            await backend.stop()
