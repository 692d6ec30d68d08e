"""Settings of a daemon that keeps its state in the platform's store."""

from dataclasses import dataclass

from radishlift.outages.settings import OutageSettings


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Times and limits of a daemon.

    - `pulse_ms`: interval of the leader heartbeat.
    - `silence_ms`: time without a heartbeat after which another daemon takes
      over; three heartbeats, as a slow store may delay one.
    - `claim_stagger_ms`: delay between the claims of successive daemons, in
      the order of leader rank and id.
    - `first_claim_ms`: delay before the first claim in a new cell; all hosts
      start within 300 ms of each other.
    - `lease_share`: lease of targets as a share of the longest lease allowed;
      the rest covers clock drift and delayed calls.
    - `clock_drift`: maximum relative lag of a target's clock.
    - `unconfirmed_ms`: time without a commit after which a leader stops
      renewing leases, so that a new leader knows when they expire.
    - `hold_wait_ms`: how long a target may wait for an attempt to end.
    - `watched_wait_ms`: the same for a target on which a suspect is tried.
    - `hold_retry_ms`: delay after a call that a target did not answer.
    - `order_retries_count`: maximum number of sends of a start order.
    - `tick_ms`: minimum time between two scheduler ticks.
    - `max_batch_bytes`: size of the jobs' progress in one transaction; half of
      what the store accepts, as rows are sent as base64, and less on a slow
      link, as the next heartbeat waits for the transaction.
    - `slice_ms`: time for which a leader computes before it lets its other
      tasks run, of which heartbeats are the most urgent.
    - `explain_every_ms`: interval at which the log explains why steps wait.
    - `feed_wait_ms`: how long the store waits for changes in tables that a
      leader follows. If the store drops its history, a waiting call may return
      only when this time is up; urgent jobs have 250 ms.
    - `short_wait_ms`: the same for the cell and configuration tables, which
      every daemon follows.
    - `max_rest_ms`: how much of that wait a daemon far down in the order of
      claims may leave the cell table unread. Callers may see counts that are
      2 s old.
    - `share_config_ms`: interval at which a daemon that can't read the store
      requests the configuration from a peer.
    - `cut_off_ms`: time without an answer of the store or a peer after which a
      daemon is not ready for callers; three requests to peers.
    - `feed_retry_ms`: delay after a failed read of the store.
    - `max_entry_age_ms`: time since the last read of the targets' entries after
      which no start is sent, as a target may have less capacity meanwhile.
    - `feed_gap_ms`: pause between reads of the targets' entries, which change
      with every heartbeat of a target.
    - `load_stall_ms`: time without an answer about a table after which a leader
      that has not read its jobs and targets steps down; far above the pause
      that a slow store makes between two pages.
    - `blind_ms`: the same for a leader that has read them. Its successor has to
      read all again, and running tasks need no reads.
    - `out_of_reach_ms`: time without any target that answers, while they write
      their entries, after which a leader steps down. All leases are over then.
    - `abstain_ms`: delay of the claims of a daemon that has stepped down like
      this, so that others claim before it.
    - `abstain_for_ms`: how long it delays them.
    - `forget_ended_ms`: how long ended jobs are kept; callers may query them
      for 120 s, and repeat a submission for seconds after its answer.
    - `forget_every_ms`: pause between two removals of ended jobs.
    - `suspension_check_ms`: interval at which a daemon records that it runs.
    - `recovery_ms`: time after a suspension of more than half of
      `forget_ended_ms` in which a daemon rejects jobs; within it the requests
      that waited are read.
    - `max_log_lines_per_s`: log lines above this rate are counted and dropped.
      Twice the lines of a leader at 450 starts/s would use a tenth of a core.
    - `outages`: when the store is taken for lost.
    """

    pulse_ms: int = 400
    silence_ms: int = 1300
    claim_stagger_ms: int = 60
    first_claim_ms: int = 700
    lease_share: float = 0.7
    clock_drift: float = 0.02
    unconfirmed_ms: int = 6000
    hold_wait_ms: int = 1000
    watched_wait_ms: int = 100
    hold_retry_ms: int = 150
    order_retries_count: int = 3
    tick_ms: int = 10
    max_batch_bytes: int = 500_000
    slice_ms: int = 20
    explain_every_ms: int = 1000
    feed_wait_ms: int = 200
    short_wait_ms: int = 1000
    max_rest_ms: int = 800
    share_config_ms: int = 300
    cut_off_ms: int = 1000
    feed_retry_ms: int = 150
    max_entry_age_ms: int = 2000
    feed_gap_ms: int = 100
    load_stall_ms: int = 5000
    blind_ms: int = 20_000
    out_of_reach_ms: int = 10_000
    abstain_ms: int = 3000
    abstain_for_ms: int = 60_000
    forget_ended_ms: int = 180_000
    forget_every_ms: int = 1000
    suspension_check_ms: int = 1000
    recovery_ms: int = 3000
    max_log_lines_per_s: int = 600
    outages: OutageSettings = OutageSettings()


__all__ = ('CellSettings',)
