from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.codec import dump_plain, parse_plain, read_plain
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.kinds import KindRegistry, UnknownFormat


@dataclass(frozen=True, slots=True)
class Inner:
    number: int
    note: str = 'none'


@dataclass(frozen=True, slots=True)
class Outer:
    inner: Inner
    listed: tuple[Inner, ...] = ()
    named: dict[str, Inner] = field(default_factory=dict)


INNERS = st.builds(Inner, st.integers(), st.text())
OUTERS = st.builds(
    Outer,
    INNERS,
    st.lists(INNERS, max_size=3).map(tuple),
    st.dictionaries(st.text(), INNERS, max_size=3),
)
KNOWN_FIELDS = {'inner', 'listed', 'named', 'number', 'note'}
ADDED = st.dictionaries(
    st.text(min_size=1).filter(lambda name: name not in KNOWN_FIELDS),
    st.none() | st.integers() | st.lists(st.text()),
    min_size=1,
    max_size=3,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(OUTERS, ADDED)
def test_fields_of_a_newer_version_are_ignored_at_any_depth(outer, added):
    """Guards against a daemon that a newer one stops by a field."""
    plain = dump_plain(outer)
    plain['inner'] |= added
    plain['listed'] = [each | added for each in plain['listed']]
    plain['named'] = {
        name: each | added for name, each in plain['named'].items()
    }
    assert read_plain(plain | added, Outer) == outer
    refused = parse_plain(plain | added, Outer)
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.invalid_input


def test_fields_of_an_older_version_take_defaults():
    """Guards against an older daemon whose data stops this one.

    The older version does not write fields that were added later.
    """
    read = read_plain({'inner': {'number': 1}}, Outer)
    assert read == Outer(Inner(1))


@pytest.mark.parametrize(
    ('plain', 'named'),
    [
        ({'number': '7'}, 'number'),
        ({'number': True}, 'number'),
        ({'note': 'x'}, 'number'),
        ({'number': 1, 'note': None}, 'note'),
    ],
)
def test_wrong_fields_are_refused_with_their_name(plain, named):
    """Guards against tolerant reading that accepts a damaged field."""
    for parse in (read_plain, parse_plain):
        refused = parse(plain, Inner)
        assert isinstance(refused, Failure)
        assert named in refused.reason


def test_unknown_kind_differs_from_a_damaged_message():
    """Guards against damaged data that is treated as a newer format."""
    registry = KindRegistry('message')
    registry.register('inner', 1)(Inner)
    assert isinstance(registry.decode('newer', {}), UnknownFormat)
    damaged = registry.decode('inner', {})
    assert isinstance(damaged, Failure)
    assert not isinstance(damaged, UnknownFormat)
