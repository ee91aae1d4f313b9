"""Members of many machines on their links: what they cost, and how soon a kill and a stop are known to all.

    python benchmarks/mesh.py [--quick] [--counts 6,12,24]

Each member is a process with its links to the others over loopback, and nothing else. For each count: messages and
processor time of a member in calm, suspicions and deaths that nothing caused; then one is killed, and one is stopped
and goes on. To notice is, for each of the others, from the deed until it holds that one for dead. Back is until all
hold the one that goes on for alive. Short: a death that nothing caused, one that was not noticed by all, or a cost
that grows with the members.
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

AIM_GROWTH = 1.3  # of messages a member, from the fewest members to the most
PATIENCE = 30.0  # seconds for whatever has to be seen


def member(pipe: Connection, number: int, ports: list[int], secret: Path) -> None:
    """One process: tells of each change that it sees, and of its messages when it is asked."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        own = f"127.0.0.1:{ports[number]}"
        spec = ClusterSpec(("127.0.0.1", ports[number]), own, f"m{number}", (f"127.0.0.1:{ports[0]}",), secret)
        mesh = ClusterHost(spec, "bench", loop)
        sent = 0
        send = mesh.transport.send

        def counted(address: str, message: object) -> None:
            nonlocal sent
            sent += 1
            send(address, message)  # type: ignore[arg-type]

        def changed(change: StateChange) -> None:
            pipe.send((time.monotonic(), number, change.record.name, change.record.state))

        mesh.transport.send = counted  # type: ignore[method-assign]
        mesh.runner.on_change = changed
        asked = asyncio.Event()

        def ask() -> None:
            if pipe.recv():
                pipe.send((time.monotonic(), number, "", sent))
            else:
                asked.set()

        loop.add_reader(pipe.fileno(), ask)
        await mesh.start()
        await asked.wait()

    asyncio.run(run())


@dataclass
class Found:
    """Of one count of members."""

    count: int
    messages: float = 0.0  # a second, of each
    cpu: float = 0.0  # seconds a second, of each
    suspected: int = 0
    dead: int = 0
    kill: list[float] = field(default_factory=list)
    stop: list[float] = field(default_factory=list)
    back: float = 0.0

    def line(self) -> str:
        """For people."""
        return (
            f"{self.count} members: {self.messages:.1f} messages/s and {100 * self.cpu:.2f}% of a core each, "
            f"{self.suspected} suspected and {self.dead} dead in calm; kill {quantile(self.kill, 0.5):.2f} s (p50) "
            f"{quantile(self.kill, 0.99):.2f} s (p99), stop {quantile(self.stop, 0.5):.2f} s "
            f"{quantile(self.stop, 0.99):.2f} s, back {self.back:.2f} s"
        )


class Crowd:
    """So many member processes, and what they tell."""

    def __init__(self, count: int, folder: Path) -> None:
        self.secret = folder / "key"
        self.secret.write_text("5f" * 32)
        self.secret.chmod(0o600)
        ports = free_ports(count)
        context = get_context("fork")
        self.pipes: list[Connection] = []
        self.processes: list[Process] = []
        self.told: list[tuple[float, int, str, int]] = []
        for number in range(count):
            mine, theirs = context.Pipe()
            process = context.Process(target=member, args=(theirs, number, ports, self.secret), daemon=True)
            process.start()
            theirs.close()
            self.pipes.append(mine)
            self.processes.append(process)  # type: ignore[arg-type]

    def hear(self, seconds: float) -> None:
        """Take in what comes within such a time."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0.0:
            for pipe in wait(self.pipes, left):
                assert isinstance(pipe, Connection)
                try:
                    self.told.append(pipe.recv())
                except EOFError:
                    self.pipes.remove(pipe)

    def until(self, condition: Callable[[], bool]) -> bool:
        """Take in until it is so; whether it came to be."""
        end = time.monotonic() + PATIENCE
        while time.monotonic() < end:
            if condition():
                return True
            self.hear(0.02)
        return False

    def last(self, observer: int, name: str) -> int | None:
        """What a member holds of another."""
        return next((state for _, who, of, state in reversed(self.told) if (who, of) == (observer, name)), None)

    def all_see(self, name: str, state: MemberState, but: set[int]) -> bool:
        """Whether all others do."""
        return all(
            self.last(i, name) == state for i in range(len(self.processes)) if f"m{i}" != name and i not in but
        )

    def sent(self) -> dict[int, int]:
        """Messages of each since its start."""
        mark = len(self.told)
        for pipe in self.pipes:
            pipe.send(True)
        self.until(lambda: sum(of == "" for _, _, of, _ in self.told[mark:]) >= len(self.pipes))
        return {who: count for _, who, of, count in self.told[mark:] if of == ""}

    def close(self) -> None:
        """End all."""
        for process in self.processes:
            process.kill()
            process.join()


def noticed(crowd: Crowd, mark: int, at: float, name: str) -> list[float]:
    """Seconds from a moment until each held that one for dead."""
    first: dict[int, float] = {}
    for when, who, of, state in crowd.told[mark:]:
        if of == name and state == MemberState.DEAD:
            first.setdefault(who, when - at)
    return sorted(first.values())


def measure(count: int, seconds: float) -> Found:
    """So many members."""
    found = Found(count)
    with tempfile.TemporaryDirectory(prefix="mesh-") as folder:
        crowd = Crowd(count, Path(folder))
        try:
            if not crowd.until(lambda: all(crowd.all_see(f"m{i}", MemberState.ALIVE, set()) for i in range(count))):
                raise SystemExit(f"{count} members do not find each other")
            crowd.hear(3.0)
            mark, before, begin = len(crowd.told), crowd.sent(), time.monotonic()
            used = [cpu.on_cpu(process.pid or 0) for process in crowd.processes]
            crowd.hear(seconds)
            after, passed = crowd.sent(), time.monotonic() - begin
            spent = [cpu.on_cpu(process.pid or 0) - was for process, was in zip(crowd.processes, used, strict=True)]
            found.messages = sum(after[i] - before[i] for i in after) / count / passed
            found.cpu = sum(spent) / count / passed
            calm = [state for _, _, of, state in crowd.told[mark:] if of]
            found.suspected, found.dead = calm.count(MemberState.SUSPECT), calm.count(MemberState.DEAD)
            for victim, number, times in ((1, signal.SIGKILL, found.kill), (2, signal.SIGSTOP, found.stop)):
                mark, at, gone = len(crowd.told), time.monotonic(), {1, victim}
                os.kill(crowd.processes[victim].pid or 0, number)
                name = f"m{victim}"
                crowd.until(lambda name=name, gone=gone: crowd.all_see(name, MemberState.DEAD, gone))  # type: ignore[misc]
                times += noticed(crowd, mark, at, name)
            at = time.monotonic()
            os.kill(crowd.processes[2].pid or 0, signal.SIGCONT)
            crowd.until(lambda: crowd.all_see("m2", MemberState.ALIVE, {1}))
            found.back = time.monotonic() - at
        finally:
            crowd.close()
    return found


def main() -> int:
    """Returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else None)
    parser.add_argument("--quick", action="store_true", help="five seconds of calm for each count; under 50 s")
    parser.add_argument("--counts", default="6,12,24", help="of members (6,12,24)")
    options = parser.parse_args()
    found = [measure(int(count), 5.0 if options.quick else 60.0) for count in options.counts.split(",")]
    for one in found:
        print(one.line())
    few, many = found[0], found[-1]
    growth = many.messages / few.messages
    short = [f"{one.count} members: {one.dead} dead in calm" for one in found if one.dead]
    for one in found:
        if len(one.kill) < one.count - 1 or len(one.stop) < one.count - 2:
            short.append(f"{one.count} members: a kill was noticed by {len(one.kill)}, a stop by {len(one.stop)}")
    if growth > AIM_GROWTH:
        short.append(f"messages of a member: {growth:.2f} times as many, aim {AIM_GROWTH}")
    for fault in short:
        print(fault, file=sys.stderr)
    print(
        f"mesh: members={many.count} messages_s={many.messages:.1f} growth={growth:.2f} cpu={many.cpu:.4f} "
        f"suspected={sum(one.suspected for one in found)} dead={sum(one.dead for one in found)} "
        f"kill_p50_s={quantile(many.kill, 0.5):.2f} kill_p99_s={quantile(many.kill, 0.99):.2f} "
        f"stop_p50_s={quantile(many.stop, 0.5):.2f} stop_p99_s={quantile(many.stop, 0.99):.2f} "
        f"back_s={many.back:.2f} {'short' if short else 'ok'}"
    )
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(main())
