"""Client of the advice service."""

from collections.abc import Mapping
from typing import Any, Final

from radishlift.cell.ports import AdviceAnswer
from radishlift.core.errors import ErrorKind, Failure
from radishlift.core.ids import Address
from radishlift.platform.http import JsonClient
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_list,
    read_text,
)
from radishlift.steps.ids import StepKey, TargetId

_OK: Final = 200


class PlatformAdvice:
    """Requests advice on which targets may run a step."""

    def __init__(self, client: JsonClient, address: Address) -> None:
        self._client = client
        self._address = address

    async def request(
        self,
        key: StepKey,
        target_ids: tuple[TargetId, ...],
        timeout_ms: int,
    ) -> AdviceAnswer | Failure:
        """Sends an advice request for at most 100 targets."""
        answer = await self._client.call(
            'POST',
            self._address,
            '/advise',
            timeout_ms,
            {'step': str(key), 'workers': target_ids},
        )
        if isinstance(answer, Failure):
            return answer
        if answer.status != _OK:
            reason = f'advice service answered with status {answer.status}'
            return Failure(ErrorKind.overloaded, reason)
        try:
            return _decode_answer(answer.fields)
        except DECODE_ERRORS as error:
            reason = f'malformed advice: {describe(error)}'
            return Failure(ErrorKind.bad_frame, reason)


def _decode_answer(fields: Mapping[str, Any]) -> AdviceAnswer:
    tickets = tuple(
        (TargetId(read_text(row[0])), read_text(row[1]))
        for row in read_list(fields.get('allowed', []))
    )
    return AdviceAnswer(tickets, read_count(fields.get('validMs', 0)))


__all__ = ('PlatformAdvice',)
