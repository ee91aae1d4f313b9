"""Test hooks, loaded by every interpreter of a test's fleet: signals a process at a stage boundary, once.

A file `INSTANCE.STAGE` (or `any.STAGE`) in the folder STAGE_HOOKS selects the process and the stage; its content is
the signal's number. The process that renames the file first sends the signal to itself.

With STALL_HOOKS set, signals make an instance stall in ways that cannot be caused from outside: USR1 makes it spin,
USR2 makes it sleep for good, and URG stops its heartbeat while it continues to serve.
"""

import os
from typing import Any

FOLDER = os.environ.get("STAGE_HOOKS", "")


def reached(stage: str) -> None:
    """Send this process the signal that is requested for a stage, if any."""
    for name in (os.environ.get("FLEET_INSTANCE", "?"), "any"):
        path = os.path.join(FOLDER, f"{name}.{stage}")
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

    proxy_init = Proxy.__init__

    def patched_proxy_init(self: Any, *arguments: Any) -> None:
        reached("starting")
        proxy_init(self, *arguments)

    Proxy.__init__ = patched_proxy_init  # type: ignore
    connection_made = CallerConnection.connection_made
    tracker_init, handle_request, on_attempt_ended = (
        InflightTracker.__init__,
        Proxy.handle_request,
        Proxy.on_attempt_ended,
    )

    def patched_tracker_init(self: Any, *arguments: Any) -> None:
        tracker_init(self, *arguments)
        self.on_stage = reached

    def patched_handle_request(self: Any, caller: Any, request: Any) -> Any:
        if request.target != b"/up":
            reached("read")
        return handle_request(self, caller, request)

    def patched_connection_made(self: Any, transport: Any) -> None:
        reached("accepted")
        connection_made(self, transport)

    CallerConnection.connection_made = patched_connection_made  # type: ignore

    def patched_on_attempt_ended(self: Any, *arguments: Any) -> None:
        reached("ended")
        on_attempt_ended(self, *arguments)

    Proxy.on_attempt_ended = patched_on_attempt_ended  # type: ignore
    InflightTracker.__init__ = patched_tracker_init  # type: ignore
    Proxy.handle_request = patched_handle_request  # type: ignore


if os.environ.get("STALL_HOOKS"):
    import signal
    import time
    from typing import NoReturn

    from cometusher.fleet import heartbeat

    original_start_heartbeat = heartbeat.start_heartbeat

    class StoppedClock:
        """A clock that stands still."""

        @staticmethod
        def monotonic_ns(at: int = 0) -> int:
            return at

    def spin(signal_number: int, frame: Any) -> NoReturn:
        while True:
            sum(range(1000))

    def hang(signal_number: int, frame: Any) -> None:
        time.sleep(1000.0)

    def stop_heartbeat(signal_number: int, frame: Any) -> None:
        now = time.monotonic_ns()
        StoppedClock.monotonic_ns = staticmethod(lambda: now)  # type: ignore
        heartbeat.time = StoppedClock  # type: ignore

    def start_with_handlers(*arguments: Any) -> None:
        for signal_number, handler in (
            (signal.SIGUSR1, spin),
            (signal.SIGUSR2, hang),
            (signal.SIGURG, stop_heartbeat),
        ):
            signal.signal(signal_number, handler)
        original_start_heartbeat(*arguments)

    heartbeat.start_heartbeat = start_with_handlers  # type: ignore
