"""The records table as the operator interface uses it: commits are spread at once."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dotterelpaddle.backing.interface import Row
from dotterelpaddle.catalog.delta import Delta, entries_of
from dotterelpaddle.exceptions import PlatformAnswerLost
from dotterelpaddle.ids import Revision

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.backing.interface import (
        ChangePage,
        Commit,
        Table,
        Transaction,
    )
    from dotterelpaddle.ids import AttemptId

LOST_ANSWERS = 1024
"""Transactions without an answer that are remembered for their look-up."""


class PublishingTable:
    """Hands each commit to the catalog, so that it need not wait for a poll.

    Args:
        table: The platform's records table.
        publish: Called with the changes of each commit.
    """

    def __init__(self, *, table: Table, publish: Callable[[Delta], None]) -> None:
        self._table = table
        self._publish = publish
        self._lost: OrderedDict[AttemptId, Transaction] = OrderedDict()

    async def transact(self, *, transaction: Transaction) -> Commit:
        """Commit a transaction; see `Table.transact`."""
        try:
            commit = await self._table.transact(transaction=transaction)
        except PlatformAnswerLost:
            self._remember(transaction=transaction)
            raise
        self._publish(_delta(transaction=transaction, commit=commit))
        return commit

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Read rows by key."""
        return await self._table.read(keys=keys)

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        """Read the change log after a revision."""
        return await self._table.changes(after=after, limit=limit)

    async def find_attempt(self, *, attempt: AttemptId) -> Commit | None:
        """Tell whether an attempt took effect; see `Table.find_attempt`."""
        commit = await self._table.find_attempt(attempt=attempt)
        transaction = self._lost.pop(attempt, None)
        if commit is not None and transaction is not None:
            self._publish(_delta(transaction=transaction, commit=commit))
        return commit

    def _remember(self, *, transaction: Transaction) -> None:
        self._lost[transaction.attempt] = transaction
        if len(self._lost) > LOST_ANSWERS:
            self._lost.popitem(last=False)


def _delta(*, transaction: Transaction, commit: Commit) -> Delta:
    rows = (
        Row(
            key=write.key,
            revision=commit.revision,
            value=write.value,
            attempt=transaction.attempt,
        )
        for write in transaction.writes
    )
    return Delta(
        base=Revision(commit.revision - 1),
        head=commit.revision,
        entries=entries_of(rows=rows),
    )
