import asyncio

import pytest
import trustme

from tests.system.cell import Cell
from tests.system.invariants import check_all, count_outcomes
from tests.system.shapes import SHAPES
from tests.system.traffic import (
    LoadOptions,
    collect_evidence,
    send_traffic,
    unfinished_jobs,
)
from tests.wire.certificates import write_files

pytestmark = pytest.mark.system


async def reports_dead_daemon(cell, daemon: str) -> bool:
    """Returns whether a surviving daemon lists the event of a dead daemon."""
    status, body = await cell.get('d1', '/v1/events?event=daemon_dead')
    assert status == 200, body
    return any(
        event['past']['fields'].get('daemon') == daemon
        for event in body['events']
    )


def write_certificates(folder):
    """Writes a certificate for each daemon; returns the settings."""
    authority = trustme.CA()
    for number in range(1, 8):
        write_files(folder / f'd{number}', authority, f'd{number}')
    return (
        '\n[tls]\n'
        f'certificate = {folder}/{{name}}/chain.pem\n'
        f'private_key = {folder}/{{name}}/key.pem\n'
        f'authority = {folder}/{{name}}/ca.pem\n'
    )


@pytest.mark.parametrize('has_tls', [False, True], ids=['plaintext', 'tls'])
async def test_requests_and_jobs_survive_a_killed_daemon(tmp_path, has_tls):
    """Guards against lost or repeated work when one of 7 daemons is killed."""
    extra = write_certificates(tmp_path) if has_tls else ''
    cell = Cell(tmp_path, tuple(SHAPES.values()), extra_settings=extra)
    options = LoadOptions(requests_per_s=100, jobs_per_s=8, duration_ms=5_000)

    async def kill_daemon() -> None:
        await asyncio.sleep(options.duration_ms / 2000)
        await cell.kill_daemon('d3')

    try:
        await cell.start()
        results = await send_traffic(cell, options, kill_daemon)
        open_jobs = await unfinished_jobs(cell, results, timeout_s=30)
        evidence = await collect_evidence(cell, results, open_jobs, ['d3'])
        _, report = await cell.get('d1', '/v1/report/burn')
        await cell.wait_for(lambda: reports_dead_daemon(cell, 'd3'), 20)
    finally:
        await cell.stop()
    outcomes = count_outcomes(results)
    violations = check_all(evidence)
    assert not violations
    assert outcomes['answered'] > 0
    assert outcomes['job_accepted'] > 0
    totals = {
        line['objective']: line['windows'][0]['total']
        for line in report['lines']
    }
    # Guards against objectives whose events no daemon records.
    assert all(totals.values()), totals
