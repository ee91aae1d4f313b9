"""A plain TCP relay between callers and one backend, the baseline for measuring the cost of a proxy.

python -m standins.relay LISTEN_PORT BACKEND_PORT
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

import uvloop


class RelayConnection(asyncio.Protocol):
    """One of two linked connections; data read from one is written to the other."""

    def __init__(self, backend: tuple[str, int] | None) -> None:
        self._backend = backend
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []
        self.other: RelayConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the backend's connection for a new connection of a caller."""
        self._transport = cast(asyncio.Transport, transport)
        if self._backend is not None:
            self._task = asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        assert self._backend is not None
        other = RelayConnection(None)
        other.other = self
        await asyncio.get_running_loop().create_connection(lambda: other, *self._backend)
        self.other = other
        for data in self._unsent:
            other.write(data)
        self._unsent.clear()

    def write(self, data: bytes) -> None:
        """Write data to this connection."""
        if self._transport is not None:
            self._transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Forward data to the other connection, or buffer it until that is open."""
        if self.other is not None:
            self.other.write(data)
        else:
            self._unsent.append(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other connection too."""
        self._transport = None
        if self.other is not None and self.other._transport is not None:
            self.other._transport.close()


async def serve(port: int, backend: int) -> None:
    """Serve until the process is killed."""
    server = await asyncio.get_running_loop().create_server(
        lambda: RelayConnection(("127.0.0.1", backend)), "127.0.0.1", port
    )
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), int(sys.argv[2])))
