"""Client of the operator interface."""

from __future__ import annotations

from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote, urlencode

import orjson

from dotterelpaddle.operator import wire
from dotterelpaddle.operator.changer import new_attempt
from dotterelpaddle.operator.exchange import (
    OperatorConnection,
    OperatorRequest,
    open_connection,
)
from dotterelpaddle.operator.interface import ForceReport
from dotterelpaddle.operator.reports import (
    AttemptReport,
    ChangeReport,
    DiffReport,
    HistoryReport,
    RecordDocument,
    RecordList,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.ids import Revision
    from dotterelpaddle.links import Links
    from dotterelpaddle.operator.interface import Document, ExplainQuery
    from dotterelpaddle.records.keys import RecordKey

T = TypeVar("T")

Query = tuple[tuple[str, str], ...]
"""Names and values of query parameters."""

WAIT_MARGIN = 5.0
"""Seconds that a waiting call gets beyond the wait itself."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChangeRequest:
    """How a change is asked for.

    Attributes:
        expected: Revision that the record must have, 0 if there must be none,
            None to replace what is newest.
        dry_run: Whether only to tell what would happen.
        attempt: Name under which a lost outcome can be asked for, empty for a
            new one.
    """

    expected: Revision | None = None
    dry_run: bool = False
    attempt: str = ""


class OperatorClient:
    """Asks routers on behalf of an operator.

    Args:
        connection: The way to the routers.
    """

    def __init__(self, *, connection: OperatorConnection) -> None:
        self._connection = connection

    async def apply(
        self, *, text: str, source: str, change: ChangeRequest | None = None
    ) -> ChangeReport:
        """Put the records of a YAML text in force.

        Args:
            text: The YAML.
            source: Name of its file, for errors.
            change: How to make the change.

        Raises:
            RecordError: If a record is malformed, refused, or in conflict.
            RouterUnreachable: If nothing could be sent to any router.
            PlatformError: If the platform can't be reached.
        """
        asked = change or ChangeRequest()
        parameters = _parameters(change=asked)
        parameters[wire.SOURCE_PARAMETER] = source
        return await self._change(
            method="POST",
            query=tuple(parameters.items()),
            body=text.encode(),
            attempt="" if asked.dry_run else parameters[wire.ATTEMPT_PARAMETER],
        )

    async def retire(
        self, *, keys: tuple[RecordKey, ...], change: ChangeRequest | None = None
    ) -> ChangeReport:
        """Retire records, all of them or none; raises as `apply` does."""
        asked = change or ChangeRequest()
        parameters = _parameters(change=asked)
        named = tuple((wire.RECORD_PARAMETER, str(key)) for key in keys)
        return await self._change(
            method="DELETE",
            query=(*parameters.items(), *named),
            attempt="" if asked.dry_run else parameters[wire.ATTEMPT_PARAMETER],
        )

    async def get(self, *, key: RecordKey) -> RecordDocument:
        """Read one record."""
        return await self._read(path=_path(key=key), report=RecordDocument)

    async def list(self, *, kind: str = "") -> RecordList:
        """Read all records, or those of one kind."""
        query: Query = ((wire.KIND_PARAMETER, kind),) if kind else ()
        return await self._read(path=wire.RECORDS_PATH, query=query, report=RecordList)

    async def history(self, *, key: RecordKey) -> HistoryReport:
        """Read the recent values of a record."""
        return await self._read(path=f"{_path(key=key)}/history", report=HistoryReport)

    async def diff(
        self,
        *,
        key: RecordKey,
        old: Revision | None = None,
        new: Revision | None = None,
    ) -> DiffReport:
        """Compare two values of a record, by default the newest two."""
        named = ((wire.OLD_PARAMETER, old), (wire.NEW_PARAMETER, new))
        query = tuple((name, str(value)) for name, value in named if value is not None)
        return await self._read(
            path=f"{_path(key=key)}/diff", query=query, report=DiffReport
        )

    async def find_attempt(self, *, attempt: str) -> AttemptReport:
        """Tell whether a change was accepted; if not, it never will be."""
        path = f"{wire.ATTEMPTS_PATH}/{quote(attempt, safe='')}"
        content = await self._connection.exchange(
            request=OperatorRequest(method="POST", path=path)
        )
        return self._decode(content=content, report=AttemptReport)

    async def wait_in_force(self, *, revision: int, timeout: float) -> ForceReport:
        """Wait until a revision is in force on every live router.

        Args:
            revision: The revision.
            timeout: Seconds after which the report comes as it stands.
        """
        query = (
            (wire.REVISION_PARAMETER, str(revision)),
            (wire.TIMEOUT_PARAMETER, str(timeout)),
        )
        return await self._read(
            path=wire.IN_FORCE_PATH,
            query=query,
            report=ForceReport,
            timeout=timeout + WAIT_MARGIN,
        )

    async def status(self) -> Document:
        """Read a router's description of itself."""
        return await self._document(path=wire.STATUS_PATH)

    async def explain(self, *, query: ExplainQuery) -> Document:
        """Ask why a request went, or would go, where it went."""
        named = (
            (wire.REQUEST_PARAMETER, query.request_id),
            (wire.ACCOUNT_PARAMETER, query.account),
            (wire.SERVICE_PARAMETER, query.service),
            (wire.CHAT_PARAMETER, query.chat),
        )
        return await self._document(
            path=wire.EXPLAIN_PATH,
            query=tuple((name, value) for name, value in named if value),
        )

    async def _change(
        self,
        *,
        method: str,
        query: Query,
        attempt: str,
        body: bytes = b"",
    ) -> ChangeReport:
        content = await self._connection.exchange(
            request=OperatorRequest(
                method=method,
                path=_with_query(path=wire.RECORDS_PATH, query=query),
                body=body,
                attempt=attempt,
            )
        )
        return self._decode(content=content, report=ChangeReport)

    async def _read(
        self,
        *,
        path: str,
        report: type[T],
        query: Query = (),
        timeout: float | None = None,
    ) -> T:
        request = OperatorRequest(
            method="GET",
            path=_with_query(path=path, query=query),
            timeout=timeout,
        )
        content = await self._connection.exchange(request=request)
        return self._decode(content=content, report=report)

    async def _document(self, *, path: str, query: Query = ()) -> Document:
        request = OperatorRequest(
            method="GET", path=_with_query(path=path, query=query)
        )
        document: dict[str, Any] = orjson.loads(
            await self._connection.exchange(request=request)
        )
        return document

    def _decode(self, *, content: bytes, report: type[T]) -> T:
        return wire.decode_report(
            content=content, report=report, peer=self._connection.peer
        )


@asynccontextmanager
async def open_operator(
    *,
    routers: tuple[str, ...],
    token: str,
    timeout: float = 10.0,
    operator: str = "",
    links: Links | None = None,
) -> AsyncIterator[OperatorClient]:
    """Open a client of the operator interface.

    Args:
        routers: Operator addresses of routers, ``http://IP:PORT``; the next is
            asked if one can't be reached.
        token: The operator token.
        timeout: Seconds for an answer.
        operator: Who asks, for the history of records.
        links: The process's links, for tests.

    Yields:
        The client; nothing is sent before it is asked for something.
    """
    async with open_connection(
        routers=routers, token=token, timeout=timeout, operator=operator, links=links
    ) as connection:
        yield OperatorClient(connection=connection)


def _parameters(*, change: ChangeRequest) -> dict[str, str]:
    named = {wire.ATTEMPT_PARAMETER: change.attempt or str(new_attempt())}
    if change.expected is not None:
        named[wire.EXPECT_PARAMETER] = str(change.expected)
    if change.dry_run:
        named[wire.DRY_RUN_PARAMETER] = "true"
    return named


def _path(*, key: RecordKey) -> str:
    kind = quote(key.kind, safe="")
    name = quote(key.name, safe="")
    return f"{wire.RECORDS_PATH}/{kind}/{name}"


def _with_query(*, path: str, query: Query) -> str:
    return f"{path}?{urlencode(query)}" if query else path
