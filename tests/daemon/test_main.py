import sys

import pytest
import trustme

from radishlift.daemon.main import EXIT_SETTINGS, main
from tests.wire.certificates import write_files

SETTINGS = """\
[daemon]
daemon_id = d1
data_centre = pinetown
listen = 127.0.0.1:7001
peer_listen = 127.0.0.1:7101
[platform]
table_address = 127.0.0.1:7000
object_address = 127.0.0.1:7000
host_list_address = 127.0.0.1:7000
[tls]
certificate = {certificate}
private_key = {private_key}
authority = {authority}
"""


@pytest.mark.parametrize('is_damaged', [False, True])
def test_check_reads_the_certificate_files(
    tmp_path, monkeypatch, capsys, is_damaged
):
    """Guards against damaged files that are noticed only at a restart."""
    files = write_files(tmp_path, trustme.CA(), 'd1')
    if is_damaged:
        (tmp_path / 'key.pem').write_bytes(b'half')
    path = tmp_path / 'd1.ini'
    text = SETTINGS.format(
        certificate=files.certificate,
        private_key=files.private_key,
        authority=files.authority,
    )
    path.write_text(text, encoding='utf-8')
    arguments = ['radishliftd', '--check', '--settings', str(path)]
    monkeypatch.setattr(sys, 'argv', arguments)
    expected = EXIT_SETTINGS if is_damaged else 0
    assert main() == expected
    assert ('[tls]' in capsys.readouterr().err) is is_damaged
