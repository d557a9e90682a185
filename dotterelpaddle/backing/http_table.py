"""A table of the platform over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.backing import wire
from dotterelpaddle.backing.answers import decode_answer, read_answer
from dotterelpaddle.backing.connection import (
    Effect,
    PlatformConnection,
    PlatformRequest,
    PlatformResponse,
)
from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    TableConflict,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeVar

    from dotterelpaddle.backing.interface import (
        ChangePage,
        Commit,
        Row,
        TableName,
        Transaction,
    )
    from dotterelpaddle.ids import AttemptId, Revision

    T = TypeVar("T")

HTTP_CONFLICT = 409


class HttpTable:
    """A table of the platform.

    Args:
        connection: The way to the platform.
        name: Which table.
    """

    def __init__(self, *, connection: PlatformConnection, name: TableName) -> None:
        self._connection = connection
        self._name = name

    async def transact(self, *, transaction: Transaction) -> Commit:
        """Commit a transaction.

        Raises:
            TableConflict: If a row has another revision; nothing took effect.
            PlatformUnavailable: If nothing took effect for another reason.
            PlatformAnswerLost: If it may have taken effect.
        """
        response = await self._connection.send(
            request=PlatformRequest(
                method="POST",
                path=wire.table_path(table=self._name, action="transactions"),
                body=wire.encode_transaction(transaction=transaction),
                effect=Effect.WRITE,
            )
        )
        if response.status == HTTP_CONFLICT:
            raise TableConflict(
                "a row was changed by another writer; read it again",
                rows=read_answer(
                    connection=self._connection,
                    response=response,
                    decode=wire.decode_conflicts,
                    unreadable=PlatformUnavailable,
                ),
                peer=self._connection.peer,
            )
        return self._decode(
            response=response,
            decode=wire.decode_commit,
            unreadable=PlatformAnswerLost,
        )

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read rows by key; rows that never existed are left out."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="POST",
                path=wire.table_path(table=self._name, action="read"),
                body=wire.encode_keys(keys=keys),
            )
        )
        return self._decode(response=response, decode=wire.decode_rows)

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        """Read the change log after a revision."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="GET",
                path=wire.changes_path(table=self._name, after=after, limit=limit),
            )
        )
        return self._decode(response=response, decode=wire.decode_changes)

    async def find_attempt(self, *, attempt: AttemptId) -> Commit | None:
        """Tell whether an attempt took effect, and fence it if it did not."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="POST",
                path=wire.attempt_path(table=self._name, attempt=attempt),
            )
        )
        return self._decode(response=response, decode=wire.decode_attempt)

    def _decode(
        self,
        *,
        response: PlatformResponse,
        decode: Callable[[bytes], T],
        unreadable: type[PlatformError] = PlatformUnavailable,
    ) -> T:
        return decode_answer(
            connection=self._connection,
            response=response,
            decode=decode,
            unreadable=unreadable,
        )
