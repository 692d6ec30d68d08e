"""Opens the streams between daemons, in plaintext or with TLS."""

import asyncio
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, TypeAlias

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.core.logs import log_event
from radishlift.wire.tls import PeerTls, check_certificate_name

_CONNECT_TIMEOUT_MS: Final = 1000
_HANDSHAKE_TIMEOUT_S: Final = 2
# An unresponsive peer doesn't confirm the shutdown of a TLS stream.
_SHUTDOWN_TIMEOUT_S: Final = 1

Streams: TypeAlias = tuple[asyncio.StreamReader, asyncio.StreamWriter]
AcceptHandler: TypeAlias = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[None],
]


@dataclass(frozen=True, slots=True)
class RefusedConnection(Failure):
    """The host is reachable, but no process listens at the address."""

    address: Address


class PeerTransport:
    """Opens and accepts streams.

    Under TLS each side verifies that the certificate names the other daemon.
    """

    def __init__(self, tls: PeerTls | None = None) -> None:
        self._tls = tls

    async def dial(
        self,
        daemon_id: DaemonId,
        address: Address,
    ) -> Streams | Failure:
        """Connects to a daemon, and verifies its certificate under TLS."""
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_MS / 1000):
                streams = await self._connect(daemon_id, address)
        except ConnectionRefusedError:
            reason = f'{address} refused the connection'
            kind = ErrorKind.peer_unavailable
            return RefusedConnection(kind, reason, address)
        except ssl.SSLError as error:
            log_event('peer_tls_failed', peer=daemon_id, reason=error)
            reason = f'{address} failed the TLS handshake: {error}'
            return Failure(ErrorKind.peer_unavailable, reason)
        except (OSError, TimeoutError, ValueError) as error:
            reason = f'{address} is unreachable: {error!r}'
            return Failure(ErrorKind.peer_unavailable, reason)
        refusal = self.check_peer_certificate(streams[1], daemon_id)
        if refusal is None:
            return streams
        log_event('peer_tls_failed', peer=daemon_id, reason=refusal.reason)
        streams[1].close()
        return refusal

    async def listen(
        self, address: Address, accept: AcceptHandler
    ) -> asyncio.Server:
        """Listens for daemons.

        Under TLS `accept` is called only after a successful handshake.
        """
        host, _, port = address.rpartition(':')
        if self._tls is None:
            return await asyncio.start_server(accept, host, int(port))
        return await asyncio.start_server(
            accept,
            host,
            int(port),
            ssl=self._tls.server_context,
            ssl_handshake_timeout=_HANDSHAKE_TIMEOUT_S,
            ssl_shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )

    def check_peer_certificate(
        self,
        writer: asyncio.StreamWriter,
        daemon_id: DaemonId,
    ) -> Failure | None:
        """Returns a failure if the certificate is not that of the daemon.

        Without TLS it always returns None.
        """
        if self._tls is None:
            return None
        return check_certificate_name(
            writer.get_extra_info('peercert'), daemon_id
        )

    async def _connect(self, daemon_id: DaemonId, address: Address) -> Streams:
        host, _, port = address.rpartition(':')
        if self._tls is None:
            return await asyncio.open_connection(host, int(port))
        return await asyncio.open_connection(
            host,
            int(port),
            ssl=self._tls.client_context(),
            server_hostname=daemon_id,
            ssl_shutdown_timeout=_SHUTDOWN_TIMEOUT_S,
        )


__all__ = ('PeerTransport', 'RefusedConnection', 'Streams')
