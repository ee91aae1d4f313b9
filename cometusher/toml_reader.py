"""Reads TOML configuration files into typed values, with errors that name the file, the line and the key.

Each subsystem has its own file and reads it through a `Table`. A table records which of its keys were read, so that
`reject_unknown_keys` can report a misspelt one. Nothing is applied before the whole file has been read.
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
    """The line of each header and key by its full name; an approximation that only error texts use."""
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
    """Collects the JSON schema of a table while it is read, so that keys and schema have one definition."""

    def __init__(self) -> None:
        self.keys: dict[str, dict[str, Any]] = {}
        self.required: set[str] = set()
        self.optional: set[str] = set()  # read only where present
        self.tables: dict[str, SchemaBuilder] = {}
        self.lists: set[str] = set()  # keys of `tables` that are lists of tables

    def enter(self, key: str, is_list: bool) -> SchemaBuilder:
        """The builder for an inner table, or for each table of a list."""
        if is_list:
            self.lists.add(key)
        return self.tables.setdefault(key, SchemaBuilder())

    def schema(self) -> dict[str, Any]:
        """The JSON schema (draft 2020-12)."""
        properties = dict(self.keys)
        for key, builder in self.tables.items():
            schema = builder.schema()
            properties[key] = {"type": "array", "items": schema} if key in self.lists else schema
        required_keys = sorted(self.required - self.optional)
        required = {"required": required_keys} if required_keys else {}
        return {
            "type": "object",
            "properties": dict(sorted(properties.items())),
            "additionalProperties": False,
        } | required


class Source:
    """A configuration file and the lines of its keys."""

    def __init__(self, path: Path, text: str) -> None:
        self.path = path
        self.lines = _find_lines(text)

    def error(self, key_path: str, reason: str) -> ConfigError:
        """An error at a key, with the line of the key or else of the nearest enclosing table."""
        name = key_path
        while name and name not in self.lines:
            name = name.rpartition(".")[0]
        line = f":{self.lines[name]}" if name else ""
        return ConfigError(f"{self.path}{line}: {key_path}: {reason}")


class Table:
    """One table of a configuration file."""

    def __init__(
        self, source: Source, values: dict[str, Any], name: str = "", schema: SchemaBuilder | None = None
    ) -> None:
        self.source = source
        self.values = values
        self.name = name
        self.schema_builder = schema or SchemaBuilder()
        self._read_keys: set[str] = set()

    def full_name(self, key: str) -> str:
        """The name of a key with those of its enclosing tables."""
        return f"{self.name}.{key}" if self.name else key

    def error(self, key: str, reason: str) -> ConfigError:
        """An error at a key of this table."""
        return self.source.error(self.full_name(key) if key else self.name, reason)

    def has(self, key: str) -> bool:
        """Whether the table has an optional key."""
        self.schema_builder.optional.add(key)
        return key in self.values

    def _read(self, key: str, default: T, read: Callable[[Any], T | None], expected: str) -> T:
        self._read_keys.add(key)
        if key not in self.values:
            return default
        value = read(self.values[key])
        if value is None:
            raise self.error(key, f"{self.values[key]!r} is not {expected}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """A non-empty string; required if there is no default."""
        self.schema_builder.keys[key] = {"type": "string", "minLength": 1} | ({"default": default} if default else {})
        if default is None:
            self.schema_builder.required.add(key)
        value = self._read(key, default or "", lambda v: v if isinstance(v, str) and v else None, "a text")
        if not value and default is None:
            similar = difflib.get_close_matches(key, set(self.values) - self._read_keys, 1)
            raise self.error(key, "missing" + (f"; is {similar[0]} meant to be it?" if similar else ""))
        return value

    def number(self, key: str, default: float, low: float = 0.0, high: float = 1e9) -> float:
        """A finite number within bounds."""
        self.schema_builder.keys[key] = {"type": "number", "minimum": low, "maximum": high, "default": default}

        def read(value: Any) -> float | None:
            is_number = isinstance(value, (int, float)) and not isinstance(value, bool) and math.isfinite(value)
            return float(value) if is_number and low <= value <= high else None

        return self._read(key, default, read, f"a number from {low:g} to {high:g}")

    def integer(self, key: str, default: int, low: int = 0, high: int = 2**31 - 1) -> int:
        """An integer within bounds."""
        self.schema_builder.keys[key] = {"type": "integer", "minimum": low, "maximum": high}
        if low <= default <= high:
            self.schema_builder.keys[key]["default"] = default

        def read(value: Any) -> int | None:
            return value if isinstance(value, int) and not isinstance(value, bool) and low <= value <= high else None

        return self._read(key, default, read, f"a whole number from {low} to {high}")

    def choice(self, key: str, default: str | None, choices: Sequence[str]) -> str:
        """One of a set of words; required if there is no default."""
        self.schema_builder.keys[key] = {"enum": list(choices)} | ({"default": default} if default in choices else {})
        if default is None:
            self.schema_builder.required.add(key)
            if key not in self.values:
                raise self.error(key, "missing")
        return self._read(key, default or "", lambda v: v if v in choices else None, "one of " + ", ".join(choices))

    def texts(self, key: str) -> tuple[str, ...]:
        """A list of strings; empty if absent."""
        self.schema_builder.keys[key] = {"type": "array", "items": {"type": "string"}, "minItems": 1}

        def read(value: Any) -> tuple[str, ...] | None:
            valid = isinstance(value, list) and value and all(isinstance(v, str) for v in value)
            return tuple(value) if valid else None

        return self._read(key, (), read, "a list of texts")

    def address(self, key: str, default: str | None = None) -> Address:
        """An address, `host:port`."""
        text = self.text(key, default)
        self.schema_builder.keys[key]["pattern"] = "^.+:[0-9]+$"
        try:
            return read_address(text, key)
        except ConfigError:
            raise self.error(key, f"{text!r} is not host:port") from None

    def table(self, key: str) -> Table:
        """A table; empty if absent."""
        empty: dict[str, Any] = {}
        value = self._read(key, empty, lambda v: v if isinstance(v, dict) else None, "a table")
        return Table(self.source, value, self.full_name(key), self.schema_builder.enter(key, is_list=False))

    def tables(self, key: str) -> list[Table]:
        """A list of tables; empty if absent."""

        def read(value: Any) -> list[dict[str, Any]] | None:
            return value if isinstance(value, list) and all(isinstance(v, dict) for v in value) else None

        empty: list[dict[str, Any]] = []
        items = self._read(key, empty, read, "a list of tables")
        schema = self.schema_builder.enter(key, is_list=True)
        return [Table(self.source, values, f"{self.full_name(key)}[{i}]", schema) for i, values in enumerate(items)]

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError for a key that was not read."""
        for key in self.values:
            if key not in self._read_keys:
                similar = difflib.get_close_matches(key, self._read_keys, 1)
                raise self.error(key, "unknown" + (f"; did you mean {similar[0]}?" if similar else ""))


def read_file(path: Path) -> Table:
    """Read and parse a whole file; raises ConfigError."""
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE + 1)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from error
    if len(data) > MAX_FILE:
        raise ConfigError(f"{path}: larger than {MAX_FILE} bytes")
    try:
        text = data.decode()
        values = tomllib.loads(text)
    except UnicodeDecodeError as error:
        raise ConfigError(f"{path}: not UTF-8: {error.reason} at byte {error.start}") from None
    except tomllib.TOMLDecodeError as error:
        line_match = re.search(r"\(at line (\d+)", str(error))
        line = f":{line_match[1]}" if line_match else f":{text.count(chr(10)) + 1}"
        raise ConfigError(f"{path}{line}: not TOML: {error}") from None
    return Table(Source(path, text), values)
