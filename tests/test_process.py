"""The program as it is started: configuration, readiness, SIGTERM, exit codes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import orjson
import pytest
from rig import PEER_TIMEOUT, SETTINGS, Backend, Caller, Discovery, Message, Script, Writer, reply, request, serve_ok
from test_proxy import run

from standins.ports import free_ports

ROOT = Path(__file__).parent.parent


async def launch(environ: dict[str, str]) -> asyncio.subprocess.Process:
    base = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometusher", cwd=ROOT, env=base | environ, stderr=asyncio.subprocess.PIPE
    )


@contextlib.asynccontextmanager
async def proxy(
    tmp_path: Path, script: Script, discovery_port: int = 0
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int, Backend]]:
    """A proxy process before one backend, ready."""
    backend = Backend(1, script)
    await backend.start()
    port = free_ports(1)[0]
    discovery = f"127.0.0.1:{discovery_port or free_ports(1)[0]}"
    config = {
        "name": "t",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": "ab",
        "limits": {"memory_mb": 192, "sockets": 128},
        "extra": 1,
        "known": {"seq": 1, "whole": True, "hosts": [backend.discovery_entry()]},
        "settings": SETTINGS,
    }
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps(config))
    process = await launch({"LB_CONFIG": str(path), "LB_DISCOVERY": discovery})
    try:
        async with asyncio.timeout(PEER_TIMEOUT):
            while True:
                with contextlib.suppress(OSError):
                    caller = await connect(port)
                    caller.writer.write(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
                    assert (await caller.answer())[0] == 200
                    break
                await asyncio.sleep(0.02)
        yield process, port, backend
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()
        await backend.stop()


async def connect(port: int) -> Caller:
    return Caller(*await asyncio.open_connection("127.0.0.1", port))


def test_sigterm_finishes_what_was_taken(tmp_path: Path) -> None:
    """Requests in work, on old connections and on ones that come after the signal, are all answered.

    An old connection is served on for a while when no new one is taken any more.
    """
    go = asyncio.Event()

    async def wait(backend: Backend, seen: Message, writer: Writer) -> None:
        await go.wait()
        writer.write(reply(body=b"late"))

    async def test() -> None:
        async with proxy(tmp_path, wait) as (process, port, _):
            kept = await connect(port)
            early = await connect(port)
            early.writer.write(request())
            await early.writer.drain()
            process.send_signal(signal.SIGTERM)
            after = await connect(port)  # connections still come for a while
            after.writer.write(request(request_id="2"))
            async with asyncio.timeout(PEER_TIMEOUT):
                with contextlib.suppress(OSError):
                    while True:
                        (await connect(port)).abort()
                        await asyncio.sleep(0.02)
            kept.writer.write(request(request_id="3"))
            go.set()
            for caller in (early, after, kept):
                status, seen = await caller.answer()
                assert (status, seen.body) == (200, b"late")
            for caller in (early, after, kept):
                assert await caller.read_to_end() == b""
            assert await asyncio.wait_for(process.wait(), PEER_TIMEOUT) == 0

    run(test)


def test_sigterm_with_nothing_to_do_ends_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with proxy(tmp_path, serve_ok) as (process, port, _):
            caller = await connect(port)
            assert (await caller.call())[0] == 200
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PEER_TIMEOUT) == 0
            assert await caller.read_to_end() == b""

    run(test)


def test_sighup_follows_discovery_and_keeps_serving(tmp_path: Path) -> None:
    """A reload moves the watch to where the file says, also against the environment, and drops nobody.

    A file that can't be used changes nothing.
    """

    async def test() -> None:
        old, new = Discovery(), Discovery()
        await old.start()
        await new.start()
        go = asyncio.Event()

        async def wait(backend: Backend, seen: Message, writer: Writer) -> None:
            await go.wait()
            writer.write(reply(body=b"whole"))

        async with proxy(tmp_path, wait, old.port) as (process, port, backend):
            await old.watch()
            caller = await connect(port)
            caller.writer.write(request())
            await asyncio.wait_for(backend.arrived.wait(), PEER_TIMEOUT)
            path = tmp_path / "config.json"
            config = orjson.loads(path.read_bytes())
            path.write_bytes(b"{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            async with asyncio.timeout(PEER_TIMEOUT):
                while b"the configuration stays" not in (line := await process.stderr.readline()):
                    assert line, "the proxy ended"
            path.write_bytes(orjson.dumps(config | {"discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            watch = await new.watch()
            watch.send_list(1, backend.discovery_entry(health="terminating"), whole=True)
            go.set()
            assert (await caller.answer())[1].body == b"whole"  # begun before the reload, on the same connection
            async with asyncio.timeout(PEER_TIMEOUT):
                while (await caller.call(kind="once", request_id="2"))[0] != 503:
                    await asyncio.sleep(0.01)  # until the new list is in force, there is still one backend
            assert process.returncode is None
        await old.stop()
        await new.stop()

    run(test)


GOOD: dict[str, Any] = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}


@pytest.mark.parametrize(
    ("content", "named"),
    [
        (None, b"LB_CONFIG"),
        (b"{", b"LB_CONFIG"),
        (b"[]", b"LB_CONFIG"),
        (orjson.dumps(GOOD | {"listen": "nowhere"}), b"listen"),
        (orjson.dumps(GOOD | {"discovery": None}), b"discovery"),
        (orjson.dumps(GOOD | {"settings": {}}), b"settings.Services"),
        (orjson.dumps(GOOD | {"settings": SETTINGS | {"Services": 5}}), b"settings"),
        (orjson.dumps(GOOD | {"settings": SETTINGS | {"Bounds": {"MaxAttempts": "x"}}}), b"max_attempts"),
        (orjson.dumps(GOOD | {"limits": {"sockets": "many"}}), b"limits.sockets"),
        (orjson.dumps(GOOD | {"known": {"hosts": 1}}), b"known"),
    ],
)
def test_a_bad_configuration_is_named_in_one_line(tmp_path: Path, content: bytes | None, named: bytes) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if content is not None:
            path.write_bytes(content)
        process = await launch({"LB_CONFIG": str(path)})
        _, errors = await asyncio.wait_for(process.communicate(), PEER_TIMEOUT)
        assert process.returncode == 2
        assert errors.count(b"\n") == 1 and named in errors

    run(test)


#: A proxy whose configuration is replaced, with SIGHUP, between its reading and the event loop's start.
RELOADED_EARLY = """
import os, signal, sys
from cometusher import config, service
load = config.load
def replaced_when_read(environ, reload=False):
    settings = load(environ, reload)
    if not reload:
        os.replace(environ["LB_CONFIG"] + ".new", environ["LB_CONFIG"])
        os.kill(os.getpid(), signal.SIGHUP)
    return settings
config.load = replaced_when_read
sys.exit(service.main())
"""


def test_a_reload_that_comes_before_the_event_loop_is_not_missed(tmp_path: Path) -> None:
    async def test() -> None:
        before, after = Discovery(), Discovery()
        await before.start()
        await after.start()
        path = tmp_path / "config.json"
        told = {
            "name": "t",
            "listen": f"127.0.0.1:{free_ports(1)[0]}",
            "seed": "ab",
            "limits": {"memory_mb": 192, "sockets": 128},
            "known": {},
            "settings": SETTINGS,
        }
        path.write_bytes(orjson.dumps(told | {"discovery": f"127.0.0.1:{before.port}"}))
        (tmp_path / "config.json.new").write_bytes(orjson.dumps(told | {"discovery": f"127.0.0.1:{after.port}"}))
        base = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            RELOADED_EARLY,
            cwd=ROOT,
            env=base | {"LB_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        try:
            await after.watch()
        finally:
            process.kill()
            await process.communicate()
            await before.stop()
            await after.stop()

    run(test)
