"""Conditions of records and what routers tell operators."""

from __future__ import annotations

from typing import Any

from pydantic import Field

from dotterelpaddle.scenarios.words import EVERYTHING, Bound, Names, Word


class InForce(Word):
    """Routers have the newest accepted record in force.

    Attributes:
        routers: The routers.
        is_: Whether they should.
    """

    routers: Names = (EVERYTHING,)
    is_: bool = Field(default=True, alias="is")

    @classmethod
    def short_field(cls) -> str:
        """Let a plain value name the routers."""
        return "routers"


class Status(Word):
    """A field of what routers tell operators.

    Attributes:
        routers: The routers, each of which must agree.
        field: Dotted path of the field.
        equals: What it has to be.
        value: What it has to be, for a number.
    """

    routers: Names = (EVERYTHING,)
    field: str
    equals: Any = None
    value: Bound | None = None


class Record(Word):
    """A record as routers' operator interfaces show it.

    Attributes:
        routers: The routers.
        record: Kind and name, with a slash between.
        field: Dotted path in the record, empty for its mere presence.
        equals: What the field has to be.
        exists: Whether the record is there.
    """

    routers: Names = (EVERYTHING,)
    record: str
    field: str = ""
    equals: Any = None
    exists: bool = True


class Writes(Word):
    """How racing or single writes of operators ended.

    Attributes:
        of: Label of the writes.
        accepted: Number that was accepted.
        conflict: Number that met another writer's change.
        refused: Number that was refused as wrong.
        unavailable: Number that was not accepted as the platform was down.
    """

    of: str
    accepted: Bound = Bound()
    conflict: Bound = Bound()
    refused: Bound = Bound()
    unavailable: Bound = Bound()
