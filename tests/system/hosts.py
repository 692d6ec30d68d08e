"""The settings of a cell's daemons and the cell's host list."""

from typing import TYPE_CHECKING

from tests.system.shapes import RACK_SIZE

if TYPE_CHECKING:
    from tests.system.cell import Cell

SETTINGS = """\
[daemon]
daemon_id = {name}
data_centre = {data_centre}
listen = {listen}
peer_listen = {peer_listen}
peer_advertise = {peer_advertise}
seed_peers = {seed_peers}
peer_secret = test
change_token = test
drain_timeout_ms = 15000
log_level = INFO

[platform]
table_address = {platform}
object_address = {platform}
host_list_address = {platform}
"""


def list_hosts(cell: 'Cell') -> list[dict[str, str]]:
    """Lists the hosts of a cell, with its racks over 3 data centres."""
    hosts = []
    for shape in cell.shapes:
        for index, address in enumerate(cell.workers[shape.department]):
            rack = shape.racks[index // RACK_SIZE]
            centre = shape.data_centres[index // RACK_SIZE % 3]
            hosts.append(_host(address, 'worker', rack, centre, ''))
        for index, address in enumerate(cell.executors[shape.department]):
            centre = shape.data_centres[index % 3]
            hosts.append(
                _host(address, 'executor', '', centre, shape.service),
            )
    centres = cell.shapes[0].data_centres
    hosts.extend(
        _host(cell.listen[name], 'entry', '', centres[index % 3], '')
        for index, name in enumerate(cell.names)
    )
    return hosts


def _host(
    address: str,
    role: str,
    rack: str,
    data_centre: str,
    service: str,
) -> dict[str, str]:
    return {
        'address': address,
        'state': 'live',
        'role': role,
        'rack': rack,
        'data_centre': data_centre,
        'service': service,
    }
