"""Reload, control socket, logs and service manager of a fleet, and their failures."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import stat
import subprocess
import sys
import threading
from pathlib import Path

import orjson
import pytest
from fleetrig import FleetRig, eventually
from rig import Backend, Message, Writer, serve_ok

from cometusher.fleet import control
from cometusher.fleet.control import ControlServer, send_request
from cometusher.fleet.supervisor import ProbeResult, probe
from standins.discovery import HostList
from standins.load import Load, LoadClass
from standins.ports import free_ports

# ---- reload ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("break_it", "named"),
    [
        (lambda text: text + "[[instance]\n", "not TOML"),
        (lambda text: text.replace('name = "b"', 'nmae = "b"'), "instance[1].name: missing; is nmae meant to be it?"),
        (lambda text: text.replace("budget = 50", 'budget = "many"'), "policy.budget: 'many' is not a whole number"),
        (lambda text: text.replace("proxy.json", "broken.json"), "instance[0].config"),
        (lambda text: text.replace('name = "b"', 'name = "a"'), "instance[1].name: 'a' is there twice"),
        (lambda text: text.replace('state = "s"', 'state = "other"'), "fleet.state"),
        (lambda text: "", "fleet.state: missing"),
    ],
)
def test_invalid_file_changes_nothing_and_the_error_names_it(fleet: FleetRig, break_it, named: str) -> None:  # type: ignore[no-untyped-def]
    fleet.add("a", "b")
    (fleet.folder / "broken.json").write_bytes(b'{"settings": ')
    fleet.start()
    before = fleet.status()
    text = fleet.file.read_text()
    fleet.file.write_text(break_it(text))
    assert send_request(fleet.control, "status", 10.0)["fleet"] == "t"
    with pytest.raises(control.ControlError) as refused:
        send_request(fleet.control, "reload", 10.0)
    assert named in str(refused.value) and str(refused.value).startswith(str(fleet.file))
    after = fleet.status()
    for row in (*before.values(), *after.values()):
        for moving in ("since", "memory", "descriptors", "requests"):
            row.pop(moving)
    assert after == before
    fleet.file.write_text(text)
    assert fleet.fleet_command("reload").returncode == 0


def test_reload_adds_removes_reconfigures_and_replaces(fleet: FleetRig) -> None:
    """Each instance gets the least disruptive step that its change needs."""
    fleet.add("same", "reloaded", "replaced", "removed")
    process = fleet.start()
    before = fleet.status()
    fleet.instances["reloaded"]["discovery"] = "127.0.0.1:10"
    fleet.instances["replaced"]["tier"] = 0
    del fleet.instances["removed"]
    fleet.add("added")
    fleet.write()
    done = fleet.fleet_command("reload")
    assert done.returncode == 0, done.stderr
    after = fleet.status()
    assert set(after) == {"same", "reloaded", "replaced", "added"}
    assert {row["state"] for row in after.values()} == {"ready"}
    assert after["same"]["pid"] == before["same"]["pid"] and after["same"]["version"] == before["same"]["version"]
    assert (
        after["reloaded"]["pid"] == before["reloaded"]["pid"]
        and after["reloaded"]["version"] != before["reloaded"]["version"]
    )
    assert after["replaced"]["pid"] != before["replaced"]["pid"]
    assert "discovery is at 127.0.0.1:10" in fleet.log_text()
    files = {path.name for path in fleet.state.glob("instance-*.json")}
    assert files == {f"instance-{name}.json" for name in after}
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", int(before["removed"]["listen"].rpartition(":")[2])))
    process.send_signal(signal.SIGHUP)
    eventually(lambda: "0 instances change" in fleet.log_text())


def test_each_instance_keeps_its_ring_position_while_it_runs(fleet: FleetRig) -> None:
    """Adding or removing other instances changes no process: positions are set at a start, and kept by reloads."""
    fleet.add("a", "b", "c", "d")
    fleet.add("behind", tier=0)
    fleet.start()

    def ring_positions() -> dict[str, tuple[int, int]]:
        found = {}
        for name in fleet.instances:
            settings = orjson.loads((fleet.state / f"instance-{name}.json").read_bytes())["settings"]
            found[name] = settings["Ordinal"], settings["Instances"]
        return found

    before, pids = ring_positions(), fleet.pids()
    assert before == {"a": (0, 4), "b": (1, 4), "c": (2, 4), "d": (3, 4), "behind": (0, 1)}
    del fleet.instances["a"]
    fleet.instances["c"]["discovery"] = "127.0.0.1:10"
    fleet.write()
    assert fleet.fleet_command("reload").returncode == 0
    assert ring_positions() == {name: position for name, position in before.items() if name != "a"}
    assert fleet.pids() == {name: pid for name, pid in pids.items() if name != "a"}
    assert "waits for the next start" not in fleet.log_text()


def test_instance_removed_and_added_again_during_a_restart_runs(fleet: FleetRig) -> None:
    """Two reloads wait for a restart; the first removes an instance, the second adds it again."""
    fleet.policy["at_once"] = 1
    fleet.add("x", *(f"p{i}" for i in range(3)), mode="ok")
    process = fleet.start()
    before = fleet.pids()
    text = fleet.file.read_text()
    restart = subprocess.Popen(
        fleet.command_line("fleet", "restart", "-c", str(fleet.file)),
        cwd=fleet.folder,
        stdout=subprocess.DEVNULL,
        env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent.parent)},
    )
    eventually(lambda: any(row["generation"] == 2 for row in fleet.status().values()))
    x = fleet.instances.pop("x")
    fleet.write()
    process.send_signal(signal.SIGHUP)
    eventually(lambda: "1 instances change" in fleet.log_text())
    fleet.instances["x"] = x
    fleet.file.write_text(text)
    assert fleet.fleet_command("reload").returncode == 0
    assert restart.wait(timeout=60) == 0
    eventually(lambda: fleet.states() == {"ready"})
    assert set(fleet.status()) == set(before) and fleet.pids()["x"] != before["x"]


def test_reload_with_a_new_port_in_use_changes_nothing(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    fleet.start()
    before = fleet.pids()
    fleet.add("b", "c", mode="ok")
    fleet.write()
    with socket.create_server(("127.0.0.1", fleet.port("c"))):
        done = fleet.fleet_command("reload")
    assert done.returncode == 1 and b"c: 127.0.0.1" in done.stderr and b"taken by pid" in done.stderr
    assert fleet.pids() == before
    with socket.create_server(("127.0.0.1", fleet.port("b"))):
        pass  # b's listener was closed again


def test_reload_during_a_rolling_restart_is_applied_after_it(fleet: FleetRig) -> None:
    fleet.policy["at_once"] = 1
    fleet.add(*(f"p{i}" for i in range(4)))
    process = fleet.start()
    before = fleet.pids()
    restart = asyncio.run(restart_and_reload(fleet))
    assert restart == [0, 0]
    rows = fleet.status()
    assert not {row["pid"] for row in rows.values()} & set(before.values())
    assert {row["state"] for row in rows.values()} == {"ready"}
    log = fleet.log_text()
    assert log.index("operation: restart: 4 of 4 done") < log.index("operation: reload: 4 of 4 done")
    assert process.poll() is None


async def restart_and_reload(fleet: FleetRig) -> list[int | None]:
    async def command(action: str) -> int | None:
        process = await asyncio.create_subprocess_exec(
            *fleet.command_line("fleet", action, "-c", str(fleet.file)),
            cwd=fleet.folder,
            env=os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent.parent)},
        )
        return await process.wait()

    restart = asyncio.create_task(command("restart"))
    while not any(row["generation"] == 2 for row in fleet.status().values()):
        await asyncio.sleep(0.01)
    fleet.common["discovery"] = "127.0.0.1:10"
    fleet.write()
    return list(await asyncio.gather(restart, command("reload")))


def test_rolling_restart_under_load_loses_and_refuses_nothing(fleet: FleetRig) -> None:
    """No connection is refused either: the new process has the listener before the old one closes it, and a list of
    backends before it accepts the first request.

    Four backends answer in 20 ms, so that a few milliseconds of delay on a busy machine do not count as slowness.
    With answers of 0.4 ms they would (latency ratio); with a single backend its breaker would refuse the request.
    """

    async def steady(backend: Backend, seen: Message, writer: Writer) -> None:
        await asyncio.sleep(0.02)
        await serve_ok(backend, seen, writer)

    async def test() -> None:
        backends = [Backend(number, steady) for number in range(1, 5)]
        for backend in backends:
            await backend.start()
        hosts = HostList([backend.discovery_entry() for backend in backends])
        hosts.delay = 0.4
        await hosts.start()
        fleet.common["discovery"] = f"127.0.0.1:{hosts.port}"
        fleet.add("a", "b")
        await asyncio.to_thread(fleet.start)
        fronts = [("127.0.0.1", fleet.port(name)) for name in ("a", "b")]
        load = Load(
            fronts, [LoadClass("view", 0.6, 5.0, False), LoadClass("submit", 0.4, 5.0, True)], ["acme"], 300.0, seed=1
        )
        stop = asyncio.Event()
        running = asyncio.create_task(load.run(stop))
        while load.counters.served < 50:
            await asyncio.sleep(0.01)
        for _ in range(2):
            done = await asyncio.to_thread(fleet.fleet_command, "restart")
            assert done.returncode == 0, done.stderr
        while not all(row["requests"]["served"] for row in fleet.status().values()):
            await asyncio.sleep(0.05)
        stop.set()
        await running
        figures = load.counters
        assert figures.sent == figures.served and not figures.unreachable and not figures.lost, figures
        for backend in backends:
            await backend.stop()
        await hosts.stop()

    asyncio.run(test())


@pytest.mark.parametrize(
    ("answer", "up"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Instance: a/2\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nX-Instance: a/1\r\n\r\n", False),  # the old process on the same listener
        (b"HTTP/1.1 200 OK\r\n\r\n", True),  # a custom command
        (b"HTTP/1.1 503 Busy\r\nX-Instance: a/2\r\n\r\n", False),
        (b"\x00\xff", False),
        (b"", False),
    ],
)
def test_readiness_check_counts_only_the_intended_process(answer: bytes, up: bool) -> None:
    async def test() -> None:
        async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(reply, "127.0.0.1", 0)
        address = ("127.0.0.1", int(server.sockets[0].getsockname()[1]))
        assert (await probe(address, b"a/2") is ProbeResult.UP) is up
        server.close()
        assert await probe(address, b"a/2") is ProbeResult.FAILED

    asyncio.run(test())


# ---- the control socket ------------------------------------------------------------------


def test_control_socket_is_private_and_bounded(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    fleet.start()
    assert stat.S_IMODE(fleet.control.stat().st_mode) == 0o600
    silent = [socket.socket(socket.AF_UNIX) for _ in range(40)]
    for sock in silent:
        sock.connect(str(fleet.control))
    large = socket.socket(socket.AF_UNIX)
    large.connect(str(fleet.control))
    large.settimeout(20.0)
    with contextlib.suppress(OSError):  # it may be refused before it has sent everything
        large.sendall(b"x" * 2**20)
    with large:
        answer = b""
        with contextlib.suppress(ConnectionError):
            answer = large.recv(4096)
        assert not answer or b'"ok":false' in answer
    for sock in silent:  # each gets a response or is closed in time, so none occupies a connection for good
        sock.settimeout(20.0)
        assert b'"ok":false' in sock.recv(4096)
        sock.close()
    eventually(lambda: fleet.states() == {"ready"})


@pytest.mark.parametrize(
    ("request_", "error"),
    [
        (b"{\n", "not JSON"),
        (b"[]\n", "command: missing"),
        (b'{"version":2,"command":"status"}\n', "version 2 is not spoken here; 1 is"),
        (b'{"version":1,"command":"dance"}\n', "unknown command"),
        (b'{"version":1,"command":"stop","names":["nobody"]}\n', "no such instance: 'nobody'"),
        (b'{"version":1,"command":"stop","names":"a"}\n', "names: not a list"),
    ],
)
def test_invalid_requests_are_answered_and_change_nothing(fleet: FleetRig, request_: bytes, error: str) -> None:
    fleet.add("a", mode="ok")
    fleet.start()
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(str(fleet.control))
        sock.sendall(request_)
        answer = orjson.loads(sock.makefile("rb").readline())
    assert answer["ok"] is False and error in answer["error"]
    assert fleet.states() == {"ready"}


def test_refusal_before_the_request_is_read(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The server sends the reason and closes while the client is still writing its request."""
    closed = threading.Event()
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as server:
        server.bind(str(tmp_path / "c.sock"))
        server.listen()

        def refuse() -> None:
            connection, _ = server.accept()
            connection.sendall(b'{"ok":false,"error":"not your fleet"}\n')
            connection.close()
            closed.set()

        def late(values: dict[str, object]) -> bytes:
            closed.wait()
            return dumps(values)

        dumps = orjson.dumps
        monkeypatch.setattr(orjson, "dumps", late)
        thread = threading.Thread(target=refuse)
        thread.start()
        with pytest.raises(control.ControlError, match="not your fleet"):
            send_request(tmp_path / "c.sock", "status", 10.0)
        thread.join()


def test_request_of_another_user_is_refused(tmp_path: Path) -> None:
    """The server is made to accept another user than its own."""

    async def test() -> None:
        async def never(command: str, request: dict[str, object]) -> dict[str, object]:
            raise AssertionError("it was served")

        server = ControlServer(tmp_path / "c.sock", never, frozenset({os.geteuid() + 1}))
        await server.start()
        with pytest.raises(control.ControlError, match="not your fleet"):
            await asyncio.to_thread(send_request, tmp_path / "c.sock", "status", 10.0)
        await server.stop()

    asyncio.run(test())


def test_commands_without_a_supervisor_report_it(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    fleet.write()
    for action in ("status", "reload", "restart", "stop"):
        done = fleet.fleet_command(action)
        assert done.returncode == 1 and b"no supervisor runs" in done.stderr
    done = fleet.fleet_command("status", "--json")
    assert orjson.loads(done.stdout)["ok"] is False


# ---- logs --------------------------------------------------------------------------------


@pytest.mark.parametrize("target", ["full", "not read", "pipe not read"])
def test_log_target_that_accepts_nothing_blocks_no_process(fleet: FleetRig, target: str) -> None:
    """A full disk, a FIFO without a reader, a full pipe: the fleet continues and counts the dropped records."""
    stderr = -1
    if target == "full":
        fleet.logging = {"target": "/dev/full"}
    elif target == "not read":
        os.mkfifo(fleet.folder / "fifo")
        fleet.logging = {"target": "fifo"}
    else:
        fleet.logging = {"target": "stderr"}
        reader, stderr = os.pipe()
    fleet.add("quiet", "proxy")
    fleet.add("noisy", mode="loud", value="60000")
    fleet.write()
    fleet.launch(**({"stderr": stderr} if stderr >= 0 else {}))  # type: ignore[arg-type]
    eventually(lambda: fleet.states() == {"ready"})
    eventually(lambda: send_request(fleet.control, "status", 10.0)["log_dropped"] > 0)
    assert fleet.fleet_command("restart", "quiet", "proxy").returncode == 0
    if target == "not read":  # with a reader the queued records arrive, and the number of dropped ones
        with (fleet.folder / "fifo").open("rb") as fifo:
            text = b""
            while b"records were dropped" not in text:
                text = text[-4096:] + os.read(fifo.fileno(), 2**16)
    assert fleet.fleet_command("stop").returncode == 0
    if stderr >= 0:
        os.close(reader)
        os.close(stderr)


def test_records_name_their_instance_and_files_rotate_and_reopen(fleet: FleetRig) -> None:
    fleet.logging |= {"form": "json", "max_mb": 0.02, "keep": 2}
    fleet.add("noisy", mode="loud", value="1000")
    fleet.add("p")
    process = fleet.start()
    names = sorted(path.name for path in fleet.folder.glob("fleet.log*"))
    assert names == ["fleet.log", "fleet.log.1", "fleet.log.2"]
    assert all(path.stat().st_size <= 0.02 * 2**20 for path in fleet.folder.glob("fleet.log*"))
    records = [
        orjson.loads(line) for path in fleet.folder.glob("fleet.log*") for line in path.read_bytes().splitlines()
    ]
    assert {"ts", "level", "instance", "subsystem", "event", "text"} <= set(records[0])
    assert {record["instance"] for record in records if record["text"].startswith("rubbish")} == {"noisy"}
    fleet.log.rename(fleet.folder / "moved")
    process.send_signal(signal.SIGUSR1)
    eventually(lambda: fleet.log.exists() and '"event":"reopened"' in fleet.log_text())


# ---- the service manager -----------------------------------------------------------------


def test_service_manager_is_notified(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    manager = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    manager.bind(str(fleet.folder / "notify"))
    manager.settimeout(30.0)

    def until(word: str) -> list[str]:
        while word not in (lines := manager.recv(4096).decode().split("\n")):
            assert set(lines) <= {"WATCHDOG=1"}, lines
        return lines

    fleet.write()
    env = {"NOTIFY_SOCKET": str(fleet.folder / "notify"), "WATCHDOG_USEC": "400000"}
    process = fleet.launch(env=env)
    assert f"MAINPID={process.pid}" in until("READY=1")
    until("WATCHDOG=1")
    process.send_signal(signal.SIGHUP)
    assert any(line.startswith("MONOTONIC_USEC=") for line in until("RELOADING=1"))
    until("READY=1")
    process.terminate()
    until("STOPPING=1")
    assert process.wait() == 0
    manager.close()


def test_listener_passed_by_the_service_manager_is_used(fleet: FleetRig) -> None:
    """Its port can't be bound a second time, so an instance that answers there has this very socket."""
    fleet.add("a")
    listener = socket.create_server(("127.0.0.1", fleet.port("a")))
    code = f"import os, sys; os.dup2({listener.fileno()}, 3); os.environ['LISTEN_PID'] = str(os.getpid()); "
    prefix = [sys.executable, "-c", code + "os.execv(sys.argv[1], sys.argv[1:])"]
    process = fleet.start(prefix=prefix, env={"LISTEN_FDS": "1"}, pass_fds=[listener.fileno()])
    listener.close()
    assert fleet.fleet_command("restart").returncode == 0
    assert fleet.stop_supervisor(process) == 0


def test_listener_passed_to_another_process_is_ignored(fleet: FleetRig) -> None:
    fleet.add("a", mode="ok")
    with socket.create_server(("127.0.0.1", fleet.port("a"))):
        fleet.write()
        process = fleet.launch(env={"LISTEN_FDS": "1", "LISTEN_PID": "1"})
        assert process.wait() == 1


# ---- the demo ----------------------------------------------------------------------------


def test_demo_serves_and_ends(fleet: FleetRig) -> None:
    done = fleet.run_command("demo", "--seconds", "3")
    last = done.stdout.decode().splitlines()[-1]
    assert done.returncode == 0, done.stderr
    figures = dict(pair.split("=") for pair in last.split()[1:-1])
    assert last.startswith("demo: ") and last.endswith(" ok")
    assert int(figures["served"]) > 20 and figures["lost"] == "0"
    assert sum("curl -sS" in line for line in done.stdout.decode().splitlines()) == 3


def test_ctrl_c_ends_the_demo_and_its_processes(fleet: FleetRig) -> None:
    environ = os.environ | {"PYTHONPATH": str(Path(__file__).parent.parent.parent)}
    process = subprocess.Popen(fleet.command_line("demo"), cwd=fleet.folder, env=environ, stdout=subprocess.PIPE)
    assert process.stdout is not None
    lines = []
    while not (line := process.stdout.readline()).startswith(b"the proxies' log"):
        lines.append(line.decode())
    folder = next(line for line in lines if "fleet status -c" in line).split()[-1]
    # The printed requests work, sent as curl would send them.
    port = int(next(line for line in lines if "curl" in line).rpartition(":")[2].partition("/")[0])
    for head in (
        "GET /api HTTP/1.1\r\nX-Call-Class: report-view\r\n",
        "GET /up HTTP/1.1\r\n",
        "POST /api HTTP/1.1\r\nX-Call-Class: submit\r\nIdempotency-Key: k\r\nContent-Length: 5\r\n",
    ):
        with socket.create_connection(("127.0.0.1", port)) as sock:
            more = f"Host: x\r\nX-Call-Id: {head[:4].strip()}\r\nX-Budget: 2000m\r\nConnection: close\r\n\r\n"
            sock.sendall((head + more).encode() + (b"draft" if head.startswith("POST") else b""))
            assert sock.recv(4096).startswith(b"HTTP/1.1 200")
    process.send_signal(signal.SIGINT)
    process.communicate(timeout=60)
    assert process.returncode == 0
    assert not Path(folder).exists()
    assert free_ports(1)
