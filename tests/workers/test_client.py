import pytest

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Attempt, Incarnation, TaskId, WorkerId
from radishlift.placement.orders import OrderKind
from radishlift.workers.client import WorkerClient
from radishlift.workers.messages import (
    AttemptKey,
    AttemptState,
    Refusal,
    RefusalReason,
    RenewMessage,
    StartMessage,
    StateReply,
    TaskToStart,
    WorkerDescription,
    WorkerReport,
)
from radishlift.workers.settings import WorkerSettings
from tests.standins.knowledge import unexpiring_host_knowledge
from tests.standins.worker import Network, WorkerStandIn
from tests.standins.worker_model import WorkerOptions

KEY = AttemptKey(TaskId('j/0'), Attempt(1))


@pytest.fixture
async def worker():
    worker = WorkerStandIn(WorkerOptions())
    await worker.listen('127.0.0.1', 0)
    yield worker
    await worker.close()


@pytest.fixture
async def client():
    client = WorkerClient(
        WorkerSettings(timeout_ms=300),
        unexpiring_host_knowledge(),
    )
    yield client
    await client.close()


def start_message(worker: WorkerStandIn, lease_ms: int = 5000) -> StartMessage:
    return StartMessage(
        Incarnation(worker.model.incarnation),
        worker.model.clock_ms() + lease_ms,
        TaskToStart(KEY.task_id, KEY.attempt, 100, 10, 0, 0, 'wash'),
    )


async def test_exchange_with_a_worker(client, worker):
    """Guards against messages that differ from the published protocol."""
    worker_id = WorkerId(worker.model.worker_id)
    described = await client.describe(worker_id)
    assert isinstance(described, WorkerDescription)
    started = await client.start(worker_id, start_message(worker))
    assert isinstance(started, StateReply)
    assert started.state is AttemptState.running
    report = await client.report(worker_id)
    assert isinstance(report, WorkerReport)
    assert [task.key for task in report.tasks] == [KEY]
    stopped = await client.send_order(worker_id, OrderKind.stop, KEY)
    assert isinstance(stopped, StateReply)
    assert stopped.state is AttemptState.stopped
    renewal = RenewMessage(Incarnation('former'), 0, ())
    refused = await client.renew(worker_id, renewal)
    assert refused == Refusal(RefusalReason.incarnation)


async def test_refused_connection_is_certainly_not_sent(client, worker):
    """Guards against an unknown outcome when nothing was sent."""
    await worker.close()
    worker_id = WorkerId(worker.model.worker_id)
    answer = await client.start(worker_id, start_message(worker))
    assert isinstance(answer, Failure)
    assert answer.kind is ErrorKind.peer_unavailable


@pytest.mark.parametrize(
    ('network', 'started_count'),
    [
        (Network.hang, 0),
        (Network.refuse, 0),
        (Network.lose_answers, 1),
        (Network.redirect, 1),
    ],
)
async def test_lost_exchange_is_unknown(client, worker, network, started_count):
    """Guards against treating a start that may have run as not run."""
    worker.set_network(network)
    worker_id = WorkerId(worker.model.worker_id)
    answer = await client.start(worker_id, start_message(worker))
    assert isinstance(answer, Failure)
    assert answer.kind is ErrorKind.target_outcome_unknown
    assert len(worker.model.record) == started_count
