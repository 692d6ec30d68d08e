"""Tables of the cell in the platform's store.

`CELL` holds the row of the leader, its pulse and one row for each daemon.
`COMMITS` holds one row that every transaction of the leader replaces, so
that a transaction whose answer was lost can't take effect after a later one.
"""

from typing import Final

from radishlift.core.ids import DaemonId

CELL: Final = 'cell'
COMMITS: Final = 'commits'
PROGRESS: Final = 'progress'
JOBS: Final = 'jobs'
CANCELS: Final = 'cancels'
CONFIG: Final = 'config'
TARGETS: Final = 'targets'

LEADER_KEY: Final = 'leader'
PULSE_KEY: Final = 'pulse'
LAST_KEY: Final = 'last'
DAEMON_PREFIX: Final = 'daemon/'


def daemon_key(daemon_id: DaemonId) -> str:
    """Returns the key of a daemon's row."""
    return DAEMON_PREFIX + daemon_id


__all__ = (
    'CANCELS',
    'CELL',
    'COMMITS',
    'CONFIG',
    'DAEMON_PREFIX',
    'JOBS',
    'LAST_KEY',
    'LEADER_KEY',
    'PROGRESS',
    'PULSE_KEY',
    'TARGETS',
    'daemon_key',
)
