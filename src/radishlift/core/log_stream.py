"""A rate limited stream for log lines that never blocks."""

import os
from typing import Final

from radishlift.core.clock import Clock

_MS_IN_S: Final = 1000


class BoundedLogStream:
    """Writes lines to a file descriptor, limited by a token bucket.

    Lines above the rate, and lines that would block, are dropped and counted.
    The count is written before the next line.
    """

    def __init__(
        self,
        descriptor: int,
        max_lines_per_s: int,
        clock: Clock,
    ) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines_per_s = max_lines_per_s
        self._clock = clock
        self._available_tokens = float(max_lines_per_s)
        self._refilled_at_ms = clock.monotonic_ms()
        self._unreported_count = 0
        self.dropped_count = 0

    def write(self, line: str) -> None:
        """Writes a line, or drops it."""
        if not self._consume_token():
            self._drop()
            return
        text = line
        if self._unreported_count:
            text = f'event=logs_dropped count={self._unreported_count}\n{line}'
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self._drop()
            return
        self._unreported_count = 0

    def flush(self) -> None:
        """Does nothing: lines are written at once."""

    def _drop(self) -> None:
        self.dropped_count += 1
        self._unreported_count += 1

    def _consume_token(self) -> bool:
        now_ms = self._clock.monotonic_ms()
        elapsed_ms = now_ms - self._refilled_at_ms
        self._refilled_at_ms = now_ms
        self._available_tokens = min(
            self._max_lines_per_s,
            self._available_tokens
            + self._max_lines_per_s * elapsed_ms / _MS_IN_S,
        )
        if self._available_tokens < 1:
            return False
        self._available_tokens -= 1
        return True


__all__ = ('BoundedLogStream',)
