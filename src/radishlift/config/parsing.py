"""Conversion between the INI text and the document, with validation."""

from typing import Any

from radishlift.config.checks import POLICY_NAMES, check_document
from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import (
    SECTION_KINDS,
    TITLE_RULE,
    kind_of_title,
    sections_of,
)
from radishlift.config.text import (
    Sections,
    limit_errors,
    render_sections,
    scan_text,
)
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError, parse_section

Errors = tuple[SettingsError, ...]


def parse_document(
    text: str,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
) -> ConfigDocument | Errors:
    """Parses and checks a text; returns every error in it."""
    sections = scan_text(text)
    if isinstance(sections, tuple):
        return sections
    return build_document(sections, version, policies)


def build_document(
    sections: Sections,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
) -> ConfigDocument | Errors:
    """Builds a document from sections; returns every error in them."""
    errors: list[SettingsError] = []
    members: dict[str, Any] = {kind.member: {} for kind in SECTION_KINDS}
    for title, pairs in sections.items():
        errors.extend(_parse_entity(title, pairs, members))
    document = ConfigDocument(version, **members)
    # A reference to a section that is present but wrong is no second error.
    wrong_names = {error.section.partition(':')[2] for error in errors}
    errors.extend(
        error
        for error in check_document(document, policies)
        if error.given not in wrong_names
    )
    return limit_errors(errors) if errors else document


def render_document(document: ConfigDocument) -> str:
    """Writes a document as INI text in a stable order.

    Parsing the text gives an equal document.
    """
    return render_sections(sections_of(document))


def _parse_entity(
    title: str,
    pairs: dict[str, str],
    members: dict[str, Any],
) -> Errors:
    kind_and_name = kind_of_title(title)
    if kind_and_name is None:
        return (SettingsError(title, '', title, TITLE_RULE),)
    kind, name = kind_and_name
    if not kind.name_pattern.fullmatch(name):
        return (SettingsError(title, '', name, kind.name_rule),)
    parsed = parse_section(title, kind.entity_type, pairs)
    if isinstance(parsed, tuple):
        return parsed
    members[kind.member][name] = parsed
    return ()


__all__ = ('build_document', 'parse_document', 'render_document')
