from dataclasses import is_dataclass
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from radishlift.core.codec import dump_plain, read_plain
from radishlift.schema.subjects import all_subjects

SUBJECTS = {
    f'{subject.section} {subject.name}': subject for subject in all_subjects()
}
ADDED = {'added_by_next': [1]}
SCALARS = {
    Any: st.integers(),
    NoneType: st.none(),
    float: st.floats(allow_nan=False),
}


def values_of(hint):
    """Returns a strategy for values of a type of the schema."""
    hint = getattr(hint, '__supertype__', hint)
    if hint in SCALARS:
        return SCALARS[hint]
    if is_dataclass(hint):
        hints = get_type_hints(hint)
        return st.builds(
            hint, **{name: values_of(hints[name]) for name in hints}
        )
    origin, parts = get_origin(hint), get_args(hint)
    if origin in {Union, UnionType}:
        return st.one_of(*map(values_of, parts))
    if origin is dict:
        return st.dictionaries(*map(values_of, parts), max_size=2)
    if origin in {list, tuple}:
        return sequences_of(origin, parts)
    return st.from_type(hint)


def sequences_of(origin, parts):
    if origin is tuple and parts[-1] is not Ellipsis:
        return st.tuples(*map(values_of, parts))
    return st.lists(values_of(parts[0]), max_size=2).map(origin)


@pytest.mark.parametrize('name', sorted(SUBJECTS))
@settings(
    derandomize=True,
    max_examples=10,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
@given(data=st.data())
def test_each_subject_is_read_with_a_field_more(name, data):
    """Guards against a message, record or row that is read strictly."""
    typed = SUBJECTS[name].typed
    written = data.draw(values_of(typed))
    assert read_plain(dump_plain(written) | ADDED, typed) == written
