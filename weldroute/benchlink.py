"""Adapter between the simulator's wire (JSON lines) and the decision module; it decides nothing."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

from weldroute.decide import Balancer
from weldroute.model import (
    Action,
    Cancel,
    Fail,
    ListKind,
    Outcome,
    Refuse,
    Send,
    ServerRow,
    State,
    Subscribe,
    Timer,
)
from weldroute.settings import read_settings

STATES = {"U": State.UP, "L": State.DRAINING, "D": State.GONE}
LIST_KINDS = {
    "stale_copy": ListKind.STALE,
    "whole": ListKind.WHOLE,
    "patch": ListKind.PATCH,
    "broken": ListKind.BROKEN,
}
OUTCOMES = {
    "success": Outcome.OK,
    "failure": Outcome.ERROR,
    "overloaded": Outcome.FULL,
    "timed_out": Outcome.TIMEOUT,
    "unreachable": Outcome.UNREACHABLE,
    "broken": Outcome.BROKEN,
    "withdrawn": Outcome.CANCELLED,
    "void": Outcome.VOID,
}


class ProtocolError(Exception):
    """A line that the wire does not allow."""


def read_row(row: dict[str, Any]) -> ServerRow:
    """One entry of a `Register`."""
    return ServerRow(
        row["Backend"],
        STATES[row.get("Readiness", "U")],
        row.get("FailureDomain", 0),
        row.get("Cluster", 0),
        row.get("Units", 1.0),
        row.get("StartTime", 0.0),
    )


def write_action(instance: int, action: Action) -> dict[str, Any]:
    """One action as a message of the wire."""
    if isinstance(action, Send):
        return {
            "m": "Relay",
            "ProxyId": instance,
            "Ref": action.request,
            "Backend": action.server,
            "Within": action.timeout,
        }
    if isinstance(action, Refuse):
        return {
            "m": "NotNow",
            "ProxyId": instance,
            "Ref": action.request,
            "NotBeforeFor": action.retry_after,
        }
    if isinstance(action, Fail):
        return {"m": "ReportFailure", "ProxyId": instance, "Ref": action.request}
    if isinstance(action, Cancel):
        return {"m": "UndoSend", "ProxyId": instance, "Ref": action.request, "RoundNo": action.attempt}
    if isinstance(action, Timer):
        return {"m": "Sleep", "ProxyId": instance, "When": action.due, "Tag": action.token}
    assert isinstance(action, Subscribe)
    return {"m": "Watch", "ProxyId": instance, "Want": True}


class SimulatorAdapter:
    """All instances of one process, and the numbered lists that they share read-only."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.unstarted: set[int] = set()
        self.lists: dict[int, tuple[ServerRow, ...]] = {}

    def _on_members(self, b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        kind = LIST_KINDS[e["Mode"]]
        rows: tuple[ServerRow, ...] = ()
        if kind is not ListKind.BROKEN:
            if e["List"] not in self.lists:
                raise ProtocolError(f"unknown list number {e['List']}")
            rows = self.lists[e["List"]]
        out = b.members(now, kind, rows)
        if e["ProxyId"] in self.unstarted:
            self.unstarted.discard(e["ProxyId"])
            out += b.start(now)
        return out

    @staticmethod
    def _on_call(b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        return b.request(now, e["Ref"], e.get("Kind", 0), e.get("ClientGroup", 0), e.get("Deadline"))

    @staticmethod
    def _on_returned(b: Balancer, now: float, e: dict[str, Any]) -> list[Action]:
        how = OUTCOMES[e["How"]]
        return b.outcome(now, e["Ref"], e.get("RoundNo", 0), how, e.get("CostTime", 0.0), e.get("Last", False))

    def handle(self, now: float, e: dict[str, Any]) -> list[Action]:
        """Hand one event to its instance; returns the instance's actions."""
        name = e["m"]
        if name == "Register":
            self.lists[e["List"]] = tuple(read_row(row) for row in e.get("Rows") or ())
            return []
        instance = e["ProxyId"]
        if name == "OpenInstance":
            self.instances[instance] = Balancer(read_settings(e.get("Settings") or {}), e.get("Entropy", 0))
            self.unstarted.add(instance)
            return []
        balancer = self.instances.get(instance)
        if balancer is None:
            raise ProtocolError(f"instance {instance} was never opened")
        if name == "Teardown":
            del self.instances[instance]
            self.unstarted.discard(instance)
            return []
        if name == "Members":
            return self._on_members(balancer, now, e)
        handler = HANDLERS.get(name)
        if handler is None:
            raise ProtocolError(f"unknown message {name!r}")
        return handler(balancer, now, e)


HANDLERS: dict[str, Callable[[Balancer, float, dict[str, Any]], list[Action]]] = {
    "Call": SimulatorAdapter._on_call,
    "Returned": SimulatorAdapter._on_returned,
    "Wake": lambda b, now, e: b.on_timer(now, e["Tag"]),
    "Aborted": lambda b, now, e: b.on_client_gone(now, e["Ref"]),
    "Started": lambda b, now, e: b.on_stream_started(now, e["Ref"], e.get("RoundNo", 0)),
    "PingResult": lambda b, now, e: [],
    "NeighbourSays": lambda b, now, e: [],
}


def serve(source: BinaryIO, sink: BinaryIO, errors: Any) -> int:
    """Answer batches until the input ends; returns the exit code."""
    link = SimulatorAdapter()
    now: float | None = None
    replies: list[bytes] = []
    event: Any
    for number, line in enumerate(source, 1):
        try:
            event = orjson.loads(line)
            if not isinstance(event, dict) or "m" not in event:
                raise ProtocolError("not a message")
            name = event["m"]
            if name == "Tick":
                if now is not None:
                    raise ProtocolError("a Tick inside a batch")
                now = float(event["Time"])
                continue
            if now is None:
                raise ProtocolError(f"{name!r} outside a batch")
            if name == "Flush":
                replies.append(b'{"m":"Eor"}\n')
                sink.write(b"\n".join(replies))
                sink.flush()
                replies.clear()
                now = None
                continue
        except (ProtocolError, ValueError, KeyError, TypeError) as fault:
            return _report_error(errors, number, fault)
        try:
            actions = link.handle(now, event)
        except (ProtocolError, KeyError, TypeError) as fault:
            if isinstance(fault, ProtocolError) or _in_adapter(fault):
                return _report_error(errors, number, fault)
            replies.append(_bail_out(event, fault))
            continue
        except Exception as fault:
            replies.append(_bail_out(event, fault))
            continue
        if actions:
            instance = event["ProxyId"]
            for action in actions:
                replies.append(orjson.dumps(write_action(instance, action)))
    if now is not None:
        return _report_error(errors, 0, ProtocolError("the input ended inside a batch"))
    return 0


def _in_adapter(fault: BaseException) -> bool:
    """Whether the fault arose in reading the message (a missing or odd field), not in a decision."""
    trace = fault.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return trace is not None and trace.tb_frame.f_code.co_filename == __file__


def _bail_out(event: dict[str, Any], fault: BaseException) -> bytes:
    text = f"{type(fault).__name__}: {fault}"
    return orjson.dumps({"m": "BailOut", "ProxyId": event.get("ProxyId", 0), "NoteText": text})


def _report_error(errors: Any, number: int, fault: BaseException) -> int:
    what = f"missing field {fault}" if isinstance(fault, KeyError) else str(fault)
    print(f"benchlink: line {number}: {what}".replace("\n", " "), file=errors)
    return 2


def main() -> int:
    """Run on standard input and output."""
    return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
