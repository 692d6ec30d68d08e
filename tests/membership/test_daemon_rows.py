from dataclasses import replace

import pytest

from radishlift.core.ids import DaemonId
from radishlift.membership.daemon_rows import (
    DAEMONS_TABLE,
    dump_daemon_row,
    member_of,
    parse_daemon_row,
)
from radishlift.platform.api import Row
from tests.membership.fleet import daemon_row, member


@pytest.mark.parametrize('region', ['', 'south'])
def test_region_of_a_daemon_is_read_by_others(region):
    """Guards against a region in the settings that nobody sees."""
    written = replace(daemon_row(member('d1')), region=region)
    plain = dump_daemon_row(written)
    assert ('region' in plain) is bool(region)
    read = parse_daemon_row(Row(DAEMONS_TABLE, 'd1', 1, plain))
    assert read == written
    assert member_of(DaemonId('d1'), read).region == region
