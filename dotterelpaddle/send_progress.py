"""How far a request over httpcore came, which decides what its failure means."""

from __future__ import annotations

from typing import Any

FIRST_SENDING_EVENT = "send_request_headers.started"
"""End of the name of httpcore's first event after which bytes may be on the way."""


class SendProgress:
    """Whether bytes of one request may have left this host.

    Attributes:
        may_have_sent: Whether they may.
    """

    def __init__(self) -> None:
        self.may_have_sent = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        """Take in an event; give it to httpcore as the extension ``trace``."""
        if event.endswith(FIRST_SENDING_EVENT):
            self.may_have_sent = True
