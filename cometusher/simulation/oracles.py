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

from cometusher.simulation.script import LONG_FROM
from weldroute.model import Group, Repeat, RequestClass, Settings

KEPT_WITHIN = 1.0  # seconds after which what a proxy was told is kept
SLACK = 0.05  # seconds by which each time limit is longer over a network than in the rules
AHEAD = 0.1  # seconds between looks at a request whose proxy is held up
BUSY = 0.2  # seconds that a request may wait in its connection
JUST = 1.0  # seconds after a hold in which what had come meanwhile may still be at work
LONG = LONG_FROM  # bytes; longer answers go on while they come...
STALL = 13.0  # ...and what stopped coming is cut by then
MISFITS = (400, 405, 409, 413, 417, 431)  # what an honest request must not be told

WITH_THE_DEAD = "with the dead"  # how a request ended whose proxy was killed, when its time is up


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

    node: str
    at: float
    out: Callable[[], bool]  # whether its proxy still waits for it
    whole: Callable[[], bool]  # whether its last byte is written
    rejected: bool = False


@dataclass
class Row:
    """What is known of one request."""

    kind: RequestClass
    proxy: str
    caller: str
    sent: float
    due: float
    body: int  # bytes
    want: int  # bytes of its answer
    budget: float = 0.0  # seconds; 0 until its last byte is written
    key: bytes = b""
    attempts: list[Attempt] = field(default_factory=list)
    runs: int = 0
    over: str = ""  # how it ended...
    ended: float = 0.0  # ...and when
    others: set[str] = field(default_factory=set)  # proxies that had it in hand beside its own, as heirs
    alone: bool = False  # no proxy was there when it was sent

    @property
    def holders(self) -> set[str]:
        """All proxies that have, or had, its connection."""
        return {self.proxy} | self.others


@dataclass
class Told:
    """What discovery has told one proxy of one node."""

    up: bool
    since: float
    born: float


@dataclass
class Held:
    """Spans in which a proxy could do nothing, through no fault of its own."""

    spans: list[tuple[float, float]] = field(default_factory=list)

    def within(self, begin: float, end: float) -> float:
        """Seconds of a span that it was held up."""
        return sum(max(0.0, min(end, b) - max(begin, a)) for a, b in self.spans)

    def at(self, now: float) -> bool:
        """Whether it is held up now."""
        return any(a <= now < b for a, b in self.spans)


class Ledger:
    """The account of one run, and what breaks the rules in it."""

    def __init__(self, settings: Settings, zones: dict[str, str], path: float, pace: float = 0.0) -> None:
        self._kinds = {kind.name: kind for kind in settings.classes}
        self._rules = settings.rules
        self._most = settings.limits.max_attempts
        self._copies = settings.limits.second_copies
        self._zones = zones  # of nodes
        self._path = path  # seconds that a message may take to a proxy and back...
        self._pace = pace  # ...and each byte of a long one beside that
        self._rows: dict[str, Row] = {}
        self._due: list[tuple[float, str]] = []
        self._open: dict[str, int] = {}
        self._told: dict[tuple[str, str], Told] = {}
        self._bans: dict[tuple[str, str], float] = {}  # since when a node is out at a proxy
        self._held: dict[str, Held] = {}
        self._dead: dict[str, list[float]] = {}  # when proxies were killed
        self._keys: dict[str, float] = {}  # when unsafe and keyed requests first took effect
        self._recent: dict[str, deque[tuple[float, bool]]] = {}  # sends to a node: when, and by one that knew it cold
        self.slack: dict[str, float] = {}  # further seconds that a proxy has, as its timers are coarse
        self.broken_off: set[str] = set()  # nodes that were made to break off answers...
        self.disturbed: set[str] = set()  # ...and those that something befell: long ones of theirs may break off
        self.doubled: set[str] = set()  # requests whose id strangers used as well
        self.violations: list[Violation] = []
        self.trace: list[tuple[object, ...]] = []

    # ---- the account ---------------------------------------------------------------------

    def note(self, now: float, *what: object) -> None:
        """One line of the account."""
        self.trace.append((now, *what))

    def lines(self) -> list[str]:
        """The account, to be read."""
        return [" ".join([f"{row[0]:11.6f}", *map(str, row[1:])]) for row in self.trace]

    def digest(self) -> str:
        """The same for runs that did the same."""
        return hashlib.sha256(repr(self.trace).encode()).hexdigest()[:16]

    def violate(self, now: float, oracle: str, text: str) -> None:
        """A rule is broken."""
        self.violations.append(Violation(oracle, now, text))
        self.note(now, "BROKEN", oracle, text)

    def statuses(self) -> dict[str, int]:
        """How requests ended."""
        counts: dict[str, int] = {}
        for row in self._rows.values():
            counts[row.over or "open"] = counts.get(row.over or "open", 0) + 1
        return dict(sorted(counts.items()))

    def open_at(self, proxy: str) -> int:
        """Requests that wait for their answer."""
        return self._open.get(proxy, 0)

    def held_up(self, now: float, proxy: str) -> bool:
        """Whether a proxy can do nothing, or could not a moment ago."""
        return self.held_for(proxy, now - JUST, now) > 0.0

    def _end(self, now: float, row: Row, how: str) -> None:
        if not row.over:
            self._open[row.proxy] -= 1
        row.over, row.ended = how, now

    # ---- callers -------------------------------------------------------------------------

    def sent(
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
        due = now + budget + self._rules.answer_slack + SLACK + self._path + self._pace * (body + want)
        row = self._rows.get(rid)
        if row is None:
            row = self._come(now, rid, kind, proxy, caller, body, want)
        elif row.due < math.inf:
            raise ValueError(f"{rid} is sent twice by its caller")
        row.sent, row.due, row.budget, row.key = now, due, budget, key
        row.others |= {holder} - {"", proxy}
        row.alone = alone
        for attempt in row.attempts:
            attempt.at = now  # a node begins with the last byte
        heapq.heappush(self._due, (due, rid))
        self.note(now, "sent", rid, kind, proxy, f"{budget:.3f}")

    def coming(self, now: float, rid: str, kind: str, proxy: str, caller: str, body: int, want: int) -> None:
        """The first bytes of a long request were written: it may be passed on while it comes."""
        if rid not in self._rows:
            self._come(now, rid, kind, proxy, caller, body, want)
            self.note(now, "coming", rid, kind, proxy)

    def _come(self, now: float, rid: str, kind: str, proxy: str, caller: str, body: int, want: int) -> Row:
        row = self._rows[rid] = Row(self._kinds[kind], proxy, caller, now, math.inf, body, want)
        self._open[proxy] = self._open.get(proxy, 0) + 1
        return row

    def answered(self, now: float, rid: str, status: int, body: bytes, want: int) -> None:
        """A whole answer has come."""
        row = self._rows.get(rid)
        self.note(now, "answered", rid, status, len(body))
        if row is None:
            return  # a request of which not all was written: turned away early
        if row.over and row.over != WITH_THE_DEAD:  # of those an heir may still tell
            self.violate(now, "one answer", f"{rid} was answered again, with {status}")
            return
        self._end(now, row, _name(status))
        if status == 200:
            if not body.startswith(b"report " + rid.encode() + b" ") or len(body) < want:
                self.violate(now, "right answer", f"{rid} got {body[:40]!r} of {len(body)} bytes")
            elif not row.runs:
                self.violate(now, "right answer", f"{rid} was served by nobody")
        elif status in (429, 503):
            self._refused(now, rid, row)
        elif status in MISFITS:
            self.violate(now, "turned away", f"{rid} was told {status}: {body!r}")

    def _refused(self, now: float, rid: str, row: Row) -> None:
        """To refuse says that a further try is harmless."""
        harmless = row.kind.repeat is Repeat.SAFE or (row.kind.repeat is Repeat.KEYED and row.kind.group is Group.ALL)
        maybe = [attempt for attempt in row.attempts if not attempt.rejected and attempt.whole()]
        if maybe and not harmless:
            self.violate(now, "no effect twice", f"{rid} was refused, and may have run at {maybe[0].node}")

    def waits(self, now: float, rid: str) -> bool:
        """Whether it has come to its proxy by now, whole, and is not answered."""
        row = self._rows.get(rid)
        return row is not None and not row.over and row.sent + self._path < now

    def begun(self, now: float, rid: str) -> None:
        """The head of its answer has come: if that is a long one, the rest may take its time."""
        row = self._rows.get(rid)
        if row is not None and not row.over and row.want > LONG:
            row.due = max(row.due, now + STALL)
            self.note(now, "begun", rid)

    def resent(self, now: float, rid: str) -> None:
        """It crossed a close between requests, and was written once more: its time begins anew."""
        row = self._rows[rid]
        row.due += now - row.sent
        row.sent = now
        for attempt in row.attempts:
            attempt.rejected = True  # its proxy had not read the whole of it, so that no node had either
        self.note(now, "resent", rid)

    def lost(self, now: float, rid: str) -> None:
        """Its connection ended with no whole answer."""
        row = self._rows.get(rid)
        if row is None or row.over:
            return
        self._end(now, row, "lost")
        self.note(now, "lost", rid)
        if not self._excused(row, now):
            self.violate(now, "no request lost", f"{rid} had no answer from {row.proxy}")

    def cut(self, now: float, rid: str) -> None:
        """Its connection ended in the middle of an answer: right only where a node broke one off."""
        row = self._rows.get(rid)
        if row is None or row.over:
            return
        broken = self.broken_off | self.disturbed if row.want > LONG else self.broken_off
        if broken.isdisjoint(attempt.node for attempt in row.attempts):
            self.lost(now, rid)
        else:
            self._end(now, row, "cut")
            self.note(now, "cut", rid)

    def left(self, now: float, rid: str) -> None:
        """Its caller went away."""
        row = self._rows.get(rid)
        if row is not None and not row.over:
            self._end(now, row, "left")
            self.note(now, "left", rid)

    def caller_died(self, now: float, caller: str) -> None:
        """All that it waits for is void."""
        for rid, row in self._rows.items():
            if row.caller == caller:
                self.left(now, rid)

    def surplus(self, now: float, proxy: str, data: bytes) -> None:
        """A caller read what it had not asked for."""
        self.violate(now, "one answer", f"{proxy} sent more than was asked: {data[:40]!r}")

    # ---- proxies -------------------------------------------------------------------------

    def void(self, now: float, rid: str) -> bool:
        """Whether a request has ended, and its time as well, and its proxy must know."""
        row = self._rows.get(rid)
        if row is None or not row.over or row.proxy in self.slack:
            return False
        return now > max(row.due, row.ended) + self._path + AHEAD + self.held_for(row.proxy, row.sent, now)

    def body_of(self, rid: str) -> int:
        """Bytes of a request's body."""
        row = self._rows.get(rid)
        return row.body if row is not None else 0

    def wrote(
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
        self.note(now, "wrote", rid, proxy, node)
        row = self._rows.get(rid)
        if row is not None and proxy != row.proxy:
            row.others.add(proxy)
        if row is None:
            self.violate(now, "right request", f"{proxy} sent {rid}, which nobody asked for, to {node}")
            return
        if row.over and rid in self.doubled:
            return  # the id was free again
        if row.over and (row.over != "left" or self._knew(row, now)):
            self.violate(now, "nothing after", f"{rid} was sent to {node} after its end ({row.over})")
        if said is not None:
            self._passes_on(now, rid, row, node, said)
        self._again(now, rid, row, node)
        if not self._copies and any(earlier.out() for earlier in row.attempts):
            self.violate(now, "copies", f"{rid} was sent to {node} while it was out already")
        row.attempts.append(Attempt(node, now, out, whole))
        if len(row.attempts) > self._most:
            self.violate(now, "attempts", f"{rid} was sent {len(row.attempts)} times")
        told = self._told.get((proxy, node))
        if told is not None and not told.up:
            late = now - told.since - self._rules.drain_grace - SLACK - self.held_for(proxy, told.since, now)
            if late > self.slack.get(proxy, 0.0):
                self.violate(now, "drains", f"{rid} was sent to {node}, {late:.3f} s after the grace")
        if (proxy, node) in self._bans:
            since = now - self._bans[proxy, node]
            self.violate(now, "bans", f"{rid} was sent to {node}, {since:.3f} s after the yes to its ban")
        recent = self._recent.setdefault(node, deque())
        recent.append((now, told is not None and told.born > 0.0))
        while recent[0][0] < now - self._rules.fall_after:
            recent.popleft()

    def _passes_on(self, now: float, rid: str, row: Row, node: str, said: dict[bytes, bytes]) -> None:
        """What is sent on never says more than there is: the time that is left, and the caller's own key."""
        text = said.get(b"x-budget", b"")
        try:
            told = float(text[:-1]) / {b"m": 1e3, b"u": 1e6}[text[-1:]]
        except (ValueError, KeyError):
            self.violate(now, "right request", f"{rid} was sent to {node} with the time {text!r}")
            return
        if row.budget:
            # Its time counts from when its proxy reads it: late where that has much to do, or has had no descriptor.
            spare = self._path + BUSY + max(self.slack.get(holder, 0.0) for holder in row.holders)
            spare += self._held_up(row, row.sent - 2.0 * JUST, now)
            left = row.budget - max(0.0, now - row.sent - spare)
            if told > left + 0.001:
                self.violate(now, "right request", f"{rid} was sent to {node} with {told:.3f} s of {left:.3f}")
        key = said.get(b"idempotency-key")
        if (key is not None) is not (row.kind.repeat is Repeat.KEYED) or (row.key and key != row.key):
            self.violate(now, "right request", f"{rid} was sent to {node} with the key {key!r}")

    def _knew(self, row: Row, now: float) -> bool:
        """Whether its proxy must know by now that its caller has left."""
        known = row.ended + self._path + SLACK + self.slack.get(row.proxy, 0.0)
        return now > known + self._held_up(row, row.sent, now)

    def _again(self, now: float, rid: str, row: Row, node: str) -> None:
        """A further attempt: whether every earlier one allows it."""
        for earlier in row.attempts:
            if earlier.rejected or row.kind.repeat is Repeat.SAFE or not earlier.whole():
                continue
            where = f"{rid} was sent to {node}, and may have run at {earlier.node}"
            if row.kind.repeat is Repeat.UNSAFE:
                self.violate(now, "no effect twice", where)
            elif row.kind.group is not Group.ALL and self._zones.get(node) != self._zones.get(earlier.node):
                self.violate(now, "no effect twice", f"{where}, of another group")
            elif now - earlier.at > row.kind.window + SLACK:
                self.violate(now, "no effect twice", f"{where}, {now - earlier.at:.3f} s earlier")

    def told(self, now: float, proxy: str, node: str, up: bool, born: float) -> None:
        """Discovery has written a line about a node to a proxy."""
        known = self._told.get((proxy, node))
        if known is None or known.up != up or known.born != born:
            self._told[proxy, node] = Told(up, now, born)
        self.note(now, "told", proxy, node, "up" if up else "ends")

    def hold(self, now: float, proxy: str) -> None:
        """From here on it can't do anything, or nobody can reach it."""
        self._held.setdefault(proxy, Held()).spans.append((now, math.inf))

    def release(self, now: float, proxy: str, after: float = 0.0) -> None:
        """It can again, `after` some seconds in which the rest arrives."""
        held = self._held.setdefault(proxy, Held())
        for i in reversed(range(len(held.spans))):
            if held.spans[i][1] == math.inf:
                held.spans[i] = (held.spans[i][0], now + after)
                return

    def banned(self, now: float, proxy: str, node: str) -> None:
        """Operators have had their yes: from here on nothing new goes there."""
        self._bans[proxy, node] = now
        self.note(now, "banned", proxy, node)

    def unbanned(self, proxy: str, node: str) -> None:
        """They ask for its return."""
        self._bans.pop((proxy, node), None)

    def started_anew(self, proxy: str) -> None:
        """A new proxy at the place of an old one: what operators had ordered is forgotten."""
        for key in [key for key in self._bans if key[0] == proxy]:
            del self._bans[key]

    def killed(self, now: float, proxy: str, forgets: bool = True, kept: bool = False) -> None:
        """A process of it is dead, and what that had taken is lost; all that it was told, unless another lives.

        Where its state is kept, what it had known for a while outlives it: a decision against that is a stale one.
        """
        self._dead.setdefault(proxy, []).append(now)
        if not forgets:
            return
        known_from = now - KEPT_WITHIN - self.held_for(proxy, now - 10.0, now)
        for key in [key for key, told in self._told.items() if key[0] == proxy]:
            if not kept or self._told[key].since >= known_from:
                del self._told[key]
        for key in [key for key, since in self._bans.items() if key[0] == proxy and kept and since >= known_from]:
            del self._bans[key]

    def forgets(self, proxy: str) -> None:
        """What it had kept is lost, or older than what it knew; orders are kept elsewhere too."""
        for key in [key for key in self._told if key[0] == proxy]:
            del self._told[key]

    def held_for(self, proxy: str, begin: float, end: float) -> float:
        """Seconds of a span in which a proxy was held up."""
        held = self._held.get(proxy)
        return held.within(begin, end) if held is not None else 0.0

    def _held_up(self, row: Row, begin: float, end: float) -> float:
        """Seconds of a span in which those that had a request in hand were held up."""
        return sum(self.held_for(holder, begin, end) for holder in row.holders)

    def _died(self, row: Row, now: float) -> bool:
        """Whether a proxy that had it in hand was killed since it was sent."""
        if row.alone:
            return True
        dead = (at for holder in row.holders for at in self._dead.get(holder, ()))
        return any(row.sent - self._path <= at <= now for at in dead)

    def _excused(self, row: Row, now: float) -> bool:
        """Whether its proxy died, or could not be reached, since it was sent."""
        return self._died(row, now) or self._held_up(row, row.sent, now) > 0.0

    # ---- nodes ---------------------------------------------------------------------------

    def came(self, now: float, rid: str, node: str, body: int) -> None:
        """A request's last byte has come to a node."""
        self.note(now, "came", rid, node)
        row = self._rows.get(rid)
        if rid in self.doubled:
            return
        if row is None or not any(attempt.node == node for attempt in row.attempts):
            self.violate(now, "right request", f"{node} got {rid}, which nobody sent there")
        elif body != row.body:
            self.violate(now, "right request", f"{node} got {rid} with {body} bytes of {row.body}")

    def rejected(self, now: float, rid: str, node: str) -> None:
        """A node turned it away: it never ran there."""
        self.note(now, "rejected", rid, node)
        for attempt in reversed(self._rows[rid].attempts):
            if attempt.node == node and not attempt.rejected:
                attempt.rejected = True
                return

    def ran(self, now: float, rid: str, node: str, key: str | None, effect: bool) -> None:
        """It begins to run; `key` names the effect of a keyed request."""
        self.note(now, "ran", rid, node, "anew" if effect else "known")
        row = self._rows.get(rid)
        if row is None:
            return
        row.runs += 1
        if row.kind.repeat is not Repeat.SAFE and effect:
            # What was sent in time may run after a keyed class's window, and is then nobody's fault.
            window = row.kind.window if key is not None else math.inf
            first = self._keys.setdefault(key or rid, now)
            if first < now <= first + window:
                self.violate(now, "no effect twice", f"{rid} took effect a second time, at {node}")

    def together(self, now: float, proxy: str, used: int, most: int) -> None:
        """The descriptors that connections of all processes of a proxy take."""
        if used > most:
            self.violate(now, "descriptors", f"the processes of {proxy} have {used} where {most} are for both")

    def says_yes(self, now: float, proxy: str) -> None:
        """The front was told yes while operators have the proxy evacuated."""
        self.violate(now, "drains", f"{proxy} says yes to the front while it is evacuated")

    def fell(self, now: float, node: str, sent: float, carries: float) -> None:
        """A cold node was sent more than it bears."""
        recent = self._recent.get(node, deque())
        knew = sum(knows for _, knows in recent)
        self.note(now, "fell", node, f"{sent:.3f} of {carries:.3f}", f"{knew} of {len(recent)} by those that knew")
        if knew >= 2 * len(recent) / 3:
            self.violate(now, "cold", f"{node} was sent {sent:.3f} s of work where it bears {carries:.3f}")

    # ---- every step ----------------------------------------------------------------------

    def step(self, now: float) -> None:
        """Whether an answer is overdue; to be called after every step."""
        while self._due and self._due[0][0] <= now:
            _, rid = heapq.heappop(self._due)
            row = self._rows[rid]
            if row.over:
                continue
            if any(holder in self._held and self._held[holder].at(now) for holder in row.holders):
                heapq.heappush(self._due, (now + AHEAD, rid))
                continue
            due = row.due + self._held_up(row, row.sent, now)
            due += max(self.slack.get(holder, 0.0) for holder in row.holders)
            if due > now:
                heapq.heappush(self._due, (due, rid))
                continue
            dead = self._died(row, now)
            self._end(now, row, WITH_THE_DEAD if dead else "overdue")
            if not dead and not self._excused(row, now):
                self.violate(now, "one answer in time", f"{rid} has none from {row.proxy}, {now - row.sent:.3f} s on")


def _name(status: int) -> str:
    return "served" if status == 200 else "refused" if status in (429, 503) else f"failed {status}"
