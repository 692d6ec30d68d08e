"""Tests of resource amounts."""

import pytest

from radishlift.steps.spec import Amounts


@pytest.mark.parametrize(
    ('amounts', 'expected_count'),
    [
        (Amounts(1000, 100), 4),
        (Amounts(1000, 3000), 2),
        (Amounts(1000, 100, 1), 1),
        (Amounts(5000, 100), 0),
        (Amounts(0, 2000), 4),
    ],
)
def test_scarcest_resource_limits_how_often_amounts_fit(
    amounts, expected_count
):
    capacity = Amounts(4000, 8000, 1)
    assert amounts.count_fitting(capacity) == expected_count
    total = Amounts()
    for _ in range(expected_count):
        total = total.plus(amounts)
    assert total.fits_in(capacity)
    assert not total.plus(amounts).fits_in(capacity)
