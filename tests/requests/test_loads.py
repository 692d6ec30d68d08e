from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import DaemonId, ServiceName
from radishlift.requests.load_publisher import LoadPublisher
from radishlift.requests.loads import LoadTable, ServiceLoad, ServiceLoads

D2 = DaemonId('d2')
RUGS = ServiceName('rugs')


def loads(idle_count: int) -> ServiceLoads:
    return ServiceLoads({RUGS: ServiceLoad(idle_count, 1)})


class Network:
    """Records what is sent to the only peer."""

    peers = (D2,)

    def __init__(self) -> None:
        self.number = 1
        self.sent = []

    def stream_number(self, _daemon_id):
        return self.number

    async def send(self, _daemon_id, told):
        self.sent.append(told)
        if self.number:
            return None
        return Failure(ErrorKind.peer_unavailable, 'cut')


async def test_peer_is_told_once_until_a_change_or_a_new_stream():
    """Guards against traffic at rest, and against a peer without loads."""
    network, clock = Network(), ManualClock(1)
    teller = LoadPublisher(network, clock)
    for told in (loads(1), loads(1), loads(2), loads(2)):
        await teller.publish(told)
    assert network.sent == [loads(1), loads(2)]
    network.number = 2
    await teller.publish(loads(2))
    assert len(network.sent) == 3


async def test_peer_that_is_cut_off_is_tried_seldom():
    """Guards against rounds that wait for the same peer each time."""
    network, clock = Network(), ManualClock(1)
    network.number = 0
    teller = LoadPublisher(network, clock)
    for _ in range(5):
        await teller.publish(loads(1))
        clock.advance(500)
    assert len(network.sent) == 2


def test_reckoned_slots_return_to_those_the_peer_told():
    """Guards against a peer that gets no more requests after a burst."""
    clock = ManualClock(1)
    board = LoadTable(clock, lambda _daemon_id: False)
    board.store(D2, loads(1))
    assert board.choose_peer(RUGS) == D2
    assert board.choose_peer(RUGS) is None
    clock.advance(2000)
    assert board.choose_peer(RUGS) == D2
    board.remove(D2)
    assert board.peer_loads(RUGS) == {}


def test_forwarding_prefers_the_own_region():
    """Guards against requests that cross regions without need."""
    near, far = DaemonId('near'), DaemonId('far')
    clock = ManualClock(1)
    board = LoadTable(clock, lambda _id: False, same_region=lambda: {near})
    board.store(far, loads(8))
    board.store(near, loads(1))
    assert board.choose_peer(RUGS) == near
    assert board.choose_peer(RUGS) == far
