import gc

import pytest

from radishlift.core.garbage import YOUNG_COUNT, reduce_collections


@pytest.fixture
def collector():
    before = gc.get_threshold()
    yield gc
    gc.unfreeze()
    gc.set_threshold(*before)


def test_collections_are_rare(collector):
    """Guards against a pause of the loop for every few hundred objects."""
    reduce_collections()
    assert collector.get_threshold()[0] == YOUNG_COUNT
    assert collector.get_freeze_count()
    before = collector.get_stats()[0]['collections']
    held = [[number] for number in range(YOUNG_COUNT // 2)]
    assert collector.get_stats()[0]['collections'] == before
    assert held
