"""A file of records (SQLite, write-ahead log): two copies of each kind, written in turn, verified when read.

How far a record is trusted is decided by `weldroute.snapshots`; this module handles files in unexpected states:

| the file                                   | result                                                               |
| ------------------------------------------ | -------------------------------------------------------------------- |
| torn by a kill during a write              | the last record or the one before: SQLite's log, and two copies      |
| damaged at any place                       | each copy has a digest of its own; a file that SQLite can't read     |
|                                            | is renamed to `.bad` (one is kept) and a new one is created          |
| of a newer version                         | neither read nor written                                             |
| on a full or failing disk                  | existing records stay; writing is tried again later                  |
| read-only                                  | read as it is, and not written                                       |
| deleted, or replaced, while in use         | noticed at the next write, which creates or opens it anew            |
| locked by a process that is stopped        | still read (readers don't wait for a writer); writing is tried       |
|                                            | again later                                                          |

None of these raises: `problem` describes the last of them for a log.
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

SCHEMA_VERSION = 1  # of the tables
APPLICATION_ID = 0x66646C72  # identifies our files to SQLite's own tools
MAX_RECORD_BYTES = 16 * 1024 * 1024
BUSY_TIMEOUT = 0.05  # seconds to wait for another writer
CHECKPOINT_PAGES = 64  # pages of write-ahead log after which it is copied back, to keep the log small
SUFFIXES = ("", "-wal", "-shm")

_TABLE = """CREATE TABLE IF NOT EXISTS record (
    kind TEXT NOT NULL, copy INTEGER NOT NULL, digest BLOB NOT NULL, data BLOB NOT NULL, PRIMARY KEY (kind, copy)
) WITHOUT ROWID"""


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


class RecordFile:
    """One file of records; used by one thread at a time."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.problem = ""  # why the last read or write was incomplete; empty if it succeeded
        self.writable = True
        self._db: sqlite3.Connection | None = None
        self._file_id: tuple[int, int] | None = None  # device and inode of the open file
        self._serials: dict[str, int] = {}

    # ---- reading -------------------------------------------------------------------------

    def read(self, kinds: Sequence[str]) -> dict[str, Record]:
        """The newest intact record of each kind that has one."""
        self.problem = ""
        try:
            db = self._open()
            return self._read_all(db, kinds) if db is not None else {}
        except (sqlite3.Error, OSError) as error:
            return self._on_read_error(error, kinds)

    def _on_read_error(self, error: Exception, kinds: Sequence[str]) -> dict[str, Record]:
        if isinstance(error, sqlite3.OperationalError) and not _is_corruption(error):
            self._disconnect()
            self.problem = f"not read: {error}"
            return self._read_immutable(kinds) if self.writable else {}
        if isinstance(error, OSError):
            self.problem = f"not read: {error.strerror}"
            return {}
        self._quarantine(str(error))
        return {}

    def _read_immutable(self, kinds: Sequence[str]) -> dict[str, Record]:
        """Read the file without its log: all that is possible where a full disk has no room for the log's index."""
        problem, uri = self.problem, self._uri("ro&immutable=1")
        try:
            with contextlib.closing(sqlite3.connect(uri, uri=True)) as db:
                found = self._read_all(db, kinds)
        except sqlite3.Error:
            return {}
        self.problem = f"read without its log, for otherwise {problem}"
        return found

    def _read_all(self, db: sqlite3.Connection, kinds: Sequence[str]) -> dict[str, Record]:
        found: dict[str, Record] = {}
        damaged = 0
        for kind in kinds:
            copies: list[Record | None] = []
            for digest, data in db.execute("SELECT digest, data FROM record WHERE kind = ? ORDER BY copy", (kind,)):
                copies.append(_read_copy(kind, digest, data))
            damaged += copies.count(None)
            record = newest_copy(copies)
            if record is None:
                continue
            found[kind] = record
            self._serials[kind] = max(self._serials.get(kind, 0), record.serial)
        if damaged:
            self.problem = f"{damaged} copies are damaged and ignored"
        return found

    # ---- writing -------------------------------------------------------------------------

    def next_serial(self, kind: str) -> int:
        """The serial number for the next record of a kind."""
        return self._serials.get(kind, 0) + 1

    def write(self, records: Sequence[Record]) -> bool:
        """Write records, all or none; return whether they are stored now."""
        self.problem = ""
        rows = []
        for record in records:
            data = orjson.dumps(record.to_dict())
            if len(data) > MAX_RECORD_BYTES:
                self.problem = f"{record.kind}: {len(data)} bytes exceed the limit"
                return False
            rows.append((record.kind, record.serial % 2, _digest(data), data))
        try:
            return self._write(rows, records)
        except sqlite3.DatabaseError as error:
            if not isinstance(error, sqlite3.OperationalError) or _is_corruption(error):
                self._quarantine(str(error))
                return False
            self.problem = f"not written: {error}"
        except OSError as error:
            self.problem = f"not written: {error.strerror}"
        self._disconnect()  # the next try opens the file again
        return False

    def _write(self, rows: list[tuple[str, int, bytes, bytes]], records: Sequence[Record]) -> bool:
        if self._db is not None and self._file_id != _file_id(self.path):
            self._disconnect()
            self._serials.clear()
        db = self._open()
        if db is None or not self.writable:
            self.problem = self.problem or "not written: the file is read-only"
            return False
        with db:
            db.execute("BEGIN IMMEDIATE")
            db.executemany("REPLACE INTO record VALUES (?, ?, ?, ?)", rows)
        for record in records:
            self._serials[record.kind] = record.serial
        return True

    # ---- the file ------------------------------------------------------------------------

    def _open(self) -> sqlite3.Connection | None:
        """The connection, opened if needed; None where the file doesn't exist and can't be created."""
        if self._db is not None:
            return self._db
        exists = self.path.exists()
        self.writable = os.access(self.path if exists else self.path.parent, os.W_OK) and os.access(
            self.path.parent, os.W_OK
        )
        if not exists and not self.writable:
            self.problem = "not read: the file doesn't exist and can't be created"
            return None
        if not exists:  # created here rather than by SQLite, so that no other user can ever read it
            os.close(os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600))
        # Without write access to the folder SQLite can't create a log: such a file is read as immutable.
        mode = "rw" if self.writable else "ro&immutable=1"
        db = sqlite3.connect(
            self._uri(mode),
            uri=True,
            timeout=BUSY_TIMEOUT,
            isolation_level=None,
            check_same_thread=False,
        )
        try:
            self._prepare(db)
        except BaseException:
            db.close()
            raise
        self._db, self._file_id = db, _file_id(self.path)
        return db

    def _uri(self, mode: str) -> str:
        return f"{self.path.absolute().as_uri()}?mode={mode}"

    def _prepare(self, db: sqlite3.Connection) -> None:
        version = db.execute("PRAGMA user_version").fetchone()[0]
        if version > SCHEMA_VERSION:
            self.writable = False
            raise sqlite3.OperationalError(f"version {version} is newer than {SCHEMA_VERSION}")
        if not self.writable:
            return
        db.execute("PRAGMA journal_mode = WAL")
        db.execute("PRAGMA synchronous = FULL")
        db.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")
        if version < SCHEMA_VERSION:
            db.execute("BEGIN IMMEDIATE")
            db.execute(_TABLE)
            db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
            db.execute(f"PRAGMA user_version = {SCHEMA_VERSION}")
            db.execute("COMMIT")

    def _quarantine(self, reason: str) -> None:
        """Rename a damaged file to `.bad`, so that a new one can be created."""
        self._disconnect()
        self._serials.clear()
        self.problem = f"damaged, renamed to .bad and created anew: {reason}"
        for suffix in SUFFIXES:
            with contextlib.suppress(OSError):
                os.replace(f"{self.path}{suffix}", f"{self.path}.bad{suffix}")

    def _disconnect(self) -> None:
        if self._db is not None:
            with contextlib.suppress(sqlite3.Error):
                self._db.close()
        self._db = self._file_id = None

    def close(self) -> None:
        """Close the file."""
        self._disconnect()


def _file_id(path: Path) -> tuple[int, int] | None:
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_dev, status.st_ino


def _is_corruption(error: sqlite3.OperationalError) -> bool:
    """Whether an operational error indicates a damaged file: missing tables or an unreadable schema."""
    text = str(error)
    return "no such table" in text or "malformed" in text or "no such column" in text or "has no column" in text


def _read_copy(kind: str, digest: object, data: object) -> Record | None:
    if not isinstance(digest, bytes) or not isinstance(data, bytes) or _digest(data) != digest:
        return None
    try:
        record = read_record(orjson.loads(data))
    except (InvalidRecord, orjson.JSONDecodeError):
        return None
    return record if record.format_version > 1 or record.kind == kind else None
