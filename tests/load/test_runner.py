from radishlift.load.runner import LoadResult


def test_latency_is_recorded_for_each_class():
    """Guards against a slow request class hidden by the other classes."""
    result = LoadResult()
    for elapsed_ms in (10, 20, 30):
        result.record_latency('price_check', elapsed_ms)
    result.record_latency('term_order', 900)
    classes = result.summary()['classes']
    assert classes['price_check']['latency_p99_ms'] == 30
    assert classes['term_order']['latency_p50_ms'] == 900
    assert result.summary()['latency_p99_ms'] == 900
