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
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:.6f} {self.oracle}: {self.text}"


@dataclass
class Attempt:
    """One sending of a request to a node."""

    backend: str
    sent_at: float
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
        return sum(max(0.0, min(end, b) - max(begin, a)) for a, b in self.spans)

    def contains(self, now: float) -> bool:
        """Whether it is held up now."""
        return any(a <= now < b for a, b in self.spans)


class RunChecker:
    """The account of one run, and what breaks the rules in it."""

    def __init__(self, settings: Settings, zones: dict[str, str], path: float, pace: float = 0.0) -> None:
        self._classes = {kind.name: kind for kind in settings.classes}
        self._rules = settings.rules
        self._max_attempts = settings.limits.max_attempts
        self._second_copies = settings.limits.second_copies
        self._zones = zones  # of nodes
        self._round_trip = path  # seconds that a message may take to a proxy and back...
        self._seconds_per_byte = pace  # ...and each byte of a long one beside that
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

    def record_event(self, now: float, *what: object) -> None:
        """One line of the account."""
        self.trace.append((now, *what))

    def trace_lines(self) -> list[str]:
        """The account, to be read."""
        return [" ".join([f"{row[0]:11.6f}", *map(str, row[1:])]) for row in self.trace]

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
        for row in self._requests.values():
            counts[row.outcome or "open"] = counts.get(row.outcome or "open", 0) + 1
        return dict(sorted(counts.items()))

    def open_requests(self, proxy: str) -> int:
        """Requests that wait for their answer."""
        return self._open_counts.get(proxy, 0)

    def recently_blocked(self, now: float, proxy: str) -> bool:
        """Whether a proxy can do nothing, or could not a moment ago."""
        return self.blocked_seconds(proxy, now - CATCH_UP_PERIOD, now) > 0.0

    def _end_request(self, now: float, row: RequestState, how: str) -> None:
        if not row.outcome:
            self._open_counts[row.proxy] -= 1
        row.outcome, row.ended_at = how, now

    # ---- callers -------------------------------------------------------------------------

    def on_request_sent(
        self,
        now: float,
        rid: str,
        kind: str,
        proxy: str,
        caller: str,
        budget: float,
        body: int = 0,
        want: int = 0,
        key: bytes = b"",
        holder: str = "",
        alone: bool = False,
    ) -> None:
        """A request's last byte was written.

        `holder` has the connection, where another proxy had it moved there; `alone`: all that could are dead.
        """
        due = (
            now
            + budget
            + self._rules.answer_slack
            + TIMING_SLACK
            + self._round_trip
            + self._seconds_per_byte * (body + want)
        )
        row = self._requests.get(rid)
        if row is None:
            row = self._add_request(now, rid, kind, proxy, caller, body, want)
        elif row.deadline < math.inf:
            raise ValueError(f"{rid} is sent twice by its caller")
        row.sent_at, row.deadline, row.budget, row.key = now, due, budget, key
        row.other_holders |= {holder} - {"", proxy}
        row.no_live_proxy = alone
        for attempt in row.attempts:
            attempt.sent_at = now  # a node begins with the last byte
        heapq.heappush(self._deadlines, (due, rid))
        self.record_event(now, "sent", rid, kind, proxy, f"{budget:.3f}")

    def on_request_started(
        self, now: float, rid: str, kind: str, proxy: str, caller: str, body: int, want: int
    ) -> None:
        """The first bytes of a long request were written: it may be passed on while it comes."""
        if rid not in self._requests:
            self._add_request(now, rid, kind, proxy, caller, body, want)
            self.record_event(now, "coming", rid, kind, proxy)

    def _add_request(
        self, now: float, rid: str, kind: str, proxy: str, caller: str, body: int, want: int
    ) -> RequestState:
        row = self._requests[rid] = RequestState(self._classes[kind], proxy, caller, now, math.inf, body, want)
        self._open_counts[proxy] = self._open_counts.get(proxy, 0) + 1
        return row

    def on_answer(self, now: float, rid: str, status: int, body: bytes, want: int) -> None:
        """A whole answer has come."""
        row = self._requests.get(rid)
        self.record_event(now, "answered", rid, status, len(body))
        if row is None:
            return  # a request of which not all was written: turned away early
        if row.outcome and row.outcome != ENDED_WITH_PROXY:  # of those an heir may still tell
            self.report_violation(now, "one answer", f"{rid} was answered again, with {status}")
            return
        self._end_request(now, row, _outcome(status))
        if status == 200:
            if not body.startswith(b"report " + rid.encode() + b" ") or len(body) < want:
                self.report_violation(now, "right answer", f"{rid} got {body[:40]!r} of {len(body)} bytes")
            elif not row.runs:
                self.report_violation(now, "right answer", f"{rid} was served by nobody")
        elif status in (429, 503):
            self._check_refusal(now, rid, row)
        elif status in REJECTION_STATUSES:
            self.report_violation(now, "turned away", f"{rid} was told {status}: {body!r}")

    def _check_refusal(self, now: float, rid: str, row: RequestState) -> None:
        """To refuse says that a further try is harmless."""
        harmless = row.request_class.repeat is Repeat.SAFE or (
            row.request_class.repeat is Repeat.KEYED and row.request_class.group is Group.ALL
        )
        maybe = [attempt for attempt in row.attempts if not attempt.rejected and attempt.is_complete()]
        if maybe and not harmless:
            self.report_violation(
                now, "no effect twice", f"{rid} was refused, and may have run at {maybe[0].backend}"
            )

    def is_waiting(self, now: float, rid: str) -> bool:
        """Whether it has come to its proxy by now, whole, and is not answered."""
        row = self._requests.get(rid)
        return row is not None and not row.outcome and row.sent_at + self._round_trip < now

    def on_answer_started(self, now: float, rid: str) -> None:
        """The head of its answer has come: if that is a long one, the rest may take its time."""
        row = self._requests.get(rid)
        if row is not None and not row.outcome and row.answer_size > LONG_MESSAGE:
            row.deadline = max(row.deadline, now + STALL_TIMEOUT)
            self.record_event(now, "begun", rid)

    def on_request_resent(self, now: float, rid: str) -> None:
        """It crossed a close between requests, and was written once more: its time begins anew."""
        row = self._requests[rid]
        row.deadline += now - row.sent_at
        row.sent_at = now
        for attempt in row.attempts:
            attempt.rejected = True  # its proxy had not read the whole of it, so that no node had either
        self.record_event(now, "resent", rid)

    def on_connection_lost(self, now: float, rid: str) -> None:
        """Its connection ended with no whole answer."""
        row = self._requests.get(rid)
        if row is None or row.outcome:
            return
        self._end_request(now, row, "lost")
        self.record_event(now, "lost", rid)
        if not self._is_excused(row, now):
            self.report_violation(now, "no request lost", f"{rid} had no answer from {row.proxy}")

    def on_answer_cut(self, now: float, rid: str) -> None:
        """Its connection ended in the middle of an answer: right only where a node broke one off."""
        row = self._requests.get(rid)
        if row is None or row.outcome:
            return
        broken = (
            self.cutting_backends | self.faulted_backends if row.answer_size > LONG_MESSAGE else self.cutting_backends
        )
        if broken.isdisjoint(attempt.backend for attempt in row.attempts):
            self.on_connection_lost(now, rid)
        else:
            self._end_request(now, row, "cut")
            self.record_event(now, "cut", rid)

    def on_caller_left(self, now: float, rid: str) -> None:
        """Its caller went away."""
        row = self._requests.get(rid)
        if row is not None and not row.outcome:
            self._end_request(now, row, "left")
            self.record_event(now, "left", rid)

    def on_caller_died(self, now: float, caller: str) -> None:
        """All that it waits for is void."""
        for rid, row in self._requests.items():
            if row.caller == caller:
                self.on_caller_left(now, rid)

    def on_surplus_data(self, now: float, proxy: str, data: bytes) -> None:
        """A caller read what it had not asked for."""
        self.report_violation(now, "one answer", f"{proxy} sent more than was asked: {data[:40]!r}")

    # ---- proxies -------------------------------------------------------------------------

    def must_be_abandoned(self, now: float, rid: str) -> bool:
        """Whether a request has ended, and its time as well, and its proxy must know."""
        row = self._requests.get(rid)
        if row is None or not row.outcome or row.proxy in self.slack:
            return False
        return now > max(row.deadline, row.ended_at) + self._round_trip + RECHECK_INTERVAL + self.blocked_seconds(
            row.proxy, row.sent_at, now
        )

    def body_size(self, rid: str) -> int:
        """Bytes of a request's body."""
        row = self._requests.get(rid)
        return row.body_size if row is not None else 0

    def on_attempt_started(
        self,
        now: float,
        proxy: str,
        rid: str,
        node: str,
        out: Callable[[], bool] = lambda: False,
        whole: Callable[[], bool] = lambda: True,
        said: dict[bytes, bytes] | None = None,
    ) -> None:
        """A proxy began to write a request to a node.

        `out` tells whether it still waits for that, `whole` whether it has written the last byte: a node begins
        with that one, so what is not whole never ran. `said` are the headers.
        """
        self.record_event(now, "wrote", rid, proxy, node)
        row = self._requests.get(rid)
        if row is not None and proxy != row.proxy:
            row.other_holders.add(proxy)
        if row is None:
            self.report_violation(now, "right request", f"{proxy} sent {rid}, which nobody asked for, to {node}")
            return
        if row.outcome and rid in self.duplicated_ids:
            return  # the id was free again
        if row.outcome and (row.outcome != "left" or self._caller_departure_known(row, now)):
            self.report_violation(now, "nothing after", f"{rid} was sent to {node} after its end ({row.outcome})")
        if said is not None:
            self._check_forwarded_headers(now, rid, row, node, said)
        self._check_repeat(now, rid, row, node)
        if not self._second_copies and any(earlier.is_pending() for earlier in row.attempts):
            self.report_violation(now, "copies", f"{rid} was sent to {node} while it was out already")
        row.attempts.append(Attempt(node, now, out, whole))
        if len(row.attempts) > self._max_attempts:
            self.report_violation(now, "attempts", f"{rid} was sent {len(row.attempts)} times")
        told = self._known_states.get((proxy, node))
        if told is not None and not told.up:
            late = (
                now
                - told.since
                - self._rules.drain_grace
                - TIMING_SLACK
                - self.blocked_seconds(proxy, told.since, now)
            )
            if late > self.slack.get(proxy, 0.0):
                self.report_violation(now, "drains", f"{rid} was sent to {node}, {late:.3f} s after the grace")
        if (proxy, node) in self._bans:
            since = now - self._bans[proxy, node]
            self.report_violation(now, "bans", f"{rid} was sent to {node}, {since:.3f} s after the yes to its ban")
        recent = self._recent_sends.setdefault(node, deque())
        recent.append((now, told is not None and told.born_ms > 0.0))
        while recent[0][0] < now - self._rules.fall_after:
            recent.popleft()

    def _check_forwarded_headers(
        self, now: float, rid: str, row: RequestState, node: str, said: dict[bytes, bytes]
    ) -> None:
        """What is sent on never says more than there is: the time that is left, and the caller's own key."""
        text = said.get(b"x-budget", b"")
        try:
            told = float(text[:-1]) / {b"m": 1e3, b"u": 1e6}[text[-1:]]
        except (ValueError, KeyError):
            self.report_violation(now, "right request", f"{rid} was sent to {node} with the time {text!r}")
            return
        if row.budget:
            # Its time counts from when its proxy reads it: late where that has much to do, or has had no descriptor.
            spare = self._round_trip + READ_DELAY + max(self.slack.get(holder, 0.0) for holder in row.holders)
            spare += self._holders_blocked_seconds(row, row.sent_at - 2.0 * CATCH_UP_PERIOD, now)
            left = row.budget - max(0.0, now - row.sent_at - spare)
            if told > left + 0.001:
                self.report_violation(
                    now, "right request", f"{rid} was sent to {node} with {told:.3f} s of {left:.3f}"
                )
        key = said.get(b"idempotency-key")
        if (key is not None) is not (row.request_class.repeat is Repeat.KEYED) or (row.key and key != row.key):
            self.report_violation(now, "right request", f"{rid} was sent to {node} with the key {key!r}")

    def _caller_departure_known(self, row: RequestState, now: float) -> bool:
        """Whether its proxy must know by now that its caller has left."""
        known = row.ended_at + self._round_trip + TIMING_SLACK + self.slack.get(row.proxy, 0.0)
        return now > known + self._holders_blocked_seconds(row, row.sent_at, now)

    def _check_repeat(self, now: float, rid: str, row: RequestState, node: str) -> None:
        """A further attempt: whether every earlier one allows it."""
        for earlier in row.attempts:
            if earlier.rejected or row.request_class.repeat is Repeat.SAFE or not earlier.is_complete():
                continue
            where = f"{rid} was sent to {node}, and may have run at {earlier.backend}"
            if row.request_class.repeat is Repeat.UNSAFE:
                self.report_violation(now, "no effect twice", where)
            elif row.request_class.group is not Group.ALL and self._zones.get(node) != self._zones.get(
                earlier.backend
            ):
                self.report_violation(now, "no effect twice", f"{where}, of another group")
            elif now - earlier.sent_at > row.request_class.window + TIMING_SLACK:
                self.report_violation(now, "no effect twice", f"{where}, {now - earlier.sent_at:.3f} s earlier")

    def on_discovery_update(self, now: float, proxy: str, node: str, up: bool, born: float) -> None:
        """Discovery has written a line about a node to a proxy."""
        known = self._known_states.get((proxy, node))
        if known is None or known.up != up or known.born_ms != born:
            self._known_states[proxy, node] = BackendState(up, now, born)
        self.record_event(now, "told", proxy, node, "up" if up else "ends")

    def on_blocked(self, now: float, proxy: str) -> None:
        """From here on it can't do anything, or nobody can reach it."""
        self._blocked_spans.setdefault(proxy, BlockedSpans()).spans.append((now, math.inf))

    def on_unblocked(self, now: float, proxy: str, after: float = 0.0) -> None:
        """It can again, `after` some seconds in which the rest arrives."""
        held = self._blocked_spans.setdefault(proxy, BlockedSpans())
        for i in reversed(range(len(held.spans))):
            if held.spans[i][1] == math.inf:
                held.spans[i] = (held.spans[i][0], now + after)
                return

    def on_banned(self, now: float, proxy: str, node: str) -> None:
        """Operators have had their yes: from here on nothing new goes there."""
        self._bans[proxy, node] = now
        self.record_event(now, "banned", proxy, node)

    def on_unbanned(self, proxy: str, node: str) -> None:
        """They ask for its return."""
        self._bans.pop((proxy, node), None)

    def on_new_proxy(self, proxy: str) -> None:
        """A new proxy at the place of an old one: what operators had ordered is forgotten."""
        for key in [key for key in self._bans if key[0] == proxy]:
            del self._bans[key]

    def on_killed(self, now: float, proxy: str, forgets: bool = True, kept: bool = False) -> None:
        """A process of it is dead, and what that had taken is lost; all that it was told, unless another lives.

        Where its state is kept, what it had known for a while outlives it: a decision against that is a stale one.
        """
        self._deaths.setdefault(proxy, []).append(now)
        if not forgets:
            return
        known_from = now - PERSIST_DELAY - self.blocked_seconds(proxy, now - 10.0, now)
        for key in [key for key, told in self._known_states.items() if key[0] == proxy]:
            if not kept or self._known_states[key].since >= known_from:
                del self._known_states[key]
        for key in [key for key, since in self._bans.items() if key[0] == proxy and kept and since >= known_from]:
            del self._bans[key]

    def on_state_lost(self, proxy: str) -> None:
        """What it had kept is lost, or older than what it knew; orders are kept elsewhere too."""
        for key in [key for key in self._known_states if key[0] == proxy]:
            del self._known_states[key]

    def blocked_seconds(self, proxy: str, begin: float, end: float) -> float:
        """Seconds of a span in which a proxy was held up."""
        held = self._blocked_spans.get(proxy)
        return held.overlap(begin, end) if held is not None else 0.0

    def _holders_blocked_seconds(self, row: RequestState, begin: float, end: float) -> float:
        """Seconds of a span in which those that had a request in hand were held up."""
        return sum(self.blocked_seconds(holder, begin, end) for holder in row.holders)

    def _holder_died(self, row: RequestState, now: float) -> bool:
        """Whether a proxy that had it in hand was killed since it was sent."""
        if row.no_live_proxy:
            return True
        dead = (at for holder in row.holders for at in self._deaths.get(holder, ()))
        return any(row.sent_at - self._round_trip <= at <= now for at in dead)

    def _is_excused(self, row: RequestState, now: float) -> bool:
        """Whether its proxy died, or could not be reached, since it was sent."""
        return self._holder_died(row, now) or self._holders_blocked_seconds(row, row.sent_at, now) > 0.0

    # ---- nodes ---------------------------------------------------------------------------

    def on_backend_received(self, now: float, rid: str, node: str, body: int) -> None:
        """A request's last byte has come to a node."""
        self.record_event(now, "came", rid, node)
        row = self._requests.get(rid)
        if rid in self.duplicated_ids:
            return
        if row is None or not any(attempt.backend == node for attempt in row.attempts):
            self.report_violation(now, "right request", f"{node} got {rid}, which nobody sent there")
        elif body != row.body_size:
            self.report_violation(now, "right request", f"{node} got {rid} with {body} bytes of {row.body_size}")

    def on_backend_rejected(self, now: float, rid: str, node: str) -> None:
        """A node turned it away: it never ran there."""
        self.record_event(now, "rejected", rid, node)
        for attempt in reversed(self._requests[rid].attempts):
            if attempt.backend == node and not attempt.rejected:
                attempt.rejected = True
                return

    def on_backend_ran(self, now: float, rid: str, node: str, key: str | None, effect: bool) -> None:
        """It begins to run; `key` names the effect of a keyed request."""
        self.record_event(now, "ran", rid, node, "anew" if effect else "known")
        row = self._requests.get(rid)
        if row is None:
            return
        row.runs += 1
        if row.request_class.repeat is not Repeat.SAFE and effect:
            # What was sent in time may run after a keyed class's window, and is then nobody's fault.
            window = row.request_class.window if key is not None else math.inf
            first = self._first_effects.setdefault(key or rid, now)
            if first < now <= first + window:
                self.report_violation(now, "no effect twice", f"{rid} took effect a second time, at {node}")

    def check_descriptors(self, now: float, proxy: str, used: int, most: int) -> None:
        """The descriptors that connections of all processes of a proxy take."""
        if used > most:
            self.report_violation(
                now, "descriptors", f"the processes of {proxy} have {used} where {most} are for both"
            )

    def on_ready_while_evacuated(self, now: float, proxy: str) -> None:
        """The front was told yes while operators have the proxy evacuated."""
        self.report_violation(now, "drains", f"{proxy} says yes to the front while it is evacuated")

    def on_cold_overload(self, now: float, node: str, sent: float, carries: float) -> None:
        """A cold node was sent more than it bears."""
        recent = self._recent_sends.get(node, deque())
        knew = sum(knows for _, knows in recent)
        self.record_event(
            now, "fell", node, f"{sent:.3f} of {carries:.3f}", f"{knew} of {len(recent)} by those that knew"
        )
        if knew >= 2 * len(recent) / 3:
            self.report_violation(now, "cold", f"{node} was sent {sent:.3f} s of work where it bears {carries:.3f}")

    # ---- every step ----------------------------------------------------------------------

    def check_deadlines(self, now: float) -> None:
        """Whether an answer is overdue; to be called after every step."""
        while self._deadlines and self._deadlines[0][0] <= now:
            _, rid = heapq.heappop(self._deadlines)
            row = self._requests[rid]
            if row.outcome:
                continue
            if any(
                holder in self._blocked_spans and self._blocked_spans[holder].contains(now) for holder in row.holders
            ):
                heapq.heappush(self._deadlines, (now + RECHECK_INTERVAL, rid))
                continue
            due = row.deadline + self._holders_blocked_seconds(row, row.sent_at, now)
            due += max(self.slack.get(holder, 0.0) for holder in row.holders)
            if due > now:
                heapq.heappush(self._deadlines, (due, rid))
                continue
            dead = self._holder_died(row, now)
            self._end_request(now, row, ENDED_WITH_PROXY if dead else "overdue")
            if not dead and not self._is_excused(row, now):
                self.report_violation(
                    now, "one answer in time", f"{rid} has none from {row.proxy}, {now - row.sent_at:.3f} s on"
                )


def _outcome(status: int) -> str:
    return "served" if status == 200 else "refused" if status in (429, 503) else f"failed {status}"
