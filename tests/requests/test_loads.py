from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.load_publisher import LoadPublisher
from radishlift.requests.loads import LoadTable, ServiceLoad, ServiceLoads

D2 = DaemonId('d2')
RUGS = ServiceName('rugs')


def loads(idle_count: int) -> ServiceLoads:
    return ServiceLoads({RUGS: ServiceLoad(idle_count, 1)})


class FakeNetwork:
    """Records the loads sent to the only peer."""

    peers = (D2,)

    def __init__(self) -> None:
        self.number = 1
        self.sent = []

    def stream_number(self, _daemon_id):
        return self.number

    async def send(self, _daemon_id, loads_sent):
        self.sent.append(loads_sent)
        if self.number:
            return None
        return Failure(ErrorKind.peer_unavailable, 'cut')


async def test_loads_are_sent_once_until_a_change_or_a_new_stream():
    """Unchanged loads must be sent once, and again on a new connection."""
    network, clock = FakeNetwork(), ManualClock(1)
    publisher = LoadPublisher(network, clock)
    for current in (loads(1), loads(1), loads(2), loads(2)):
        await publisher.publish(current)
    assert network.sent == [loads(1), loads(2)]
    network.number = 2
    await publisher.publish(loads(2))
    assert len(network.sent) == 3


async def test_unreachable_peer_is_tried_seldom():
    """An unreachable peer must not delay each round."""
    network, clock = FakeNetwork(), ManualClock(1)
    network.number = 0
    publisher = LoadPublisher(network, clock)
    for _ in range(5):
        await publisher.publish(loads(1))
        clock.advance(500)
    assert len(network.sent) == 2


def test_estimated_idle_slots_expire():
    """A peer must get requests again some time after a burst.

    Its idle slots are estimated as 0 and it reports only changes.
    """
    clock = ManualClock(1)
    table = LoadTable(clock, lambda _daemon_id: False)
    table.store(D2, loads(1))
    assert table.choose_peer(RUGS) == D2
    assert table.choose_peer(RUGS) is None
    clock.advance(2000)
    assert table.choose_peer(RUGS) == D2
    table.remove(D2)
    assert table.peer_loads(RUGS) == {}


def test_forwarding_prefers_the_own_region():
    """Requests must not cross regions while a near peer has idle slots."""
    near, far = DaemonId('near'), DaemonId('far')
    clock = ManualClock(1)
    table = LoadTable(clock, lambda _id: False, same_region=lambda: {near})
    table.store(far, loads(8))
    table.store(near, loads(1))
    assert table.choose_peer(RUGS) == near
    assert table.choose_peer(RUGS) == far
