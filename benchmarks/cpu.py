"""Processor time of one request, as a multiple of that of a plain relay, measured alternately in one run.

    python benchmarks/cpu.py [--quick] [--against CHECKOUT] [--limit RATIO]

With --against, the proxy of another checkout is measured alternately with this one, and the figure line compares
them; the exit code is 1 if this one costs more than RATIO (1.03) times as much.
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

from cometusher.demo import proxy_settings  # noqa: E402
from standins.ports import free_ports  # noqa: E402

CONNECTIONS = 8  # one request at a time on each
MAX_REPEATS = 10  # how often a refused request is sent again
WARM_UP_REQUESTS = 300  # requests before the measurement


def cpu_seconds(pid: int) -> float:
    """Processor seconds of a process's one thread, from schedstat; finer than the ticks of proc(5)'s stat."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


class Echo(asyncio.Protocol):
    """A backend that answers at once; it expects each request in one piece and does not parse it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert data.endswith((b"\r\n\r\n", b"draft")), "a request came in pieces"
        self._transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")  # type: ignore[attr-defined]


RequestBuilder = Callable[[int, int], bytes]  # from the number of the connection and the index of the request


def report_view_request(number: int, index: int) -> bytes:
    """A request of a class that is safe to repeat."""
    return (
        b"GET /api HTTP/1.1\r\nHost: b\r\nX-Call-Id: %d-%d\r\nX-Call-Class: report-view\r\n"
        b"X-Caller: univ-central\r\nX-Budget: 4000m\r\n\r\n" % (number, index)
    )


async def send_requests(port: int, count: int, build_request: RequestBuilder = report_view_request) -> None:
    """Send `count` requests in a closed loop."""
    indexes = iter(range(count))

    async def caller(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for index in indexes:
            writer.write(build_request(number, index))
            head = await reader.readuntil(b"\r\n\r\n")
            for _ in range(
                MAX_REPEATS
            ):  # a proxy that has just started may refuse its first requests on a busy machine
                if head.startswith(b"HTTP/1.1 200"):
                    break
                await asyncio.sleep(0.2)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(build_request(number, index))
                head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200"), head
            await reader.readexactly(2)
        writer.close()

    await asyncio.gather(*(caller(index) for index in range(CONNECTIONS)))


class ServerProcess:
    """A server process between callers and the backend."""

    def __init__(self, command: list[str], folder: Path, environ: dict[str, str], port: int) -> None:
        self.port = port
        self.process = subprocess.Popen(
            command, cwd=folder, env=os.environ | {"PYTHONPATH": str(folder)} | environ, stderr=subprocess.DEVNULL
        )

    async def wait_until_listening(self) -> None:
        """Wait until the process listens."""
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                assert self.process.poll() is None, "a server has ended"
                await asyncio.sleep(0.02)
            else:
                writer.close()
                return

    async def cpu_per_request(self, count: int) -> float:
        """Processor seconds for each of `count` requests."""
        before = cpu_seconds(self.process.pid)
        await send_requests(self.port, count)
        return (cpu_seconds(self.process.pid) - before) / count


async def measure(folder: Path, rounds: int, count: int, other_checkout: Path | None) -> dict[str, list[float]]:
    """Processor seconds of a request in each round, by server."""
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
    trees = {"proxy": ROOT} | ({"other": other_checkout} if other_checkout is not None else {})
    servers: dict[str, ServerProcess] = {}
    port = free_ports(1)[0]
    servers["relay"] = ServerProcess(
        [sys.executable, "-m", "standins.relay", str(port), str(backend_port)], ROOT, {}, port
    )
    for name, tree in trees.items():
        port = free_ports(1)[0]
        path = folder / f"{name}.json"
        path.write_bytes(
            orjson.dumps(
                {
                    "settings": proxy_settings(1, 0),
                    "listen": f"127.0.0.1:{port}",
                    "discovery": "127.0.0.1:9",
                    "known": {"seq": 1, "whole": True, "hosts": [host]},
                }
            )
        )
        servers[name] = ServerProcess([sys.executable, "-m", "cometusher"], tree, {"LB_CONFIG": str(path)}, port)
    costs: dict[str, list[float]] = {name: [] for name in servers}
    try:
        for server in servers.values():
            await server.wait_until_listening()
            await send_requests(server.port, WARM_UP_REQUESTS)
        for _ in range(rounds):
            for name, server in servers.items():
                costs[name].append(await server.cpu_per_request(count))
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

    def ratio(numerator: str, denominator: str) -> float:
        return statistics.median(
            cost / other_cost for cost, other_cost in zip(costs[numerator], costs[denominator], strict=True)
        )

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
