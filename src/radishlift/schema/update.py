"""Writes `schema.json`, the schema of messages, records and rows.

Run `python -m radishlift.schema.update` after a change to any of them.
Incompatible changes are refused, because daemons of two versions share a cell
during an upgrade.
"""

import json
import sys
from pathlib import Path
from typing import Any, Final

from radishlift.core.levels import FORMAT_LEVEL
from radishlift.schema.compare import find_incompatibilities
from radishlift.schema.describe import describe
from radishlift.schema.subjects import all_subjects

SCHEMA_PATH: Final = Path(__file__).with_name('schema.json')


def current_schema_text() -> str:
    """Returns the schema of this version as JSON text."""
    schema = describe(all_subjects())
    text = json.dumps(schema, indent=1, sort_keys=True)
    return f'{text}\n'


def check_compatibility(committed: str, present: str) -> list[str]:
    """Returns the incompatible changes between two schemas in JSON."""
    known: Any = json.loads(committed)
    return find_incompatibilities(known, json.loads(present), FORMAT_LEVEL)


def main() -> int:
    """Updates `schema.json`; returns 1 if a change is incompatible."""
    present = current_schema_text()
    if SCHEMA_PATH.exists():
        committed = SCHEMA_PATH.read_text(encoding='utf-8')
        errors = check_compatibility(committed, present)
        if errors:
            sys.stderr.writelines(f'{error}\n' for error in errors)
            return 1
    SCHEMA_PATH.write_text(present, encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())

__all__ = ('SCHEMA_PATH', 'check_compatibility', 'current_schema_text', 'main')
