"""Test oracles of the simulation: check the platform's rules against what was written, read and run.

The events are those that the network and the simulated peers observed. Sans-I/O: every method receives the time and
an event. The oracles never query the program under test for its own records, so that a defect in these cannot hide
itself. The trace of a run is the list of its events; its digest identifies the run.
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

PERSIST_DELAY = 1.0  # seconds after which a proxy has stored what it was sent
TIMING_SLACK = 0.05  # seconds that the network adds to each time limit of the rules
RECHECK_INTERVAL = 0.1  # seconds between checks of a request whose proxy is blocked
READ_DELAY = 0.2  # seconds that a request may wait unread in its connection
CATCH_UP_PERIOD = 1.0  # seconds after a blocked span in which a proxy may still process the backlog
LONG_MESSAGE = LONG_THRESHOLD  # bytes; longer answers may outlast the deadline while data arrives
STALL_TIMEOUT = 13.0  # seconds without data after which a long answer must have been cut
REJECTION_STATUSES = (400, 405, 409, 413, 417, 431)  # never correct for a well-formed request

ENDED_WITH_PROXY = "with the dead"  # outcome of a request that expired after its proxy was killed


@dataclass(frozen=True)
class Violation:
    """One violation of a rule."""

    oracle: str
    time: float
    text: str

    def __str__(self) -> str:
        return f"{self.time:.6f} {self.oracle}: {self.text}"


@dataclass
class Attempt:
    """One attempt: a request as it was sent to a backend."""

    backend: str
    started_at: float
    is_pending: Callable[[], bool]  # whether its proxy still waits for the answer
    is_complete: Callable[[], bool]  # whether its last byte was written
    rejected: bool = False


@dataclass
class RequestState:
    """The known state of one request."""

    request_class: RequestClass
    proxy: str
    caller: str
    sent_at: float
    deadline: float
    body_size: int  # bytes
    answer_size: int  # bytes
    budget: float = 0.0  # seconds; 0 until its last byte is written
    key: bytes = b""
    attempts: list[Attempt] = field(default_factory=list)
    runs: int = 0
    outcome: str = ""  # how it ended; empty while it is open
    ended_at: float = 0.0
    other_holders: set[str] = field(default_factory=set)  # successors and other proxies that held it, beside `proxy`
    no_live_proxy: bool = False  # no proxy that could take it was alive when it was sent

    @property
    def holders(self) -> set[str]:
        """All proxies that have, or had, the request in flight."""
        return {self.proxy} | self.other_holders


@dataclass
class BackendState:
    """What discovery has reported to one proxy about one backend."""

    up: bool
    since: float  # when the proxy was told of this state
    born_ms: float  # Unix time of a cold backend's start; 0 for a warm one


@dataclass
class BlockedSpans:
    """Time spans in which an injected fault kept a proxy from working."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def overlap(self, begin: float, end: float) -> float:
        """Seconds of the given span in which the proxy was blocked."""
        return sum(max(0.0, min(end, stop) - max(begin, start)) for start, stop in self.spans)

    def contains(self, now: float) -> bool:
        """Whether the proxy is blocked at a time."""
        return any(start <= now < stop for start, stop in self.spans)


class RunChecker:
    """Records the events of one run and reports violations of the rules."""

    def __init__(
        self, settings: Settings, zones: dict[str, str], round_trip: float, seconds_per_byte: float = 0.0
    ) -> None:
        self._classes = {request_class.name: request_class for request_class in settings.classes}
        self._rules = settings.rules
        self._max_attempts = settings.limits.max_attempts
        self._second_copies = settings.limits.second_copies
        self._zones = zones  # by backend
        self._round_trip = round_trip  # seconds that a message may take to a proxy and back
        self._seconds_per_byte = seconds_per_byte  # added for each byte of a message
        self._requests: dict[str, RequestState] = {}
        self._deadlines: list[tuple[float, str]] = []
        self._open_counts: dict[str, int] = {}
        self._known_states: dict[tuple[str, str], BackendState] = {}
        self._bans: dict[tuple[str, str], float] = {}  # by proxy and backend: when the ban was confirmed
        self._blocked_spans: dict[str, BlockedSpans] = {}
        self._deaths: dict[str, list[float]] = {}  # times at which processes of a proxy were killed
        self._first_effects: dict[str, float] = {}  # when unsafe and keyed requests first took effect, by effect
        # By backend: when attempts were sent, and whether the sender knew the backend to be cold.
        self._recent_sends: dict[str, deque[tuple[float, bool]]] = {}
        self.slack: dict[str, float] = {}  # extra seconds allowed to a proxy with coarse timers or a slow link
        self.cutting_backends: set[str] = set()  # backends with a fault that cuts answers
        self.faulted_backends: set[str] = set()  # backends with any fault: their long answers may be cut
        self.duplicated_ids: set[str] = set()  # requests whose id another client used as well
        self.violations: list[Violation] = []
        self.trace: list[tuple[object, ...]] = []

    # ---- the trace -----------------------------------------------------------------------

    def record_event(self, now: float, *fields: object) -> None:
        """Append an event to the trace."""
        self.trace.append((now, *fields))

    def trace_lines(self) -> list[str]:
        """The trace as text, one event a line."""
        return [" ".join([f"{event[0]:11.6f}", *map(str, event[1:])]) for event in self.trace]

    def digest(self) -> str:
        """A hash of the trace: equal for runs with equal events."""
        return hashlib.sha256(repr(self.trace).encode()).hexdigest()[:16]

    def report_violation(self, now: float, oracle: str, text: str) -> None:
        """Record a violation, also in the trace."""
        self.violations.append(Violation(oracle, now, text))
        self.record_event(now, "BROKEN", oracle, text)

    def outcome_counts(self) -> dict[str, int]:
        """The number of requests by outcome."""
        counts: dict[str, int] = {}
        for request in self._requests.values():
            counts[request.outcome or "open"] = counts.get(request.outcome or "open", 0) + 1
        return dict(sorted(counts.items()))

    def open_request_count(self, proxy: str) -> int:
        """The number of a proxy's requests that wait for their answer."""
        return self._open_counts.get(proxy, 0)

    def recently_blocked(self, now: float, proxy: str) -> bool:
        """Whether a proxy is blocked, or was within the last CATCH_UP_PERIOD."""
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

        `holder` is the proxy that has the connection, if it was moved from `proxy`; `no_live_proxy`: no proxy that
        could take the request is alive. Raises ValueError if the caller sends a request twice.
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
            attempt.started_at = now  # a backend starts with the last byte
        heapq.heappush(self._deadlines, (deadline, request_id))
        self.record_event(now, "sent", request_id, class_name, proxy, f"{budget:.3f}")

    def on_request_started(
        self, now: float, request_id: str, class_name: str, proxy: str, caller: str, body_size: int, answer_size: int
    ) -> None:
        """The first bytes of a long request were written: it may be forwarded while the rest arrives."""
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
        """A complete answer has arrived."""
        request = self._requests.get(request_id)
        self.record_event(now, "answered", request_id, status, len(body))
        if request is None:
            return  # answered before the request was completely written
        if request.outcome and request.outcome != ENDED_WITH_PROXY:  # a successor may still answer these
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
        """A refusal tells the caller that a retry is safe: no attempt may have run unless a repeat is harmless."""
        harmless = request.request_class.repeat is Repeat.SAFE or (
            request.request_class.repeat is Repeat.KEYED and request.request_class.group is Group.ALL
        )
        unfinished = [attempt for attempt in request.attempts if not attempt.rejected and attempt.is_complete()]
        if unfinished and not harmless:
            self.report_violation(
                now, "no effect twice", f"{request_id} was refused, and may have run at {unfinished[0].backend}"
            )

    def is_waiting(self, now: float, request_id: str) -> bool:
        """Whether a request has completely reached its proxy by now and is not answered."""
        request = self._requests.get(request_id)
        return request is not None and not request.outcome and request.sent_at + self._round_trip < now

    def on_answer_started(self, now: float, request_id: str) -> None:
        """The head of the answer has arrived; the rest of a long answer may outlast the deadline."""
        request = self._requests.get(request_id)
        if request is not None and not request.outcome and request.answer_size > LONG_MESSAGE:
            request.deadline = max(request.deadline, now + STALL_TIMEOUT)
            self.record_event(now, "begun", request_id)

    def on_request_resent(self, now: float, request_id: str) -> None:
        """The request crossed the close of an idle connection and was resent: its time starts again."""
        request = self._requests[request_id]
        request.deadline += now - request.sent_at
        request.sent_at = now
        for attempt in request.attempts:
            attempt.rejected = True  # its proxy had not read all of it, so no backend had either
        self.record_event(now, "resent", request_id)

    def on_connection_lost(self, now: float, request_id: str) -> None:
        """A request's connection ended without a complete answer."""
        request = self._requests.get(request_id)
        if request is None or request.outcome:
            return
        self._end_request(now, request, "lost")
        self.record_event(now, "lost", request_id)
        if not self._is_excused(request, now):
            self.report_violation(now, "no request lost", f"{request_id} had no answer from {request.proxy}")

    def on_answer_cut(self, now: float, request_id: str) -> None:
        """The connection ended in the middle of an answer: correct only if a backend cut the answer."""
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
        """The caller of a request disconnected."""
        request = self._requests.get(request_id)
        if request is not None and not request.outcome:
            self._end_request(now, request, "left")
            self.record_event(now, "left", request_id)

    def on_caller_died(self, now: float, caller: str) -> None:
        """A caller died: nobody waits for its requests any more."""
        for request_id, request in self._requests.items():
            if request.caller == caller:
                self.on_caller_left(now, request_id)

    def on_surplus_data(self, now: float, proxy: str, data: bytes) -> None:
        """A caller received data that answers no request."""
        self.report_violation(now, "one answer", f"{proxy} sent more than was asked: {data[:40]!r}")

    # ---- proxies -------------------------------------------------------------------------

    def must_be_abandoned(self, now: float, request_id: str) -> bool:
        """Whether a request has ended and expired so long ago that its proxy must have abandoned it."""
        request = self._requests.get(request_id)
        if request is None or not request.outcome or request.proxy in self.slack:
            return False
        return now > max(
            request.deadline, request.ended_at
        ) + self._round_trip + RECHECK_INTERVAL + self.blocked_seconds(request.proxy, request.sent_at, now)

    def body_size(self, request_id: str) -> int:
        """The size of a request's body in bytes."""
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
        """A proxy began to write a request to a backend.

        `is_pending` tells whether the proxy still waits for the answer, `is_complete` whether it has written the last
        byte: a backend starts with that byte, so an incomplete request never ran. `headers` are the forwarded ones.
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
            return  # the id was free for reuse
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
        """Check the forwarded headers: the budget is at most the remaining time, the key is the caller's."""
        budget_text = headers.get(b"x-budget", b"")
        try:
            budget = float(budget_text[:-1]) / {b"m": 1e3, b"u": 1e6}[budget_text[-1:]]
        except (ValueError, KeyError):
            self.report_violation(
                now, "right request", f"{request_id} was sent to {backend} with the time {budget_text!r}"
            )
            return
        if request.budget:
            # The budget counts from when the proxy reads the request: later if it is busy or lacked a descriptor.
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
        """Whether a request's proxy must know by now that the caller has left."""
        known_at = request.ended_at + self._round_trip + TIMING_SLACK + self.slack.get(request.proxy, 0.0)
        return now > known_at + self._holders_blocked_seconds(request, request.sent_at, now)

    def _check_repeat(self, now: float, request_id: str, request: RequestState, backend: str) -> None:
        """Check that every earlier attempt permits a further one."""
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
        """Discovery has sent a proxy an update about a backend."""
        known_state = self._known_states.get((proxy, backend))
        if known_state is None or known_state.up != up or known_state.born_ms != born_ms:
            self._known_states[proxy, backend] = BackendState(up, now, born_ms)
        self.record_event(now, "told", proxy, backend, "up" if up else "ends")

    def on_blocked(self, now: float, proxy: str) -> None:
        """From now on a proxy cannot work or cannot be reached."""
        self._blocked_spans.setdefault(proxy, BlockedSpans()).spans.append((now, math.inf))

    def on_unblocked(self, now: float, proxy: str, extra: float = 0.0) -> None:
        """A proxy works again; it counts as blocked for `extra` more seconds, in which the backlog arrives."""
        blocked = self._blocked_spans.setdefault(proxy, BlockedSpans())
        for i in reversed(range(len(blocked.spans))):
            if blocked.spans[i][1] == math.inf:
                blocked.spans[i] = (blocked.spans[i][0], now + extra)
                return

    def on_banned(self, now: float, proxy: str, backend: str) -> None:
        """A ban is confirmed to the operators: from now on the proxy starts no attempt at the backend."""
        self._bans[proxy, backend] = now
        self.record_event(now, "banned", proxy, backend)

    def on_unbanned(self, proxy: str, backend: str) -> None:
        """Operators ask to lift a ban."""
        self._bans.pop((proxy, backend), None)

    def on_new_proxy(self, proxy: str) -> None:
        """A new proxy without stored state replaces an old one: its operators' orders are forgotten."""
        for key in [key for key in self._bans if key[0] == proxy]:
            del self._bans[key]

    def on_killed(self, now: float, proxy: str, loses_state: bool = True, state_kept: bool = False) -> None:
        """A process of a proxy was killed: its requests are lost, and with `loses_state` all that it was told.

        `loses_state` is false while another process of the proxy lives. With `state_kept`, what the proxy had known
        for PERSIST_DELAY outlives the process: a decision that contradicts it is stale.
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
        """A proxy's stored state is lost or outdated; operators' orders are stored elsewhere as well."""
        for key in [key for key in self._known_states if key[0] == proxy]:
            del self._known_states[key]

    def blocked_seconds(self, proxy: str, begin: float, end: float) -> float:
        """Seconds of a span in which a proxy was blocked."""
        blocked = self._blocked_spans.get(proxy)
        return blocked.overlap(begin, end) if blocked is not None else 0.0

    def _holders_blocked_seconds(self, request: RequestState, begin: float, end: float) -> float:
        """Seconds of a span in which the holders of a request were blocked, added up."""
        return sum(self.blocked_seconds(holder, begin, end) for holder in request.holders)

    def _holder_died(self, request: RequestState, now: float) -> bool:
        """Whether a holder of a request was killed after the request was sent."""
        if request.no_live_proxy:
            return True
        death_times = (time for holder in request.holders for time in self._deaths.get(holder, ()))
        return any(request.sent_at - self._round_trip <= time <= now for time in death_times)

    def _is_excused(self, request: RequestState, now: float) -> bool:
        """Whether a holder of a request was killed or blocked after the request was sent."""
        return self._holder_died(request, now) or self._holders_blocked_seconds(request, request.sent_at, now) > 0.0

    # ---- backends ------------------------------------------------------------------------

    def on_backend_received(self, now: float, request_id: str, backend: str, body_size: int) -> None:
        """A request's last byte has arrived at a backend."""
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
        """A backend rejected a request: it never ran there."""
        self.record_event(now, "rejected", request_id, backend)
        for attempt in reversed(self._requests[request_id].attempts):
            if attempt.backend == backend and not attempt.rejected:
                attempt.rejected = True
                return

    def on_backend_ran(self, now: float, request_id: str, backend: str, key: str | None, effect: bool) -> None:
        """A request starts to run; `key` identifies the effect of a keyed request."""
        self.record_event(now, "ran", request_id, backend, "anew" if effect else "known")
        request = self._requests.get(request_id)
        if request is None:
            return
        request.runs += 1
        if request.request_class.repeat is not Repeat.SAFE and effect:
            # A request that was sent in time may run after the key's window; that is no violation.
            window = request.request_class.window if key is not None else math.inf
            first_effect = self._first_effects.setdefault(key or request_id, now)
            if first_effect < now <= first_effect + window:
                self.report_violation(now, "no effect twice", f"{request_id} took effect a second time, at {backend}")

    def check_descriptors(self, now: float, proxy: str, total: int, limit: int) -> None:
        """Check the descriptors that the connections of all processes of a proxy use."""
        if total > limit:
            self.report_violation(
                now, "descriptors", f"the processes of {proxy} have {total} where {limit} are for both"
            )

    def on_ready_while_evacuated(self, now: float, proxy: str) -> None:
        """A proxy reported ready to the front while operators have it evacuated."""
        self.report_violation(now, "drains", f"{proxy} says yes to the front while it is evacuated")

    def on_cold_overload(self, now: float, backend: str, load: float, capacity: float) -> None:
        """A cold backend was overloaded: a violation if at least two thirds of the sends knew that it was cold."""
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
        """Report overdue answers; to be called after every step of the loop."""
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
