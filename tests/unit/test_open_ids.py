"""The ids of open requests as the processes of one proxy see them."""

from __future__ import annotations

from weldroute.handover import OpenRequestIds

ROWS = 3


def table() -> tuple[list[int], list[bool]]:
    return [0] * (ROWS * OpenRequestIds.ROW_WIDTH), [True] * ROWS


def test_an_id_is_open_elsewhere_until_it_is_closed_and_never_at_its_own_process() -> None:
    values, alive = table()
    one, other = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    place = one.open(b"r1")
    assert other.is_open_elsewhere(b"r1") and not other.is_open_elsewhere(b"r2") and not one.is_open_elsewhere(b"r1")
    one.close(place)
    assert not other.is_open_elsewhere(b"r1")


def test_what_a_dead_process_had_open_is_free() -> None:
    """Its callers may ask again at once: nobody is at work on it."""
    values, alive = table()
    one, other = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    one.open(b"r1")
    alive[0] = False
    assert not other.is_open_elsewhere(b"r1")


def test_a_process_that_takes_a_row_over_begins_with_nothing_open() -> None:
    values, alive = table()
    other = OpenRequestIds(values, 1, alive.__getitem__)
    first = OpenRequestIds(values, 0, alive.__getitem__)
    for i in range(40):
        first.open(b"%d" % i)
    OpenRequestIds(values, 0, alive.__getitem__)
    assert not any(other.is_open_elsewhere(b"%d" % i) for i in range(40)) and not any(
        values[: OpenRequestIds.ROW_WIDTH]
    )


def test_places_are_used_again_and_the_store_is_bounded() -> None:
    values, alive = table()
    one, other = (OpenRequestIds(values, row, alive.__getitem__) for row in (0, 1))
    for i in range(5000):
        one.close(one.open(b"%d" % i))
    assert values[0] == 1  # what the others have to look through
    places = [one.open(b"%d" % i) for i in range(OpenRequestIds.SLOTS + 5)]
    assert places[-5:] == [0] * 5 and len(set(places[:-5])) == OpenRequestIds.SLOTS
    one.close(0)  # one that had no place
    assert other.is_open_elsewhere(b"7") and not other.is_open_elsewhere(b"%d" % (OpenRequestIds.SLOTS + 1))
    one.close(places[7])
    assert not other.is_open_elsewhere(b"7") and one.open(b"late") and other.is_open_elsewhere(b"late")


def test_a_row_that_makes_no_sense_is_left_aside() -> None:
    values, alive = table()
    values[OpenRequestIds.ROW_WIDTH] = OpenRequestIds.SLOTS + 1
    values[OpenRequestIds.ROW_WIDTH + 1] = OpenRequestIds.digest(b"r1")
    assert not OpenRequestIds(values, 0, alive.__getitem__).is_open_elsewhere(b"r1")
