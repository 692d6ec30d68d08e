import random

import pytest

from radishlift.config.local_config import LocalConfig
from radishlift.config.messages import ConfigUpdate
from radishlift.config.snapshot import snapshot_of
from radishlift.config.text import MAX_DOCUMENT_BYTES
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion
from radishlift.wire.frames import Frame, FrameKind, encode_frame
from radishlift.wire.messages import encode_message
from tests.config.documents import TEXT, make_document

LARGE = TEXT + ''.join(
    f'[team:many{number}]\ndepartment = rug-depot\n' for number in range(40)
)


def version_text(version: int) -> str:
    """Adds team `t<version>` and removes it four versions later."""
    teams = range(max(2, version - 3), version + 1)
    added = ''.join(
        f'[team:t{team}]\ndepartment = rug-depot\ncpu_milli = {version}\n'
        for team in teams
    )
    return LARGE + added


def make_versions(count: int):
    return [
        make_document(version_text(version), version)
        for version in range(1, count + 1)
    ]


def apply_documents(local: LocalConfig, documents) -> None:
    for document in documents:
        local.replace_if_newer(snapshot_of(document))


@pytest.mark.parametrize('seed', range(20))
def test_repeated_and_reordered_updates_never_lower_the_version(seed):
    """Guards against a document that differs from the one of its version.

    Updates between any two versions arrive repeatedly and in any order.
    """
    documents = make_versions(12)
    sender = LocalConfig()
    sender.replace_if_newer(snapshot_of(documents[0]))
    updates = []
    for document in documents[1:]:
        apply_documents(sender, [document])
        updates.extend(
            sender.update_from(ConfigVersion(base))
            for base in range(1, document.version)
        )
    assert not any(update.text for update in updates)
    rng = random.Random(seed)
    shuffled = updates + rng.choices(updates, k=20)
    rng.shuffle(shuffled)
    receiver = LocalConfig()
    receiver.replace_if_newer(snapshot_of(documents[0]))
    for update in shuffled:
        before = receiver.version
        receiver.apply(update)
        assert receiver.version >= before
        assert receiver.document == documents[receiver.version - 1]
    assert receiver.version == 12


def test_an_update_has_only_the_changed_sections():
    """Guards against sending the full document for each change."""
    local = LocalConfig()
    local.replace_if_newer(snapshot_of(make_document(LARGE, 1)))
    apply_documents(
        local,
        [make_document(f'{LARGE}[team:x]\ndepartment = rug-depot\n', 2)],
    )
    update = local.update_from(ConfigVersion(1))
    assert set(update.sections) == {'team:x'}
    assert not update.text


@pytest.mark.parametrize('base', [0, 1])
def test_a_peer_from_before_the_known_versions_gets_the_full_text(base):
    """Guards against an update that lacks changes of versions not recorded."""
    local = LocalConfig()
    local.replace_if_newer(snapshot_of(make_document(TEXT, 5)))
    update = local.update_from(ConfigVersion(base))
    assert make_document(update.text, 5) == local.document


def test_forgotten_versions_are_sent_as_full_text():
    """Guards against an update that lacks changes no longer recorded."""
    local = LocalConfig()
    local.replace_if_newer(snapshot_of(make_document(TEXT, 1)))
    texts = (TEXT, TEXT.replace('240000', '250000'))
    for version in range(2, 300):
        apply_documents(local, [make_document(texts[version % 2], version)])
    assert local.update_from(ConfigVersion(1)).text
    assert not local.update_from(ConfigVersion(298)).text


def test_an_update_from_a_later_base_is_a_conflict():
    local = LocalConfig()
    empty = local.apply(ConfigUpdate(ConfigVersion(2), ConfigVersion(1), {}))
    assert isinstance(empty, Failure)
    assert empty.kind is ErrorKind.conflict


def test_the_largest_document_fits_into_a_frame():
    """Guards against an accepted document that is too large to distribute."""
    texts = [
        f'[partition:p{part}]\nracks = '
        + ', '.join(f'{"r" * 110}{part}-{rack}' for rack in range(390))
        for part in range(5)
    ]
    small = [f'[team:t{number}]\ndepartment = d\n' for number in range(10)]
    first = ''.join(['[department:d]\n', *small])
    text = '\n'.join([first, *texts])
    assert len(text) > 3 * MAX_DOCUMENT_BYTES // 4
    local = LocalConfig()
    local.replace_if_newer(snapshot_of(make_document(first)))
    local.replace_if_newer(snapshot_of(make_document(text, 2)))
    for base in (0, 1):
        name, fields = encode_message(local.update_from(ConfigVersion(base)))
        frame = Frame(FrameKind.call, 1, name, fields)
        assert isinstance(encode_frame(frame), bytes)
