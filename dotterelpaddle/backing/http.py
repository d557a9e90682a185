"""Client of the platform's HTTP interface."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from dotterelpaddle.backing import wire
from dotterelpaddle.backing.answers import check, decode_answer
from dotterelpaddle.backing.connection import (
    HTTP_NOT_FOUND,
    Effect,
    PlatformConnection,
    PlatformRequest,
)
from dotterelpaddle.backing.http_table import HttpTable
from dotterelpaddle.backing.interface import Platform, TableName

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.backing.interface import Host
    from dotterelpaddle.ids import RouterId
    from dotterelpaddle.links import Links


@asynccontextmanager
async def open_platform(
    *, url: str, token: str, timeout: float, links: Links
) -> AsyncIterator[Platform]:
    """Open a client of the platform.

    Args:
        url: Address of the platform, ``http://HOST:PORT``.
        token: Bearer token that it asks for.
        timeout: Seconds after which a request counts as failed.
        links: The process's links.

    Yields:
        The platform; nothing is sent before it is asked for something.
    """
    connection = PlatformConnection(url=url, token=token, timeout=timeout, links=links)
    try:
        yield Platform(
            records=HttpTable(connection=connection, name=TableName.RECORDS),
            leases=HttpTable(connection=connection, name=TableName.LEASES),
            claims=HttpTable(connection=connection, name=TableName.CLAIMS),
            objects=HttpObjectStore(connection=connection),
            hosts=HttpHostList(connection=connection),
            weights=HttpWeightStore(connection=connection),
        )
    finally:
        await connection.aclose()


class HttpObjectStore:
    """The platform's object store.

    Args:
        connection: The way to the platform.
    """

    def __init__(self, *, connection: PlatformConnection) -> None:
        self._connection = connection

    async def put(self, *, name: str, content: bytes) -> None:
        """Write an object."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="PUT",
                path=wire.object_path(name=name),
                body=content,
                effect=Effect.WRITE,
            )
        )
        check(connection=self._connection, response=response)

    async def get(self, *, name: str) -> bytes | None:
        """Read an object, None if there is none."""
        response = await self._connection.send(
            request=PlatformRequest(method="GET", path=wire.object_path(name=name))
        )
        if response.status == HTTP_NOT_FOUND:
            return None
        check(connection=self._connection, response=response)
        return response.body


class HttpHostList:
    """The platform's list of hosts.

    Args:
        connection: The way to the platform.
    """

    def __init__(self, *, connection: PlatformConnection) -> None:
        self._connection = connection

    async def hosts(self) -> tuple[Host, ...]:
        """Read the list, which may be some seconds old."""
        response = await self._connection.send(
            request=PlatformRequest(method="GET", path=wire.HOSTS_PATH)
        )
        return decode_answer(
            connection=self._connection, response=response, decode=wire.decode_hosts
        )

    async def register(self, *, host: Host) -> None:
        """Announce a host, or its leaving."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="PUT",
                path=wire.host_path(router=host.router),
                body=wire.encode_host(host=host),
                effect=Effect.WRITE,
            )
        )
        check(connection=self._connection, response=response)

    async def deregister(self, *, router: RouterId) -> None:
        """Take a host off the list."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="DELETE",
                path=wire.host_path(router=router),
                effect=Effect.WRITE,
            )
        )
        if response.status != HTTP_NOT_FOUND:
            check(connection=self._connection, response=response)


class HttpWeightStore:
    """The platform's rate-limited weight store.

    Args:
        connection: The way to the platform.
    """

    def __init__(self, *, connection: PlatformConnection) -> None:
        self._connection = connection

    async def reserve(self, *, name: str, size: int) -> float:
        """Ask for a transfer; returns in how many seconds it may start."""
        response = await self._connection.send(
            request=PlatformRequest(
                method="POST",
                path=wire.RESERVATIONS_PATH,
                body=wire.encode_reservation(name=name, size=size),
                effect=Effect.WRITE,
            )
        )
        return decode_answer(
            connection=self._connection,
            response=response,
            decode=wire.decode_reservation,
        )
