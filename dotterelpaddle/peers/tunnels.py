"""Connections to endpoints through other routers that still reach them.

A router may be cut off from endpoints that other routers reach, while its callers and
those routers reach it. Requests then go on through the tunnel server of another router,
which copies bytes and decides nothing: attempts, retries, limits and what is known of a
request's progress stay with the router that took it from its caller.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import h11
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.logs import get_logger
from dotterelpaddle.network import LinkedStream
from dotterelpaddle.peers.tunnel_server import (
    STATUS_BUSY,
    STATUS_ESTABLISHED,
    STATUS_REFUSED,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.links import Links
    from dotterelpaddle.network import LinkedBackend
    from dotterelpaddle.peers.tunnel_servers import TunnelServers

log = get_logger(name=__name__)

MAX_SERVERS_TRIED = 2
"""Routers through which one connection is tried."""

MAX_SERVERS_FAILED = 3
"""Routers that could not connect to an endpoint after which it counts as unreachable
through any, so that requests are refused at once meanwhile."""

SERVER_COOLDOWN_SECONDS = 1.0
"""Seconds for which a router is not asked again that could not be reached."""

ENDPOINT_COOLDOWN_SECONDS = 0.4
"""Seconds for which a router is not asked again for an endpoint to which it could not
connect."""

MAX_HEAD_BYTES = 4096


class TunnelStream(LinkedStream):
    """A connection to an endpoint through another router.

    Its end never counts as the end of an answer: the other router may have died.
    """

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes.

        Raises:
            httpcore.ReadError: If the tunnel ended.
        """
        data = await super().read(max_bytes, timeout)
        if not data:
            raise httpcore.ReadError("the tunnel through another router ended")
        return data


class TunnelBackend(httpcore.AsyncNetworkBackend):
    """Opens connections to endpoints through other routers.

    Args:
        servers: Tunnel servers of the other routers.
        backend: Opens connections to other routers.
        links: The process's links.
        clock: Monotonic clock.
        generator: Chooses among equal routers.
    """

    def __init__(
        self,
        *,
        servers: TunnelServers,
        backend: LinkedBackend,
        links: Links,
        clock: Clock,
        generator: random.Random,
    ) -> None:
        self._servers = servers
        self._backend = backend
        self._links = links
        self._clock = clock
        self._generator = generator
        self._server_cooldowns: dict[Address, float] = {}
        self._failed_until: dict[Address, dict[Address, float]] = {}

    def reachable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that another router may reach."""
        servers = self._usable_servers()
        return [
            entry
            for entry in entries
            if self._servers_for(target=entry.address, servers=servers)
        ]

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> LinkedStream:
        """Open a connection to an endpoint.

        Raises:
            httpcore.ConnectError: If the endpoint refuses it, or no router is left.
            httpcore.ConnectTimeout: If no router could connect in time.
        """
        target = Address(host=host, port=port)
        failure: httpcore.ConnectError | httpcore.ConnectTimeout
        failure = httpcore.ConnectError(f"no other router reaches {target}")
        servers = self._servers_for(target=target, servers=self._usable_servers())
        asked: Address | None = None
        with anyio.move_on_after(timeout) as scope:
            for server in servers[:MAX_SERVERS_TRIED]:
                asked = server
                try:
                    return await self._connect_through(server, target)
                except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
                    failure = error
                    self._record_failed(server=server, target=target)
        if scope.cancelled_caught and asked is not None:
            self._record_failed(server=asked, target=target)
            failure = httpcore.ConnectTimeout(f"no router reached {target} in time")
        log.warning("tunnel_failed", target=str(target), cause=str(failure))
        raise failure

    async def sleep(self, seconds: float) -> None:
        """Sleep between httpcore's own retries."""
        await anyio.sleep(seconds)

    def _servers_for(
        self, *, target: Address, servers: Sequence[Address]
    ) -> Sequence[Address]:
        """Return the tunnel servers that may reach an endpoint.

        Args:
            target: Address of the endpoint.
            servers: All usable tunnel servers.
        """
        now = self._clock()
        failed = {
            server
            for server, until in self._failed_until.get(target, {}).items()
            if until > now
        }
        if len(failed) >= MAX_SERVERS_FAILED:
            return ()
        return [server for server in servers if server not in failed]

    def _record_failed(self, *, server: Address, target: Address) -> None:
        now = self._clock()
        live = {
            address: failed
            for address, failed in self._failed_until.items()
            if max(failed.values()) > now
        }
        live.setdefault(target, {})[server] = now + ENDPOINT_COOLDOWN_SECONDS
        self._failed_until = live

    def _usable_servers(self) -> list[Address]:
        """Return the tunnel servers to ask, in random order to spread the load."""
        now = self._clock()
        servers = [
            server
            for server in self._servers.known()
            if self._server_cooldowns.get(server, 0.0) <= now
        ]
        self._generator.shuffle(servers)
        return servers

    async def _connect_through(self, server: Address, target: Address) -> LinkedStream:
        try:
            stream = await self._backend.connect_tcp(server.host, server.port)
        except httpcore.ConnectError:
            self._server_cooldowns[server] = self._clock() + SERVER_COOLDOWN_SECONDS
            raise
        established = False
        try:
            status = await _request_tunnel(stream, target)
            established = status == STATUS_ESTABLISHED
        except httpcore.NetworkError as error:
            raise httpcore.ConnectError(f"{server}: {error}") from error
        finally:
            if not established:
                await stream.aclose()
        if status == STATUS_BUSY:
            self._server_cooldowns[server] = self._clock() + SERVER_COOLDOWN_SECONDS
        if not established:
            message = f"the router at {server} answered {status} for {target}"
            if status == STATUS_REFUSED:
                raise httpcore.ConnectError(message)
            raise httpcore.ConnectTimeout(message)
        return TunnelStream(stream=stream, peer=server, links=self._links)


async def _request_tunnel(stream: LinkedStream, target: Address) -> int:
    """Send a CONNECT request and return the status of its answer.

    Raises:
        httpcore.NetworkError: If the other router sent no answer.
    """
    connection = h11.Connection(h11.CLIENT)
    request = h11.Request(
        method="CONNECT", target=str(target), headers=[("Host", str(target))]
    )
    await stream.write(connection.send(request) or b"")
    await stream.write(connection.send(h11.EndOfMessage()) or b"")
    while True:
        try:
            event = connection.next_event()
        except h11.RemoteProtocolError as error:
            raise httpcore.ReadError(str(error)) from error
        if isinstance(event, h11.Response):
            return event.status_code
        if event is not h11.NEED_DATA:
            raise httpcore.ReadError("the other router sent no answer")
        connection.receive_data(await stream.read(MAX_HEAD_BYTES))
