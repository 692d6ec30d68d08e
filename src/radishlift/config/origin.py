"""Checks of the operator's name and the reason of a change."""

from typing import Final

from radishlift.settings.sections import SettingsError

MAX_WHO_CHARACTERS: Final = 100
MAX_WHY_CHARACTERS: Final = 500


def check_origin(who: str, why: str) -> tuple[SettingsError, ...]:
    """Checks the operator's name and the reason; both are required."""
    return (
        *_check_text('who', who, MAX_WHO_CHARACTERS),
        *_check_text('why', why, MAX_WHY_CHARACTERS),
    )


def _check_text(key: str, given: str, limit: int) -> tuple[SettingsError, ...]:
    if given.strip() and given.isprintable() and len(given) <= limit:
        return ()
    allowed = f'one line of 1 to {limit} printable characters'
    return (SettingsError('', key, given[:limit], allowed),)


__all__ = ('check_origin',)
