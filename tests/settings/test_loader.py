from radishlift.settings.daemon import DaemonSettings
from radishlift.settings.loader import Settings, check_sections, load_settings

VALID_SECTIONS = {
    'daemon': {
        'daemon_id': 'd1',
        'data_centre': 'pinetown',
        'listen': '127.0.0.1:7001',
        'peer_listen': '127.0.0.1:7101',
    },
    'platform': {
        'table_address': '127.0.0.1:7000',
        'object_address': '127.0.0.1:7000',
        'host_list_address': '127.0.0.1:7000',
    },
}


def test_complete_settings_are_accepted():
    settings = check_sections(VALID_SECTIONS)
    assert isinstance(settings, Settings)
    assert settings.get(DaemonSettings).daemon_id == 'd1'


def test_every_error_is_reported_with_what_is_allowed():
    """Guards against a check that stops at the first error."""
    wrong = {
        'daemon': {
            **VALID_SECTIONS['daemon'],
            'drain_timeout_ms': '-1',
            'log_level': 'LOUD',
            'colour': 'red',
        },
        'platform': {'timeout_ms': 'soon'},
        'nonsense': {},
    }
    errors = check_sections(wrong)
    assert isinstance(errors, tuple)
    texts = [str(error) for error in errors]
    for expected in (
        "[daemon] drain_timeout_ms = '-1': allowed is a whole number",
        "[daemon] log_level = 'LOUD': allowed is one of DEBUG",
        "[daemon] colour = 'red': allowed is one of the keys",
        "[platform] timeout_ms = 'soon'",
        "[platform] table_address = ''",
        '[nonsense]',
    ):
        assert any(text.startswith(expected) for text in texts), expected


def test_unreadable_file_is_an_error(tmp_path):
    errors = load_settings(tmp_path / 'absent.ini')
    assert isinstance(errors, tuple)
