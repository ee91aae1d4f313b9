"""A fleet with takeover of in-flight requests, backends that count requests, and kills at stage boundaries."""

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
from rig import PEER_TIMEOUT, SETTINGS, merge_settings

from cometusher.fault_injection.environment import Fleet, wait_until
from standins.backend import Backend
from standins.caller import Caller, request
from standins.discovery import HostList
from standins.messages import Message, Writer, reply
from standins.service_backend import KeyWindow

HOOKS = Path(__file__).parent / "hooks"
POLICY = {"backoff_from": 0.02, "backoff_to": 0.1, "budget": 10000, "hang_after": 1.6}


class TakeoverRig:
    """A fleet, its backends and its discovery."""

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
        self.backends_may_answer = asyncio.Event()  # cleared: backends do not answer
        self.backends_may_answer.set()
        self.received: list[tuple[bytes, str]] = []  # requests at backends: call id and host
        self.effects: dict[bytes, int] = {}  # by call id: how often a request took effect
        self._keys = KeyWindow(4.0)
        self.respond: Callable[[Message, Writer, bytes], Coroutine[Any, Any, None]] | None = None
        self._count = 0
        self.callers: list[Caller] = []

    async def serve(self, backend: Backend, seen: Message, writer: Writer) -> None:
        """Serve one request at a backend."""
        request_id = seen.headers[b"x-call-id"]
        self.received.append((request_id, backend.host))
        key = seen.headers.get(b"idempotency-key")
        if key is None or self._keys.register(asyncio.get_running_loop().time(), key):
            self.effects[request_id] = self.effects.get(request_id, 0) + 1
        body = request_id + b" by " + backend.host.encode()
        if self.respond is not None:
            await self.respond(seen, writer, body)
            return
        await self.backends_may_answer.wait()
        writer.write(reply(200, body))

    async def start(self, extra: str = "", settings: dict[str, Any] | None = None) -> None:
        """Start all, and wait until every instance is ready; `extra` is added to the fleet file's takeover table."""
        for backend in self.backends:
            await backend.start()
        self.lists.hosts = [backend.discovery_entry() for backend in self.backends]
        await self.lists.start()
        self.fleet.write(self.lists.port)
        values = merge_settings(merge_settings(SETTINGS, {"Bounds": {"SecondCopies": False}}), settings or {})
        (self.fleet.folder / "proxy.json").write_bytes(orjson.dumps({"settings": values}))
        text = self.fleet.file.read_text()
        self.fleet.file.write_text(text.replace("[takeover]", "[takeover]\n" + extra))
        with environment(STAGE_HOOKS=str(self.hooks), PYTHONPATH=str(HOOKS)):
            await self.fleet.start()
        await self.wait_until(self.fleet.is_ready, "ready")

    async def stop(self) -> None:
        """Stop all."""
        self.backends_may_answer.set()
        for caller in self.callers:
            caller.abort()
        await self.fleet.stop()
        await self.lists.stop()
        for backend in self.backends:
            await backend.stop()

    # ---- for tests -----------------------------------------------------------------------

    async def wait_until(self, condition: Any, what: str) -> None:
        """Wait until a condition holds; fails the test if it never does."""
        assert await wait_until(condition, 3 * PEER_TIMEOUT), f"never: {what}\n{self.fleet.log()[-3000:]}"

    def signal_at(self, stage: str, who: str = "any", number: int = signal.SIGKILL) -> Path:
        """Signal the first process that reaches a stage; the returned file is gone once that has happened."""
        path = self.hooks / f"{who}.{stage}"
        path.write_text(str(int(number)))
        return path

    async def connect(self, instance: int) -> Caller:
        """Connect a caller to an instance."""
        caller = Caller(*await asyncio.open_connection("127.0.0.1", self.fleet.ports[instance]))
        self.callers.append(caller)
        return caller

    def message(self, kind: str, key: bytes = b"", **options: Any) -> tuple[bytes, bytes]:
        """A request's call id and bytes, with a key of its own unless one is given."""
        self._count += 1
        request_id = b"r%d" % self._count
        data = request(kind=kind, request_id=request_id.decode(), **options)
        return request_id, data.replace(b"Idempotency-Key: k1", b"Idempotency-Key: " + (key or b"k" + request_id))

    async def hold_request(self, instance: int, kind: str, key: bytes = b"") -> tuple[Caller, bytes]:
        """A caller whose request is in flight at an instance and unanswered by its backend, and the call id."""
        self.backends_may_answer.clear()
        caller = await self.connect(instance)
        request_id, data = self.message(kind, key, body=b"draft")
        caller.writer.write(data)
        await self.wait_for_request(request_id)
        return caller, request_id

    async def instance_status(self) -> dict[str, dict[str, Any]]:
        """The status of each instance."""
        return await self.fleet.instance_status()

    async def takeover_count(self, name: str) -> int:
        """One of the supervisor's takeover counters; -1 if there is none."""
        return int((await self.fleet.status()).get("takeover", {}).get(name, -1))

    async def pid_of(self, instance: int) -> int:
        """The process id of an instance."""
        return int((await self.instance_status())[f"p{instance}"]["pid"])

    async def wait_for_request(self, request_id: bytes, times: int = 1) -> None:
        """Wait until backends have received a request so many times."""
        await self.wait_until(lambda: self.request_count(request_id) >= times, f"{request_id!r} at a backend")

    def request_count(self, request_id: bytes) -> int:
        """How often backends have received a request."""
        return sum(received_id == request_id for received_id, _ in self.received)


@contextlib.contextmanager
def environment(**values: str) -> Any:
    """Set environment variables for processes that are started within."""
    before = dict(os.environ)
    os.environ.update(values)
    try:
        yield
    finally:
        os.environ.clear()
        os.environ.update(before)


@contextlib.asynccontextmanager
async def takeover_rig(
    instances: int = 4,
    backends: int = 4,
    extra: str = "",
    takeover: bool = True,
    settings: dict[str, Any] | None = None,
    vigil: bool = False,
    **policy: float,
) -> AsyncIterator[TakeoverRig]:
    """A started rig; stops everything that the test started."""
    with tempfile.TemporaryDirectory(prefix="hand-") as folder:
        rig = TakeoverRig(Path(folder), instances, backends, takeover, vigil)
        rig.fleet.policy |= policy
        try:
            await rig.start(extra, settings)
            yield rig
        finally:
            await rig.stop()
