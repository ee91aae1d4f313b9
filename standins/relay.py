"""A bare relay: copies bytes between a caller and one backend. What a proxy costs is told against it.

python -m standins.relay LISTEN_PORT BACKEND_PORT
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import uvloop


class Side(asyncio.Protocol):
    """One end; what it reads, the other writes."""

    def __init__(self, backend: tuple[str, int] | None) -> None:
        self._backend = backend
        self._transport: asyncio.Transport | None = None
        self._early: list[bytes] = []
        self.other: Side | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller's end connects the backend's."""
        self._transport = cast(asyncio.Transport, transport)
        if self._backend is not None:
            self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        assert self._backend is not None
        other = Side(None)
        other.other = self
        await asyncio.get_running_loop().create_connection(lambda: other, *self._backend)
        self.other = other
        for data in self._early:
            other.write(data)
        self._early.clear()

    def write(self, data: bytes) -> None:
        """To this end."""
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """To the other end."""
        if self.other is not None:
            self.other.write(data)
        else:
            self._early.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Both ends end together."""
        self._transport = None
        if self.other is not None and self.other._transport is not None:
            self.other._transport.close()


async def serve(port: int, backend: int) -> None:
    """Until it is killed."""
    server = await asyncio.get_running_loop().create_server(lambda: Side(("127.0.0.1", backend)), "127.0.0.1", port)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
