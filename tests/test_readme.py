"""What README promises: the embedding example runs as printed, and the set-up command brings all that is needed."""

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
    """The requirements that a file names, without those that it includes."""
    lines = (line.strip() for line in (ROOT / name).read_text().splitlines())
    return sorted(line for line in lines if line and not line.startswith("-"))


def test_the_set_up_command_installs_what_the_project_declares() -> None:
    """An environment that stands hides a file of requirements that was emptied; a new checkout does not."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert pinned("requirements.txt") == sorted(project["dependencies"])
    assert pinned("requirements-dev.txt") == sorted(project["optional-dependencies"]["dev"])
    assert "-r requirements.txt" in (ROOT / "requirements-dev.txt").read_text().splitlines()
    assert "pip install -r requirements-dev.txt" in (ROOT / "README.md").read_text()
