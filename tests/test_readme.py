"""Checks README: the embedding example runs as printed, and the set-up command installs all dependencies."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_embedding_example_runs() -> None:
    text = (ROOT / "README.md").read_text()
    blocks = re.findall(r"```python\n(.*?)```", text, re.S)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})


def pinned(name: str) -> list[str]:
    """The requirements in a file, without those of included files."""
    lines = (line.strip() for line in (ROOT / name).read_text().splitlines())
    return sorted(line for line in lines if line and not line.startswith("-"))


def test_set_up_command_installs_the_declared_dependencies() -> None:
    """An existing environment would hide that a requirements file lacks entries; a new checkout would fail."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert pinned("requirements.txt") == sorted(project["dependencies"])
    assert pinned("requirements-dev.txt") == sorted(project["optional-dependencies"]["dev"])
    assert "-r requirements.txt" in (ROOT / "requirements-dev.txt").read_text().splitlines()
    assert "pip install -r requirements-dev.txt" in (ROOT / "README.md").read_text()
