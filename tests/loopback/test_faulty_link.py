"""The faulty link does what each of its moods says, on open connections and on new ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest

from standins.faulty_link import FaultyLink, LinkFault

SOON = 0.2  # seconds in which nothing may come; what must come is waited for
PATIENCE = 10.0


@contextlib.asynccontextmanager
async def echo() -> AsyncIterator[tuple[FaultyLink, list[asyncio.StreamWriter]]]:
    """A link before a server that says everything again."""
    far: list[asyncio.StreamWriter] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far.append(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(1024):
                writer.write(data)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    link = FaultyLink(("127.0.0.1", server.sockets[0].getsockname()[1]), 1)
    await link.start()
    try:
        yield link, far
    finally:
        await link.stop()
        server.close()


class End:
    """A caller's end."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def say(self, data: bytes) -> None:
        self.writer.write(data)

    async def hears(self, data: bytes) -> None:
        assert await asyncio.wait_for(self.reader.readexactly(len(data)), PATIENCE) == data

    async def hears_nothing(self) -> None:
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(self.reader.read(1), SOON)


async def connect(link: FaultyLink) -> End:
    return End(*await asyncio.open_connection("127.0.0.1", link.port))


async def used(link: FaultyLink) -> End:
    """A connection through which something has passed."""
    end = await connect(link)
    end.say(b"one")
    await end.hears(b"one")
    return end


def run(test: Callable[[], Coroutine[Any, Any, None]]) -> None:
    asyncio.run(test())


def test_what_is_dropped_for_a_while_comes_when_the_way_is_open() -> None:
    async def test() -> None:
        async with echo() as (link, _):
            end = await used(link)
            await link.set_fault(LinkFault("drop"))
            end.say(b"two")
            fresh = await connect(link)
            fresh.say(b"three")
            await end.hears_nothing()
            await fresh.hears_nothing()
            await link.set_fault(LinkFault())
            await end.hears(b"two")
            await fresh.hears(b"three")

    run(test)


def test_mute_holds_one_way_only() -> None:
    async def test() -> None:
        async with echo() as (link, far):
            end = await used(link)
            await link.set_fault(LinkFault("mute", direction="up"))
            far[0].write(b"down")
            await end.hears(b"down")
            end.say(b"up")
            await end.hears_nothing()

    run(test)


def test_reset_ends_open_ones_and_new_ones() -> None:
    async def test() -> None:
        async with echo() as (link, _):
            end = await used(link)
            await link.set_fault(LinkFault("reset"))
            for each in (end, await connect(link)):
                with contextlib.suppress(ConnectionResetError):
                    assert await asyncio.wait_for(each.reader.read(1), PATIENCE) == b""

    run(test)


def test_refuse_leaves_open_ones_alone() -> None:
    async def test() -> None:
        async with echo() as (link, _):
            end = await used(link)
            await link.set_fault(LinkFault("refuse"))
            with pytest.raises(OSError):
                await connect(link)
            end.say(b"two")
            await end.hears(b"two")
            await link.set_fault(LinkFault())
            await connect(link)

    run(test)


def test_half_tells_the_near_side_nothing() -> None:
    async def test() -> None:
        async with echo() as (link, far):
            end = await used(link)
            await link.set_fault(LinkFault("half"))
            async with asyncio.timeout(PATIENCE):
                while not far[0].is_closing():
                    await asyncio.sleep(0.01)
            await end.hears_nothing()

    run(test)


def test_cut_ends_in_the_middle_of_a_message() -> None:
    async def test() -> None:
        async with echo() as (link, _):
            end = await connect(link)
            await link.set_fault(LinkFault("cut", direction="down", after=4))
            end.say(b"0123456789")
            got = b""
            with contextlib.suppress(ConnectionResetError):
                while piece := await asyncio.wait_for(end.reader.read(16), PATIENCE):
                    got += piece
            assert got in (b"", b"0123"), "a reset may overtake what was written"

    run(test)


def test_slow_and_narrow_take_their_time_and_lose_nothing() -> None:
    async def test() -> None:
        async with echo() as (link, _):
            loop = asyncio.get_running_loop()
            for mood, least in (
                (LinkFault("slow", median_delay=0.1, spread=0.0), 0.2),
                (LinkFault("narrow", rate=5000.0), 0.2),
            ):
                await link.set_fault(mood)
                end = await connect(link)
                begin = loop.time()
                end.say(b"x" * 500)
                await end.hears(b"x" * 500)
                assert loop.time() - begin >= least - 0.01

    run(test)
