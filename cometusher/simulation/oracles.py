"""The four rules, checked from outside: what was written, read and run, as the wire and the peers saw it.

Sans-I/O: every method is told the time and an event. Nothing here asks the program under test for its own books, so
a fault in these can't hide itself. The account of a run is the list of its events; its digest names the run.
"""

from __future__ import annotations

import hashlib
import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from cometusher.simulation.script import LONG_THRESHOLD
from weldroute.model import Group, Repeat, RequestClass, Settings

PERSIST_DELAY = 1.0  # seconds after which what a proxy was told is kept
TIMING_SLACK = 0.05  # seconds by which each time limit is longer over a network than in the rules
RECHECK_INTERVAL = 0.1  # seconds between looks at a request whose proxy is held up
READ_DELAY = 0.2  # seconds that a request may wait in its connection
CATCH_UP_PERIOD = 1.0  # seconds after a hold in which what had come meanwhile may still be at work
LONG_MESSAGE = LONG_THRESHOLD  # bytes; longer answers go on while they come...
STALL_TIMEOUT = 13.0  # ...and what stopped coming is cut by then
REJECTION_STATUSES = (400, 405, 409, 413, 417, 431)  # what an honest request must not be told

ENDED_WITH_PROXY = "with the dead"  # how a request ended whose proxy was killed, when its time is up


@dataclass(frozen=True)
class Violation:
    """One breach of a rule."""

    oracle: str
    time: float
    text: str

    def __str__(self) -> str:
        return f"{self.time:.6f} {self.oracle}: {self.text}"


@dataclass
class Attempt:
    """One sending of a request to a node."""

    backend: str
    started_at: float
    is_pending: Callable[[], bool]  # whether its proxy still waits for it
    is_complete: Callable[[], bool]  # whether its last byte is written
    rejected: bool = False


@dataclass
class RequestState:
    """What is known of one request."""

    request_class: RequestClass
    proxy: str
    caller: str
    sent_at: float
    deadline: float
    body_size: int  # bytes
    answer_size: int  # bytes of its answer
    budget: float = 0.0  # seconds; 0 until its last byte is written
    key: bytes = b""
    attempts: list[Attempt] = field(default_factory=list)
    runs: int = 0
    outcome: str = ""  # how it ended...
    ended_at: float = 0.0  # ...and when
    other_holders: set[str] = field(default_factory=set)  # proxies that had it in hand beside its own, as heirs
    no_live_proxy: bool = False  # no proxy was there when it was sent

    @property
    def holders(self) -> set[str]:
        """All proxies that have, or had, its connection."""
        return {self.proxy} | self.other_holders


@dataclass
class BackendState:
    """What discovery has told one proxy of one node."""

    up: bool
    since: float
    born_ms: float


@dataclass
class BlockedSpans:
    """Spans in which a proxy could do nothing, through no fault of its own."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def overlap(self, begin: float, end: float) -> float:
        """Seconds of a span that it was held up."""
        return sum(max(0.0, min(end, stop) - max(begin, start)) for start, stop in self.spans)

    def contains(self, now: float) -> bool:
        """Whether it is held up now."""
        return any(start <= now < stop for start, stop in self.spans)


class RunChecker:
    """The account of one run, and what breaks the rules in it."""

    def __init__(
        self, settings: Settings, zones: dict[str, str], round_trip: float, seconds_per_byte: float = 0.0
    ) -> None:
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._rules = settings.rules
        self._max_attempts = settings.limits.max_attempts
        self._second_copies = settings.limits.second_copies
        self._zones = zones  # of nodes
        self._round_trip = round_trip  # seconds that a message may take to a proxy and back...
        self._seconds_per_byte = seconds_per_byte  # ...and each byte of a long one beside that
        self._requests: dict[str, RequestState] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._open_counts: dict[str, int] = {}
        self._known_states: dict[tuple[str, str], BackendState] = {}
        self._bans: dict[tuple[str, str], float] = {}  # since when a node is out at a proxy
        self._blocked_spans: dict[str, BlockedSpans] = {}
        self._deaths: dict[str, list[float]] = {}  # when proxies were killed
        self._first_effects: dict[str, float] = {}  # when unsafe and keyed requests first took effect
        self._recent_sends: dict[
            str, deque[tuple[float, bool]]
        ] = {}  # sends to a node: when, and by one that knew it cold
        self.slack: dict[str, float] = {}  # further seconds that a proxy has, as its timers are coarse
        self.cutting_backends: set[str] = set()  # nodes that were made to break off answers...
        self.faulted_backends: set[str] = (
            set()
        )  # ...and those that something befell: long ones of theirs may break off
        self.duplicated_ids: set[str] = set()  # requests whose id strangers used as well
        self.violations: list[Violation] = []
        self.trace: list[tuple[object, ...]] = []

    # ---- the account ---------------------------------------------------------------------

    def record_event(self, now: float, *fields: object) -> None:
        """One line of the account."""
        self.trace.append((now, *fields))

    def trace_lines(self) -> list[str]:
        """The account, to be read."""
        return [" ".join([f"{event[0]:11.6f}", *map(str, event[1:])]) for event in self.trace]

    def digest(self) -> str:
        """The same for runs that did the same."""
        return hashlib.sha256(repr(self.trace).encode()).hexdigest()[:16]

    def report_violation(self, now: float, oracle: str, text: str) -> None:
        """A rule is broken."""
        self.violations.append(Violation(oracle, now, text))
        self.record_event(now, "BROKEN", oracle, text)

    def outcome_counts(self) -> dict[str, int]:
        """How requests ended."""
        counts: dict[str, int] = {}
        for request in self._requests.values():
            counts[request.outcome or "open"] = counts.get(request.outcome or "open", 0) + 1
        return dict(sorted(counts.items()))

    def open_request_count(self, proxy: str) -> int:
        """Requests that wait for their answer."""
        return self._open_counts.get(proxy, 0)

    def recently_blocked(self, now: float, proxy: str) -> bool:
        """Whether a proxy can do nothing, or could not a moment ago."""
        return self.blocked_seconds(proxy, now - CATCH_UP_PERIOD, now) > 0.0

    def _end_request(self, now: float, request: RequestState, outcome: str) -> None:
        if not request.outcome:
            self._open_counts[request.proxy] -= 1
        request.outcome, request.ended_at = outcome, now

    # ---- callers -------------------------------------------------------------------------

    def on_request_sent(
        self,
        now: float,
        request_id: str,
        class_name: str,
        proxy: str,
        caller: str,
        budget: float,
        body_size: int = 0,
        answer_size: int = 0,
        key: bytes = b"",
        holder: str = "",
        no_live_proxy: bool = False,
    ) -> None:
        """A request's last byte was written.

        `holder` has the connection, where another proxy had it moved there; `alone`: all that could are dead.
        """
        deadline = (
            now
            + budget
            + self._rules.answer_slack
            + TIMING_SLACK
            + self._round_trip
            + self._seconds_per_byte * (body_size + answer_size)
        )
        request = self._requests.get(request_id)
        if request is None:
            request = self._add_request(now, request_id, class_name, proxy, caller, body_size, answer_size)
        elif request.deadline < math.inf:
            raise ValueError(f"{request_id} is sent twice by its caller")
        request.sent_at, request.deadline, request.budget, request.key = now, deadline, budget, key
        request.other_holders |= {holder} - {"", proxy}
        request.no_live_proxy = no_live_proxy
        for attempt in request.attempts:
            attempt.started_at = now  # a node begins with the last byte
        heapq.heappush(self._deadlines, (deadline, request_id))
        self.record_event(now, "sent", request_id, class_name, proxy, f"{budget:.3f}")

    def on_request_started(
        self, now: float, request_id: str, class_name: str, proxy: str, caller: str, body_size: int, answer_size: int
    ) -> None:
        """The first bytes of a long request were written: it may be passed on while it comes."""
        if request_id not in self._requests:
            self._add_request(now, request_id, class_name, proxy, caller, body_size, answer_size)
            self.record_event(now, "coming", request_id, class_name, proxy)

    def _add_request(
        self, now: float, request_id: str, class_name: str, proxy: str, caller: str, body_size: int, answer_size: int
    ) -> RequestState:
        request = self._requests[request_id] = RequestState(
            self._classes[class_name], proxy, caller, now, math.inf, body_size, answer_size
        )
        self._open_counts[proxy] = self._open_counts.get(proxy, 0) + 1
        return request

    def on_answer(self, now: float, request_id: str, status: int, body: bytes, answer_size: int) -> None:
        """A whole answer has come."""
        request = self._requests.get(request_id)
        self.record_event(now, "answered", request_id, status, len(body))
        if request is None:
            return  # a request of which not all was written: turned away early
        if request.outcome and request.outcome != ENDED_WITH_PROXY:  # of those an heir may still tell
            self.report_violation(now, "one answer", f"{request_id} was answered again, with {status}")
            return
        self._end_request(now, request, _outcome(status))
        if status == 200:
            if not body.startswith(b"report " + request_id.encode() + b" ") or len(body) < answer_size:
                self.report_violation(now, "right answer", f"{request_id} got {body[:40]!r} of {len(body)} bytes")
            elif not request.runs:
                self.report_violation(now, "right answer", f"{request_id} was served by nobody")
        elif status in (429, 503):
            self._check_refusal(now, request_id, request)
        elif status in REJECTION_STATUSES:
            self.report_violation(now, "turned away", f"{request_id} was told {status}: {body!r}")

    def _check_refusal(self, now: float, request_id: str, request: RequestState) -> None:
        """To refuse says that a further try is harmless."""
        harmless = request.request_class.repeat is Repeat.SAFE or (
            request.request_class.repeat is Repeat.KEYED and request.request_class.group is Group.ALL
        )
        unfinished = [attempt for attempt in request.attempts if not attempt.rejected and attempt.is_complete()]
        if unfinished and not harmless:
            self.report_violation(
                now, "no effect twice", f"{request_id} was refused, and may have run at {unfinished[0].backend}"
            )

    def is_waiting(self, now: float, request_id: str) -> bool:
        """Whether it has come to its proxy by now, whole, and is not answered."""
        request = self._requests.get(request_id)
        return request is not None and not request.outcome and request.sent_at + self._round_trip < now

    def on_answer_started(self, now: float, request_id: str) -> None:
        """The head of its answer has come: if that is a long one, the rest may take its time."""
        request = self._requests.get(request_id)
        if request is not None and not request.outcome and request.answer_size > LONG_MESSAGE:
            request.deadline = max(request.deadline, now + STALL_TIMEOUT)
            self.record_event(now, "begun", request_id)

    def on_request_resent(self, now: float, request_id: str) -> None:
        """It crossed a close between requests, and was written once more: its time begins anew."""
        request = self._requests[request_id]
        request.deadline += now - request.sent_at
        request.sent_at = now
        for attempt in request.attempts:
            attempt.rejected = True  # its proxy had not read the whole of it, so that no node had either
        self.record_event(now, "resent", request_id)

    def on_connection_lost(self, now: float, request_id: str) -> None:
        """Its connection ended with no whole answer."""
        request = self._requests.get(request_id)
        if request is None or request.outcome:
            return
        self._end_request(now, request, "lost")
        self.record_event(now, "lost", request_id)
        if not self._is_excused(request, now):
            self.report_violation(now, "no request lost", f"{request_id} had no answer from {request.proxy}")

    def on_answer_cut(self, now: float, request_id: str) -> None:
        """Its connection ended in the middle of an answer: right only where a node broke one off."""
        request = self._requests.get(request_id)
        if request is None or request.outcome:
            return
        allowed = (
            self.cutting_backends | self.faulted_backends
            if request.answer_size > LONG_MESSAGE
            else self.cutting_backends
        )
        if allowed.isdisjoint(attempt.backend for attempt in request.attempts):
            self.on_connection_lost(now, request_id)
        else:
            self._end_request(now, request, "cut")
            self.record_event(now, "cut", request_id)

    def on_caller_left(self, now: float, request_id: str) -> None:
        """Its caller went away."""
        request = self._requests.get(request_id)
        if request is not None and not request.outcome:
            self._end_request(now, request, "left")
            self.record_event(now, "left", request_id)

    def on_caller_died(self, now: float, caller: str) -> None:
        """All that it waits for is void."""
        for request_id, request in self._requests.items():
            if request.caller == caller:
                self.on_caller_left(now, request_id)

    def on_surplus_data(self, now: float, proxy: str, data: bytes) -> None:
        """A caller read what it had not asked for."""
        self.report_violation(now, "one answer", f"{proxy} sent more than was asked: {data[:40]!r}")

    # ---- proxies -------------------------------------------------------------------------

    def must_be_abandoned(self, now: float, request_id: str) -> bool:
        """Whether a request has ended, and its time as well, and its proxy must know."""
        request = self._requests.get(request_id)
        if request is None or not request.outcome or request.proxy in self.slack:
            return False
        return now > max(
            request.deadline, request.ended_at
        ) + self._round_trip + RECHECK_INTERVAL + self.blocked_seconds(request.proxy, request.sent_at, now)

    def body_size(self, request_id: str) -> int:
        """Bytes of a request's body."""
        request = self._requests.get(request_id)
        return request.body_size if request is not None else 0

    def on_attempt_started(
        self,
        now: float,
        proxy: str,
        request_id: str,
        backend: str,
        is_pending: Callable[[], bool] = lambda: False,
        is_complete: Callable[[], bool] = lambda: True,
        headers: dict[bytes, bytes] | None = None,
    ) -> None:
        """A proxy began to write a request to a node.

        `out` tells whether it still waits for that, `whole` whether it has written the last byte: a node begins
        with that one, so what is not whole never ran. `said` are the headers.
        """
        self.record_event(now, "wrote", request_id, proxy, backend)
        request = self._requests.get(request_id)
        if request is not None and proxy != request.proxy:
            request.other_holders.add(proxy)
        if request is None:
            self.report_violation(
                now, "right request", f"{proxy} sent {request_id}, which nobody asked for, to {backend}"
            )
            return
        if request.outcome and request_id in self.duplicated_ids:
            return  # the id was free again
        if request.outcome and (request.outcome != "left" or self._caller_departure_known(request, now)):
            self.report_violation(
                now, "nothing after", f"{request_id} was sent to {backend} after its end ({request.outcome})"
            )
        if headers is not None:
            self._check_forwarded_headers(now, request_id, request, backend, headers)
        self._check_repeat(now, request_id, request, backend)
        if not self._second_copies and any(earlier.is_pending() for earlier in request.attempts):
            self.report_violation(now, "copies", f"{request_id} was sent to {backend} while it was out already")
        request.attempts.append(Attempt(backend, now, is_pending, is_complete))
        if len(request.attempts) > self._max_attempts:
            self.report_violation(now, "attempts", f"{request_id} was sent {len(request.attempts)} times")
        known_state = self._known_states.get((proxy, backend))
        if known_state is not None and not known_state.up:
            delay = (
                now
                - known_state.since
                - self._rules.drain_grace
                - TIMING_SLACK
                - self.blocked_seconds(proxy, known_state.since, now)
            )
            if delay > self.slack.get(proxy, 0.0):
                self.report_violation(
                    now, "drains", f"{request_id} was sent to {backend}, {delay:.3f} s after the grace"
                )
        if (proxy, backend) in self._bans:
            elapsed = now - self._bans[proxy, backend]
            self.report_violation(
                now, "bans", f"{request_id} was sent to {backend}, {elapsed:.3f} s after the yes to its ban"
            )
        recent = self._recent_sends.setdefault(backend, deque())
        recent.append((now, known_state is not None and known_state.born_ms > 0.0))
        while recent[0][0] < now - self._rules.fall_after:
            recent.popleft()

    def _check_forwarded_headers(
        self, now: float, request_id: str, request: RequestState, backend: str, headers: dict[bytes, bytes]
    ) -> None:
        """What is sent on never says more than there is: the time that is left, and the caller's own key."""
        budget_text = headers.get(b"x-budget", b"")
        try:
            budget = float(budget_text[:-1]) / {b"m": 1e3, b"u": 1e6}[budget_text[-1:]]
        except (ValueError, KeyError):
            self.report_violation(
                now, "right request", f"{request_id} was sent to {backend} with the time {budget_text!r}"
            )
            return
        if request.budget:
            # Its time counts from when its proxy reads it: late where that has much to do, or has had no descriptor.
            tolerance = self._round_trip + READ_DELAY + max(self.slack.get(holder, 0.0) for holder in request.holders)
            tolerance += self._holders_blocked_seconds(request, request.sent_at - 2.0 * CATCH_UP_PERIOD, now)
            remaining = request.budget - max(0.0, now - request.sent_at - tolerance)
            if budget > remaining + 0.001:
                self.report_violation(
                    now, "right request", f"{request_id} was sent to {backend} with {budget:.3f} s of {remaining:.3f}"
                )
        key = headers.get(b"idempotency-key")
        if (key is not None) is not (request.request_class.repeat is Repeat.KEYED) or (
            request.key and key != request.key
        ):
            self.report_violation(now, "right request", f"{request_id} was sent to {backend} with the key {key!r}")

    def _caller_departure_known(self, request: RequestState, now: float) -> bool:
        """Whether its proxy must know by now that its caller has left."""
        known_at = request.ended_at + self._round_trip + TIMING_SLACK + self.slack.get(request.proxy, 0.0)
        return now > known_at + self._holders_blocked_seconds(request, request.sent_at, now)

    def _check_repeat(self, now: float, request_id: str, request: RequestState, backend: str) -> None:
        """A further attempt: whether every earlier one allows it."""
        for earlier in request.attempts:
            if earlier.rejected or request.request_class.repeat is Repeat.SAFE or not earlier.is_complete():
                continue
            text = f"{request_id} was sent to {backend}, and may have run at {earlier.backend}"
            if request.request_class.repeat is Repeat.UNSAFE:
                self.report_violation(now, "no effect twice", text)
            elif request.request_class.group is not Group.ALL and self._zones.get(backend) != self._zones.get(
                earlier.backend
            ):
                self.report_violation(now, "no effect twice", f"{text}, of another group")
            elif now - earlier.started_at > request.request_class.window + TIMING_SLACK:
                self.report_violation(now, "no effect twice", f"{text}, {now - earlier.started_at:.3f} s earlier")

    def on_discovery_update(self, now: float, proxy: str, backend: str, up: bool, born_ms: float) -> None:
        """Discovery has written a line about a node to a proxy."""
        known_state = self._known_states.get((proxy, backend))
        if known_state is None or known_state.up != up or known_state.born_ms != born_ms:
            self._known_states[proxy, backend] = BackendState(up, now, born_ms)
        self.record_event(now, "told", proxy, backend, "up" if up else "ends")

    def on_blocked(self, now: float, proxy: str) -> None:
        """From here on it can't do anything, or nobody can reach it."""
        self._blocked_spans.setdefault(proxy, BlockedSpans()).spans.append((now, math.inf))

    def on_unblocked(self, now: float, proxy: str, extra: float = 0.0) -> None:
        """It can again, `after` some seconds in which the rest arrives."""
        blocked = self._blocked_spans.setdefault(proxy, BlockedSpans())
        for i in reversed(range(len(blocked.spans))):
            if blocked.spans[i][1] == math.inf:
                blocked.spans[i] = (blocked.spans[i][0], now + extra)
                return

    def on_banned(self, now: float, proxy: str, backend: str) -> None:
        """Operators have had their yes: from here on nothing new goes there."""
        self._bans[proxy, backend] = now
        self.record_event(now, "banned", proxy, backend)

    def on_unbanned(self, proxy: str, backend: str) -> None:
        """They ask for its return."""
        self._bans.pop((proxy, backend), None)

    def on_new_proxy(self, proxy: str) -> None:
        """A new proxy at the place of an old one: what operators had ordered is forgotten."""
        for key in [key for key in self._bans if key[0] == proxy]:
            del self._bans[key]

    def on_killed(self, now: float, proxy: str, loses_state: bool = True, state_kept: bool = False) -> None:
        """A process of it is dead, and what that had taken is lost; all that it was told, unless another lives.

        Where its state is kept, what it had known for a while outlives it: a decision against that is a stale one.
        """
        self._deaths.setdefault(proxy, []).append(now)
        if not loses_state:
            return
        known_from = now - PERSIST_DELAY - self.blocked_seconds(proxy, now - 10.0, now)
        for key in [key for key, state in self._known_states.items() if key[0] == proxy]:
            if not state_kept or self._known_states[key].since >= known_from:
                del self._known_states[key]
        for key in [
            key for key, since in self._bans.items() if key[0] == proxy and state_kept and since >= known_from
        ]:
            del self._bans[key]

    def on_state_lost(self, proxy: str) -> None:
        """What it had kept is lost, or older than what it knew; orders are kept elsewhere too."""
        for key in [key for key in self._known_states if key[0] == proxy]:
            del self._known_states[key]

    def blocked_seconds(self, proxy: str, begin: float, end: float) -> float:
        """Seconds of a span in which a proxy was held up."""
        blocked = self._blocked_spans.get(proxy)
        return blocked.overlap(begin, end) if blocked is not None else 0.0

    def _holders_blocked_seconds(self, request: RequestState, begin: float, end: float) -> float:
        """Seconds of a span in which those that had a request in hand were held up."""
        return sum(self.blocked_seconds(holder, begin, end) for holder in request.holders)

    def _holder_died(self, request: RequestState, now: float) -> bool:
        """Whether a proxy that had it in hand was killed since it was sent."""
        if request.no_live_proxy:
            return True
        dead = (at for holder in request.holders for at in self._deaths.get(holder, ()))
        return any(request.sent_at - self._round_trip <= at <= now for at in dead)

    def _is_excused(self, request: RequestState, now: float) -> bool:
        """Whether its proxy died, or could not be reached, since it was sent."""
        return self._holder_died(request, now) or self._holders_blocked_seconds(request, request.sent_at, now) > 0.0

    # ---- nodes ---------------------------------------------------------------------------

    def on_backend_received(self, now: float, request_id: str, backend: str, body_size: int) -> None:
        """A request's last byte has come to a node."""
        self.record_event(now, "came", request_id, backend)
        request = self._requests.get(request_id)
        if request_id in self.duplicated_ids:
            return
        if request is None or not any(attempt.backend == backend for attempt in request.attempts):
            self.report_violation(now, "right request", f"{backend} got {request_id}, which nobody sent there")
        elif body_size != request.body_size:
            self.report_violation(
                now, "right request", f"{backend} got {request_id} with {body_size} bytes of {request.body_size}"
            )

    def on_backend_rejected(self, now: float, request_id: str, backend: str) -> None:
        """A node turned it away: it never ran there."""
        self.record_event(now, "rejected", request_id, backend)
        for attempt in reversed(self._requests[request_id].attempts):
            if attempt.backend == backend and not attempt.rejected:
                attempt.rejected = True
                return

    def on_backend_ran(self, now: float, request_id: str, backend: str, key: str | None, effect: bool) -> None:
        """It begins to run; `key` names the effect of a keyed request."""
        self.record_event(now, "ran", request_id, backend, "anew" if effect else "known")
        request = self._requests.get(request_id)
        if request is None:
            return
        request.runs += 1
        if request.request_class.repeat is not Repeat.SAFE and effect:
            # What was sent in time may run after a keyed class's window, and is then nobody's fault.
            window = request.request_class.window if key is not None else math.inf
            first_effect = self._first_effects.setdefault(key or request_id, now)
            if first_effect < now <= first_effect + window:
                self.report_violation(now, "no effect twice", f"{request_id} took effect a second time, at {backend}")

    def check_descriptors(self, now: float, proxy: str, total: int, limit: int) -> None:
        """The descriptors that connections of all processes of a proxy take."""
        if total > limit:
            self.report_violation(
                now, "descriptors", f"the processes of {proxy} have {total} where {limit} are for both"
            )

    def on_ready_while_evacuated(self, now: float, proxy: str) -> None:
        """The front was told yes while operators have the proxy evacuated."""
        self.report_violation(now, "drains", f"{proxy} says yes to the front while it is evacuated")

    def on_cold_overload(self, now: float, backend: str, load: float, capacity: float) -> None:
        """A cold node was sent more than it bears."""
        recent = self._recent_sends.get(backend, deque())
        informed = sum(is_informed for _, is_informed in recent)
        self.record_event(
            now, "fell", backend, f"{load:.3f} of {capacity:.3f}", f"{informed} of {len(recent)} by those that knew"
        )
        if informed >= 2 * len(recent) / 3:
            self.report_violation(
                now, "cold", f"{backend} was sent {load:.3f} s of work where it bears {capacity:.3f}"
            )

    # ---- every step ----------------------------------------------------------------------

    def check_deadlines(self, now: float) -> None:
        """Whether an answer is overdue; to be called after every step."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, request_id = heapq.heappop(self._deadlines)
            request = self._requests[request_id]
            if request.outcome:
                continue
            if any(
                holder in self._blocked_spans and self._blocked_spans[holder].contains(now)
                for holder in request.holders
            ):
                heapq.heappush(self._deadlines, (now + RECHECK_INTERVAL, request_id))
                continue
            deadline = request.deadline + self._holders_blocked_seconds(request, request.sent_at, now)
            deadline += max(self.slack.get(holder, 0.0) for holder in request.holders)
            if deadline > now:
                heapq.heappush(self._deadlines, (deadline, request_id))
                continue
            holder_died = self._holder_died(request, now)
            self._end_request(now, request, ENDED_WITH_PROXY if holder_died else "overdue")
            if not holder_died and not self._is_excused(request, now):
                self.report_violation(
                    now,
                    "one answer in time",
                    f"{request_id} has none from {request.proxy}, {now - request.sent_at:.3f} s on",
                )


def _outcome(status: int) -> str:
    return "served" if status == 200 else "refused" if status in (429, 503) else f"failed {status}"
