"""A backend whose behaviour for each request is a function, its script."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from standins.messages import Message, Reader, Writer, read_message, reply

Script = Callable[["Backend", Message, Writer], Awaitable[None]]


async def serve_ok(backend: Backend, request: Message, writer: Writer) -> None:
    """Respond at once with the backend's name."""
    writer.write(reply(body=backend.host.encode()))


class Backend:
    """A backend that runs its script for each request."""

    def __init__(self, number: int, script: Script = serve_ok) -> None:
        self.host = f"s-{number:x}"
        self.number = number
        self.script = script
        self.requests: list[Message] = []
        self.connections = 0
        self.arrived = asyncio.Event()
        self.closed = asyncio.Event()  # set once a connection has ended
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[Writer] = set()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        """Start to listen, on a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                self.requests.append(request)
                self.arrived.set()
                await self.script(self, request, writer)
        except (OSError, asyncio.IncompleteReadError, AssertionError):
            pass
        finally:
            self._writers.discard(writer)
            self.closed.set()
            writer.close()

    def discovery_entry(self, **changes: Any) -> dict[str, Any]:
        """The backend's entry in a list of discovery."""
        entry = {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": "a",
            "class": "m",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        return entry | changes
