"""Adapter between the simulator's protocol (JSON lines) and the decisions; it decides nothing."""

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
    """A line that violates the simulator's protocol."""


def read_row(entry: dict[str, Any]) -> ServerRow:
    """Convert one entry of a `Register` message."""
    return ServerRow(
        entry["Backend"],
        STATES[entry.get("Readiness", "U")],
        entry.get("FailureDomain", 0),
        entry.get("Cluster", 0),
        entry.get("Units", 1.0),
        entry.get("StartTime", 0.0),
    )


def write_action(instance: int, action: Action) -> dict[str, Any]:
    """Convert an action to a message of the protocol."""
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
    """Holds all instances of one process, and the numbered lists that they share read-only."""

    def __init__(self) -> None:
        self.instances: dict[int, Balancer] = {}
        self.unstarted: set[int] = set()
        self.lists: dict[int, tuple[ServerRow, ...]] = {}

    def _on_members(self, balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
        list_kind = LIST_KINDS[event["Mode"]]
        rows: tuple[ServerRow, ...] = ()
        if list_kind is not ListKind.BROKEN:
            if event["List"] not in self.lists:
                raise ProtocolError(f"unknown list number {event['List']}")
            rows = self.lists[event["List"]]
        actions = balancer.members(now, list_kind, rows)
        if event["ProxyId"] in self.unstarted:
            self.unstarted.discard(event["ProxyId"])
            actions += balancer.start(now)
        return actions

    @staticmethod
    def _on_call(balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
        return balancer.request(
            now, event["Ref"], event.get("Kind", 0), event.get("ClientGroup", 0), event.get("Deadline")
        )

    @staticmethod
    def _on_returned(balancer: Balancer, now: float, event: dict[str, Any]) -> list[Action]:
        outcome = OUTCOMES[event["How"]]
        return balancer.outcome(
            now, event["Ref"], event.get("RoundNo", 0), outcome, event.get("CostTime", 0.0), event.get("Last", False)
        )

    def handle(self, now: float, event: dict[str, Any]) -> list[Action]:
        """Pass an event to its instance; return the instance's actions. Raises ProtocolError."""
        name = event["m"]
        if name == "Register":
            self.lists[event["List"]] = tuple(read_row(row) for row in event.get("Rows") or ())
            return []
        instance = event["ProxyId"]
        if name == "OpenInstance":
            self.instances[instance] = Balancer(read_settings(event.get("Settings") or {}), event.get("Entropy", 0))
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
            return self._on_members(balancer, now, event)
        handler = HANDLERS.get(name)
        if handler is None:
            raise ProtocolError(f"unknown message {name!r}")
        return handler(balancer, now, event)


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
    """Answer batches until the input ends; return the exit code (2 for a protocol error)."""
    adapter = SimulatorAdapter()
    now: float | None = None
    replies: list[bytes] = []
    event: Any
    for line_number, line in enumerate(source, 1):
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
        except (ProtocolError, ValueError, KeyError, TypeError) as error:
            return _report_error(errors, line_number, error)
        try:
            actions = adapter.handle(now, event)
        except (ProtocolError, KeyError, TypeError) as error:
            if isinstance(error, ProtocolError) or _in_adapter(error):
                return _report_error(errors, line_number, error)
            replies.append(_bail_out(event, error))
            continue
        except Exception as error:
            replies.append(_bail_out(event, error))
            continue
        if actions:
            instance = event["ProxyId"]
            for action in actions:
                replies.append(orjson.dumps(write_action(instance, action)))
    if now is not None:
        return _report_error(errors, 0, ProtocolError("the input ended inside a batch"))
    return 0


def _in_adapter(error: BaseException) -> bool:
    """Whether the error was raised while reading the message (a missing or invalid field), not in a decision."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    return trace is not None and trace.tb_frame.f_code.co_filename == __file__


def _bail_out(event: dict[str, Any], error: BaseException) -> bytes:
    text = f"{type(error).__name__}: {error}"
    return orjson.dumps({"m": "BailOut", "ProxyId": event.get("ProxyId", 0), "NoteText": text})


def _report_error(errors: Any, line_number: int, error: BaseException) -> int:
    text = f"missing field {error}" if isinstance(error, KeyError) else str(error)
    print(f"benchlink: line {line_number}: {text}".replace("\n", " "), file=errors)
    return 2


def main() -> int:
    """Run on standard input and output."""
    return serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
