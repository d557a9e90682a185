"""Tests of the lists of cached prompt parts that engines return."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import orjson
import pytest

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.ids import EndpointId
from dotterelpaddle.platform import engines
from dotterelpaddle.platform.engines import MAX_LIST_BYTES, decode_cached_parts
from dotterelpaddle.tests.forwarding.entries import make_entry

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio

CHUNK = b"x" * 65536
DEEP = b'{"a":' * 1000 + b"1" + b"}" * 1000
"""Nested as deeply as JSON decoders read; to write it as text needs a recursion as deep
as Python allows."""

ROWS = [
    b"null",
    b"7",
    b'"text"',
    b'[["","aa",1]]',
    b'[["",7,1,"m"]]',
    b'[["","aa","1","m"]]',
    b'[["","aa",1.5,"m"]]',
    b'[["","aa",1,null]]',
    b'[["",%b,1,"m"]]' % DEEP,
    b'[["","aa",1,%b]]' % DEEP,
]


def test_list_is_decoded() -> None:
    content = orjson.dumps({"held": [["", "aa", 5, "m"]]})

    assert len(decode_cached_parts(content=content, entry=make_entry("a")).parts) == 1


# Guards against lists of another writer that end the router, which asks all engines as
# it starts.
@pytest.mark.parametrize("rows", ROWS)
def test_list_with_odd_rows_is_an_error_of_the_endpoint(rows: bytes) -> None:
    with pytest.raises(EndpointError, match="can't be decoded"):
        decode_cached_parts(content=b'{"held":%b}' % rows, entry=make_entry("a"))


@pytest.mark.parametrize("born", [b'"today"', DEEP])
def test_list_with_an_odd_start_is_an_error_of_the_endpoint(born: bytes) -> None:
    with pytest.raises(EndpointError, match="can't be decoded"):
        decode_cached_parts(
            content=b'{"held":[],"born":%b}' % born, entry=make_entry("a")
        )


# Guards against a list without end, all of which is kept until the time-out.
async def test_list_without_end_is_given_up() -> None:
    taken = 0

    async def send_without_end() -> AsyncIterator[bytes]:
        nonlocal taken
        while True:
            taken += len(CHUNK)
            yield CHUNK

    response = cast("Any", SimpleNamespace(aiter_stream=send_without_end))
    with pytest.raises(EndpointError, match="exceeds"):
        await engines._read_bounded(response=response, peer=EndpointId("a"))

    assert taken <= MAX_LIST_BYTES + len(CHUNK)
