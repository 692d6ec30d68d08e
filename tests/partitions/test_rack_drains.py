"""Tests of the phases of a rack drain."""

from types import SimpleNamespace

import pytest

from radishlift.core.ids import PartitionId, RackId
from radishlift.partitions.rack_drains import RackDrains

DRAIN_MS = 100
SAVE_MS = 50


class DrainBench:
    """A drain of a rack with an engine that records its calls."""

    def __init__(self):
        self.now_ms = 0
        self.stops = []
        settings = SimpleNamespace(
            rack_drain_ms=DRAIN_MS, rack_checkpoint_ms=SAVE_MS
        )
        engine = SimpleNamespace(
            drain=lambda workers, is_stopped: self.stops.append(is_stopped),
        )
        tables = SimpleNamespace(workers=SimpleNamespace(row_of={}))
        clock = SimpleNamespace(monotonic_ms=lambda: self.now_ms)
        self.drains = RackDrains(
            PartitionId('p1'), engine, tables, settings, clock
        )

    def tick(self, now_ms):
        self.now_ms = now_ms
        self.drains.continue_drain(RackId('r1'), None)


@pytest.mark.parametrize('late_ms', [0, SAVE_MS, 10 * SAVE_MS])
def test_attempts_are_saved_before_they_are_stopped(late_ms):
    """Guards against a busy daemon that skips the checkpoint."""
    bench = DrainBench()
    bench.tick(0)
    assert not bench.stops
    checkpoint_ms = DRAIN_MS + late_ms
    bench.tick(checkpoint_ms)
    bench.tick(checkpoint_ms + SAVE_MS - 1)
    bench.tick(checkpoint_ms + SAVE_MS)
    assert bench.stops == [False, False, True]
