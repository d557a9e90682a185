"""Tracks whether a failed httpcore request may have reached its peer."""

from __future__ import annotations

from typing import Any

FIRST_SENDING_EVENT = "send_request_headers.started"
"""Suffix of the first httpcore trace event after which bytes may have been sent."""


class SendProgress:
    """Tracks whether this host may have sent bytes of one request.

    Attributes:
        may_have_sent: Whether it may have sent any.
    """

    def __init__(self) -> None:
        self.may_have_sent = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Handle a trace event; pass this method to httpcore as extension ``trace``."""
        if event.endswith(FIRST_SENDING_EVENT):
            self.may_have_sent = True
