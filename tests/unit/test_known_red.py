"""Tests of the list of tests that fail because of a known defect."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import known_red
import pytest

TESTS = Path(known_red.__file__).parent
MODULE = """
import pytest
def test_red(): assert False
def test_green(): pass
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert n > 2
"""


def run_tests(folder: Path, lines: str) -> tuple[int, str]:
    """Run the module's tests in a folder with a list; returns the exit code and the output."""
    (folder / "test_it.py").write_text(MODULE)
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / known_red.FILE).write_text(lines)
    command = [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", "-q"]
    result = subprocess.run(
        command, cwd=folder, env=os.environ | {"PYTHONPATH": str(TESTS)}, capture_output=True, text=True, check=False
    )
    return result.returncode, result.stdout


BOTH = "test_it.py::test_both | pytest | a fault | issue 2\n"


def test_listed_tests_may_fail(tmp_path: Path) -> None:
    code, text = run_tests(tmp_path, f"# a remark\ntest_it.py::test_red | pytest | a fault | issue 1\n\n{BOTH}")
    assert code == 0 and "1 passed, 3 xfailed" in text


def test_failure_of_an_unlisted_test_fails_the_run(tmp_path: Path) -> None:
    code, text = run_tests(tmp_path, BOTH)
    assert code == 1 and "1 failed, 1 passed, 2 xfailed" in text


def test_pass_of_a_listed_test_fails_the_run(tmp_path: Path) -> None:
    code, text = run_tests(tmp_path, f"test_it.py::test_red | p | a | 1\ntest_it.py::test_green | p | b | 2\n{BOTH}")
    assert code == 1 and "XPASS(strict)" in text


def test_test_that_fails_sometimes_may_pass(tmp_path: Path) -> None:
    lines = "test_it.py::test_red | p | sometimes: a | 1\ntest_it.py::test_green | p | sometimes: b | 2\n"
    code, text = run_tests(tmp_path, lines + BOTH)
    assert code == 0 and "3 xfailed, 1 xpassed" in text


def test_name_with_a_common_prefix_is_not_covered() -> None:
    assert not known_red.KnownRed("t.py::test_a", "p", "x", "1").covers("t.py::test_ab")


@pytest.mark.parametrize(
    ("lines", "error_text"),
    [
        ("a | b | c\n", "KNOWN-RED.txt:1: not of the form"),
        ("a | b | c | d\na | | c | d\n", "KNOWN-RED.txt:2: not of the form"),
        ("a | b | c | d\n" * 4, "4 lines, 3 at most"),
        ("a | b | c | d\n" + "a | b | sometimes: c | d\n" * 4, "4 lines, 3 at most of tests that fail sometimes"),
    ],
)
def test_invalid_list_is_rejected(tmp_path: Path, lines: str, error_text: str) -> None:
    (tmp_path / known_red.FILE).write_text(lines)
    with pytest.raises(known_red.InvalidList, match=error_text):
        known_red.read_list(tmp_path / known_red.FILE)
    assert known_red.main(tmp_path) == 1


def test_program_prints_each_line_and_rejects_unknown_tests(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "test_it.py").write_text(MODULE)
    (tmp_path / known_red.FILE).write_text("test_it.py::test_red | pytest -q | a fault | issue 1\n")
    assert known_red.main(tmp_path) == 0
    assert "known red: test_it.py::test_red: a fault (issue 1; pytest -q)" in capsys.readouterr().out
    (tmp_path / known_red.FILE).write_text("test_it.py::test_gone | p | a fault | issue 1\n")
    assert known_red.main(tmp_path) == 1
    assert "no such test: test_it.py::test_gone" in capsys.readouterr().err


def test_missing_list_is_empty(tmp_path: Path) -> None:
    assert known_red.read_list(tmp_path / known_red.FILE) == [] and known_red.main(tmp_path) == 0
