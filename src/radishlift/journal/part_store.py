"""Stores each sealed part of a partition's state once."""

from collections.abc import Iterable

from radishlift.core.errors import Failure
from radishlift.journal.parts import (
    PartRef,
    encode_part,
    part_object_name,
)
from radishlift.journal.snapshots import CapturedState, PartId
from radishlift.ownership.api import OwnerClaim
from radishlift.services.api import ObjectStore


class PartStore:
    """Stores parts and tracks which are stored.

    Includes the parts of the snapshot that the owner has loaded.
    """

    def __init__(
        self,
        object_store: ObjectStore,
        claim: OwnerClaim,
        known: Iterable[PartRef],
    ) -> None:
        self._object_store = object_store
        self._claim = claim
        self._refs: dict[PartId, PartRef] = {
            (ref.state, ref.name): ref for ref in known
        }
        self._own_object_names: set[str] = set()

    @property
    def own_object_names(self) -> frozenset[str]:
        """Returns the names of objects that this owner may have written."""
        return frozenset(self._own_object_names)

    def missing_parts(self, captured: CapturedState) -> list[PartId]:
        """Returns the parts that are not stored yet."""
        return [part for part in captured.parts if part not in self._refs]

    def object_name(self, part: PartId) -> str:
        """Returns the name under which this owner stores a part."""
        claim = self._claim
        return part_object_name(claim.partition_id, claim.epoch, *part)

    def refs_of(self, captured: CapturedState) -> tuple[PartRef, ...]:
        """Returns the references of the parts; all must be stored."""
        return tuple(self._refs[part] for part in captured.parts)

    async def store(
        self,
        captured: CapturedState,
        part: PartId,
    ) -> Failure | None:
        """Stores one part; a retry writes the same object and content."""
        state, name = part
        encoded, digest = await encode_part(captured.parts[part])
        object_name = self.object_name(part)
        self._own_object_names.add(object_name)
        failure = await self._object_store.put(object_name, encoded)
        if failure is None:
            self._refs[part] = PartRef(state, name, object_name, digest)
        return failure

    def discard_unused(self, captured: CapturedState) -> None:
        """Drops the references of parts that the stored snapshot lacks."""
        kept = captured.parts
        self._refs = {
            part: ref for part, ref in self._refs.items() if part in kept
        }
        in_use = {ref.object_name for ref in self._refs.values()}
        self._own_object_names &= in_use


__all__ = ('PartStore',)
