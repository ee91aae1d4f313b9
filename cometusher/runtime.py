"""Runtime interfaces of the network code beyond the event loop: clocks, listeners and readiness checks.

The only module of a proxy that uses `time`, `select` and `socket`. Timers, connecting and reading come from the event
loop. With another implementation of `Network` and another loop, the same code runs on another clock and network.
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
RESET = struct.pack("ii", 1, 0)  # SO_LINGER of socket(7): close discards unsent data and sends RST


def clock_reading() -> ClockReading:
    """The present time by the wall clock, which may be set, and by the clock that counts from the machine's boot."""
    boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    return ClockReading(time.time(), boot, time.clock_gettime(time.CLOCK_BOOTTIME))


class Listener(Protocol):
    """Accepts connections at one address."""

    @property
    def port(self) -> int:
        """The port number."""

    def watch(self, on_waiting: Callable[[], None]) -> None:
        """Call `on_waiting` whenever a connection waits to be accepted, until `unwatch`."""

    def unwatch(self) -> None:
        """Stop calling `on_waiting`; connections wait in the backlog."""

    def accept(self) -> Any:
        """Accept a connection for `Network.attach`; raises OSError, and BlockingIOError if none waits."""

    def close(self) -> None:
        """Stop listening; waiting connections are reset, unless another process holds the same listener."""


class Network(Protocol):
    """Clocks, sockets and storage of one proxy."""

    def unix_time(self) -> float:
        """Seconds since 1970 by a clock that may be set."""

    def monotonic(self) -> float:
        """Seconds of a clock that never goes backwards."""

    def listen(self, address: Address) -> Listener:
        """Listen at an address; raises OSError."""

    def adopt(self, listener: socket.socket) -> Listener:
        """Use a listening socket that another component has opened."""

    async def attach(self, connection: Any, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Attach an accepted connection to the event loop; raises OSError."""

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """A function that returns whether a connection has unread data or an unread end of stream."""

    def peer_ended_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """A function that returns whether the peer has ended a connection, also behind unread data."""

    def abort(self, transport: asyncio.Transport) -> None:
        """Close a connection at once with a reset."""

    def open_handover(self, folder: str) -> Handover:
        """Open the state that processes of one proxy share; raises OSError."""

    def open_records(self, config: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """The stored records of an instance, and the sink for new ones."""

    def clock_reading(self) -> ClockReading:
        """The present time by the clocks that date a record."""

    def open_takeover_channel(self, assignment: JournalAssignment) -> TakeoverChannel:
        """Open the channel for in-flight requests: the process's journal, and takeovers from other processes."""

    def connection_id(self, transport: asyncio.Transport) -> tuple[int, int]:
        """A connection's descriptor and an id that no other open connection has."""

    def read_counters(self, connection: Any, connection_id: int, opened_here: bool) -> ConnectionCounters | None:
        """Counters of a connection that was handed over; None if it is closed or is not the one with this id."""

    def reset(self, connection: Any) -> None:
        """Make the close of a connection visible to the peer as a reset."""


class SocketListener:
    """A listening TCP socket on an asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, listener: socket.socket) -> None:
        self._loop = loop
        self._socket = listener
        listener.setblocking(False)

    @property
    def port(self) -> int:
        """The port number."""
        return int(self._socket.getsockname()[1])

    def watch(self, on_waiting: Callable[[], None]) -> None:
        """Call `on_waiting` whenever a connection waits to be accepted, until `unwatch`."""
        self._loop.add_reader(self._socket.fileno(), on_waiting)

    def unwatch(self) -> None:
        """Stop calling `on_waiting`; connections wait in the backlog."""
        self._loop.remove_reader(self._socket.fileno())

    def accept(self) -> socket.socket:
        """Accept a connection; raises OSError, and BlockingIOError if none waits."""
        connection, _ = self._socket.accept()
        connection.setblocking(False)
        return connection

    def close(self) -> None:
        """Close this process's descriptor of the socket."""
        self._socket.close()


class SocketNetwork:
    """The production implementation: the system's clocks, sockets and files."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.unix_time = time.time
        self.monotonic = time.monotonic

    def listen(self, address: Address) -> Listener:
        """Listen at an address; raises OSError."""
        return SocketListener(self._loop, open_listener(address))

    def adopt(self, listener: socket.socket) -> Listener:
        """Use a listening socket that another component has opened."""
        return SocketListener(self._loop, listener)

    async def attach(self, connection: socket.socket, protocol: Callable[[], asyncio.BaseProtocol]) -> None:
        """Attach an accepted connection to the event loop; raises OSError."""
        await self._loop.connect_accepted_socket(protocol, connection)

    def unread_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Check with a poll object of its own; each call costs one system call."""
        return _poller(transport, select.POLLIN)

    def peer_ended_check(self, transport: asyncio.Transport) -> Callable[[], bool]:
        """Check with a poll object of its own; poll reports errors and hang-ups whatever the event mask."""
        return _poller(transport, select.POLLRDHUP)

    def abort(self, transport: asyncio.Transport) -> None:
        """Close with SO_LINGER 0; a normal close would look like the end of a response without Content-Length."""
        self.reset(transport.get_extra_info("socket"))
        transport.abort()

    def open_handover(self, folder: str) -> Handover:
        """Open the state that processes of one proxy share in a folder; raises OSError."""
        from cometusher.handover import open_in_folder

        return open_in_folder(folder)

    def open_records(self, config: RecoveryConfig) -> tuple[dict[str, Record], RecordSink]:
        """The stored records of an instance on disk, and the sink for new ones."""
        from cometusher.recovery import open_store

        return open_store(config)

    def clock_reading(self) -> ClockReading:
        """The present time by the system's clocks."""
        return clock_reading()

    def open_takeover_channel(self, assignment: JournalAssignment) -> TakeoverChannel:
        """The journal and takeover endpoint that the supervisor assigned to this process."""
        from cometusher.inflight.endpoint import SocketTakeoverChannel

        return SocketTakeoverChannel(self._loop, assignment)

    def connection_id(self, transport: asyncio.Transport) -> tuple[int, int]:
        """The descriptor, and an id made from the two socket addresses."""
        from cometusher.inflight.tcp_info import address_pair_id

        sock = transport.get_extra_info("socket")
        return sock.fileno(), address_pair_id(
            transport.get_extra_info("sockname"), transport.get_extra_info("peername")
        )

    def read_counters(
        self, connection: socket.socket, connection_id: int, opened_here: bool
    ) -> ConnectionCounters | None:
        """The kernel's counters of a socket."""
        from cometusher.inflight.tcp_info import read_counters

        return read_counters(connection, connection_id, opened_here)

    def reset(self, connection: socket.socket) -> None:
        """Make the next close send RST."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def _poller(transport: asyncio.Transport, events: int) -> Callable[[], bool]:
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), events)
    return lambda: bool(poller.poll(0))


def inherited_listener(descriptor: int, address: Address) -> socket.socket:
    """The listening socket that this process was started with; raises OSError if it is not bound to the address."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise OSError(f"descriptor {descriptor}: {error.strerror}") from error
    try:
        if listener.type != socket.SOCK_STREAM or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise OSError(f"descriptor {descriptor}: does not listen")
        host, port = listener.getsockname()[:2]
        if port != address[1] or host not in (address[0], "0.0.0.0", "::"):
            raise OSError(f"descriptor {descriptor}: listens on {host}:{port}, not on {address[0]}:{address[1]}")
    except OSError:
        listener.detach()
        raise
    # Child processes must not keep the address for callers open.
    listener.set_inheritable(False)
    return listener


def open_listener(address: Address) -> socket.socket:
    """Open a socket that listens on an address; raises OSError."""
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
