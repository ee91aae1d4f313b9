"""Reads of a bounded size: by default the event loop hands over whatever has arrived, up to 256 KiB at once."""

from __future__ import annotations

import asyncio

READ_BYTES = 16 * 1024  # of one read at most


class BoundedReadProtocol(asyncio.BufferedProtocol):
    """A protocol whose `data_received` gets at most READ_BYTES at once.

    All connections share one buffer, as each read is passed on before the next one begins. So memory per connection
    and time per turn of the event loop don't depend on how fast a peer sends.
    """

    _read_buffer = memoryview(bytearray(READ_BYTES))

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where the next read goes."""
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self.data_received(bytes(self._read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles what was read."""
        raise NotImplementedError
