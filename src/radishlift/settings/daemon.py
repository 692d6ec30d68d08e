"""Settings of the daemon itself and of its connection to the platform."""

from dataclasses import dataclass

from radishlift.settings.sections import bounded, choice, section


@section('daemon')
@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """Identity and addresses of a daemon.

    `listen` is the HTTP address for callers and operators, `peer_listen` the
    address for other daemons. `peer_advertise` is the address that other
    daemons connect to if it differs from `peer_listen`. `seed_peers` lists,
    as `id=ip:port`, the peers that are known before the table service has
    been read. `max_format_level` keeps a new version at the format level of
    the previous version, so that the daemons can be rolled back; 0 means no
    limit.
    """

    daemon_id: str
    data_centre: str
    listen: str
    peer_listen: str
    peer_advertise: str = ''
    region: str = ''
    seed_peers: tuple[str, ...] = ()
    peer_secret: str = ''
    change_token: str = ''
    max_format_level: int = bounded(0, 0, 1_000_000)
    drain_notice_ms: int = bounded(1_000, 0, 60_000)
    drain_timeout_ms: int = bounded(30_000, 0, 600_000)
    log_level: str = choice('INFO', ('DEBUG', 'INFO', 'WARNING', 'ERROR'))


@section('platform')
@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services, as `ip:port`.

    No new work is sent while the last read of the host list is older than
    `host_list_limit_ms`, which must exceed `host_list_interval_ms`.
    """

    table_address: str
    object_address: str
    host_list_address: str
    timeout_ms: int = bounded(1_500, 10, 60_000)
    host_list_interval_ms: int = bounded(1_000, 50, 60_000)
    # Work for a leaving host must stop within 2 s. The remaining 300 ms
    # allow for sending and for clocks whose rates differ by 5%.
    host_list_limit_ms: int = bounded(1_700, 100, 3_600_000)


__all__ = ('DaemonSettings', 'PlatformSettings')
