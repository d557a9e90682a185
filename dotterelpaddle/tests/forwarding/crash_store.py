"""Stand-in for the row of the platform's store that outlives all routers."""

from __future__ import annotations

from dataclasses import dataclass

import anyio

from dotterelpaddle.exceptions import PlatformUnavailable

ANSWER_SECONDS = 0.004


@dataclass(kw_only=True)
class MemoryCrashStore:
    """A row in memory.

    Attributes:
        row: Its value, None without any.
        away: Whether all calls fail.
        calls: Number of calls.
    """

    row: bytes | None = None
    away: bool = False
    calls: int = 0

    async def crash_row(self) -> bytes | None:
        await self._call()
        return self.row

    async def put_crash_row(self, *, row: bytes) -> None:
        await self._call()
        self.row = row

    async def _call(self) -> None:
        self.calls += 1
        await anyio.sleep(ANSWER_SECONDS)
        if self.away:
            raise PlatformUnavailable("the store is away", peer="store")
