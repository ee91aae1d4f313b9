"""A file of records (SQLite, write-ahead log): two copies of each kind, written in turn, read back with doubt.

What is believed of a record is `weldroute.snapshots`'s; here is what becomes of a file that is not as it was left:

| the file                                   | result                                                               |
| ------------------------------------------ | -------------------------------------------------------------------- |
| torn by a kill in a write                  | the last or the one-before record: SQLite's log, and two copies      |
| damaged at any place                       | each copy has a digest of its own; a file that SQLite can't read     |
|                                            | is put aside as `.bad` (one is kept) and begun anew                  |
| of a newer version                         | not read and not written                                             |
| on a full disk, or one that fails          | what is there stays; writing is tried again later                    |
| that can't be written                      | read as it is, and not written                                       |
| deleted, or replaced, while in use         | noticed at the next writing, and begun anew                          |
| locked by a process that is stopped        | read all the same (readers wait for no writer); writing is tried     |
|                                            | again later                                                          |

Nothing here raises for any of these: `problem` tells the last of them, in words for a log.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import sqlite3
from collections.abc import Sequence
from pathlib import Path

import orjson

from weldroute.snapshots import InvalidRecord, Record, newest_copy, read_record

VERSION = 1  # of the tables
APPLICATION = 0x66646C72  # names our files to SQLite's own tools (application_id)
MAX_BODY = 16 * 1024 * 1024  # bytes of one record
BUSY = 0.05  # seconds to wait for another writer
CHECKPOINT = 64  # pages of log after which it is copied back: the log stays small
SUFFIXES = ("", "-wal", "-shm")

_TABLE = """CREATE TABLE IF NOT EXISTS record (
    kind TEXT NOT NULL, copy INTEGER NOT NULL, digest BLOB NOT NULL, data BLOB NOT NULL, PRIMARY KEY (kind, copy)
) WITHOUT ROWID"""


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


class RecordFile:
    """One file; used by one thread at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.problem = ""  # why the last reading or writing did not do all that it should; empty if it did
        self.writable = True  # what is there may be written over
        self._db: sqlite3.Connection | None = None
        self._file: tuple[int, int] | None = None  # device and inode that are open
        self._serials: dict[str, int] = {}

    # ---- reading -------------------------------------------------------------------------

    def read(self, kinds: Sequence[str]) -> dict[str, Record]:
        """The newest whole record of each kind, as far as there is one."""
        self.problem = ""
        try:
            db = self._open()
            return self._read_all(db, kinds) if db is not None else {}
        except (sqlite3.Error, OSError) as fault:
            return self._after_fault(fault, kinds)

    def _after_fault(self, fault: Exception, kinds: Sequence[str]) -> dict[str, Record]:
        if isinstance(fault, sqlite3.OperationalError) and not _unreadable(fault):
            self._drop()
            self.problem = f"not read: {fault}"
            return self._read_as_it_lies(kinds) if self.writable else {}
        if isinstance(fault, OSError):
            self.problem = f"not read: {fault.strerror}"
            return {}
        self._put_aside(str(fault))
        return {}

    def _read_as_it_lies(self, kinds: Sequence[str]) -> dict[str, Record]:
        """Without a log: all that can be had where a full disk has no room for the log's index."""
        why, name = self.problem, self._address("ro&immutable=1")
        try:
            with contextlib.closing(sqlite3.connect(name, uri=True)) as db:
                found = self._read_all(db, kinds)
        except sqlite3.Error:
            return {}
        self.problem = f"read without its log, for otherwise {why}"
        return found

    def _read_all(self, db: sqlite3.Connection, kinds: Sequence[str]) -> dict[str, Record]:
        found: dict[str, Record] = {}
        broken = 0
        for kind in kinds:
            copies: list[Record | None] = []
            for digest, data in db.execute("SELECT digest, data FROM record WHERE kind = ? ORDER BY copy", (kind,)):
                copies.append(_read_copy(kind, digest, data))
            broken += copies.count(None)
            record = newest_copy(copies)
            if record is None:
                continue
            found[kind] = record
            self._serials[kind] = max(self._serials.get(kind, 0), record.serial)
        if broken:
            self.problem = f"{broken} copies are damaged and left aside"
        return found

    # ---- writing -------------------------------------------------------------------------

    def next_serial(self, kind: str) -> int:
        """The number of the next record of a kind."""
        return self._serials.get(kind, 0) + 1

    def write(self, records: Sequence[Record]) -> bool:
        """Write records, all or none; tells whether they are there now."""
        self.problem = ""
        rows = []
        for record in records:
            data = orjson.dumps(record.to_dict())
            if len(data) > MAX_BODY:
                self.problem = f"{record.kind}: {len(data)} bytes are too many"
                return False
            rows.append((record.kind, record.serial % 2, _digest(data), data))
        try:
            return self._write(rows, records)
        except sqlite3.DatabaseError as fault:
            if not isinstance(fault, sqlite3.OperationalError) or _unreadable(fault):
                self._put_aside(str(fault))
                return False
            self.problem = f"not written: {fault}"
        except OSError as fault:
            self.problem = f"not written: {fault.strerror}"
        self._drop()  # a new try begins with a new look
        return False

    def _write(self, rows: list[tuple[str, int, bytes, bytes]], records: Sequence[Record]) -> bool:
        if self._db is not None and self._file != _identity(self.path):
            self._drop()
            self._serials.clear()
        db = self._open()
        if db is None or not self.writable:
            self.problem = self.problem or "not written: it can only be read"
            return False
        with db:
            db.execute("BEGIN IMMEDIATE")
            db.executemany("REPLACE INTO record VALUES (?, ?, ?, ?)", rows)
        for record in records:
            self._serials[record.kind] = record.serial
        return True

    # ---- the file ------------------------------------------------------------------------

    def _open(self) -> sqlite3.Connection | None:
        """The connection, made if need be; None where there is nothing to read and nothing can be written."""
        if self._db is not None:
            return self._db
        exists = self.path.exists()
        self.writable = os.access(self.path if exists else self.path.parent, os.W_OK) and os.access(
            self.path.parent, os.W_OK
        )
        if not exists and not self.writable:
            self.problem = "not read: nothing is there, and nothing can be written"
            return None
        if not exists:  # made here, so that nobody else can ever read it
            os.close(os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600))
        # Without its folder a log can't be had: such a file is read as it lies.
        mode = "rw" if self.writable else "ro&immutable=1"
        db = sqlite3.connect(
            self._address(mode),
            uri=True,
            timeout=BUSY,
            isolation_level=None,
            check_same_thread=False,
        )
        try:
            self._prepare(db)
        except BaseException:
            db.close()
            raise
        self._db, self._file = db, _identity(self.path)
        return db

    def _address(self, mode: str) -> str:
        return f"{self.path.absolute().as_uri()}?mode={mode}"

    def _prepare(self, db: sqlite3.Connection) -> None:
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version > VERSION:
            self.writable = False
            raise sqlite3.OperationalError(f"version {version} is newer than {VERSION}")
        if not self.writable:
            return
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT}")
        if version < VERSION:
            db.execute("BEGIN IMMEDIATE")
            db.execute(_TABLE)
            db.execute(f"PRAGMA application_id = {APPLICATION}")
            db.execute(f"PRAGMA user_version = {VERSION}")
            db.execute("COMMIT")

    def _put_aside(self, why: str) -> None:
        self._drop()
        self._serials.clear()
        self.problem = f"damaged, and begun anew: {why}"
        for suffix in SUFFIXES:
            with contextlib.suppress(OSError):
                os.replace(f"{self.path}{suffix}", f"{self.path}.bad{suffix}")

    def _drop(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
        self._db = self._file = None

    def close(self) -> None:
        """Let go of the file."""
        self._drop()


def _identity(path: Path) -> tuple[int, int] | None:
    try:
        found = path.stat()
    except OSError:
        return None
    return found.st_dev, found.st_ino


def _unreadable(fault: sqlite3.OperationalError) -> bool:
    """Whether an operational error tells of a damaged file: tables that are gone, or a schema that makes no sense."""
    text = str(fault)
    return "no such table" in text or "malformed" in text or "no such column" in text or "has no column" in text


def _read_copy(kind: str, digest: object, data: object) -> Record | None:
    if not isinstance(digest, bytes) or not isinstance(data, bytes) or _digest(data) != digest:
        return None
    try:
        record = read_record(orjson.loads(data))
    except (InvalidRecord, orjson.JSONDecodeError):
        return None
    return record if record.format_version > 1 or record.kind == kind else None
