"""Trust in stored records: each row of the table in `weldroute.snapshots`, and random ages and clocks."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from weldroute.snapshots import (
    FORMAT_VERSION,
    USABLE_PARTS,
    AgeLimits,
    ClockReading,
    InvalidRecord,
    KnownVersions,
    Owner,
    Record,
    Trust,
    age,
    assess,
    newest_copy,
    read_record,
)

OWNER = Owner("kigali", "intake-a", 5)
NOW = ClockReading(1_000_000.0, "boot-1", 500.0)
LIMITS = AgeLimits(list_for=120.0, learned_for=15.0)
NOTHING_KNOWN = KnownVersions()


def make_record(kind: str = "list", ago: float = 1.0, **changes: Any) -> Record:
    at = ClockReading(NOW.unix - ago, NOW.boot, NOW.since_boot - ago)
    return replace(Record(kind, 3, OWNER, at, {"seq": 41, "version": 2}), **changes)


def test_each_row_of_the_verdict_table() -> None:
    other = replace(make_record(), owner=Owner("kigali", "intake-b", 5))
    later = replace(make_record(), written_at=ClockReading(NOW.unix + 50.0, "boot-0", 9.0))
    rows: list[tuple[Record | None, KnownVersions, Trust]] = [
        (None, NOTHING_KNOWN, Trust.NOTHING),
        (make_record(format_version=FORMAT_VERSION + 1), NOTHING_KNOWN, Trust.NEWER),
        (other, NOTHING_KNOWN, Trust.FOREIGN),
        (replace(make_record(), owner=Owner("huye", "intake-a", 5)), NOTHING_KNOWN, Trust.FOREIGN),
        (replace(make_record(), owner=replace(OWNER, epoch=6)), NOTHING_KNOWN, Trust.AHEAD),
        (later, NOTHING_KNOWN, Trust.UNDATED),
        (make_record(ago=121.0), NOTHING_KNOWN, Trust.OLD),
        (make_record(), KnownVersions(list_seq=42), Trust.SUPERSEDED),
        (make_record("standing"), KnownVersions(standing=3), Trust.SUPERSEDED),
        (make_record("standing"), KnownVersions(list_seq=99, standing=2), Trust.FRESH),
        (make_record(ago=16.0), KnownVersions(list_seq=41), Trust.AGED),
        (make_record(), KnownVersions(list_seq=41), Trust.FRESH),
    ]
    for record, known, wanted in rows:
        verdict, reason = assess(record, OWNER, NOW, LIMITS, known)
        assert (verdict, bool(reason)) == (wanted, True), record
    assert {wanted for *_, wanted in rows} == set(Trust)


def test_setting_the_clock_does_not_change_ages_within_one_boot() -> None:
    record = make_record(ago=10.0)
    for step in (-3600.0, 3600.0):
        assert age(record, replace(NOW, unix=NOW.unix + step)) == 10.0
        assert assess(record, OWNER, replace(NOW, unix=NOW.unix + step), LIMITS, NOTHING_KNOWN)[0] is Trust.FRESH


def test_unix_time_is_used_after_a_boot() -> None:
    record = make_record(ago=10.0)
    booted = ClockReading(NOW.unix, "boot-2", 3.0)
    assert age(record, booted) == 10.0
    assert assess(record, OWNER, replace(booted, unix=NOW.unix - 60.0), LIMITS, NOTHING_KNOWN)[0] is Trust.UNDATED


def test_orders_are_used_at_any_age() -> None:
    for verdict in (Trust.AHEAD, Trust.UNDATED, Trust.OLD, Trust.SUPERSEDED, Trust.AGED, Trust.FRESH):
        assert "standing" in USABLE_PARTS[verdict]
    for verdict in (Trust.NOTHING, Trust.NEWER, Trust.FOREIGN):
        assert not USABLE_PARTS[verdict]


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.integers(0, 99), st.booleans())
def test_trust_never_grows_with_age(first: float, more: float, seq: int, booted: bool) -> None:
    now = replace(NOW, boot="boot-2", since_boot=1.0) if booted else NOW
    known = KnownVersions(list_seq=seq)
    young, old = make_record(ago=first), make_record(ago=first + more)
    before, after = (USABLE_PARTS[assess(record, OWNER, now, LIMITS, known)[0]] for record in (young, old))
    assert after <= before


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda inner: (
            st.lists(inner)
            | st.dictionaries(
                st.sampled_from(
                    ["form", "kind", "serial", "fleet", "instance", "epoch", "unix", "boot", "since_boot"]
                )
                | st.text(),
                inner,
            )
        ),
    )
)
def test_reading_raises_only_invalid_record(value: Any) -> None:
    try:
        record = read_record(value)
    except InvalidRecord as error:
        assert str(error)
    else:
        assess(record, OWNER, NOW, LIMITS, NOTHING_KNOWN)


def test_written_record_reads_back_unchanged() -> None:
    record = make_record()
    assert read_record(orjson.loads(orjson.dumps(record.to_dict()))) == record


def test_newest_copy_has_the_newest_format_and_then_the_highest_serial() -> None:
    first, second, future = (
        make_record(serial=3),
        make_record(serial=4),
        make_record(serial=1, format_version=FORMAT_VERSION + 1),
    )
    assert newest_copy([first, second]) == newest_copy([second, None, first]) == second
    assert newest_copy([second, future]) == future
    assert newest_copy([None, None]) is None


@pytest.mark.parametrize("values", [{"list_for": -1.0}, {"learned_for": float("nan")}, {"learned_for": 999.0}])
def test_invalid_limits_name_the_field(values: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="_for"):
        AgeLimits(**values).check()
