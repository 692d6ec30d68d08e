"""Mutual TLS between daemons, with certificates reloaded when they change."""

import ssl
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final, TypeAlias

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.logs import log_event
from radishlift.settings.sections import SettingsError, section

_SECTION: Final = 'tls'

FileStats: TypeAlias = tuple[tuple[int, int, int], ...]


@section(_SECTION)
@dataclass(frozen=True, slots=True)
class TlsSettings:
    """PEM files for TLS between daemons; set all of them or none.

    `certificate` is the certificate chain of this daemon, with the daemon id
    as its DNS name, and `private_key` its key. `authority` has the
    certificates of the authorities that must have issued the certificates of
    peers. The files are read again when they change.
    """

    certificate: str = ''
    private_key: str = ''
    authority: str = ''

    @property
    def is_used(self) -> bool:
        """Returns whether streams use TLS."""
        return bool(self.certificate or self.private_key or self.authority)


@dataclass(frozen=True, slots=True)
class _Contexts:
    client: ssl.SSLContext
    server: ssl.SSLContext


class PeerTls:
    """TLS contexts for new streams; open streams keep their context.

    Raises `OSError` if the files can't be read at construction. If changed
    files can't be read later, the last contexts stay in use, because the
    files may be only partly written.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._file_stats = _read_file_stats(settings)
        self._contexts = _build_contexts(settings)
        self._server_context = _build_context(settings, ssl.PROTOCOL_TLS_SERVER)
        self._server_context.sni_callback = self._use_current_context

    @property
    def server_context(self) -> ssl.SSLContext:
        """Returns the context of a server.

        Each handshake switches to the context of the current files.
        """
        return self._server_context

    def client_context(self) -> ssl.SSLContext:
        """Returns the context for a new stream to a peer."""
        self._reload()
        return self._contexts.client

    def _use_current_context(
        self,
        stream: ssl.SSLObject,
        _server_name: str | None,
        _context: ssl.SSLContext,
    ) -> None:
        # The server name callback runs before certificates are exchanged.
        self._reload()
        stream.context = self._contexts.server

    def _reload(self) -> None:
        try:
            file_stats = _read_file_stats(self._settings)
        except OSError as error:
            # A file that is being replaced may be briefly absent.
            self._log_unreadable((), error)
            return
        if file_stats == self._file_stats:
            return
        try:
            self._contexts = _build_contexts(self._settings)
        except OSError as error:
            self._log_unreadable(file_stats, error)
            return
        self._file_stats = file_stats
        log_event('tls_files_reloaded')

    def _log_unreadable(self, file_stats: FileStats, error: OSError) -> None:
        # Logged once for each change of the files, not for each stream.
        if file_stats != self._file_stats:
            log_event('tls_files_unreadable', reason=repr(error))
        self._file_stats = file_stats


def load_tls(settings: TlsSettings) -> PeerTls | None:
    """Reads the files; returns None if TLS is not configured."""
    return PeerTls(settings) if settings.is_used else None


def check_tls(settings: TlsSettings) -> tuple[SettingsError, ...]:
    """Returns an error for each missing key, or for unreadable files."""
    if not settings.is_used:
        return ()
    given = {
        'certificate': settings.certificate,
        'private_key': settings.private_key,
        'authority': settings.authority,
    }
    allowed = 'required when another key of the section is set'
    missing = tuple(
        SettingsError(_SECTION, key, '', allowed)
        for key, path in given.items()
        if not path
    )
    if missing:
        return missing
    try:
        _build_contexts(settings)
    except OSError as error:
        paths = ', '.join(given.values())
        allowed = f'readable PEM files that belong together ({error})'
        return (SettingsError(_SECTION, '', paths, allowed),)
    return ()


def check_certificate_name(
    peer_certificate: Any, daemon_id: str
) -> Failure | None:
    """Returns a failure if a verified certificate lacks the daemon's id.

    `peer_certificate` is what `SSLObject.getpeercert` returns. The DNS names
    are compared exactly, so a wildcard matches no daemon.
    """
    alternatives = (peer_certificate or {}).get('subjectAltName', ())
    names = [name for kind, name in alternatives if kind == 'DNS']
    if daemon_id in names:
        return None
    reason = f'certificate of {names} is not that of {daemon_id}'
    return Failure(ErrorKind.peer_unavailable, reason)


def _read_file_stats(settings: TlsSettings) -> FileStats:
    paths = (settings.certificate, settings.private_key, settings.authority)
    stats = [Path(path).stat() for path in paths]
    return tuple(
        (stat.st_mtime_ns, stat.st_size, stat.st_ino) for stat in stats
    )


def _build_contexts(settings: TlsSettings) -> _Contexts:
    return _Contexts(
        _build_context(settings, ssl.PROTOCOL_TLS_CLIENT),
        _build_context(settings, ssl.PROTOCOL_TLS_SERVER),
    )


def _build_context(settings: TlsSettings, protocol: int) -> ssl.SSLContext:
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(settings.authority)
    # Without a password OpenSSL would prompt for one on the terminal.
    context.load_cert_chain(
        settings.certificate,
        settings.private_key,
        password='',
    )
    if protocol == ssl.PROTOCOL_TLS_SERVER:
        # In a resumed session the client would not send its certificate.
        context.num_tickets = 0
    return context


__all__ = (
    'PeerTls',
    'TlsSettings',
    'check_certificate_name',
    'check_tls',
    'load_tls',
)
