"""Tests of the settings file that the platform provides."""

import pytest

from radishlift.access.settings import AccessSettings
from radishlift.core.errors import Failure
from radishlift.platform.settings import read_host_settings
from tests.platform.deployment import SETTINGS

FIELDS = {
    'name': 'd1',
    'port': 7000,
    'last': 7010,
    'front': 7100,
    'ready': 7101,
    'advice': '127.0.0.1:1',
    'store': '127.0.0.1:2',
}


@pytest.fixture
def path(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS.format(**FIELDS))
    return path


def test_fields_are_read_and_unknown_ones_ignored(path):
    settings = read_host_settings(path)
    assert settings.daemon_id == 'd1'
    assert settings.peer_address == '127.0.0.1:7000'
    assert settings.metrics_address == '127.0.0.1:7001'
    assert (settings.max_lease_ms, settings.grace_ms) == (6000, 3000)
    assert settings.target_heartbeat_ms == 1500


def test_bounds_of_keys_apply_only_where_a_deployment_sets_them(path):
    assert read_host_settings(path).access == AccessSettings()
    bounds = '[bounds]\nrevokeMs = 5000\nconfigMs = 3000\n'
    text = path.read_text().replace('[bounds]\n', bounds)
    path.write_text(text)
    assert read_host_settings(path).access == AccessSettings(None, 3000)
    path.write_text(text.replace('[bounds]', '[bounds]\nstrictRevoke = true'))
    assert read_host_settings(path).access == AccessSettings(5000, 3000)


@pytest.mark.parametrize(
    ('link_mbps', 'rank'), [('10.0', 10), ('100.0', 100), ('900.0', 100)]
)
def test_leader_rank_follows_link_and_processor(path, link_mbps, rank):
    text = path.read_text().replace('100.0', link_mbps)
    path.write_text(text)
    assert read_host_settings(path).leader_rank == rank


@pytest.mark.parametrize(
    ('link_mbps', 'batch_bytes'), [('5.0', 93_750), ('1000.0', 500_000)]
)
def test_transactions_take_a_part_of_a_heartbeat_interval(
    path, link_mbps, batch_bytes
):
    """Guards against heartbeats that wait for long transactions."""
    path.write_text(path.read_text().replace('100.0', link_mbps))
    settings = read_host_settings(path)
    assert settings.limit_batch_bytes(500_000) == batch_bytes


@pytest.mark.parametrize('missing', ['node', 'portRange', 'linkMbps', 'front'])
def test_missing_field_is_named(path, missing):
    lines = path.read_text().splitlines()
    kept = [line for line in lines if not line.startswith(missing)]
    path.write_text('\n'.join(kept))
    failure = read_host_settings(path)
    assert isinstance(failure, Failure)
    assert missing in failure.reason


def test_missing_file_is_refused(tmp_path):
    assert isinstance(read_host_settings(tmp_path / 'none'), Failure)
