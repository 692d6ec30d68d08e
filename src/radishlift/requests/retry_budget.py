"""Budgets that keep retries from multiplying the load."""

from radishlift.core.ids import ExecutorId, ServiceName


class RetryBudget:
    """Token buckets per service and per executor.

    Each first attempt adds the service's ratio of a token. A retry takes a
    whole token from the service and from the executor whose attempt failed, so
    that over time retries are at most that ratio of the requests.
    """

    def __init__(self, burst_count: int) -> None:
        self._burst_count = float(burst_count)
        self._tokens: dict[ServiceName | ExecutorId, float] = {}

    def earn(self, name: ServiceName | ExecutorId, ratio: float) -> None:
        """Adds the tokens of a first attempt."""
        earned = self._tokens.get(name, self._burst_count) + ratio
        self._tokens[name] = min(self._burst_count, earned)

    def spend(self, service: ServiceName, executor: ExecutorId | None) -> bool:
        """Takes a token from both buckets; returns False if one has none."""
        names: list[ServiceName | ExecutorId] = [service]
        if executor is not None:
            names.append(executor)
        if any(self._tokens.get(name, self._burst_count) < 1 for name in names):
            return False
        for name in names:
            self._tokens[name] = self._tokens.get(name, self._burst_count) - 1
        return True

    def keep_only(self, names: set[ServiceName | ExecutorId]) -> None:
        """Removes the buckets of all other executors and services."""
        for name in set(self._tokens) - names:
            self._tokens.pop(name)


__all__ = ('RetryBudget',)
