from dataclasses import replace

import pytest

from radishlift.core.ids import DaemonId
from radishlift.membership.daemon_rows import (
    DAEMONS_TABLE,
    dump_daemon_row,
    member_of,
    parse_daemon_row,
)
from radishlift.services.api import Row
from tests.membership.fleet import daemon_row, member


def test_later_fields_are_left_out_while_they_have_defaults():
    """Guards against a row that the previous version can't read."""
    written = replace(daemon_row(member('d1')), region='south')
    plain = dump_daemon_row(written)
    assert not plain.keys() & {'format_level', 'declined'}
    changed = replace(written, format_level=2, declined=('p1',))
    plain = {**dump_daemon_row(changed), 'added': 1}
    read = parse_daemon_row(Row(DAEMONS_TABLE, 'd1', 1, plain))
    assert read == changed
    assert member_of(DaemonId('d1'), read).format_level == 2


@pytest.mark.parametrize('region', ['', 'south'])
def test_region_of_a_daemon_is_read_by_others(region):
    """Guards against a configured region that other daemons don't get."""
    written = replace(daemon_row(member('d1')), region=region)
    plain = dump_daemon_row(written)
    assert ('region' in plain) is bool(region)
    read = parse_daemon_row(Row(DAEMONS_TABLE, 'd1', 1, plain))
    assert read == written
    assert member_of(DaemonId('d1'), read).region == region
