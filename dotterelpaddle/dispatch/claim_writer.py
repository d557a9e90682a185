"""Writes claims to the platform's table, many in one transaction.

While one transaction is on its way, further writes gather for the next. So the
number of transactions follows the table's speed, not the number of claims, and
a lone claim waits for nothing.
"""

from __future__ import annotations

import uuid
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.dispatch.claim_results import (
    Met,
    Refused,
    WriteResult,
    Written,
)
from dotterelpaddle.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
    TableConflict,
)
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from dotterelpaddle.backing.interface import Commit, Table

log = get_logger(name=__name__)

MAX_BATCH = 64
"""Writes in one transaction."""

MAX_QUEUE = 1024
"""Writes that may wait; more are refused at once."""

TRIES = 3
"""Times that a transaction is tried before its writes count as refused."""

RETRY_WAIT = 0.05
"""Seconds before a transaction is tried again."""

MAX_STRAYS = 4096
"""Claims of unknown fate that are remembered for clearing up."""


@dataclass(kw_only=True, eq=False)
class _Item:
    write: Write
    undo: bool
    done: anyio.Event = field(default_factory=anyio.Event)
    result: WriteResult | None = None
    abandoned: bool = False

    def resolve(self, result: WriteResult) -> None:
        self.result = result
        self.done.set()


@dataclass(frozen=True, kw_only=True, slots=True)
class _Stray:
    key: str
    attempt: AttemptId


class ClaimWriter:
    """Gathers writes into transactions; `run` must run as a task.

    Args:
        table: The platform's table of claims.
        spacing: Returns the seconds that must lie between two transactions.
    """

    def __init__(
        self, *, table: Table, spacing: Callable[[], float] = lambda: 0.0
    ) -> None:
        self._table = table
        self._spacing = spacing
        self._queue: deque[_Item] = deque()
        self._wake = anyio.Event()
        self._strays: deque[_Stray] = deque(maxlen=MAX_STRAYS)
        self._running = False
        self._transactions = 0
        self._writes = 0

    @property
    def transactions(self) -> int:
        """Transactions that were sent."""
        return self._transactions

    @property
    def writes(self) -> int:
        """Writes that took effect."""
        return self._writes

    @property
    def strays(self) -> int:
        """Claims of unknown fate that are still to be cleared up."""
        return len(self._strays)

    async def write(self, *, write: Write, undo: bool = False) -> WriteResult:
        """Write one row, together with what else is waiting.

        Args:
            write: The write.
            undo: Whether to delete the row again if it is written though the
                caller was cancelled or told that it is not.
        """
        if not self._running:
            return Refused(message="claims are not written yet or any more")
        if len(self._queue) >= MAX_QUEUE:
            return Refused(message=f"{MAX_QUEUE} claims wait already")
        item = _Item(write=write, undo=undo)
        self._enqueue(item)
        try:
            await item.done.wait()
        except BaseException:
            self._abandon(item)
            raise
        assert item.result is not None
        return item.result

    async def run(self) -> None:
        """Write until cancelled."""
        self._running = True
        try:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                await self._drain()
        finally:
            self._running = False
            self._refuse(self._queue, "this router stops")
            self._queue.clear()

    async def clear_strays(self) -> None:
        """Delete claims that took effect though nobody learnt it in time.

        Raises:
            PlatformError: If the table can't be reached.
        """
        for _ in range(len(self._strays)):
            stray = self._strays[0]
            commit = await self._table.find_attempt(attempt=stray.attempt)
            self._strays.popleft()
            if commit is not None:
                self._delete(key=stray.key, revision=commit.revision)

    def _enqueue(self, item: _Item) -> None:
        self._queue.append(item)
        self._wake.set()

    def _abandon(self, item: _Item) -> None:
        item.abandoned = True
        if isinstance(item.result, Written):
            self._undo(item, revision=item.result.revision)

    def _undo(self, item: _Item, *, revision: Revision) -> None:
        """Delete a row that was made for a request that is gone."""
        if item.undo:
            self._delete(key=item.write.key, revision=revision)

    def _delete(self, *, key: str, revision: Revision) -> None:
        write = Write(key=key, expected=revision, value=None)
        self._enqueue(_Item(write=write, undo=False))

    async def _drain(self) -> None:
        while self._queue:
            batch = self._next_batch()
            if batch:
                await self._settle_all(batch)
                await anyio.sleep(self._spacing())

    def _next_batch(self) -> list[_Item]:
        """Take writes of distinct rows; a second one of a row has to wait."""
        batch: dict[str, _Item] = {}
        later: list[_Item] = []
        while self._queue and len(batch) < MAX_BATCH:
            item = self._queue.popleft()
            if item.abandoned:
                continue
            if item.write.key in batch:
                later.append(item)
            else:
                batch[item.write.key] = item
        self._queue.extendleft(reversed(later))
        return list(batch.values())

    async def _settle_all(self, batch: list[_Item]) -> None:
        """Bring each write of a batch to its result, whatever happens."""
        try:
            await self._settle(batch)
        finally:
            unsettled = [item for item in batch if item.result is None]
            self._refuse(unsettled, "the writer failed")

    async def _settle(self, batch: list[_Item]) -> None:
        """Bring each write of a batch to its result."""
        tries = 0
        while batch:
            attempt = AttemptId(uuid.uuid4().hex)
            try:
                commit = await self._transact(batch=batch, attempt=attempt)
            except TableConflict as conflict:
                batch = self._sort_out(batch, conflict=conflict)
                continue
            except PlatformUnavailable as error:
                failure = error.message
            except PlatformError as error:
                self._remember_strays(batch, attempt=attempt)
                self._refuse(batch, error.message)
                return
            else:
                if commit is not None:
                    self._finish(batch, commit=commit)
                    return
                failure = "the transaction was lost"
            tries += 1
            if tries >= TRIES:
                self._refuse(batch, failure)
                return
            await anyio.sleep(RETRY_WAIT * tries)

    async def _transact(
        self, *, batch: list[_Item], attempt: AttemptId
    ) -> Commit | None:
        """Send a transaction and resolve a lost answer.

        Returns:
            The commit, or None if it is certain that there is none.

        Raises:
            TableConflict: If a row has another revision.
            PlatformUnavailable: If nothing took effect.
            PlatformAnswerLost: If its fate could not be learnt.
        """
        self._transactions += 1
        writes = tuple(item.write for item in batch)
        try:
            return await self._table.transact(
                transaction=Transaction(attempt=attempt, writes=writes)
            )
        except PlatformAnswerLost as lost:
            log.warning("claim_answer_lost", attempt=attempt, writes=len(batch))
            try:
                return await self._table.find_attempt(attempt=attempt)
            except PlatformError as error:
                raise PlatformAnswerLost(
                    f"{lost.message}; {error.message}", peer=lost.peer
                ) from error

    def _finish(self, batch: list[_Item], *, commit: Commit) -> None:
        self._writes += len(batch)
        for item in batch:
            if item.abandoned:
                self._undo(item, revision=commit.revision)
            item.resolve(Written(revision=commit.revision))

    def _sort_out(self, batch: list[_Item], *, conflict: TableConflict) -> list[_Item]:
        """Resolve the writes that met another row and return the others."""
        rows = {row.key: row for row in conflict.rows}
        others: list[_Item] = []
        for item in batch:
            row = rows.get(item.write.key)
            if row is not None or len(batch) == 1:
                item.resolve(Met(row=row))
            else:
                others.append(item)
        if len(others) == len(batch):
            # The table names no row of ours: find the one by single writes.
            self._queue.extendleft(reversed(others[1:]))
            return others[:1]
        return others

    def _remember_strays(self, batch: list[_Item], *, attempt: AttemptId) -> None:
        for item in batch:
            if item.undo:
                self._strays.append(_Stray(key=item.write.key, attempt=attempt))

    def _refuse(self, batch: Iterable[_Item], message: str) -> None:
        for item in batch:
            item.resolve(Refused(message=message))
