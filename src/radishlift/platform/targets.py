"""Client of the targets, which the platform calls executors."""

from collections.abc import Mapping
from dataclasses import replace
from typing import Any, Final

from radishlift.cell.ports import (
    EndedAttempt,
    HoldOrder,
    HoldReport,
    RunningAttempt,
    StartOrder,
    StartVerdict,
    TargetRef,
)
from radishlift.core.errors import ErrorKind, Failure
from radishlift.platform.http import JsonAnswer, JsonClient
from radishlift.platform.json_bodies import (
    DECODE_ERRORS,
    describe,
    read_count,
    read_integer,
    read_list,
    read_text,
)
from radishlift.steps.endings import EndKind
from radishlift.steps.ids import (
    FencingToken,
    TargetIncarnation,
    TaskKey,
    parse_task_key,
)

_OK: Final = 200
_CONFLICT: Final = 409
_STATUS_VERDICTS: Final = {
    400: StartVerdict.invalid,
    421: StartVerdict.other_process,
    429: StartVerdict.refused,
    503: StartVerdict.refused,
}
_CONFLICT_VERDICTS: Final = {
    'fence': StartVerdict.fenced,
    'old': StartVerdict.superseded,
    'late': StartVerdict.late,
    'room': StartVerdict.no_room,
    'ticket': StartVerdict.bad_ticket,
}
# Targets list at most this many ended attempts at a time.
_PAGE_ENDS: Final = 500
# Targets answer immediately, so a short timeout repeats a lost call soon.
_TIMEOUT_MS: Final = 700


class PlatformTargets:
    """Sends orders to targets."""

    def __init__(self, client: JsonClient) -> None:
        self._client = client

    async def start(
        self,
        target: TargetRef,
        order: StartOrder,
    ) -> StartVerdict | Failure:
        """Starts an attempt."""
        body: dict[str, Any] = {
            'task': str(order.key),
            'attempt': order.attempt,
            'spec': order.text,
            'untilMs': order.until_ms,
            'fencingToken': order.fencing_token,
        }
        if order.checkpoint:
            body['checkpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        answer = await self._post(target, '/run-start', body)
        return (
            answer if isinstance(answer, Failure) else _decode_verdict(answer)
        )

    async def stop(
        self,
        target: TargetRef,
        key: TaskKey,
        attempt: int,
        fence: FencingToken,
    ) -> StartVerdict | Failure:
        """Stops an attempt, or blocks a start that may still arrive."""
        body = {'task': str(key), 'attempt': attempt, 'fencingToken': fence}
        answer = await self._post(target, '/run-stop', body)
        return (
            answer if isinstance(answer, Failure) else _decode_verdict(answer)
        )

    async def hold(
        self,
        target: TargetRef,
        order: HoldOrder,
    ) -> HoldReport | StartVerdict | Failure:
        """Renews the lease and reads running and ended attempts."""
        body: dict[str, Any] = {
            'fencingToken': order.fencing_token,
            'ackCursor': order.ended_cursor,
        }
        if order.until_ms is not None:
            body['untilMs'] = order.until_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        answer = await self._post(target, '/hold', body, order.wait_ms)
        if isinstance(answer, Failure):
            return answer
        if answer.status != _OK:
            return _decode_verdict(answer)
        try:
            return _decode_report(answer.fields)
        except DECODE_ERRORS as error:
            return Failure(
                ErrorKind.bad_frame,
                f'malformed hold report: {describe(error)}',
            )

    async def _post(
        self,
        target: TargetRef,
        path: str,
        body: Mapping[str, Any],
        wait_ms: int = 0,
    ) -> JsonAnswer | Failure:
        answer = await self._client.call(
            'POST',
            target.address,
            path,
            _TIMEOUT_MS + wait_ms,
            body,
            {'Expect-Instance': target.target_id},
        )
        if isinstance(answer, Failure):
            # Without a connection the call had no effect. The network may be
            # partitioned, so the state of the target is unknown.
            if answer.is_not_run:
                return answer
            return replace(answer, kind=ErrorKind.target_outcome_unknown)
        return answer


def _decode_verdict(answer: JsonAnswer) -> StartVerdict | Failure:
    if answer.status == _OK:
        return StartVerdict.started
    verdict = _STATUS_VERDICTS.get(answer.status)
    if answer.status == _CONFLICT:
        verdict = _CONFLICT_VERDICTS.get(str(answer.fields.get('reason', '')))
    if verdict is None:
        # Any other answer does not tell whether the target acted on the call.
        return Failure(
            ErrorKind.target_outcome_unknown,
            f'target answered with status {answer.status}',
        )
    return verdict


def _decode_report(fields: Mapping[str, Any]) -> HoldReport:
    finished = read_list(fields.get('finished', []))
    born = fields.get('born')
    life = None if born is None else TargetIncarnation(read_integer(born))
    return HoldReport(
        read_integer(fields['clockMs']),
        life,
        _decode_running(read_list(fields.get('running', []))),
        _decode_ended(finished),
        max((read_count(row[0]) for row in finished), default=0),
        has_all_ended=len(finished) < _PAGE_ENDS,
    )


def _decode_running(rows: list[Any]) -> tuple[RunningAttempt, ...]:
    running = []
    for task, attempt, checkpoint, *_ in rows:
        key = parse_task_key(read_text(task))
        if key is not None:
            running.append(
                RunningAttempt(key, read_count(attempt), read_text(checkpoint))
            )
    return tuple(running)


def _decode_ended(rows: list[Any]) -> tuple[EndedAttempt, ...]:
    ended = []
    for number, task, attempt, how, checkpoint, *_ in rows:
        key = parse_task_key(read_text(task))
        if key is not None:
            ended.append(
                EndedAttempt(
                    number,
                    key,
                    read_count(attempt),
                    EndKind(read_text(how)),
                    read_text(checkpoint),
                ),
            )
    return tuple(ended)


__all__ = ('PlatformTargets',)
