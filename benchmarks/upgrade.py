"""Hot restarts under load: what callers see, and the descriptors of both processes together.

    python benchmarks/upgrade.py [--quick] [--upgrades N]

Callers use kept and new connections while one process takes over from another, a backend is banned during every
second upgrade, and the descriptors of both processes are sampled. The exit code is 1 if a request is lost or fails, a
connection is refused, more than one request per upgrade finds its kept connection closed, a ban is violated, the
learned state is not handed over, or the descriptor limit is exceeded.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from cometusher.demo import proxy_settings  # noqa: E402
from standins.backend import Backend  # noqa: E402
from standins.caller import Caller  # noqa: E402
from standins.load import LoadCounters  # noqa: E402
from standins.messages import Message, Writer, reply  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.ports import free_ports  # noqa: E402

SOCKETS = 256  # descriptor limit
KEPT_CONNECTION_CALLERS, NEW_CONNECTION_CALLERS = 24, 4  # numbers of callers


@dataclass
class UpgradeCounts(LoadCounters):
    """Outcomes of the requests; `unreachable` are those whose connection was refused."""

    closed_unanswered: int = 0  # a kept connection closed without a byte of an answer; the request is sent once more
    ban_violations: int = 0  # requests served by a banned backend
    descriptors: int = 0  # largest number of both processes together


async def answer_with_name(backend: Backend, seen: Message, writer: Writer) -> None:
    """Answer after 10 ms with the backend's name."""
    await asyncio.sleep(0.01)
    writer.write(reply(body=backend.host.encode()))


class Callers:
    """Clients that send requests until they are stopped."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.counts = UpgradeCounts()
        self.banned_host = b""
        self.stopped = False
        self._number = 0

    def _request(self) -> bytes:
        self._number += 1
        return (
            b"GET /api HTTP/1.1\r\nHost: b\r\nX-Call-Class: report-view\r\nX-Caller: univ-central\r\n"
            b"X-Budget: 4000m\r\nX-Call-Id: u%d\r\n\r\n" % self._number
        )

    async def _connect(self) -> Caller | None:
        try:
            return await self.platform.connect()
        except OSError:
            self.counts.unreachable += 1
            return None

    async def _send_request(self, caller: Caller, reused: bool) -> Caller | None:
        """Send one request; returns the connection if it is kept."""
        caller.writer.write(self._request())
        banned_host = self.banned_host
        try:
            status, answer = await caller.answer()
        except (AssertionError, OSError):
            if not reused:
                self.counts.lost += 1
                return None
            self.counts.closed_unanswered += 1
            connection = await self._connect()
            return await self._send_request(connection, False) if connection is not None else None
        self.counts.served += status == 200
        self.counts.refused += status == 503
        self.counts.failed += status not in (200, 503)
        self.counts.ban_violations += (
            bool(banned_host) and banned_host == self.banned_host and answer.body == banned_host
        )
        if answer.headers.get(b"connection", b"").lower() == b"close":
            caller.abort()
            return None
        return caller

    async def use_kept_connection(self) -> None:
        """Send requests on one connection for as long as it is kept."""
        caller: Caller | None = None
        while not self.stopped:
            reused = caller is not None
            caller = caller or await self._connect()
            if caller is not None:
                caller = await self._send_request(caller, reused)
            await asyncio.sleep(0.02)

    async def use_new_connections(self) -> None:
        """Send each request on a new connection."""
        while not self.stopped:
            caller = await self._connect()
            if caller is not None and (caller := await self._send_request(caller, False)) is not None:
                caller.abort()

    async def sample_descriptors(self) -> None:
        """Sample the descriptors of all processes."""
        while not self.stopped:
            with contextlib.suppress(OSError):
                self.counts.descriptors = max(self.counts.descriptors, self.platform.open_descriptors())
            await asyncio.sleep(0.02)


async def measure(folder: Path, upgrades: int) -> tuple[UpgradeCounts, int]:
    """Run the upgrades; returns the outcomes, and how many new processes took over the learned state."""
    backends = [Backend(i + 1, answer_with_name) for i in range(3)]
    for backend in backends:
        await backend.start()
    hosts = [backend.discovery_entry(site="kigali") for backend in backends]
    platform = Platform(ROOT, folder, proxy_settings(1, 0), hosts, free_ports(1)[0], SOCKETS)
    callers = Callers(platform)
    try:
        old = await platform.launch()
        tasks = [asyncio.create_task(callers.use_kept_connection()) for _ in range(KEPT_CONNECTION_CALLERS)]
        tasks += [asyncio.create_task(callers.use_new_connections()) for _ in range(NEW_CONNECTION_CALLERS)]
        tasks.append(asyncio.create_task(callers.sample_descriptors()))
        await asyncio.sleep(1.2)
        for number in range(upgrades):
            ban = number % 2 == 0
            if ban:
                assert await platform.management_call(old, "exclude", b'{"who":"s-1"}') == 200
                callers.banned_host = b"s-1"
            new = await platform.launch()
            await platform.terminate(old)
            old = new
            if ban:
                callers.banned_host = b""
                assert await platform.management_call(old, "include", b'{"who":"s-1"}') == 200
        callers.stopped = True
        await asyncio.gather(*tasks)
        kept_learned_state = sum("took over the learned state of 3" in platform.log(i + 1) for i in range(upgrades))
        return callers.counts, kept_learned_state
    finally:
        await platform.close()
        for backend in backends:
            await backend.stop()


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="under 50 s")
    parser.add_argument("--upgrades", type=int, default=0, metavar="N")
    options = parser.parse_args()
    upgrades = options.upgrades or (20 if options.quick else 100)
    with tempfile.TemporaryDirectory(prefix="upgrade-bench-") as folder:
        counts, learned = asyncio.run(measure(Path(folder), upgrades))
    passed = (
        counts.lost == counts.unreachable == counts.failed == counts.ban_violations == 0
        and counts.closed_unanswered <= upgrades
        and learned == upgrades
        and counts.descriptors <= SOCKETS
    )
    print(
        f"upgrade: upgrades={upgrades} served={counts.served} refused={counts.refused} failed={counts.failed} "
        f"lost={counts.lost} connects_refused={counts.unreachable} turned_back={counts.closed_unanswered} "
        f"ban_broken={counts.ban_violations} learned_kept={learned}/{upgrades} "
        f"descriptors={counts.descriptors}/{SOCKETS} "
        f"{'ok' if passed else 'short'}"
    )
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
