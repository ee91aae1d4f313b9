"""Reading configuration files (TOML): typed values, and errors that name the file, the line and the key.

Each subsystem has a file of its own, and reads it through a `Table`. A table knows which of its keys were asked
for, so that `done` can tell a misspelt one. Nothing is applied before the whole file has been read.
"""

from __future__ import annotations

import difflib
import math
import re
import tomllib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, TypeVar

from cometusher.config import Address, ConfigError, read_address

T = TypeVar("T")
MAX_FILE = 4 * 1024 * 1024  # bytes

_HEADER = re.compile(r"^\s*(\[\[?)\s*([A-Za-z0-9_.\"' -]+?)\s*\]\]?\s*(?:#.*)?$")
_KEY = re.compile(r"^\s*([A-Za-z0-9_.\"'-]+)\s*=")


def _find_lines(text: str) -> dict[str, int]:
    """The line of each header and key, by its full name; an estimate that only error texts use."""
    lines: dict[str, int] = {}
    counts: dict[str, int] = {}
    prefix = ""
    for number, line in enumerate(text.splitlines(), 1):
        if header := _HEADER.match(line):
            name = header[2].replace('"', "").replace("'", "")
            if header[1] == "[[":
                counts[name] = counts.get(name, -1) + 1
                name = f"{name}[{counts[name]}]"
            prefix = name
            lines.setdefault(name, number)
        elif key := _KEY.match(line):
            name = key[1].replace('"', "").replace("'", "")
            lines.setdefault(f"{prefix}.{name}" if prefix else name, number)
    return lines


class SchemaBuilder:
    """What a reader asks of a table, noted while it asks: so there is one place for keys and for their schema."""

    def __init__(self) -> None:
        self.keys: dict[str, dict[str, Any]] = {}
        self.needed: set[str] = set()
        self.optional: set[str] = set()  # asked for only where they are there
        self.inner: dict[str, SchemaBuilder] = {}
        self.lists: set[str] = set()  # those of them that are lists of tables

    def enter(self, key: str, many: bool) -> SchemaBuilder:
        """The shape of an inner table, or of each of a list of them."""
        if many:
            self.lists.add(key)
        return self.inner.setdefault(key, SchemaBuilder())

    def schema(self) -> dict[str, Any]:
        """As JSON schema (draft 2020-12)."""
        found = dict(self.keys)
        for key, shape in self.inner.items():
            one = shape.schema()
            found[key] = {"type": "array", "items": one} if key in self.lists else one
        left = sorted(self.needed - self.optional)
        needed = {"required": left} if left else {}
        return {"type": "object", "properties": dict(sorted(found.items())), "additionalProperties": False} | needed


class Source:
    """A file, and where its keys stand."""

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        self.lines = _find_lines(text)

    def error(self, at: str, why: str) -> ConfigError:
        """An error at a key; the nearest enclosing table's line is named where the key has none."""
        name = at
        while name and name not in self.lines:
            name = name.rpartition(".")[0]
        line = f":{self.lines[name]}" if name else ""
        return ConfigError(f"{self.path}{line}: {at}: {why}")


class Table:
    """One table of a file."""

    def __init__(
        self, source: Source, values: dict[str, Any], name: str = "", shape: SchemaBuilder | None = None
    ) -> None:
        self.source = source
        self.values = values
        self.name = name
        self.schema = shape or SchemaBuilder()
        self._asked: set[str] = set()

    def full_name(self, key: str) -> str:
        """A key's full name."""
        return f"{self.name}.{key}" if self.name else key

    def error(self, key: str, why: str) -> ConfigError:
        """An error at a key of this table."""
        return self.source.error(self.full_name(key) if key else self.name, why)

    def has(self, key: str) -> bool:
        """Whether the file has a key, which may be left out."""
        self.schema.optional.add(key)
        return key in self.values

    def _take(self, key: str, default: T, read: Callable[[Any], T | None], kind: str) -> T:
        self._asked.add(key)
        if key not in self.values:
            return default
        value = read(self.values[key])
        if value is None:
            raise self.error(key, f"{self.values[key]!r} is not {kind}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """A string that is not empty; without a default it has to be there."""
        self.schema.keys[key] = {"type": "string", "minLength": 1} | ({"default": default} if default else {})
        if default is None:
            self.schema.needed.add(key)
        value = self._take(key, default or "", lambda v: v if isinstance(v, str) and v else None, "a text")
        if not value and default is None:
            near = difflib.get_close_matches(key, set(self.values) - self._asked, 1)
            raise self.error(key, "missing" + (f"; is {near[0]} meant to be it?" if near else ""))
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = 1e9) -> float:
        """A finite number within bounds."""
        self.schema.keys[key] = {"type": "number", "minimum": low, "maximum": high, "default": default}

        def read(value: Any) -> float | None:
            right = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
            return float(value) if right and low <= value <= high else None

        return self._take(key, default, read, f"a number from {low:g} to {high:g}")

    def integer(self, key: str, default: int, low: int = 0, high: int = 2**31 - 1) -> int:
        """A whole number within bounds."""
        self.schema.keys[key] = {"type": "integer", "minimum": low, "maximum": high}
        if low <= default <= high:
            self.schema.keys[key]["default"] = default

        def read(value: Any) -> int | None:
            return value if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high else None

        return self._take(key, default, read, f"a whole number from {low} to {high}")

    def choice(self, key: str, default: str | None, among: Sequence[str]) -> str:
        """One of some words; without a default it has to be there."""
        self.schema.keys[key] = {"enum": list(among)} | ({"default": default} if default in among else {})
        if default is None:
            self.schema.needed.add(key)
            if key not in self.values:
                raise self.error(key, "missing")
        return self._take(key, default or "", lambda v: v if v in among else None, "one of " + ", ".join(among))

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of strings; empty if absent."""
        self.schema.keys[key] = {"type": "array", "items": {"type": "string"}, "minItems": 1}

        def read(value: Any) -> tuple[str, ...] | None:
            good = isinstance(value, list) and value and all(isinstance(v, str) for v in value)
            return tuple(value) if good else None

        return self._take(key, (), read, "a list of texts")

    def address(self, key: str, default: str | None = None) -> Address:
        """`host:port`."""
        text = self.text(key, default)
        self.schema.keys[key]["pattern"] = "^.+:[0-9]+$"
        try:
            return read_address(text, key)
        except ConfigError:
            raise self.error(key, f"{text!r} is not host:port") from None

    def table(self, key: str) -> Table:
        """A table; empty if absent."""
        none: dict[str, Any] = {}
        value = self._take(key, none, lambda v: v if isinstance(v, dict) else None, "a table")
        return Table(self.source, value, self.full_name(key), self.schema.enter(key, many=False))

    def tables(self, key: str) -> list[Table]:
        """A list of tables; empty if absent."""

        def read(value: Any) -> list[dict[str, Any]] | None:
            return value if isinstance(value, list) and all(isinstance(v, dict) for v in value) else None

        none: list[dict[str, Any]] = []
        rows = self._take(key, none, read, "a list of tables")
        shape = self.schema.enter(key, many=True)
        return [Table(self.source, row, f"{self.full_name(key)}[{i}]", shape) for i, row in enumerate(rows)]

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError for a key that nobody asked for."""
        for key in self.values:
            if key not in self._asked:
                near = difflib.get_close_matches(key, self._asked, 1)
                raise self.error(key, "unknown" + (f"; did you mean {near[0]}?" if near else ""))


def read_file(path: Path) -> Table:
    """A whole file; raises ConfigError that names what is wrong with it."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as fault:
        raise ConfigError(f"{path}: {fault.strerror}") from fault
    if len(data) > MAX_FILE:
        raise ConfigError(f"{path}: larger than {MAX_FILE} bytes")
    try:
        text = data.decode()
        values = tomllib.loads(text)
    except UnicodeDecodeError as fault:
        raise ConfigError(f"{path}: not UTF-8: {fault.reason} at byte {fault.start}") from None
    except tomllib.TOMLDecodeError as fault:
        where = re.search(r"\(at line (\d+)", str(fault))
        line = f":{where[1]}" if where else f":{text.count(chr(10)) + 1}"
        raise ConfigError(f"{path}{line}: not TOML: {fault}") from None
    return Table(Source(path, text), values)
