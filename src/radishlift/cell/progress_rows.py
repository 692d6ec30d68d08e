"""Sizes of the rows of progress in a transaction of the leader."""

import json
from collections.abc import Mapping
from typing import Any, Final

from radishlift.steps.progress import CHECKPOINT_BYTES, TASK_BYTES

# Rows of few tasks are not measured; their size does not matter.
_FEW_TASKS_COUNT: Final = 32


def measure_progress(row: Mapping[str, Any]) -> int:
    """Returns how many bytes a row takes, estimated if it has few tasks."""
    tasks_count = sum(len(step[-1]) for step in row['steps'])
    if tasks_count <= _FEW_TASKS_COUNT:
        return tasks_count * (TASK_BYTES + CHECKPOINT_BYTES)
    return len(json.dumps(row, separators=(',', ':')))


__all__ = ('measure_progress',)
