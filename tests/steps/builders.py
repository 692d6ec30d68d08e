"""Builders of small jobs and targets for tests."""

from radishlift.core.ids import (
    Address,
    DataCentreId,
    JobId,
    ServiceName,
    WorkspaceName,
)
from radishlift.steps.ids import (
    QueueName,
    StepKey,
    TargetId,
    TargetIncarnation,
    TaskKey,
)
from radishlift.steps.runs import JobRun, build_job
from radishlift.steps.spec import (
    AdviceTerms,
    Amounts,
    JobSpec,
    QueueTerms,
    StepSpec,
)
from radishlift.steps.targets import TargetEntry, TargetState
from radishlift.steps.workspaces import NO_WORKSPACE, WorkspaceTerms

SERVICE = ServiceName('wash')
ADVICE = AdviceTerms(decide_ms=50, per_target_ms=1, valid_ms=2000)


JOB_ID = 'a' * 16


def core(count: int = 1) -> Amounts:
    return Amounts(1000 * count, 100)


def step(count: int = 1, cores: int = 1, **fields) -> StepSpec:
    fields.setdefault('estimate_ms', 1000)
    return StepSpec(tasks_count=count, amounts=core(cores), **fields)


def terms(**fields) -> QueueTerms:
    fields.setdefault('max_attempts', 3)
    return QueueTerms(QueueName('batch'), SERVICE, **fields)


def job(
    *steps: StepSpec, job_id: str = JOB_ID, accepted_at_ms: int = 0, **fields
) -> JobRun:
    spec = JobSpec(JobId(job_id), 'text', steps or (step(),))
    workspace = WorkspaceName(fields.pop('workspace', NO_WORKSPACE))
    run = build_job(spec, terms(**fields), accepted_at_ms)
    run.workspace = workspace
    return run


def workspace_terms(
    name: str, cores: int = 0, **fields
) -> dict[WorkspaceName, WorkspaceTerms]:
    """Returns the terms of one workspace; a limit of 0 cores is none."""
    workspace = WorkspaceName(name)
    limit = Amounts(1000 * cores)
    return {workspace: WorkspaceTerms(workspace, limit=limit, **fields)}


def key(number: int = 0, step_number: int = 0, job_id: str = JOB_ID) -> TaskKey:
    return TaskKey(StepKey(JobId(job_id), 0, step_number), number)


def entry(name: str = 't1', cores: int = 4, **fields) -> TargetEntry:
    values = {
        'target_id': TargetId(name),
        'life': TargetIncarnation(1),
        'service': SERVICE,
        'address': Address(f'10.0.0.1:{8000 + len(name)}'),
        'data_centre': DataCentreId('z1'),
        'state': TargetState.ready,
        'capacity': Amounts(1000 * cores, 100_000),
        'labels': frozenset(('r1',)),
        **fields,
    }
    return TargetEntry(**values)
