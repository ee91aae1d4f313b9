"""Tests hot restarts with real processes on one listener: what survives, whichever process dies at any time."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import orjson
import pytest
from rig import PEER_TIMEOUT, SETTINGS, Backend, Discovery, Message, Writer, reply
from test_proxy import run

from standins.platform import Platform
from standins.ports import free_ports

ROOT = Path(__file__).parent.parent.parent


async def answer_with_host(backend: Backend, seen: Message, writer: Writer) -> None:
    writer.write(reply(body=backend.host.encode()))


@contextlib.asynccontextmanager
async def running_platform(tmp_path: Path, count: int = 2, sockets: int = 256) -> AsyncIterator[Platform]:
    backends = [Backend(i + 1, answer_with_host) for i in range(count)]
    for backend in backends:
        await backend.start()
    discovery = Discovery()
    await discovery.start()
    hosts = [backend.discovery_entry() for backend in backends]
    platform = Platform(ROOT, tmp_path, SETTINGS, hosts, discovery.port, sockets)
    try:
        yield platform
    finally:
        await platform.close()
        await discovery.stop()
        for backend in backends:
            await backend.stop()


def test_hot_restarts_under_load_refuse_no_request(tmp_path: Path) -> None:
    """Three hot restarts under load from kept and new connections; every request is answered."""

    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            process = await platform.launch()
            stopping = False
            answers: list[int] = []

            async def call_on_new_connections() -> None:
                while not stopping:
                    answers.append((await platform.call())[0])

            async def call_on_kept_connection(number: int) -> None:
                caller, i = await platform.connect(), 0
                while not stopping:
                    i += 1
                    caller.writer.write(
                        b"GET /api HTTP/1.1\r\nHost: x\r\nX-Call-Class: view\r\nX-Budget: 5000m\r\n"
                        b"X-Call-Id: k%d-%d\r\n\r\n" % (number, i)
                    )
                    status, seen = await caller.answer()
                    answers.append(status)
                    if seen.headers.get(b"connection") == b"close":
                        caller.abort()
                        caller = await platform.connect()

            tasks = [asyncio.create_task(call_on_new_connections()) for _ in range(3)]
            tasks += [asyncio.create_task(call_on_kept_connection(n)) for n in range(5)]
            for _ in range(3):
                successor = await platform.launch()
                assert await platform.terminate(process) == 0
                process = successor
            stopping = True
            await asyncio.gather(*tasks)
            assert set(answers) == {200} and len(answers) > 100

    run(test)


async def wait_for_saved_servers(platform: Platform, count: int) -> None:
    """Wait until the learned state of `count` backends is stored; it is written once a second."""
    async with asyncio.timeout(PEER_TIMEOUT):
        while not any(len(saved_servers(path)) == count for path in platform.folder.rglob("learned*")):
            await asyncio.sleep(0.02)


def saved_servers(path: Path) -> list[object]:
    try:
        state = orjson.loads(path.read_bytes().partition(b"\n")[2])  # after its checksum
    except (OSError, orjson.JSONDecodeError):
        return []  # it is being replaced
    return list(state.get("servers", []))


def test_bans_evacuation_and_learned_state_survive_and_reach_both_processes(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            old = await platform.launch()
            for _ in range(30):
                assert (await platform.call())[0] == 200
            assert await platform.management_call(old, "exclude", b'{"who":"s-1"}') == 200
            await wait_for_saved_servers(platform, 2)
            new = await platform.launch()
            assert "took over the learned state of 2 backends" in platform.log(1)
            for _ in range(30):
                assert await platform.call() == (200, b"s-2")
            # While both processes live, an order to either applies to both.
            assert await platform.management_call(new, "include", b'{"who":"s-1"}') == 200
            await platform.wait_for_log(0, "backend 1: no longer banned")
            assert await platform.management_call(old, "exclude", b'{"who":"s-2"}') == 200
            await platform.wait_for_log(1, "backend 2: banned")
            assert await platform.management_call(old, "evacuate") == 200
            await platform.wait_for_log(1, "the proxy is evacuated")
            assert await platform.up() == 503
            assert await platform.management_call(new, "ready", method="GET") == 200
            assert await platform.terminate(old) == 0
            third = await platform.launch()
            assert await platform.up() == 503, "evacuation survives a hot restart"
            assert await platform.management_call(third, "rejoin") == 200
            await platform.wait_for_log(1, "the proxy has rejoined")
            assert await platform.terminate(new) == 0
            assert await platform.up() == 200
            for _ in range(10):
                assert (await platform.call())[1] != b"s-2"

    run(test)


def test_older_process_serves_again_when_the_newer_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            await platform.launch()
            new = await platform.launch()
            await platform.wait_for_log(0, "a newer process serves")
            new.kill()
            await new.wait()
            assert (await platform.call())[0] == 200
            await platform.wait_for_log(0, "serving alone again")

    run(test)


def test_newer_process_serves_on_when_the_older_is_killed(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            old = await platform.launch()
            assert await platform.management_call(old, "exclude", b'{"who":"s-1"}') == 200
            await platform.launch()
            old.kill()
            await old.wait()
            for _ in range(10):
                assert await platform.call() == (200, b"s-2")

    run(test)


@pytest.mark.parametrize("torn_data", [b"", b"00000000\n{}", b"garbage", b'12345678\n{"form":1', b"\xff" * 3000])
def test_torn_state_is_logged_and_ignored(tmp_path: Path, torn_data: bytes) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            (tmp_path / "cometusher").mkdir()
            for file in ("learned", "standing"):
                (tmp_path / "cometusher" / file).write_bytes(torn_data)
            (tmp_path / "cometusher" / "ledger").write_bytes(torn_data * 10)
            await platform.launch()
            assert (await platform.call())[0] == 200
            assert "Traceback" not in platform.log(0) and all(
                f"{name}: ignored: wrong checksum" in platform.log(0) for name in ("learned", "standing")
            )

    run(test)


def test_unusable_folder_is_logged_and_the_process_serves(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            (tmp_path / "cometusher").write_bytes(b"in the way")
            await platform.launch()
            assert (await platform.call())[0] == 200
            assert "nothing is shared" in platform.log(0)

    run(test)


def test_descriptors_of_both_processes_stay_under_the_limit(tmp_path: Path) -> None:
    """The older process holds many idle connections when the newer one starts."""

    async def test() -> None:
        async with running_platform(tmp_path, sockets=160) as platform:
            old = await platform.launch()
            callers = []
            for i in range(60):
                caller = await platform.connect()
                await caller.call(request_id=f"idle{i}")
                callers.append(caller)

            peak = platform.open_descriptors()
            await platform.launch()
            for _ in range(40):
                assert (await platform.call())[0] == 200
                peak = max(peak, platform.open_descriptors())
            assert peak <= 160
            assert await platform.terminate(old) == 0
            for caller in callers:
                caller.abort()

    run(test)


def test_passed_listener_with_another_address_is_an_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_platform(tmp_path) as platform:
            platform.port = free_ports(1)[0]
            process = await platform.launch(wait=False)
            assert await asyncio.wait_for(process.wait(), PEER_TIMEOUT) == 1
            assert "descriptor 3: listens on" in platform.log(0) and "Traceback" not in platform.log(0)

    run(test)
