"""Tests that fail for a known fault: `KNOWN-RED.txt` at the root, a line each with test, cause and issue.

As a pytest plugin it expects just these to fail: one that passes fails the run. As a program it prints the lines, and
fails if one names no test or makes no sense.
"""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # lines


class BadList(Exception):
    """The file can't be used; the text names the line."""


@dataclass(frozen=True)
class KnownRed:
    """One test that fails for a fault that is known."""

    test: str  # its node id, without parameters for all of them
    cause: str
    issue: str

    def covers(self, node: str) -> bool:
        """Whether a node id is of this test."""
        return node == self.test or node.startswith(f"{self.test}[")


def read_list(path: Path) -> list[KnownRed]:
    """The lines of the file, none where there is no file; raises BadList."""
    if not path.exists():
        return []
    entries = []
    for number, line in enumerate(path.read_text().splitlines(), 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise BadList(f"{path.name}:{number}: not of the form: test | cause | issue")
        entries.append(KnownRed(*parts))
    if len(entries) > MOST:
        raise BadList(f"{path.name}: {len(entries)} lines, {MOST} at most")
    return entries


def pytest_collection_modifyitems(config: pytest.Config, items: Sequence[pytest.Item]) -> None:
    """Expect the listed tests to fail, and nothing else of them."""
    for entry in read_list(config.rootpath / FILE):
        for item in items:
            if entry.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{entry.issue}: {entry.cause}", strict=True))


def main(root: Path) -> int:
    """Print the list and check that each line names a test; returns the exit code."""
    try:
        entries = read_list(root / FILE)
    except BadList as fault:
        print(fault, file=sys.stderr)
        return 1
    code = 0
    for entry in entries:
        print(f"known red: {entry.test}: {entry.cause} ({entry.issue})")
        command = [sys.executable, "-m", "pytest", "--collect-only", "-q", entry.test]
        if subprocess.run(command, cwd=root, capture_output=True, check=False).returncode:
            print(f"{FILE}: no such test: {entry.test}", file=sys.stderr)
            code = 1
    return code


if __name__ == "__main__":
    sys.exit(main(Path(__file__).parent.parent))
