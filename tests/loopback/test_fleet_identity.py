"""A state directory and an address have one supervisor, whatever files say; stale identities are never trusted."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import orjson
import pytest
from fleetrig import TIMEOUT, FleetRig, eventually, has_exited

from cometusher.fleet.identity import Identity, boot_id, read_stat


def start_unrelated_process() -> subprocess.Popen[bytes]:
    """Start a process that does not belong to the fleet."""
    return subprocess.Popen([sys.executable, "-c", "import time; time.sleep(1000)"])


@pytest.mark.parametrize("wrong", ["started", "boot", "uid"])
def test_process_with_a_reused_pid_is_not_signalled(fleet: FleetRig, wrong: str) -> None:
    other = start_unrelated_process()
    try:
        identity = Identity.of(other.pid)
        assert identity is not None
        values = identity.as_values()
        values[wrong] = "another boot" if wrong == "boot" else values[wrong] + 1
        fleet.state.mkdir(mode=0o700)
        (fleet.state / "supervisor.pid").write_bytes(orjson.dumps(values | {"since": 0}))
        (fleet.state / "instances.json").write_bytes(orjson.dumps([values | {"name": "a"}]))
        fleet.add("a", mode="ok")
        process = fleet.start()
        assert "earlier supervisor" not in fleet.log_text()
        assert fleet.stop_supervisor(process) == 0
        assert not has_exited(other.pid)
    finally:
        other.kill()
        other.wait()


def test_process_with_the_identity_of_a_roster_entry_is_killed(fleet: FleetRig) -> None:
    """The counterpart of the test above: if the whole identity matches, the next supervisor kills the process."""
    other = start_unrelated_process()
    identity = Identity.of(other.pid)
    assert identity is not None
    fleet.state.mkdir(mode=0o700)
    (fleet.state / "instances.json").write_bytes(orjson.dumps([identity.as_values() | {"name": "a"}]))
    fleet.policy["stop_within"] = 0.2
    fleet.add("a", mode="ok")
    fleet.start()
    assert other.wait(timeout=TIMEOUT) == -signal.SIGKILL


#: Listens, and exits only its first thread: a zombie by its state, while the other thread keeps the listener open.
FIRST_THREAD_EXITS = """
import ctypes, socket, sys, threading, time
listener = socket.create_server(("127.0.0.1", int(sys.argv[1])))
threading.Thread(target=time.sleep, args=(1000,)).start()
ctypes.CDLL(None).syscall(60 if sys.argv[2] == "x86_64" else 93, 0)  # exit(2), of the calling thread only
"""


def test_process_with_a_running_thread_is_waited_for(fleet: FleetRig) -> None:
    """As with a killed process whose record writer waits for the disk: its listeners stay open until then."""
    fleet.add("a", mode="ok")
    other = subprocess.Popen([sys.executable, "-c", FIRST_THREAD_EXITS, str(fleet.port("a")), os.uname().machine])
    eventually(lambda: (stat := read_stat(other.pid)) is not None and stat.state == "Z")
    identity = Identity.of(other.pid)
    assert identity is not None and identity.is_alive()
    fleet.state.mkdir(mode=0o700)
    (fleet.state / "instances.json").write_bytes(orjson.dumps([identity.as_values() | {"name": "a"}]))
    fleet.policy["stop_within"] = 0.2
    fleet.start()
    assert other.wait(timeout=TIMEOUT) == -signal.SIGKILL
    assert not identity.is_alive()


@pytest.mark.parametrize("content", [b"", b'{"pid": 12', b"\xff\x00", b"[]", b'{"pid": 1}', b'{"pid": -1}'])
def test_invalid_state_files_do_not_prevent_a_start(fleet: FleetRig, content: bytes) -> None:
    fleet.state.mkdir(mode=0o700)
    for name in ("supervisor.pid", "instances.json"):
        (fleet.state / name).write_bytes(content)
    fleet.add("a", mode="ok")
    process = fleet.start()
    assert Identity.parse(orjson.loads((fleet.state / "supervisor.pid").read_bytes())) == Identity.of(process.pid)


def test_lock_holder_is_named_although_its_pid_file_is_empty(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    process = fleet.start()
    (fleet.state / "supervisor.pid").write_bytes(b"")
    second = fleet.fleet_command("start")
    assert second.returncode == 1 and second.stderr.count(b"\n") == 1
    assert f"held by another supervisor, pid {process.pid}".encode() in second.stderr
    assert fleet.states() == {"ready"}  # the first supervisor is not disturbed


def test_one_of_two_simultaneous_supervisors_starts(fleet: FleetRig) -> None:
    """Twenty times: exactly one starts; the other names it and exits with 1."""
    fleet.add("a", mode="ok")
    fleet.write()
    for _ in range(20):
        two = [fleet.launch(), fleet.launch()]
        eventually(lambda pair=tuple(two): any(p.poll() is not None for p in pair))  # type: ignore[misc]
        loser, winner = sorted(two, key=lambda p: p.poll() is None)
        assert loser.returncode == 1
        text = loser.communicate()[1]
        assert f"held by another supervisor, pid {winner.pid}".encode() in text, text
        eventually(lambda: fleet.states() == {"ready"})
        assert fleet.stop_supervisor(winner) == 0
    assert fleet.leftover_pids() == []


def test_one_of_two_fleets_with_the_same_port_starts(fleet: FleetRig, tmp_path: Path) -> None:
    """Two state directories, one address: only one supervisor gets it."""
    fleet.add("a", mode="ok")
    text = fleet.write().read_text()
    for i in range(5):
        files = []
        for name in ("one", "two"):
            path = fleet.folder / f"{name}.toml"
            path.write_text(text.replace('state = "s"', f'state = "{name}{i}"'))
            files.append(path)
        two = []
        for path in files:
            fleet.file = path
            two.append(fleet.launch())
        eventually(lambda pair=tuple(two): any(p.poll() is not None for p in pair))  # type: ignore[misc]
        loser, winner = sorted(two, key=lambda p: p.poll() is None)
        text_ = loser.communicate()[1]
        assert loser.returncode == 1 and f"127.0.0.1:{fleet.port('a')} is taken by pid".encode() in text_, text_
        assert fleet.stop_supervisor(winner) == 0


def test_port_in_use_is_reported_with_its_process(fleet: FleetRig) -> None:
    fleet.add("a", "b", mode="ok")
    with socket.create_server(("127.0.0.1", fleet.port("b"))):
        fleet.write()
        done = fleet.fleet_command("start")
    assert done.returncode == 1 and done.stderr.count(b"\n") == 1
    assert f"b: 127.0.0.1:{fleet.port('b')} is taken by pid {os.getpid()} (".encode() in done.stderr
    assert fleet.leftover_pids() == []


@pytest.mark.parametrize("problem", ["no folder", "others may write"])
def test_unusable_state_directory_is_reported(fleet: FleetRig, problem: str) -> None:
    fleet.add("a", mode="ok")
    if problem == "no folder":
        (fleet.folder / "s").write_bytes(b"a file")
    else:
        fleet.state.mkdir()
        fleet.state.chmod(0o777)
    fleet.write()
    done = fleet.fleet_command("start")
    assert done.returncode == 2 and done.stderr.count(b"\n") == 1
    assert f"state directory {fleet.state}".encode() in done.stderr


def test_daemon_command_returns_when_the_fleet_is_ready(fleet: FleetRig) -> None:
    fleet.add("a", "b")
    fleet.write()
    done = fleet.fleet_command("start", "--daemon")
    assert done.returncode == 0 and b"2 of 2 done" in done.stdout
    rows = fleet.status()
    assert {row["state"] for row in rows.values()} == {"ready"}
    pid = int(orjson.loads((fleet.state / "supervisor.pid").read_bytes())["pid"])
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    session, terminal = int(fields[3]), int(fields[4])
    assert (
        session not in (pid, os.getsid(0)) and terminal == 0
    )  # not the session's leader: it can't acquire a terminal
    assert os.readlink(f"/proc/{pid}/cwd") == "/"
    assert {os.readlink(f"/proc/{pid}/fd/{fd}") for fd in (0, 1, 2)} == {"/dev/null"}
    assert "Umask:\t0027" in Path(f"/proc/{pid}/status").read_text()
    assert fleet.fleet_command("stop").returncode == 0
    assert has_exited(pid) and fleet.leftover_pids() == []


def test_daemon_that_cannot_start_reports_it_to_the_caller(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    with socket.create_server(("127.0.0.1", fleet.port("a"))):
        fleet.write()
        done = fleet.fleet_command("start", "--daemon")
    assert done.returncode == 1 and b"is taken by pid" in done.stderr
    fleet.logging = {"target": "stderr"}
    fleet.write()
    done = fleet.fleet_command("start", "--daemon")
    assert done.returncode == 2 and b"log.target" in done.stderr


def test_identity_distinguishes_processes_with_the_same_pid() -> None:
    mine = Identity.of(os.getpid())
    assert mine is not None and mine.is_alive() and mine.boot == boot_id()
    later = Identity(mine.pid, mine.started + 1, mine.boot, mine.uid)
    assert not later.is_alive() and not later.signal(0)
    child = start_unrelated_process()
    identity = Identity.of(child.pid)
    child.kill()
    assert identity is not None
    eventually(lambda: not identity.is_alive())  # a zombie is not alive
    child.wait()
    assert Identity.of(child.pid) is None
