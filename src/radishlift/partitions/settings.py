"""Settings of the partitions that a daemon runs."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('partitions')
@dataclass(frozen=True, slots=True)
class PartitionSettings:
    """Intervals and timeouts of partitions and of the job router.

    A partition with new work is ticked every `tick_interval_ms`, a partition
    whose jobs only wait or run every `idle_interval_ms`, and a partition
    without jobs every `quiet_interval_ms` and as soon as it gets one. Jobs
    that wait for free capacity are handed off every `hand_off_interval_ms`.
    Every `evidence_interval_ms` a previous owner is asked whether it has
    stopped. A partition that could not be recovered is given up after
    `failed_pause_ms`.

    Multi-partition gangs are processed every `gang_interval_ms`. A home runs
    at most `gang_rounds_count` rounds at a time. It retries a refused round
    after `gang_backoff_ms`, which grows exponentially with jitter. A partition
    asks the home for the outcome of a reservation that is not committed within
    `gang_hold_ms`.

    Tasks on a rack that moves to another partition continue for
    `rack_drain_ms`. Then they are checkpointed, and stopped
    `rack_checkpoint_ms` later. A pending move is checked every `rack_poll_ms`,
    less often while it waits for another partition.
    """

    tick_interval_ms: int = bounded(5, 1, 1_000)
    idle_interval_ms: int = bounded(100, 1, 10_000)
    quiet_interval_ms: int = bounded(1_000, 1, 10_000)
    recover_retry_ms: int = bounded(200, 1, 60_000)
    failed_pause_ms: int = bounded(10_000, 1, 600_000)
    evidence_interval_ms: int = bounded(1_000, 10, 60_000)
    call_timeout_ms: int = bounded(1_000, 10, 60_000)
    retry_interval_ms: int = bounded(50, 1, 10_000)
    hand_off_interval_ms: int = bounded(200, 1, 60_000)
    gang_interval_ms: int = bounded(100, 1, 60_000)
    gang_rounds_count: int = bounded(4, 1, 64)
    gang_backoff_ms: int = bounded(100, 1, 60_000)
    gang_hold_ms: int = bounded(5_000, 10, 60_000)
    rack_drain_ms: int = bounded(30_000, 0, 86_400_000)
    rack_checkpoint_ms: int = bounded(1_000, 0, 60_000)
    rack_poll_ms: int = bounded(100, 1, 10_000)


__all__ = ('PartitionSettings',)
