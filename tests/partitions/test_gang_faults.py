"""Random faults, one after the other, while a gang over partitions starts."""

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


async def disturb(gangs: GangCell, random: Random) -> None:
    """Stops the home at a random step, and then makes one fault happen."""
    wire = gangs.wires[PARTITIONS[0]]
    stop = random.choice((wire.hold, wire.hold_replies, wire.cut))
    stop(random.choice(STEPS), random.choice(PARTITIONS))
    seen_count = sum(wire.seen.values()) + random.randrange(6)
    await gangs.until(
        lambda: (
            wire.held
            or sum(wire.seen.values()) >= seen_count
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
            gangs.wires[partition_id].cut('AskGangRound', PARTITIONS[0])
    if random.randrange(2):
        wire.heal()


@pytest.mark.parametrize('seed', range(1, 9))
async def test_gang_runs_once_after_random_faults(seed):
    """Guards against orders of faults that no other test has."""
    random = Random(seed)
    async with open_gang_cell() as gangs:
        await gangs.submit(make_gang())
        for _ in range(FAULTS_COUNT):
            await disturb(gangs, random)
        for wire in gangs.wires.values():
            wire.heal()
        await gangs.check_runs_once()
        await until(lambda: not gangs.holds_count())
