"""Processor time of one request, as a multiple of a bare relay's, in turn and in one run.

    python benchmarks/cpu.py [--quick] [--against CHECKOUT] [--limit RATIO]

With --against, the proxy of another checkout runs in turn with this one's, and the line says how they compare; it
exits 1 when this one's costs over RATIO (1.03) times as much.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cometusher.demo import settings  # noqa: E402
from standins.ports import free_ports  # noqa: E402

CALLERS = 8  # connections, one request at a time on each
AGAIN = 10  # times that one that is refused is asked again
WARM = 300  # requests before the count


def on_cpu(pid: int) -> float:
    """Seconds of processor time of a process's one thread; finer than the ticks of proc(5)'s stat."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class Echo(asyncio.Protocol):
    """A backend that answers each request at once; it need not read what it can count."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert data.endswith((b"\r\n\r\n", b"draft")), "a request came in pieces"
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")  # type: ignore[attr-defined]


Message = Callable[[int, int], bytes]  # of a connection, the how manieth


def view(number: int, i: int) -> bytes:
    """A request that is harmless to repeat."""
    return (
        b"GET /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: %d-%d\r\nX-Call-Class: report-view\r\n"
        b"X-Caller: univ-central\r\nX-Budget: 4000m\r\n\r\n" % (number, i)
    )


async def drive(port: int, count: int, message: Message = view) -> None:
    """So many requests, in a closed loop."""
    left = iter(range(count))

    async def caller(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for i in left:
            writer.write(message(number, i))
            head = await reader.readuntil(b"\r\n\r\n")
            for _ in range(AGAIN):  # a proxy that has just begun, on a machine at work, may refuse the first
                if head.startswith(b"HTTP/1.1 200"):
                    break
                await asyncio.sleep(0.2)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(message(number, i))
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readexactly(2)
        writer.close()

    await asyncio.gather(*(caller(i) for i in range(CALLERS)))


class Server:
    """A process between callers and the backend."""

    def __init__(self, command: list[str], folder: Path, environ: dict[str, str], port: int) -> None:
        self.port = port
        self.process = subprocess.Popen(
            command, cwd=folder, env=os.environ | {"PYTHONPATH": str(folder)} | environ, stderr=subprocess.DEVNULL
        )

    async def up(self) -> None:
        """Wait until it listens."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                assert self.process.poll() is None, "a server has ended"
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return

    async def cost(self, count: int) -> float:
        """Processor seconds of one request."""
        before = on_cpu(self.process.pid)
        await drive(self.port, count)
        return (on_cpu(self.process.pid) - before) / count


async def measure(folder: Path, rounds: int, count: int, against: Path | None) -> dict[str, list[float]]:
    """Cost of one request in each round, by server."""
    backend = await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0)
    backend_port = int(backend.sockets[0].getsockname()[1])
    host = {
        "host": "s-1",
        "dial": f"127.0.0.1:{backend_port}",
        "site": "kigali",
        "class": "m",
        "block": 0,
        "health": "in_service",
        "share": 1.0,
        "born_ms": 0,
    }
    trees = {"proxy": ROOT} | ({"other": against} if against is not None else {})
    servers: dict[str, Server] = {}
    port = free_ports(1)[0]
    servers["relay"] = Server([sys.executable, "-m", "standins.relay", str(port), str(backend_port)], ROOT, {}, port)
    for name, tree in trees.items():
        port = free_ports(1)[0]
        path = folder / f"{name}.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "settings": settings(1, 0),
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:9",
                    "known": {"seq": 1, "whole": True, "hosts": [host]},
                }
            )
        )
        servers[name] = Server([sys.executable, "-m", "cometusher"], tree, {"LB_CONFIG": str(path)}, port)
    costs: dict[str, list[float]] = {name: [] for name in servers}
    try:
        for server in servers.values():
            await server.up()
            await drive(server.port, WARM)
        for _ in range(rounds):
            for name, server in servers.items():
                costs[name].append(await server.cost(count))
    finally:
        for server in servers.values():
            server.process.terminate()
            server.process.wait()
        backend.close()
    return costs


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    parser.add_argument("--against", type=Path, metavar="CHECKOUT")
    parser.add_argument("--limit", type=float, default=1.03, metavar="RATIO")
    options = parser.parse_args()
    rounds, count = (5, 2000) if options.quick else (15, 4000)
    with tempfile.TemporaryDirectory(prefix="cpu-bench-") as folder:
        costs = asyncio.run(measure(Path(folder), rounds, count, options.against))

    def ratio(one: str, other: str) -> float:
        return statistics.median(a / b for a, b in zip(costs[one], costs[other], strict=True))

    figures = f"rounds={rounds} requests={count} us_per_request={statistics.median(costs['proxy']) * 1e6:.0f}"
    figures += f" of_relay={ratio('proxy', 'relay'):.2f}"
    short = False
    if options.against is not None:
        change = ratio("proxy", "other")
        short = change > options.limit
        figures += f" of_other={change:.3f}"
    print(f"cpu: {figures} {'short' if short else 'ok'}")
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
