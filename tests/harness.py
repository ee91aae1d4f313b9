"""Checks the four rules: passes legal events to a balancer and asserts on its actions."""

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
class RecordedAttempt:
    """An attempt as recorded by the checker."""

    row: ServerRow
    sent: float
    until: float
    outcome: Outcome | None = None

    @property
    def maybe_ran(self) -> bool:
        return self.outcome is None or self.outcome not in NEVER_RAN


@dataclass
class PendingRequest:
    """A request as recorded by the checker."""

    class_index: int
    deadline: float
    attempts: list[RecordedAttempt] = field(default_factory=list)
    final_answers: int = 0
    ended: bool = False


class Checker:
    """Passes events to one balancer; every broken rule is an AssertionError."""

    def __init__(self, settings: Settings, seed: int, rows: list[ServerRow]) -> None:
        self.settings = settings
        self.balancer = Balancer(settings, seed)
        self.now = 100.0
        self.rows: dict[int, ServerRow] = {}
        self.pending: dict[str, PendingRequest] = {}
        self.timers: list[tuple[float, int]] = []
        self.sends: dict[int, list[float]] = {}
        self.subscribed = 0
        self.count = 0
        self.members(ListKind.STALE, rows)
        self.apply(self.balancer.start(self.now))

    def members(self, list_kind: ListKind, rows: list[ServerRow]) -> None:
        if list_kind in (ListKind.STALE, ListKind.WHOLE):
            self.rows = {r.server: r for r in rows}
        elif list_kind is ListKind.PATCH:
            self.rows.update({r.server: r for r in rows})
        self.apply(self.balancer.members(self.now, list_kind, rows))

    def request(self, class_index: int, wait: float, tenant: int = 0) -> str:
        self.count += 1
        request_id = f"r{self.count}"
        self.pending[request_id] = PendingRequest(class_index, self.now + wait)
        self.apply(self.balancer.request(self.now, request_id, class_index, tenant, self.now + wait))
        return request_id

    def open_attempts(self) -> list[tuple[str, int]]:
        return [
            (request_id, n)
            for request_id, o in self.pending.items()
            for n, t in enumerate(o.attempts)
            if t.outcome is None
        ]

    def end(self, request_id: str, number: int, outcome: Outcome) -> None:
        pending = self.pending[request_id]
        attempt = pending.attempts[number]
        attempt.outcome = outcome
        if outcome is Outcome.OK and not pending.ended:
            pending.final_answers += 1
            pending.ended = True
        self.apply(
            self.balancer.outcome(self.now, request_id, number, outcome, self.now - attempt.sent, pending.ended)
        )

    def abort(self, request_id: str) -> None:
        pending = self.pending[request_id]
        if not pending.ended:
            pending.ended = True
            pending.final_answers += 1  # no answer is owed any more
        self.apply(self.balancer.on_client_gone(self.now, request_id))

    def advance(self, span: float) -> None:
        target = self.now + span
        while True:
            due = [
                (t.until, 0, request_id, n)
                for request_id, o in self.pending.items()
                for n, t in enumerate(o.attempts)
                if t.outcome is None
            ]
            due += [(at, 1, "", token) for at, token in self.timers]
            due = [d for d in due if d[0] <= target]
            if not due:
                break
            at, is_timer, request_id, n = min(due)
            self.now = max(self.now, at)
            if is_timer:
                self.timers.remove((at, n))
                self.apply(self.balancer.on_timer(self.now, n))
            else:
                self.end(request_id, n, Outcome.TIMEOUT)
        self.now = target
        slack = self.settings.rules.answer_slack
        for request_id, pending in self.pending.items():
            if self.now > pending.deadline + slack:
                assert pending.final_answers == 1, (
                    f"{request_id} has {pending.final_answers} final answers after its deadline"
                )

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
                attempt = self.pending[action.request].attempts[action.attempt]
                assert attempt.outcome is None, "cancelled an attempt that had ended"
                attempt.until = self.now  # ends at once, as cancelled or with an outcome that was on its way
            else:
                self.final(action)

    def sent(self, action: Send) -> None:
        pending = self.pending[action.request]
        request_class = self.settings.classes[pending.class_index]
        limits = self.settings.limits
        assert not pending.ended, "sent after the final answer"
        row = self.rows[action.server]
        assert row.state is State.UP, "sent to a server that is draining or gone"
        assert len(pending.attempts) < limits.max_attempts
        if any(t.outcome is None for t in pending.attempts):
            assert limits.second_copies, "a second copy is not permitted"
        maybe_ran = [t for t in pending.attempts if t.maybe_ran]
        if maybe_ran and request_class.repeat is not Repeat.SAFE:
            assert request_class.repeat is Repeat.KEYED, "an unsafe request was sent twice"
            assert self.now - min(t.sent for t in maybe_ran) <= request_class.window, "repeated after its window"
            for t in maybe_ran:
                if request_class.group is Group.ZONE:
                    assert t.row.zone == row.zone, "repeated in another zone"
                if request_class.group is Group.CELL:
                    assert t.row.cell == row.cell, "repeated in another cell"
        until = pending.deadline
        if action.timeout > 0.0:
            until = min(until, self.now + action.timeout)
        pending.attempts.append(RecordedAttempt(replace(row), self.now, until))
        self.sends.setdefault(action.server, []).append(self.now)

    def final(self, action: Refuse | Fail) -> None:
        pending = self.pending[action.request]
        request_class = self.settings.classes[pending.class_index]
        assert not pending.ended, "a second final answer"
        if isinstance(action, Refuse):
            harmless = request_class.repeat is Repeat.SAFE or not any(t.maybe_ran for t in pending.attempts)
            harmless = harmless or (request_class.repeat is Repeat.KEYED and request_class.group is Group.ALL)
            assert harmless, "refused although it may have run"
        pending.ended = True
        pending.final_answers += 1
