"""The simulator adapter on handwritten protocol lines."""

from __future__ import annotations

import io
from typing import Any

import orjson
import pytest

from weldroute import Balancer, Discovery, Group, Repeat, benchlink
from weldroute.benchlink import serve
from weldroute.settings import read_settings

OPEN = {
    "m": "OpenInstance",
    "ProxyId": 3,
    "Entropy": 5,
    "Settings": {
        "Services": [{"Name": "a", "Aim": 1.0, "HardLimit": 4.0, "Repeat": "retryable"}],
        "Unheard": 1,
    },
}
REGISTER = {"m": "Register", "List": 0, "Rows": [{"Backend": 51530247, "Readiness": "U"}, {"Backend": 7}]}
MEMBERS = {"m": "Members", "ProxyId": 3, "Mode": "stale_copy", "Version": 1, "List": 0}


def call(ref: str, deadline: float = 12.0) -> dict[str, Any]:
    return {"m": "Call", "ProxyId": 3, "Ref": ref, "Kind": 0, "Deadline": deadline}


def returned(ref: str, outcome: str, number: int = 0, last: bool = False) -> dict[str, Any]:
    return {
        "m": "Returned",
        "ProxyId": 3,
        "Ref": ref,
        "RoundNo": number,
        "Backend": 7,
        "How": outcome,
        "CostTime": 0.1,
        "Last": last,
        "Telemetry": [1.0],
    }


def run(*batches: list[dict[str, Any]]) -> tuple[int, list[list[dict[str, Any]]], str]:
    lines = []
    for i, batch in enumerate(batches):
        lines += [{"m": "Tick", "Time": 10.0 + i / 10}, *batch, {"m": "Flush"}]
    return feed(b"".join(orjson.dumps(line) + b"\n" for line in lines))


def feed(text: bytes) -> tuple[int, list[list[dict[str, Any]]], str]:
    sink, errors = io.BytesIO(), io.StringIO()
    code = serve(io.BytesIO(text), sink, errors)
    replies: list[list[dict[str, Any]]] = [[]]
    for line in sink.getvalue().splitlines():
        message = orjson.loads(line)
        if message["m"] == "Eor":
            replies.append([])
        else:
            replies[-1].append(message)
    assert replies.pop() == []
    return code, replies, errors.getvalue()


def test_empty_batch_and_clean_end() -> None:
    assert run([]) == (0, [[]], "")
    assert feed(b"") == (0, [], "")


def test_call_is_sent_and_retried_after_an_overloaded_answer() -> None:
    code, replies, errors = run(
        [OPEN, REGISTER, MEMBERS],
        [call("rq_a")],
        [returned("rq_a", "overloaded")],
        [returned("rq_a", "success", 1, True)],
    )
    assert (code, errors) == (0, "")
    (first,), (second,) = replies[1], replies[2]
    assert (first["m"], first["Ref"], first["ProxyId"]) == ("Relay", "rq_a", 3)
    assert {first["Backend"], second["Backend"]} == {51530247, 7}
    assert replies[3] == []


@pytest.mark.parametrize("outcome", [*benchlink.OUTCOMES])
def test_every_outcome_is_accepted(outcome: str) -> None:
    code, replies, errors = run(
        [OPEN, REGISTER, MEMBERS], [call("rq_a")], [returned("rq_a", outcome, 0, outcome == "success")]
    )
    assert (code, errors) == (0, "")
    assert len(replies[2]) == (0 if outcome == "success" else 1)


def test_teardown_and_open_in_one_batch_discards_all_state() -> None:
    code, replies, _ = run(
        [OPEN, REGISTER, MEMBERS],
        [call("rq_a")],
        [{"m": "Teardown", "ProxyId": 3}, OPEN, MEMBERS, returned("rq_a", "failure"), call("rq_b")],
    )
    assert code == 0
    assert [a["Ref"] for a in replies[2]] == ["rq_b"]


def test_reused_list_number_within_a_batch() -> None:
    other = {"m": "Register", "List": 0, "Rows": [{"Backend": 99}]}
    whole = {"m": "Members", "ProxyId": 3, "Mode": "whole", "Version": 2, "List": 0}
    _, replies, _ = run([OPEN, REGISTER, MEMBERS, other, whole], [call("rq_a")])
    assert replies[1][0]["Backend"] == 99


def test_abort_after_the_answer_and_stale_timers_are_ignored() -> None:
    code, replies, _ = run(
        [OPEN, REGISTER, MEMBERS],
        [call("rq_a", 1.0)],
        [{"m": "Aborted", "ProxyId": 3, "Ref": "rq_a"}, {"m": "Wake", "ProxyId": 3, "Tag": 77}],
        [{"m": "Started", "ProxyId": 3, "Ref": "rq_a"}, {"m": "PingResult", "ProxyId": 3, "Backend": 7}],
    )
    assert code == 0
    assert replies[1][0]["m"] == "NotNow"
    assert replies[2] == replies[3] == []


def test_settings_are_read_and_defaulted() -> None:
    settings = read_settings(
        {
            "RegistryMode": "on_request",
            "Instances": 4,
            "Ordinal": 2,
            "Tier": 1,
            "Tiers": ["a", "b"],
            "Services": [{"Name": "k", "Repeat": "dedup", "Group": "zone", "Window": 4.0, "Aim": 1, "HardLimit": 2}],
            "Bounds": {"SecondCopies": True, "New": 1},
            "Rules": {"Cold": 9.0},
            "Orgs": [{"Name": "x", "Share": 1.0}],
        }
    )
    settings.check()
    assert settings.discovery is Discovery.ON_REQUEST
    assert (settings.balancers, settings.me, settings.tier, settings.tiers) == (4, 2, 1, 2)
    assert (settings.classes[0].repeat, settings.classes[0].group) == (Repeat.KEYED, Group.ZONE)
    assert settings.limits.second_copies and not settings.limits.cancel
    assert settings.rules.cold_for == 9.0
    read_settings({}).check()


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        (b'{"m":"Tick","Time":1}\nnonsense\n', "line 2"),
        (b'{"m":"Tick","Time":1}\n[]\n', "line 2: not a message"),
        (b'{"m":"Flush"}\n', "line 1"),
        (b'{"m":"Tick","Time":1}\n{"m":"Wake","ProxyId":8,"Tag":1}\n', "instance 8 was never opened"),
        (b'{"m":"Tick","Time":1}\n', "inside a batch"),
        (b'{"m":"Tick"}\n', "missing field 'Time'"),
    ],
)
def test_invalid_input_ends_with_one_error_line(lines: bytes, fault: str) -> None:
    code, replies, errors = feed(lines)
    assert code != 0
    assert replies == []
    assert fault in errors
    assert errors.count("\n") == 1


def test_unknown_messages_lists_and_missing_fields_are_rejected() -> None:
    code, _, errors = run([OPEN, REGISTER, MEMBERS, {"m": "Hello", "ProxyId": 3}])
    assert code != 0 and "unknown message 'Hello'" in errors
    code, _, errors = run([OPEN, REGISTER, MEMBERS | {"List": 4}])
    assert code != 0 and "unknown list number 4" in errors
    code, _, errors = run([OPEN, REGISTER, MEMBERS], [{"m": "Call", "ProxyId": 3}])
    assert code != 0 and "missing field 'Ref'" in errors


def test_exception_in_the_decisions_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def broken(*_: object) -> None:
        raise KeyError("odd")

    monkeypatch.setattr(Balancer, "request", broken)
    code, replies, _ = run([OPEN, REGISTER, MEMBERS], [call("rq_a")])
    assert code == 0
    assert replies[1][0]["m"] == "BailOut"
    assert "odd" in replies[1][0]["NoteText"]
