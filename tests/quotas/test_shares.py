"""Tests of quota shares with lost, late and repeated messages."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from radishlift.core.ids import ConfigVersion, Epoch, PartitionId
from radishlift.quotas import holder, home
from radishlift.quotas.ledger import QuotaLedger
from radishlift.quotas.messages import ShareAsk, SyncShares
from tests.quotas.model import HOME, TEAM, CellModel, HolderModel

HOLDERS_COUNT = 3
STEPS = (
    *('queue', 'start', 'start', 'start', 'end', 'end', 'ask', 'ask', 'ask'),
    *('serve', 'serve', 'serve', 'deliver', 'deliver', 'deliver'),
    *('time_out', 'repeat', 'lose', 'replace', 'replace_home'),
    *('quota', 'wait'),
)
STEPS_COUNT = 300


def make_cell(quota, holder_type=holder.ShareHolder, home_type=home.TeamHome):
    holders = [
        HolderModel(PartitionId(f'p{number}'), holder_type)
        for number in range(HOLDERS_COUNT)
    ]
    return CellModel(holders, quota, home_type)


def run_holder_step(model, step, number):
    """Runs a step of one holder; returns whether a task was started."""
    match step:
        case 'queue':
            model.queued += 1 + number % 4
        case 'start':
            return model.start()
        case 'end' if model.used:
            model.used -= 1
    return False


def run_message_step(cell, model, step, number):
    """Runs a step of the messages; a repeated one arrives after the first."""
    if step == 'ask':
        cell.send_request(model)
    elif step == 'deliver' and cell.replies:
        cell.deliver(number)
    if not cell.requests:
        return
    match step:
        case 'serve':
            cell.serve(number)
        case 'time_out':
            cell.time_out(number)
        case 'repeat':
            cell.requests.append(cell.requests[number % len(cell.requests)])
        case 'lose':
            cell.lose(number)


def run_cell_step(cell, model, step, number):
    """Runs a takeover, a change of the quota, or a wait."""
    match step:
        case 'replace':
            model.replace(cell.document)
        case 'replace_home':
            cell.replace_home()
        case 'quota':
            cell.change_quota(1 + number % 12)
        case 'wait':
            cell.now_ms += 100 * number


def run_step(cell, step, number):
    """Runs one step; returns whether a task was started."""
    model = cell.holders[number % HOLDERS_COUNT]
    run_message_step(cell, model, step, number)
    run_cell_step(cell, model, step, number)
    return run_holder_step(model, step, number)


def run_steps(cell, seed, steps_count=STEPS_COUNT):
    """Runs random steps; returns whether a start exceeded the quota."""
    random = Random(seed)
    cell.settle(3)
    for _ in range(steps_count):
        step = random.choice(STEPS)
        is_start = run_step(cell, step, random.randrange(20))
        if is_start and cell.used() > cell.quota:
            return True
    return False


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(), st.integers(1, 12))
def test_no_start_exceeds_the_quota(seed, quota):
    """Guards against two partitions that use the same part of a quota."""
    assert not run_steps(make_cell(quota), seed)


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.integers(), st.integers(1, 12))
def test_no_share_is_lost_for_ever(seed, quota):
    """Guards against a share that stays with a dead or idle holder."""
    check_quota_is_usable(seed, quota)


@pytest.mark.parametrize(
    'seed', [12, 23, 249, 404, 439, 446, 460, 476, 526, 695]
)
def test_ended_demand_holds_back_no_other(seed):
    """Guards against shares kept free for a holder that wants no more.

    In these runs a demand ends after the home has refused it.
    """
    check_quota_is_usable(seed, 4)


def check_quota_is_usable(seed, quota):
    """Checks that one holder gets the whole quota after any faults."""
    cell = make_cell(quota)
    run_steps(cell, seed)
    for one in cell.holders:
        one.used = 0
        one.queued = 0
    cell.settle()
    cell.holders[0].queued = 2 * cell.quota
    cell.settle()
    assert cell.used() == cell.quota


class TakesAnyAnswer(holder.ShareHolder):
    """Also applies answers to earlier requests."""

    def apply_answer(self, asks, shares, now_ms):
        for ask in asks:
            self._holdings[ask.team].pending = ask
            self._holdings[ask.team].share = ask.keep
        super().apply_answer(asks, shares, now_ms)


class ForgetsUse(holder.ShareHolder):
    """Reports less to homes than a new owner has in use."""

    def plan_asks(self, now_ms, used, demands):
        for holding in self._holdings.values():
            holding.share = (0, 0, 0)
        return super().plan_asks(now_ms, used, demands)


class TellsUnjournaled(home.TeamHome):
    """Sends shares that a new owner of the home does not find journaled."""

    def answer(self, request, document, partitions, now_ms):
        answer = super().answer(request, document, partitions, now_ms)
        if any(ask.wanted[0] for ask in request.asks):
            answer.records.clear()
        return answer


@pytest.mark.parametrize(
    ('holder_type', 'home_type'),
    [
        (TakesAnyAnswer, home.TeamHome),
        (ForgetsUse, home.TeamHome),
        (holder.ShareHolder, TellsUnjournaled),
    ],
)
def test_broken_variants_exceed_the_quota(holder_type, home_type):
    """Checks that the test of the quota detects broken variants."""
    assert any(
        run_steps(make_cell(4, holder_type, home_type), seed)
        for seed in range(300)
    )


def test_late_request_changes_nothing():
    """Guards against an old message that revokes what was granted since."""
    cell = make_cell(9)
    cell.settle(2)
    first = cell.holders[0]
    first.make_message(cell.now_ms)
    first.queued = 9
    cell.settle(2)
    late = SyncShares(
        HOME, first.name, Epoch(1), 1, ConfigVersion(1),
        (ShareAsk(TEAM, (0, 0, 0), 1),),
    )  # fmt: skip
    before = cell.ledger.dump()
    names = [model.name for model in cell.holders]
    answer = cell.home.answer(late, cell.document, names, cell.now_ms)
    assert first.used == 9
    assert not answer.shares
    assert cell.ledger.dump() == before


def test_demand_moves_the_whole_quota_to_one_partition():
    """Guards against a quota that a team in one partition can't use."""
    cell = make_cell(9)
    for number in range(HOLDERS_COUNT):
        cell.holders[number].queued = 20
        cell.settle()
        assert cell.used() == 9
        cell.holders[number].queued = 0
        assert cell.holders[number].used == 9
        cell.holders[number].used = 0


def test_waiting_partitions_share_a_quota_evenly():
    """Guards against a partition that keeps a quota for which others wait."""
    cell = make_cell(10)
    cell.holders[0].queued = 1_000
    cell.settle()
    assert cell.holders[0].used == 10
    for model in cell.holders[1:]:
        model.queued = 1_000
    used = [0 for _ in cell.holders]
    for _ in range(200):
        cell.settle(1)
        for number, model in enumerate(cell.holders):
            used[number] += model.used
            model.used -= min(1, model.used)
    assert min(used) * HOLDERS_COUNT > sum(used) / 2, used


def test_quota_below_use_starts_nothing_and_use_is_kept():
    """Guards against starts within a share that is larger than the quota."""
    cell = make_cell(9)
    cell.holders[0].queued = 4
    cell.holders[1].queued = 4
    cell.settle()
    cell.change_quota(2)
    cell.holders[0].used -= 3
    for model in cell.holders:
        model.queued = 9
        assert not model.start()
    assert cell.used() == 5


def test_new_limit_grants_nothing_until_all_use_is_known():
    """Guards against a new limit that ignores tasks started without it."""
    cell = make_cell(0)
    for _ in range(2):
        for model in cell.holders:
            model.queued = 5
            starts = [model.start() for _ in range(5)]
            assert all(starts)
        assert cell.used() == 15
        cell.change_quota(4)
        cell.send_request(cell.holders[0])
        cell.serve(0)
        cell.deliver(0)
        for model in cell.holders:
            model.queued = 5
            assert not model.start()
        cell.settle()
        assert cell.used() == 15
        for model in cell.holders:
            model.used = 0
        # Holders stay within their fair shares for some seconds.
        cell.settle(150)
        assert cell.used() == 4
        cell.change_quota(0)
        for model in cell.holders:
            model.used = 0


def test_snapshot_holds_the_ledger():
    """Guards against a new owner that grants again what is granted."""
    cell = make_cell(5)
    cell.holders[0].queued = 5
    cell.settle()
    reloaded = QuotaLedger()
    reloaded.load(cell.ledger.dump())
    assert reloaded.dump() == cell.ledger.dump()
    assert reloaded.teams == cell.ledger.teams
