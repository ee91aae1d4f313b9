"""Case 1: a request that is unsafe to repeat runs twice when its instance is killed during its fifth attempt.

Five of six backends are full, and turn requests away as the protocol page says; the sixth runs them. Each instance
gets one request. When one runs after four or five others have turned it away, its instance is killed.
"""

from __future__ import annotations

import asyncio
import copy
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import SETTINGS, Agent, Backend, CannotRun, Case, Client, Record, answer, free_port, main, request

INSTANCES = 16  # a request finds the free backend in its fifth or sixth attempt in one of three instances
BUDGET = 2.4  # seconds
RECORDED = 4  # attempts that the case waits for before the one that runs


class FullBackend(Backend):
    """A backend whose queue is full: it turns every request away."""

    def __init__(self, record: Record, number: int, turned_away: dict[str, int]) -> None:
        super().__init__(record, number)
        self._turned_away = turned_away

    async def on_request(self, call: str, writer: asyncio.StreamWriter) -> None:
        self._turned_away[call] = self._turned_away.get(call, 0) + 1
        self.record.write(f"backend {self.host} turns {call} away: its queue is full")
        writer.write(answer(503, b"", "X-Rejected: 1"))


async def until_running(backend: Backend, call: str) -> bool:
    """Wait until a request runs; False if it does not within half a second."""
    for _ in range(100):
        if any(run == call for _, run in backend.runs):
            return True
        await asyncio.sleep(0.005)
    return False


async def play(case: Case) -> list[str]:
    turned_away: dict[str, int] = {}
    free = Backend(case.record, 0x5BE2A07C)
    free.seconds = 0.8
    backends = [free, *(FullBackend(case.record, free_id, turned_away) for free_id in range(0x1A2B3C01, 0x1A2B3C06))]
    for backend in backends:
        await backend.start()
    agent = Agent(backends)
    await agent.start()
    settings = copy.deepcopy(SETTINGS)
    # For this customer a submission is unsafe to repeat.
    settings["Services"][1] = {"Name": "submit", "Aim": 1.0, "HardLimit": 2.5, "Repeat": "fragile", "Credit": 8.0}
    ports = {f"intake-{i}": free_port() for i in range(INSTANCES)}
    await case.start_fleet(settings, "[takeover]", agent.port, [(name, port, "") for name, port in ports.items()])
    statuses: dict[str, int] = {}
    met = False
    for number, (name, port) in enumerate(ports.items()):
        call = f"9b1f03aa{number:08x}"
        client = Client(case.record, port, name)
        task = asyncio.create_task(client.send(call, request(call, "submit", BUDGET), BUDGET))
        if await until_running(free, call) and turned_away.get(call, 0) >= RECORDED:
            met = True
            if case.trouble:
                await asyncio.sleep(0.1)
                case.kill(name)
        statuses[call] = await task
        if met:
            break
    if not met:
        raise CannotRun("no request ran in its fifth attempt")
    await asyncio.sleep(1.0)
    runs = [call for _, call in free.runs]
    breaks = [
        f"{call}, which is unsafe to repeat, ran {runs.count(call)} times"
        for call in statuses
        if runs.count(call) > 1
    ]
    breaks += [
        f"{call} was refused with {status}, and ran"
        for call, status in statuses.items()
        if status in (429, 503) and call in runs
    ]
    return breaks


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, play))
