"""What the scripts of the cases 6 to 10 share: small stand-ins for clients, backends and discovery, and the proxies.

Every stand-in does what the protocol page allows and no more; a case adds its one disruption. All addresses are on
loopback and all ports are free ones. Times are seconds of the monotonic clock since the start of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()

Handler = Callable[["Received"], Awaitable[None]]


def now() -> float:
    """Seconds since the script started."""
    return time.monotonic() - START


class CouldNotRun(Exception):
    """The case could not be set up, so nothing was shown."""


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path | None) -> None:
        self._file = None if folder is None else (folder / "record.txt").open("w")

    @classmethod
    def silent(cls) -> Record:
        """One that notes nothing, for what happens thousands of times."""
        return cls(None)

    def __call__(self, text: str, at: float | None = None) -> None:
        if self._file is None:
            return
        self._file.write(f"{now() if at is None else at:9.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """A loopback port that is free now, outside the range of outgoing connections where it can be known."""
    for port in range(20000 + os.getpid() * 37 % 11000, 32000):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return port
    raise CouldNotRun("no free port")


_given: set[int] = set()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings object of a small deployment; `changes` replace whole keys, or parts of those that are objects."""
    values: dict[str, Any] = {
        "Services": [
            {
                "Name": "report-view",
                "Aim": 1.5,
                "HardLimit": 4.0,
                "Repeat": "retryable",
                "Credit": 1.0,
                "LateWorth": 0.3,
                "Group": "all",
                "Window": 5.0,
                "Streaming": False,
            },
            {
                "Name": "submit",
                "Aim": 1.0,
                "HardLimit": 2.5,
                "Repeat": "dedup",
                "Credit": 8.0,
                "LateWorth": 0.5,
                "Group": "zone",
                "Window": 4.0,
                "Streaming": False,
            },
        ],
        "Orgs": [
            {"Name": "univ-central", "Share": 0.5, "AllowancePerS": 1000.0},
            {"Name": "poly-east", "Share": 0.5, "AllowancePerS": 1000.0},
        ],
        "OverShareWorth": 0.05,
        "Zones": ["kigali", "huye"],
        "Zone": 0,
        "Tiers": ["intake", "matching", "archive"],
        "Tier": 0,
        "Instances": 1,
        "Ordinal": 0,
        "RegistryMode": "pushed",
        "Report": {"Fields": [], "Via": "silent"},
        "Bounds": {
            "Cancel": True,
            "SecondCopies": True,
            "MaxAttempts": 6,
            "DialTimeout": 0.2,
            "ConnIdle": 5.0,
            "MaxStreams": 1,
            "RetryAfter": False,
            "MaxRetryAfter": 2.0,
            "Probes": False,
        },
        "Rules": {
            "AskEvery": 10.0,
            "Cold": 24.0,
            "ColdFrom": 0.14,
            "DrainGrace": 0.5,
            "FallMultiple": 3.0,
            "GraceToAnswer": 0.02,
            "TipAfter": 1.0,
        },
    }
    for key, value in changes.items():
        if isinstance(value, dict):
            values[key] = {**values.get(key, {}), **value}
        else:
            values[key] = value
    return values


# ---- HTTP ---------------------------------------------------------------------------------


@dataclass
class Message:
    """A message as it was read: its first line, its headers in lower case, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message with a length or in chunks; raises IncompleteReadError or OSError if it breaks off."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def request_bytes(
    call_id: str, budget: float, *, keyed: bool = False, body: bytes = b"", headers: tuple[str, ...] = ()
) -> bytes:
    """A client's request in the form of the protocol page."""
    lines = [
        f"{'POST' if keyed else 'GET'} /api HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {call_id}",
        f"X-Call-Class: {'submit' if keyed else 'report-view'}",
        "X-Caller: univ-central",
        f"X-Budget: {budget * 1000:.0f}m",
        *headers,
    ]
    if keyed:
        lines += [f"Idempotency-Key: key-{call_id}", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, "", ""]).encode() + body


# ---- backends -----------------------------------------------------------------------------


@dataclass
class Received:
    """A request that a backend has read whole, with the connection it came on."""

    backend: Backend
    at: float  # its last byte
    call_id: str
    budget: float  # seconds that it was told
    message: Message
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def answer_body(self) -> bytes:
        return f"answer of {self.backend.host} to {self.call_id}".encode()

    async def answer(self, body: bytes | None = None, status: str = "200 OK", headers: str = "") -> None:
        data = self.answer_body if body is None else body
        self.writer.write(f"HTTP/1.1 {status}\r\n{headers}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await self.writer.drain()


@dataclass(eq=False)
class Backend:
    """A backend that serves each request after `work` seconds; `handler` replaces this."""

    host: str
    record: Record
    work: float = 0.02
    handler: Handler | None = None
    health: str = "in_service"
    site: str = "kigali"
    born_ms: int = 0
    port: int = 0
    runs: list[Received] = field(default_factory=list)
    _server: asyncio.Server | None = None

    async def start(self, any_port: bool = False) -> None:
        self.port = 0 if any_port else free_port()
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, Any]:
        return {
            "host": self.host,
            "dial": f"127.0.0.1:{self.port}",
            "site": self.site,
            "class": "m2",
            "block": 1,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                told = message.headers.get("x-budget", "0m")
                scale = 1e-3 if told.endswith("m") else 1e-6
                call_id = message.headers.get("x-call-id", "")
                received = Received(self, now(), call_id, float(told[:-1]) * scale, message, reader, writer)
                self.runs.append(received)
                self.record(f"backend {self.host} has all of {call_id}, told {received.budget:.3f} s", received.at)
                if self.handler is not None:
                    await self.handler(received)
                else:
                    await asyncio.sleep(self.work)
                    await received.answer()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()


# ---- discovery ----------------------------------------------------------------------------


class Discovery:
    """Discovery as the protocol page describes it: whole lists, and watches with changes and empty lines."""

    def __init__(self, record: Record, backends: list[Backend], name: str = "discovery") -> None:
        self.record = record
        self.name = name
        self.seq = 41
        self.backends = list(backends)
        self.port = 0
        self.delay = 0.0  # seconds that it works on a call
        self.up = asyncio.Event()  # unless set it is silent, as an agent is that hears nothing
        self.up.set()
        self.calls: list[float] = []
        self.ended_calls: list[float] = []
        self._watches: dict[asyncio.StreamWriter, None] = {}

    async def start(self) -> None:
        self.port = free_port()
        await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=1024)

    def whole(self) -> dict[str, Any]:
        return {"seq": self.seq, "whole": True, "hosts": [backend.entry() for backend in self.backends]}

    def change(self, *backends: Backend) -> None:
        """A change that discovery learns of now; it tells all open watches unless it is down."""
        self.seq += 1
        message = {"seq": self.seq, "whole": False, "hosts": [backend.entry() for backend in backends]}
        if self.up.is_set():
            for writer in list(self._watches):
                self._write(writer, json.dumps(message).encode() + b"\n")

    def go_down(self) -> None:
        """Falls silent: open watches and new calls get nothing."""
        self.up.clear()
        self._watches.clear()

    def come_back(self) -> None:
        """Answers the calls that are open, and new ones."""
        self.up.set()

    @staticmethod
    def _write(writer: asyncio.StreamWriter, text: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        gone = None
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.calls.append(now())
            self.record(f"{self.name} is called: {head.split(b' HTTP')[0].decode()}")
            gone = asyncio.ensure_future(reader.read())
            silent = asyncio.ensure_future(self._wait())
            await asyncio.wait([gone, silent], return_when=asyncio.FIRST_COMPLETED)
            if gone.done():
                silent.cancel()
                self.ended_calls.append(now())
                self.record(f"{self.name}: the caller gave up this call before its answer")
                return
            body = json.dumps(self.whole()).encode() + b"\n"
            if b"watch=1" not in head:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(writer, body)
            self.record(f"{self.name} tells the whole list, version {self.seq}")
            self._watches[writer] = None
            while not gone.done():
                await asyncio.wait([gone], timeout=2.0)
                if self.up.is_set() and writer in self._watches:
                    self._write(writer, b"\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if gone is not None:
                gone.cancel()
            self._watches.pop(writer, None)
            writer.close()

    async def _wait(self) -> None:
        if self.delay:
            await asyncio.sleep(self.delay)
        await self.up.wait()


# ---- proxies ------------------------------------------------------------------------------


class ProxyProcess:
    """One proxy, started with the `run` command of the deploy file as the platform starts it."""

    def __init__(self, folder: Path, record: Record, name: str, config: dict[str, Any]) -> None:
        self.record, self.name = record, name
        self.port = free_port()
        self.folder = folder / name
        self.folder.mkdir()
        self.config = {"name": name, "listen": f"127.0.0.1:{self.port}", "seed": name.encode().hex()[:12], **config}
        self.write_config()
        self.log = (folder / f"{name}.log").open("w")
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def config_file(self) -> Path:
        return self.folder / "config.json"

    def write_config(self) -> None:
        """Replaces the file of the configuration."""
        new = self.folder / "config.new"
        new.write_text(json.dumps(self.config))
        new.replace(self.config_file)

    async def start(self, ready_within: float = 30.0) -> None:
        tmp = self.folder / "tmp"
        shutil.rmtree(tmp, ignore_errors=True)
        tmp.mkdir()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "LB_CONFIG": str(self.config_file),
            "LB_NAME": self.name,
            "LB_LISTEN": self.config["listen"],
            "LB_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(tmp),
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environ, stdout=self.log, stderr=self.log
        )
        await until_up(self.port, self.process, ready_within)
        self.record(f"proxy {self.name} is ready")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"proxy {self.name} gets {number.name}")
        self.process.send_signal(number)

    def memory_kb(self, key: str = "VmRSS") -> int:
        """A memory figure of the process, as the platform sees it."""
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith(key + ":"):
                return int(line.split()[1])
        return 0

    def end(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


async def until_up(port: int, process: subprocess.Popen[bytes], within: float = 30.0) -> None:
    """Waits until `GET /up` answers 200."""
    until = now() + within
    while now() < until:
        if process.poll() is not None:
            raise CouldNotRun(f"a program ended with {process.returncode} at its start")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            client = await Client.connect(port)
            answer = await asyncio.wait_for(client.send(b"GET /up HTTP/1.1\r\nHost: p\r\n\r\n"), 1.0)
            client.close()
            if answer.status == 200:
                return
        await asyncio.sleep(0.05)
    raise CouldNotRun(f"a program is not ready after {within} s")


class Fleet:
    """A supervisor with some instances, started with the `run` command of the deploy file and further arguments."""

    def __init__(
        self, folder: Path, record: Record, discovery: Discovery, values: dict[str, Any], tables: str
    ) -> None:
        self.record, self.folder = record, folder
        self.file = folder / "fleet.toml"
        self.ports: dict[str, int] = {}
        self.pids: dict[str, int] = {}
        (folder / "platform.json").write_text(json.dumps({"settings": values}))
        self._text = f'[fleet]\nname = "kigali"\nstate = "state"\n{tables}\n[common]\nconfig = "platform.json"\n'
        self._text += f'discovery = "127.0.0.1:{discovery.port}"\n'
        self.log = (folder / "fleet.log").open("w")
        self.process: subprocess.Popen[bytes] | None = None

    def _command(self, action: str) -> list[str]:
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        return ["/bin/sh", "-c", f"{run} fleet {action} -c {self.file}"]

    def _environ(self, name: str) -> dict[str, str]:
        temporary = self.folder / name
        temporary.mkdir(exist_ok=True)
        return {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": str(temporary)}

    async def start(self, names: list[str]) -> None:
        for name in names:
            self.ports[name] = free_port()
            self._text += f'[[instance]]\nname = "{name}"\nlisten = "127.0.0.1:{self.ports[name]}"\n'
        self.file.write_text(self._text)
        FLEETS.append(self)
        self.process = subprocess.Popen(
            self._command("start"), cwd=ROOT, env=self._environ("tmp"), stdout=self.log, stderr=self.log
        )
        for name in names:
            await until_up(self.ports[name], self.process)
            self.record(f"instance {name} is ready")
        status = await asyncio.create_subprocess_exec(
            *self._command("status --json"), cwd=ROOT, env=self._environ("tmp-status"), stdout=subprocess.PIPE
        )
        output, _ = await status.communicate()
        if status.returncode:
            raise CouldNotRun("the fleet does not show its status")
        self.pids = {row["name"]: row["pid"] for row in json.loads(output)["instances"]}

    def kill(self, name: str) -> None:
        self.record(f"instance {name} gets SIGKILL")
        os.kill(self.pids.pop(name), signal.SIGKILL)

    def end(self) -> None:
        """Ends the supervisor, which ends its instances."""
        if self.process is not None and self.process.poll() is None:
            self.process.terminate()
            try:
                self.process.wait(10.0)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
                for pid in self.pids.values():
                    with contextlib.suppress(OSError):
                        os.kill(pid, signal.SIGKILL)
        self.log.close()


class Client:
    """A client's connection, with one request at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def read(self) -> Message:
        return await read_message(self.reader)

    async def send(self, data: bytes) -> Message:
        self.writer.write(data)
        return await self.read()

    def close(self) -> None:
        self.writer.close()


def main(case: Callable[[Path, Record], Awaitable[bool]], folder: Path, limit: float = 110.0) -> None:
    """Runs a case, which returns whether the rule held, and exits as the review's scripts do."""

    async def run() -> int:
        record = Record(folder)
        scratch = Path(tempfile.mkdtemp(prefix="case-"))
        record(f"trouble: {'yes' if TROUBLE else 'no'}")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            held = await asyncio.wait_for(case(scratch, record), limit)
        except (Exception, asyncio.CancelledError) as error:  # a fault of the script shows nothing either
            record(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        else:
            record("the rule held" if held else "THE RULE WAS BROKEN")
            print("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        finally:
            for program in (*PROXIES, *FLEETS):
                program.end()
            if os.environ.get("KEEP"):
                print(scratch)
            else:
                shutil.rmtree(scratch, ignore_errors=True)

    status = asyncio.run(run())
    sys.stdout.flush()
    os._exit(status)


PROXIES: list[ProxyProcess] = []
FLEETS: list[Fleet] = []


async def start_proxy(
    folder: Path, record: Record, discovery: Discovery, name: str = "n1", **config: Any
) -> ProxyProcess:
    """Starts one proxy with these settings, limits and the list that it last had."""
    values: dict[str, Any] = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": settings(),
        **config,
    }
    proxy = ProxyProcess(folder, record, name, values)
    PROXIES.append(proxy)
    await proxy.start()
    return proxy
