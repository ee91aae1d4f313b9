"""Running a drill: the timeline carried out, samples taken, rules and expectations checked, one page and one JSON."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from typing import Any

import orjson

from cometusher.fault_injection.environment import MIXED, Fleet, Told, World, until
from cometusher.fault_injection.report import write_page
from cometusher.fault_injection.scenario import OWN, Event, Scenario, pick, read_scenario, schedule
from standins.faulty_link import Mood

SAMPLE = 0.1  # seconds
AT_ONCE = 0.3  # seconds within which a request is served at once
WARM = 2.5  # seconds in which first connections are made, before the calm
BLOWS = frozenset({"kill", "lose", "lose-store", "discovery-back", "continue"})  # what a return is counted from


@dataclass
class Sample:
    """The world at one moment; `at` in seconds after the calm began."""

    at: float
    states: dict[str, dict[str, str]] = field(default_factory=dict)  # fleet, instance: its phase or state


@dataclass
class Outcome:
    """What came of a drill."""

    scenario: Scenario
    done: list[tuple[float, str]]  # the timeline as it was carried out
    samples: list[Sample]
    told: list[Told]  # with times after the calm began
    connects: list[float]
    figures: dict[str, float]
    returns: dict[str, list[dict[str, Any]]]  # what each fleet's supervisor measured itself
    faults: list[str]


def _state(row: dict[str, Any]) -> str:
    """What an instance's row shows: of one that is ready its phase, if it has any."""
    state = str(row["state"])
    return str(row.get("comeback", {}).get("phase", state)) if state == "ready" else state


def service_from(told: Sequence[Told], since: float) -> float:
    """Seconds after `since` until whatever is asked is served at once."""
    bad = [row.asked for row in told if row.asked >= since and not _at_once(row)]
    return max(bad, default=since) - since


def _at_once(row: Told) -> bool:
    return row.how == "served" and row.answered - row.asked <= AT_ONCE


class Drill:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, say: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.say = say
        self.world = World(folder, scenario.backends, scenario.work, scenario.links, scenario.seed)
        for part in scenario.fleets:
            fleet = self.world.add_fleet(
                part.name, part.instances, part.tier, part.comeback, part.takeover, part.vigil
            )
            fleet.apart = [f"p{i}" for i in range(min(part.own, part.instances))]
            if part.takeover:  # its faults are many single ends, and no reason to give up
                fleet.policy = {"budget": 10_000, "backoff_to": 0.5, "hang_after": 2.5}
        self.world.account.longest = scenario.longest
        if scenario.strict:
            self.world.kinds = MIXED
        self.done: list[tuple[float, str]] = []
        self.samples: list[Sample] = []
        self._begin = 0.0
        self._last = 0.0  # when the last blow was carried out, or discovery came back
        self._fell = 0.0  # when processes were lost last
        self._gone: list[int] = []  # pids of those
        self._back = 0.0  # when the last process that was started since was there
        self._estates: list[dict[str, int]] = []
        self._watches: list[dict[str, int]] = []
        self._older: tuple[int, list[dict[str, Any]]] = (0, [])

    def now(self) -> float:
        """Seconds after the calm began."""
        return time.monotonic() - self._begin

    async def run(self) -> Outcome:
        """From the start of all to the end of all."""
        scenario, world = self.scenario, self.world
        try:
            await world.start(scenario.rate)
            await asyncio.sleep(WARM)
            self._begin = time.monotonic()
            self._older = (world.lists.seq, list(world.lists.hosts))
            sampler = asyncio.create_task(self._sample())
            for event in schedule(scenario):
                await asyncio.sleep(max(0.0, scenario.calm + event.at - self.now()))
                if event.at > 0.0 and self._last == 0.0:
                    world.lists.calls = 0
                await self._carry_out(event)
            await asyncio.sleep(max(0.0, scenario.calm + scenario.seconds - self.now()))
            sampler.cancel()
            views = {fleet.name: await fleet.status() for fleet in world.fleets}
            returns = {name: view.get("comeback", []) for name, view in views.items()}
            self._estates = [view.get("takeover", {}) for view in views.values()]
            self._watches = [view.get("vigil", {}) for view in views.values()]
        finally:
            await world.stop()
        return self._outcome(returns)

    async def _sample(self) -> None:
        while True:
            sample = Sample(self.now())
            for fleet in self.world.fleets:
                rows = await fleet.rows()
                sample.states[fleet.name] = {name: _state(row) for name, row in rows.items()}
            self.samples.append(sample)
            await asyncio.sleep(SAMPLE)

    # ---- the timeline --------------------------------------------------------------------

    async def _carry_out(self, event: Event) -> None:
        fault = event.fault
        words = [fault.deed, fault.fleet, fault.link, fault.mood if fault.link else ""]
        text = " ".join(filter(None, [*words, "undone" if event.undo else ""]))
        self.done.append((self.now(), text))
        self.say(f"{self.now():6.2f} s  {text}")
        fleets = [f for f in self.world.fleets if fault.fleet in ("", f.name)]
        if fault.deed in BLOWS:
            self._last = self.now()
        if fault.deed in ("kill", "lose"):
            self._fell = self.now()
        await DOING[fault.deed](self, event, fleets)
        if fault.deed in ("kill", "start"):
            self._looking = asyncio.create_task(self._await_processes())

    async def _await_processes(self) -> None:
        """Note when the last process that comes in place of those lost was there, beside the timeline."""
        await until(partial(self.world.all_there, self._gone), 20.0)
        self._back = self.now()

    async def _kill(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            self._gone += await fleet.signal(self._instances(event, fleet), signal.SIGKILL)

    async def _pause(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            number = signal.SIGCONT if event.undo else signal.SIGSTOP
            await fleet.signal(self._instances(event, fleet), number)

    async def _go_on(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.signal(self._instances(event, fleet), signal.SIGCONT)

    async def _lose(self, event: Event, fleets: list[Fleet]) -> None:
        self._gone += [pid for pids in await asyncio.gather(*(fleet.lose() for fleet in fleets)) for pid in pids]

    async def _kill_supervisor(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.kill_supervisor()

    async def _start(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.start()

    @staticmethod
    def _instances(event: Event, fleet: Fleet) -> list[str]:
        return pick(event, [f"p{i}" for i in range(fleet.count)])

    async def _store(self, event: Event, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            deed = event.fault.deed
            if deed == "lose-store":
                fleet.lose_store(self._instances(event, fleet))
            elif deed == "damage-store":
                fleet.damage_store(self._instances(event, fleet), event.seed)
            elif deed in ("clock-back", "clock-forth"):
                seconds = event.fault.value
                fleet.turn_clock(self._instances(event, fleet), seconds if deed == "clock-forth" else -seconds)
            elif deed == "copy-store":
                fleet.copy_store()
            else:
                fleet.put_back_store()

    async def _backends(self, event: Event, fleets: list[Fleet]) -> None:
        world, fault = self.world, event.fault
        chosen = pick(event, [backend.host for backend in world.backends])
        if fault.deed == "replace-backends":
            await world.replace_backends(fault.share, event.seed)
            return
        for backend in [b for b in world.backends if b.host in chosen]:
            if fault.deed == "slow-backends":
                backend.work = world.work if event.undo else fault.value
                continue
            out = (fault.deed == "ban") is not event.undo
            backend.away = False
            for fleet in fleets:
                await fleet.operate("exclude" if out else "include", backend.host)
            # What was on its way at the yes is no stale decision.
            asyncio.get_running_loop().call_later(0.5, setattr, backend, "away", out)

    async def _discovery(self, event: Event, fleets: list[Fleet]) -> None:
        lists, deed = self.world.lists, event.fault.deed
        if deed == "discovery-away" and not event.undo:
            await lists.leave()
        elif deed in ("discovery-away", "discovery-back"):
            self._last = self.now()
            await lists.back()
        elif deed == "discovery-empty":
            self._older = (lists.seq, lists.hosts) if not event.undo else self._older
            lists.hosts = list(self._older[1]) if event.undo else []
            lists.seq += 1
            await self._tell_whole()
        else:
            lists.seq, lists.hosts = max(0, self._older[0] - 1), list(self._older[1])
            await self._tell_whole()

    async def _tell_whole(self) -> None:
        """What discovery says now is told anew: its watches end, and are opened again."""
        await self.world.lists.leave()
        await self.world.lists.back()

    async def _load(self, event: Event, fleets: list[Fleet]) -> None:
        assert self.world.load is not None
        self.world.load.rate = self.scenario.rate if event.undo else event.fault.value

    async def _link(self, event: Event, fleets: list[Fleet]) -> None:
        fault = event.fault
        mood = (
            Mood()
            if event.undo
            else Mood(fault.mood, fault.way, seconds=fault.value, rate=fault.value, after=int(fault.value))
        )
        if fault.link in OWN:
            for ways in [ways for fleet in fleets for ways in fleet.ways.values()]:
                await (ways.set(mood) if fault.link == "own" else ways.discovery.set(mood))
            return
        links = self.world.links[fault.link]
        names = [str(i) for i in range(len(links))]
        for name in pick(event, names):
            await links[int(name)].set(mood)

    # ---- what came of it -----------------------------------------------------------------

    def _outcome(self, returns: dict[str, list[dict[str, Any]]]) -> Outcome:
        world, scenario = self.world, self.scenario
        assert world.load is not None
        told = sorted(
            (
                replace(row, asked=row.asked - self._begin, answered=row.answered - self._begin)
                for row in world.load.told
            ),
            key=lambda row: row.asked,
        )
        connects = [at - self._begin for at in world.account.connects]
        figures = self._figures(told, connects)
        for blows in returns.values():
            figures["events"] += len([blow for blow in blows if blow["cause"] != "start"])
        faults = [
            f"{expect.figure} is {figures[expect.figure]:.3g}, wanted from {expect.least:g} to {expect.most:g}"
            for expect in scenario.expects
            if not expect.least <= figures[expect.figure] <= expect.most
        ]
        return Outcome(scenario, self.done, self.samples, told, connects, figures, returns, faults)

    def _figures(self, told: list[Told], connects: list[float]) -> dict[str, float]:
        world, scenario = self.world, self.scenario
        assert world.load is not None
        since = [row for row in told if row.asked >= scenario.calm]
        counts = {how: sum(row.how == how for row in since) for how in ("served", "refused", "failed", "lost")}
        unreachable = sum(row.how == "unreachable" for row in since)
        back = max(self._last, self._back)
        first = next((row.answered for row in since if row.asked >= self._fell and row.how == "served"), back)
        times = sorted(row.answered - row.asked for row in since if row.how == "served")
        account = world.account
        count = sum(fleet.count for fleet in world.fleets)
        return {
            "full_s": service_from(told, back),
            "back_s": service_from(told, self._back),
            "first_s": max(0.0, first - self._fell),
            "sent": len(since),
            **counts,
            "unreachable": unreachable,
            "unserved": len(since) - counts["served"],
            "peak": self._peak(connects),
            "calls": world.lists.calls / count,
            "stale": account.stale,
            "twice": world.twice(),
            "wrong": world.load.wrong,
            "cold": world.cold(),
            "events": 0.0,
            "second": world.load.second,
            "inherited": sum(estate.get("adopted", 0) for estate in self._estates),
            "orphaned": sum(estate.get("lost", 0) for estate in self._estates),
            "replaced": sum(watch.get("replaced", 0) for watch in self._watches),
            "aside": sum(watch.get("unlike", 0) for watch in self._watches),
            "p99_s": times[int(0.99 * (len(times) - 1))] if times else 0.0,
        }

    def _peak(self, connects: list[float]) -> float:
        """Most new connections in a bin after the calm, over the mean of the calm."""
        account, begin = self.world.account, self._begin
        usual = account.usual(begin, begin + self.scenario.calm)
        return account.peak(begin + self.scenario.calm, begin + self.scenario.calm + self.scenario.seconds) / usual


Doing = Callable[[Drill, Event, list[Fleet]], Any]
DOING: dict[str, Doing] = {
    "kill": Drill._kill,
    "stop": Drill._pause,
    "continue": Drill._go_on,
    "lose": Drill._lose,
    "kill-supervisor": Drill._kill_supervisor,
    "start": Drill._start,
    "lose-store": Drill._store,
    "damage-store": Drill._store,
    "clock-back": Drill._store,
    "clock-forth": Drill._store,
    "copy-store": Drill._store,
    "put-back-store": Drill._store,
    "replace-backends": Drill._backends,
    "slow-backends": Drill._backends,
    "ban": Drill._backends,
    "unban": Drill._backends,
    "discovery-away": Drill._discovery,
    "discovery-back": Drill._discovery,
    "discovery-empty": Drill._discovery,
    "discovery-older": Drill._discovery,
    "load": Drill._load,
    "link": Drill._link,
}


def as_json(outcome: Outcome) -> dict[str, Any]:
    """The outcome as plain values."""
    return {
        "drill": outcome.scenario.name,
        "seed": outcome.scenario.seed,
        "figures": outcome.figures,
        "timeline": [{"at": round(at, 3), "what": what} for at, what in outcome.done],
        "returns": outcome.returns,
        "faults": outcome.faults,
        "ok": not outcome.faults,
    }


async def play(scenario: Scenario, folder: Path, say: Callable[[str], None] = lambda text: None) -> Outcome:
    """Run a scenario in a folder of its own."""
    return await Drill(scenario, folder, say).run()


def main(path: Path, out: Path | None, json: bool) -> int:
    """The command: returns 0 if all that the scenario expects came true, else 1. Raises ConfigError."""
    scenario = read_scenario(path)

    def say(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        outcome = asyncio.run(play(scenario, Path(folder), say))
    values = as_json(outcome)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / f"{scenario.name}.json").write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))
        write_page(outcome, out / f"{scenario.name}.html")
    if json:
        print(orjson.dumps(values).decode())
    else:
        for name, value in outcome.figures.items():
            print(f"{name:<12} {value:.6g}")
        for fault in outcome.faults:
            print(f"cometusher: {scenario.name}: {fault}", file=sys.stderr)
    return 1 if outcome.faults else 0
