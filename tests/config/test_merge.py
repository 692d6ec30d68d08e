from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.config.merge import (
    apply_delta,
    delta_between,
    diff_sections,
    merge_sections,
)

SECTIONS = st.dictionaries(
    st.sampled_from(('team:a', 'team:b', 'service:c', 'partition:d')),
    st.fixed_dictionaries(
        {'x': st.sampled_from('12'), 'y': st.sampled_from('12')}
    ),
)
EXACT = settings(derandomize=True, deadline=None, max_examples=200)


@given(SECTIONS, SECTIONS)
@EXACT
def test_a_delta_turns_one_document_into_the_other(before, after):
    """Guards against a daemon whose document differs from the accepted one."""
    assert apply_delta(before, delta_between(before, after)) == after
    changed = {change.section for change in diff_sections(before, after)}
    assert changed == set(delta_between(before, after))


@given(SECTIONS, SECTIONS, SECTIONS)
@EXACT
def test_a_merge_keeps_both_changes(base, ours, theirs):
    """Guards against a merge that reverts or adds a change."""
    merge = merge_sections(base, ours, theirs)
    titles = {*base, *ours, *theirs, *merge.sections}
    for title in titles:
        before = base.get(title)
        sides = (ours.get(title), theirs.get(title))
        changed = [side for side in sides if side != before]
        is_clash = len(changed) == 2 and sides[0] != sides[1]
        assert (title in merge.clashing) is is_clash
        if not is_clash:
            expected = changed[0] if changed else before
            assert merge.sections.get(title) == expected


@given(SECTIONS, SECTIONS, SECTIONS)
@EXACT
def test_a_merge_gives_the_same_in_either_order(base, ours, theirs):
    merge = merge_sections(base, ours, theirs)
    swapped = merge_sections(base, theirs, ours)
    assert merge.clashing == swapped.clashing
    if not merge.clashing:
        assert merge.sections == swapped.sections


@given(SECTIONS, SECTIONS)
@EXACT
def test_a_merge_without_a_race_changes_nothing(base, ours):
    merge = merge_sections(base, ours, base)
    assert merge.sections == ours
    assert not merge.from_theirs
    assert not merge.clashing
