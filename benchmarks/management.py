"""Latency of operators' calls under full load, while other callers hold connections.

    python benchmarks/management.py [--quick]

A process sends requests to a proxy in closed loops, and 100 callers hold connections to its management address with
an incomplete call, and reconnect when they are closed. The exit code is 1 if the slowest call takes 0.5 s or longer,
or if an answer is wrong.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import orjson

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cpu import Echo, ServerProcess, send_requests  # noqa: E402

from cometusher.demo import proxy_settings  # noqa: E402
from standins.messages import read_message  # noqa: E402
from standins.ports import free_ports  # noqa: E402

MAX_LATENCY = 0.5  # seconds, of the slowest call
IDLE_CALLERS = 100
HOLD_SECONDS = 4.0
LOAD_PROCESSES = 1


async def hold_connection(port: int) -> None:
    """Hold connections with an incomplete call, one after the other, without end."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /api/exc")
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(reader.read(), HOLD_SECONDS)
        writer.close()
        await asyncio.sleep(0.5)


async def send_call(port: int, number: int) -> tuple[float, bool]:
    """Send one call; returns the seconds until its answer, and whether that is correct."""
    target, body, expected_status = (
        ("GET /api/ready", b"", b"200"),
        ("POST /api/exclude", b'{"who":"s-2"}', b"200"),
        ("POST /api/include", b'{"who":"s-2"}', b"200"),
        ("POST /api/exclude", b'{"who":"s-9"}', b"404"),
    )[number % 4]
    started_at = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        answer = await asyncio.wait_for(read_message(reader), 10.0)
        writer.close()
    except (OSError, TimeoutError, AssertionError):
        return time.monotonic() - started_at, False
    return time.monotonic() - started_at, answer is not None and answer.line.split()[1] == expected_status


async def measure(folder: Path, calls: int) -> tuple[list[float], int, int]:
    """Seconds of each call, the number of wrong answers, and the load processes still running at the end."""
    backends = [await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0) for _ in range(2)]
    hosts = [
        {
            "host": f"s-{index + 1}",
            "dial": f"127.0.0.1:{backend.sockets[0].getsockname()[1]}",
            "site": "kigali",
            "class": "m",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        for index, backend in enumerate(backends)
    ]
    port, management_port = free_ports(2)
    path = folder / "config.json"
    path.write_bytes(
        orjson.dumps(
            {
                "settings": proxy_settings(1, 0),
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "management": f"127.0.0.1:{management_port}",
                "known": {"seq": 1, "whole": True, "hosts": hosts},
            }
        )
    )
    server = ServerProcess([sys.executable, "-m", "cometusher"], ROOT, {"LB_CONFIG": str(path)}, port)
    await server.wait_until_listening()
    loads = [
        subprocess.Popen([sys.executable, __file__, "--drive", str(port)], env=os.environ, stdout=subprocess.DEVNULL)
        for _ in range(LOAD_PROCESSES)
    ]
    holders = [asyncio.create_task(hold_connection(management_port)) for _ in range(IDLE_CALLERS)]
    try:
        await asyncio.sleep(1.0)
        latencies: list[float] = []
        wrong = 0
        for number in range(calls):
            seconds, right = await send_call(management_port, number)
            latencies.append(seconds)
            wrong += not right
            await asyncio.sleep(0.004)
        return latencies, wrong, sum(load.poll() is None for load in loads)
    finally:
        for holder in holders:
            holder.cancel()
        for load in loads:
            load.kill()
            load.wait()
        server.process.terminate()
        server.process.wait()
        for backend in backends:
            backend.close()


async def send_without_end(port: int) -> None:
    """Send requests without end."""
    while True:
        with contextlib.suppress(AssertionError):  # requests are refused while a backend is excluded
            await send_requests(port, 10_000)


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    parser.add_argument("--drive", type=int, metavar="PORT", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.drive:
        asyncio.run(send_without_end(options.drive))
    calls = 2000 if options.quick else 10_000
    with tempfile.TemporaryDirectory(prefix="calls-bench-") as folder:
        latencies, wrong, loads = asyncio.run(measure(Path(folder), calls))
    latencies.sort()
    short = wrong > 0 or latencies[-1] >= MAX_LATENCY or loads < LOAD_PROCESSES
    print(
        f"management: calls={calls} holders={IDLE_CALLERS} slowest_ms={latencies[-1] * 1e3:.1f} "
        f"p99_ms={latencies[int(0.99 * calls)] * 1e3:.1f} wrong={wrong} loads={loads} {'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
