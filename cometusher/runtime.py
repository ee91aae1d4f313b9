"""What the network code needs of its surroundings beyond the event loop: clocks, listeners, a look at readiness.

The one place under a proxy that touches `time`, `select` and `socket`. Timers, connecting and reading come from the
event loop that runs the code. Handed other surroundings and another loop, the same code runs on another clock and
another network.
"""

from __future__ import annotations

import asyncio
import select
import socket
import struct
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

from cometusher.config import Address
from weldroute.snapshots import ClockReading

if TYPE_CHECKING:
    from cometusher.handover import Handover
    from cometusher.inflight.endpoint import JournalAssignment
    from cometusher.inflight.tracker import TakeoverChannel
    from cometusher.recovery import RecordSink, RecoveryConfig
    from weldroute.snapshots import Record
    from weldroute.takeover import ConnectionCounters

BACKLOG = 4096
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of socket(7): closing drops what is unsent, and resets


def clock_reading() -> ClockReading:
    """Now, by the clock that may be set and by the one that counts from the machine's boot."""
    boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    return ClockReading(time.time(), boot, time.clock_gettime(time.CLOCK_BOOTTIME))


class Listener(Protocol):
    """A place where callers connect."""

    @property
    def port(self) -> int:
        """The port."""

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""

    def unwatch(self) -> None:
        """Leave connections waiting."""

    def accept(self) -> Any:
        """A connection, for `Network.attach`; raises BlockingIOError where none waits, and OSError."""

    def close(self) -> None:
        """Listen no more; what waits is reset, unless another holds the same listener."""


class Network(Protocol):
    """The surroundings of one proxy."""

    def unix_time(self) -> float:
        """Seconds since 1970, of a clock that may be set."""

    def monotonic(self) -> float:
        """Seconds of a clock that never steps back."""

    def listen(self, address: Address) -> Listener:
        """Listen; raises OSError."""

    def adopt(self, listener: socket.socket) -> Listener:
        """A listener that somebody else has opened."""

    async def attach(self, connection: Any, protocol: Callable[[], asyncio.Protocol]) -> None:
        """Give an accepted connection to the event loop; raises OSError."""

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells, whenever asked, whether a connection has something to read, or its end, that was not read yet."""

    def peer_ended_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells, whenever asked, whether the far side has ended a connection, also behind bytes not read yet."""

    def abort(self, transport: asyncio.Transport) -> None:
        """Close at once, so that the far side sees a reset."""

    def open_handover(self, folder: str) -> Handover:
        """What processes of one proxy share; raises OSError."""

    def open_records(self, returning: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """What is kept of an instance, and where to keep more."""

    def clock_reading(self) -> ClockReading:
        """Now, by the clocks that a record is dated with."""

    def open_takeover_channel(self, covered: JournalAssignment) -> TakeoverChannel:
        """Where a process notes what it has in hand, and is handed that of others."""

    def connection_id(self, transport: asyncio.Transport) -> tuple[int, int]:
        """A connection's descriptor, and a number for it that no other connection has meanwhile."""

    def read_counters(self, connection: Any, name: int, opened_here: bool) -> ConnectionCounters | None:
        """What became of a connection that was handed over; None if it is gone, or is not the one of this name."""

    def reset(self, connection: Any) -> None:
        """Have its close be seen by the far side as what it is."""


class SocketListener:
    """A listening socket."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: socket.socket) -> None:
        self._loop = loop
        self._socket = listener
        listener.setblocking(False)

    @property
    def port(self) -> int:
        """The port."""
        return int(self._socket.getsockname()[1])

    def watch(self, waits: Callable[[], None]) -> None:
        """Call `waits` whenever a connection waits, until `unwatch`."""
        self._loop.add_reader(self._socket.fileno(), waits)

    def unwatch(self) -> None:
        """Leave connections waiting."""
        self._loop.remove_reader(self._socket.fileno())

    def accept(self) -> socket.socket:
        """A connection; raises BlockingIOError where none waits, and OSError."""
        connection, _ = self._socket.accept()
        connection.setblocking(False)
        return connection

    def close(self) -> None:
        """Close this copy of the socket."""
        self._socket.close()


class SocketNetwork:
    """The real surroundings: the system's clocks and sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.unix_time = time.time
        self.monotonic = time.monotonic

    def listen(self, address: Address) -> Listener:
        """Listen; raises OSError."""
        return SocketListener(self._loop, open_listener(address))

    def adopt(self, listener: socket.socket) -> Listener:
        """A listener that somebody else has opened."""
        return SocketListener(self._loop, listener)

    async def attach(self, connection: socket.socket, protocol: Callable[[], asyncio.Protocol]) -> None:
        """Give an accepted connection to the event loop; raises OSError."""
        await self._loop.connect_accepted_socket(protocol, connection)

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells by a poll object of its own: it costs a system call to ask."""
        return _poller(transport, select.POLLIN)

    def peer_ended_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Tells by a poll object of its own; an error or a hang-up is told whatever is polled for."""
        return _poller(transport, select.POLLRDHUP)

    def abort(self, transport: asyncio.Transport) -> None:
        """With SO_LINGER of 0, or a close would look like the end of an answer of unknown length."""
        self.reset(transport.get_extra_info("socket"))
        transport.abort()

    def open_handover(self, folder: str) -> Handover:
        """What processes of one proxy share in a folder; raises OSError."""
        from cometusher.handover import open_in_folder

        return open_in_folder(folder)

    def open_records(self, returning: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """What is kept of an instance on disk, and where to keep more."""
        from cometusher.recovery import open_store

        return open_store(returning)

    def clock_reading(self) -> ClockReading:
        """Now."""
        return clock_reading()

    def open_takeover_channel(self, covered: JournalAssignment) -> TakeoverChannel:
        """The book and the door that the supervisor has given this process."""
        from cometusher.inflight.endpoint import SocketTakeoverChannel

        return SocketTakeoverChannel(self._loop, covered)

    def connection_id(self, transport: asyncio.Transport) -> tuple[int, int]:
        """By its two addresses."""
        from cometusher.inflight.tcp_info import address_pair_id

        sock = transport.get_extra_info("socket")
        return sock.fileno(), address_pair_id(
            transport.get_extra_info("sockname"), transport.get_extra_info("peername")
        )

    def read_counters(self, connection: socket.socket, name: int, opened_here: bool) -> ConnectionCounters | None:
        """The kernel's account of a socket."""
        from cometusher.inflight.tcp_info import read_counters

        return read_counters(connection, name, opened_here)

    def reset(self, connection: socket.socket) -> None:
        """By RST."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def _poller(transport: asyncio.Transport, events: int) -> Callable[[], bool]:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), events)
    return lambda: bool(poller.poll(0))


def inherited_listener(descriptor: int, address: Address) -> socket.socket:
    """A listening socket that this process was started with; raises OSError if it is not that of the address."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as fault:
        raise OSError(f"descriptor {descriptor}: {fault.strerror}") from fault
    try:
        if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"descriptor {descriptor}: does not listen")
        host, port = listener.getsockname()[:2]
        if port != address[1] or host not in (address[0], "0.0.0.0", "::"):
            raise OSError(f"descriptor {descriptor}: listens on {host}:{port}, not on {address[0]}:{address[1]}")
    except OSError:
        listener.detach()
        raise
    # A process that this one starts must not hold the callers' address open.
    listener.set_inheritable(False)
    return listener


def open_listener(address: Address) -> socket.socket:
    """A socket that listens on an address; raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
