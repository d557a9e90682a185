"""Types of the options that settings are made of."""

from __future__ import annotations

import difflib
import ipaddress
import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any
from urllib.parse import urlsplit

from pydantic import AfterValidator, BeforeValidator

from dotterelpaddle.address import Address
from dotterelpaddle.logs import Level
from dotterelpaddle.placement.policies import Policy, policy_of_name

if TYPE_CHECKING:
    from collections.abc import Mapping

URL_SCHEMES = ("http", "https")

MAX_PORT = 65535


class FieldError(ValueError):
    """A value is wrong for a reason that lies in one field of a section.

    Attributes:
        field: Name of the field as written.
    """

    def __init__(self, message: str, *, field: str):
        super().__init__(message)
        self.field = field


@dataclass(frozen=True, kw_only=True, slots=True)
class SecretSources:
    """Where secrets come from that do not stand in the settings themselves.

    Attributes:
        directory: Relative paths of files count from here.
        environ: Variables of the environment.
    """

    directory: Path = Path()
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)


def ways_to_give(*, secret: str) -> tuple[str, ...]:
    """List the fields that can give a secret: inline, by file, by environment."""
    return (secret, f"{secret}_file", f"{secret}_env")


def nearest(*, name: str, known: tuple[str, ...]) -> str | None:
    """Find the known name that is most like another one, if any is."""
    near = difflib.get_close_matches(name, known, n=1)
    return near[0] if near else None


def unknown_field(*, name: str, known: tuple[str, ...]) -> str:
    """Explain an unknown field by the known ones."""
    near = nearest(name=name, known=known)
    if near:
        return f"unknown field; did you mean '{near}'?"
    return f"unknown field; known here: {', '.join(known)}"


def _parse_address(value: Any) -> Address:
    if isinstance(value, Address):
        return value
    if not isinstance(value, str):
        raise ValueError("write it as 'IP:PORT', in quotes")
    address = Address.parse(text=value)
    _require_ip_number(host=address.host)
    if address.port > MAX_PORT:
        raise ValueError(f"port {address.port} is over {MAX_PORT}")
    return address


def _require_ip_number(*, host: str) -> None:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        raise ValueError(f"'{host}' is no IPv4 number; names are not looked up") from (
            None
        )


def _check_url(value: str) -> str:
    parts = urlsplit(value)
    if parts.scheme not in URL_SCHEMES or not parts.hostname:
        raise ValueError("write it as 'http://IP:PORT'")
    _require_ip_number(host=parts.hostname)
    return value.rstrip("/")


def _parse_level(value: Any) -> Level:
    if isinstance(value, Level):
        return value
    names = [level.name.lower() for level in Level]
    if value not in names:
        raise ValueError(f"'{value}' is no level; take one of {', '.join(names)}")
    return Level[value.upper()]


def _parse_policy(value: Any) -> Policy:
    if isinstance(value, Policy):
        return value
    if not isinstance(value, str) or value not in policy_of_name:
        names = ", ".join(policy_of_name)
        raise ValueError(f"'{value}' is no policy; take one of {names}")
    return policy_of_name[value]


SocketAddress = Annotated[Address, BeforeValidator(_parse_address)]
"""An address written as ``IP:PORT``."""

BaseUrl = Annotated[str, AfterValidator(_check_url)]
"""The address of an HTTP service, by IP number."""

LogLevel = Annotated[Level, BeforeValidator(_parse_level)]
"""A level of log lines, by name."""

PlacementPolicy = Annotated[Policy, BeforeValidator(_parse_policy)]
"""How endpoints are chosen, by name."""


def resolve_secret(
    *, data: Any, secret: str, required: bool, sources: SecretSources | None
) -> Any:
    """Replace ``FIELD_file`` or ``FIELD_env`` by the secret it leads to.

    Args:
        data: The section as written.
        secret: Name of the secret's field.
        required: Whether it must be given.
        sources: Where secrets come from, this process's own by default.

    Raises:
        FieldError: If the secret can't be had.
        ValueError: If it is not given as it must be.
    """
    if not isinstance(data, dict):
        return data
    ways = ways_to_give(secret=secret)
    given = [way for way in ways if data.get(way) is not None]
    if not given and not required:
        return data
    if len(given) != 1:
        _look_for_misspelling(data=data, ways=ways)
        raise ValueError(f"give exactly one of {', '.join(ways)}")
    rest = {name: value for name, value in data.items() if name not in ways}
    rest[secret] = _read_secret(
        way=given[0], value=data[given[0]], sources=sources or SecretSources()
    )
    return rest


def _look_for_misspelling(*, data: dict[Any, Any], ways: tuple[str, ...]) -> None:
    for name in data:
        if name not in ways and nearest(name=str(name), known=ways):
            reason = unknown_field(name=str(name), known=ways)
            raise FieldError(reason, field=str(name))


def _read_secret(*, way: str, value: Any, sources: SecretSources) -> Any:
    if way.endswith("_file"):
        secret = _read_secret_file(way=way, path=sources.directory / str(value))
    elif way.endswith("_env"):
        secret = sources.environ.get(str(value), "")
    else:
        return value
    if not secret:
        raise FieldError(f"'{value}' is missing or empty", field=way)
    return secret


def _read_secret_file(*, way: str, path: Path) -> str:
    try:
        return path.read_text().strip()
    except OSError as error:
        reason = f"can't read '{path}': {error.strerror}"
        raise FieldError(reason, field=way) from None
