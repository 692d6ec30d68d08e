"""Tests of reading JSON that other writers may have filled with anything."""

import json

import pytest

from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_integer,
    read_name,
    read_number,
    read_object,
    read_text,
)
from tests.platform.garbage import LONE_SURROGATE, UNREADABLE


@pytest.mark.parametrize('content', UNREADABLE)
def test_unreadable_bytes_raise_no_other_error(content):
    with pytest.raises((TypeError, ValueError)):
        read_object(content)


def test_object_is_read():
    plain = {'a': [{'b': '\U0001f600', 'c': 1.5}]}
    assert read_object(json.dumps(plain).encode()) == plain


@pytest.mark.parametrize(
    ('read', 'field'),
    [
        (read_text, 5),
        (read_text, LONE_SURROGATE),
        (read_name, ''),
        (read_integer, True),
        (read_integer, 1.0),
        (read_integer, 10**400),
        (read_count, -1),
        (read_number, float('inf')),
        (read_number, 1e300),
        (read_number, '1'),
    ],
)
def test_field_of_another_type_or_size_is_refused(read, field):
    with pytest.raises(DECODE_ERRORS):
        read(field)


def test_logged_reason_is_bounded():
    assert len(describe(ValueError('x' * 60_000))) <= 200
