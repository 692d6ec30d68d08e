"""HTTP handler for the status of this daemon and of the cell."""

from aiohttp import web

from radishlift.api.responses import failure_response
from radishlift.console.status import StatusProvider
from radishlift.core.codec import dump_plain
from radishlift.core.errors import Failure
from radishlift.daemon.context import DaemonContext
from radishlift.daemon.control import ControlPlane


class StatusHandlers:
    """Handles `GET /v1/status`."""

    def __init__(
        self,
        context: DaemonContext,
        control: ControlPlane,
        cell: StatusProvider,
    ) -> None:
        self._context = context
        self._control = control
        self._cell = cell

    def add_routes(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_get('/v1/status', self.show)

    async def show(self, request: web.Request) -> web.Response:
        """Returns members, partitions and their owners.

        The query `scope=cell` adds queues, workers and quarantines, which are
        requested from all daemons; without it no other daemon is contacted.
        """
        body = self._local_view()
        if request.query.get('scope') == 'cell':
            cell = await self._cell.cell_status()
            if isinstance(cell, Failure):
                return failure_response(cell)
            body['cell'] = dump_plain(cell)
        return web.json_response(body)

    def _local_view(self) -> dict[str, object]:
        membership = self._context.membership
        document = self._control.config.current()
        members = [
            {
                'daemon_id': member.daemon_id,
                'incarnation': member.incarnation,
                'region': member.region,
                'data_centre': member.data_centre,
                'format_level': member.format_level,
                'is_suspected': membership.is_suspected(member.daemon_id),
            }
            for member in membership.members()
        ]
        return {
            'daemon_id': self._context.member.daemon_id,
            'config_version': document.version if document else 0,
            'format_level': self._context.member.format_level,
            'cell_level': self._control.cell_level.level,
            'declined': list(self._context.own_row.declined),
            'members': members,
            'partitions': self._partitions(),
            'running': [
                runner.partition_id
                for runner in self._control.partitions.owned()
            ],
        }

    def _partitions(self) -> list[dict[str, object]]:
        directory = self._control.directory
        return [
            {
                'partition_id': partition_id,
                'owner': directory.owner_of(partition_id),
                'epoch': directory.stored_owner(partition_id).row.epoch,
            }
            for partition_id in directory.partitions()
        ]


__all__ = ('StatusHandlers',)
