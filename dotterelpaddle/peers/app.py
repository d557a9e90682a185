"""The ASGI application for other routers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from dotterelpaddle.peers.fetching import SNAPSHOT_PATH
from dotterelpaddle.peers.snapshot import encode_snapshot

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.app import Receive
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.reply import Send
    from dotterelpaddle.forwarding.view import FleetView


class SnapshotApp:
    """Hands out what this router knows.

    Args:
        view: What it acts on.
        caches: Where it knows parts of prompts to be.
    """

    def __init__(self, *, view: FleetView, caches: CacheMap) -> None:
        self._view = view
        self._caches = caches

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one request."""
        if scope["path"] != SNAPSHOT_PATH:
            await _reply(send=send, status=404, body=b"")
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        version = query.get("version", ["0"])[0]
        body = encode_snapshot(
            view=self._view,
            caches=self._caches,
            version=int(version) if version.isdigit() else 0,
        )
        await _reply(send=send, status=200, body=body)


async def _reply(*, send: Send, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
