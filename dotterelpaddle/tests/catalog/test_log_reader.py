from __future__ import annotations

import anyio
from hypothesis import given, strategies as st

from dotterelpaddle.backing.interface import ChangePage, Transaction, Write
from dotterelpaddle.catalog.log_reader import LogReader
from dotterelpaddle.catalog.state import CatalogState
from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.standins.table import MemoryTable

KEYS = tuple(f"pool/{name}" for name in "abcde")

transactions = st.dictionaries(
    st.sampled_from(KEYS), st.sampled_from((None, b"x", b"y")), min_size=1, max_size=4
)
interruptions = st.lists(st.one_of(st.none(), transactions), max_size=12)


class UnrulyTable(MemoryTable):
    """Ends pages anywhere, fails, and takes commits between two pages."""

    def __init__(self, *, interruptions: list[dict[str, bytes | None] | None]) -> None:
        super().__init__()
        self._interruptions = list(interruptions)

    def commit(self, changes: dict[str, bytes | None]) -> None:
        writes = tuple(
            Write(key=key, expected=None, value=value) for key, value in changes.items()
        )
        attempt = AttemptId(str(self.head))
        self.transact(transaction=Transaction(attempt=attempt, writes=writes))

    async def read_page(self, *, after: Revision, limit: int) -> ChangePage:
        if self._interruptions:
            changes = self._interruptions.pop(0)
            if changes is None:
                raise PlatformUnavailable("down for a moment")
            self.commit(changes)
        page = MemoryTable.changes(self, after=after, limit=1_000)
        complete = len(page.rows) <= limit
        return ChangePage(rows=page.rows[:limit], head=page.head, complete=complete)


class PagedTable:
    """The part of a table that a reader uses."""

    def __init__(self, *, table: UnrulyTable) -> None:
        self._table = table

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        return await self._table.read_page(after=after, limit=limit)


async def _read(*, table: UnrulyTable, state: CatalogState, limit: int) -> None:
    reader = LogReader(table=PagedTable(table=table), page_limit=limit)  # type: ignore[arg-type]
    while True:
        try:
            delta = await reader.read(base=state.revision)
        except PlatformUnavailable:
            continue
        state.join(delta=delta)
        return


@given(
    before=st.lists(transactions, max_size=6),
    early=st.integers(0, 6),
    limit=st.integers(1, 3),
    interruptions=interruptions,
)
def test_range_is_whole_whatever_happens_while_it_is_read(
    before, early, limit, interruptions
):
    table = UnrulyTable(interruptions=interruptions)
    state = CatalogState()
    for number, changes in enumerate(before):
        table.commit(changes)
        if number == early:
            anyio.run(_join_all, table, state)
    anyio.run(lambda: _read(table=table, state=state, limit=limit))
    assert state.revision == table.head
    held = {entry.key: (entry.revision, entry.value) for entry in state.entries()}
    rows = {row.key: (row.revision, row.value) for row in table.read(keys=KEYS)}
    assert held == rows


async def _join_all(table: UnrulyTable, state: CatalogState) -> None:
    reader = LogReader(table=MemoryReader(table=table), page_limit=100)  # type: ignore[arg-type]
    state.join(delta=await reader.read(base=state.revision))


class MemoryReader:
    """Reads a table without interruptions."""

    def __init__(self, *, table: MemoryTable) -> None:
        self._table = table

    async def changes(self, *, after: Revision, limit: int) -> ChangePage:
        return self._table.changes(after=after, limit=limit)
