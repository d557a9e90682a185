"""Answers operators' requests about records."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from anyio import to_thread

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import AttemptId
from dotterelpaddle.operator import wire
from dotterelpaddle.operator.answers import report_answer
from dotterelpaddle.operator.changer import ChangeOptions, new_attempt
from dotterelpaddle.operator.operation import Operation
from dotterelpaddle.operator.parameters import (
    read_flag,
    read_name,
    read_optional_number,
    read_text,
    read_writer,
)
from dotterelpaddle.records.keys import RecordKey, parse_key
from dotterelpaddle.records.parsing import parse_yaml

if TYPE_CHECKING:
    from collections.abc import Iterator

    from starlette.requests import Request
    from starlette.responses import Response

    from dotterelpaddle.operator.service import RecordService
    from dotterelpaddle.records.envelope import Envelope

DEFAULT_SOURCE = "request body"
"""What errors call a body whose file isn't named."""


class RecordHandlers:
    """The handlers, one for each operation.

    Args:
        records: The records.
    """

    def __init__(self, *, records: RecordService) -> None:
        self._records = records

    def operations(self) -> Iterator[Operation]:
        """List the operations."""
        every = wire.RECORDS_PATH
        one = f"{every}/{{kind}}/{{name}}"
        attempt = f"{wire.ATTEMPTS_PATH}/{{attempt}}"
        yield Operation(method="POST", path=every, handler=self._apply)
        yield Operation(method="GET", path=every, handler=self._list)
        yield Operation(method="GET", path=one, handler=self._get)
        yield Operation(method="DELETE", path=one, handler=self._retire_one)
        yield Operation(method="DELETE", path=every, handler=self._retire)
        yield Operation(method="GET", path=f"{one}/history", handler=self._history)
        yield Operation(method="GET", path=f"{one}/diff", handler=self._diff)
        yield Operation(method="POST", path=attempt, handler=self._find_attempt)

    async def _apply(self, request: Request) -> Response:
        source = request.query_params.get(wire.SOURCE_PARAMETER, DEFAULT_SOURCE)
        text = await read_text(request=request)
        # A large text takes long to read, and callers' requests must go on.
        parse = partial(parse_yaml, text=text, source=source)
        envelopes = tuple(await to_thread.run_sync(parse))
        report = await self._records.apply(
            envelopes=_pinned(request=request, envelopes=envelopes),
            options=_options(request=request),
        )
        return report_answer(report=report)

    async def _list(self, request: Request) -> Response:
        kind = request.query_params.get(wire.KIND_PARAMETER, "")
        return report_answer(report=await self._records.list(kind=kind))

    async def _get(self, request: Request) -> Response:
        return report_answer(report=await self._records.get(key=_key(request=request)))

    async def _retire_one(self, request: Request) -> Response:
        return await self._retire_keys(request=request, keys=(_key(request=request),))

    async def _retire(self, request: Request) -> Response:
        named = request.query_params.getlist(wire.RECORD_PARAMETER)
        keys = tuple(_parse_key(text=text) for text in named)
        if not keys:
            raise RecordError(
                f"name the records to retire, as {wire.RECORD_PARAMETER}=KIND/NAME"
            )
        return await self._retire_keys(request=request, keys=keys)

    async def _retire_keys(
        self, *, request: Request, keys: tuple[RecordKey, ...]
    ) -> Response:
        report = await self._records.retire(
            keys=keys,
            expected=read_optional_number(request=request, name=wire.EXPECT_PARAMETER),
            options=_options(request=request),
        )
        return report_answer(report=report)

    async def _history(self, request: Request) -> Response:
        report = await self._records.history(key=_key(request=request))
        return report_answer(report=report)

    async def _diff(self, request: Request) -> Response:
        report = await self._records.diff(
            key=_key(request=request),
            old=read_optional_number(request=request, name=wire.OLD_PARAMETER),
            new=read_optional_number(request=request, name=wire.NEW_PARAMETER),
        )
        return report_answer(report=report)

    async def _find_attempt(self, request: Request) -> Response:
        attempt = AttemptId(request.path_params["attempt"])
        return report_answer(report=await self._records.find_attempt(attempt=attempt))


def _key(*, request: Request) -> RecordKey:
    return RecordKey(kind=request.path_params["kind"], name=request.path_params["name"])


def _parse_key(*, text: str) -> RecordKey:
    key = parse_key(text=text)
    if key is None:
        raise RecordError(f"'{text}' names no record; write it as KIND/NAME")
    return key


def _options(*, request: Request) -> ChangeOptions:
    attempt = read_name(request=request, name=wire.ATTEMPT_PARAMETER)
    return ChangeOptions(
        dry_run=read_flag(request=request, name=wire.DRY_RUN_PARAMETER),
        writer=read_writer(request=request),
        attempt=AttemptId(attempt) if attempt else new_attempt(),
    )


def _pinned(
    *, request: Request, envelopes: tuple[Envelope, ...]
) -> tuple[Envelope, ...]:
    """Put the expected revision of the request into its record."""
    expected = read_optional_number(request=request, name=wire.EXPECT_PARAMETER)
    if expected is None:
        return envelopes
    if len(envelopes) > 1:
        raise RecordError(
            f"parameter {wire.EXPECT_PARAMETER} goes with one record, and there are"
            f" {len(envelopes)}; give each its own field 'revision' instead",
            field="revision",
        )
    return tuple(replace(envelope, expected=expected) for envelope in envelopes)
