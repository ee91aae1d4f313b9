"""The same small programs on asyncio, uvloop and the virtual loop: protocols must see the same."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, cast

import pytest
import uvloop

from cometusher.simulation.loop import CURRENT_MACHINE, Deadlock, Stuck, VirtualLoop, run
from cometusher.simulation.network import Link, Machine, VirtualNetwork

Main = Callable[[], Coroutine[Any, Any, Any]]
PATIENCE = 20.0


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
    """Notes what it is told; pieces of data are joined, for their bounds are nobody's promise."""

    def __init__(self, keep_open: bool = False, on_data: Callable[[Peer, bytes], None] | None = None) -> None:
        self.seen: list[Any] = []
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
        self.seen.append("made")
        self.made.set()

    def data_received(self, data: bytes) -> None:
        self.received += len(data)
        self.got.set()
        if self.seen[-1] != "data":
            self.seen.append("data")
        if self.on_data is not None:
            self.on_data(self, data)

    def eof_received(self) -> bool:
        self.seen.append("eof")
        self.eof.set()
        return self.keep_open

    def pause_writing(self) -> None:
        self.seen.append("pause")
        self.paused.set()

    def resume_writing(self) -> None:
        self.seen.append("resume")
        self.resumed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.seen.append(("lost", exc is not None))
        self.lost.set()


async def pair(server: Peer, client: Peer) -> Any:
    """A connection between two peers."""
    loop = asyncio.get_running_loop()
    listening = await loop.create_server(lambda: server, "127.0.0.1", 0)
    await loop.create_connection(lambda: client, *listening.sockets[0].getsockname()[:2])
    async with asyncio.timeout(PATIENCE):
        await server.made.wait()
    return listening


async def seen(server: Peer, client: Peer) -> Any:
    """What both were told, up to their ends."""
    async with asyncio.timeout(PATIENCE):
        await server.lost.wait()
        await client.lost.wait()
    return server.seen, server.received, client.seen, client.received


async def half_close() -> Any:
    """A request that ends with its sender's half, answered after that."""
    server, client = Peer(keep_open=True), Peer()
    listening = await pair(server, client)
    client.transport.write(b"x" * 3000)
    client.transport.write_eof()
    await server.eof.wait()
    server.transport.write(b"y" * 5000)
    server.transport.close()
    result = await seen(server, client)
    listening.close()
    return result


async def close_sends_what_is_left() -> Any:
    server, client = Peer(), Peer()
    listening = await pair(server, client)
    client.transport.write(b"x" * 3_000_000)
    client.transport.close()
    client.transport.close()
    result = await seen(server, client)
    listening.close()
    return result[0], result[1], result[3]  # whether the writer was paused meanwhile is timing


async def back_pressure() -> Any:
    server, client = Peer(), Peer()
    listening = await pair(server, client)
    server.transport.pause_reading()
    size = 12_000_000
    client.transport.write(b"x" * size)
    await client.paused.wait()
    before = server.received
    server.transport.resume_reading()
    await client.resumed.wait()
    client.transport.close()
    result = await seen(server, client)
    listening.close()
    return before, result


async def abort() -> Any:
    server, client = Peer(), Peer()
    listening = await pair(server, client)
    client.transport.abort()
    result = await seen(server, client)
    listening.close()
    return result


async def close_with_bytes_unread() -> Any:
    """They reset the connection; the other side is told an error."""
    server, client = Peer(), Peer()
    listening = await pair(server, client)
    server.transport.pause_reading()
    client.transport.write(b"x" * 1000)
    await asyncio.sleep(0.05)
    server.transport.abort()
    result = await seen(server, client)
    listening.close()
    return result


async def close_when_data_comes() -> Any:
    """After close() nothing more is told. One byte: of more, what comes after the close would reset."""
    server, client = Peer(on_data=lambda peer, data: peer.transport.close()), Peer()
    listening = await pair(server, client)
    client.transport.write(b"x")
    result = await seen(server, client)
    listening.close()
    return result[0], result[2]


async def write_to_one_that_has_gone() -> Any:
    server, client = Peer(), Peer(keep_open=True)
    listening = await pair(server, client)
    server.transport.close()
    await client.eof.wait()
    while not client.lost.is_set():
        client.transport.write(b"x" * 100)
        await asyncio.sleep(0.01)
    result = await seen(server, client)
    listening.close()
    return result[0], result[2]


async def write_after_the_end() -> Any:
    server, client = Peer(), Peer()
    listening = await pair(server, client)
    client.transport.write_eof()
    try:
        client.transport.write(b"x")
    except RuntimeError:
        refused = True
    else:
        refused = False
    result = await seen(server, client)
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
    listening = await pair(server, client)
    for i in range(50):
        client.transport.write(b"%03d" % i)
        if i % 10 == 0:
            (server.transport.resume_reading if i % 20 else server.transport.pause_reading)()
            await asyncio.sleep(0.001)
    server.transport.resume_reading()
    client.transport.close()
    result = await seen(server, client)
    listening.close()
    return b"".join(pieces), result


async def streams() -> Any:
    """What asyncio builds on transports works on them as well."""

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
    """Callbacks in the order of their registration, timers in that of their times, cancelled ones not at all."""
    loop = asyncio.get_running_loop()
    out: list[Any] = []
    loop.call_later(0.03, out.append, "late")
    loop.call_later(0.01, out.append, "early")
    loop.call_later(0.02, out.append, "never").cancel()
    for i in range(5):
        loop.call_soon(out.append, i)
    loop.call_soon(lambda: loop.call_soon(out.append, "next round"))
    loop.call_soon(out.append, "this round")
    await asyncio.sleep(0.06)
    try:
        async with asyncio.timeout(0.01):
            await asyncio.Event().wait()
    except TimeoutError:
        out.append("timed out")
    task = asyncio.create_task(asyncio.sleep(10.0))
    await asyncio.sleep(0)
    task.cancel()
    out.append(type((await asyncio.gather(task, return_exceptions=True))[0]).__name__)
    return out


PROGRAMS = [
    half_close,
    close_sends_what_is_left,
    back_pressure,
    abort,
    close_with_bytes_unread,
    close_when_data_comes,
    write_to_one_that_has_gone,
    write_after_the_end,
    refused,
    paused_and_resumed_in_order,
    streams,
    order,
]


@pytest.mark.parametrize("program", PROGRAMS, ids=lambda p: p.__name__)
def test_protocols_see_the_same_on_every_loop(program: Main) -> None:
    real = on_uvloop(program, 0)
    assert on_asyncio(program, 0) == real
    for seed in range(10):
        assert on_virtual(program, seed) == real, f"seed {seed}"


def test_time_jumps_and_a_seed_replays() -> None:
    async def main() -> list[int]:
        out: list[int] = []
        loop = asyncio.get_running_loop()
        for i in range(20):
            loop.call_at(3600.0, out.append, i)  # all on one tick
        await asyncio.sleep(7200.0)
        assert loop.time() >= 7200.0
        return out

    first = [on_virtual(main, seed) for seed in range(10)]
    assert first == [on_virtual(main, seed) for seed in range(10)]
    assert len({tuple(order) for order in first}) > 5  # the seed permutes what asyncio leaves open
    assert all(sorted(order) == list(range(20)) for order in first)


def test_waiting_for_nothing_is_told() -> None:
    with pytest.raises(Deadlock):
        on_virtual(lambda: asyncio.Event().wait(), 0)


def test_a_callback_that_never_yields_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cometusher.simulation.loop.STUCK_CPU_TIMEOUT", 0.2)

    async def forever() -> None:
        while True:
            pass

    with pytest.raises(Stuck, match="forever"):
        on_virtual(forever, 0)


def test_a_plain_callback_that_never_yields_is_reported_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """asyncio's handles catch whatever a callback raises; the loop tells it all the same."""
    monkeypatch.setattr("cometusher.simulation.loop.STUCK_CPU_TIMEOUT", 0.2)

    def forever() -> None:
        while True:
            pass

    async def main() -> None:
        asyncio.get_running_loop().call_soon(forever)
        await asyncio.sleep(1.0)

    with pytest.raises(Stuck, match="forever"):
        on_virtual(main, 0)


def test_real_time_and_sockets_stay_out(monkeypatch: pytest.MonkeyPatch) -> None:
    import socket
    import time

    def poison(*rest: Any) -> Any:
        raise AssertionError("real time or a real socket was used")

    with monkeypatch.context() as patch:
        for name in ("time", "monotonic", "perf_counter"):
            patch.setattr(time, name, poison)
        patch.setattr(socket, "socket", poison)
        assert on_virtual(streams, 3)[1] == b""


# ---- what only the virtual network can do on demand --------------------------------------


def world(seed: int = 0) -> tuple[VirtualLoop, VirtualNetwork, Machine, Machine]:
    loop = VirtualLoop(seed)
    network = VirtualNetwork(loop)
    return loop, network, network.add_machine("10.0.0.1"), network.add_machine("10.0.0.2")


def test_descriptors_run_out_on_both_sides_and_come_back() -> None:
    loop, _, here, there = world()
    here.descriptor_limit, there.descriptor_limit = 2, 1

    async def listen() -> Any:
        return await loop.create_server(Peer, "10.0.0.2", 80)

    async def main() -> None:
        await loop.create_task(listen(), context=there.context())
        CURRENT_MACHINE.set(here)
        peers = [Peer(), Peer()]
        for peer in peers:
            await loop.create_connection(lambda p=peer: p, "10.0.0.2", 80)  # type: ignore[misc]
        with pytest.raises(OSError, match="Too many open files"):
            await loop.create_connection(Peer, "10.0.0.2", 80)
        await asyncio.sleep(1.0)
        assert (here.descriptors_used, there.descriptors_used) == (2, 1)  # the second waits in the queue
        peers[0].transport.close()
        await asyncio.sleep(5.0)
        assert (here.descriptors_used, there.descriptors_used) == (1, 1)  # and has its place now
        peers[1].transport.close()
        await asyncio.sleep(5.0)
        assert (here.descriptors_used, there.descriptors_used) == (0, 0)

    run(loop, main())


def test_a_silent_machine_answers_no_syn_and_a_full_queue_drops_it() -> None:
    loop, network, here, there = world()

    async def main() -> None:
        CURRENT_MACHINE.set(here)
        listener = network.listen(("10.0.0.2", 80), backlog=1)
        await loop.create_connection(Peer, "10.0.0.2", 80)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.5):
                await loop.create_connection(Peer, "10.0.0.2", 80)
        listener.accept()
        there.silent = True
        began = loop.time()
        with pytest.raises(TimeoutError):
            await loop.create_connection(Peer, "10.0.0.2", 80)
        assert 31.0 < loop.time() - began < 32.0
        there.silent = False
        await loop.create_connection(Peer, "10.0.0.2", 80)

    run(loop, main())


def test_a_paused_process_reads_what_came_meanwhile_when_it_goes_on() -> None:
    loop, _, here, there = world()
    server = Peer()

    async def listen() -> Any:
        return await loop.create_server(lambda: server, "10.0.0.2", 80)

    async def main() -> None:
        await loop.create_task(listen(), context=there.context())
        CURRENT_MACHINE.set(here)
        client = Peer()
        await loop.create_connection(lambda: client, "10.0.0.2", 80)
        await asyncio.sleep(1.0)
        there.pause()
        client.transport.write(b"x" * 100)
        await asyncio.sleep(10.0)
        assert server.received == 0
        there.resume()
        await asyncio.sleep(1.0)
        assert server.received == 100

    run(loop, main())


def test_callbacks_without_end_at_one_moment_are_told() -> None:
    """As of a listener that stays readable and is looked at again at once."""

    async def spin() -> None:
        loop = asyncio.get_running_loop()

        def again() -> None:
            loop.call_soon(again)

        again()
        await asyncio.sleep(1.0)

    with pytest.raises(Stuck, match="time stands still"):
        run(VirtualLoop(1), spin())
