"""Tests that capacity is reserved only for work that may soon start."""

from radishlift.config.document import ConfigDocument, Team
from radishlift.core.ids import ConfigVersion, DepartmentName, TeamName
from radishlift.placement.jobs import Priority
from tests.only import only
from tests.placement.builders import (
    find_only_start,
    find_starts,
    make_engine,
    make_job,
    make_worker,
)
from tests.placement.test_gangs import HALF, SMALL, end_attempt, make_gang

MEND = TeamName('mend')


class ReservedWorkers:
    """Two workers reserved from 100 ms on for a gang that needs both.

    A `SMALL` worker has room for two members.
    """

    def __init__(self, **gang_fields):
        self.workers = (make_worker(1, SMALL), make_worker(2, SMALL))
        self.engine = make_engine(*self.workers)[1]
        self.accept('first', run_time_ms=100)
        self.first = find_only_start(self.engine.tick(0))
        gang = make_gang(task_count=4, run_time_ms=1000, **gang_fields)
        self.engine.accept(gang, 1)
        self.engine.tick(1)
        self.engine.tick(2)

    def accept(self, name, **fields):
        self.engine.accept(make_job(name, demand=HALF, **fields), 0)

    def lose_worker(self):
        """Loses the worker on which nothing runs."""
        lost = only(
            [
                worker
                for worker in self.workers
                if worker.worker_id != self.first.worker_id
            ]
        )
        self.engine.observe_worker_loss(lost.worker_id, lost.incarnation)

    def started(self, first_ms, last_ms):
        """Returns the tasks that ticks start."""
        return {
            start.task_id
            for now_ms in range(first_ms, last_ms, 100)
            for start in find_starts(self.engine.tick(now_ms))
        }


def test_gang_that_lost_its_workers_keeps_no_capacity():
    """Guards against an idle worker reserved for a gang that fits nowhere."""
    setup = ReservedWorkers()
    setup.lose_worker()
    end_attempt(setup.engine, setup.first)
    setup.accept('long', run_time_ms=60_000)
    assert 'long/0' in setup.started(200, 5000)


def test_gang_that_fits_nowhere_does_not_starve_the_next_gang():
    """Guards against a gang that no plan is made for, and so never starts."""
    setup = ReservedWorkers()
    setup.lose_worker()
    end_attempt(setup.engine, setup.first)
    setup.engine.tick(200)
    setup.accept('second', run_time_ms=9000, priority=Priority.urgent)
    second = find_only_start(setup.engine.tick(300))
    setup.engine.accept(make_gang('next', task_count=2, team=MEND), 400)
    setup.started(400, 3000)
    setup.accept('long', run_time_ms=60_000)
    assert not setup.started(3000, 9000)
    end_attempt(setup.engine, second)
    assert setup.started(9000, 9200) == {'next/0', 'next/1'}


def test_gang_without_quota_keeps_no_capacity():
    """Guards against idle workers reserved for a team over its quota."""
    setup = ReservedWorkers(team=MEND)
    quota = Team(DepartmentName('rugs'), cpu_milli=HALF.cpu_milli * 4)
    document = ConfigDocument(ConfigVersion(1), teams={MEND: quota})
    setup.engine.apply_config(document)
    # It leaves the gang too little quota, for longer than this test.
    setup.accept('urgent', team=MEND, priority=Priority.urgent)
    assert setup.started(100, 101) == {'urgent/0'}
    end_attempt(setup.engine, setup.first)
    for number in range(3):
        setup.accept(f'long{number}', run_time_ms=60_000)
    # Quota that other partitions don't use may arrive within a few seconds.
    assert not setup.started(200, 5000)
    assert len(setup.started(5000, 6000)) == 3
