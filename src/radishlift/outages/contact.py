"""Decides when the store is probed, given up, and probed again.

Calls may wait for changes, and a slow store answers late, so a call without an
answer proves nothing. It leads to a probe on new connections; the store is
lost once neither the probe nor any other call has been answered meanwhile.
"""

from radishlift.outages.settings import OutageSettings


class StoreContact:
    """The answers of the store that one daemon has received.

    All times are monotonic milliseconds.
    """

    def __init__(self, settings: OutageSettings) -> None:
        self._settings = settings
        self._answered_at_ms: int | None = None
        self._lost_at_ms = 0
        self.is_lost = False

    def record_answer(self, now_ms: int) -> None:
        """Records an answer; the store is no longer lost."""
        self._answered_at_ms = now_ms
        self.is_lost = False

    def probe_due_in_ms(
        self, sent_at_ms: int, patience_ms: int, now_ms: int
    ) -> int:
        """Returns the time until a call without an answer needs a probe."""
        silent_since_ms = max(sent_at_ms, self._answered_at_ms or sent_at_ms)
        return max(0, silent_since_ms + patience_ms - now_ms)

    def record_failed_probe(self, sent_at_ms: int, now_ms: int) -> None:
        """Records a failed probe; unless others were answered, it is lost."""
        answered_at_ms = self._answered_at_ms
        if answered_at_ms is not None and answered_at_ms >= sent_at_ms:
            return
        self.is_lost = True
        # Before the first answer the start of an outage is unknown.
        self._lost_at_ms = now_ms if answered_at_ms is None else answered_at_ms

    def is_late(self, sent_at_ms: int, now_ms: int) -> bool:
        """Returns whether this process was too slow to judge a probe.

        It may have been suspended, or the answer waits to be read.
        """
        settings = self._settings
        limit_ms = settings.probe_timeout_ms + settings.max_lag_ms
        return now_ms - sent_at_ms > limit_ms

    def outage_ms(self, now_ms: int) -> int:
        """Returns the time since the last answer before the store was lost."""
        return now_ms - self._lost_at_ms

    def probe_gap_ms(self, now_ms: int) -> int:
        """Returns the interval until the next probe of a lost store."""
        settings = self._settings
        gap_ms = int(self.outage_ms(now_ms) * settings.probe_gap_share)
        return max(
            settings.min_probe_gap_ms, min(settings.max_probe_gap_ms, gap_ms)
        )


__all__ = ('StoreContact',)
