"""Tests of decoding a whole configuration document for a review."""

import json

import pytest

from radishlift.cell.config_review import review
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.config_document import decode_entries
from radishlift.platform.documents import decode_config
from tests.platform.garbage import LONE_SURROGATE, UNREADABLE
from tests.platform.test_documents import CONFIG, ROUTE, tenant


def decode(**fields):
    return decode_entries(json.dumps({**CONFIG, **fields}).encode())


def test_entries_are_those_that_a_daemon_decodes():
    services = [{'name': 's', 'maxConns': 64}]
    found = decode(tenants=[tenant()], services=services)
    in_daemon = decode_config({**CONFIG, 'tenants': [tenant()]})
    assert found.queues == in_daemon.queues
    assert found.workspaces == in_daemon.workspaces
    assert found.services == {'s'}
    assert decode(services={'s': {'maxConns': 64}}).services == {'s'}
    assert not review(found)


def test_every_invalid_entry_is_found_with_its_path():
    """Guards against errors that appear one after another."""
    found = decode(
        version='7',
        limits={},
        routes=[{**ROUTE, 'host': 5}, ROUTE, {}],
        tenants=[tenant(weight=0), tenant(maxCount={'cpu': -1})],
    )
    assert [finding.place for finding in found.invalid] == [
        'version',
        'limits',
        'routes[0]',
        'routes[2]',
        'tenants[0]',
        'tenants[1]',
    ]
    assert len(found.queues) == 1


def test_invalid_key_is_not_in_the_finding():
    """Guards against keys on the screen and in saved output."""
    keys = ['secret', f'secret{LONE_SURROGATE}', 'secret' * 1000]
    for key in keys[1:]:
        found = decode(tenants=[tenant(apiKeys=[keys[0], key])])
        assert [finding.place for finding in found.invalid] == ['tenants[0]']
        assert 'secret' not in str(review(found))


@pytest.mark.parametrize('content', [b'', b'\0' * 9, b'[]', *UNREADABLE])
def test_file_that_is_no_document_is_one_failure(content):
    found = decode_entries(content)
    assert isinstance(found, Failure)
    assert found.kind is ErrorKind.invalid_input
    assert '\n' not in found.reason
