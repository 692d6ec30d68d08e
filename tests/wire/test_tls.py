import asyncio
import ssl

import pytest
import trustme
from msgpack import packb

from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address, DaemonId
from radishlift.wire.network import PeerNetwork, RefusedConnection
from radishlift.wire.tls import TlsSettings, check_tls, load_tls
from tests.wire.certificates import EXPIRED, write_files
from tests.wire.test_network import Echo, _echo

A = DaemonId('a')
B = DaemonId('b')
TIMEOUT_S = 5


@pytest.fixture(scope='module')
def authorities():
    return trustme.CA(), trustme.CA()


@pytest.fixture
async def start(unused_tcp_port_factory):
    """Starts the networks of daemons a and b with the given TLS settings."""
    networks = []

    async def start_pair(*settings):
        addresses = {
            name: Address(f'127.0.0.1:{unused_tcp_port_factory()}')
            for name in (A, B)
        }
        for name, tls_settings in zip(addresses, settings, strict=True):
            tls = load_tls(tls_settings)
            network = PeerNetwork(name, secret='test', tls=tls)
            network.set_peers(addresses)
            network.register(Echo, _echo)
            await network.start(addresses[name])
            networks.append(network)
        return (*networks, addresses)

    yield start_pair
    for network in networks:
        await network.stop()


async def assert_no_stream(network, peer):
    """Checks that a call fails without evidence that the peer is dead."""
    answer = await network.call(peer, Echo(1), 2000)
    assert isinstance(answer, Failure)
    assert not isinstance(answer, RefusedConnection)


async def test_streams_use_tls_both_ways(tmp_path, authorities, start):
    """Guards against one direction that stays in plaintext."""
    a, b, _ = await start(
        write_files(tmp_path / 'a', authorities[0], 'a'),
        write_files(tmp_path / 'b', authorities[0], 'b'),
    )
    large = Echo(1)
    assert await a.call(B, large, 2000) == large
    assert await b.call(A, large, 2000) == large
    writer = a._outgoing[B]._writer
    assert writer.get_extra_info('ssl_object').version() == 'TLSv1.3'
    ended = asyncio.Event()
    a.stream_closed.subscribe(lambda _: ended.set())
    await b.stop()
    await asyncio.wait_for(ended.wait(), TIMEOUT_S)
    refused = await a.call(B, large, 2000)
    assert isinstance(refused, RefusedConnection)


@pytest.mark.parametrize(
    ('names', 'is_other_authority', 'not_after'),
    [
        (('b',), True, None),
        (('b',), False, EXPIRED),
        (('a',), False, None),
        (('c', 'd'), False, None),
        (('*.b',), False, None),
    ],
    ids=['authority', 'expired', 'name', 'names', 'wildcard'],
)
async def test_wrong_certificates_are_refused_on_both_sides(
    tmp_path, authorities, start, names, is_other_authority, not_after
):
    """Guards against a daemon that impersonates another."""
    known, other = authorities
    a, b, _ = await start(
        write_files(tmp_path / 'a', known, 'a'),
        write_files(
            tmp_path / 'b',
            other if is_other_authority else known,
            *names,
            trusted=(known,),
            not_after=not_after,
        ),
    )
    handled = []

    async def record_sender(sender, echo):
        handled.append(sender)
        return echo

    for network in (a, b):
        network.register(Echo, record_sender)
    await assert_no_stream(a, B)
    await assert_no_stream(b, A)
    assert not handled


async def test_plaintext_and_tls_do_not_connect(tmp_path, authorities, start):
    """Guards against a fallback to plaintext, in either direction."""
    secured, plain, _ = await start(
        write_files(tmp_path / 'a', authorities[0], 'a'),
        TlsSettings(),
    )
    await assert_no_stream(secured, B)
    await assert_no_stream(plain, A)


@pytest.mark.parametrize('has_certificate', [False, True])
async def test_client_without_certificate_is_not_served(
    tmp_path, authorities, start, has_certificate
):
    """Guards against a server that requires no client certificate."""
    files = [
        write_files(tmp_path / daemon, authorities[0], daemon)
        for daemon in 'ab'
    ]
    _, _, addresses = await start(*files)
    context = ssl.create_default_context(cafile=files[0].authority)
    context.check_hostname = False
    if has_certificate:
        context.load_cert_chain(files[0].certificate, files[0].private_key)
    host, _, port = addresses[B].rpartition(':')
    reader, writer = await asyncio.open_connection(
        host, int(port), ssl=context, server_hostname=''
    )
    writer.write(packb([1, 0, 0, A, 'test']))
    writer.write(packb([1, 2, 1, 'test_echo', {'number': 1}]))
    try:
        received = await asyncio.wait_for(reader.read(1), TIMEOUT_S)
    except ssl.SSLError:
        received = b''
    assert bool(received) is has_certificate
    writer.close()


async def test_files_are_renewed_without_a_restart(
    tmp_path, authorities, start
):
    """Guards against a daemon that keeps using replaced certificates."""
    before, after = authorities
    folders = {daemon: tmp_path / daemon for daemon in 'ab'}
    files = [write_files(folders[daemon], before, daemon) for daemon in 'ab']
    a, b, _ = await start(*files)
    assert await a.call(B, Echo(1), 2000) == Echo(1)
    for daemon in 'ab':
        write_files(folders[daemon], after, daemon)
    # The open stream is kept; new streams use the new files.
    assert await a.call(B, Echo(2), 2000) == Echo(2)
    assert await b.call(A, Echo(3), 2000) == Echo(3)
    a._outgoing[B].close()
    assert await a.call(B, Echo(4), 2000) == Echo(4)
    write_files(folders['a'], before, 'a', trusted=(after,))
    a._outgoing[B].close()
    await assert_no_stream(a, B)
    write_files(folders['a'], after, 'a')
    a._outgoing.clear()
    assert await a.call(B, Echo(5), 2000) == Echo(5)


@pytest.mark.parametrize('name', ['chain.pem', 'key.pem', 'ca.pem'])
@pytest.mark.parametrize('content', [b'', b'half', None])
async def test_unreadable_files_leave_the_last_ones_in_use(
    tmp_path, authorities, start, name, content
):
    """Guards against an outage while the files are being replaced."""
    files = [
        write_files(tmp_path / daemon, authorities[0], daemon)
        for daemon in 'ab'
    ]
    a, b, _ = await start(*files)
    for daemon in 'ab':
        path = tmp_path / daemon / name
        if content is None:
            path.unlink()
        else:
            path.write_bytes(content)
    assert await a.call(B, Echo(1), 2000) == Echo(1)
    assert await b.call(A, Echo(2), 2000) == Echo(2)


def test_invalid_settings_are_reported(tmp_path, authorities):
    """Guards against a settings mistake that starts a daemon in plaintext."""
    files = write_files(tmp_path, authorities[0], 'a')
    assert check_tls(TlsSettings()) == ()
    assert check_tls(files) == ()
    partial = check_tls(TlsSettings(certificate=files.certificate))
    assert [error.key for error in partial] == ['private_key', 'authority']
    other = write_files(tmp_path / 'other', authorities[0], 'b')
    mixed = TlsSettings(files.certificate, other.private_key, files.authority)
    absent = TlsSettings('absent.pem', files.private_key, files.authority)
    for wrong in (mixed, absent):
        errors = check_tls(wrong)
        assert len(errors) == 1
        assert wrong.certificate in str(errors[0])


async def test_failed_handshake_is_reported_as_not_sent(
    tmp_path, authorities, start
):
    """Guards against a handshake failure that counts as an unknown outcome."""
    a, _, _ = await start(
        write_files(tmp_path / 'a', authorities[0], 'a'),
        write_files(tmp_path / 'b', authorities[1], 'b'),
    )
    answer = await a.call(B, Echo(1), 2000)
    assert answer.kind is ErrorKind.peer_unavailable
