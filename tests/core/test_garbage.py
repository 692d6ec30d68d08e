import gc

import pytest

from radishlift.core.garbage import (
    YOUNG_GENERATION_THRESHOLD,
    reduce_collections,
)


@pytest.fixture
def collector():
    before = gc.get_threshold()
    yield gc
    gc.unfreeze()
    gc.set_threshold(*before)


def test_collections_are_rare(collector):
    """Guards against a pause of the loop every few hundred objects."""
    reduce_collections()
    assert collector.get_threshold()[0] == YOUNG_GENERATION_THRESHOLD
    assert collector.get_freeze_count()
    before = collector.get_stats()[0]['collections']
    objects = [[number] for number in range(YOUNG_GENERATION_THRESHOLD // 2)]
    assert collector.get_stats()[0]['collections'] == before
    assert objects
