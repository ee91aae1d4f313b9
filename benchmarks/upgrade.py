"""Upgrades under load: what callers see, and what the two versions take together.

    python benchmarks/upgrade.py [--quick] [--upgrades N]

Callers ask on kept and on new connections while one version takes over from another, a backend is banned over half of
the upgrades, and the descriptors of both are sampled. Exit 1 when a request is lost, a connection refused, more than
one request an upgrade turned back unheard, a ban broken, nothing of what was learned kept, or the limit passed.
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

from cometusher.demo import settings  # noqa: E402
from standins.backend import Backend  # noqa: E402
from standins.caller import Caller  # noqa: E402
from standins.load import Figures  # noqa: E402
from standins.messages import Seen, Writer, reply  # noqa: E402
from standins.platform import Platform  # noqa: E402
from standins.ports import free_ports  # noqa: E402

SOCKETS = 256
KEPT, FRESH = 24, 4  # callers with kept connections, and with new ones


@dataclass
class Count(Figures):
    """What came of the requests; one that is `unreachable` was refused its connection."""

    turned_back: int = 0  # closed with nothing sent for it; asked once more on a new connection
    banned: int = 0  # served by a banned backend
    descriptors: int = 0  # of both, at most


async def name(backend: Backend, seen: Seen, writer: Writer) -> None:
    """Answer after 10 ms with the backend's name."""
    await asyncio.sleep(0.01)
    writer.write(reply(body=backend.host.encode()))


class Callers:
    """Clients that ask without end."""

    def __init__(self, platform: Platform) -> None:
        self.platform = platform
        self.count = Count()
        self.banned = b""
        self.over = False
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
            self.count.unreachable += 1
            return None

    async def _ask(self, caller: Caller, used: bool) -> Caller | None:
        """One request; returns the connection where it is kept."""
        caller.writer.write(self._request())
        banned = self.banned
        try:
            status, seen = await caller.answer()
        except (AssertionError, OSError):
            if not used:
                self.count.lost += 1
                return None
            self.count.turned_back += 1
            again = await self._connect()
            return await self._ask(again, False) if again is not None else None
        self.count.served += status == 200
        self.count.refused += status == 503
        self.count.failed += status not in (200, 503)
        self.count.banned += bool(banned) and banned == self.banned and seen.body == banned
        if seen.headers.get(b"connection", b"").lower() == b"close":
            caller.leave()
            return None
        return caller

    async def keep(self) -> None:
        """On one connection for as long as it is kept."""
        caller: Caller | None = None
        while not self.over:
            used = caller is not None
            caller = caller or await self._connect()
            if caller is not None:
                caller = await self._ask(caller, used)
            await asyncio.sleep(0.02)

    async def renew(self) -> None:
        """Each on a new one."""
        while not self.over:
            caller = await self._connect()
            if caller is not None and (caller := await self._ask(caller, False)) is not None:
                caller.leave()

    async def sample(self) -> None:
        """The descriptors of all processes."""
        while not self.over:
            with contextlib.suppress(OSError):
                self.count.descriptors = max(self.count.descriptors, self.platform.held())
            await asyncio.sleep(0.02)


async def measure(folder: Path, upgrades: int) -> tuple[Count, int]:
    """The count, and how many new versions began with what was learned."""
    backends = [Backend(i + 1, name) for i in range(3)]
    for backend in backends:
        await backend.start()
    hosts = [backend.entry(site="kigali") for backend in backends]
    platform = Platform(ROOT, folder, settings(1, 0), hosts, free_ports(1)[0], SOCKETS)
    callers = Callers(platform)
    try:
        old = await platform.launch()
        tasks = [asyncio.create_task(callers.keep()) for _ in range(KEPT)]
        tasks += [asyncio.create_task(callers.renew()) for _ in range(FRESH)]
        tasks.append(asyncio.create_task(callers.sample()))
        await asyncio.sleep(1.2)
        for number in range(upgrades):
            ban = number % 2 == 0
            if ban:
                assert await platform.operate(old, "exclude", b'{"who":"s-1"}') == 200
                callers.banned = b"s-1"
            new = await platform.launch()
            await platform.end(old)
            old = new
            if ban:
                callers.banned = b""
                assert await platform.operate(old, "include", b'{"who":"s-1"}') == 200
        callers.over = True
        await asyncio.gather(*tasks)
        learned = sum("took over the learned state of 3" in platform.log(i + 1) for i in range(upgrades))
        return callers.count, learned
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
        count, learned = asyncio.run(measure(Path(folder), upgrades))
    good = (
        count.lost == count.unreachable == count.failed == count.banned == 0
        and count.turned_back <= upgrades
        and learned == upgrades
        and count.descriptors <= SOCKETS
    )
    print(
        f"upgrade: upgrades={upgrades} served={count.served} refused={count.refused} failed={count.failed} "
        f"lost={count.lost} connects_refused={count.unreachable} turned_back={count.turned_back} "
        f"ban_broken={count.banned} learned_kept={learned}/{upgrades} descriptors={count.descriptors}/{SOCKETS} "
        f"{'ok' if good else 'short'}"
    )
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
