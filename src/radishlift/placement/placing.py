"""System that places queued tasks on workers."""

from radishlift.core.ids import Attempt, DepartmentName
from radishlift.placement.job_queue import Group
from radishlift.placement.jobs import Resources, task_id_of
from radishlift.placement.records import TaskPlaced
from radishlift.placement.systems import SYSTEMS, TickTime
from radishlift.placement.working import Working


@SYSTEMS.register('placement')
def place_tasks(working: Working, time: TickTime) -> bool:
    """Places tasks in queue order until nothing fits."""
    _wake(working)
    while not time.is_over():
        group = working.queue.next_group(_share)
        if group is None:
            return True
        _place_head(working, group, time)
    return False


def _share(department: DepartmentName) -> float:
    return 0


def _wake(working: Working) -> None:
    grown = working.grown
    working.grown = Resources(0, 0, 0)
    working.queue.wake_fitting(grown)


def _place_head(working: Working, group: Group, time: TickTime) -> None:
    job_row = working.queue.head(group)
    if job_row is None:
        return
    workers = working.tables.workers
    demand = group.key.demand
    for worker_row in working.index.search(demand, is_tight=True):
        if workers.fits(worker_row, demand):
            _place(working, job_row, worker_row, time)
            working.queue.refresh(group)
            return
    working.queue.block(group, 'no worker has room')


def _place(
    working: Working,
    job_row: int,
    worker_row: int,
    time: TickTime,
) -> None:
    jobs = working.tables.jobs
    tasks = working.tables.tasks
    spec = jobs.spec[job_row]
    task_id = task_id_of(spec.job_id, jobs.fresh_index[job_row])
    attempt = 1
    if jobs.requeued[job_row]:
        row = next(iter(jobs.requeued[job_row]))
        task_id = tasks.task_id[row]
        attempt = tasks.attempt[row] + 1
    worker = working.tables.workers.worker_info[worker_row]
    working.emit(
        TaskPlaced(
            task_id,
            Attempt(attempt),
            worker.worker_id,
            worker.incarnation,
            spec.demand,
            time.now_ms,
        ),
    )


__all__ = ('place_tasks',)
