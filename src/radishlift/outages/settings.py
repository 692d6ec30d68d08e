"""Settings for recognising the outages of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OutageSettings:
    """Times of the doubt about a store without answers.

    - `patience_ms`: time without any answer of the store after which a call
      leads to a probe; calls for changes have their wait besides.
    - `probe_timeout_ms`: time without an answer after which a probe has failed.
      A store that is 60 times slower than usual needs up to 300 ms in each
      direction.
    - `max_lag_ms`: delay of this process beyond which the failure of a probe
      says nothing about the store.
    - `checked_parts_count`: parts of which none must answer for the store to be
      lost, as parts may fail alone.
    - `min_probe_gap_ms`, `max_probe_gap_ms`: bounds of the interval of probes
      during an outage.
    - `probe_gap_share`: interval of probes as a share of the outage's age. It
      bounds by which share a caller's wait grows until the end is noticed.
    """

    patience_ms: int = 150
    probe_timeout_ms: int = 650
    max_lag_ms: int = 100
    checked_parts_count: int = 2
    min_probe_gap_ms: int = 150
    max_probe_gap_ms: int = 500
    probe_gap_share: float = 0.05


__all__ = ('OutageSettings',)
