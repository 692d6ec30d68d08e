"""Budgets of retries, so that retries can't multiply load."""

from radishlift.core.ids import ExecutorId, ServiceName


class RetryBudget:
    """Tokens per service and per executor.

    Each first attempt earns the service's ratio of a token; a retry costs a
    whole one at the service and at the executor whose attempt failed. Over
    time retries are therefore at most that ratio of the requests.
    """

    def __init__(self, burst_count: int) -> None:
        self._burst_count = float(burst_count)
        self._tokens: dict[ServiceName | ExecutorId, float] = {}

    def earn(self, name: ServiceName | ExecutorId, ratio: float) -> None:
        """Counts a first attempt."""
        earned = self._tokens.get(name, self._burst_count) + ratio
        self._tokens[name] = min(self._burst_count, earned)

    def spend(self, service: ServiceName, executor: ExecutorId | None) -> bool:
        """Takes a retry from both budgets if both have one."""
        names: list[ServiceName | ExecutorId] = [service]
        if executor is not None:
            names.append(executor)
        if any(self._tokens.get(name, self._burst_count) < 1 for name in names):
            return False
        for name in names:
            self._tokens[name] = self._tokens.get(name, self._burst_count) - 1
        return True

    def keep_only(self, names: set[ServiceName | ExecutorId]) -> None:
        """Forgets executors and services that no longer exist."""
        for name in set(self._tokens) - names:
            self._tokens.pop(name)


__all__ = ('RetryBudget',)
