from radishlift.core.errors import ERROR_ANSWERS, ErrorKind
from radishlift.core.logs import format_field


def test_every_kind_has_an_answer():
    """Guards against a new error kind without an answer."""
    assert set(ERROR_ANSWERS) == set(ErrorKind)


def test_log_field_cannot_start_a_line():
    """Guards against log lines injected through a caller's text."""
    assert format_field('name', 'a\nevent=x') == r'name="a\nevent=x"'
