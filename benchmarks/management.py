"""Operators' calls under full load, beside callers that hold connections.

    python benchmarks/management.py [--quick]

A proxy is kept busy by a process that asks as fast as it is answered, and 100 callers hold a connection to its
second address with half a call, or with nothing, and come again when they are cut off. The slowest of all calls
counts: exit 1 when one takes 0.5 s or longer, or gets another answer than the one it is owed.
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

from cpu import Echo, Server, drive  # noqa: E402

from cometusher.demo import settings  # noqa: E402
from standins.messages import read_message  # noqa: E402
from standins.ports import free_ports  # noqa: E402

LIMIT = 0.5  # seconds, of the slowest answer
HOLDERS = 100
HOLD = 4.0  # seconds
LOADS = 1  # processes that ask


async def hold(port: int) -> None:
    """One caller that never sends a whole call."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /api/exc")
        with contextlib.suppress(TimeoutError, OSError):
            await asyncio.wait_for(reader.read(), HOLD)
        writer.close()
        await asyncio.sleep(0.5)


async def call(port: int, number: int) -> tuple[float, bool]:
    """One call: seconds until its answer, and whether that is right."""
    target, body, wanted = (
        ("GET /api/ready", b"", b"200"),
        ("POST /api/exclude", b'{"who":"s-2"}', b"200"),
        ("POST /api/include", b'{"who":"s-2"}', b"200"),
        ("POST /api/exclude", b'{"who":"s-9"}', b"404"),
    )[number % 4]
    began = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{target} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        seen = await asyncio.wait_for(read_message(reader), 10.0)
        writer.close()
    except (OSError, TimeoutError, AssertionError):
        return time.monotonic() - began, False
    return time.monotonic() - began, seen is not None and seen.line.split()[1] == wanted


async def measure(folder: Path, calls: int) -> tuple[list[float], int, int]:
    """Seconds of each call, wrong answers, and requests served meanwhile."""
    backends = [await asyncio.get_running_loop().create_server(Echo, "127.0.0.1", 0) for _ in range(2)]
    hosts = [
        {
            "host": f"s-{i + 1}",
            "dial": f"127.0.0.1:{backend.sockets[0].getsockname()[1]}",
            "site": "kigali",
            "class": "m",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        for i, backend in enumerate(backends)
    ]
    port, door = free_ports(2)
    path = folder / "config.json"
    path.write_bytes(
        orjson.dumps(
            {
                "settings": settings(1, 0),
                "listen": f"127.0.0.1:{port}",
                "discovery": "127.0.0.1:9",
                "management": f"127.0.0.1:{door}",
                "known": {"seq": 1, "whole": True, "hosts": hosts},
            }
        )
    )
    server = Server([sys.executable, "-m", "cometusher"], ROOT, {"LB_CONFIG": str(path)}, port)
    await server.up()
    loads = [
        subprocess.Popen([sys.executable, __file__, "--drive", str(port)], env=os.environ, stdout=subprocess.DEVNULL)
        for _ in range(LOADS)
    ]
    holders = [asyncio.create_task(hold(door)) for _ in range(HOLDERS)]
    try:
        await asyncio.sleep(1.0)
        took: list[float] = []
        wrong = 0
        for number in range(calls):
            seconds, right = await call(door, number)
            took.append(seconds)
            wrong += not right
            await asyncio.sleep(0.004)
        return took, wrong, sum(load.poll() is None for load in loads)
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


async def keep_driving(port: int) -> None:
    """Ask without end."""
    while True:
        with contextlib.suppress(AssertionError):  # refused, while a backend is out
            await drive(port, 10_000)


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    parser.add_argument("--drive", type=int, metavar="PORT", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.drive:
        asyncio.run(keep_driving(options.drive))
    calls = 2000 if options.quick else 10_000
    with tempfile.TemporaryDirectory(prefix="calls-bench-") as folder:
        took, wrong, loads = asyncio.run(measure(Path(folder), calls))
    took.sort()
    short = wrong > 0 or took[-1] >= LIMIT or loads < LOADS
    print(
        f"management: calls={calls} holders={HOLDERS} slowest_ms={took[-1] * 1e3:.1f} "
        f"p99_ms={took[int(0.99 * calls)] * 1e3:.1f} wrong={wrong} loads={loads} {'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
