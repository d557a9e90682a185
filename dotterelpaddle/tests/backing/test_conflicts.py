from __future__ import annotations

import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.backing.http import open_platform
from dotterelpaddle.backing.interface import Transaction, Write
from dotterelpaddle.exceptions import TableConflict
from dotterelpaddle.ids import AttemptId, Revision
from dotterelpaddle.links import Links
from dotterelpaddle.standins.platform import run_platform

pytestmark = pytest.mark.anyio

TOKEN = "token"


def _creation(attempt: str) -> Transaction:
    write = Write(key="key", expected=Revision(0), value=b"first")
    return Transaction(attempt=AttemptId(attempt), writes=(write,))


async def test_conflict_tells_the_rows_that_it_met() -> None:
    async with (
        run_platform(address=Address(host="127.0.0.1", port=0), token=TOKEN) as standin,
        open_platform(
            url=f"http://{standin.address}", token=TOKEN, timeout=10, links=Links()
        ) as platform,
    ):
        commit = await platform.claims.transact(transaction=_creation("first"))
        with pytest.raises(TableConflict) as caught:
            await platform.claims.transact(transaction=_creation("second"))

    (row,) = caught.value.rows
    assert (row.key, row.value, row.revision) == ("key", b"first", commit.revision)
