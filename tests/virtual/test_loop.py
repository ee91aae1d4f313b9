"""Tests of the virtual loop and network: small programs behave as on asyncio and uvloop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from cometusher.simulation.loop import CURRENT_MACHINE, Deadlock, Stuck, VirtualLoop, run
from cometusher.simulation.network import Link, Machine, VirtualNetwork

Main = Callable[[], Coroutine[Any, Any, Any]]
TIMEOUT = 20.0


def on_asyncio(main: Main, seed: int) -> Any:
    return asyncio.run(main())


def on_uvloop(main: Main, seed: int) -> Any:
    return uvloop.run(main())


def on_virtual(main: Main, seed: int) -> Any:
    loop = VirtualLoop(seed)
    VirtualNetwork(loop, Link(latency=0.0005, jitter=1.0, cut=0.6))
    result = run(loop, main())
    assert loop.unhandled_errors == []
    return result


class Peer(asyncio.Protocol):
    """Records its events; consecutive pieces of data count as one, because no loop guarantees their bounds."""

    def __init__(self, keep_open: bool = False, on_data: Callable[[Peer, bytes], None] | None = None) -> None:
        self.events: list[Any] = []
        self.received = 0
        self.keep_open = keep_open
        self.on_data = on_data
        self.lost = asyncio.Event()
        self.eof = asyncio.Event()
        self.made = asyncio.Event()
        self.got = asyncio.Event()
        self.paused = asyncio.Event()
        self.resumed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.events.append("made")
        self.made.set()

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.got.set()
        if self.events[-1] != "data":
            self.events.append("data")
        if self.on_data is not None:
            self.on_data(self, data)

    def eof_received(self) -> bool:
        self.events.append("eof")
        self.eof.set()
        return self.keep_open

    def pause_writing(self) -> None:
        self.events.append("pause")
        self.paused.set()

    def resume_writing(self) -> None:
        self.events.append("resume")
        self.resumed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.events.append(("lost", exc is not None))
        self.lost.set()


async def connect_pair(server: Peer, client: Peer) -> Any:
    """A connection between two peers."""
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(lambda: server, "127.0.0.1", 0)
    await loop.create_connection(lambda: client, *listening.sockets[0].getsockname()[:2])
    async with asyncio.timeout(TIMEOUT):
        await server.made.wait()
    return listening


async def events(server: Peer, client: Peer) -> Any:
    """The events of both peers, up to the end of the connection."""
    async with asyncio.timeout(TIMEOUT):
        await server.lost.wait()
        await client.lost.wait()
    return server.events, server.received, client.events, client.received


async def half_close() -> Any:
    """A request ends with a half close and is answered afterwards."""
    server, client = Peer(keep_open=True), Peer()
    listening = await connect_pair(server, client)
    client.transport.write(b"x" * 3000)
    client.transport.write_eof()
    await server.eof.wait()
    server.transport.write(b"y" * 5000)
    server.transport.close()
    result = await events(server, client)
    listening.close()
    return result


async def close_sends_the_rest() -> Any:
    server, client = Peer(), Peer()
    listening = await connect_pair(server, client)
    client.transport.write(b"x" * 3_000_000)
    client.transport.close()
    client.transport.close()
    result = await events(server, client)
    listening.close()
    return result[0], result[1], result[3]  # whether the writer was paused depends on timing


async def back_pressure() -> Any:
    server, client = Peer(), Peer()
    listening = await connect_pair(server, client)
    server.transport.pause_reading()
    size = 12_000_000
    client.transport.write(b"x" * size)
    await client.paused.wait()
    before = server.received
    server.transport.resume_reading()
    await client.resumed.wait()
    client.transport.close()
    result = await events(server, client)
    listening.close()
    return before, result


async def abort() -> Any:
    server, client = Peer(), Peer()
    listening = await connect_pair(server, client)
    client.transport.abort()
    result = await events(server, client)
    listening.close()
    return result


async def close_with_bytes_unread() -> Any:
    """Closing with unread bytes resets the connection; the peer receives an error."""
    server, client = Peer(), Peer()
    listening = await connect_pair(server, client)
    server.transport.pause_reading()
    client.transport.write(b"x" * 1000)
    await asyncio.sleep(0.05)
    server.transport.abort()
    result = await events(server, client)
    listening.close()
    return result


async def close_when_data_arrives() -> Any:
    """No events follow close(). One byte only: data that arrives after the close would reset the connection."""
    server, client = Peer(on_data=lambda peer, data: peer.transport.close()), Peer()
    listening = await connect_pair(server, client)
    client.transport.write(b"x")
    result = await events(server, client)
    listening.close()
    return result[0], result[2]


async def write_to_a_closed_peer() -> Any:
    server, client = Peer(), Peer(keep_open=True)
    listening = await connect_pair(server, client)
    server.transport.close()
    await client.eof.wait()
    while not client.lost.is_set():
        client.transport.write(b"x" * 100)
        await asyncio.sleep(0.01)
    result = await events(server, client)
    listening.close()
    return result[0], result[2]


async def write_after_eof() -> Any:
    server, client = Peer(), Peer()
    listening = await connect_pair(server, client)
    client.transport.write_eof()
    try:
        client.transport.write(b"x")
    except RuntimeError:
        refused = True
    else:
        refused = False
    result = await events(server, client)
    listening.close()
    return refused, result


async def refused() -> Any:
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(Peer, "127.0.0.1", 0)
    address = listening.sockets[0].getsockname()[:2]
    listening.close()
    try:
        await loop.create_connection(Peer, *address)
    except ConnectionRefusedError:
        return "refused"
    return "connected"


async def paused_and_resumed_in_order() -> Any:
    pieces: list[bytes] = []
    server, client = Peer(on_data=lambda peer, data: pieces.append(data)), Peer()
    listening = await connect_pair(server, client)
    for i in range(50):
        client.transport.write(b"%03d" % i)
        if i % 10 == 0:
            (server.transport.resume_reading if i % 20 else server.transport.pause_reading)()
            await asyncio.sleep(0.001)
    server.transport.resume_reading()
    client.transport.close()
    result = await events(server, client)
    listening.close()
    return b"".join(pieces), result


async def streams() -> Any:
    """asyncio's streams work on virtual transports."""

    async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            writer.write(line.upper())
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname()[:2])
    lines = []
    for word in (b"one\n", b"two\n", b"x" * 30000 + b"\n"):
        writer.write(word)
        await writer.drain()
        lines.append(await reader.readline())
    writer.write_eof()
    rest = await reader.read()
    writer.close()
    await writer.wait_closed()
    server.close()
    return lines, rest


async def order() -> Any:
    """Callbacks run in the order of registration, timers in the order of their times, cancelled ones never."""
    loop = asyncio.get_running_loop()
    results: list[Any] = []
    loop.call_later(0.03, results.append, "late")
    loop.call_later(0.01, results.append, "early")
    loop.call_later(0.02, results.append, "never").cancel()
    for i in range(5):
        loop.call_soon(results.append, i)
    loop.call_soon(lambda: loop.call_soon(results.append, "next round"))
    loop.call_soon(results.append, "this round")
    await asyncio.sleep(0.06)
    try:
        async with asyncio.timeout(0.01):
            await asyncio.Event().wait()
    except TimeoutError:
        results.append("timed out")
    task = asyncio.create_task(asyncio.sleep(10.0))
    await asyncio.sleep(0)
    task.cancel()
    results.append(type((await asyncio.gather(task, return_exceptions=True))[0]).__name__)
    return results


PROGRAMS = [
    half_close,
    close_sends_the_rest,
    back_pressure,
    abort,
    close_with_bytes_unread,
    close_when_data_arrives,
    write_to_a_closed_peer,
    write_after_eof,
    refused,
    paused_and_resumed_in_order,
    streams,
    order,
]


@pytest.mark.parametrize("program", PROGRAMS, ids=lambda p: p.__name__)
def test_protocols_receive_the_same_events_on_every_loop(program: Main) -> None:
    real = on_uvloop(program, 0)
    assert on_asyncio(program, 0) == real
    for seed in range(10):
        assert on_virtual(program, seed) == real, f"seed {seed}"


def test_time_jumps_and_a_seed_determines_the_order_of_timers() -> None:
    async def main() -> list[int]:
        order_of_run: list[int] = []
        loop = asyncio.get_running_loop()
        for i in range(20):
            loop.call_at(3600.0, order_of_run.append, i)  # all at one instant
        await asyncio.sleep(7200.0)
        assert loop.time() >= 7200.0
        return order_of_run

    first = [on_virtual(main, seed) for seed in range(10)]
    assert first == [on_virtual(main, seed) for seed in range(10)]
    assert len({tuple(order) for order in first}) > 5  # the seed permutes the order that asyncio leaves open
    assert all(sorted(order) == list(range(20)) for order in first)


def test_waiting_without_timers_is_a_deadlock() -> None:
    with pytest.raises(Deadlock):
        on_virtual(lambda: asyncio.Event().wait(), 0)


def test_a_callback_that_never_yields_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cometusher.simulation.loop.STUCK_CPU_TIMEOUT", 0.2)

    async def forever() -> None:
        while True:
            pass

    with pytest.raises(Stuck, match="forever"):
        on_virtual(forever, 0)


def test_a_plain_callback_that_never_yields_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    """asyncio's handles catch what a callback raises; the loop must report it nevertheless."""
    monkeypatch.setattr("cometusher.simulation.loop.STUCK_CPU_TIMEOUT", 0.2)

    def forever() -> None:
        while True:
            pass

    async def main() -> None:
        asyncio.get_running_loop().call_soon(forever)
        await asyncio.sleep(1.0)

    with pytest.raises(Stuck, match="forever"):
        on_virtual(main, 0)


def test_no_real_time_or_socket_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    import socket
    import time

    def fail(*arguments: Any) -> Any:
        raise AssertionError("real time or a real socket was used")

    with monkeypatch.context() as patch:
        for name in ("time", "monotonic", "perf_counter"):
            patch.setattr(time, name, fail)
        patch.setattr(socket, "socket", fail)
        assert on_virtual(streams, 3)[1] == b""


# ---- conditions that only the virtual network can cause on demand ------------------------


def make_world(seed: int = 0) -> tuple[VirtualLoop, VirtualNetwork, Machine, Machine]:
    loop = VirtualLoop(seed)
    network = VirtualNetwork(loop)
    return loop, network, network.add_machine("10.0.0.1"), network.add_machine("10.0.0.2")


def test_descriptors_run_out_on_both_sides_and_are_released() -> None:
    loop, _, client_machine, server_machine = make_world()
    client_machine.descriptor_limit, server_machine.descriptor_limit = 2, 1

    async def listen() -> Any:
        return await loop.create_server(Peer, "10.0.0.2", 80)

    async def main() -> None:
        await loop.create_task(listen(), context=server_machine.context())
        CURRENT_MACHINE.set(client_machine)
        peers = [Peer(), Peer()]
        for peer in peers:
            await loop.create_connection(lambda p=peer: p, "10.0.0.2", 80)  # type: ignore[misc]
        with pytest.raises(OSError, match="Too many open files"):
            await loop.create_connection(Peer, "10.0.0.2", 80)
        await asyncio.sleep(1.0)
        assert (client_machine.descriptors_used, server_machine.descriptors_used) == (
            2,
            1,
        )  # the second waits in the queue
        peers[0].transport.close()
        await asyncio.sleep(5.0)
        assert (client_machine.descriptors_used, server_machine.descriptors_used) == (
            1,
            1,
        )  # and takes the released descriptor
        peers[1].transport.close()
        await asyncio.sleep(5.0)
        assert (client_machine.descriptors_used, server_machine.descriptors_used) == (0, 0)

    run(loop, main())


def test_a_silent_machine_answers_no_syn_and_a_full_queue_drops_it() -> None:
    loop, network, client_machine, server_machine = make_world()

    async def main() -> None:
        CURRENT_MACHINE.set(client_machine)
        listener = network.listen(("10.0.0.2", 80), backlog=1)
        await loop.create_connection(Peer, "10.0.0.2", 80)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await loop.create_connection(Peer, "10.0.0.2", 80)
        listener.accept()
        server_machine.silent = True
        began = loop.time()
        with pytest.raises(TimeoutError):
            await loop.create_connection(Peer, "10.0.0.2", 80)
        assert 31.0 < loop.time() - began < 32.0
        server_machine.silent = False
        await loop.create_connection(Peer, "10.0.0.2", 80)

    run(loop, main())


def test_a_resumed_process_reads_what_arrived_while_it_was_paused() -> None:
    loop, _, client_machine, server_machine = make_world()
    server = Peer()

    async def listen() -> Any:
        return await loop.create_server(lambda: server, "10.0.0.2", 80)

    async def main() -> None:
        await loop.create_task(listen(), context=server_machine.context())
        CURRENT_MACHINE.set(client_machine)
        client = Peer()
        await loop.create_connection(lambda: client, "10.0.0.2", 80)
        await asyncio.sleep(1.0)
        server_machine.pause()
        client.transport.write(b"x" * 100)
        await asyncio.sleep(10.0)
        assert server.received == 0
        server_machine.resume()
        await asyncio.sleep(1.0)
        assert server.received == 100

    run(loop, main())


def test_endless_callbacks_at_one_instant_are_reported() -> None:
    """As with a listener that stays readable and is polled again at once."""

    async def spin() -> None:
        loop = asyncio.get_running_loop()

        def again() -> None:
            loop.call_soon(again)

        again()
        await asyncio.sleep(1.0)

    with pytest.raises(Stuck, match="time stands still"):
        run(VirtualLoop(1), spin())
