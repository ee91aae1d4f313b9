"""A stand-in for the platform during upgrades: holds the callers' listener and starts one version next to another."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
from pathlib import Path
from typing import Any

import orjson

from standins.caller import Caller
from standins.messages import PEER_TIMEOUT, read_message
from standins.ports import free_ports


class Platform:
    """Holds the listener and the shared folder, and starts proxy processes next to each other."""

    def __init__(
        self,
        root: Path,
        folder: Path,
        settings: dict[str, Any],
        hosts: list[dict[str, Any]],
        discovery: int,
        sockets: int,
    ) -> None:
        self.root = root
        self.folder = folder
        self.settings = settings
        self.hosts = hosts
        self.discovery = discovery
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=4096)
        self.port = int(self.listener.getsockname()[1])
        self.sockets = sockets
        self.processes: list[asyncio.subprocess.Process] = []
        self.management_ports: dict[int, int] = {}  # by process id
        self.count = 0

    async def launch(self, wait: bool = True, **environ: str) -> asyncio.subprocess.Process:
        """Start a proxy process with its own management address; returns when it is ready unless `wait` is False."""
        management_port = free_ports(1)[0]
        config = {
            "name": "t",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.discovery}",
            "seed": "ab",
            "limits": {"memory_mb": 80, "sockets": self.sockets},
            "management": f"127.0.0.1:{management_port}",
            "known": {"seq": 1, "whole": True, "hosts": self.hosts},
            "settings": self.settings,
        }
        path = self.folder / f"config{len(self.processes)}.json"
        path.write_bytes(orjson.dumps(config))
        base = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        proxy_environ = {"LB_CONFIG": str(path), "LB_ACCEPT_FD": "3", "TMPDIR": str(self.folder)}
        command = f"exec {sys.executable} -m cometusher 3<&{self.listener.fileno()}"
        process = await asyncio.create_subprocess_exec(
            "/bin/bash",
            "-c",
            command,
            cwd=self.root,
            env=base | proxy_environ | environ,
            pass_fds=[self.listener.fileno()],
            stderr=(self.folder / f"log{len(self.processes)}").open("wb"),
        )
        self.processes.append(process)
        self.management_ports[process.pid] = management_port
        async with asyncio.timeout(PEER_TIMEOUT):
            while wait and await self.management_call(process, "ready", method="GET") != 200:
                await asyncio.sleep(0.02)
        return process

    def log(self, number: int) -> str:
        return (self.folder / f"log{number}").read_text()

    async def wait_for_log(self, number: int, text: str, times: int = 1) -> None:
        """Wait until a text was logged `times` times by one process; raises TimeoutError."""
        async with asyncio.timeout(PEER_TIMEOUT):
            while self.log(number).count(text) < times:
                await asyncio.sleep(0.02)

    async def management_call(
        self, process: asyncio.subprocess.Process, call: str, body: bytes = b"", method: str = "POST"
    ) -> int:
        """Make a call at the management address of one process; returns the status, or 0 if it does not listen."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management_ports[process.pid])
        except OSError:
            return 0
        writer.write(f"{method} /api/{call} HTTP/1.1\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        try:
            response = await asyncio.wait_for(read_message(reader), PEER_TIMEOUT)
        finally:
            writer.close()
        return int(response.line.split()[1]) if response is not None else 0

    async def connect(self) -> Caller:
        return Caller(*await asyncio.open_connection("127.0.0.1", self.port))

    async def call(self) -> tuple[int, bytes]:
        """Send a request on a new connection; returns the status and body of the response."""
        self.count += 1
        request_id = f"r{self.count}"
        caller = await self.connect()
        status, response = await caller.call(request_id=request_id)
        caller.abort()
        return status, response.body

    async def up(self) -> int:
        """Request /up on a new connection; returns the status."""
        caller = await self.connect()
        caller.writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        status, _ = await caller.answer()
        return status

    async def terminate(self, process: asyncio.subprocess.Process) -> int:
        """Send SIGTERM to a process; returns its exit code."""
        process.send_signal(signal.SIGTERM)
        return await asyncio.wait_for(process.wait(), PEER_TIMEOUT)

    def open_descriptors(self) -> int:
        """Number of open descriptors of all its processes together, from proc(5)."""
        count = 0
        for process in self.processes:
            if process.returncode is None:
                count += len(os.listdir(f"/proc/{process.pid}/fd"))
        return count

    async def close(self) -> None:
        """Kill all processes, and close the listener."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        self.listener.close()
