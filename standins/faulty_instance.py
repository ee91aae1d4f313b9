"""An instance that misbehaves as its first argument says; it speaks a supervisor's contract, or breaks it.

Descriptors: 3 the listener, 4 the status pipe, 5 the lifeline (docs/operators/fleet.md).

    ok           ready, answers, ends on SIGTERM and with its supervisor
    exits        ends at once with code 3
    exits-later  ready, and ends with code 4 as soon as it has answered a check
    mute         listens and says nothing: never ready
    stubborn     ready, answers, and ignores SIGTERM
    deaf         ready; beats on, but answers nothing after its first check
    busy         ready; computes for a second and a half after its first check, and hears nothing meanwhile
    flag FILE    ok, unless FILE is there: then it ends at once with code 5
    stuck        ready, and then neither reads nor hears anything any more
    loud N       ok, and writes N lines of rubbish to standard output
"""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import sys
import time
from pathlib import Path

LISTENER, STATUS, LIFELINE = 3, 4, 5
BEAT = 0.2  # seconds


def say(**values: object) -> None:
    """One line through the status pipe."""
    os.write(STATUS, json.dumps(values).encode() + b"\n")


def answer(listener: socket.socket) -> bool:
    """One request, whatever it is, is answered with 200; False if nobody waited for that any more."""
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(2.0)
        try:
            connection.recv(4096)
            waits = not select.select([connection], [], [], 0)[0]  # else its end has come
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        except OSError:
            return False
    return waits


def main(mode: str, value: str) -> int:
    """Returns the exit code."""
    if mode == "exits":
        return 3
    if mode == "flag" and Path(value).exists():
        return 5
    if mode == "stubborn":
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
    else:
        signal.signal(signal.SIGTERM, lambda *rest: os._exit(0))
    if mode == "loud":
        os.set_blocking(1, True)
        for number in range(int(value)):
            print(f"rubbish {number}", flush=True)
    listener = socket.socket(fileno=LISTENER)
    listener.setblocking(True)
    if mode == "mute":
        select.select([LIFELINE], [], [])
        return 0
    signal.signal(signal.SIGHUP, lambda *rest: say(event="reloaded", why=None))
    say(event="ready")
    answered = 0
    while True:
        wanted = [LIFELINE] if mode == "deaf" and answered else [LIFELINE, LISTENER]
        readable, _, _ = select.select(wanted, [], [], BEAT)
        if LIFELINE in readable:
            return 0
        if LISTENER in readable:
            answered += answer(listener)
            if answered and mode == "exits-later":
                return 4
            if answered == 1 and mode == "busy":
                until = time.process_time() + 1.5
                while time.process_time() < until:
                    pass
            if answered and mode == "stuck":
                signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
                signal.sigwait([signal.SIGUSR2])  # which nobody sends
        say(event="beat", open=0, served=answered if mode != "deaf" else 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
