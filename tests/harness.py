"""A checker of the four rules: plays legal events to a balancer and asserts on its actions."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from weldroute.decide import Balancer
from weldroute.model import (
    NEVER_RAN,
    Action,
    Cancel,
    Fail,
    Group,
    ListKind,
    Outcome,
    Refuse,
    Repeat,
    Send,
    ServerRow,
    Settings,
    State,
    Subscribe,
    Timer,
)


@dataclass
class Try:
    """One attempt as the checker sees it."""

    row: ServerRow
    sent: float
    until: float
    how: Outcome | None = None

    @property
    def maybe_ran(self) -> bool:
        return self.how is None or self.how not in NEVER_RAN


@dataclass
class Owed:
    """One request as the checker sees it."""

    kind: int
    deadline: float
    tries: list[Try] = field(default_factory=list)
    finals: int = 0
    ended: bool = False


class Checker:
    """Feeds events to one balancer; every broken rule is an AssertionError."""

    def __init__(self, settings: Settings, seed: int, rows: list[ServerRow]) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 100.0
        self.rows: dict[int, ServerRow] = {}
        self.owed: dict[str, Owed] = {}
        self.timers: list[tuple[float, int]] = []
        self.sends: dict[int, list[float]] = {}
        self.subscribed = 0
        self.count = 0
        self.members(ListKind.STALE, rows)
        self.apply(self.balancer.start(self.now))

    def members(self, kind: ListKind, rows: list[ServerRow]) -> None:
        if kind in (ListKind.STALE, ListKind.WHOLE):
            self.rows = {r.server: r for r in rows}
        elif kind is ListKind.PATCH:
            self.rows.update({r.server: r for r in rows})
        self.apply(self.balancer.members(self.now, kind, rows))

    def request(self, kind: int, wait: float, tenant: int = 0) -> str:
        self.count += 1
        rid = f"r{self.count}"
        self.owed[rid] = Owed(kind, self.now + wait)
        self.apply(self.balancer.request(self.now, rid, kind, tenant, self.now + wait))
        return rid

    def open_tries(self) -> list[tuple[str, int]]:
        return [(rid, n) for rid, o in self.owed.items() for n, t in enumerate(o.tries) if t.how is None]

    def end(self, rid: str, number: int, how: Outcome) -> None:
        owed = self.owed[rid]
        attempt = owed.tries[number]
        attempt.how = how
        if how is Outcome.OK and not owed.ended:
            owed.finals += 1
            owed.ended = True
        self.apply(self.balancer.outcome(self.now, rid, number, how, self.now - attempt.sent, owed.ended))

    def leave(self, rid: str) -> None:
        owed = self.owed[rid]
        if not owed.ended:
            owed.ended = True
            owed.finals += 1  # nothing is owed any more
        self.apply(self.balancer.on_client_gone(self.now, rid))

    def advance(self, span: float) -> None:
        target = self.now + span
        while True:
            due = [
                (t.until, 0, rid, n) for rid, o in self.owed.items() for n, t in enumerate(o.tries) if t.how is None
            ]
            due += [(at, 1, "", token) for at, token in self.timers]
            due = [d for d in due if d[0] <= target]
            if not due:
                break
            at, what, rid, n = min(due)
            self.now = max(self.now, at)
            if what:
                self.timers.remove((at, n))
                self.apply(self.balancer.on_timer(self.now, n))
            else:
                self.end(rid, n, Outcome.TIMEOUT)
        self.now = target
        slack = self.settings.rules.answer_slack
        for rid, owed in self.owed.items():
            if self.now > owed.deadline + slack:
                assert owed.finals == 1, f"{rid} has {owed.finals} final answers after its deadline"

    def apply(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                assert action.due >= self.now
                self.timers.append((max(action.due, self.now + 1e-6), action.token))
            elif isinstance(action, Subscribe):
                self.subscribed += 1
            elif isinstance(action, Send):
                self.sent(action)
            elif isinstance(action, Cancel):
                assert self.settings.limits.cancel, "cancel is not permitted"
                attempt = self.owed[action.request].tries[action.attempt]
                assert attempt.how is None, "cancelled an attempt that had ended"
                attempt.until = self.now  # ends at once, as cancelled or as something on its way
            else:
                self.final(action)

    def sent(self, action: Send) -> None:
        owed = self.owed[action.request]
        kind = self.settings.classes[owed.kind]
        limits = self.settings.limits
        assert not owed.ended, "sent after the final answer"
        row = self.rows[action.server]
        assert row.state is State.UP, "sent to a server that drains or is gone"
        assert len(owed.tries) < limits.max_attempts
        if any(t.how is None for t in owed.tries):
            assert limits.second_copies, "a second copy is not permitted"
        maybe = [t for t in owed.tries if t.maybe_ran]
        if maybe and kind.repeat is not Repeat.SAFE:
            assert kind.repeat is Repeat.KEYED, "an unsafe request was sent twice"
            assert self.now - min(t.sent for t in maybe) <= kind.window, "repeated after its window"
            for t in maybe:
                if kind.group is Group.ZONE:
                    assert t.row.zone == row.zone, "repeated in another zone"
                if kind.group is Group.CELL:
                    assert t.row.cell == row.cell, "repeated in another cell"
        until = owed.deadline
        if action.timeout > 0.0:
            until = min(until, self.now + action.timeout)
        owed.tries.append(Try(replace(row), self.now, until))
        self.sends.setdefault(action.server, []).append(self.now)

    def final(self, action: Refuse | Fail) -> None:
        owed = self.owed[action.request]
        kind = self.settings.classes[owed.kind]
        assert not owed.ended, "a second final answer"
        if isinstance(action, Refuse):
            harmless = kind.repeat is Repeat.SAFE or not any(t.maybe_ran for t in owed.tries)
            harmless = harmless or (kind.repeat is Repeat.KEYED and kind.group is Group.ALL)
            assert harmless, "refused although it may have run"
        owed.ended = True
        owed.finals += 1
