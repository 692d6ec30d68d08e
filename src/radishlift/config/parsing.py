"""Conversion between the INI text and the document, with validation."""

from radishlift.config.checks import POLICY_NAMES
from radishlift.config.document import ConfigDocument
from radishlift.config.kinds import sections_of
from radishlift.config.snapshot import build_snapshot, parse_snapshot
from radishlift.config.text import Sections, render_sections
from radishlift.core.ids import ConfigVersion
from radishlift.settings.sections import SettingsError

Errors = tuple[SettingsError, ...]


def parse_document(
    text: str,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
) -> ConfigDocument | Errors:
    """Parses and validates a text; returns all errors if it is invalid."""
    parsed = parse_snapshot(text, version, policies)
    return parsed if isinstance(parsed, tuple) else parsed.document


def build_document(
    sections: Sections,
    version: ConfigVersion,
    policies: tuple[str, ...] = POLICY_NAMES,
) -> ConfigDocument | Errors:
    """Builds a document from sections; returns all errors if invalid."""
    built = build_snapshot(sections, version, policies)
    return built if isinstance(built, tuple) else built.document


def render_document(document: ConfigDocument) -> str:
    """Formats a document as INI text in a stable order.

    Parsing the text gives an equal document.
    """
    return render_sections(sections_of(document))


__all__ = ('build_document', 'parse_document', 'render_document')
