"""What is believed of a record: the table of `weldroute.snapshots`, row by row, and over random ages and clocks."""

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

ME = Owner("kigali", "intake-a", 5)
NOW = ClockReading(1_000_000.0, "boot-1", 500.0)
LIMITS = AgeLimits(list_for=120.0, learned_for=15.0)
NONE = KnownVersions()


def made(kind: str = "list", ago: float = 1.0, **changes: Any) -> Record:
    at = ClockReading(NOW.unix - ago, NOW.boot, NOW.since_boot - ago)
    return replace(Record(kind, 3, ME, at, {"seq": 41, "version": 2}), **changes)


def test_the_table_row_by_row() -> None:
    other = replace(made(), owner=Owner("kigali", "intake-b", 5))
    later = replace(made(), written_at=ClockReading(NOW.unix + 50.0, "boot-0", 9.0))
    rows: list[tuple[Record | None, KnownVersions, Trust]] = [
        (None, NONE, Trust.NOTHING),
        (made(format_version=FORMAT_VERSION + 1), NONE, Trust.NEWER),
        (other, NONE, Trust.FOREIGN),
        (replace(made(), owner=Owner("huye", "intake-a", 5)), NONE, Trust.FOREIGN),
        (replace(made(), owner=replace(ME, epoch=6)), NONE, Trust.AHEAD),
        (later, NONE, Trust.UNDATED),
        (made(ago=121.0), NONE, Trust.OLD),
        (made(), KnownVersions(list_seq=42), Trust.SUPERSEDED),
        (made("standing"), KnownVersions(standing=3), Trust.SUPERSEDED),
        (made("standing"), KnownVersions(list_seq=99, standing=2), Trust.FRESH),
        (made(ago=16.0), KnownVersions(list_seq=41), Trust.AGED),
        (made(), KnownVersions(list_seq=41), Trust.FRESH),
    ]
    for record, known, wanted in rows:
        verdict, why = assess(record, ME, NOW, LIMITS, known)
        assert (verdict, bool(why)) == (wanted, True), record
    assert {wanted for *_, wanted in rows} == set(Trust)


def test_a_clock_that_was_set_changes_no_age_within_one_boot() -> None:
    record = made(ago=10.0)
    for step in (-3600.0, 3600.0):
        assert age(record, replace(NOW, unix=NOW.unix + step)) == 10.0
        assert assess(record, ME, replace(NOW, unix=NOW.unix + step), LIMITS, NONE)[0] is Trust.FRESH


def test_after_a_boot_the_clock_that_can_be_set_has_to_do() -> None:
    record = made(ago=10.0)
    booted = ClockReading(NOW.unix, "boot-2", 3.0)
    assert age(record, booted) == 10.0
    assert assess(record, ME, replace(booted, unix=NOW.unix - 60.0), LIMITS, NONE)[0] is Trust.UNDATED


def test_orders_are_kept_whatever_their_age() -> None:
    for verdict in (Trust.AHEAD, Trust.UNDATED, Trust.OLD, Trust.SUPERSEDED, Trust.AGED, Trust.FRESH):
        assert "standing" in USABLE_PARTS[verdict]
    for verdict in (Trust.NOTHING, Trust.NEWER, Trust.FOREIGN):
        assert not USABLE_PARTS[verdict]


@given(st.floats(0.0, 1e6), st.floats(0.0, 1e6), st.integers(0, 99), st.booleans())
def test_nothing_that_grows_older_is_believed_more(first: float, more: float, seq: int, booted: bool) -> None:
    now = replace(NOW, boot="boot-2", since_boot=1.0) if booted else NOW
    known = KnownVersions(list_seq=seq)
    young, old = made(ago=first), made(ago=first + more)
    before, after = (USABLE_PARTS[assess(record, ME, now, LIMITS, known)[0]] for record in (young, old))
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
def test_nothing_that_is_read_raises_anything_but_damaged(value: Any) -> None:
    try:
        record = read_record(value)
    except InvalidRecord as fault:
        assert str(fault)
    else:
        assess(record, ME, NOW, LIMITS, NONE)


def test_a_record_comes_back_as_it_was_written() -> None:
    record = made()
    assert read_record(orjson.loads(orjson.dumps(record.to_dict()))) == record


def test_of_two_copies_the_newer_form_and_then_the_higher_serial_counts() -> None:
    first, second, future = made(serial=3), made(serial=4), made(serial=1, format_version=FORMAT_VERSION + 1)
    assert newest_copy([first, second]) == newest_copy([second, None, first]) == second
    assert newest_copy([second, future]) == future
    assert newest_copy([None, None]) is None


@pytest.mark.parametrize("values", [{"list_for": -1.0}, {"learned_for": float("nan")}, {"learned_for": 999.0}])
def test_limits_that_make_no_sense(values: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="_for"):
        AgeLimits(**values).check()
