"""Cluster membership: the cost of a member, and how soon all members detect a kill and a stop.

    python benchmarks/mesh.py [--quick] [--counts 6,12,24]

Each member is a process that has only its connections to the others, over loopback. For each number of members, the
benchmark measures messages and processor time of a member without faults, and counts false suspicions and deaths.
Then one member is killed, and another is stopped and continued. The detection time is measured at each other member,
from the signal until it considers the member dead; `back` is the time until all consider the continued member alive
again. The result is `short` if there is a false death, a death that not all detect, or a cost that grows with the
members.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing import Process, get_context
from multiprocessing.connection import Connection, wait
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "benchmarks")]

import cpu  # noqa: E402

from cometusher.cluster.host import ClusterHost  # noqa: E402
from cometusher.fleet.spec import ClusterSpec  # noqa: E402
from standins.load import quantile  # noqa: E402
from standins.ports import free_ports  # noqa: E402
from weldroute.members import MemberState, StateChange  # noqa: E402

MAX_GROWTH = 1.3  # messages of a member: the largest cluster over the smallest
STEP_TIMEOUT = 30.0  # seconds until an expected change is reported by all


def run_member(pipe: Connection, number: int, ports: list[int], secret: Path) -> None:
    """Run one member: reports each state change that it sees and, on request, the number of messages sent."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        own_address = f"127.0.0.1:{ports[number]}"
        spec = ClusterSpec(
            ("127.0.0.1", ports[number]), own_address, f"m{number}", (f"127.0.0.1:{ports[0]}",), secret
        )
        host = ClusterHost(spec, "bench", loop)
        sent = 0
        send = host.transport.send

        def counting_send(address: str, message: object) -> None:
            nonlocal sent
            sent += 1
            send(address, message)  # type: ignore[arg-type]

        def on_change(change: StateChange) -> None:
            pipe.send((time.monotonic(), number, change.record.name, change.record.state))

        host.transport.send = counting_send  # type: ignore[method-assign]
        host.runner.on_change = on_change
        stop_requested = asyncio.Event()

        def on_command() -> None:
            if pipe.recv():
                pipe.send((time.monotonic(), number, "", sent))
            else:
                stop_requested.set()

        loop.add_reader(pipe.fileno(), on_command)
        await host.start()
        await stop_requested.wait()

    asyncio.run(run())


@dataclass
class Result:
    """The results for one number of members."""

    count: int
    message_rate: float = 0.0  # messages a second, of each member
    cpu_share: float = 0.0  # processor seconds a second, of each member
    calm_suspicions: int = 0
    calm_deaths: int = 0
    kill_times: list[float] = field(default_factory=list)  # seconds until each other member detects the kill
    stop_times: list[float] = field(default_factory=list)  # seconds until each other member detects the stop
    back_seconds: float = 0.0  # until all consider the continued member alive

    def summary(self) -> str:
        """One line for people."""
        return (
            f"{self.count} members: {self.message_rate:.1f} messages/s and {100 * self.cpu_share:.2f}% of a core "
            "each, "
            f"{self.calm_suspicions} suspected and {self.calm_deaths} dead in calm; kill "
            f"{quantile(self.kill_times, 0.5):.2f} s (p50) "
            f"{quantile(self.kill_times, 0.99):.2f} s (p99), stop {quantile(self.stop_times, 0.5):.2f} s "
            f"{quantile(self.stop_times, 0.99):.2f} s, back {self.back_seconds:.2f} s"
        )


class MemberProcesses:
    """Member processes and the reports that they have sent."""

    def __init__(self, count: int, folder: Path) -> None:
        self.secret = folder / "key"
        self.secret.write_text("5f" * 32)
        self.secret.chmod(0o600)
        ports = free_ports(count)
        context = get_context("fork")
        self.pipes: list[Connection] = []
        self.processes: list[Process] = []
        self.reports: list[tuple[float, int, str, int]] = []
        for number in range(count):
            own_end, member_end = context.Pipe()
            process = context.Process(target=run_member, args=(member_end, number, ports, self.secret), daemon=True)
            process.start()
            member_end.close()
            self.pipes.append(own_end)
            self.processes.append(process)  # type: ignore[arg-type]

    def receive(self, seconds: float) -> None:
        """Receive reports for this many seconds."""
        end = time.monotonic() + seconds
        while (time_left := end - time.monotonic()) > 0.0:
            for pipe in wait(self.pipes, time_left):
                assert isinstance(pipe, Connection)
                try:
                    self.reports.append(pipe.recv())
                except EOFError:
                    self.pipes.remove(pipe)

    def receive_until(self, condition: Callable[[], bool]) -> bool:
        """Receive reports until a condition holds; returns whether it did within STEP_TIMEOUT."""
        end = time.monotonic() + STEP_TIMEOUT
        while time.monotonic() < end:
            if condition():
                return True
            self.receive(0.02)
        return False

    def last_state(self, observer: int, name: str) -> int | None:
        """The last state of another member that an observer has reported."""
        return next(
            (
                state
                for _, reporter, subject, state in reversed(self.reports)
                if (reporter, subject) == (observer, name)
            ),
            None,
        )

    def all_observe(self, name: str, state: MemberState, excluded: set[int]) -> bool:
        """Whether all other members, except those excluded, report a member in this state."""
        return all(
            self.last_state(index, name) == state
            for index in range(len(self.processes))
            if f"m{index}" != name and index not in excluded
        )

    def sent_counts(self) -> dict[int, int]:
        """Messages that each member has sent since its start."""
        first_report = len(self.reports)
        for pipe in self.pipes:
            pipe.send(True)
        self.receive_until(
            lambda: sum(subject == "" for _, _, subject, _ in self.reports[first_report:]) >= len(self.pipes)
        )
        return {reporter: count for _, reporter, subject, count in self.reports[first_report:] if subject == ""}

    def close(self) -> None:
        """Kill all members."""
        for process in self.processes:
            process.kill()
            process.join()


def detection_times(members: MemberProcesses, first_report: int, since: float, name: str) -> list[float]:
    """Seconds from `since` until each reporter considered the member dead, in ascending order."""
    detected: dict[int, float] = {}
    for reported_at, reporter, subject, state in members.reports[first_report:]:
        if subject == name and state == MemberState.DEAD:
            detected.setdefault(reporter, reported_at - since)
    return sorted(detected.values())


def measure(count: int, seconds: float) -> Result:
    """Measure a cluster of `count` members; raises SystemExit if they do not find each other."""
    result = Result(count)
    with tempfile.TemporaryDirectory(prefix="mesh-") as folder:
        members = MemberProcesses(count, Path(folder))
        try:
            if not members.receive_until(
                lambda: all(members.all_observe(f"m{index}", MemberState.ALIVE, set()) for index in range(count))
            ):
                raise SystemExit(f"{count} members do not find each other")
            members.receive(3.0)
            first_report, sent_before, begin = len(members.reports), members.sent_counts(), time.monotonic()
            cpu_times_before = [cpu.cpu_seconds(process.pid or 0) for process in members.processes]
            members.receive(seconds)
            sent_after, elapsed = members.sent_counts(), time.monotonic() - begin
            cpu_used = [
                cpu.cpu_seconds(process.pid or 0) - cpu_before
                for process, cpu_before in zip(members.processes, cpu_times_before, strict=True)
            ]
            result.message_rate = (
                sum(sent_after[index] - sent_before[index] for index in sent_after) / count / elapsed
            )
            result.cpu_share = sum(cpu_used) / count / elapsed
            calm = [state for _, _, subject, state in members.reports[first_report:] if subject]
            result.calm_suspicions, result.calm_deaths = calm.count(MemberState.SUSPECT), calm.count(MemberState.DEAD)
            for victim, number, detected in (
                (1, signal.SIGKILL, result.kill_times),
                (2, signal.SIGSTOP, result.stop_times),
            ):
                first_report, fault_time, excluded = len(members.reports), time.monotonic(), {1, victim}
                os.kill(members.processes[victim].pid or 0, number)
                name = f"m{victim}"
                members.receive_until(
                    lambda name=name, excluded=excluded: members.all_observe(name, MemberState.DEAD, excluded)  # type: ignore[misc]
                )
                detected += detection_times(members, first_report, fault_time, name)
            fault_time = time.monotonic()
            os.kill(members.processes[2].pid or 0, signal.SIGCONT)
            members.receive_until(lambda: members.all_observe("m2", MemberState.ALIVE, {1}))
            result.back_seconds = time.monotonic() - fault_time
        finally:
            members.close()
    return result


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="five seconds of calm for each count; under 50 s")
    parser.add_argument("--counts", default="6,12,24", help="numbers of members (6,12,24)")
    options = parser.parse_args()
    results = [measure(int(count), 5.0 if options.quick else 60.0) for count in options.counts.split(",")]
    for result in results:
        print(result.summary())
    smallest, largest = results[0], results[-1]
    growth = largest.message_rate / smallest.message_rate
    missed = [
        f"{result.count} members: {result.calm_deaths} dead in calm" for result in results if result.calm_deaths
    ]
    for result in results:
        if len(result.kill_times) < result.count - 1 or len(result.stop_times) < result.count - 2:
            missed.append(
                f"{result.count} members: a kill was detected by {len(result.kill_times)}, a stop by "
                f"{len(result.stop_times)}"
            )
    if growth > MAX_GROWTH:
        missed.append(f"messages of a member: {growth:.2f} times as many, limit {MAX_GROWTH}")
    for text in missed:
        print(text, file=sys.stderr)
    print(
        f"mesh: members={largest.count} messages_s={largest.message_rate:.1f} growth={growth:.2f} "
        f"cpu={largest.cpu_share:.4f} "
        f"suspected={sum(result.calm_suspicions for result in results)} "
        f"dead={sum(result.calm_deaths for result in results)} "
        f"kill_p50_s={quantile(largest.kill_times, 0.5):.2f} kill_p99_s={quantile(largest.kill_times, 0.99):.2f} "
        f"stop_p50_s={quantile(largest.stop_times, 0.5):.2f} stop_p99_s={quantile(largest.stop_times, 0.99):.2f} "
        f"back_s={largest.back_seconds:.2f} {'short' if missed else 'ok'}"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
