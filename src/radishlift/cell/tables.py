"""Tables of the cell in the platform's store.

`CELL` contains the row of the leader, its heartbeat and a row per daemon.
`COMMITS` contains one row that every transaction of the leader replaces, so
that a transaction without an answer can't take effect after a later one. A
second row has the leases that the leader does not renew, and a third one the
learned speeds of targets.
Rows of `JOBS` and `CANCELS` are sharded by job id: a transaction covers one
shard, and the store processes the transactions of a shard serially.
"""

from hashlib import sha256
from typing import Final
from zlib import crc32

from radishlift.core.ids import DaemonId, JobId, WorkspaceName

CELL: Final = 'cell'
COMMITS: Final = 'commits'
PROGRESS: Final = 'progress'
JOBS: Final = 'jobs'
CANCELS: Final = 'cancels'
CONFIG: Final = 'config'
TARGETS: Final = 'targets'

LEADER_KEY: Final = 'leader'
HEARTBEAT_KEY: Final = 'pulse'
LAST_COMMIT_KEY: Final = 'last'
UNRENEWED_KEY: Final = 'unrenewed'
SPEEDS_KEY: Final = 'speeds'
DAEMON_PREFIX: Final = 'daemon/'

# A store that is 60 times slower than usual takes 300 ms per transaction; 32
# shards still handle 100 submissions and cancels per second.
ENTRY_SHARDS_COUNT: Final = 32

_WORKSPACE_MARK: Final = '/'
_DIGEST_CHARS: Final = 16


def daemon_key(daemon_id: DaemonId) -> str:
    """Returns the key of a daemon's row."""
    return DAEMON_PREFIX + daemon_id


def cancel_key(job_id: JobId, workspace: WorkspaceName) -> str:
    """Returns the key of the cancel of a job by a workspace.

    A cancel counts only for the job of its own workspace, which may be
    submitted later.
    """
    if not workspace:
        return job_id
    # Names of workspaces may be longer than keys of rows.
    digest = sha256(workspace.encode()).hexdigest()[:_DIGEST_CHARS]
    return f'{job_id}{_WORKSPACE_MARK}{digest}'


def cancelled_job(key: str) -> JobId:
    """Returns the job of the key of a cancel."""
    return JobId(key.partition(_WORKSPACE_MARK)[0])


def entry_shard(key: str) -> int:
    """Returns the shard of a job's rows by the key of one of them."""
    return crc32(cancelled_job(key).encode()) % ENTRY_SHARDS_COUNT


__all__ = (
    'CANCELS',
    'CELL',
    'COMMITS',
    'CONFIG',
    'DAEMON_PREFIX',
    'ENTRY_SHARDS_COUNT',
    'JOBS',
    'LAST_COMMIT_KEY',
    'LEADER_KEY',
    'PROGRESS',
    'HEARTBEAT_KEY',
    'SPEEDS_KEY',
    'TARGETS',
    'UNRENEWED_KEY',
    'cancel_key',
    'cancelled_job',
    'daemon_key',
    'entry_shard',
)
