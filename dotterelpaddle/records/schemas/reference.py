"""The compact model reference of schema version 1."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

from pydantic import AfterValidator

from dotterelpaddle.records.schemas.common import Name, OptionalName, Spec, check_name

ADAPTER_MARK = "+"
VERSION_MARK = "@"


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelReference:
    """What ``MODEL[+ADAPTER...][@VERSION]`` names.

    Attributes:
        model: The model, empty for none.
        adapters: Adapters of the model.
        version: Version of its weights, empty for any.
    """

    model: str = ""
    adapters: tuple[str, ...] = ()
    version: str = ""

    def __str__(self) -> str:
        marked = ADAPTER_MARK.join((self.model, *self.adapters))
        return f"{marked}{VERSION_MARK}{self.version}" if self.version else marked


class Target(Spec):
    """What an endpoint serves or a route asks for, in schema version 2.

    Attributes:
        model: The model.
        adapters: Adapters of the model.
        version: Version of its weights, empty for any.
    """

    model: Name
    adapters: tuple[Name, ...] = ()
    version: OptionalName = ""


def parse_reference(*, text: str) -> ModelReference:
    """Read a compact reference; the empty text names nothing.

    Raises:
        ValueError: If a part is no name.
    """
    if not text:
        return ModelReference()
    marked, separator, version = text.partition(VERSION_MARK)
    model, *adapters = marked.split(ADAPTER_MARK)
    parts = (model, *adapters, version) if separator else (model, *adapters)
    for part in parts:
        check_name(part)
    return ModelReference(model=model, adapters=tuple(adapters), version=version)


def _check_reference(value: str) -> str:
    parse_reference(text=value)
    return value


def _check_single_adapter(value: str) -> str:
    if len(parse_reference(text=value).adapters) > 1:
        raise ValueError(f"'{value}' names several adapters; a route asks for one")
    return value


Reference = Annotated[str, AfterValidator(_check_reference)]
"""``MODEL[+ADAPTER...][@VERSION]`` or empty."""

RouteReference = Annotated[Reference, AfterValidator(_check_single_adapter)]
"""``MODEL[+ADAPTER][@VERSION]`` or empty."""
