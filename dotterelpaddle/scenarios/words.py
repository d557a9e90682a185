"""What the words of the scenario language have in common."""

from __future__ import annotations

from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

EVERYTHING = "all"
"""Stands for all parts that a word can be about."""


class Word(BaseModel):
    """Base of all words: strict about fields, immutable."""

    model_config = ConfigDict(extra="forbid", frozen=True, populate_by_name=True)

    @classmethod
    def short_field(cls) -> str:
        """Name of the field that a plain value fills, empty for none."""
        return ""

    @model_validator(mode="before")
    @classmethod
    def _expand(cls, value: Any) -> Any:
        field = cls.short_field()
        if field and not isinstance(value, dict):
            return {field: value}
        return value


def _as_list(value: Any) -> Any:
    return (value,) if isinstance(value, str) else value


Names = Annotated[tuple[str, ...], BeforeValidator(_as_list), Field(min_length=1)]
"""One name or several."""

Share = Annotated[float, Field(ge=0.0, le=1.0)]
"""A share, from 0 to 1."""

Seconds = Annotated[float, Field(ge=0.0, le=120.0)]
"""A duration."""


class Bound(Word):
    """What a number has to be; a plain number means exactly this one.

    Attributes:
        equals: The number itself.
        at_least: Least number.
        at_most: Greatest number.
    """

    equals: float | None = None
    at_least: float | None = None
    at_most: float | None = None

    @classmethod
    def short_field(cls) -> str:
        """Let a plain number mean itself."""
        return "equals"

    @property
    def bounded(self) -> bool:
        """Whether any bound is set."""
        return self != Bound()

    def holds(self, *, number: float) -> bool:
        """Tell whether a number is as wanted."""
        if self.equals is not None and number != self.equals:
            return False
        if self.at_least is not None and number < self.at_least:
            return False
        return self.at_most is None or number <= self.at_most

    def __str__(self) -> str:
        parts = []
        if self.equals is not None:
            parts.append(f"{self.equals:g}")
        if self.at_least is not None:
            parts.append(f"at least {self.at_least:g}")
        if self.at_most is not None:
            parts.append(f"at most {self.at_most:g}")
        return " and ".join(parts) or "anything"
