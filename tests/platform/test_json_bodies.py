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


def test_reason_does_not_contain_the_field():
    """Guards against a caller's key in the log."""
    with pytest.raises(ValueError, match='Unicode') as in_text:
        read_text(f'secret{LONE_SURROGATE}')
    with pytest.raises(ValueError, match='UTF-8') as in_bytes:
        read_object(b'{"key": "secret\xff"}')
    for raised in (in_text, in_bytes):
        assert 'secret' not in describe(raised.value)


def test_logged_reason_is_bounded():
    assert len(describe(ValueError('x' * 60_000))) <= 200
