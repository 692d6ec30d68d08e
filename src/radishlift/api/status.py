"""HTTP handler for the state of the cell as this daemon knows it."""

from aiohttp import web

from radishlift.daemon.control import Control
from radishlift.daemon.foundation import Foundation


class StatusHandlers:
    """Handles `GET /v1/status`."""

    def __init__(self, base: Foundation, control: Control) -> None:
        self._base = base
        self._control = control

    def add_routes(self, app: web.Application) -> None:
        """Adds the route to an application."""
        app.router.add_get('/v1/status', self.show)

    async def show(self, _request: web.Request) -> web.Response:
        """Answers with members, partitions and their owners."""
        membership = self._base.membership
        document = self._control.config.current()
        members = [
            {
                'daemon_id': member.daemon_id,
                'incarnation': member.incarnation,
                'is_suspected': membership.is_suspected(member.daemon_id),
            }
            for member in membership.members()
        ]
        return web.json_response(
            {
                'daemon_id': self._base.member.daemon_id,
                'config_version': document.version if document else 0,
                'members': members,
                'partitions': self._partitions(),
                'running': [
                    runner.partition_id
                    for runner in self._control.partitions.owned()
                ],
            }
        )

    def _partitions(self) -> list[dict[str, object]]:
        directory = self._control.directory
        return [
            {
                'partition_id': partition_id,
                'owner': directory.owner_of(partition_id),
                'epoch': directory.seen(partition_id).row.epoch,
            }
            for partition_id in directory.partitions()
        ]


__all__ = ('StatusHandlers',)
