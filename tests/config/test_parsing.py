import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.config.document import (
    ConfigDocument,
    Department,
    Partition,
    Service,
    Team,
)
from radishlift.config.parsing import parse_document, render_document
from radishlift.config.text import MAX_DOCUMENT_BYTES, MAX_ERRORS_COUNT
from radishlift.core.ids import ConfigVersion
from tests.config.documents import TEXT, make_document

ONE = ConfigVersion(1)
NAMES = st.from_regex('[a-z][a-z0-9_-]{0,8}', fullmatch=True)


@st.composite
def documents(draw):
    departments = draw(
        st.dictionaries(
            NAMES,
            st.builds(
                Department,
                share_weight=st.floats(0.001, 1000),
                max_wait_ms=st.integers(1000, 86_400_000),
            ),
            min_size=1,
            max_size=4,
        )
    )
    department = st.sampled_from(sorted(departments))
    racks = draw(st.lists(NAMES, unique=True, min_size=1, max_size=6))
    return ConfigDocument(
        ONE,
        departments,
        draw(st.dictionaries(NAMES, st.builds(Team, department), max_size=4)),
        draw(
            st.dictionaries(
                NAMES,
                st.builds(
                    Service,
                    department,
                    retry_budget_ratio=st.floats(0, 1),
                    urgent_classes=st.lists(NAMES, unique=True, max_size=3).map(
                        tuple
                    ),
                ),
                max_size=3,
            )
        ),
        {f'p{rack}': Partition((rack,)) for rack in racks},
    )


@given(documents())
@settings(derandomize=True, deadline=None, max_examples=60)
def test_a_rendered_document_parses_to_itself(document):
    """Guards against keys that are lost or changed by rendering."""
    text = render_document(document)
    again = parse_document(text, ONE)
    assert again == document
    assert render_document(again) == text


def test_defaults_and_comments():
    document = make_document()
    assert document.services['rugdesk'].slots_count == 8
    assert document.services['rugdesk'].urgent_classes == ('clinic', 'dispatch')
    assert document.partition_of_rack('pinetown/r2') == 'pinetown-1'


WRONG = """
[department:depot]
policy = biggest_first
share_weight = nan
colour = red
[department:depot]
[department:kits]
[team:floor]
department = attic
cpu_milli = -1
cpu_milli = 5
[team:yard]
department = attic
[team:hall]
department = depot
[service:desk]
department = kits
default_deadline_ms = 40000
urgent_classes = a, a
[service:kits]
department = kits
[partition:p.1]
racks = r1
[partition:p2]
racks = r1, r1
[partition:p3]
racks = r1
[partition:p4]
racks = <b>
[objective:wait]
subject = nobody
target_ratio = 1
[objective:late]
subject = nobody
target_ratio = 0.9
[objective:both]
subject = kits
target_ratio = 0.9
[colour:red]
[DEFAULT]
"""
WRONG_PLACES = [
    ('department:depot', 'share_weight', 'nan', 'a number from 0.001'),
    ('department:depot', 'colour', 'red', 'one of the keys policy'),
    ('team:floor', 'cpu_milli', '-1', 'a whole number from 0'),
    ('team:yard', 'department', 'attic', 'a department: kits'),
    ('service:desk', 'default_deadline_ms', '40000', 'at most max_deadline'),
    ('service:desk', 'urgent_classes', 'a', 'each class only once'),
    ('partition:p.1', '', 'p.1', 'a name of 1 to 63'),
    ('partition:p2', 'racks', 'r1', 'each rack only once'),
    ('partition:p3', 'racks', 'r1', 'each rack in one partition; it is in p2'),
    ('partition:p4', 'racks', '<b>', 'racks of 1 to 127'),
    ('objective:wait', 'target_ratio', '1', 'a number from 0.5'),
    ('objective:late', 'subject', 'nobody', 'the name of a department'),
    ('objective:both', 'subject', 'kits', 'a name that only one'),
    ('colour:red', '', 'colour:red', 'one of [department:<name>]'),
    ('DEFAULT', '', 'DEFAULT', 'one of [department:<name>]'),
]


def has_error(errors, section, key, shown, allowed):
    return any(
        (error.section, error.key, error.given) == (section, key, shown)
        and error.allowed.startswith(allowed)
        for error in errors
    )


def test_every_error_is_reported_at_once():
    """Guards against reporting only the first error of a text."""
    without_duplicates = WRONG.replace('cpu_milli = 5\n', '').replace(
        'colour = red\n[department:depot]\n', 'colour = red\n'
    )
    errors = parse_document(without_duplicates, ONE)
    for place in WRONG_PLACES:
        assert has_error(errors, *place), place
    assert not has_error(errors, 'team:hall', 'department', 'depot', '')


def test_duplicates_and_broken_lines_are_errors():
    """Guards against a second value that silently replaces the first."""
    errors = parse_document(f'x = 1\n{WRONG}\nnonsense\n[open\n', ONE)
    texts = [str(error) for error in errors]
    assert len(errors) == 5
    assert 'line 1: x = 1' in texts[0]
    assert 'each section only once' in texts[1]
    assert "[team:floor] cpu_milli = '5': allowed is each key" in texts[2]
    assert 'nonsense' in texts[3]
    assert '[open' in texts[4]


def test_unknown_policy_is_an_error():
    text = '[department:d]\npolicy = mine\n'
    assert parse_document(text, ONE)[0].key == 'policy'
    assert parse_document(text, ONE, ('mine',)).departments['d']


@pytest.mark.parametrize(
    'text',
    [
        '[department:a\x00b]',
        '[department:<script>]',
        '[department:../x]',
        f'[department:{"x" * 64}]',
        '[department:]',
        '[department:\u202eabc]',
        '[team:x]\ndepartment = \x1b[2J',
        f'# {"x" * MAX_DOCUMENT_BYTES}',
        f'[partition:p]\nracks = {"r," * 100_000}',
        '[department:\ud800]',
    ],
)
def test_hostile_texts_are_refused(text):
    """Guards against texts that corrupt logs, keys or pages, or fill memory."""
    errors = parse_document(text, ONE)
    assert isinstance(errors, tuple)
    assert all(len(str(error)) < 400 for error in errors)


def test_the_number_of_errors_is_bounded():
    """Guards against a response that is larger than the document."""
    errors = parse_document('x\n' * 50_000, ONE)
    assert len(errors) == MAX_ERRORS_COUNT + 1


def test_windows_line_ends_are_accepted():
    assert make_document(TEXT.replace('\n', '\r\n')) == make_document()
