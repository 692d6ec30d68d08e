"""The objects that the pages of the console use."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from radishlift.config.distributor import ConfigDistributor
from radishlift.console.guard import ConsoleGuard
from radishlift.console.status import StatusProvider
from radishlift.core.errors import Failure
from radishlift.report.burn import BurnReport

ReportSource = Callable[[], Awaitable[BurnReport | Failure]]


@dataclass(frozen=True, slots=True)
class ConsoleContext:
    """Sources of the displayed data, and the guard for changes."""

    config: ConfigDistributor
    status: StatusProvider
    report: ReportSource
    guard: ConsoleGuard


__all__ = ('ConsoleContext', 'ReportSource')
