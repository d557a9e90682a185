"""Reads query parameters and bodies of operators' requests."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dotterelpaddle.exceptions import BodyTooLarge, MalformedRequest, Step
from dotterelpaddle.ids import Revision
from dotterelpaddle.operator import wire

if TYPE_CHECKING:
    from starlette.requests import Request

MAX_BODY = 2**20
"""Longest body of a request, bytes."""

MAX_WRITER = 64
"""Characters kept of a writer's name."""

ATTEMPT_PATTERN = re.compile(r"[A-Za-z0-9-]{8,64}")

TRUE_VALUES = frozenset({"1", "true", "yes"})
FALSE_VALUES = frozenset({"", "0", "false", "no"})


def read_flag(*, request: Request, name: str) -> bool:
    """Read a flag, false if it is absent.

    Raises:
        MalformedRequest: If it is neither true nor false.
    """
    value = request.query_params.get(name, "").lower()
    if value in TRUE_VALUES:
        return True
    if value in FALSE_VALUES:
        return False
    raise _malformed(name=name, value=value, wanted="true or false")


def read_number(*, request: Request, name: str) -> Revision:
    """Read a revision that must be there.

    Raises:
        MalformedRequest: If it is absent or no whole number from 0.
    """
    number = read_optional_number(request=request, name=name)
    if number is None:
        raise _malformed(name=name, value="", wanted="a revision")
    return number


def read_optional_number(*, request: Request, name: str) -> Revision | None:
    """Read a revision, None if it is absent.

    Raises:
        MalformedRequest: If it is no whole number from 0.
    """
    value = request.query_params.get(name, "")
    if not value:
        return None
    if not (value.isascii() and value.isdigit()):
        raise _malformed(name=name, value=value, wanted="a revision")
    return Revision(int(value))


def read_seconds(
    *, request: Request, name: str, default: float, maximum: float
) -> float:
    """Read a duration in seconds.

    Raises:
        MalformedRequest: If it is no number from 0 to the maximum.
    """
    value = request.query_params.get(name, "")
    if not value:
        return default
    wanted = f"seconds from 0 to {maximum:g}"
    try:
        seconds = float(value)
    except ValueError:
        raise _malformed(name=name, value=value, wanted=wanted) from None
    if not 0.0 <= seconds <= maximum:
        raise _malformed(name=name, value=value, wanted=wanted)
    return seconds


def read_name(*, request: Request, name: str) -> str:
    """Read the name of an attempt, empty if it is absent.

    Raises:
        MalformedRequest: If it is no name.
    """
    value = request.query_params.get(name, "")
    if value and ATTEMPT_PATTERN.fullmatch(value) is None:
        raise _malformed(
            name=name, value=value, wanted="8 to 64 letters, digits or hyphens"
        )
    return value


def read_writer(*, request: Request) -> str:
    """Read who asks, without what could upset a terminal."""
    value = request.headers.get(wire.OPERATOR_HEADER, "")
    return "".join(each for each in value if each.isprintable())[:MAX_WRITER]


async def read_text(*, request: Request) -> str:
    """Read a body of text.

    Raises:
        BodyTooLarge: If it is over the limit.
        MalformedRequest: If it is no UTF-8.
    """
    content = bytearray()
    async for chunk in request.stream():
        content += chunk
        if len(content) > MAX_BODY:
            raise BodyTooLarge(
                f"the body is longer than {MAX_BODY} bytes; apply fewer records at a"
                " time",
                step=Step.CONFIGURATION,
            )
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        raise MalformedRequest(
            f"the body is no UTF-8 text: {error}", step=Step.CONFIGURATION
        ) from error


def _malformed(*, name: str, value: str, wanted: str) -> MalformedRequest:
    return MalformedRequest(
        f"parameter {name}: '{value}' is not what it takes; give {wanted}",
        step=Step.CONFIGURATION,
    )
