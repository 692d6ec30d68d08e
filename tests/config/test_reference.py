from pathlib import Path

from radishlift.config.reference import reference_text

REFERENCE_PATH = Path(__file__).parents[2] / 'docs' / 'configuration.md'


def test_the_committed_reference_is_up_to_date():
    """Guards against keys, defaults or ranges missing from the page."""
    assert REFERENCE_PATH.read_text(encoding='utf-8') == reference_text()
