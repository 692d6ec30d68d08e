"""Exit codes of radishctl; documented in docs/operations.md."""

from enum import IntEnum, unique
from types import MappingProxyType
from typing import Final

from radishlift.core.errors import Outcome


@unique
class ExitCode(IntEnum):
    """Why a command ended; scripts may rely on the numbers."""

    done = 0
    not_run = 1
    usage = 2
    outcome_unknown = 3
    ran_and_failed = 4
    unreachable = 5


EXIT_OF_OUTCOME: Final = MappingProxyType(
    {
        Outcome.not_run.value: ExitCode.not_run,
        Outcome.unknown.value: ExitCode.outcome_unknown,
        Outcome.ran.value: ExitCode.ran_and_failed,
    }
)

__all__ = ('EXIT_OF_OUTCOME', 'ExitCode')
