"""Record store with files in unexpected states: each has a defined result, and reading never raises."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import sqlite3
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

import pytest
from fleetrig import eventually

from cometusher.fleet.identity import read_stat
from cometusher.store.records import RecordFile
from cometusher.store.writer import RecordWriter
from weldroute.snapshots import FORMAT_VERSION, ClockReading, Owner, Record

OWNER = Owner("f", "a", 1)
NOW = ClockReading(1e9, "b", 100.0)
KILLS = int(os.environ.get("STORE_KILLS", "40"))  # 300 for the figure in the docs


def make_record(serial: int, kind: str = "list", **body: Any) -> Record:
    return Record(kind, serial, OWNER, NOW, {"seq": serial, "pad": "x" * 3000} | body)


def filled_file(path: Path, last: int = 6) -> RecordFile:
    """A closed file with records 1 to `last`, written one after the other."""
    records = RecordFile(path)
    for serial in range(1, last + 1):
        assert records.write([make_record(serial), make_record(serial, "standing")]), records.problem
    records.close()
    return RecordFile(path)


def stored_serial(records: RecordFile, kind: str = "list") -> int:
    found = records.read(["list", "standing"]).get(kind)
    return found.serial if found is not None else 0


def run_in_fork(work: Callable[[], None]) -> int:
    """Run `work` in a child process that it may change or end; return the pid."""
    pid = os.fork()
    if pid == 0:
        code = 70
        try:
            work()
            code = 0
        finally:
            os._exit(code)
    return pid


def assert_exit_success(pid: int) -> None:
    assert os.waitstatus_to_exitcode(os.waitpid(pid, 0)[1]) == 0


def test_written_records_are_read_back(tmp_path: Path) -> None:
    records = filled_file(tmp_path / "s")
    assert stored_serial(records) == stored_serial(records, "standing") == 6
    assert records.next_serial("list") == 7 and not records.problem
    assert (tmp_path / "s").stat().st_mode & 0o077 == 0


def test_kill_during_a_write_leaves_the_last_record_or_the_one_before(tmp_path: Path) -> None:
    """The writer reports each record before and after writing it; the record read back lies between."""
    rng = Random(1)
    path = tmp_path / "s"
    last = 0
    for _ in range(KILLS):
        reader, writer = os.pipe()

        def write(writer: int = writer) -> None:
            records = RecordFile(path)
            records.read(["list"])
            while True:
                number = records.next_serial("list")
                os.write(writer, b"%d begun\n" % number)
                if records.write([make_record(number)]):
                    os.write(writer, b"%d done\n" % number)

        pid = run_in_fork(write)
        os.close(writer)
        told = os.read(reader, 64)  # it has started to write
        time.sleep(rng.random() * 0.02)
        os.kill(pid, signal.SIGKILL)
        os.waitpid(pid, 0)
        while piece := os.read(reader, 65536):
            told += piece
        os.close(reader)
        done = [int(line.split()[0]) for line in told.splitlines() if line.endswith(b"done")]
        begun = [int(line.split()[0]) for line in told.splitlines() if line.endswith(b"begun")]
        records = RecordFile(path)
        found = stored_serial(records)
        records.close()
        assert max([last, *done]) <= found <= max(begun), (found, told[-60:], records.problem)
        assert not list(tmp_path.glob("*.bad"))
        last = found
    assert last > KILLS


def test_damage_leaves_an_intact_record_or_none_and_a_working_store(tmp_path: Path) -> None:
    filled_file(tmp_path / "s").close()
    for copy in tmp_path.glob("s*"):
        copy.rename(tmp_path / f"good{copy.name[1:]}")
    data = (tmp_path / "good").read_bytes()
    rng = Random(2)
    results = set()
    for i in range(160):
        damaged = bytearray(data)
        at = i * len(data) // 160 if i < 120 else rng.randrange(len(data))
        kind = i % 3
        if kind == 0:
            damaged[at] ^= 1 << rng.randrange(8)
        elif kind == 1:
            damaged[at : at + 64] = rng.randbytes(len(damaged[at : at + 64]))
        else:
            del damaged[at:]
        path = tmp_path / "damaged"
        for old in tmp_path.glob("damaged*"):
            old.unlink()
        path.write_bytes(damaged)
        records = RecordFile(path)
        found = stored_serial(records)
        assert found in (0, 5, 6)
        results.add(found)
        records.write([make_record(7)])  # the first write may be what detects the damage
        assert records.write([make_record(7)]) and stored_serial(RecordFile(path)) == 7, records.problem
        records.close()
    assert results == {0, 5, 6}


def test_damaged_copy_falls_back_to_the_previous_one(tmp_path: Path) -> None:
    filled_file(tmp_path / "s").close()
    with sqlite3.connect(tmp_path / "s") as db:
        db.execute("UPDATE record SET data = ? WHERE kind = 'list' AND copy = 0", (b"{}",))
    db.close()
    records = RecordFile(tmp_path / "s")
    assert stored_serial(records) == 5 and "1 copies" in records.problem
    assert records.next_serial("list") == 6, "the damaged copy is overwritten"


def test_foreign_file_is_renamed_to_bad(tmp_path: Path) -> None:
    (tmp_path / "s").write_bytes(b"notes of somebody\n" * 100)
    records = RecordFile(tmp_path / "s")
    assert stored_serial(records) == 0 and "created anew" in records.problem
    assert (tmp_path / "s.bad").read_bytes().startswith(b"notes")
    assert records.write([make_record(1)]) and stored_serial(records) == 1


def test_newer_schema_is_neither_read_nor_written(tmp_path: Path) -> None:
    filled_file(tmp_path / "s").close()
    with sqlite3.connect(tmp_path / "s") as db:
        db.execute("PRAGMA user_version = 9")
    db.close()
    before = (tmp_path / "s").read_bytes()
    records = RecordFile(tmp_path / "s")
    assert stored_serial(records) == 0 and "newer" in records.problem
    assert not records.write([make_record(7)]) and "newer" in records.problem
    assert (tmp_path / "s").read_bytes() == before


def test_record_of_a_newer_format_is_reported_as_such(tmp_path: Path) -> None:
    records = filled_file(tmp_path / "s")
    later = Record("list", 7, OWNER, NOW, {}, format_version=FORMAT_VERSION + 1)
    assert records.write([later])
    assert records.read(["list"])["list"].format_version == FORMAT_VERSION + 1


def test_restored_older_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "s"
    records = filled_file(path, 3)
    shutil.copy(path, tmp_path / "old")
    assert records.write([make_record(4)])
    records.close()
    for suffix in ("-wal", "-shm"):
        Path(f"{path}{suffix}").unlink(missing_ok=True)
    shutil.copy(tmp_path / "old", path)
    assert stored_serial(RecordFile(path)) == 3


def test_file_deleted_while_in_use_is_created_anew(tmp_path: Path) -> None:
    path = tmp_path / "s"
    records = filled_file(path)
    assert stored_serial(records) == 6
    path.unlink()
    assert records.write([make_record(7)]) and path.exists()
    assert stored_serial(RecordFile(path)) == 7
    shutil.rmtree(tmp_path)
    assert not records.write([make_record(8)]) and records.problem
    tmp_path.mkdir()
    assert records.write([make_record(9)]) and stored_serial(RecordFile(path)) == 9


def test_full_disk_keeps_records_and_writing_resumes(tmp_path: Path) -> None:
    filled_file(tmp_path / "s").close()

    def work() -> None:
        signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
        resource.setrlimit(resource.RLIMIT_FSIZE, (4096, resource.RLIM_INFINITY))
        records = RecordFile(tmp_path / "s")
        assert stored_serial(records) == 6
        assert not records.write([make_record(7)]) and "not written" in records.problem
        assert stored_serial(records) == 6
        resource.setrlimit(resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        assert records.write([make_record(7)]) and stored_serial(records) == 7

    assert_exit_success(run_in_fork(work))


@pytest.mark.skipif(os.geteuid() != 0, reason="only root can switch to a user without write access")
def test_read_only_folder() -> None:
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        filled_file(folder / "s").close()
        for each in (folder / "s", folder):
            each.chmod(0o755)

        def work() -> None:
            os.setuid(65534)
            records = RecordFile(folder / "s")
            assert stored_serial(records) == 6, records.problem
            assert not records.write([make_record(7)]) and "the file is read-only" in records.problem
            fresh = RecordFile(folder / "other")
            assert stored_serial(fresh) == 0 and "can't be created" in fresh.problem

        assert_exit_success(run_in_fork(work))


def test_stopped_writer_does_not_block_readers(tmp_path: Path) -> None:
    path = tmp_path / "s"
    filled_file(path).close()

    def hold() -> None:
        db = sqlite3.connect(path, isolation_level=None)
        db.execute("BEGIN IMMEDIATE")
        db.execute("DELETE FROM record")
        os.kill(os.getpid(), signal.SIGSTOP)

    pid = run_in_fork(hold)
    eventually(lambda: (stat := read_stat(pid)) is not None and stat.state == "T")
    records = RecordFile(path)
    assert stored_serial(records) == 6
    assert not records.write([make_record(7)]) and "locked" in records.problem
    os.kill(pid, signal.SIGKILL)
    os.waitpid(pid, 0)
    assert records.write([make_record(7)]) and stored_serial(RecordFile(path)) == 7


def test_record_writer_writes_the_newest_and_retries(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("cometusher.store.writer.RETRY_INTERVAL", 0.05)

    async def test() -> None:
        folder = tmp_path / "later"
        writer = RecordWriter(RecordFile(folder / "s"), OWNER, lambda: NOW)
        writer.put("list", {"seq": 1})
        async with asyncio.timeout(10.0):
            while not writer.failed:
                await asyncio.sleep(0.01)
            folder.mkdir()
            while not writer.written:
                await asyncio.sleep(0.01)
        for i in range(100):
            writer.put("list", {"seq": i})
        writer.put("standing", {"version": 1})
        await writer.close()
        found = RecordFile(folder / "s").read(["list", "standing"])
        assert found["list"].body == {"seq": 99} and found["standing"].body == {"version": 1}
        assert found["list"].serial <= 4, "a hundred changes are merged into few writes"

    asyncio.run(test())
