"""The ids of open requests as the processes of one proxy see them."""

from __future__ import annotations

from weldroute.handover import OpenIds

ROWS = 3


def table() -> tuple[list[int], list[bool]]:
    return [0] * (ROWS * OpenIds.WIDTH), [True] * ROWS


def test_an_id_is_open_elsewhere_until_it_is_closed_and_never_at_its_own_process() -> None:
    values, alive = table()
    one, other = (OpenIds(values, row, alive.__getitem__) for row in (0, 1))
    place = one.open(b"r1")
    assert other.elsewhere(b"r1") and not other.elsewhere(b"r2") and not one.elsewhere(b"r1")
    one.close(place)
    assert not other.elsewhere(b"r1")


def test_what_a_dead_process_had_open_is_free() -> None:
    """Its callers may ask again at once: nobody is at work on it."""
    values, alive = table()
    one, other = (OpenIds(values, row, alive.__getitem__) for row in (0, 1))
    one.open(b"r1")
    alive[0] = False
    assert not other.elsewhere(b"r1")


def test_a_process_that_takes_a_row_over_begins_with_nothing_open() -> None:
    values, alive = table()
    other = OpenIds(values, 1, alive.__getitem__)
    first = OpenIds(values, 0, alive.__getitem__)
    for i in range(40):
        first.open(b"%d" % i)
    OpenIds(values, 0, alive.__getitem__)
    assert not any(other.elsewhere(b"%d" % i) for i in range(40)) and not any(values[: OpenIds.WIDTH])


def test_places_are_used_again_and_the_store_is_bounded() -> None:
    values, alive = table()
    one, other = (OpenIds(values, row, alive.__getitem__) for row in (0, 1))
    for i in range(5000):
        one.close(one.open(b"%d" % i))
    assert values[0] == 1  # what the others have to look through
    places = [one.open(b"%d" % i) for i in range(OpenIds.PLACES + 5)]
    assert places[-5:] == [0] * 5 and len(set(places[:-5])) == OpenIds.PLACES
    one.close(0)  # one that had no place
    assert other.elsewhere(b"7") and not other.elsewhere(b"%d" % (OpenIds.PLACES + 1))
    one.close(places[7])
    assert not other.elsewhere(b"7") and one.open(b"late") and other.elsewhere(b"late")


def test_a_row_that_makes_no_sense_is_left_aside() -> None:
    values, alive = table()
    values[OpenIds.WIDTH] = OpenIds.PLACES + 1
    values[OpenIds.WIDTH + 1] = OpenIds.digest(b"r1")
    assert not OpenIds(values, 0, alive.__getitem__).elsewhere(b"r1")
