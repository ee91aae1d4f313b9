"""A new version beside the old one, as processes on one listener: what holds across, whichever of them dies when."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest
from rig import PATIENCE, SETTINGS, Backend, Discovery, Seen, Writer, reply
from test_proxy import run

from standins.platform import Platform
from standins.ports import free_ports

ROOT = Path(__file__).parent.parent.parent


async def name(backend: Backend, seen: Seen, writer: Writer) -> None:
    writer.write(reply(body=backend.host.encode()))


@contextlib.asynccontextmanager
async def platform(tmp_path: Path, count: int = 2, sockets: int = 256) -> AsyncIterator[Platform]:
    backends = [Backend(i + 1, name) for i in range(count)]
    for backend in backends:
        await backend.start()
    discovery = Discovery()
    await discovery.start()
    hosts = [backend.entry() for backend in backends]
    made = Platform(ROOT, tmp_path, SETTINGS, hosts, discovery.port, sockets)
    try:
        yield made
    finally:
        await made.close()
        await discovery.stop()
        for backend in backends:
            await backend.stop()


def test_upgrades_under_load_turn_nobody_away(tmp_path: Path) -> None:
    """Callers on kept and on new connections all the while; three upgrades; every request is answered."""

    async def test() -> None:
        async with platform(tmp_path) as p:
            process = await p.launch()
            over = False
            answers: list[int] = []

            async def fresh() -> None:
                while not over:
                    answers.append((await p.call())[0])

            async def kept(number: int) -> None:
                caller, i = await p.connect(), 0
                while not over:
                    i += 1
                    caller.writer.write(
                        b"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Class: view\r\nX-Budget: 5000m\r\n"
                        b"X-Call-Id: k%d-%d\r\n\r\n" % (number, i)
                    )
                    status, seen = await caller.answer()
                    answers.append(status)
                    if seen.headers.get(b"connection") == b"close":
                        caller.leave()
                        caller = await p.connect()

            tasks = [asyncio.create_task(fresh()) for _ in range(3)]
            tasks += [asyncio.create_task(kept(n)) for n in range(5)]
            for _ in range(3):
                after = await p.launch()
                assert await p.end(process) == 0
                process = after
            over = True
            await asyncio.gather(*tasks)
            assert set(answers) == {200} and len(answers) > 100

    run(test)


async def kept_of(p: Platform, count: int) -> None:
    """Wait until what was learned of so many backends is kept: it is written once a second."""
    async with asyncio.timeout(PATIENCE):
        while not any(len(servers_in(path)) == count for path in p.folder.rglob("learned*")):
            await asyncio.sleep(0.02)


def servers_in(path: Path) -> list[object]:
    try:
        form = orjson.loads(path.read_bytes().partition(b"\n")[2])  # behind its check sum
    except (OSError, orjson.JSONDecodeError):
        return []  # it is being replaced
    return list(form.get("servers", []))


def test_bans_drains_and_the_learned_outlive_an_upgrade_and_reach_both(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            old = await p.launch()
            for _ in range(30):
                assert (await p.call())[0] == 200
            assert await p.operate(old, "exclude", b'{"who":"s-1"}') == 200
            await kept_of(p, 2)
            new = await p.launch()
            assert "took over the learned state of 2 backends" in p.log(1)
            for _ in range(30):
                assert await p.call() == (200, b"s-2")
            # Told to either while both live, it holds for both.
            assert await p.operate(new, "include", b'{"who":"s-1"}') == 200
            await p.told(0, "backend 1: no longer banned")
            assert await p.operate(old, "exclude", b'{"who":"s-2"}') == 200
            await p.told(1, "backend 2: banned")
            assert await p.operate(old, "evacuate") == 200
            await p.told(1, "the proxy is evacuated")
            assert await p.up() == 503
            assert await p.operate(new, "ready", method="GET") == 200
            assert await p.end(old) == 0
            third = await p.launch()
            assert await p.up() == 503, "a drain outlives an upgrade"
            assert await p.operate(third, "rejoin") == 200
            await p.told(1, "the proxy has rejoined")
            assert await p.end(new) == 0
            assert await p.up() == 200
            for _ in range(10):
                assert (await p.call())[1] != b"s-2"

    run(test)


def test_the_older_takes_up_again_when_the_newer_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            await p.launch()
            new = await p.launch()
            await p.told(0, "a newer process serves")
            new.kill()
            await new.wait()
            assert (await p.call())[0] == 200
            await p.told(0, "serving alone again")

    run(test)


def test_the_newer_serves_on_when_the_older_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            old = await p.launch()
            assert await p.operate(old, "exclude", b'{"who":"s-1"}') == 200
            await p.launch()
            old.kill()
            await old.wait()
            for _ in range(10):
                assert await p.call() == (200, b"s-2")

    run(test)


@pytest.mark.parametrize("spoilt", [b"", b"00000000\n{}", b"garbage", b'12345678\n{"form":1', b"\xff" * 3000])
def test_a_torn_state_is_left_aside_with_a_line(tmp_path: Path, spoilt: bytes) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            (tmp_path / "cometusher").mkdir()
            for file in ("learned", "standing"):
                (tmp_path / "cometusher" / file).write_bytes(spoilt)
            (tmp_path / "cometusher" / "ledger").write_bytes(spoilt * 10)
            await p.launch()
            assert (await p.call())[0] == 200
            assert all(f"{name}: ignored: wrong checksum" in p.log(0) for name in ("learned", "standing"))
            assert "Traceback" not in p.log(0)

    run(test)


def test_a_folder_that_cannot_be_used_is_a_line_and_no_end(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            (tmp_path / "cometusher").write_bytes(b"in the way")
            await p.launch()
            assert (await p.call())[0] == 200
            assert "nothing is shared" in p.log(0)

    run(test)


def test_descriptors_of_both_stay_under_the_limit(tmp_path: Path) -> None:
    """The older process is full of idle connections when the newer one starts."""

    async def test() -> None:
        async with platform(tmp_path, sockets=160) as p:
            old = await p.launch()
            callers = []
            for i in range(60):
                caller = await p.connect()
                await caller.call(rid=f"idle{i}")
                callers.append(caller)

            peak = p.held()
            await p.launch()
            for _ in range(40):
                assert (await p.call())[0] == 200
                peak = max(peak, p.held())
            assert peak <= 160
            assert await p.end(old) == 0
            for caller in callers:
                caller.leave()

    run(test)


def test_a_listener_that_is_another_address_is_told(tmp_path: Path) -> None:
    async def test() -> None:
        async with platform(tmp_path) as p:
            p.port = free_ports(1)[0]
            process = await p.launch(wait=False)
            assert await asyncio.wait_for(process.wait(), PATIENCE) == 1
            assert "descriptor 3: listens on" in p.log(0) and "Traceback" not in p.log(0)

    run(test)
