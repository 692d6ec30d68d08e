"""Settings of request handling."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, section


@section('requests')
@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Intervals, budgets and bounds; docs/requests.md gives the reasons.

    `slot_writes_per_s` limits the writes of one daemon to `slots` rows: 7
    daemons at 10 stay far below the several hundred that the table service
    allows.

    At half of the current load 24,300 keys arrive at a partition in
    `keep_keys_ms`; `kept_keys_count` is above twice that. With answers of
    `kept_answer_bytes` a full table takes about 100 MB; longer answers are not
    kept. A full table refuses new keys and removes no key before
    `keep_keys_ms`, because a repeat of a removed key would run again.

    `max_answer_bytes` limits an answer, also one from a peer, and
    `max_held_answer_bytes` all answers that a daemon holds for its peers.
    `connections_per_executor` keeps 7 daemons within the limit of about 60
    connections of an executor; its slots need no more.
    """

    sync_interval_ms: int = bounded(500, 20, 60_000)
    idle_sync_interval_ms: int = bounded(4_000, 20, 60_000)
    summary_interval_ms: int = bounded(500, 20, 60_000)
    targets_interval_ms: int = bounded(500, 20, 60_000)
    targets_timeout_ms: int = bounded(1_000, 10, 60_000)
    slot_writes_per_s: int = bounded(10, 1, 100)
    rebalance_min_count: int = bounded(2, 1, 1_000)
    rebalance_ratio: float = bounded(0.15, 0, 1)
    settle_margin_ms: int = bounded(1_000, 0, 60_000)
    max_headers_count: int = bounded(64, 1, 1_000)
    max_header_bytes: int = bounded(8_192, 1, 1_048_576)
    max_answer_bytes: int = bounded(8_388_608, 1, 67_108_864)
    max_held_answer_bytes: int = bounded(33_554_432, 1, 1_073_741_824)
    max_department_count: int = bounded(1_024, 1, 1_000_000)
    max_forward_bytes: int = bounded(524_288, 0, 900_000)
    kept_answer_bytes: int = bounded(1_024, 0, 65_536)
    kept_keys_count: int = bounded(60_000, 1, 1_000_000)
    keep_keys_ms: int = bounded(900_000, 1_000, 86_400_000)
    retry_burst_count: int = bounded(10, 0, 1_000)
    eject_failures_count: int = bounded(5, 1, 1_000)
    eject_slow_ratio: float = bounded(5.0, 1.1, 1_000)
    ejection_ms: int = bounded(2_000, 10, 600_000)
    max_ejection_ms: int = bounded(60_000, 10, 3_600_000)
    connections_per_executor: int = bounded(8, 1, 1_000)
    home_call_ms: int = bounded(1_000, 10, 60_000)


__all__ = ('RequestSettings',)
