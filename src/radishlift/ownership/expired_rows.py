"""Deletes the rows of dead daemons that did not delete them."""

from typing import Final

from radishlift.core.errors import Failure
from radishlift.core.logs import log_event
from radishlift.membership.daemon_rows import DAEMONS_TABLE
from radishlift.ownership.fleet_view import FleetView
from radishlift.services.api import (
    Condition,
    TableStore,
    Transaction,
    Write,
)

# Entry hosts are replaced continually. Without expiry, the table that each
# daemon reads every second would grow without bound. An hour gives every daemon
# enough time to collect its own evidence of death, which requires the row.
_ROW_EXPIRY_MS: Final = 3_600_000


async def delete_expired_row(store: TableStore, view: FleetView) -> None:
    """Deletes a row of a dead daemon that has not changed for an hour.

    The deletion is conditional, so it has no effect on a row that a new
    incarnation writes concurrently. Each call deletes at most one row.
    """
    for daemon_id, version in view.dead_rows(_ROW_EXPIRY_MS).items():
        outcome = await store.commit(
            Transaction(
                (Condition(DAEMONS_TABLE, daemon_id, version),),
                (Write(DAEMONS_TABLE, daemon_id, None),),
            )
        )
        reason = outcome.reason if isinstance(outcome, Failure) else ''
        log_event('daemon_row_expired', daemon=daemon_id, failure=reason)
        return


__all__ = ('delete_expired_row',)
