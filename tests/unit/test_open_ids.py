"""Tests the ids of open requests that the processes of one proxy share."""

from __future__ import annotations

from weldroute.handover import OpenRequestIds

ROWS = 3


def new_table() -> tuple[list[int], list[bool]]:
    return [0] * (ROWS * OpenRequestIds.ROW_WIDTH), [True] * ROWS


def test_id_is_open_elsewhere_until_closed_but_not_for_its_own_process() -> None:
    values, alive = new_table()
    first, second = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    slot = first.open(b"r1")
    assert (
        second.is_open_elsewhere(b"r1") and not second.is_open_elsewhere(b"r2") and not first.is_open_elsewhere(b"r1")
    )
    first.close(slot)
    assert not second.is_open_elsewhere(b"r1")


def test_ids_of_a_dead_process_are_free() -> None:
    """Callers of a dead process may retry at once: nothing works on their requests any more."""
    values, alive = new_table()
    first, second = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    first.open(b"r1")
    alive[0] = False
    assert not second.is_open_elsewhere(b"r1")


def test_process_that_takes_over_a_row_starts_with_no_open_ids() -> None:
    values, alive = new_table()
    second = OpenRequestIds(values, 1, alive.__getitem__)
    first = OpenRequestIds(values, 0, alive.__getitem__)
    for i in range(40):
        first.open(b"%d" % i)
    OpenRequestIds(values, 0, alive.__getitem__)
    assert not any(second.is_open_elsewhere(b"%d" % i) for i in range(40)) and not any(
        values[: OpenRequestIds.ROW_WIDTH]
    )


def test_slots_are_reused_and_bounded() -> None:
    values, alive = new_table()
    first, second = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    for i in range(5000):
        first.close(first.open(b"%d" % i))
    assert values[0] == 1  # slots that the other processes have to search
    slots = [first.open(b"%d" % i) for i in range(OpenRequestIds.SLOTS + 5)]
    assert slots[-5:] == [0] * 5 and len(set(slots[:-5])) == OpenRequestIds.SLOTS
    first.close(0)  # a request that got no slot
    assert second.is_open_elsewhere(b"7") and not second.is_open_elsewhere(b"%d" % (OpenRequestIds.SLOTS + 1))
    first.close(slots[7])
    assert not second.is_open_elsewhere(b"7") and first.open(b"late") and second.is_open_elsewhere(b"late")


def test_invalid_row_is_ignored() -> None:
    values, alive = new_table()
    values[OpenRequestIds.ROW_WIDTH] = OpenRequestIds.SLOTS + 1
    values[OpenRequestIds.ROW_WIDTH + 1] = OpenRequestIds.digest(b"r1")
    assert not OpenRequestIds(values, 0, alive.__getitem__).is_open_elsewhere(b"r1")
