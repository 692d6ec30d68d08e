"""Decodes a whole configuration document for a review.

A daemon refuses a configuration at its first error. Here, each entry is
decoded by itself, so that operators get an error for every invalid entry.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, TypeVar

from radishlift.cell.config_findings import (
    ConfigEntries,
    Finding,
    FindingKind,
)
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import ConfigVersion, ServiceName
from radishlift.platform.documents import (
    decode_queue,
    decode_workspace,
    read_whole,
)
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_list,
    read_name,
    read_object,
)

_SERVICES: Final = 'services'

Decoded = TypeVar('Decoded')


def decode_entries(content: bytes) -> ConfigEntries | Failure:
    """Decodes a document; fails with `invalid_input` if it is no JSON object.

    The places of invalid entries are paths in the document.
    """
    try:
        document = read_object(content)
    except DECODE_ERRORS as error:
        return Failure(ErrorKind.invalid_input, describe(error))
    reader = _Reader(document)
    version = reader.read('version', _read_version)
    services = None
    if isinstance(document.get(_SERVICES), dict):
        services = frozenset(map(ServiceName, document[_SERVICES]))
    elif _SERVICES in document:
        services = frozenset(reader.read_each(_SERVICES, _read_service))
    return ConfigEntries(
        version,
        reader.read('limits', _read_max_body),
        tuple(reader.read_each('routes', decode_queue)),
        tuple(reader.read_each('tenants', decode_workspace, is_optional=True)),
        services,
        tuple(reader.invalid),
    )


class _Reader:
    """Reads the fields of a document and collects the errors."""

    def __init__(self, document: Mapping[str, Any]) -> None:
        self._document = document
        self.invalid: list[Finding] = []

    def read(
        self, name: str, decode: Callable[[Any], Decoded]
    ) -> Decoded | None:
        """Decodes a field; returns None and keeps the error if it fails."""
        if name not in self._document:
            self._add(name, 'is missing')
            return None
        return self._decode(name, self._document[name], decode)

    def read_each(
        self,
        name: str,
        decode: Callable[[Any], Decoded],
        *,
        is_optional: bool = False,
    ) -> Iterable[Decoded]:
        """Decodes the entries of a list and omits those that fail."""
        if is_optional and name not in self._document:
            return
        for number, entry in enumerate(self.read(name, read_list) or ()):
            decoded = self._decode(f'{name}[{number}]', entry, decode)
            if decoded is not None:
                yield decoded

    def _decode(
        self, place: str, field: Any, decode: Callable[[Any], Decoded]
    ) -> Decoded | None:
        try:
            return decode(field)
        except KeyError as error:
            self._add(place, f'{error.args[0]} is missing')
        except DECODE_ERRORS as error:
            self._add(place, describe(error))
        return None

    def _add(self, place: str, text: str) -> None:
        self.invalid.append(Finding(FindingKind.invalid_entry, place, text))


def _read_version(field: object) -> ConfigVersion:
    return ConfigVersion(read_whole(field))


def _read_max_body(limits: Mapping[str, Any]) -> int:
    return read_whole(limits['maxBodyBytes'])


def _read_service(service: Mapping[str, Any]) -> ServiceName:
    return ServiceName(read_name(service['name']))


__all__ = ('decode_entries',)
