"""The lifecycle of one proxy process, and the calls to its management address.

Sans-I/O: every event takes the time, and nothing here reads a clock. One state machine covers all ways of taking a
process out of service: the operators' drain, SIGTERM, a newer process on the same listener, and ejection.

| state | left by | `/up` | listens | closes after answer | idle kept | incomplete kept |
| --- | --- | --- | --- | --- | --- | --- |
| SERVING | evacuate, a newer process, ejection, stop | yes | yes | no | yes | yes |
| EVACUATED | rejoin, stop | no | yes | yes | for EVACUATE_IDLE_TIMEOUT | yes |
| YIELDING | the newer process going away, stop | as before | no | yes | yes | yes |
| EJECTED | its supervisor, stop | as before | no | yes | yes | yes |
| STOPPING | nothing | while it listens | for STOP_ACCEPT_PERIOD | from `keep` on | for `keep` | + STOP_READ_PERIOD |

EJECTED is a process that performs worse than its peers: its supervisor accepts on its behalf and gives it the
connections that it may have.

A process that stops while its successor serves the same listener stops listening, and ends connections with their
answers, at once: its callers can connect to the successor.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

EVACUATE_IDLE_TIMEOUT = 1.4  # seconds after the start of a drain in which a connection may send one more request
STOP_ACCEPT_PERIOD = 0.45  # seconds after the order to stop in which new connections are accepted
STOP_READ_PERIOD = 0.25  # seconds for the rest of an incomplete request once no further ones are accepted


class LifecycleState(Enum):
    """State of this process towards its callers."""

    SERVING = "serving"
    EVACUATED = "evacuated"
    YIELDING = "yielding"
    EJECTED = "aside"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class ListenerState:
    """How the listener and the callers' connections are handled in a state."""

    up: bool = True  # the answer to `/up`
    listens: bool = True
    closes_after_answer: bool = False  # every answer ends its connection
    keeps_idle: bool = True
    keeps_incomplete: bool = True  # requests of which only a part has arrived


@dataclass(frozen=True, slots=True)
class CallResult:
    """The answer to a management call: an HTTP status and a text."""

    status: int
    text: str

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


DONE = CallResult(200, "done")
ALREADY_DONE = CallResult(200, "already so")
STOPPING = CallResult(409, "this process is stopping")
NOT_YET = CallResult(503, "not yet")
UNKNOWN_BACKEND = CallResult(404, "no backend of this id")


class Operations:
    """The lifecycle of one proxy process."""

    def __init__(self) -> None:
        self.evacuated = False  # by operators; the order outlives this process
        self._evacuated_at = 0.0
        self._yielding = False  # a newer process serves the same listener
        self.ejected = False  # its supervisor accepts on the same listener instead
        self._stopped_at: float | None = None
        self._keep = 0.0
        self.serving = False  # it listens and knows its backends

    @property
    def state(self) -> LifecycleState:
        """The current state; the first that applies of stopping, yielding, evacuated and ejected."""
        if self._stopped_at is not None:
            return LifecycleState.STOPPING
        if self._yielding:
            return LifecycleState.YIELDING
        if self.evacuated:
            return LifecycleState.EVACUATED
        return LifecycleState.EJECTED if self.ejected else LifecycleState.SERVING

    def listener_state(self, now: float) -> ListenerState:
        """Return how connections are handled at this time."""
        idle_expired = self.evacuated and now - self._evacuated_at >= EVACUATE_IDLE_TIMEOUT
        if self._stopped_at is None:
            return ListenerState(
                up=not self.evacuated,
                listens=not (self._yielding or self.ejected),
                closes_after_answer=self.evacuated or self._yielding or self.ejected,
                keeps_idle=not idle_expired,
            )
        elapsed = now - self._stopped_at
        listens = elapsed < STOP_ACCEPT_PERIOD and not self._yielding
        keep_elapsed = elapsed >= self._keep
        return ListenerState(
            up=listens and not self.evacuated,
            listens=listens,
            closes_after_answer=keep_elapsed or self._yielding or self.evacuated,
            keeps_idle=not keep_elapsed and not idle_expired,
            keeps_incomplete=elapsed < self._keep + STOP_READ_PERIOD,
        )

    # ---- events --------------------------------------------------------------------------

    def evacuate(self, now: float) -> CallResult:
        """Start a drain, ordered by operators; a repeated order has no further effect."""
        if self._stopped_at is not None:
            return STOPPING
        if self.evacuated:
            return ALREADY_DONE
        self.evacuated = True
        self._evacuated_at = now
        return DONE

    def rejoin(self) -> CallResult:
        """End a drain, ordered by operators, whether or not the proxy is empty yet."""
        if self._stopped_at is not None:
            return STOPPING
        if not self.evacuated:
            return ALREADY_DONE
        self.evacuated = False
        return DONE

    def on_newer_process(self, serves: bool) -> None:
        """Note that a newer process serves the listener, or went away again."""
        self._yielding = serves

    def stop(self, now: float, keep: float) -> None:
        """Stop for good: callers that stay connected are served for `keep` more seconds."""
        if self._stopped_at is None:
            self._stopped_at = now
            self._keep = max(keep, STOP_ACCEPT_PERIOD)  # callers that connect until then must be served

    def readiness(self) -> CallResult:
        """Report whether this process can serve."""
        if self._stopped_at is not None:
            return STOPPING
        return DONE if self.serving else NOT_YET


# ---- calls -------------------------------------------------------------------------------


class ManagementCall(Enum):
    """Calls to the management address."""

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
    """Return the call of a request line, or the error result if it has none."""
    entry = ROUTES.get(target.partition(b"?")[0])
    if entry is None:
        return CallResult(404, "no such call")
    expected, call = entry
    return call if method == expected else CallResult(405, f"the method is {expected.decode()}")


def read_backend_id(body: object) -> str | CallResult:
    """Return the backend id in the JSON body of an exclude or include call, or the error result."""
    if not isinstance(body, dict) or not isinstance(body.get("who"), str) or not body["who"]:
        return CallResult(400, 'the body is not {"who":"ID"}')
    return str(body["who"])
