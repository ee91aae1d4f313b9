"""Becoming a daemon, as daemon(7) describes it for programs that no service manager starts."""

from __future__ import annotations

import os
import sys
from collections.abc import Callable

MAX_REPORT = 4096  # bytes of the daemon's report on its start


def daemonize(report: Callable[[int, str], None]) -> Callable[[int, str], None]:
    """Fork twice, and return in the daemon only.

    The daemon has its own session and can't acquire a terminal, works in `/`, creates files that others can't write,
    and has its standard streams at /dev/null. Returns a function that sends the outcome of the start (exit code and
    text) to the original process, which waits for it, passes it to `report`, and exits with the code.
    """
    reader, writer = os.pipe()
    if (first := os.fork()) > 0:
        os.close(writer)
        os.waitpid(first, 0)
        _await_report(reader, report)
    os.close(reader)
    os.setsid()
    if os.fork() > 0:
        os._exit(0)
    os.chdir("/")
    os.umask(0o027)
    null = os.open(os.devnull, os.O_RDWR)
    for number in range(3):
        os.dup2(null, number)
    os.close(null)

    def report_start(code: int, text: str) -> None:
        nonlocal writer
        if writer >= 0:
            os.write(writer, f"{code} {text}".encode()[:MAX_REPORT])
            os.close(writer)
            writer = -1

    return report_start


def _await_report(reader: int, report: Callable[[int, str], None]) -> None:
    message = b""
    while data := os.read(reader, MAX_REPORT):
        message += data
    code, _, text = message.decode(errors="replace").partition(" ")
    if not code.isdigit():
        code, text = "1", "the daemon exited before it was ready; see its log"
    report(int(code), text)
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(int(code))
