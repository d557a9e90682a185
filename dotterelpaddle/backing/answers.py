"""Reads the platform's answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import PlatformError, PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import TypeVar

    from dotterelpaddle.backing.connection import (
        PlatformConnection,
        PlatformResponse,
    )

    T = TypeVar("T")

HTTP_OK = 200
HTTP_NO_CONTENT = 204


def check(*, connection: PlatformConnection, response: PlatformResponse) -> None:
    """Refuse a status that the interface does not foresee.

    Raises:
        PlatformUnavailable: The platform understood nothing, so nothing
            took effect.
    """
    if response.status not in (HTTP_OK, HTTP_NO_CONTENT):
        raise PlatformUnavailable(
            f"the platform answered with status {response.status}",
            peer=connection.peer,
        )


def decode_answer(
    *,
    connection: PlatformConnection,
    response: PlatformResponse,
    decode: Callable[[bytes], T],
    unreadable: type[PlatformError] = PlatformUnavailable,
) -> T:
    """Check and read an answer.

    Raises:
        PlatformUnavailable: If the status is none that has an answer.
        PlatformError: Of the given type, if the body can't be read.
    """
    check(connection=connection, response=response)
    return read_answer(
        connection=connection,
        response=response,
        decode=decode,
        unreadable=unreadable,
    )


def read_answer(
    *,
    connection: PlatformConnection,
    response: PlatformResponse,
    decode: Callable[[bytes], T],
    unreadable: type[PlatformError],
) -> T:
    """Read an answer's body, whatever its status.

    Raises:
        PlatformError: Of the given type, if it can't be read.
    """
    try:
        return decode(response.body)
    except (KeyError, TypeError, ValueError) as error:
        raise unreadable(
            f"the platform's answer can't be read: {error!r}", peer=connection.peer
        ) from error
