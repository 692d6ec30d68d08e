"""Settings file that the platform provides for each process."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from radishlift.access.settings import AccessSettings
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId, DataCentreId

SETTINGS_VARIABLE: Final = 'RADISHLIFT_CONFIG'

_MS_IN_S: Final = 1000
# A leader of 200 targets needs about 30 Mbit/s, so a link above this limit does
# not raise the rank of a host.
_MAX_USEFUL_LINK_MBPS: Final = 100
# Half of a heartbeat's interval.
_BATCH_LINK_MS: Final = 200
_BASE64_SHARE: Final = 0.75
_BYTES_PER_MEGABIT: Final = 125_000
_READ_ERRORS: Final = (OSError, ValueError, KeyError, TypeError)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a process from the platform.

    `max_lease_ms` is the longest lease of a target. `grace_ms` is the time
    between SIGTERM and SIGKILL. `target_heartbeat_ms` is the interval at which
    targets write their entries, and `max_row_bytes` the limit of a row of the
    store; 0 if they are unknown. `access` has the bounds of changes of keys.
    """

    daemon_id: DaemonId
    data_centre: DataCentreId
    front_address: Address
    ready_address: Address
    peer_address: Address
    metrics_address: Address
    store_address: Address
    advice_address: Address
    max_lease_ms: int
    grace_ms: int
    target_heartbeat_ms: int
    max_row_bytes: int
    link_mbps: float
    cpu_cores: float
    access: AccessSettings = AccessSettings()

    @property
    def leader_rank(self) -> int:
        """Returns the leader rank, which grows with link and processor."""
        return int(min(self.link_mbps, _MAX_USEFUL_LINK_MBPS) * self.cpu_cores)

    def limit_batch_bytes(self, max_batch_bytes: int) -> int:
        """Returns how much progress the link bears in one transaction."""
        link_bytes = self.link_mbps * _BYTES_PER_MEGABIT * _BATCH_LINK_MS / 1000
        return min(max_batch_bytes, int(link_bytes * _BASE64_SHARE))


def read_host_settings(path: Path) -> HostSettings | Failure:
    """Reads a settings file; fails with `invalid_input`."""
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
        return _decode(fields)
    except _READ_ERRORS as error:
        return Failure(ErrorKind.invalid_input, f'{path}: {error!r}')


def _decode(fields: Mapping[str, Any]) -> HostSettings:
    listen = fields['listen']
    bounds = fields['bounds']
    limits = fields['limits']
    first_port = int(fields['portRange'][0])
    host_ip = fields['ip']
    return HostSettings(
        daemon_id=DaemonId(fields['node']),
        data_centre=DataCentreId(fields['zone']),
        front_address=Address(listen['front']),
        ready_address=Address(listen['ready']),
        peer_address=Address(f'{host_ip}:{first_port}'),
        metrics_address=Address(f'{host_ip}:{first_port + 1}'),
        store_address=Address(fields['platform']['address']),
        advice_address=Address(fields.get('advice', '')),
        max_lease_ms=int(bounds['holdMaxMs']),
        grace_ms=int(bounds['graceS'] * _MS_IN_S),
        target_heartbeat_ms=int(fields.get('heartbeatMs', 0)),
        max_row_bytes=int(fields['platform'].get('rowBytes', 0)),
        link_mbps=float(limits['linkMbps']),
        # `cpuShare` is a share of a processor as fast as `cores` cores.
        cpu_cores=float(limits['cpuShare']) * float(limits['cores']),
        access=_decode_access(bounds),
    )


def _decode_access(bounds: Mapping[str, Any]) -> AccessSettings:
    config_ms = bounds.get('configMs')
    return AccessSettings(
        int(bounds['revokeMs']) if bounds.get('strictRevoke') else None,
        None if config_ms is None else int(config_ms),
    )


__all__ = ('SETTINGS_VARIABLE', 'HostSettings', 'read_host_settings')
