"""Tests of amounts of room."""

import pytest

from radishlift.steps.spec import Amounts


@pytest.mark.parametrize(
    ('amounts', 'times'),
    [
        (Amounts(1000, 100), 4),
        (Amounts(1000, 3000), 2),
        (Amounts(1000, 100, 1), 1),
        (Amounts(5000, 100), 0),
        (Amounts(0, 2000), 4),
    ],
)
def test_amounts_fit_as_often_as_the_scarcest_kind_allows(amounts, times):
    room = Amounts(4000, 8000, 1)
    assert amounts.times_in(room) == times
    total = Amounts()
    for _ in range(times):
        total = total.plus(amounts)
    assert total.fits_in(room)
    assert not total.plus(amounts).fits_in(room)
