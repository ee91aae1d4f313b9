"""A fleet that covers its work in hand, backends that keep accounts, and deaths at stage boundaries."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import orjson
from rig import PATIENCE, SETTINGS, merge_settings

from cometusher.fault_injection.environment import Fleet, until
from standins.backend import Backend
from standins.caller import Caller, request
from standins.discovery import HostList
from standins.messages import Seen, Writer, reply
from standins.service_backend import Keys

HOOKS = Path(__file__).parent / "hooks"
POLICY = {"backoff_from": 0.02, "backoff_to": 0.1, "budget": 10000, "hang_after": 1.6}


class HandRig:
    """All of it."""

    def __init__(
        self, folder: Path, instances: int, backends: int, takeover: bool = True, vigil: bool = False
    ) -> None:
        self.folder = folder
        self.fleet = Fleet(folder, "h", instances, 0, False, takeover, vigil)
        self.fleet.policy = dict(POLICY)
        self.hooks = folder / "hooks"
        self.hooks.mkdir()
        self.backends = [Backend(i + 1, self.serve) for i in range(backends)]
        self.lists = HostList([])
        self.gate = asyncio.Event()  # closed: backends work on
        self.gate.set()
        self.came: list[tuple[bytes, str]] = []  # requests at backends: id and host
        self.effects: dict[bytes, int] = {}  # by id
        self._keys = Keys(4.0)
        self.speak: Callable[[Seen, Writer, bytes], Coroutine[Any, Any, None]] | None = None
        self._count = 0
        self.callers: list[Caller] = []

    async def serve(self, backend: Backend, seen: Seen, writer: Writer) -> None:
        """One request at a backend."""
        rid = seen.headers[b"x-call-id"]
        self.came.append((rid, backend.host))
        key = seen.headers.get(b"idempotency-key")
        if key is None or self._keys.first(asyncio.get_running_loop().time(), key):
            self.effects[rid] = self.effects.get(rid, 0) + 1
        body = rid + b" by " + backend.host.encode()
        if self.speak is not None:
            await self.speak(seen, writer, body)
            return
        await self.gate.wait()
        writer.write(reply(200, body))

    async def start(self, extra: str = "", settings: dict[str, Any] | None = None) -> None:
        """Start all, and wait until every instance is ready; `extra` goes into the table of the takeover."""
        for backend in self.backends:
            await backend.start()
        self.lists.hosts = [backend.entry() for backend in self.backends]
        await self.lists.start()
        self.fleet.write(self.lists.port)
        raw = merge_settings(merge_settings(SETTINGS, {"Bounds": {"SecondCopies": False}}), settings or {})
        (self.fleet.folder / "proxy.json").write_bytes(orjson.dumps({"settings": raw}))
        text = self.fleet.file.read_text()
        self.fleet.file.write_text(text.replace("[takeover]", "[takeover]\n" + extra))
        with environ(STAGE_HOOKS=str(self.hooks), PYTHONPATH=str(HOOKS)):
            await self.fleet.start()
        await self.come(self.fleet.ready, "ready")

    async def stop(self) -> None:
        """End all."""
        self.gate.set()
        for caller in self.callers:
            caller.leave()
        await self.fleet.end()
        await self.lists.stop()
        for backend in self.backends:
            await backend.stop()

    # ---- what a test does ----------------------------------------------------------------

    async def come(self, condition: Any, what: str) -> None:
        """Wait for what has to become true."""
        assert await until(condition, 3 * PATIENCE), f"never: {what}\n{self.fleet.log()[-3000:]}"

    def at(self, stage: str, who: str = "any", number: int = signal.SIGKILL) -> Path:
        """Have a process killed (stopped) at a stage; the file is gone when it was."""
        path = self.hooks / f"{who}.{stage}"
        path.write_text(str(int(number)))
        return path

    async def caller(self, instance: int) -> Caller:
        """A connection to an instance."""
        made = Caller(*await asyncio.open_connection("127.0.0.1", self.fleet.ports[instance]))
        self.callers.append(made)
        return made

    def message(self, kind: str, key: bytes = b"", **options: Any) -> tuple[bytes, bytes]:
        """A request's id and bytes, with a key of its own unless one is given."""
        self._count += 1
        rid = b"r%d" % self._count
        data = request(kind=kind, rid=rid.decode(), **options)
        return rid, data.replace(b"Idempotency-Key: k1", b"Idempotency-Key: " + (key or b"k" + rid))

    async def hold(self, instance: int, kind: str, key: bytes = b"") -> tuple[Caller, bytes]:
        """A request that is in hand at an instance, with a backend at work on it until the gate opens; and its id."""
        self.gate.clear()
        caller = await self.caller(instance)
        rid, data = self.message(kind, key, body=b"draft")
        caller.writer.write(data)
        await self.arrived(rid)
        return caller, rid

    async def rows(self) -> dict[str, dict[str, Any]]:
        """The fleet's status."""
        return await self.fleet.rows()

    async def count(self, name: str) -> int:
        """One of the supervisor's counts."""
        return int((await self.fleet.status()).get("takeover", {}).get(name, -1))

    async def pid(self, instance: int) -> int:
        """Of an instance."""
        return int((await self.rows())[f"p{instance}"]["pid"])

    async def arrived(self, rid: bytes, times: int = 1) -> None:
        """Wait until backends have had a request."""
        await self.come(lambda: self.times(rid) >= times, f"{rid!r} at a backend")

    def times(self, rid: bytes) -> int:
        """How often backends have had a request."""
        return sum(one == rid for one, _ in self.came)


@contextlib.contextmanager
def environ(**values: str) -> Any:
    """Variables for what is started within."""
    before = dict(os.environ)
    os.environ.update(values)
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(before)


@contextlib.asynccontextmanager
async def hand_rig(
    instances: int = 4,
    backends: int = 4,
    extra: str = "",
    takeover: bool = True,
    settings: dict[str, Any] | None = None,
    vigil: bool = False,
    **policy: float,
) -> AsyncIterator[HandRig]:
    """Nothing that a test started is left behind."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        rig = HandRig(Path(folder), instances, backends, takeover, vigil)
        rig.fleet.policy |= policy
        try:
            await rig.start(extra, settings)
            yield rig
        finally:
            await rig.stop()
