"""Connections of a stand-in that can be dropped or fall silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    import asyncio

    from starlette.types import Scope

SCOPE_KEY = "dotterelpaddle.connection"
"""Where an ASGI scope holds its connection."""


class _Transport:
    """A transport that swallows what is written once it has gone silent."""

    def __init__(self, *, transport: asyncio.Transport) -> None:
        self._transport = transport
        self.silent = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        """Write, unless silent."""
        if not self.silent:
            self._transport.write(data)

    def close(self) -> None:
        """Close, unless silent."""
        if not self.silent:
            self._transport.close()


class _Connection(HttpToolsProtocol):
    """A connection that its registry can drop or silence."""

    registry: Connections

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        self.silent = False
        wrapped: Any = _Transport(transport=transport)
        super().connection_made(wrapped)
        self.registry.add(connection=self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.discard(connection=self)
        # The far end of a silent connection never learns that it was closed.
        if not self.silent:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if not self.silent:
            super().data_received(data)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.scope[SCOPE_KEY] = self  # type: ignore[literal-required]

    def drop(self) -> None:
        """Reset the connection."""
        self.transport.abort()

    def go_silent(self) -> None:
        """Neither read nor write any more, without closing."""
        self.silent = True
        wrapped: Any = self.transport
        wrapped.silent = True
        # The server must not wait for it at shutdown.
        self.connections.discard(self)


class Connections:
    """The open connections of one stand-in."""

    def __init__(self) -> None:
        self._open: set[_Connection] = set()

    @property
    def count(self) -> int:
        """How many connections are open, silent ones included."""
        return len(self._open)

    def protocol(self) -> type[asyncio.Protocol]:
        """Make the class of connections for a server."""
        return type("Connection", (_Connection,), {"registry": self})

    def add(self, *, connection: _Connection) -> None:
        """Count a new connection."""
        self._open.add(connection)

    def discard(self, *, connection: _Connection) -> None:
        """Forget a closed connection."""
        self._open.discard(connection)

    def drop(self, *, keep: Scope | None = None) -> None:
        """Reset all connections that are open now.

        Args:
            keep: ASGI scope of a request whose connection stays.
        """
        for connection in self._others(keep=keep):
            connection.drop()

    def go_silent(self, *, keep: Scope | None = None) -> None:
        """Silence all connections that are open now; new ones work.

        Args:
            keep: ASGI scope of a request whose connection stays.
        """
        for connection in self._others(keep=keep):
            connection.go_silent()

    def _others(self, *, keep: Scope | None) -> tuple[_Connection, ...]:
        kept = None if keep is None else keep[SCOPE_KEY]
        return tuple(each for each in self._open if each is not kept)


def drop_connection(*, scope: Scope) -> None:
    """Reset the connection that a request came by."""
    scope[SCOPE_KEY].drop()


def close_connection(*, scope: Scope) -> None:
    """Close the connection that a request came by, after what has been written."""
    scope[SCOPE_KEY].transport.close()
