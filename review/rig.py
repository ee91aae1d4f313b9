"""What the cases share: the project's programs as processes, and small stand-ins for backends, discovery, clients.

All addresses are on 127.0.0.1. The stand-ins behave as the protocol page says; a case adds its one disruption.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
LIMIT = 100.0  # seconds that a case may take; then it could not run
HEARTBEAT = 2.0  # seconds between the empty lines of a watch
STARTING = 20.0  # seconds that the platform waits for a program to be ready
ENDING = 10.0  # seconds that a fleet has to end after SIGTERM

#: Those of the site, for a small deployment.
SETTINGS: dict[str, Any] = {
    "Services": [
        {"Name": "report-view", "Aim": 1.5, "HardLimit": 4.0, "Repeat": "retryable", "Credit": 1.0},
        {
            "Name": "submit",
            "Aim": 1.0,
            "HardLimit": 2.5,
            "Repeat": "dedup",
            "Group": "zone",
            "Window": 4.0,
            "Credit": 8.0,
        },
    ],
    "Orgs": [{"Name": "univ-central", "Share": 1.0, "AllowancePerS": 1000.0}],
    "Zones": ["kigali", "huye", "musanze"],
    "Zone": 0,
    "Tiers": ["intake", "matching", "archive"],
    "Tier": 0,
    "RegistryMode": "pushed",
    "Bounds": {"Cancel": True, "SecondCopies": True, "MaxAttempts": 6, "DialTimeout": 0.2, "ConnIdle": 5.0},
    "Rules": {"Cold": 24.0, "ColdFrom": 0.14, "DrainGrace": 0.5, "GraceToAnswer": 0.02, "AskEvery": 10.0},
}


class CannotRun(Exception):
    """The case could not be played, which says nothing about the rule."""


class Record:
    """Writes record.txt: a line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._start:9.4f} {text}\n")


# ---- messages ----------------------------------------------------------------------------


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a first line and headers."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    return first, {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


def request(call: str, kind: str, budget: float, key: str = "", body: bytes = b"") -> bytes:
    """The bytes of a client's request; `budget` in seconds."""
    lines = [f"{'GET' if kind == 'report-view' else 'POST'} /api HTTP/1.1", "Host: backend.local"]
    lines += [f"X-Call-Id: {call}", f"X-Call-Class: {kind}", "X-Caller: univ-central"]
    lines.append(f"X-Budget: {round(budget * 1000)}m")
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if kind != "report-view":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def answer(status: int, body: bytes = b"", *headers: str) -> bytes:
    """The bytes of a backend's answer."""
    return "\r\n".join([f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers, "", ""]).encode() + body


# ---- stand-ins ---------------------------------------------------------------------------


class Backend:
    """A sound backend: begins a request when its last byte has come, and answers 200 after `seconds`.

    Work that has begun goes on, whether or not its sender waits.
    """

    def __init__(self, record: Record, number: int, site: str = "kigali") -> None:
        self.record = record
        self.host = f"s-{number:08x}"
        self.site = site
        self.port = 0
        self.seconds = 0.02
        self.runs: list[tuple[float, str]] = []  # time of the machine's clock, and id

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        """Its entry in a list of discovery."""
        return {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.site,
            "class": "intake-mid",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            await self.serve(reader, writer)
        writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection to its end."""
        while True:
            _, headers = await read_head(reader)
            await read_body(reader, headers)
            await self.on_request(headers["x-call-id"], writer)

    async def on_request(self, call: str, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        self.runs.append((time.monotonic(), call))
        self.record.write(f"backend {self.host} runs {call}")
        await asyncio.sleep(self.seconds)
        writer.write(answer(200, f"{call} by {self.host}".encode()))


class Agent:
    """Discovery where lists are pushed: the whole list at once on each watch, and an empty line every 2 s."""

    def __init__(self, backends: list[Backend]) -> None:
        self._backends = backends
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hosts = [backend.entry() for backend in self._backends]
        data = json.dumps({"seq": 1, "whole": True, "hosts": hosts}).encode() + b"\n"
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            first, _ = await read_head(reader)
            if "watch=1" not in first:
                writer.write(answer(200, data))
            else:
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                end = asyncio.ensure_future(reader.read())
                while not end.done():
                    writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                    data = b"\n"
                    await asyncio.wait([end], timeout=HEARTBEAT)
                end.exception()
        writer.close()


class Client:
    """A client: one request at a time on a connection that it keeps.

    One that crosses the close of a kept connection is sent once more on a new one.
    """

    def __init__(self, record: Record, port: int, name: str) -> None:
        self.record = record
        self.port = port
        self.name = name
        self.count = 0
        self.body = b""  # of the last answer
        self.stopping = False
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def run(self, interval: float) -> None:
        """Send requests that are safe to repeat until `stopping` is set."""
        while not self.stopping:
            self.count += 1
            call = f"{self.name}{self.count:06x}"
            await self.send(call, request(call, "report-view", 2.0), 2.0)
            await asyncio.sleep(interval)
        self._close()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None

    async def send(self, call: str, data: bytes, budget: float) -> int:
        """Send one request; returns the answer's status, or 0 if there was no whole answer in time and 2 s more."""
        status, body = 0, b""
        while True:
            kept = self._connection is not None
            try:
                if self._connection is None:
                    self._connection = await asyncio.open_connection("127.0.0.1", self.port)
                reader, writer = self._connection
                self.record.write(f"client sends {call}")
                writer.write(data)
                async with asyncio.timeout(budget + 2.0):
                    first, headers = await read_head(reader)
                    body = await read_body(reader, headers)
                status = int(first.split()[1])
                if headers.get("connection", "").lower() == "close":
                    self._close()
                break
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                self.record.write(f"client: the connection of {call} ended: {type(error).__name__}")
                self._close()
                if not kept or isinstance(error, TimeoutError):
                    break
        self.body = body
        self.record.write(f"client got {status} to {call}: {body!r}")
        return status


async def call_on_new_connection(port: int, data: bytes) -> int:
    """Make a call on a connection of its own; its status, or 0 if there is no answer."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0
    try:
        writer.write(data)
        first, _ = await asyncio.wait_for(read_head(reader), 5.0)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()
    return int(first.split()[1])


async def up(port: int) -> int:
    """The status of `GET /up`."""
    return await call_on_new_connection(port, b"GET /up HTTP/1.1\r\nHost: up\r\nConnection: close\r\n\r\n")


# ---- processes ---------------------------------------------------------------------------


_given_out: set[int] = set()


def free_port() -> int:
    """A free port below the kernel's range for outgoing connections."""
    for _ in range(100):
        port = random.randrange(20000, 32000)
        if port in _given_out:
            continue
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _given_out.add(port)
            return port
    raise CannotRun("no free port")


class Case:
    """One run: its temporary folder, its processes and its end."""

    def __init__(self, folder: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.processes: list[asyncio.subprocess.Process] = []
        self.instances: dict[str, int] = {}  # of a fleet: process ids by name

    async def start(self, arguments: str, **environ: str) -> asyncio.subprocess.Process:
        """Start a program of the project with the command of the deploy file."""
        number = len(self.processes)
        temporary = self.folder / f"tmp-{number}"
        temporary.mkdir()
        base = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "FLEET_"))}
        with (self.folder / f"log-{number}").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                f"{RUN} {arguments}",
                cwd=ROOT,
                env=base | {"TMPDIR": str(temporary)} | environ,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.processes.append(process)
        self.record.write(f"started: {arguments.replace(str(self.folder), '') or 'one proxy'}")
        return process

    async def until_up(self, port: int) -> None:
        """Wait until `GET /up` answers 200."""
        deadline = time.monotonic() + STARTING
        while await up(port) != 200:
            if time.monotonic() > deadline:
                raise CannotRun("a program is not ready in time")
            await asyncio.sleep(0.05)

    async def start_fleet(
        self, settings: dict[str, Any], tables: str, discovery: int, instances: list[tuple[str, int, str]]
    ) -> Path:
        """Start a supervisor with instances (name, port, further lines); returns the fleet's file."""
        (self.folder / "platform.json").write_text(json.dumps({"settings": settings}))
        text = f'[fleet]\nname = "kigali"\nstate = "state"\n{tables}\n[common]\nconfig = "platform.json"\n'
        text += f'discovery = "127.0.0.1:{discovery}"\n'
        for name, port, lines in instances:
            text += f'[[instance]]\nname = "{name}"\nlisten = "127.0.0.1:{port}"\n{lines}\n'
        file = self.folder / "fleet.toml"
        file.write_text(text)
        await self.start(f"fleet start -c {file}")
        for _, port, _ in instances:
            await self.until_up(port)
        process = await self.start(f"fleet status --json -c {file}")
        if await process.wait():
            raise CannotRun("the fleet does not show its status")
        rows = json.loads((self.folder / f"log-{self.processes.index(process)}").read_text())["instances"]
        self.instances = {row["name"]: row["pid"] for row in rows}
        return file

    def kill(self, name: str) -> None:
        """Kill an instance of the fleet outright."""
        os.kill(self.instances.pop(name), signal.SIGKILL)
        self.record.write(f"SIGKILL to {name}")

    async def close(self) -> None:
        """End all processes of the case."""
        for process in self.processes:
            if process.returncode is None and self.instances:
                process.terminate()  # a supervisor ends its instances
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(process.wait(), ENDING)
            if process.returncode is None:
                process.kill()
                await process.wait()
        for path in sorted(self.folder.glob("log-*")):
            for line in path.read_text(errors="replace").splitlines():
                self.record.write(f"{path.name}: {line}")
        self._temporary.cleanup()


def main(folder: Path, play: Callable[[Case], Awaitable[list[str]]]) -> int:
    """Play a case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(folder)

    async def run() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LIMIT):
                return await play(case)
        finally:
            await case.close()

    try:
        breaks = asyncio.run(run())
    except (CannotRun, OSError, TimeoutError, asyncio.CancelledError, KeyboardInterrupt) as error:
        text = f"could not run: {type(error).__name__}: {error}"
        case.record.write(text)
        print(text, file=sys.stderr)
        return 2
    for text in breaks:
        case.record.write(f"BROKEN: {text}")
    print("\n".join(breaks[:5] or ["held"]))
    case.record.write(f"broken {len(breaks)} times" if breaks else "held")
    return 1 if breaks else 0
