"""Random faults in sequence while a multi-partition gang starts."""

from random import Random

import pytest

from tests.partitions.gang_cell import (
    PARTITIONS,
    GangCell,
    make_gang,
    open_gang_cell,
)
from tests.standins.conditions import until
from tests.standins.tables import Fault

FAULTS_COUNT = 4
STEPS = ('ReserveGangPart', 'CommitGangPart', 'ReleaseGangPart')


async def inject_fault(gangs: GangCell, random: Random) -> None:
    """Stops the home at a random step and then injects one fault."""
    calls = gangs.call_filters[PARTITIONS[0]]
    stop = random.choice((calls.hold, calls.hold_replies, calls.cut))
    stop(random.choice(STEPS), random.choice(PARTITIONS))
    stop_count = sum(calls.call_counts.values()) + random.randrange(6)
    await gangs.until(
        lambda: (
            calls.held_calls
            or sum(calls.call_counts.values()) >= stop_count
            or gangs.cell.running() == len(PARTITIONS)
        )
    )
    partition_id = random.choice(PARTITIONS)
    match random.randrange(4):
        case 0:
            await gangs.kill(partition_id)
        case 1:
            fault = random.choice((Fault.lose_answers, Fault.lose_requests))
            gangs.owners[partition_id].store.fail_next_commits = [fault, fault]
        case 2:
            gangs.call_filters[partition_id].cut('AskGangRound', PARTITIONS[0])
    if random.randrange(2):
        calls.clear_rules()


@pytest.mark.parametrize('seed', range(1, 9))
async def test_gang_runs_once_after_random_faults(seed):
    """Guards against sequences of faults that no other test covers."""
    random = Random(seed)
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang())
        for _ in range(FAULTS_COUNT):
            await inject_fault(gangs, random)
        for calls in gangs.call_filters.values():
            calls.clear_rules()
        await gangs.check_runs_once()
        await until(lambda: not gangs.reservations_count())
