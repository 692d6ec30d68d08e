"""Deliberately broken daemons: a check must fail on each of them.

`python -m tests.system.broken_daemon VARIANT,... --settings FILE`
"""

import asyncio
import os
import sys
from dataclasses import replace
from typing import Any

from radishlift.config.local_config import LocalConfig
from radishlift.config.receiver import UpdateReceiver
from radishlift.core import codec
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.registry import Registry
from radishlift.daemon.lifecycle import Daemon
from radishlift.daemon.main import main
from radishlift.partitions.worker_assignment import WorkerAssignment
from radishlift.services.api import HostState
from radishlift.services.host_knowledge import HostKnowledge
from radishlift.services.http import HttpHostList
from radishlift.workers.polls import WorkerPoll
from radishlift.workers.session import WorkerSession

REPLAY_DELAY_S = 1.0

VARIANTS: Registry[Any] = Registry('variant')


@VARIANTS.register('ignores_leaving')
def ignore_leaving() -> None:
    """Takes leaving hosts for live ones."""
    fetch = HttpHostList.fetch

    async def fetch_as_live(host_list: HttpHostList) -> Any:
        hosts = await fetch(host_list)
        if isinstance(hosts, Failure):
            return hosts
        return tuple(replace(host, state=HostState.live) for host in hosts)

    HttpHostList.fetch = fetch_as_live


@VARIANTS.register('ignores_list_age')
def ignore_list_age() -> None:
    """Takes the last host list for current, however old it is."""
    HostKnowledge.is_outdated = property(
        lambda knowledge: knowledge.age_ms is None
    )


@VARIANTS.register('cuts_requests')
def cut_requests() -> None:
    """Ends on a planned stop without an answer to requests in flight."""

    async def drain(_daemon: Daemon) -> None:
        os._exit(0)

    Daemon._drain = drain


@VARIANTS.register('accepts_lower_versions')
def accept_lower_versions() -> None:
    """Accepts a delayed message with the version before."""
    take_update = UpdateReceiver.apply_update

    async def take_and_replay(
        receiver: UpdateReceiver,
        *arguments: Any,
    ) -> None:
        before = receiver._local.snapshot
        await take_update(receiver, *arguments)
        if before.version:
            asyncio.get_running_loop().call_later(
                REPLAY_DELAY_S,
                receiver._local.replace_if_newer,
                before,
            )

    def take(held: LocalConfig, parsed: Any) -> bool | Failure:
        if isinstance(parsed, tuple):
            return Failure(ErrorKind.invalid_input, str(parsed[0]))
        held.snapshot = parsed
        return True

    UpdateReceiver.apply_update = take_and_replay
    LocalConfig.replace_if_newer = take


@VARIANTS.register('uses_unheld_racks')
def use_unheld_racks() -> None:
    """Uses all racks of the document, also those that it does not hold.

    Workers on which other tasks run are used, too: the check of the first
    report hides the fault unless both owners start tasks at the same time.
    """
    publish = WorkerPoll._publish

    def publish_all(
        poll: WorkerPoll,
        session: WorkerSession,
        *,
        has_unknown_running: bool,
    ) -> None:
        publish(poll, session, has_unknown_running=False)

    def take_all(
        workers: WorkerAssignment,
        _racks: Any,
    ) -> WorkerAssignment:
        return workers

    WorkerAssignment.restrict_to = take_all
    WorkerPoll._publish = publish_all


@VARIANTS.register('parses_strictly')
def parse_strictly() -> None:
    """Refuses unknown fields of other daemons."""
    codec._TOLERANT = codec._STRICT


if __name__ == '__main__':
    for variant in sys.argv.pop(1).split(','):
        VARIANTS.get(variant)()
    sys.exit(main())
