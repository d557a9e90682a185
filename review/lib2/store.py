"""The platform's metadata store: rows, transactions and the feed of changes."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from wire import Request, answer, read_request

ANSWER_SECONDS = 0.004
MAX_ROWS = 500

Key = tuple[str, str, str]


class Store:
    """A store that keeps all its history and answers each call in 4 ms."""

    def __init__(self) -> None:
        self._rows: dict[Key, tuple[bytes, int]] = {}
        self._changes: list[tuple[int, Key, bytes | None]] = []
        self._version = 1
        self._changed = asyncio.Event()
        self.address = ("", 0)

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value: bytes, part: str = "") -> None:
        """Write a row."""
        self._version += 1
        self._rows[table, part, key] = value, self._version
        self._note((table, part, key), value)

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        if self._rows.pop((table, part, key), None) is not None:
            self._version += 1
            self._note((table, part, key), None)

    def _note(self, key: Key, value: bytes | None) -> None:
        self._changes.append((self._version, key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                await asyncio.sleep(ANSWER_SECONDS)
                status, document = await self._answer(request)
                body = json.dumps(document).encode()
                writer.write(answer(status, body, Content_Type="application/json"))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
        url = urlsplit(request.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        match url.path:
            case "/-/rows-get":
                return 200, self._listing(query)
            case "/-/rows-feed":
                return 200, await self._feed(query)
            case "/-/rows-tx":
                return self._transaction(json.loads(request.body))
        return 404, {}

    def _base(self) -> dict[str, Any]:
        return {"ver": self._version, "nowMs": time.monotonic() * 1000}

    def _listing(self, query: dict[str, str]) -> dict[str, Any]:
        first, last = query.get("from", ""), query.get("to", "")
        rows = [
            _row(key, value, version)
            for key, (value, version) in sorted(self._rows.items())
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (not last or key[2] < last)
        ]
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        return {"rows": rows[:limit], "truncated": len(rows) > limit, **self._base()}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [
                _row(key, value, version)
                for version, key, value in self._changes
                if version > int(query["afterRev"]) and key[0] == query["table"]
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, **self._base()}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transaction(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for each in document["expectedRev"]:
            known = self._rows.get((each["table"], each["part"], each["key"]))
            if (known[1] if known else 0) != each["ver"]:
                return 412, {"rows": [], **self._base()}
        for each in document["put"]:
            value = base64.b64decode(each["value"])
            self.put(each["table"], each["key"], value, each["part"])
        for each in document.get("remove", ()):
            self.drop(each["table"], each["key"], each["part"])
        return 200, self._base()


def _row(key: Key, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {"table": key[0], "part": key[1], "key": key[2]}
    row["ver"] = version
    if value is None:
        row["removed"] = True
    else:
        row["value"] = base64.b64encode(value).decode()
    return row
