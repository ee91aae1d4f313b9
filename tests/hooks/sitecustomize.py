"""Loaded by every interpreter of a test's fleet: kills or stops a process at a stage boundary, once.

With STALL_HOOKS, signals make an instance stall as nothing from outside could: USR1 has it spin, USR2 sleep for good,
URG stop beating while it serves.

A file `INSTANCE.STAGE` (or `any.STAGE`) in the folder STAGE_HOOKS says which: its content is the signal's number. Who
renames it first is the one.
"""

import os
from typing import Any

FOLDER = os.environ.get("STAGE_HOOKS", "")


def reached(stage: str) -> None:
    """A stage boundary."""
    for who in (os.environ.get("FLEET_INSTANCE", "?"), "any"):
        path = os.path.join(FOLDER, f"{who}.{stage}")
        try:
            os.rename(path, f"{path}.{os.getpid()}")
        except OSError:
            continue
        with open(f"{path}.{os.getpid()}") as file:
            os.kill(os.getpid(), int(file.read()))


if FOLDER:
    from cometusher.callers import CallerConnection
    from cometusher.inflight.tracker import InflightTracker
    from cometusher.proxy import Proxy

    make = Proxy.__init__

    def made(self: Any, *arguments: Any) -> None:
        reached("starting")
        make(self, *arguments)

    Proxy.__init__ = made  # type: ignore
    up = CallerConnection.connection_made
    begin, take, end = InflightTracker.__init__, Proxy.handle_request, Proxy.on_attempt_ended

    def begun(self: Any, *arguments: Any) -> None:
        begin(self, *arguments)
        self.on_stage = reached

    def taken(self: Any, caller: Any, request: Any) -> Any:
        if request.target != b"/up":
            reached("read")
        return take(self, caller, request)

    def opened(self: Any, transport: Any) -> None:
        reached("accepted")
        up(self, transport)

    CallerConnection.connection_made = opened  # type: ignore

    def ended(self: Any, *arguments: Any) -> None:
        reached("ended")
        end(self, *arguments)

    Proxy.on_attempt_ended = ended  # type: ignore
    InflightTracker.__init__ = begun  # type: ignore
    Proxy.handle_request = taken  # type: ignore


if os.environ.get("STALL_HOOKS"):
    import signal
    import time
    from typing import NoReturn

    from cometusher.fleet import heartbeat

    turn = heartbeat.turn

    class Mute:
        """A clock that stands."""

        @staticmethod
        def monotonic_ns(at: int = 0) -> int:
            return at

    def spin(number: int, frame: Any) -> NoReturn:
        while True:
            sum(range(1000))

    def hang(number: int, frame: Any) -> None:
        time.sleep(1000.0)

    def mute(number: int, frame: Any) -> None:
        now = time.monotonic_ns()
        Mute.monotonic_ns = staticmethod(lambda: now)  # type: ignore
        heartbeat.time = Mute  # type: ignore

    def stalls(*arguments: Any) -> None:
        for number, deed in ((signal.SIGUSR1, spin), (signal.SIGUSR2, hang), (signal.SIGURG, mute)):
            signal.signal(number, deed)
        turn(*arguments)

    heartbeat.turn = stalls  # type: ignore
