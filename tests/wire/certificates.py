"""Writes certificates of test authorities to the files of TLS settings."""

from datetime import UTC, datetime
from pathlib import Path

import trustme

from radishlift.wire.tls import TlsSettings

EXPIRED = datetime(2001, 1, 1, tzinfo=UTC)


def write_files(
    folder: Path,
    authority: trustme.CA,
    *names: str,
    trusted: tuple[trustme.CA, ...] = (),
    not_after: datetime | None = None,
) -> TlsSettings:
    """Writes or replaces a certificate with these DNS names.

    Peers must have a certificate of a `trusted` authority, which is
    `authority` by default.
    """
    folder.mkdir(exist_ok=True)
    issued = authority.issue_cert(*names, not_after=not_after)
    pem = issued.cert_chain_pems[0].bytes()
    trusted_pems = [ca.cert_pem.bytes() for ca in (trusted or (authority,))]
    paths = [folder / name for name in ('chain.pem', 'key.pem', 'ca.pem')]
    contents = (pem, issued.private_key_pem.bytes(), b''.join(trusted_pems))
    for path, content in zip(paths, contents, strict=True):
        path.write_bytes(content)
    return TlsSettings(*map(str, paths))
