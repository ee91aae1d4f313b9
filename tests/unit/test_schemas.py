"""The published schemas match the readers; the project's files are valid against them, and invalid files are not."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import orjson
import pytest
from jsonschema import Draft202012Validator

from cometusher.schemas import FILE_KINDS, schema

ROOT = Path(__file__).parent.parent.parent
FILES = [("fleet", ROOT / "deploy" / "fleet.toml")]
FILES += [("drill", path) for path in sorted((ROOT / "deploy" / "drills").glob("*.toml"))]


def schema_errors(name: str, values: dict[str, Any]) -> list[str]:
    return [error.json_path for error in Draft202012Validator(schema(name)).iter_errors(values)]


@pytest.mark.parametrize("name", sorted(FILE_KINDS))
def test_published_schema_matches_the_reader(name: str) -> None:
    published = orjson.loads((ROOT / "deploy" / "schema" / f"{name}.json").read_bytes())
    assert published == schema(name), "python -m cometusher.schemas deploy/schema"
    Draft202012Validator.check_schema(published)


@pytest.mark.parametrize(("name", "path"), FILES, ids=[path.stem for _, path in FILES])
def test_project_files_are_valid(name: str, path: Path) -> None:
    values = tomllib.loads(path.read_text())
    assert not schema_errors(name, values)
    if name == "fleet":
        assert not schema_errors(name, values | {"comeback": {"list_for": 60.0, "herd_share": 0.5}})


@pytest.mark.parametrize(
    ("table", "key", "value"),
    [
        ("comeback", "multiple", 0.5),
        ("comeback", "lists_for", 1.0),
        ("fleet", "spawn", "thread"),
        ("policy", "jitter", "a"),
    ],
)
def test_values_that_the_reader_rejects_violate_the_schema(table: str, key: str, value: Any) -> None:
    values = tomllib.loads((ROOT / "deploy" / "fleet.toml").read_text())
    values.setdefault(table, {})[key] = value
    assert [error for error in schema_errors("fleet", values) if error.startswith(f"$.{table}")]
