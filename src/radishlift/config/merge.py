"""Differences between documents and merging of concurrent changes.

All functions are pure. They require sections of valid documents, in which
every section has all its keys.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from radishlift.config.text import Sections

Delta = dict[str, dict[str, str] | None]
"""Key-value pairs of each changed section; None for a removed section."""


@dataclass(frozen=True, slots=True)
class FieldChange:
    """A field that differs; None stands for an absent section."""

    section: str
    key: str
    before: str | None
    after: str | None


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Result of a merge.

    `from_theirs` are the sections that only the other change altered.
    `clashing` are the sections that both changes altered differently. If
    there are any, `sections` contains the other side's version of them and
    must not be accepted.
    """

    sections: Sections
    from_theirs: tuple[str, ...]
    clashing: tuple[str, ...]


def diff_sections(before: Sections, after: Sections) -> tuple[FieldChange, ...]:
    """Lists the fields that differ, sorted by section."""
    return tuple(
        change
        for title in delta_between(before, after)
        for change in _diff_pairs(
            title,
            before.get(title, {}),
            after.get(title, {}),
        )
    )


def delta_between(before: Sections, after: Sections) -> Delta:
    """Returns the sections that turn one document into the other."""
    return {
        title: after.get(title)
        for title in sorted({*before, *after})
        if before.get(title) != after.get(title)
    }


def apply_delta(base: Sections, delta: Delta) -> Sections:
    """Applies the sections of a delta to a document."""
    updated = dict(base)
    for title, pairs in delta.items():
        if pairs is None:
            updated.pop(title, None)
        else:
            updated[title] = pairs
    return updated


def merge_sections(
    base: Sections, ours: Sections, theirs: Sections
) -> MergeResult:
    """Merges two changes made on the same base, section by section."""
    our_delta = delta_between(base, ours)
    their_delta = delta_between(base, theirs)
    clashing = tuple(
        title
        for title in our_delta
        if title in their_delta and our_delta[title] != their_delta[title]
    )
    applied = {
        title: pairs
        for title, pairs in our_delta.items()
        if title not in clashing
    }
    return MergeResult(
        apply_delta(theirs, applied),
        tuple(title for title in their_delta if title not in our_delta),
        clashing,
    )


def keys_by_section(changes: Iterable[FieldChange]) -> dict[str, list[str]]:
    """Groups the keys of changed fields by their section."""
    grouped: dict[str, list[str]] = {}
    for change in changes:
        grouped.setdefault(change.section, []).append(change.key)
    return grouped


def _diff_pairs(
    title: str,
    before: dict[str, str],
    after: dict[str, str],
) -> list[FieldChange]:
    keys = tuple({**before, **after})
    return [
        FieldChange(title, key, before.get(key), after.get(key))
        for key in keys
        if before.get(key) != after.get(key)
    ]


__all__ = (
    'Delta',
    'FieldChange',
    'MergeResult',
    'apply_delta',
    'delta_between',
    'diff_sections',
    'keys_by_section',
    'merge_sections',
)
