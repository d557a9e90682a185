"""HTTP between routers and a store in memory, for tests in virtual time."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.address import Address

ONE_WAY_SECONDS = 0.001
"""Time that a request or an answer takes."""


@dataclass(kw_only=True)
class MemoryHttp:
    """ASGI applications by address."""

    apps: dict[tuple[str, int], Any] = field(default_factory=dict)

    def listen(self, *, address: Address, app: Any) -> None:
        """Serve requests to an address with an application."""
        self.apps[address.host, address.port] = app


class MemoryPool:
    """Replaces the connection pool of one process.

    Args:
        http: The applications.
        is_cut: Tells whether requests to an address get lost.
    """

    def __init__(
        self, *, http: MemoryHttp, is_cut: Callable[[str, int], bool] | None = None
    ) -> None:
        self._http = http
        self._is_cut = is_cut

    @property
    def connections(self) -> list[httpcore.AsyncConnectionInterface]:
        """Open connections, of which it keeps none."""
        return []

    async def __aenter__(self) -> MemoryPool:
        return self

    async def __aexit__(self, *_: object) -> None:
        return None

    async def request(
        self,
        method: str,
        url: httpcore.URL,
        headers: list[tuple[bytes, bytes]] | None = None,
        content: bytes = b"",
    ) -> httpcore.Response:
        """Send a request; one that gets lost has no answer."""
        host, port = url.host.decode(), url.port or 0
        if self._is_cut is not None and self._is_cut(host, port):
            await anyio.sleep_forever()
        await anyio.sleep(ONE_WAY_SECONDS)
        path, _, query = url.target.partition(b"?")
        scope = {
            "type": "http",
            "method": method,
            "path": path.decode(),
            "query_string": query,
            "headers": headers or [],
        }

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": content}

        answer = _Answer()
        await self._http.apps[host, port](scope, receive, answer.send)
        await anyio.sleep(ONE_WAY_SECONDS)
        response = httpcore.Response(
            answer.status, headers=answer.headers, content=bytes(answer.body)
        )
        await response.aread()
        return response


@dataclass(kw_only=True)
class _Answer:
    """Collects what an application sends."""

    status: int = 0
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)

    async def send(self, message: dict[str, Any]) -> None:
        match message["type"]:
            case "http.response.start":
                self.status, self.headers = message["status"], message["headers"]
            case _:
                self.body += message.get("body", b"")
