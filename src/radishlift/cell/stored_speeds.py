"""Stored speeds of targets, with which the next leader begins.

Only targets beyond the dead band are stored, as pairs of a ratio in percent and
a digest of the process: a few hundred bytes for most fleets. The row is written
with a heartbeat of the leader, so that it takes no call of its own.
"""

from collections.abc import Mapping
from typing import Final

from radishlift.cell.tables import COMMITS, SPEEDS_KEY
from radishlift.core.clock import Clock
from radishlift.services.api import Row, Write
from radishlift.steps.ids import TargetId
from radishlift.steps.planner import Planner
from radishlift.steps.speeds import life_digest
from radishlift.steps.targets import TargetTable

_WRITE_EVERY_MS: Final = 2000
# About 3 KB. The most unlike targets are stored.
_MAX_STORED_COUNT: Final = 120
# Stored ratios are replaced once one of them differs by this many percent.
_CHANGED_PERCENT: Final = 10

_Speeds = dict[TargetId, tuple[int, int]]


class StoredSpeeds:
    """Writes the speeds of targets when they have changed.

    Nothing is written before the row of the previous leader has been loaded.
    """

    def __init__(
        self, planner: Planner, targets: TargetTable, clock: Clock
    ) -> None:
        self._planner = planner
        self._targets = targets
        self._clock = clock
        self._written: _Speeds = {}
        self._written_at_ms = -_WRITE_EVERY_MS
        self._is_loaded = False

    def load(self, row: Row | None) -> None:
        """Begins with the stored speeds; None if there are none.

        Raises AttributeError, KeyError, TypeError or ValueError for invalid
        data, and begins without speeds then.
        """
        self._is_loaded = True
        if row is not None and row.value is not None:
            self._written = _decode(row.value['speeds'])
            self._planner.speeds.load(self._written)
            self._planner.preferences.expire()

    def list_writes(self) -> list[Write]:
        """Returns the write of the row if it is due and has changed."""
        now_ms = self._clock.monotonic_ms()
        is_due = now_ms - self._written_at_ms >= _WRITE_EVERY_MS
        # Loaded speeds have no ratios before the first tick.
        is_ready = self._is_loaded and self._planner.preferences.is_read
        if not is_ready or not is_due:
            return []
        speeds = self._collect()
        if not _has_changed(self._written, speeds):
            return []
        self._written = speeds
        self._written_at_ms = now_ms
        plain = {target_id: list(pair) for target_id, pair in speeds.items()}
        return [Write(COMMITS, SPEEDS_KEY, {'speeds': plain})]

    def _collect(self) -> _Speeds:
        ratios = self._planner.preferences.ratios
        unlike = sorted(
            ratios,
            key=lambda target_id: max(ratios[target_id], 1 / ratios[target_id]),
            reverse=True,
        )
        targets = map(self._targets.get, unlike[:_MAX_STORED_COUNT])
        return {
            target.entry.target_id: (
                round(100 * ratios[target.entry.target_id]),
                life_digest(target.entry.life),
            )
            for target in targets
            if target is not None
        }


def _decode(plain: Mapping[str, list[int]]) -> _Speeds:
    return {
        TargetId(target_id): (int(percent), int(digest))
        for target_id, (percent, digest) in plain.items()
    }


def _has_changed(before: _Speeds, after: _Speeds) -> bool:
    if before.keys() != after.keys():
        return True
    return any(
        digest != before[target_id][1]
        or abs(percent - before[target_id][0]) >= _CHANGED_PERCENT
        for target_id, (percent, digest) in after.items()
    )


__all__ = ('StoredSpeeds',)
