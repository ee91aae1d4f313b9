"""Tests of the program as a process: configuration, readiness, signals, exit codes."""

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
from rig import (
    PEER_TIMEOUT,
    SETTINGS,
    Backend,
    Caller,
    Discovery,
    Message,
    Script,
    Writer,
    merge_settings,
    reply,
    request,
    serve_ok,
)
from test_proxy import run

from standins.ports import free_ports

ROOT = Path(__file__).parent.parent


async def launch(environ: dict[str, str]) -> asyncio.subprocess.Process:
    base = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "cometusher", cwd=ROOT, env=base | environ, stderr=asyncio.subprocess.PIPE
    )


@contextlib.asynccontextmanager
async def proxy_process(
    tmp_path: Path,
    hosts: list[dict[str, Any]],
    discovery_port: int = 0,
    limits: dict[str, int] | None = None,
    settings: dict[str, Any] | None = None,
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int]]:
    """Start a proxy process that knows these entries of discovery, and wait until it is ready."""
    port = free_ports(1)[0]
    discovery = f"127.0.0.1:{discovery_port or free_ports(1)[0]}"
    config = {
        "name": "t",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": "ab",
        "limits": limits or {"memory_mb": 192, "sockets": 128},
        "extra": 1,
        "known": {"seq": 1, "whole": True, "hosts": hosts},
        "settings": merge_settings(SETTINGS, settings or {}),
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
        yield process, port
    finally:
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        await process.communicate()


@contextlib.asynccontextmanager
async def running_proxy(
    tmp_path: Path, script: Script, discovery_port: int = 0
) -> AsyncIterator[tuple[asyncio.subprocess.Process, int, Backend]]:
    """Start a proxy process with one backend, and wait until it is ready."""
    backend = Backend(1, script)
    await backend.start()
    try:
        async with proxy_process(tmp_path, [backend.discovery_entry()], discovery_port) as (process, port):
            yield process, port, backend
    finally:
        await backend.stop()


async def connect(port: int) -> Caller:
    return Caller(*await asyncio.open_connection("127.0.0.1", port))


def test_sigterm_completes_accepted_requests(tmp_path: Path) -> None:
    """In-flight requests and requests on connections opened after the signal are all answered.

    An open connection is still served for a while after new ones are refused.
    """
    release = asyncio.Event()

    async def wait(backend: Backend, message: Message, writer: Writer) -> None:
        await release.wait()
        writer.write(reply(body=b"late"))

    async def test() -> None:
        async with running_proxy(tmp_path, wait) as (process, port, _):
            idle = await connect(port)
            inflight = await connect(port)
            inflight.writer.write(request())
            await inflight.writer.drain()
            process.send_signal(signal.SIGTERM)
            late = await connect(port)  # connections are still accepted for a while
            late.writer.write(request(request_id="2"))
            async with asyncio.timeout(PEER_TIMEOUT):
                with contextlib.suppress(OSError):
                    while True:
                        (await connect(port)).abort()
                        await asyncio.sleep(0.02)
            idle.writer.write(request(request_id="3"))
            release.set()
            for caller in (inflight, late, idle):
                status, response = await caller.answer()
                assert (status, response.body) == (200, b"late")
            for caller in (inflight, late, idle):
                assert await caller.read_to_end() == b""
            assert await asyncio.wait_for(process.wait(), PEER_TIMEOUT) == 0

    run(test)


def test_sigterm_without_requests_ends_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with running_proxy(tmp_path, serve_ok) as (process, port, _):
            caller = await connect(port)
            assert (await caller.call())[0] == 200
            process.send_signal(signal.SIGTERM)
            assert await asyncio.wait_for(process.wait(), PEER_TIMEOUT) == 0
            assert await caller.read_to_end() == b""

    run(test)


def test_sighup_follows_discovery_and_keeps_serving(tmp_path: Path) -> None:
    """A reload moves the watch to the address in the file, which overrides the environment, and drops no request.

    An invalid file changes nothing.
    """

    async def test() -> None:
        old, new = Discovery(), Discovery()
        await old.start()
        await new.start()
        release = asyncio.Event()

        async def wait(backend: Backend, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(reply(body=b"whole"))

        async with running_proxy(tmp_path, wait, old.port) as (process, port, backend):
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
            release.set()
            assert (await caller.answer())[1].body == b"whole"  # sent before the reload, on the same connection
            async with asyncio.timeout(PEER_TIMEOUT):
                while (await caller.call(kind="once", request_id="2"))[0] != 503:
                    await asyncio.sleep(0.01)  # until the new list is applied, one backend is available
            assert process.returncode is None
        await old.stop()
        await new.stop()

    run(test)


GOOD: dict[str, Any] = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}


@pytest.mark.parametrize(
    ("content", "expected"),
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
def test_invalid_configuration_is_reported_in_one_line(
    tmp_path: Path, content: bytes | None, expected: bytes
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if content is not None:
            path.write_bytes(content)
        process = await launch({"LB_CONFIG": str(path)})
        _, errors = await asyncio.wait_for(process.communicate(), PEER_TIMEOUT)
        assert process.returncode == 2
        assert errors.count(b"\n") == 1 and expected in errors

    run(test)


#: A proxy whose configuration is replaced, followed by SIGHUP, between loading it and starting the event loop.
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


def test_reload_before_the_event_loop_starts_is_not_lost(tmp_path: Path) -> None:
    async def test() -> None:
        before, after = Discovery(), Discovery()
        await before.start()
        await after.start()
        path = tmp_path / "config.json"
        common = {
            "name": "t",
            "listen": f"127.0.0.1:{free_ports(1)[0]}",
            "seed": "ab",
            "limits": {"memory_mb": 192, "sockets": 128},
            "known": {},
            "settings": SETTINGS,
        }
        path.write_bytes(orjson.dumps(common | {"discovery": f"127.0.0.1:{before.port}"}))
        (tmp_path / "config.json.new").write_bytes(orjson.dumps(common | {"discovery": f"127.0.0.1:{after.port}"}))
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
