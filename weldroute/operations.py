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

EVACUATE_IDLE = 1.4  # seconds in which a connection may bring one more request after a drain began
STOP_ACCEPT = 0.45  # seconds after the order to stop in which new connections are taken
STOP_READ = 0.25  # seconds for the rest of a request once no further one is wanted


class Stance(Enum):
    """What this process is doing about its callers."""

    SERVING = "serving"
    EVACUATED = "evacuated"
    YIELDING = "yielding"
    ASIDE = "aside"
    STOPPING = "stopping"


@dataclass(frozen=True, slots=True)
class Posture:
    """What holds for callers at one moment."""

    up: bool = True  # the answer to the front
    listens: bool = True
    closes: bool = False  # every answer ends its connection
    keeps_idle: bool = True
    keeps_partial: bool = True  # requests of which a part has come


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer to a call: a status of HTTP, and why."""

    status: int
    text: str

    @property
    def yes(self) -> bool:
        """Whether it was done."""
        return 200 <= self.status < 300


DONE = Verdict(200, "done")
ALREADY = Verdict(200, "already so")
STOPPING = Verdict(409, "this process is stopping")
NOT_YET = Verdict(503, "not yet")
UNKNOWN = Verdict(404, "no backend of this id")


class Operations:
    """The stance of one proxy process."""

    def __init__(self) -> None:
        self.evacuated = False  # by operators; outlives this process
        self._evacuated_at = 0.0
        self._yielding = False  # a newer process serves the same listener
        self.aside = False  # its supervisor accepts on the same listener
        self._stopped_at: float | None = None
        self._keep = 0.0
        self.serving = False  # it listens, and knows where to send

    @property
    def stance(self) -> Stance:
        """The state."""
        if self._stopped_at is not None:
            return Stance.STOPPING
        if self._yielding:
            return Stance.YIELDING
        if self.evacuated:
            return Stance.EVACUATED
        return Stance.ASIDE if self.aside else Stance.SERVING

    def posture(self, now: float) -> Posture:
        """What holds at this moment."""
        drained = self.evacuated and now - self._evacuated_at >= EVACUATE_IDLE
        if self._stopped_at is None:
            return Posture(
                up=not self.evacuated,
                listens=not (self._yielding or self.aside),
                closes=self.evacuated or self._yielding or self.aside,
                keeps_idle=not drained,
            )
        since = now - self._stopped_at
        listens = since < STOP_ACCEPT and not self._yielding
        over = since >= self._keep
        return Posture(
            up=listens and not self.evacuated,
            listens=listens,
            closes=over or self._yielding or self.evacuated,
            keeps_idle=not over and not drained,
            keeps_partial=since < self._keep + STOP_READ,
        )

    # ---- events --------------------------------------------------------------------------

    def evacuate(self, now: float) -> Verdict:
        """Operators want this proxy emptied; twice is once."""
        if self._stopped_at is not None:
            return STOPPING
        if self.evacuated:
            return ALREADY
        self.evacuated = True
        self._evacuated_at = now
        return DONE

    def rejoin(self) -> Verdict:
        """Operators want it back, whether or not it is empty yet."""
        if self._stopped_at is not None:
            return STOPPING
        if not self.evacuated:
            return ALREADY
        self.evacuated = False
        return DONE

    def yielded(self, to_newer: bool) -> None:
        """A newer process serves the listener now, or has gone again."""
        self._yielding = to_newer

    def stop(self, now: float, keep: float) -> None:
        """The order to end: those that stay connected are served for `keep` seconds more."""
        if self._stopped_at is None:
            self._stopped_at = now
            self._keep = max(keep, STOP_ACCEPT)  # what connects until then is to be served

    def ready(self) -> Verdict:
        """Whether this process can serve."""
        if self._stopped_at is not None:
            return STOPPING
        return DONE if self.serving else NOT_YET


# ---- calls -------------------------------------------------------------------------------


class Call(Enum):
    """What can be asked at the second address."""

    READY = "ready"
    EXCLUDE = "exclude"
    INCLUDE = "include"
    EVACUATE = "evacuate"
    REJOIN = "rejoin"


ROUTES: Mapping[bytes, tuple[bytes, Call]] = {
    b"/api/ready": (b"GET", Call.READY),
    b"/api/exclude": (b"POST", Call.EXCLUDE),
    b"/api/include": (b"POST", Call.INCLUDE),
    b"/api/evacuate": (b"POST", Call.EVACUATE),
    b"/api/rejoin": (b"POST", Call.REJOIN),
}
MAX_CALL_BODY = 4096  # bytes; an id has a few dozen


def route(method: bytes, target: bytes) -> Call | Verdict:
    """The call that a request line stands for, or the verdict on one that stands for none."""
    found = ROUTES.get(target.partition(b"?")[0])
    if found is None:
        return Verdict(404, "no such call")
    wanted, call = found
    return call if method == wanted else Verdict(405, f"the method is {wanted.decode()}")


def who(body: object) -> str | Verdict:
    """The id that an exclude or include names, out of its JSON body."""
    if not isinstance(body, dict) or not isinstance(body.get("who"), str) or not body["who"]:
        return Verdict(400, 'the body is not {"who":"ID"}')
    return str(body["who"])
