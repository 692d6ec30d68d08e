"""The command `radishctl load`."""

import asyncio
from typing import Any, ClassVar, Final

from aiohttp import ClientSession, TCPConnector
from cleo.helpers import argument, option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from radishlift.cli.daemon_command import DaemonCommand, ExitCode, parse_number
from radishlift.core.ids import Address
from radishlift.load.balancer import Balancer
from radishlift.load.runner import LoadResult, LoadRunner
from radishlift.load.traffic import TRAFFIC, plan_jobs, plan_requests

_MAX_RATE_PER_S: Final = 10_000
_MAX_DURATION_MS: Final = 3_600_000


def _number_option(name: str, description: str, default: str) -> Option:
    return option(name, None, description, flag=False, default=default)


class LoadCommand(DaemonCommand):
    """Sends traffic of a department, generated from a seed, to daemons."""

    name = 'load'
    description = 'Send the seeded traffic of a department and count answers'
    help = (
        'The executors must answer with the SHA-256 of the request body; the '
        'command checks that each answer belongs to its request.'
    )
    arguments: ClassVar[list[Argument]] = [
        argument('department', f'One of {", ".join(TRAFFIC)}.'),
        argument('servers', 'Daemons as ip:port.', multiple=True),
    ]
    own_options: ClassVar[list[Option]] = [
        _number_option('rate', 'Requests per second.', '50'),
        _number_option('jobs', 'Jobs per second.', '0'),
        _number_option('duration-ms', 'Length of the run.', '10000'),
        _number_option('seed', 'Seed of the plan.', '1'),
    ]

    def handle(self) -> int:
        """Runs the load and prints the counts."""
        numbers = {
            name: parse_number(self.option(name))
            for name in ('rate', 'jobs', 'duration-ms', 'seed')
        }
        known = {
            name: number
            for name, number in numbers.items()
            if number is not None
        }
        reason = _find_error(self.argument('department'), known)
        if reason:
            self.print_error(reason)
            return ExitCode.usage
        servers = tuple(Address(server) for server in self.argument('servers'))
        result = asyncio.run(
            _run(self.argument('department'), servers, known),
        )
        self._print(result.summary())
        return ExitCode.ok

    def _print(self, summary: dict[str, Any]) -> None:
        if self.is_json:
            self.print_json(summary)
            return
        for name, number in summary.items():
            self.print_text(f'{name}: {number}\n')


def _find_error(department: str, numbers: dict[str, int]) -> str:
    if department not in TRAFFIC:
        return f'department is one of {", ".join(TRAFFIC)}'
    if len(numbers) < 4:
        return '--rate, --jobs, --duration-ms and --seed are whole numbers'
    if numbers['rate'] + numbers['jobs'] > _MAX_RATE_PER_S:
        return f'--rate and --jobs are at most {_MAX_RATE_PER_S} together'
    if numbers['duration-ms'] > _MAX_DURATION_MS:
        return f'--duration-ms is at most {_MAX_DURATION_MS}'
    return ''


async def _run(
    department: str,
    servers: tuple[Address, ...],
    numbers: dict[str, int],
) -> LoadResult:
    traffic = TRAFFIC[department]
    plan = (numbers['duration-ms'], numbers['seed'])
    async with ClientSession(connector=TCPConnector(limit=0)) as session:
        balancer = Balancer(session, servers)
        checks = asyncio.create_task(balancer.run())
        runner = LoadRunner(session, balancer)
        await asyncio.gather(
            runner.send_requests(
                plan_requests(traffic, numbers['rate'], *plan),
            ),
            runner.send_jobs(plan_jobs(traffic, numbers['jobs'], *plan)),
        )
        checks.cancel()
    return runner.result


__all__ = ('LoadCommand',)
