"""Pure functions that compute how much of a team's quota a holder gets."""

from collections.abc import Collection

from radishlift.core.ids import PartitionId
from radishlift.quotas.amounts import Amounts
from radishlift.quotas.ledger import TeamLedger
from radishlift.quotas.messages import ShareAsk


def fair_share(
    quota: Amounts,
    ledger: TeamLedger,
    claimants: Collection[PartitionId],
) -> Amounts:
    """Returns the quota divided by the holders that have or want a share."""
    holders = {
        holder for holder, entry in ledger.shares.items() if any(entry.share)
    }
    count = max(1, len(holders | set(claimants)))
    return (quota[0] // count, quota[1] // count, quota[2] // count)


def granted_share(
    quota: Amounts,
    ledger: TeamLedger,
    holder: PartitionId,
    ask: ShareAsk,
    waiting: frozenset[PartitionId],
) -> Amounts:
    """Returns the share of a holder after its request.

    The holder gets what it keeps, and more if it wants more and at least one
    unit is free in every limited dimension. While other holders wait, the
    share grows in whole units up to the fair share, which is rounded up to
    whole units so that no unit stays unused.
    """
    if not any(ask.wanted):
        return ask.keep
    total = ledger.total()
    held = ledger.share_of(holder)
    is_contended = bool(waiting - {holder})
    fair = fair_share(quota, ledger, waiting | {holder})
    extra = [0, 0, 0]
    for dimension, limit in enumerate(quota):
        if not limit:
            continue
        unit = ask.unit[dimension]
        free_amount = (
            limit - (total[dimension] - held[dimension]) - ask.keep[dimension]
        )
        wanted = max(ask.wanted[dimension], unit)
        if is_contended and unit:
            fair_units = -(-fair[dimension] // unit)
            free_amount = min(
                free_amount, fair_units * unit - ask.keep[dimension]
            )
            free_amount -= max(0, free_amount) % unit
        if free_amount < unit:
            return ask.keep
        extra[dimension] = max(0, min(free_amount, wanted))
    return (
        ask.keep[0] + extra[0],
        ask.keep[1] + extra[1],
        ask.keep[2] + extra[2],
    )


__all__ = ('fair_share', 'granted_share')
