"""Commands of radishctl for jobs and tasks."""

import json
from typing import Any, ClassVar, Final
from urllib.parse import quote

from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from radishlift.cli.cell_text import describe_cell
from radishlift.cli.daemon_command import DaemonCommand, ExitCode, parse_failure
from radishlift.console.status import CellStatus
from radishlift.core.codec import read_plain
from radishlift.core.errors import Failure

_CELL_PATH: Final = '/v1/status?scope=cell'
_FIRST_ERROR_STATUS: Final = 400


def _text_option(
    name: str, description: str, default: str | None = None
) -> Option:
    return option(name, None, description, flag=False, default=default)


class _JobCommand(DaemonCommand):
    """Base class of commands that print the fields of a response."""

    def send_and_print(self, method: str, path: str, **options: Any) -> int:
        """Sends a request, prints the response and returns the exit code."""
        answer = self.request(method, path, **options)
        if isinstance(answer, Failure):
            return self.report_failure(answer)
        if self.is_json:
            self.print_json(answer.body)
        if answer.status >= _FIRST_ERROR_STATUS:
            return self.report_failure(parse_failure(answer))
        if not self.is_json:
            for name, field in answer.body.items():
                text = field if isinstance(field, str) else json.dumps(field)
                self.print_text(f'{name}: {text}\n')
        return ExitCode.ok


class SubmitCommand(_JobCommand):
    """Submits a job; repeating the same job id is safe."""

    name = 'submit'
    description = 'Submit a job: a service, a batch run or a gang.'
    arguments: ClassVar[list[Argument]] = [argument('name', 'Name of the job.')]
    own_options: ClassVar[list[Option]] = [
        _text_option('department', 'Department that the job belongs to.'),
        _text_option('team', 'Team whose quota the job uses.'),
        _text_option('kind', 'service, batch or gang.', 'batch'),
        _text_option('tasks', 'Number of tasks.', '1'),
        _text_option('cpu', 'Processor of a task in milli-cores.', '1000'),
        _text_option('memory', 'Memory of a task in MB.', '512'),
        _text_option('accelerators', 'Accelerators of a task.', '0'),
        _text_option(
            'run-time', 'Estimated run time in ms; 0 is unknown.', '0'
        ),
        _text_option('priority', 'urgent, high, normal or low.', 'normal'),
        _text_option('attempts', 'Times that a failing task is tried.', '3'),
        _text_option(
            'job-id', 'Job id; makes a repeated submission idempotent.', ''
        ),
    ]

    def handle(self) -> int:
        """Sends the job."""
        try:
            body = self._body()
        except ValueError as error:
            self.print_error(f'not a whole number: {error}')
            return ExitCode.usage
        return self.send_and_print('POST', '/v1/jobs', json=body)

    def _body(self) -> dict[str, object]:
        return {
            'job_id': self.option('job-id'),
            'department': self.option('department') or '',
            'team': self.option('team') or '',
            'name': self.argument('name'),
            'kind': self.option('kind'),
            'task_count': int(self.option('tasks')),
            'demand': {
                'cpu_milli': int(self.option('cpu')),
                'memory_mb': int(self.option('memory')),
                'accelerators_count': int(self.option('accelerators')),
            },
            'run_time_ms': int(self.option('run-time')),
            'priority': self.option('priority'),
            'max_attempts': int(self.option('attempts')),
        }


class CancelCommand(_JobCommand):
    """Cancels a job."""

    name = 'cancel'
    description = 'Cancel a job and stop its tasks.'
    arguments: ClassVar[list[Argument]] = [argument('job-id', 'Job id.')]

    def handle(self) -> int:
        """Sends the cancellation."""
        path = f'/v1/jobs/{quote(self.argument("job-id"), safe="")}/cancel'
        return self.send_and_print('POST', path)


class StatusCommand(_JobCommand):
    """Shows a job, or the state of the cell without a job id."""

    name = 'status'
    description = 'Show a job, or the cell when no job is named.'
    arguments: ClassVar[list[Argument]] = [
        argument('job-id', 'Job id.', optional=True),
    ]

    def handle(self) -> int:
        """Requests and prints the state."""
        job_id = self.argument('job-id')
        if job_id:
            return self.send_and_print(
                'GET', f'/v1/jobs/{quote(job_id, safe="")}'
            )
        if self.is_json:
            return self.send_and_print('GET', _CELL_PATH)
        body = self.fetch(_CELL_PATH, dict)
        if isinstance(body, Failure):
            return self.report_failure(body)
        cell = read_plain(body.get('cell'), CellStatus)
        if isinstance(cell, Failure):
            return self.report_failure(cell)
        self.print_text(describe_cell(cell))
        return ExitCode.ok


class ExplainCommand(_JobCommand):
    """Explains why a task runs on its worker, or why it waits."""

    name = 'explain'
    description = 'Explain where a task runs and why, or why it waits.'
    arguments: ClassVar[list[Argument]] = [argument('task-id', 'Task id.')]

    def handle(self) -> int:
        """Requests and prints the explanation."""
        task_id = quote(self.argument('task-id'), safe='')
        return self.send_and_print('GET', f'/v1/tasks/{task_id}/explain')


JOB_COMMANDS = (SubmitCommand, CancelCommand, StatusCommand, ExplainCommand)

__all__ = (
    'JOB_COMMANDS',
    'CancelCommand',
    'ExplainCommand',
    'StatusCommand',
    'SubmitCommand',
)
