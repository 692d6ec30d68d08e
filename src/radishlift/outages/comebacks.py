"""When callers come back whose submissions an outage of the store refused.

Nobody knows when an outage ends. One that has lasted for some time is likely
to last about as long again, so pauses grow with its age: a few tries reach far,
and callers wait at most about twice as long as it lasted. Each caller has only
a few tries and its own deadline, over which they must be spread; it says how
much of its time is left. Callers that were refused together must not return
together, so longer pauses differ by job.
"""

from typing import Final
from zlib import crc32

from radishlift.core.ids import JobId

_MS_IN_S: Final = 1000
# Tries that a caller is assumed to have left.
_TRIES_COUNT: Final = 4
# Pause as a share of the outage's age. With less, four tries don't reach the
# end of an outage of several seconds; with more, all wait longer after it.
_AGE_SHARE: Final = 0.75
# Pauses differ by up to this share in either direction.
_SPREAD: Final = 0.25
_HASH_RANGE: Final = 2**32


def choose_pause_s(job_id: JobId, outage_ms: int, remaining_ms: int) -> int:
    """Returns the whole seconds, at least 1, after which to submit again.

    `outage_ms` is the age of the outage, `remaining_ms` the caller's time.
    """
    longest_ms = remaining_ms / _TRIES_COUNT
    pause_ms = max(_MS_IN_S, min(outage_ms * _AGE_SHARE, longest_ms))
    if pause_ms <= _MS_IN_S:
        return 1
    # A caller gets another place in the spread with each of its tries.
    place = crc32(f'{job_id}/{remaining_ms // _MS_IN_S}'.encode())
    share = 1 - _SPREAD + 2 * _SPREAD * place / _HASH_RANGE
    return max(1, round(pause_ms * share / _MS_IN_S))


__all__ = ('choose_pause_s',)
