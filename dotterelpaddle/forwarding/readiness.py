"""The ASGI application for the readiness checks of the balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from dotterelpaddle.forwarding.app import Receive
    from dotterelpaddle.forwarding.reply import Send


class ReadinessApp:
    """Answers 200 while the router is ready for callers, else 503.

    Args:
        is_ready: Returns whether the router is ready.
    """

    def __init__(self, *, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, scope: Mapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one readiness check, whatever its path."""
        ready = self._is_ready()
        body = b"ready\n" if ready else b"not ready\n"
        headers = [(b"content-length", str(len(body)).encode())]
        await send(
            {
                "type": "http.response.start",
                "status": 200 if ready else 503,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": body})
