"""Prefers endpoints to which a connection is open, among those equal otherwise."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry


class KeptConnections(Protocol):
    """The idle connections that this router keeps."""

    def has_idle(self, *, entry: EndpointEntry) -> bool:
        """Return whether an idle connection to an endpoint is open."""


def lacks_connection(
    *, entry: EndpointEntry, connections: KeptConnections | None
) -> bool:
    """Return the sort key of an endpoint in a tie; False comes first.

    Args:
        entry: The endpoint.
        connections: The kept connections, None if the request may use none.
    """
    return connections is not None and not connections.has_idle(entry=entry)
