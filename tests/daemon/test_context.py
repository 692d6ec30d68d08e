import time

from radishlift.core.ids import Address
from radishlift.daemon.context import DaemonContext
from radishlift.services.host_knowledge import SendVerdict
from radishlift.settings.loader import load_settings

TARGET = Address('10.0.0.1:8080')
SUSPENDED_NS = 60_000_000_000
SETTINGS = """\
[daemon]
daemon_id = d1
data_centre = pinetown
listen = 127.0.0.1:7001
peer_listen = 127.0.0.1:7101
[platform]
table_address = 127.0.0.1:7000
object_address = 127.0.0.1:7000
host_list_address = 127.0.0.1:7000
"""


async def test_host_list_read_before_a_suspension_permits_no_new_work(
    tmp_path, monkeypatch
):
    """Guards against new work for a target that left during a suspension."""
    path = tmp_path / 'd1.ini'
    path.write_text(SETTINGS, encoding='utf-8')
    context = DaemonContext(load_settings(path))
    try:
        knowledge = context.hosts.knowledge
        knowledge.update((), context.clock.monotonic_ms())
        assert knowledge.check(TARGET) is SendVerdict.allowed
        suspend_host(monkeypatch)
        assert knowledge.check(TARGET) is SendVerdict.outdated
    finally:
        await context.session.close()


def suspend_host(monkeypatch) -> None:
    """Advances only the clock that counts a suspension."""
    read = time.clock_gettime_ns

    def read_after_suspension(clock_id):
        is_counted = clock_id == time.CLOCK_BOOTTIME
        return read(clock_id) + is_counted * SUSPENDED_NS

    monkeypatch.setattr(time, 'clock_gettime_ns', read_after_suspension)
