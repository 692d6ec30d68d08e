import pytest

from radishlift.api.events import parse_events_query
from radishlift.core.errors import ErrorKind, Failure
from radishlift.report.event_history import EventsFetch


@pytest.mark.parametrize(
    ('name', 'given'),
    [
        ('max_age_ms', '0'),
        ('max_age_ms', '-1'),
        ('max_age_ms', '9' * 5_000),
        ('limit', '501'),
        ('limit', '1.5'),
        ('level', 'DEBUG'),
        ('level', 'warning'),
        ('event', 'no_such_event'),
    ],
)
def test_invalid_query_names_the_allowed_values(name, given):
    """Guards against an invalid query that returns an empty list."""
    refused = parse_events_query({name: given})
    assert isinstance(refused, Failure)
    assert refused.kind is ErrorKind.invalid_input
    assert refused.reason.startswith(f'{name}=')
    assert 'allowed is' in refused.reason


def test_a_query_has_defaults():
    assert parse_events_query({}) == EventsFetch(3_600_000, limit_count=100)
