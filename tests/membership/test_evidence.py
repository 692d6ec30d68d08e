import pytest

from radishlift.core.ids import DaemonId, Incarnation
from radishlift.membership.daemon_table import DaemonScan
from radishlift.membership.evidence import Evidence
from tests.membership.fleet import daemon_row, member

D1 = DaemonId('d1')
OLD = (D1, Incarnation('old'))
NEW = (D1, Incarnation('new'))


def scan(number: int, incarnation: str) -> DaemonScan:
    return DaemonScan(number, {D1: daemon_row(member('d1', incarnation))})


def test_replaced_incarnation_is_dead():
    """Guards against a wait of 10 s after a quick restart."""
    evidence = Evidence()
    evidence.observe_scan(scan(1, 'old'))
    evidence.observe_scan(scan(2, 'new'))
    assert evidence.is_dead(OLD, 2)
    assert not evidence.is_dead(NEW, 2)


def test_old_scan_is_no_evidence_against_a_newer_incarnation():
    """Guards against evidence from a row that is older than the claim."""
    evidence = Evidence()
    evidence.observe_scan(scan(1, 'old'))
    assert not evidence.is_dead(NEW, 1)
    evidence.observe_scan(scan(2, 'new'))
    assert not evidence.is_dead(NEW, 2)
    assert evidence.is_dead(OLD, 2)


def test_incarnation_never_seen_is_dead_after_a_later_scan():
    """Guards against a new daemon that never gets evidence of the death."""
    evidence = Evidence()
    evidence.observe_scan(scan(1, 'new'))
    assert not evidence.is_dead(OLD, 2)
    evidence.observe_scan(scan(2, 'new'))
    assert not evidence.is_dead(OLD, 2)
    evidence.observe_scan(scan(3, 'new'))
    assert evidence.is_dead(OLD, 3)


@pytest.mark.parametrize('was_listed', [True, False])
def test_host_is_removed_only_after_it_was_listed(was_listed):
    """Guards against evidence from a host list without a new host yet."""
    evidence = Evidence()
    described = member('d1', 'old')
    if was_listed:
        evidence.observe_hosts([described], frozenset((described.listen,)))
    evidence.observe_hosts([described], frozenset(('10.0.0.9:80',)))
    assert evidence.is_dead(OLD, 0) is was_listed


def test_refused_connection_does_not_prove_an_end():
    """Guards against a network that rejects connections to a live daemon."""
    evidence = Evidence()
    evidence.observe_scan(scan(1, 'old'))
    evidence.observe_refusal(member('d1', 'old'))
    assert evidence.is_dead(OLD, 1)
    assert not evidence.has_ended(OLD, 1)
    evidence.observe_scan(scan(2, 'new'))
    assert evidence.has_ended(OLD, 2)


def test_host_that_left_before_this_daemon_began_has_ended():
    """Guards against slots and tasks that wait for a gone daemon for ever."""
    evidence = Evidence()
    described = member('d1', 'old')
    evidence.observe_refusal(described)
    for number in range(1, 50):
        evidence.observe_hosts([described], frozenset(('10.0.0.9:80',)))
        evidence.observe_scan(scan(number, 'old'))
    assert evidence.has_ended(OLD, 60)
