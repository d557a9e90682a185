"""Commands that read records."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Annotated

import anyio
from cyclopts import Parameter

from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.operator_access import (
    DEFAULT_ACCESS,
    OperatorAccess,
    reach,
)
from dotterelpaddle.commands.record_input import InputFile, read_input, read_key
from dotterelpaddle.commands.record_text import (
    print_change,
    print_documents,
    print_history,
    print_list,
    print_report,
)
from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import Revision
from dotterelpaddle.operator.client import ChangeRequest
from dotterelpaddle.operator.documents import envelope_of
from dotterelpaddle.records.codec import convert

if TYPE_CHECKING:
    from dotterelpaddle.operator.client import OperatorClient
    from dotterelpaddle.operator.reports import RecordDocument


def get(
    records: Annotated[tuple[str, ...], Parameter(negative=())] = (),
    /,
    *,
    kind: str = "",
    schema: int | None = None,
    json: bool = False,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """Print records as YAML that can be changed and applied again.

    Each record names its revision, so that an apply of the changed text is
    refused if another operator was first.

    Args:
        records: The records, each as KIND/NAME; none for all.
        kind: Only records of this kind.
        schema: Write them in this schema version, as for a migration.
        json: Print them as JSON.
        access: Where the routers are.
    """

    async def _run() -> tuple[RecordDocument, ...]:
        async with reach(access=access) as client:
            if not keys:
                return (await client.list(kind=kind)).records
            return tuple([await client.get(key=key) for key in keys])

    keys = tuple(read_key(text=text) for text in records)
    found = anyio.run(_run)
    if schema is not None:
        found = tuple(_in_schema(record=each, schema=schema) for each in found)
    if json:
        for record in found:
            print_report(report=record)
    else:
        print_documents(records=found)
    return ExitCode.OK


def _in_schema(*, record: RecordDocument, schema: int) -> RecordDocument:
    if record.schema == schema:
        return record
    try:
        converted = convert(envelope=envelope_of(document=record), schema=schema)
    except RecordError as error:
        raise RecordError(
            f"{record.kind}/{record.name} can't be written in schema {schema}:"
            f" {error.message}",
            field=error.field,
        ) from error
    return replace(record, schema=schema, spec=dict(converted.spec))


def list_records(
    *,
    kind: str = "",
    json: bool = False,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """List records: schema version, revision, and who wrote them.

    Args:
        kind: Only records of this kind.
        json: Print the answer as JSON, contents included.
        access: Where the routers are.
    """

    async def _run() -> int:
        async with reach(access=access) as client:
            report = await client.list(kind=kind)
        if json:
            print_report(report=report)
        else:
            print_list(report=report)
        return ExitCode.OK

    return anyio.run(_run)


def history(
    record: str,
    /,
    *,
    json: bool = False,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """List the recent values of a record, newest first.

    The newest value is in the platform's table; up to 16 past ones are kept in
    its object store.

    Args:
        record: The record, as KIND/NAME.
        json: Print the answer as JSON, contents included.
        access: Where the routers are.
    """

    async def _run() -> int:
        async with reach(access=access) as client:
            report = await client.history(key=key)
        if json:
            print_report(report=report)
        else:
            print_history(report=report)
        return ExitCode.OK

    key = read_key(text=record)
    return anyio.run(_run)


def diff(
    record: str = "",
    /,
    *,
    file: InputFile = "",
    old: Annotated[int | None, Parameter(name="--from")] = None,
    new: Annotated[int | None, Parameter(name="--to")] = None,
    json: bool = False,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """Compare two values of a record, or a file with what is in force.

    Args:
        record: The record, as KIND/NAME.
        file: Compare the records of this YAML file, or of - for standard input,
            with what is in force.
        old: Revision of the older value; the one before the newer by default.
        new: Revision of the newer value; the newest by default.
        json: Print the answer as JSON.
        access: Where the routers are.
    """
    if bool(record) == bool(file):
        raise RecordError("give either KIND/NAME or --file FILE")

    async def _run() -> int:
        async with reach(access=access) as client:
            if file:
                await _compare_file(client=client, file=file, json=json)
            else:
                await _compare_values(
                    client=client, record=record, old=old, new=new, json=json
                )
        return ExitCode.OK

    return anyio.run(_run)


async def _compare_file(*, client: OperatorClient, file: str, json: bool) -> None:
    source, text = read_input(file=file)
    report = await client.apply(
        text=text, source=source, change=ChangeRequest(dry_run=True)
    )
    if json:
        print_report(report=report)
    else:
        print_change(report=report)


async def _compare_values(
    *,
    client: OperatorClient,
    record: str,
    old: int | None,
    new: int | None,
    json: bool,
) -> None:
    report = await client.diff(
        key=read_key(text=record),
        old=None if old is None else Revision(old),
        new=None if new is None else Revision(new),
    )
    if json:
        print_report(report=report)
    elif report.same_meaning:
        print(f"{report.diff}both mean the same to routers")
    else:
        print(report.diff, end="")
