"""Runs a fault injection scenario, samples the fleets, checks the expectations and writes the results."""

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

from cometusher.fault_injection.environment import ALL_CLASSES, Fleet, RequestResult, World, wait_until
from cometusher.fault_injection.report import write_page
from cometusher.fault_injection.scenario import (
    OWN_LINKS,
    Scenario,
    ScheduledFault,
    pick_targets,
    read_scenario,
    schedule,
)
from standins.faulty_link import LinkFault

SAMPLE_INTERVAL = 0.1  # seconds between samples of the instances' states
PROMPT_LIMIT = 0.3  # seconds within which a request counts as served promptly
WARM_UP = 2.5  # seconds for the first connections, before measurements begin
# Actions from which the time of a recovery is measured.
RECOVERY_STARTS = frozenset({"kill", "lose", "lose-store", "discovery-back", "continue"})


@dataclass
class Sample:
    """The instances' states at one time, in seconds after the measurements began."""

    time: float
    states: dict[str, dict[str, str]] = field(default_factory=dict)  # by fleet and instance: recovery phase or state


@dataclass
class RunResult:
    """The results of a run; all times are seconds after the measurements began."""

    scenario: Scenario
    timeline: list[tuple[float, str]]  # when each action was applied
    samples: list[Sample]
    requests: list[RequestResult]
    connect_times: list[float]
    figures: dict[str, float]
    recoveries: dict[str, list[dict[str, Any]]]  # each fleet's recoveries as its supervisor reports them
    missed_expectations: list[str]


def _instance_state(status: dict[str, Any]) -> str:
    """An instance's state, or its recovery phase if it is ready and has one."""
    state = str(status["state"])
    return str(status.get("comeback", {}).get("phase", state)) if state == "ready" else state


def time_to_full_service(requests: Sequence[RequestResult], since: float) -> float:
    """Seconds from `since` to the last request that was not served promptly; 0 if there is none."""
    not_prompt = [request.sent_at for request in requests if request.sent_at >= since and not _is_prompt(request)]
    return max(not_prompt, default=since) - since


def _is_prompt(request: RequestResult) -> bool:
    return request.outcome == "served" and request.ended_at - request.sent_at <= PROMPT_LIMIT


class FaultInjectionRun:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario, folder: Path, report: Callable[[str], None]) -> None:
        self.scenario = scenario
        self.report = report
        self.world = World(folder, scenario.backends, scenario.work, scenario.links, scenario.seed)
        for scenario_fleet in scenario.fleets:
            fleet = self.world.add_fleet(
                scenario_fleet.name,
                scenario_fleet.instances,
                scenario_fleet.tier,
                scenario_fleet.recovery,
                scenario_fleet.takeover,
                scenario_fleet.failure_detector,
            )
            fleet.isolated = [
                f"p{index}" for index in range(min(scenario_fleet.isolated_count, scenario_fleet.instances))
            ]
            if scenario_fleet.takeover:  # many single exits are injected, and must not exhaust the restart budget
                fleet.policy = {"budget": 10_000, "backoff_to": 0.5, "hang_after": 2.5}
        self.world.backend_stats.max_work = scenario.max_work
        if scenario.strict:
            self.world.request_classes = ALL_CLASSES
        self.timeline: list[tuple[float, str]] = []
        self.samples: list[Sample] = []
        self._begin = 0.0
        self._last_failure_at = (
            0.0  # when the last action of RECOVERY_STARTS was applied, or discovery became reachable
        )
        self._processes_lost_at = 0.0  # when processes were last killed
        self._lost_pids: list[int] = []
        self._processes_back_at = 0.0  # when every killed process had been replaced
        self._takeover_counters: list[dict[str, int]] = []
        self._detector_counters: list[dict[str, int]] = []
        self._older_list: tuple[int, list[dict[str, Any]]] = (0, [])

    def now(self) -> float:
        """Seconds after the measurements began."""
        return time.monotonic() - self._begin

    async def run(self) -> RunResult:
        """Start everything, apply the timeline, stop everything, and return the results."""
        scenario, world = self.scenario, self.world
        try:
            await world.start(scenario.rate)
            await asyncio.sleep(WARM_UP)
            self._begin = time.monotonic()
            self._older_list = (world.discovery.seq, list(world.discovery.hosts))
            sampler = asyncio.create_task(self._sample())
            for event in schedule(scenario):
                await asyncio.sleep(max(0.0, scenario.calm + event.time - self.now()))
                if event.time > 0.0 and self._last_failure_at == 0.0:
                    world.discovery.calls = 0
                await self._apply(event)
            await asyncio.sleep(max(0.0, scenario.calm + scenario.seconds - self.now()))
            sampler.cancel()
            statuses = {fleet.name: await fleet.status() for fleet in world.fleets}
            recoveries = {name: status.get("comeback", []) for name, status in statuses.items()}
            self._takeover_counters = [status.get("takeover", {}) for status in statuses.values()]
            self._detector_counters = [status.get("vigil", {}) for status in statuses.values()]
        finally:
            await world.stop()
        return self._result(recoveries)

    async def _sample(self) -> None:
        while True:
            sample = Sample(self.now())
            for fleet in self.world.fleets:
                instances = await fleet.instance_status()
                sample.states[fleet.name] = {name: _instance_state(status) for name, status in instances.items()}
            self.samples.append(sample)
            await asyncio.sleep(SAMPLE_INTERVAL)

    # ---- the timeline --------------------------------------------------------------------

    async def _apply(self, event: ScheduledFault) -> None:
        fault = event.fault
        words = [fault.action, fault.fleet, fault.link, fault.link_fault if fault.link else ""]
        text = " ".join(filter(None, [*words, "undone" if event.undo else ""]))
        self.timeline.append((self.now(), text))
        self.report(f"{self.now():6.2f} s  {text}")
        fleets = [fleet for fleet in self.world.fleets if fault.fleet in ("", fleet.name)]
        if fault.action in RECOVERY_STARTS:
            self._last_failure_at = self.now()
        if fault.action in ("kill", "lose"):
            self._processes_lost_at = self.now()
        await ACTIONS[fault.action](self, event, fleets)
        if fault.action in ("kill", "start"):
            self._wait_task = asyncio.create_task(self._wait_for_processes())

    async def _wait_for_processes(self) -> None:
        """Record when all lost processes have been replaced; runs while the timeline goes on."""
        await wait_until(partial(self.world.all_running, self._lost_pids), 20.0)
        self._processes_back_at = self.now()

    async def _kill(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            self._lost_pids += await fleet.signal(self._instances(event, fleet), signal.SIGKILL)

    async def _pause(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            number = signal.SIGCONT if event.undo else signal.SIGSTOP
            await fleet.signal(self._instances(event, fleet), number)

    async def _continue(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.signal(self._instances(event, fleet), signal.SIGCONT)

    async def _kill_machine(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        self._lost_pids += [
            pid for pids in await asyncio.gather(*(fleet.kill_machine() for fleet in fleets)) for pid in pids
        ]

    async def _kill_supervisor(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.kill_supervisor()

    async def _start(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            await fleet.start()

    @staticmethod
    def _instances(event: ScheduledFault, fleet: Fleet) -> list[str]:
        return pick_targets(event, [f"p{index}" for index in range(fleet.count)])

    async def _change_store(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        for fleet in fleets:
            action = event.fault.action
            if action == "lose-store":
                fleet.delete_store(self._instances(event, fleet))
            elif action == "damage-store":
                fleet.corrupt_store(self._instances(event, fleet), event.seed)
            elif action in ("clock-back", "clock-forth"):
                seconds = event.fault.value
                fleet.shift_clock(self._instances(event, fleet), seconds if action == "clock-forth" else -seconds)
            elif action == "copy-store":
                fleet.copy_store()
            else:
                fleet.restore_store()

    async def _change_backends(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        world, fault = self.world, event.fault
        chosen = pick_targets(event, [backend.host for backend in world.backends])
        if fault.action == "replace-backends":
            await world.replace_backends(fault.share, event.seed)
            return
        for backend in [b for b in world.backends if b.host in chosen]:
            if fault.action == "slow-backends":
                backend.work = world.work if event.undo else fault.value
                continue
            removed = (fault.action == "ban") is not event.undo
            backend.removed = False
            for fleet in fleets:
                await fleet.operate("exclude" if removed else "include", backend.host)
            # A request that was in flight when the ban was acknowledged is not a stale decision.
            asyncio.get_running_loop().call_later(0.5, setattr, backend, "removed", removed)

    async def _change_discovery(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        discovery, action = self.world.discovery, event.fault.action
        if action == "discovery-away" and not event.undo:
            await discovery.disconnect()
        elif action in ("discovery-away", "discovery-back"):
            self._last_failure_at = self.now()
            await discovery.reconnect()
        elif action == "discovery-empty":
            self._older_list = (discovery.seq, discovery.hosts) if not event.undo else self._older_list
            discovery.hosts = list(self._older_list[1]) if event.undo else []
            discovery.seq += 1
            await self._restart_discovery()
        else:
            discovery.seq, discovery.hosts = max(0, self._older_list[0] - 1), list(self._older_list[1])
            await self._restart_discovery()

    async def _restart_discovery(self) -> None:
        """End all watches of discovery, so that instances reconnect and receive the current list."""
        await self.world.discovery.disconnect()
        await self.world.discovery.reconnect()

    async def _change_load(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        assert self.world.load is not None
        self.world.load.rate = self.scenario.rate if event.undo else event.fault.value

    async def _change_links(self, event: ScheduledFault, fleets: list[Fleet]) -> None:
        fault = event.fault
        link_fault = (
            LinkFault()
            if event.undo
            else LinkFault(
                fault.link_fault, fault.direction, median_delay=fault.value, rate=fault.value, after=int(fault.value)
            )
        )
        if fault.link in OWN_LINKS:
            for instance_links in [
                instance_links for fleet in fleets for instance_links in fleet.instance_links.values()
            ]:
                await (
                    instance_links.set_fault(link_fault)
                    if fault.link == "own"
                    else instance_links.discovery_link.set_fault(link_fault)
                )
            return
        links = self.world.links[fault.link]
        names = [str(index) for index in range(len(links))]
        for name in pick_targets(event, names):
            await links[int(name)].set_fault(link_fault)

    # ---- results -------------------------------------------------------------------------

    def _result(self, recoveries: dict[str, list[dict[str, Any]]]) -> RunResult:
        world, scenario = self.world, self.scenario
        assert world.load is not None
        requests = sorted(
            (
                replace(request, sent_at=request.sent_at - self._begin, ended_at=request.ended_at - self._begin)
                for request in world.load.results
            ),
            key=lambda request: request.sent_at,
        )
        connect_times = [moment - self._begin for moment in world.backend_stats.connect_times]
        figures = self._figures(requests, connect_times)
        for correlated_failures in recoveries.values():
            figures["events"] += len([failure for failure in correlated_failures if failure["cause"] != "start"])
        missed = [
            f"{expect.figure} is {figures[expect.figure]:.3g}, expected {expect.minimum:g} to {expect.maximum:g}"
            for expect in scenario.expectations
            if not expect.minimum <= figures[expect.figure] <= expect.maximum
        ]
        return RunResult(scenario, self.timeline, self.samples, requests, connect_times, figures, recoveries, missed)

    def _figures(self, requests: list[RequestResult], connect_times: list[float]) -> dict[str, float]:
        world, scenario = self.world, self.scenario
        assert world.load is not None
        after_calm = [request for request in requests if request.sent_at >= scenario.calm]
        counts = {
            outcome: sum(request.outcome == outcome for request in after_calm)
            for outcome in ("served", "refused", "failed", "lost")
        }
        unreachable = sum(request.outcome == "unreachable" for request in after_calm)
        recovery_start = max(self._last_failure_at, self._processes_back_at)
        first_served = next(
            (
                request.ended_at
                for request in after_calm
                if request.sent_at >= self._processes_lost_at and request.outcome == "served"
            ),
            recovery_start,
        )
        latencies = sorted(
            request.ended_at - request.sent_at for request in after_calm if request.outcome == "served"
        )
        backend_stats = world.backend_stats
        instance_count = sum(fleet.count for fleet in world.fleets)
        return {
            "full_s": time_to_full_service(requests, recovery_start),
            "back_s": time_to_full_service(requests, self._processes_back_at),
            "first_s": max(0.0, first_served - self._processes_lost_at),
            "sent": len(after_calm),
            **counts,
            "unreachable": unreachable,
            "unserved": len(after_calm) - counts["served"],
            "peak": self._relative_peak(connect_times),
            "calls": world.discovery.calls / instance_count,
            "stale": backend_stats.stale_requests,
            "twice": world.duplicate_effects(),
            "wrong": world.load.wrong_answers,
            "cold": world.cold_overload(),
            "events": 0.0,
            "second": world.load.extra_answers,
            "inherited": sum(takeover.get("adopted", 0) for takeover in self._takeover_counters),
            "orphaned": sum(takeover.get("lost", 0) for takeover in self._takeover_counters),
            "replaced": sum(detector.get("replaced", 0) for detector in self._detector_counters),
            "aside": sum(detector.get("unlike", 0) for detector in self._detector_counters),
            "p99_s": latencies[int(0.99 * (len(latencies) - 1))] if latencies else 0.0,
        }

    def _relative_peak(self, connect_times: list[float]) -> float:
        """Peak of new connections per bin after the calm period, as a multiple of the calm period's mean."""
        backend_stats, begin = self.world.backend_stats, self._begin
        baseline = backend_stats.mean_connects(begin, begin + self.scenario.calm)
        return (
            backend_stats.peak_connects(
                begin + self.scenario.calm, begin + self.scenario.calm + self.scenario.seconds
            )
            / baseline
        )


Action = Callable[[FaultInjectionRun, ScheduledFault, list[Fleet]], Any]
ACTIONS: dict[str, Action] = {
    "kill": FaultInjectionRun._kill,
    "stop": FaultInjectionRun._pause,
    "continue": FaultInjectionRun._continue,
    "lose": FaultInjectionRun._kill_machine,
    "kill-supervisor": FaultInjectionRun._kill_supervisor,
    "start": FaultInjectionRun._start,
    "lose-store": FaultInjectionRun._change_store,
    "damage-store": FaultInjectionRun._change_store,
    "clock-back": FaultInjectionRun._change_store,
    "clock-forth": FaultInjectionRun._change_store,
    "copy-store": FaultInjectionRun._change_store,
    "put-back-store": FaultInjectionRun._change_store,
    "replace-backends": FaultInjectionRun._change_backends,
    "slow-backends": FaultInjectionRun._change_backends,
    "ban": FaultInjectionRun._change_backends,
    "unban": FaultInjectionRun._change_backends,
    "discovery-away": FaultInjectionRun._change_discovery,
    "discovery-back": FaultInjectionRun._change_discovery,
    "discovery-empty": FaultInjectionRun._change_discovery,
    "discovery-older": FaultInjectionRun._change_discovery,
    "load": FaultInjectionRun._change_load,
    "link": FaultInjectionRun._change_links,
}


def as_json(result: RunResult) -> dict[str, Any]:
    """The results as plain values for JSON."""
    return {
        "drill": result.scenario.name,
        "seed": result.scenario.seed,
        "figures": result.figures,
        "timeline": [{"at": round(time, 3), "what": description} for time, description in result.timeline],
        "returns": result.recoveries,
        "faults": result.missed_expectations,
        "ok": not result.missed_expectations,
    }


async def run_scenario(
    scenario: Scenario, folder: Path, report: Callable[[str], None] = lambda text: None
) -> RunResult:
    """Run a scenario in an empty folder; `report` receives a line for each action."""
    return await FaultInjectionRun(scenario, folder, report).run()


def main(path: Path, output_folder: Path | None, print_json: bool) -> int:
    """The command `drill`; returns 0 if all expectations are met, else 1. Raises ConfigError."""
    scenario = read_scenario(path)

    def say(text: str) -> None:
        print(text, file=sys.stderr, flush=True)

    with tempfile.TemporaryDirectory(prefix="drill-") as folder:
        result = asyncio.run(run_scenario(scenario, Path(folder), say))
    values = as_json(result)
    if output_folder is not None:
        output_folder.mkdir(parents=True, exist_ok=True)
        (output_folder / f"{scenario.name}.json").write_bytes(orjson.dumps(values, option=orjson.OPT_INDENT_2))
        write_page(result, output_folder / f"{scenario.name}.html")
    if print_json:
        print(orjson.dumps(values).decode())
    else:
        for name, value in result.figures.items():
            print(f"{name:<12} {value:.6g}")
        for missed in result.missed_expectations:
            print(f"cometusher: {scenario.name}: {missed}", file=sys.stderr)
    return 1 if result.missed_expectations else 0
