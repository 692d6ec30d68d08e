"""Tests of the decisions about a store without answers."""

import pytest

from radishlift.outages.contact import StoreContact
from radishlift.outages.settings import OutageSettings

SETTINGS = OutageSettings()


@pytest.fixture
def contact():
    contact = StoreContact(SETTINGS)
    contact.record_answer(1000)
    return contact


def test_other_answers_end_the_doubt_about_a_call(contact):
    """Guards against false alarms: one answer may be lost or late."""
    assert contact.probe_due_in_ms(900, 150, 1100) == 50
    contact.record_answer(1100)
    assert contact.probe_due_in_ms(900, 150, 1200) == 50
    assert not contact.probe_due_in_ms(900, 150, 1250)


def test_answer_during_a_probe_outweighs_its_failure(contact):
    contact.record_answer(1300)
    contact.record_failed_probe(1200, 1850)
    assert not contact.is_lost


def test_outage_begins_with_the_last_answer(contact):
    contact.record_failed_probe(1200, 1850)
    assert contact.is_lost
    assert contact.outage_ms(2000) == 1000
    contact.record_answer(2500)
    assert not contact.is_lost


def test_store_that_never_answered_is_lost_from_its_probe_on():
    contact = StoreContact(SETTINGS)
    contact.record_failed_probe(1200, 1850)
    assert contact.outage_ms(2000) == 150


def test_suspended_process_does_not_judge_the_store(contact):
    """Guards against daemons that refuse callers as they wake up."""
    assert not contact.is_late(1200, 1850)
    assert contact.is_late(1200, 5000)


def test_probes_grow_rarer_with_the_age_of_the_outage(contact):
    contact.record_failed_probe(1200, 1850)
    gaps_ms = [contact.probe_gap_ms(now_ms) for now_ms in (1850, 7000, 60_000)]
    assert gaps_ms == [150, 300, 500]
