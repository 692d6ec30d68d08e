"""Settings of ownership."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('ownership')
@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Times and limits of leases and claims.

    A daemon renews its row every `renew_interval_ms`; if the row does not
    change for `lease_ms`, others may claim its partitions. The `daemons` table
    is read every `scan_interval_ms`, or `scan_per_daemon_ms` for each row if
    that is longer; the owner rows are read after a change and every
    `owners_interval_ms`. A daemon claims at most `claims_count` partitions in
    a step, not before `start_wait_ms` after its first renewal so that
    daemons that start together see each other, and waits `release_wait_ms`
    for a released partition to be claimed before it releases another. The
    format level of the cell rises when all daemons have had a higher one for
    `level_wait_ms`, which is longer than a restart of a daemon.
    """

    renew_interval_ms: int = bounded(2000, 100, 5000)
    lease_ms: int = bounded(10_000, 500, 60_000)
    scan_interval_ms: int = bounded(1000, 50, 2000)
    scan_per_daemon_ms: int = bounded(150, 0, 10_000)
    owners_interval_ms: int = bounded(30_000, 50, 600_000)
    start_wait_ms: int = bounded(1500, 0, 60_000)
    claims_count: int = bounded(16, 1, 1000)
    commit_attempts: int = bounded(3, 1, 10)
    release_wait_ms: int = bounded(5000, 0, 60_000)
    level_wait_ms: int = bounded(60_000, 0, 86_400_000)


__all__ = ('OwnershipSettings',)
