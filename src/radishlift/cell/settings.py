"""Settings of a daemon whose state lies in the platform's store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CellSettings:
    """Times and limits of a daemon.

    - `pulse_ms`: a leader shows that it is alive this often.
    - `silence_ms`: without a pulse for so long, another daemon takes over;
      three pulses, as one may be delayed by a slow store.
    - `claim_stagger_ms`: daemons claim one after another, by their ids.
    - `first_claim_ms`: wait before the very first claim; all hosts start
      within 300 ms of each other.
    - `lease_share`: lease of targets as a share of the longest one allowed;
      the rest is for clocks and calls that are late.
    - `clock_drift`: how much slower a target's clock may run.
    - `unconfirmed_ms`: a leader without a commit for so long ends all
      renewals of leases, so that its successor can tell when they lapse.
    - `hold_wait_ms`: how long a target may wait for an end.
    - `hold_retry_ms`: pause after a call that a target did not answer.
    - `order_retries_count`: repeats of an order without an answer.
    - `tick_ms`: shortest time between two rounds of decisions.
    - `feed_wait_ms`: how long the store waits for changes of what a leader
      follows. A store that drops its history may leave a waiting call without
      the changes until its time is up; urgent work has 250 ms.
    - `short_wait_ms`: the same for the rows of the cell and the
      configuration, which every daemon follows.
    - `share_config_ms`: a daemon that can't read the store asks a peer for the
      configuration this often.
    - `cut_off_ms`: a daemon that neither the store nor a peer has answered for
      so long asks for no more callers; three questions to peers.
    - `feed_retry_ms`: pause after a failed read of the store.
    - `feed_gap_ms`: pause between reads of the targets' entries, which change
      with every heartbeat.
    - `forget_ended_ms`: how long ended jobs are kept; callers may ask for
      120 s, and repeat a submission for seconds after its answer.
    - `forget_every_ms`: pause between two removals of ended jobs.
    - `max_log_lines_per_s`: twice the lines of a leader at 450 starts/s would
      cost it a tenth of a core; what is above is counted and dropped.
    """

    pulse_ms: int = 400
    silence_ms: int = 1300
    claim_stagger_ms: int = 60
    first_claim_ms: int = 700
    lease_share: float = 0.7
    clock_drift: float = 0.02
    unconfirmed_ms: int = 6000
    hold_wait_ms: int = 1000
    hold_retry_ms: int = 150
    order_retries_count: int = 3
    tick_ms: int = 10
    feed_wait_ms: int = 200
    short_wait_ms: int = 1000
    share_config_ms: int = 300
    cut_off_ms: int = 1000
    feed_retry_ms: int = 150
    feed_gap_ms: int = 100
    forget_ended_ms: int = 180_000
    forget_every_ms: int = 1000
    max_log_lines_per_s: int = 600


__all__ = ('CellSettings',)
