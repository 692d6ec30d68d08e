"""Tests of decoding the rows of the operator and the targets."""

import json

import pytest

from radishlift.access.keys import hash_key
from radishlift.core.errors import Failure
from radishlift.platform.documents import decode_config, decode_target
from radishlift.platform.main import newest_config
from radishlift.services.api import Row
from radishlift.steps.spec import AdviceTerms, Amounts
from radishlift.steps.targets import TargetEntry, TargetState
from tests.only import only
from tests.platform.garbage import replace_fields

ROUTE = {
    'name': 'r-1',
    'host': 'h.example',
    'pathPrefix': '/q/',
    'type': 'unsafe',
    'timeoutMs': 3000,
    'targetDurationMs': 1000,
    'priority': 1,
    'service': 's',
    'attempts': 4,
    'stretch': 2.2,
    'advice': {'decideMs': 50.5, 'periodMs': 0.5, 'validMs': 2000},
}
CONFIG = {
    'version': 7,
    'routes': [ROUTE],
    'services': [],
    'limits': {'maxBodyBytes': 1000},
}
ENTRY = {
    'service': 's',
    'address': '10.0.0.9:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 8,
    'state': 'draining',
    'remainingMs': 900,
    'born': 1_700_000_000_123,
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
}


def config_row(version, row_version):
    return Row('config', 'config', row_version, {**CONFIG, 'version': version})


def test_queue_terms_of_a_route():
    queue = only(decode_config(CONFIG).queues)
    assert queue.terms.objective_ms == 1000
    assert queue.terms.max_attempts == 4
    assert queue.terms.advice == AdviceTerms(50.5, 0.5, 2000)


def tenant(name='a', **fields):
    return {'name': name, 'apiKeys': ['k-' + name], 'weight': 2, **fields}


def test_workspaces_of_a_configuration():
    limit = {'cpu': 5000, 'memMb': 100, 'gpu': 0}
    config = decode_config(
        {**CONFIG, 'tenants': [tenant(maxCount=limit, other=1), tenant('b')]}
    )
    terms = config.workspace_terms()['a']
    assert (terms.weight, terms.limit) == (2, Amounts(5000, 100, 0))
    assert config.find_workspace(hash_key('k-b')) == 'b'
    assert config.find_workspace(hash_key('k-c')) is None
    # Its accepted jobs run on, although it can't submit any.
    closed = decode_config({**CONFIG, 'tenants': [tenant(apiKeys=[])]})
    assert closed.find_workspace(hash_key('k-a')) is None
    assert 'a' in closed.workspace_terms()


@pytest.mark.parametrize(
    'tenants',
    [
        [tenant(), tenant('b', apiKeys=['k-a'])],
        [tenant(), tenant()],
        [tenant(weight=0)],
        [tenant(weight=-1)],
        [tenant(maxCount={'cpu': -1})],
        [tenant(apiKeys=['k-a' * 2800])],
        [tenant(apiKeys=[''])],
        [tenant(apiKeys='k-a')],
        [tenant(name='')],
        {'a': 1},
    ],
)
def test_invalid_workspaces_are_refused_without_their_keys(tenants):
    """Guards against keys in the log, which has the reason of a refusal."""
    refused = decode_config({**CONFIG, 'tenants': tenants})
    assert isinstance(refused, Failure)
    assert 'k-a' not in refused.reason


def test_no_key_is_shown_by_a_configuration():
    config = decode_config({**CONFIG, 'tenants': [tenant()]})
    assert 'k-a' not in repr(config)
    assert str(hash_key('k-a')) not in repr(config.workspaces)


@pytest.mark.parametrize('missing', ['version', 'routes', 'limits'])
def test_incomplete_configuration_is_refused(missing):
    plain = {name: part for name, part in CONFIG.items() if name != missing}
    assert isinstance(decode_config(plain), Failure)


def test_newest_of_several_configurations_is_used():
    rows = (config_row(7, 10), config_row(9, 30), config_row(8, 20))
    assert newest_config(rows).version == 9


def test_maintenance_waves_are_not_configurations():
    wave = Row('config', 'wave/1', 50, {'wave': 1})
    assert newest_config((wave,)) is None
    assert newest_config((config_row(7, 10), wave)).version == 7


def test_entry_of_a_target():
    entry = decode_target('i-1', ENTRY)
    assert entry.state is TargetState.draining
    assert entry.capacity == Amounts(16000, 32768, 0)
    assert entry.remaining_ms == 900
    assert entry.labels == {'a', 'r1-3'}


@pytest.mark.parametrize(
    'change',
    [
        {'service': 7},
        {'address': None},
        {'state': 'strange'},
        {'capacity': [1]},
        {'capacity': {'cpu': '9'}},
        {'capacity': {'cpu': True}},
        {'labels': [3]},
        {'born': 'x'},
    ],
)
def test_malformed_entry_is_refused(change):
    assert isinstance(decode_target('i-1', {**ENTRY, **change}), Failure)


def test_row_without_a_value_is_refused():
    assert isinstance(decode_target('i-1', None), Failure)


def test_no_field_of_an_entry_ends_its_reader():
    """Guards against an entry of another writer that ends every leader."""
    texts = list(replace_fields(ENTRY))
    entries = [decode_target('i-1', json.loads(text)) for text in texts]
    readable = [entry for entry in entries if isinstance(entry, TargetEntry)]
    for entry in readable:
        assert 0 <= entry.capacity.cpu_millicores < 2**54
        assert ''.join((entry.service, *entry.labels)).encode()
    assert len(readable) < len(entries) / 4


@pytest.mark.parametrize(
    'address', ['', 'host', 'host:', 'h/x:80', 'a b:80', 'h:1 HTTP/1.1', '\n:1']
)
def test_entry_without_a_usable_address_is_refused(address):
    assert isinstance(
        decode_target('i-1', {**ENTRY, 'address': address}), Failure
    )


def test_no_field_of_a_configuration_ends_its_reader():
    for text in replace_fields(CONFIG):
        config = decode_config(json.loads(text))
        if not isinstance(config, Failure):
            config.find('h.example', '/q/')
