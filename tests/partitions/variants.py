"""Deliberately broken variants, which the checks of tests must detect."""

from radishlift.core.errors import Failure
from radishlift.partitions.open_partition import OpenPartition
from radishlift.placement.jobs import TaskState
from radishlift.placement.records import GangReserved
from radishlift.workers.dispatcher import Dispatcher
from tests.partitions.cell import Owner
from tests.standins.worker_model import WorkerModel


class EndsInherited(Dispatcher):
    """Ends the attempts of a previous owner instead of sending them again."""

    def __init__(self, *args):
        super().__init__(*args)
        self._events.is_confirmed_ended = lambda key: False

    def start_attempt(self, attempt_to_run):
        super().start_attempt(attempt_to_run)
        if attempt_to_run.is_inherited:
            session = self._sessions[attempt_to_run.worker_id]
            attempt = session.attempts[attempt_to_run.key]
            self._attempts.end(session, attempt, TaskState.queued, 'broken')


class EndsUnreachable(Dispatcher):
    """Ends attempts as soon as their worker does not answer."""

    def __init__(self, *args):
        super().__init__(*args)
        self._expiry_checker._lease_ms = 0
        self._expiry_checker._previous_owners.have_expired = lambda now_ms: True


class TreatsUnknownAsNotRun(Dispatcher):
    """Ends an attempt whose start has an unknown outcome."""

    def __init__(self, *args):
        super().__init__(*args)
        apply_reply = self._attempts._apply_reply

        def end_unknown(session, attempt, reply):
            if isinstance(reply, Failure):
                self._attempts.end(session, attempt, TaskState.queued, 'broken')
            return apply_reply(session, attempt, reply)

        self._attempts._apply_reply = end_unknown


class TreatsUnconfirmedAsNotSent(Dispatcher):
    """Ends a stopped attempt without a message if it is not confirmed."""

    def send_order(self, key, kind):
        session = self._find_session(key)
        attempt = session.attempts[key]
        if not attempt.is_confirmed:
            self._attempts.end(session, attempt, TaskState.queued, 'broken')
        super().send_order(key, kind)


class DropsOrders(Dispatcher):
    """Sends no stop orders."""

    def send_order(self, key, kind):
        """Does nothing."""


def run_effects_at_once(owner: Owner) -> None:
    """Makes an owner start attempts before their rows are durable."""
    owner.partition().log.run_when_durable = lambda effect: effect()


def ignore_worker_events(owner: Owner) -> None:
    """Makes an owner ignore restarted workers and ended attempts."""
    events = owner.partition().worker_events
    events.worker_seen = lambda info: None
    events.worker_lost = lambda worker_id, incarnation: None
    events.attempt_ended = lambda ended: None


def commit_at_once(owner: Owner) -> None:
    """Makes a home send commits before its decision is durable."""
    owner.partition().wait_durable = _wait_for_nothing


async def _wait_for_nothing(timeout_ms: int) -> None:
    """Replaces the wait for the journal and returns at once."""


def use_unheld_worker(partition: OpenPartition, worker: WorkerModel) -> None:
    """Makes a partition poll a worker of a rack that it does not hold.

    It also skips the check of the first report for tasks of others, which may
    arrive after a start of the old owner.
    """
    partition.racks.drop_unheld_workers = _keep_workers
    partition.dispatcher.add_known_worker(worker.worker_id, worker.incarnation)


def _keep_workers() -> None:
    """Replaces the removal of workers in racks that are not held."""


def release_overdue(owner: Owner) -> None:
    """Makes a part release an overdue reservation without asking the home."""
    owner.gang_coordinator._resolve_overdue_hold = _release


async def _release(partition: OpenPartition, hold: GangReserved) -> None:
    parts = partition.engine.gang_parts
    job_id = hold.spec.job_id
    partition.add_applied(parts.release(job_id, 'broken', hold.round_id))


__all__ = (
    'DropsOrders',
    'EndsInherited',
    'EndsUnreachable',
    'TreatsUnconfirmedAsNotSent',
    'TreatsUnknownAsNotRun',
    'commit_at_once',
    'ignore_worker_events',
    'run_effects_at_once',
    'release_overdue',
    'use_unheld_worker',
)
