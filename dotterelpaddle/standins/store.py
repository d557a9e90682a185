"""Stand-in for the store of the users' platform, with a switch for each fault.

The store can come back from a copy: it loses its last changes, assigns their revisions
again and begins a new era, which all its answers name.
"""

from __future__ import annotations

import base64
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

import anyio
import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.http_server import ReplyCut, serve
from dotterelpaddle.platform.names import CONFIGURATION_KEY, CallPath, Header, Table

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

FORBIDDEN = 403
NOT_FOUND = 404
HISTORY_LOST = 410
CONDITION_FAILED = 412
UNAVAILABLE = 503
ANYWHERE = Address(host="127.0.0.1", port=0)


@dataclass(frozen=True, kw_only=True, slots=True)
class Answering:
    """The store answers normally."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusing:
    """The store rejects each call.

    Attributes:
        status: HTTP status of its answers.
    """

    status: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Silent:
    """The store accepts calls and never answers."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Cutting:
    """The store closes the connection in the middle of each answer."""


Condition = Answering | Refusing | Silent | Cutting
"""Whether and how the store answers calls."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Change:
    """A change of a row.

    Attributes:
        table: Table of the row.
        part: Part of the table; the platform's own rows are in the empty one.
        key: Key of the row.
        value: The new value, None if the row is removed.
        revision: Revision of the change.
    """

    table: str
    part: str
    key: str
    value: bytes | None
    revision: int


@dataclass(kw_only=True)
class StoreStandin:
    """Stores rows and their history, and serves them as an ASGI application.

    Attributes:
        condition: Whether and how it answers calls.
        era: Number of its returns from a copy; None if its answers name no era.
        page_rows: Maximum number of rows per answer.
        return_before_page: Number of the page of a listing before which it comes back
            from a copy that has all rows; 0 for none.
        rejects_writes: Whether it rejects transactions, while it answers other calls.
        calls: Paths of the received calls.
    """

    condition: Condition = field(default_factory=Answering)
    era: int | None = 0
    page_rows: int = 500
    return_before_page: int = 0
    rejects_writes: bool = False
    calls: list[str] = field(default_factory=list)
    _changes: list[_Change] = field(default_factory=list)
    _oldest: int = 0
    _revision: int = 0
    _changed: anyio.Event = field(default_factory=anyio.Event)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def put(
        self,
        *,
        table: str,
        key: str,
        value: Mapping[str, Any] | bytes,
        part: str = "",
    ) -> None:
        """Write a row."""
        content = value if isinstance(value, bytes) else orjson.dumps(value)
        self._change(table=table, part=part, key=key, value=content)

    def remove(self, *, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self._change(table=table, part=part, key=key, value=None)

    def configure(self, *, configuration: Mapping[str, Any] | bytes) -> None:
        """Write the operator's configuration."""
        self.put(table=Table.OPERATOR, key=CONFIGURATION_KEY, value=configuration)

    def forget_history(self) -> None:
        """Discard the history of changes but not the rows."""
        self._oldest = self._revision

    def return_from_copy(self, *, revision: int) -> None:
        """Come back from a copy as of a revision, and begin a new era.

        Args:
            revision: Revision of the copy; later changes are lost and their revisions
                are assigned again.

        Raises:
            ValueError: If the store names no eras.
        """
        if self.era is None:
            raise ValueError("a store without eras can't come back from a copy")
        self._changes = [each for each in self._changes if each.revision <= revision]
        self._revision = revision
        self._oldest = min(self._oldest, revision)
        self.era += 1
        self.wake()

    def wake(self) -> None:
        """Make waiting calls check the condition and the rows again."""
        self._changed.set()
        self._changed = anyio.Event()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call; the ASGI interface."""
        query = {
            name: values[0]
            for name, values in parse_qs(scope["query_string"].decode()).items()
        }
        self.calls.append(scope["path"])
        await self._fail(send=send)
        match scope["path"]:
            case CallPath.READ:
                await self._reply(send, 200, self._page(query=query))
            case CallPath.WATCH:
                await self._watch(send=send, query=query)
            case CallPath.WRITE if self.rejects_writes:
                await self._reply(send, UNAVAILABLE, {})
            case CallPath.WRITE:
                await self._write(receive=receive, send=send)
            case _:
                await self._reply(send, NOT_FOUND, {})

    async def _fail(self, *, send: Any) -> None:
        match self.condition:
            case Refusing(status=status):
                await self._reply(send, status, {})
                raise ReplyCut("refused")
            case Silent():
                await anyio.sleep_forever()
            case Cutting():
                start = {"type": "http.response.start", "status": 200}
                await send({**start, "headers": [(b"content-length", b"1000")]})
                raise ReplyCut("cut")
            case Answering():
                pass

    async def _watch(self, *, send: Any, query: Mapping[str, str]) -> None:
        after, wait = int(query["afterRev"]), int(query["waitMs"]) / 1000
        with anyio.move_on_after(wait):
            while self._has_history(after=after) and not self._since(
                table=query["table"], after=after
            ):
                await self._changed.wait()
                await self._fail(send=send)
        if not self._has_history(after=after):
            await self._reply(send, HISTORY_LOST, {})
            return
        rows = [
            _row(change) for change in self._since(table=query["table"], after=after)
        ]
        await self._reply(
            send, 200, {"rows": rows, "ver": self._revision, "nowMs": _now_ms()}
        )

    async def _write(self, *, receive: Any, send: Any) -> None:
        """Apply a transaction to the tables of the routers if its conditions hold."""
        body, more = b"", True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        transaction = orjson.loads(body)
        changes = [*transaction["put"], *transaction["remove"]]
        if {each["table"] for each in changes} & {Table.OPERATOR, Table.ENDPOINTS}:
            await self._reply(send, FORBIDDEN, {})
            return
        if not all(self._has_revision(each) for each in transaction["expectedRev"]):
            await self._reply(
                send,
                CONDITION_FAILED,
                {"rows": [], "ver": self._revision, "nowMs": _now_ms()},
            )
            return
        for each in transaction["put"]:
            self.put(
                table=each["table"],
                key=each["key"],
                value=base64.b64decode(each["value"], validate=True),
            )
        for each in transaction["remove"]:
            self.remove(table=each["table"], key=each["key"])
        await self._reply(send, 200, {"ver": self._revision, "nowMs": _now_ms()})

    def _has_revision(self, expected: Mapping[str, Any]) -> bool:
        """Return whether a row has an expected revision, 0 if it doesn't exist."""
        changes = [
            change
            for change in self._changes
            if (change.table, change.key) == (expected["table"], expected["key"])
        ]
        exists = bool(changes) and changes[-1].value is not None
        return expected["ver"] == (changes[-1].revision if exists else 0)

    def _has_history(self, *, after: int) -> bool:
        return self._oldest <= after <= self._revision

    def _change(self, *, table: str, part: str, key: str, value: bytes | None) -> None:
        self._revision += 1
        change = _Change(
            table=table, part=part, key=key, value=value, revision=self._revision
        )
        self._changes.append(change)
        self.wake()

    def _since(self, *, table: str, after: int) -> list[_Change]:
        return [
            change
            for change in self._changes
            if change.table == table and change.revision > after
        ]

    def _page(self, *, query: Mapping[str, str]) -> dict[str, Any]:
        """Return a page of a table's rows from the key `from` on."""
        if self.return_before_page:
            self.return_before_page -= 1
            if not self.return_before_page:
                self.return_from_copy(revision=self._revision)
        newest = {
            change.key: change
            for change in self._changes
            if change.table == query["table"]
            and change.part == query.get("part", "")
            and change.key >= query.get("from", "")
            and ("to" not in query or change.key < query["to"])
        }
        rows = [
            _row(newest[key]) for key in sorted(newest) if newest[key].value is not None
        ]
        return {
            "rows": rows[: self.page_rows],
            "truncated": len(rows) > self.page_rows,
            "ver": self._revision,
            "nowMs": _now_ms(),
        }

    async def _reply(self, send: Any, status: int, document: Mapping[str, Any]) -> None:
        body = orjson.dumps(document)
        headers = [(b"content-length", str(len(body)).encode())]
        if self.era is not None:
            headers.append((Header.STORE_ERA, str(self.era).encode()))
        start = {"type": "http.response.start", "status": status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": body})


@asynccontextmanager
async def run_store(
    *, store: StoreStandin, address: Address = ANYWHERE
) -> AsyncIterator[Address]:
    """Serve a store until the context ends.

    Yields:
        Address that it listens on.
    """
    async with serve(app=store, address=address, grace=1.0) as bound:
        yield bound


def _now_ms() -> int:
    """Return the time of the store's clock, which is the event loop's."""
    return round(1000 * anyio.current_time())


def _row(change: _Change) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": change.table,
        "part": change.part,
        "key": change.key,
        "ver": change.revision,
    }
    if change.value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(change.value).decode()}
