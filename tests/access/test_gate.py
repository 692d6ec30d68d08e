"""Tests of the decision which callers may use a queue."""

import pytest

from radishlift.access.freshness import ConfigFreshness
from radishlift.access.gate import ANYONE, Caller, KeyGate
from radishlift.access.keys import hash_key
from radishlift.access.settings import AccessSettings
from radishlift.core.clock import ManualClock
from radishlift.core.errors import ErrorKind, Outcome

HEADERS = ('Bearer k1',)
SETTINGS = AccessSettings(revoke_within_ms=5000, config_within_ms=3000)


class GateSetup:
    """A gate with a clock and the keys of a configuration."""

    def __init__(self, settings=SETTINGS) -> None:
        self.clock = ManualClock(70_000)
        self.freshness = ConfigFreshness(self.clock)
        self.gate = KeyGate(self.freshness, settings)
        self.keys = {hash_key('k1'): 'w1'}

    def admit(self, headers=HEADERS):
        return self.gate.admit(headers, self.keys.get)

    def check_again(self, caller):
        return self.gate.check_again(caller, self.keys.get)


@pytest.fixture
def gate():
    setup = GateSetup()
    setup.freshness.confirm(70_000)
    return setup


def test_known_key_identifies_its_workspace(gate):
    assert gate.admit() == Caller('w1', hash_key('k1'))
    assert 'key_hash' not in repr(gate.admit())


def test_suspended_daemon_admits_no_key_that_may_have_been_taken_away(gate):
    """Guards against requests that were read before a daemon froze."""
    admitted = gate.admit()
    gate.clock.advance(3900)
    assert gate.check_again(admitted) is None
    gate.clock.advance(200)
    for failure in (gate.admit(), gate.check_again(admitted)):
        assert failure.kind is ErrorKind.configuration_outdated
        assert failure.answer.outcome is Outcome.not_run
        assert failure.answer.retry_after_ms
    assert not gate.gate.can_admit
    assert gate.check_again(ANYONE) is None


def test_key_that_was_taken_away_before_its_job_is_stored_is_refused(gate):
    admitted = gate.admit()
    gate.keys.clear()
    assert gate.check_again(admitted).kind is ErrorKind.unauthenticated


def test_key_that_may_be_new_is_not_refused_for_good(gate):
    """Guards against a daemon that refuses keys that it could not learn."""
    gate.clock.advance(2600)
    unknown = ('Bearer k2',)
    assert gate.admit(unknown).kind is ErrorKind.unauthenticated
    gate.clock.advance(200)
    assert gate.admit(unknown).kind is ErrorKind.configuration_outdated
    assert gate.admit().workspace == 'w1'


def test_daemon_that_never_read_a_configuration_admits_no_key():
    gate = GateSetup()
    assert gate.admit().kind is ErrorKind.configuration_outdated


def test_age_does_not_matter_without_bounds():
    gate = GateSetup(AccessSettings())
    assert gate.admit().workspace == 'w1'
    unknown = gate.admit(('Bearer k2',))
    assert unknown.kind is ErrorKind.unauthenticated


def test_earlier_confirmation_does_not_replace_a_later_one(gate):
    gate.freshness.confirm(60_000)
    assert gate.freshness.age_ms == 0
