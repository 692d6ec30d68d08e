"""Choice of a ready daemon for each call, like the platform's load balancer."""

import asyncio
from itertools import count
from typing import Final

from aiohttp import ClientError, ClientSession, ClientTimeout

from radishlift.core.ids import Address

_CHECK_INTERVAL_S: Final = 0.2
_CHECK_TIMEOUT: Final = ClientTimeout(total=1)
_READY_STATUS: Final = 200


class Balancer:
    """Distributes calls round robin over daemons whose `/ready` returns 200.

    `weights` sets each daemon's share of the calls. A daemon that refuses a
    connection gets none until its next successful check.
    """

    def __init__(
        self,
        session: ClientSession,
        addresses: tuple[Address, ...],
        weights: tuple[int, ...] = (),
    ) -> None:
        self._session = session
        self._addresses = addresses
        self._ready: set[Address] = set(addresses)
        call_shares = weights or (1,) * len(addresses)
        self._cycle = tuple(
            address
            for address, share in zip(addresses, call_shares, strict=True)
            for _ in range(share)
        )
        self._next_index = count()

    async def run(self) -> None:
        """Checks all daemons until cancelled."""
        while True:
            checks = [self._check(address) for address in self._addresses]
            await asyncio.gather(*checks)
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def pick(self) -> Address | None:
        """Returns the next ready daemon, or None when there is none."""
        for _ in self._cycle:
            address = self._cycle[next(self._next_index) % len(self._cycle)]
            if address in self._ready:
                return address
        return None

    def mark_unready(self, address: Address) -> None:
        """Excludes a daemon that refused a connection until its next check."""
        self._ready.discard(address)

    async def _check(self, address: Address) -> None:
        url = f'http://{address}/ready'
        try:
            async with self._session.get(url, timeout=_CHECK_TIMEOUT) as reply:
                is_ready = reply.status == _READY_STATUS
        except (ClientError, TimeoutError):
            is_ready = False
        if is_ready:
            self._ready.add(address)
        else:
            self._ready.discard(address)


__all__ = ('Balancer',)
