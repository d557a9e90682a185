"""A stand-in for the platform's metadata store: rows, feeds and transactions."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from urllib.parse import parse_qs

from http1 import Request, Server, encode_answer, read_request

ANSWER_SECONDS = 0.004


class Store:
    """Keeps rows and their history; the operator and runners write to it directly.

    Args:
        history_seconds: Seconds for which it keeps the history of changes.
    """

    def __init__(self, *, history_seconds: float = 20.0) -> None:
        self._history_seconds = history_seconds
        self._times: list[tuple[float, int]] = []
        self._forgotten = 0
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._history: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self.version = 0
        self.calls: list[tuple[float, str]] = []
        self.server = Server(self._serve)

    def put(self, table: str, key: str, value: Any, part: str = "") -> int:
        """Write a row; return the version of the change."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self._put(table, part, key, base64.b64encode(data).decode())
        self._wake()
        return self.version

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        if (table, part, key) in self._rows:
            self.version += 1
            self._remove(table, part, key)
            self._wake()

    def _put(self, table: str, part: str, key: str, value: str) -> None:
        self._rows[table, part, key] = value, self.version
        row = {"table": table, "part": part, "key": key, "value": value}
        self._history.append((self.version, table, {**row, "ver": self.version}))

    def _remove(self, table: str, part: str, key: str) -> None:
        del self._rows[table, part, key]
        row = {"table": table, "part": part, "key": key, "removed": True}
        self._history.append((self.version, table, {**row, "ver": self.version}))

    def _wake(self) -> None:
        now = time.monotonic()
        self._times.append((now, self.version))
        while self._times[0][0] < now - self._history_seconds:
            self._forgotten = self._times.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            self.calls.append((time.monotonic(), request.target))
            await asyncio.sleep(ANSWER_SECONDS)
            status, document = await self._answer(request)
            document["nowMs"] = round(time.monotonic() * 1000)
            headers = {"Content-Type": "application/json"}
            writer.write(encode_answer(status, headers, json.dumps(document).encode()))
            await writer.drain()

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
        _, _, text = request.target.partition("?")
        query = {name: each[0] for name, each in parse_qs(text).items()}
        match request.path:
            case "/-/rows-get":
                return 200, self._page(query)
            case "/-/rows-feed" if int(query["afterRev"]) < self._forgotten:
                return 410, {}
            case "/-/rows-feed":
                return 200, await self._feed(query)
            case "/-/rows-tx":
                return self._transact(json.loads(request.body))
        return 404, {}

    def _page(self, query: dict[str, str]) -> dict[str, Any]:
        limit = min(500, int(query.get("limit", 500)))
        rows = [
            {"table": table, "part": part, "key": key, "value": value, "ver": version}
            for (table, part, key), (value, version) in sorted(self._rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        truncated = len(rows) > limit
        return {"rows": rows[:limit], "truncated": truncated, "ver": self.version}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        after = int(query["afterRev"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [
                row
                for version, table, row in self._history
                if version > after and table == query["table"]
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        entries = [*body.get("put", ()), *body.get("remove", ())]
        if any(each["table"] in ("op", "servers") for each in entries):
            return 403, {"ver": self.version}
        for each in body.get("expectedRev", ()):
            key = each["table"], each.get("part", ""), each["key"]
            if self._rows.get(key, ("", 0))[1] != each["ver"]:
                return 412, {"rows": [], "ver": self.version}
        if entries:
            self.version += 1
        for each in body.get("put", ()):
            self._put(each["table"], each.get("part", ""), each["key"], each["value"])
        for each in body.get("remove", ()):
            key = each["table"], each.get("part", ""), each["key"]
            if key in self._rows:
                self._remove(*key)
        self._wake()
        return 200, {"ver": self.version}
