"""The daemons that receive the configuration."""

from radishlift.core.ids import DaemonId
from radishlift.membership.api import MemberDirectory


class Fleet:
    """Members that are not known to be dead.

    Suspected daemons are included: a daemon may only be paused, and then
    continues with the version that it has.
    """

    def __init__(self, directory: MemberDirectory, daemon_id: DaemonId) -> None:
        self.daemon_id = daemon_id
        self._directory = directory

    def members(self) -> tuple[DaemonId, ...]:
        """Lists the daemons, including this one."""
        return tuple(
            member.daemon_id
            for member in self._directory.members()
            if not self._directory.is_dead(
                member.daemon_id,
                member.incarnation,
            )
        )

    def peers(self) -> tuple[DaemonId, ...]:
        """Lists the other daemons."""
        return tuple(
            member for member in self.members() if member != self.daemon_id
        )


__all__ = ('Fleet',)
