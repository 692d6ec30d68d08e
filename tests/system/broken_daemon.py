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
    """Treats leaving hosts as live."""
    fetch = HttpHostList.fetch

    async def fetch_as_live(host_list: HttpHostList) -> Any:
        hosts = await fetch(host_list)
        if isinstance(hosts, Failure):
            return hosts
        return tuple(replace(host, state=HostState.live) for host in hosts)

    HttpHostList.fetch = fetch_as_live


@VARIANTS.register('ignores_list_age')
def ignore_list_age() -> None:
    """Treats the last host list as current, whatever its age."""
    HostKnowledge.is_outdated = property(
        lambda knowledge: knowledge.age_ms is None
    )


@VARIANTS.register('cuts_requests')
def cut_requests() -> None:
    """Exits at a planned stop without answering requests in flight."""

    async def drain(_daemon: Daemon) -> None:
        os._exit(0)

    Daemon._drain = drain


@VARIANTS.register('accepts_lower_versions')
def accept_lower_versions() -> None:
    """Accepts a delayed message with the previous version."""
    apply_update = UpdateReceiver.apply_update

    async def apply_and_replay(
        receiver: UpdateReceiver,
        *arguments: Any,
    ) -> None:
        previous = receiver._local.snapshot
        await apply_update(receiver, *arguments)
        if previous.version:
            asyncio.get_running_loop().call_later(
                REPLAY_DELAY_S,
                receiver._local.replace_if_newer,
                previous,
            )

    def replace_always(local: LocalConfig, parsed: Any) -> bool | Failure:
        if isinstance(parsed, tuple):
            return Failure(ErrorKind.invalid_input, str(parsed[0]))
        local.snapshot = parsed
        return True

    UpdateReceiver.apply_update = apply_and_replay
    LocalConfig.replace_if_newer = replace_always


@VARIANTS.register('uses_unheld_racks')
def use_unheld_racks() -> None:
    """Uses all racks of the document, also those not assigned to it yet.

    Also uses workers that run unknown tasks. Otherwise the check of a worker's
    first report hides the fault, unless both owners start tasks at the same
    time.
    """
    publish = WorkerPoll._publish

    def publish_all(
        poll: WorkerPoll,
        session: WorkerSession,
        *,
        has_unknown_running: bool,
    ) -> None:
        publish(poll, session, has_unknown_running=False)

    def keep_all(
        workers: WorkerAssignment,
        _racks: Any,
    ) -> WorkerAssignment:
        return workers

    WorkerAssignment.restrict_to = keep_all
    WorkerPoll._publish = publish_all


@VARIANTS.register('parses_strictly')
def parse_strictly() -> None:
    """Rejects messages, records and rows with unknown fields."""
    codec._TOLERANT = codec._STRICT


if __name__ == '__main__':
    for variant in sys.argv.pop(1).split(','):
        VARIANTS.get(variant)()
    sys.exit(main())
