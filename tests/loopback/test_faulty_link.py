"""Tests of the faulty link: each fault has its stated effect on open and on new connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from standins.faulty_link import FaultyLink, LinkFault

QUIET_PERIOD = 0.2  # seconds without data that show that a connection is blocked
TIMEOUT = 10.0


@contextlib.asynccontextmanager
async def echo_server() -> AsyncIterator[tuple[FaultyLink, list[asyncio.StreamWriter]]]:
    """A link in front of an echo server, and the writers of the server's connections."""
    server_writers: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_writers.append(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(1024):
                writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = FaultyLink(("127.0.0.1", server.sockets[0].getsockname()[1]), 1)
    await link.start()
    try:
        yield link, server_writers
    finally:
        await link.stop()
        server.close()


class ClientSide:
    """The connecting side of a connection through the link."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send(self, data: bytes) -> None:
        self.writer.write(data)

    async def expect(self, data: bytes) -> None:
        assert await asyncio.wait_for(self.reader.readexactly(len(data)), TIMEOUT) == data

    async def expect_nothing(self) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(self.reader.read(1), QUIET_PERIOD)


async def connect(link: FaultyLink) -> ClientSide:
    return ClientSide(*await asyncio.open_connection("127.0.0.1", link.port))


async def connect_and_exchange(link: FaultyLink) -> ClientSide:
    """A connection on which data was exchanged."""
    client = await connect(link)
    client.send(b"one")
    await client.expect(b"one")
    return client


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


def test_drop_delays_data_until_it_ends() -> None:
    async def test() -> None:
        async with echo_server() as (link, _):
            client = await connect_and_exchange(link)
            await link.set_fault(LinkFault("drop"))
            client.send(b"two")
            new_client = await connect(link)
            new_client.send(b"three")
            await client.expect_nothing()
            await new_client.expect_nothing()
            await link.set_fault(LinkFault())
            await client.expect(b"two")
            await new_client.expect(b"three")

    run(test)


def test_mute_blocks_one_direction_only() -> None:
    async def test() -> None:
        async with echo_server() as (link, server_writers):
            client = await connect_and_exchange(link)
            await link.set_fault(LinkFault("mute", direction="up"))
            server_writers[0].write(b"down")
            await client.expect(b"down")
            client.send(b"up")
            await client.expect_nothing()

    run(test)


def test_reset_ends_open_and_new_connections() -> None:
    async def test() -> None:
        async with echo_server() as (link, _):
            client = await connect_and_exchange(link)
            await link.set_fault(LinkFault("reset"))
            for open_client in (client, await connect(link)):
                with contextlib.suppress(ConnectionResetError):
                    assert await asyncio.wait_for(open_client.reader.read(1), TIMEOUT) == b""

    run(test)


def test_refuse_keeps_open_connections() -> None:
    async def test() -> None:
        async with echo_server() as (link, _):
            client = await connect_and_exchange(link)
            await link.set_fault(LinkFault("refuse"))
            with pytest.raises(OSError):
                await connect(link)
            client.send(b"two")
            await client.expect(b"two")
            await link.set_fault(LinkFault())
            await connect(link)

    run(test)


def test_half_does_not_notify_the_connecting_side() -> None:
    async def test() -> None:
        async with echo_server() as (link, server_writers):
            client = await connect_and_exchange(link)
            await link.set_fault(LinkFault("half"))
            async with asyncio.timeout(TIMEOUT):
                while not server_writers[0].is_closing():
                    await asyncio.sleep(0.01)
            await client.expect_nothing()

    run(test)


def test_cut_ends_within_a_message() -> None:
    async def test() -> None:
        async with echo_server() as (link, _):
            client = await connect(link)
            await link.set_fault(LinkFault("cut", direction="down", after=4))
            client.send(b"0123456789")
            received = b""
            with contextlib.suppress(ConnectionResetError):
                while data := await asyncio.wait_for(client.reader.read(16), TIMEOUT):
                    received += data
            assert received in (b"", b"0123"), "a reset may overtake written data"

    run(test)


def test_slow_and_narrow_delay_data_without_loss() -> None:
    async def test() -> None:
        async with echo_server() as (link, _):
            loop = asyncio.get_running_loop()
            for fault, minimum in (
                (LinkFault("slow", median_delay=0.1, spread=0.0), 0.2),
                (LinkFault("narrow", rate=5000.0), 0.2),
            ):
                await link.set_fault(fault)
                client = await connect(link)
                begin = loop.time()
                client.send(b"x" * 500)
                await client.expect(b"x" * 500)
                assert loop.time() - begin >= minimum - 0.01

    run(test)
