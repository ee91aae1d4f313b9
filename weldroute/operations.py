"""What operators ask of one proxy, and what follows from it: the ways of leaving, and the verdicts on calls.

Sans-I/O: every event takes the time, and nothing here reads a clock. There is one state machine for all ways of
leaving, whoever asks for it: the operators' drain, SIGTERM, or a newer process on the same listener.

| state | left by | `/up` | listens | answers end connections | idle kept | unfinished kept |
| --- | --- | --- | --- | --- | --- | --- |
| SERVING | evacuate, yielded, stop | yes | yes | no | yes | yes |
| EVACUATED | rejoin, stop | no | yes | yes | for EVACUATE_IDLE | yes |
| YIELDING | resumed, stop | as before | no | yes | yes | yes |
| ASIDE | its supervisor, stop | as before | no | yes | yes | yes |
| STOPPING | nothing | no once deaf | for STOP_ACCEPT | from `keep` on | for `keep` | STOP_READ longer |

ASIDE is a process that fares worse than its siblings: its supervisor accepts for it, and gives it what it may have.

A process that stops while its successor serves the same listener stops listening and ends connections with their
answers from the first moment: their callers have somewhere to go.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

EVACUATE_IDLE_TIMEOUT = 1.4  # seconds in which a connection may bring one more request after a drain began
STOP_ACCEPT_PERIOD = 0.45  # seconds after the order to stop in which new connections are taken
STOP_READ_PERIOD = 0.25  # seconds for the rest of a request once no further one is wanted


class LifecycleState(Enum):
    """What this process is doing about its callers."""

    SERVING = "serving"
    EVACUATED = "evacuated"
    YIELDING = "yielding"
    EJECTED = "aside"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class ListenerState:
    """What holds for callers at one moment."""

    up: bool = True  # the answer to the front
    listens: bool = True
    closes_after_answer: bool = False  # every answer ends its connection
    keeps_idle: bool = True
    keeps_incomplete: bool = True  # requests of which a part has come


@dataclass(frozen=True, slots=True)
class CallResult:
    """The answer to a call: a status of HTTP, and why."""

    status: int
    text: str

    @property
    def succeeded(self) -> bool:
        """Whether it was done."""
        return 200 <= self.status < 300


DONE = CallResult(200, "done")
ALREADY_DONE = CallResult(200, "already so")
STOPPING = CallResult(409, "this process is stopping")
NOT_YET = CallResult(503, "not yet")
UNKNOWN_BACKEND = CallResult(404, "no backend of this id")


class Operations:
    """The stance of one proxy process."""

    def __init__(self) -> None:
        self.evacuated = False  # by operators; outlives this process
        self._evacuated_at = 0.0
        self._yielding = False  # a newer process serves the same listener
        self.ejected = False  # its supervisor accepts on the same listener
        self._stopped_at: float | None = None
        self._keep = 0.0
        self.serving = False  # it listens, and knows where to send

    @property
    def state(self) -> LifecycleState:
        """The state."""
        if self._stopped_at is not None:
            return LifecycleState.STOPPING
        if self._yielding:
            return LifecycleState.YIELDING
        if self.evacuated:
            return LifecycleState.EVACUATED
        return LifecycleState.EJECTED if self.ejected else LifecycleState.SERVING

    def listener_state(self, now: float) -> ListenerState:
        """What holds at this moment."""
        drained = self.evacuated and now - self._evacuated_at >= EVACUATE_IDLE_TIMEOUT
        if self._stopped_at is None:
            return ListenerState(
                up=not self.evacuated,
                listens=not (self._yielding or self.ejected),
                closes_after_answer=self.evacuated or self._yielding or self.ejected,
                keeps_idle=not drained,
            )
        since = now - self._stopped_at
        listens = since < STOP_ACCEPT_PERIOD and not self._yielding
        over = since >= self._keep
        return ListenerState(
            up=listens and not self.evacuated,
            listens=listens,
            closes_after_answer=over or self._yielding or self.evacuated,
            keeps_idle=not over and not drained,
            keeps_incomplete=since < self._keep + STOP_READ_PERIOD,
        )

    # ---- events --------------------------------------------------------------------------

    def evacuate(self, now: float) -> CallResult:
        """Operators want this proxy emptied; twice is once."""
        if self._stopped_at is not None:
            return STOPPING
        if self.evacuated:
            return ALREADY_DONE
        self.evacuated = True
        self._evacuated_at = now
        return DONE

    def rejoin(self) -> CallResult:
        """Operators want it back, whether or not it is empty yet."""
        if self._stopped_at is not None:
            return STOPPING
        if not self.evacuated:
            return ALREADY_DONE
        self.evacuated = False
        return DONE

    def on_newer_process(self, serves: bool) -> None:
        """A newer process serves the listener now, or has gone again."""
        self._yielding = serves

    def stop(self, now: float, keep: float) -> None:
        """The order to end: those that stay connected are served for `keep` seconds more."""
        if self._stopped_at is None:
            self._stopped_at = now
            self._keep = max(keep, STOP_ACCEPT_PERIOD)  # what connects until then is to be served

    def readiness(self) -> CallResult:
        """Whether this process can serve."""
        if self._stopped_at is not None:
            return STOPPING
        return DONE if self.serving else NOT_YET


# ---- calls -------------------------------------------------------------------------------


class ManagementCall(Enum):
    """What can be asked at the second address."""

    READY = "ready"
    EXCLUDE = "exclude"
    INCLUDE = "include"
    EVACUATE = "evacuate"
    REJOIN = "rejoin"


ROUTES: Mapping[bytes, tuple[bytes, ManagementCall]] = {
    b"/api/ready": (b"GET", ManagementCall.READY),
    b"/api/exclude": (b"POST", ManagementCall.EXCLUDE),
    b"/api/include": (b"POST", ManagementCall.INCLUDE),
    b"/api/evacuate": (b"POST", ManagementCall.EVACUATE),
    b"/api/rejoin": (b"POST", ManagementCall.REJOIN),
}
MAX_CALL_BODY = 4096  # bytes; an id has a few dozen


def route(method: bytes, target: bytes) -> ManagementCall | CallResult:
    """The call that a request line stands for, or the verdict on one that stands for none."""
    found = ROUTES.get(target.partition(b"?")[0])
    if found is None:
        return CallResult(404, "no such call")
    wanted, call = found
    return call if method == wanted else CallResult(405, f"the method is {wanted.decode()}")


def read_backend_id(body: object) -> str | CallResult:
    """The id that an exclude or include names, out of its JSON body."""
    if not isinstance(body, dict) or not isinstance(body.get("who"), str) or not body["who"]:
        return CallResult(400, 'the body is not {"who":"ID"}')
    return str(body["who"])
