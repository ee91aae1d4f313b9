"""Instances that fail under a real supervisor: each fault is injected, and its outcome checked."""

from __future__ import annotations

import os
import signal
import socket
import threading
import time
from pathlib import Path

import pytest
from fleetrig import FleetRig, eventually, has_exited


@pytest.mark.parametrize("spawn", ["fork", "exec"])
def test_start_restart_and_stop_leave_no_process(fleet: FleetRig, spawn: str) -> None:
    fleet.fleet_table["spawn"] = spawn
    fleet.add("a", "b", "c")
    process = fleet.start()
    before = fleet.pids()
    done = fleet.fleet_command("restart")
    assert done.returncode == 0, done.stderr
    after = fleet.pids()
    assert not set(before.values()) & set(after.values())
    assert all(row["restarts"] == 0 and row["generation"] == 2 for row in fleet.status().values())
    done = fleet.fleet_command("stop", "b")
    assert done.returncode == 0 and fleet.status()["b"]["state"] == "stopped"
    done = fleet.fleet_command("start", "b")
    assert done.returncode == 0 and fleet.states() == {"ready"}
    done = fleet.fleet_command("stop")
    assert (done.returncode, process.wait()) == (0, 0)
    assert fleet.leftover_pids() == []


def test_instance_that_exits_at_once_fails_after_its_restart_budget(fleet: FleetRig) -> None:
    fleet.policy["budget"] = 3
    fleet.add("good", mode="ok")
    fleet.add("bad", mode="exits")
    fleet.write()
    process = fleet.launch()
    eventually(lambda: {n: r["state"] for n, r in fleet.status().items()} == {"good": "ready", "bad": "failed"})
    row = fleet.status()["bad"]
    assert row["last_exit"] == "code 3" and row["reason"].startswith("ended 4 times") and row["generation"] == 4
    assert fleet.log_text().count(" bad fleet.supervisor/exited") == 3  # the fourth exit is logged as the failure
    assert fleet.stop_supervisor(process) == 0


def test_instance_that_exits_after_it_was_ready_is_restarted(fleet: FleetRig) -> None:
    fleet.policy["budget"] = 4
    fleet.add("x", mode="exits-later")
    fleet.write()
    fleet.launch()
    eventually(lambda: fleet.states() == {"failed"})
    row = fleet.status()["x"]
    assert row["restarts"] == 4 and row["last_exit"] == "code 4"


def test_instance_that_never_gets_ready_is_killed(fleet: FleetRig) -> None:
    fleet.policy |= {"budget": 1, "ready_within": 0.3}
    fleet.add("x", mode="mute")
    fleet.write()
    fleet.launch()
    eventually(lambda: fleet.states() == {"failed"})
    row = fleet.status()["x"]
    assert "not ready within 0.3 s" in row["reason"] and row["last_exit"] == "signal 9"


def test_instance_that_ignores_sigterm_is_killed_after_the_deadline(fleet: FleetRig) -> None:
    fleet.policy["stop_within"] = 0.3
    fleet.add("x", mode="stubborn")
    fleet.add("y", mode="ok")
    process = fleet.start()
    pids = fleet.pids()
    assert fleet.stop_supervisor(process) == 0
    assert all(has_exited(pid) for pid in pids.values())
    assert "x fleet.supervisor/killed: did not end within 0.3 s" in fleet.log_text()
    assert "y fleet.supervisor/killed" not in fleet.log_text()


def test_stopped_instance_is_hung_and_replaced(fleet: FleetRig) -> None:
    """SIGSTOP: the process is alive and its listener accepts, but it answers nothing and uses no processor time."""
    fleet.policy["hang_after"] = 2.5
    fleet.add("a", "b")
    fleet.start()
    before = fleet.pids()
    os.kill(before["a"], signal.SIGSTOP)
    eventually(lambda: fleet.status().get("a", {}).get("restarts") == 1 and fleet.states() == {"ready"})
    after = fleet.pids()
    assert has_exited(before["a"]) and after["a"] != before["a"] and after["b"] == before["b"]
    assert "hung: no sign of life" in fleet.log_text()
    assert fleet.status()["a"]["last_exit"] == "signal 9"


def test_pause_of_the_supervisor_replaces_no_instance(fleet: FleetRig) -> None:
    fleet.policy["hang_after"] = 1.0
    fleet.add("a", "b")
    process = fleet.start()
    before = fleet.pids()
    process.send_signal(signal.SIGSTOP)
    time.sleep(3.5)  # longer than hang_after and than a slow tick
    process.send_signal(signal.SIGCONT)
    eventually(lambda: "the supervisor itself was paused" in fleet.log_text())
    eventually(lambda: fleet.states() == {"ready"})
    assert fleet.pids() == before


def test_busy_instance_is_not_replaced(fleet: FleetRig) -> None:
    """It answers nothing for longer than `hang_after`, like a stopped one, but uses the processor."""
    fleet.policy |= {"hang_after": 0.6, "busy_limit": 60.0}
    fleet.add("x", mode="busy")
    fleet.write()
    fleet.launch()
    eventually(lambda: fleet.states() == {"busy"})
    eventually(lambda: fleet.states() == {"ready"})
    row = fleet.status()["x"]
    assert row["restarts"] == 0 and row["generation"] == 1


def test_instance_with_heartbeats_that_answers_nothing_is_replaced(fleet: FleetRig) -> None:
    fleet.policy |= {"hang_after": 0.5, "busy_limit": 1.5, "budget": 1}
    fleet.add("x", mode="deaf")
    fleet.write()
    fleet.launch()
    eventually(lambda: fleet.states() == {"failed"})
    assert "alive, but no request answered" in fleet.status()["x"]["reason"]


def test_killed_instance_is_restarted_and_its_listener_never_refuses(fleet: FleetRig) -> None:
    fleet.add("a")
    fleet.start()
    for round_ in range(1, 4):
        os.kill(fleet.pids()["a"], signal.SIGKILL)
        with socket.create_connection(
            ("127.0.0.1", fleet.port("a"))
        ) as sock:  # refused unless the supervisor keeps the listener open
            sock.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
            sock.settimeout(20.0)
            assert sock.recv(100).startswith(b"HTTP/1.1 200")
        while fleet.status()["a"]["restarts"] < round_ or fleet.states() != {"ready"}:
            time.sleep(0.01)
    assert fleet.status()["a"]["last_exit"] == "signal 9"


def test_process_group_of_an_instance_ends_with_it(fleet: FleetRig) -> None:
    """A command starts a helper and is killed; the helper must not survive it."""
    note = fleet.folder / "helper"
    script = f'sleep 1000 & echo $! > {note}.new; mv {note}.new {note}; exec "$0" "$@"'
    fleet.add("x", mode="ok")
    fleet.instances["x"]["command"] = ["/bin/sh", "-c", script, *fleet.instances["x"]["command"]]
    fleet.start()
    helper = int(note.read_text())
    assert not has_exited(helper)
    note.unlink()
    os.kill(fleet.pids()["x"], signal.SIGKILL)
    eventually(lambda: has_exited(helper))


def test_instance_over_its_memory_limit_is_replaced(fleet: FleetRig) -> None:
    fleet.policy["budget"] = 1
    fleet.add("x", mode="ok", memory_mb=32)
    python, path, *_ = fleet.instances["x"]["command"]
    body = "import runpy, sys; held = bytearray(200 << 20); sys.argv = ['x', 'ok']; "
    body += f"runpy.run_path({path!r}, {{}}, '__main__')"
    fleet.instances["x"]["command"] = [python, "-c", body]
    fleet.write()
    fleet.launch()
    eventually(lambda: fleet.states() == {"failed"})
    row = fleet.status()["x"]
    assert "out of memory" in row["last_exit"] and "over 32 MB" in row["reason"]


def test_sigterm_during_the_start_ends_all_processes(fleet: FleetRig) -> None:
    fleet.policy["ready_within"] = 1000.0
    fleet.add(*(f"m{i}" for i in range(4)), mode="mute")
    fleet.write()
    process = fleet.launch()
    eventually(lambda: fleet.states() == {"starting"})
    pids = fleet.pids()
    assert len(pids) == 4
    assert fleet.stop_supervisor(process) == 0
    assert all(has_exited(pid) for pid in pids.values()) and fleet.leftover_pids() == []


def test_no_process_outlives_a_killed_supervisor(fleet: FleetRig) -> None:
    """Ten instances end by themselves, one of them after the kernel has continued it; one ignores everything, and the
    next supervisor kills only that one."""
    fleet.policy["stop_within"] = 4.0
    fleet.add(*(f"p{i}" for i in range(10)))
    fleet.add("deaf", mode="stuck")
    process = fleet.start()
    before = fleet.pids()
    os.kill(before["p3"], signal.SIGSTOP)  # its group is orphaned, and continued (POSIX, exit())
    process.kill()
    process.wait()
    left = before.pop("deaf")
    eventually(lambda: all(has_exited(pid) for pid in before.values()))
    assert not has_exited(left)
    fleet.start()
    assert has_exited(left) and f"pid {left} of an earlier supervisor does not end; killed" in fleet.log_text()
    assert not set(fleet.pids().values()) & set(before.values())


def test_next_supervisor_waits_for_the_ports(fleet: FleetRig) -> None:
    """One instance is stopped, so that it still exists when the next supervisor starts."""
    fleet.add("a", "b")
    process = fleet.start()
    held = fleet.pids()["a"]
    process.kill()
    process.wait()
    # Not earlier: the kernel continues stopped processes of a group that becomes orphaned (setpgid(2), SIGCONT).
    os.kill(held, signal.SIGSTOP)

    def let_go() -> None:
        end = time.monotonic() + 20.0
        while "of an earlier supervisor are ending" not in fleet.log_text() and time.monotonic() < end:
            time.sleep(0.02)
        os.kill(held, signal.SIGCONT)

    watcher = threading.Thread(target=let_go)
    watcher.start()
    fleet.start()
    watcher.join()
    assert "of an earlier supervisor are ending" in fleet.log_text()


def test_rolling_restart_halts_when_a_replacement_fails(fleet: FleetRig) -> None:
    flag = fleet.folder / "bad"
    fleet.add(*(f"x{i}" for i in range(5)), mode="flag", value=str(flag))
    fleet.start()
    before = fleet.pids()
    flag.touch()
    done = fleet.fleet_command("restart")
    assert done.returncode == 1
    assert b"the replacement exited with code 5" in done.stderr and b"halted" in done.stderr
    assert done.stderr.count(b"\n") == 1
    assert fleet.pids() == before and fleet.states() == {"ready"}
    flag.unlink()
    assert fleet.fleet_command("restart").returncode == 0
    assert not set(fleet.pids().values()) & set(before.values())


def test_repeated_reload_continues_where_it_halted(fleet: FleetRig) -> None:
    flag = fleet.folder / "bad"
    fleet.policy["at_once"] = 1
    fleet.add(*(f"x{i}" for i in range(3)), mode="flag", value=str(flag))
    fleet.start()
    before = fleet.pids()
    for values in fleet.instances.values():
        values["sockets"] = 512
    fleet.write()
    flag.touch()
    done = fleet.fleet_command("reload")
    assert done.returncode == 1 and b"halted: 2 left unchanged" in done.stderr
    assert fleet.pids() == before
    flag.unlink()
    done = fleet.fleet_command("reload")
    assert done.returncode == 0 and b"3 of 3 done" in done.stdout
    assert not set(fleet.pids().values()) & set(before.values())
    assert b"0 of 0 done" in fleet.fleet_command("reload").stdout


def test_instances_hold_no_descriptors_of_the_supervisor(fleet: FleetRig) -> None:
    """An instance with another's lifeline, or with the lock, would keep it open after the supervisor has exited."""
    fleet.add("a", "b", "c")
    process = fleet.start()
    fleet.fleet_command("restart")
    pipes = {pid: pipes_of(pid) for pid in fleet.pids().values()}
    supervisor = pipes_of(process.pid)
    for pid, held in pipes.items():
        assert len(held & supervisor) == 3  # output, status, lifeline
        assert not any(held & other for at, other in pipes.items() if at != pid)
        links = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
        assert not any("supervisor.lock" in link or link.endswith("fleet.log") for link in links)
        assert os.getpgid(pid) == pid and Path(f"/proc/{pid}/stat").read_text().split()[3] == str(process.pid)


def pipes_of(pid: int) -> set[str]:
    links = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
    return {link for link in links if link.startswith("pipe:")}
