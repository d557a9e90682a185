"""ASGI application that serves snapshots to other routers and metrics to scrapers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelpaddle.peers.fetching import CONFIGURATION_PATH, SNAPSHOT_PATH
from dotterelpaddle.peers.snapshot import (
    ConfigurationDocument,
    SnapshotRequest,
    encode_snapshot,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelpaddle.forwarding.app import Receive
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.metrics import MetricsPage
    from dotterelpaddle.forwarding.reply import Send
    from dotterelpaddle.forwarding.view import FleetView


METRICS_PATH = "/metrics"


class ControlApp:
    """Serves this router's configuration, its snapshot and its metrics.

    Args:
        view: Configuration and endpoints in force.
        caches: Prompt parts that each endpoint has cached.
        metrics: Renders the metrics page.
    """

    def __init__(
        self, *, view: FleetView, caches: CacheMap, metrics: MetricsPage
    ) -> None:
        self._view = view
        self._caches = caches
        self._metrics = metrics
        self._configuration = ConfigurationDocument(view=view)

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one request; an unknown path gets status 404."""
        match scope["path"]:
            case path if path == CONFIGURATION_PATH:
                await _reply(send=send, status=200, body=self._configuration.content)
            case path if path == SNAPSHOT_PATH:
                body = self._snapshot(query=scope["query_string"].decode("latin-1"))
                await _reply(send=send, status=200, body=body)
            case path if path == METRICS_PATH:
                await _reply(send=send, status=200, body=self._metrics.render())
            case _:
                await _reply(send=send, status=404, body=b"")

    def _snapshot(self, *, query: str) -> bytes:
        request = SnapshotRequest.parse(query=query)
        return encode_snapshot(view=self._view, caches=self._caches, request=request)


async def _reply(*, send: Send, status: int, body: bytes) -> None:
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": body})
