from collections import Counter

import pytest

from radishlift.load.runner import LoadResult
from tests.standins import checks, request_checks
from tests.system.invariants import (
    INVARIANTS,
    Evidence,
    Sighting,
    check_all,
)


def task_run(
    worker_id,
    start_ms,
    end_ms,
    cpu_milli=1000,
    task_id='job/0',
):
    return checks.Execution(
        task_id,
        1,
        worker_id,
        start_ms,
        end_ms,
        cpu_milli,
        512,
        0,
    )


def worker(worker_id, *executions):
    return checks.WorkerRecord(worker_id, 4000, 4096, 0, list(executions))


def request_run(request_id, key='', start_ms=0.0, executor='e1'):
    return request_checks.Execution(
        executor,
        request_id,
        key,
        'booking',
        start_ms,
        start_ms + 10,
    )


def sound_evidence():
    """Evidence of a run in which everything held."""
    result = LoadResult(
        outcomes=Counter({'answered': 1, 'not_run': 1}),
        answered_keys=['order-1'],
        not_run_tokens=['order-2'],
        not_run_ids=['refused'],
        not_run_jobs=['refused-job'],
    )
    return Evidence(
        workers=[
            worker('w1', task_run('w1', 0, 10)),
            worker('w2', task_run('w2', 10, 20)),
        ],
        executions=[request_run('answered.1', 'kits/order-1')],
        results=[result],
        uninterrupted_tasks={'job/0': (12, 20)},
        config_versions={'d1': [1, 2, 2]},
        sightings={'d1': [Sighting(1000, 1, 1), Sighting(5000, 2, 2)]},
        accepted_at_ms={2: 1000},
    )


def overcommit(evidence):
    other = task_run('w1', 5, 9, 4000, 'other/0')
    evidence.workers[0].executions.append(other)


def overload_executor(evidence):
    evidence.executions.extend(request_run(f'{n}.1') for n in range(9))


def run_twice_at_once(evidence):
    evidence.workers[1].executions.append(task_run('w2', 5, 8))


def mix_up_answers(evidence):
    evidence.results[0].outcomes['wrong'] += 1


def run_refused_key(evidence):
    evidence.executions.append(request_run('x.1', 'kits/order-2'))


def run_refused_request(evidence):
    evidence.executions.append(request_run('refused.7'))


def run_refused_job(evidence):
    evidence.workers[0].executions.append(
        task_run('w1', 0, 10, task_id='refused-job/0'),
    )


def run_key_again(evidence):
    evidence.executions.append(request_run('y.1', 'kits/order-1', 50))


def use_left_executor(evidence):
    evidence.leaving_since_ms = {'e1': -2500}


def use_left_worker(evidence):
    evidence.leaving_since_ms = {'w2': -1995}


def cut_request(evidence):
    evidence.results[0].broken_at['127.0.0.1:1'] += 1


def revert_version(evidence):
    evidence.config_versions = {'d1': [1, 2, 1]}


def revert_enforced_version(evidence):
    evidence.sightings['d1'].append(Sighting(6000, 2, 1))


def enforce_late(evidence):
    evidence.sightings['d1'][1] = Sighting(5000, 2, 1)


def miss_the_bound_after_a_pause(evidence):
    evidence.accepted_at_ms = {2: 0}
    evidence.measured_from_ms = {'d1': 999}


def interrupt_task(evidence):
    evidence.workers[1].executions[0].end_ms = 19


def lose_job(evidence):
    evidence.unfinished_jobs = ['job']


def lose_answered_key(evidence):
    evidence.results[0].answered_keys.append('order-3')


@pytest.mark.parametrize(
    ('violate', 'check_name'),
    [
        (overcommit, 'no_host_overcommitted'),
        (overload_executor, 'no_host_overcommitted'),
        (run_twice_at_once, 'no_task_in_two_places'),
        (mix_up_answers, 'every_answer_whole_and_own'),
        (run_refused_key, 'not_run_is_true'),
        (run_refused_request, 'not_run_is_true'),
        (run_refused_job, 'not_run_is_true'),
        (run_key_again, 'keyed_requests_at_most_once'),
        (use_left_executor, 'leaving_targets_get_no_new_work'),
        (use_left_worker, 'leaving_targets_get_no_new_work'),
        (cut_request, 'no_request_cut'),
        (revert_version, 'configuration_never_reverts'),
        (revert_enforced_version, 'configuration_never_reverts'),
        (enforce_late, 'configuration_in_force_in_time'),
        (miss_the_bound_after_a_pause, 'configuration_in_force_in_time'),
        (interrupt_task, 'running_tasks_kept'),
        (lose_job, 'nothing_accepted_is_lost'),
        (lose_answered_key, 'nothing_accepted_is_lost'),
    ],
)
def test_each_check_finds_its_violation(violate, check_name):
    """Guards against a check that cannot fail."""
    evidence = sound_evidence()
    assert check_all(evidence) == {}
    violate(evidence)
    assert set(check_all(evidence)) == {check_name}


def test_every_check_is_tried():
    """Guards against a check that was added without a violation."""
    tried = {
        mark.args[1][index][1]
        for mark in test_each_check_finds_its_violation.pytestmark
        for index in range(len(mark.args[1]))
    }
    assert tried == {check.__name__ for check in INVARIANTS}
