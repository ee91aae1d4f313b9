"""Generates the published JSON schemas of the project's files from the readers that check them.

    python -m cometusher.schemas deploy/schema

A reader runs on a sample that has every table, and the keys that it reads become the schema. Only `cometusher check`
finds what a schema can't express: duplicate names, and errors in files that a file names.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from cometusher.fault_injection.scenario import build_scenario
from cometusher.fleet.spec import build_spec
from cometusher.toml_reader import Source, Table

FLEET_SAMPLE = """
[fleet]
state = "state"
[policy]
[log]
[common]
command = ["true"]
[comeback]
[takeover]
[vigil]
[mesh]
listen = "127.0.0.1:7400"
secret = "mesh.key"
[[instance]]
name = "a"
listen = "127.0.0.1:9000"
management = "127.0.0.1:9001"
[[range]]
name = "b{}"
ports = "9100-9101"
"""
DRILL_SAMPLE = """
[drill]
[backends]
[load]
[[fleet]]
name = "a"
[[fault]]
do = "link"
link = "backend"
fleet = "a"
[[expect]]
figure = "served"
"""
FILE_KINDS: dict[str, tuple[str, Callable[[Path, Table], object]]] = {
    "fleet": (FLEET_SAMPLE, build_spec),
    "drill": (DRILL_SAMPLE, build_scenario),
}


def schema(name: str) -> dict[str, Any]:
    """The schema of one kind of file, `fleet` or `drill`."""
    sample, read_table = FILE_KINDS[name]
    path = Path(f"/{name}.toml")
    table = Table(Source(path, sample), tomllib.loads(sample))
    read_table(path, table)
    header = {"$schema": "https://json-schema.org/draft/2020-12/schema", "title": f"A {name}'s file"}
    return header | table.schema_builder.schema()


def write_schemas(folder: Path) -> None:
    """Write all schemas to a folder; raises OSError."""
    folder.mkdir(parents=True, exist_ok=True)
    for name in FILE_KINDS:
        data = orjson.dumps(schema(name), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE)
        (folder / f"{name}.json").write_bytes(data)


if __name__ == "__main__":
    write_schemas(Path(sys.argv[1]))
