"""An instance that follows or breaks the supervisor's protocol, as its first argument says.

Descriptors: 3 the listener, 4 the status pipe, 5 the lifeline (docs/operators/fleet.md).

    ok           becomes ready, responds, ends on SIGTERM and with its supervisor
    exits        exits at once with code 3
    exits-later  becomes ready, and exits with code 4 after it has answered a check
    mute         listens and sends nothing: never becomes ready
    stubborn     becomes ready, responds, and ignores SIGTERM
    deaf         becomes ready; continues heartbeats, but accepts nothing after its first check
    busy         becomes ready; uses the processor for 1.5 s after its first check, and handles nothing meanwhile
    flag FILE    ok, unless FILE exists: then it exits at once with code 5
    stuck        becomes ready, and after its first check blocks with all signals masked
    loud N       ok, and writes N lines of unstructured text to standard output
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
HEARTBEAT_INTERVAL = 0.2  # seconds


def report(**values: object) -> None:
    """Write one line to the status pipe."""
    os.write(STATUS, json.dumps(values).encode() + b"\n")


def answer_request(listener: socket.socket) -> bool:
    """Answer one request, whatever it is, with 200; returns False if the client had already closed."""
    connection, _ = listener.accept()
    with connection:
        connection.settimeout(2.0)
        try:
            connection.recv(4096)
            # Readable after the request: the end of the stream.
            client_waits = not select.select([connection], [], [], 0)[0]
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        except OSError:
            return False
    return client_waits


def main(mode: str, value: str) -> int:
    """Run one mode; returns the exit code."""
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
    signal.signal(signal.SIGHUP, lambda *rest: report(event="reloaded", why=None))
    report(event="ready")
    answered = 0
    while True:
        watched = [LIFELINE] if mode == "deaf" and answered else [LIFELINE, LISTENER]
        readable, _, _ = select.select(watched, [], [], HEARTBEAT_INTERVAL)
        if LIFELINE in readable:
            return 0
        if LISTENER in readable:
            answered += answer_request(listener)
            if answered and mode == "exits-later":
                return 4
            if answered == 1 and mode == "busy":
                deadline = time.process_time() + 1.5
                while time.process_time() < deadline:
                    pass
            if answered and mode == "stuck":
                signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
                signal.sigwait([signal.SIGUSR2])  # which is never sent
        report(event="beat", open=0, served=answered if mode != "deaf" else 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1], sys.argv[2] if len(sys.argv) > 2 else ""))
