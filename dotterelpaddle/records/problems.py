"""Readable errors from failed validations."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, NamedTuple, get_args

from pydantic import BaseModel, ValidationError

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from pydantic_core import ErrorDetails

UNKNOWN_FIELD = "extra_forbidden"
MISSING_FIELD = "missing"
WRONG_VALUE = "value_error"
NO_TEXT = "string_type"
VALUE_ERROR_PREFIX = "Value error, "


class FieldProblem(NamedTuple):
    """The first problem of a failed validation.

    Attributes:
        path: Dotted path of the field, empty for the whole.
        advice: What is wrong and what to change.
        total: How many problems there are in all.
    """

    path: str
    advice: str
    total: int

    @property
    def summary(self) -> str:
        """The advice, and how many more problems there are."""
        more = f" (and {self.total - 1} more)" if self.total > 1 else ""
        return f"{self.advice}{more}"


def nearest(*, name: str, known: Iterable[str]) -> str:
    """Name the nearest known name for an unknown one, as the end of a sentence."""
    names = sorted(known)
    matches = difflib.get_close_matches(name, names, n=1, cutoff=0.5)
    if matches:
        return f"the nearest known name is '{matches[0]}'"
    return f"known names are {', '.join(names)}"


def first_problem(*, error: ValidationError, model: type[BaseModel]) -> FieldProblem:
    """Describe the first problem of a failed validation.

    Args:
        error: The failure.
        model: The class that was to be filled.
    """
    details = error.errors(include_url=False, include_context=False)
    # An unknown field is the likely cause when another one seems to be missing.
    details.sort(key=lambda detail: detail["type"] != UNKNOWN_FIELD)
    detail = details[0]
    path = ".".join(str(part) for part in detail["loc"])
    return FieldProblem(
        path=path, advice=_advice(detail=detail, model=model), total=len(details)
    )


def _advice(*, detail: ErrorDetails, model: type[BaseModel]) -> str:
    match detail["type"]:
        case kind if kind == UNKNOWN_FIELD:
            location = detail["loc"]
            known = _fields_at(model=model, location=location[:-1])
            return f"unknown field; {nearest(name=str(location[-1]), known=known)}"
        case kind if kind == MISSING_FIELD:
            return "this field is missing; add it"
        case kind if kind == WRONG_VALUE:
            return detail["msg"].removeprefix(VALUE_ERROR_PREFIX)
        case kind if kind == NO_TEXT:
            return f"this is text, not {_shown(detail['input'])}; put it in quotes"
        case _:
            message = detail["msg"]
            return f"{message[:1].lower()}{message[1:]}, not {_shown(detail['input'])}"


def _shown(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def _fields_at(
    *, model: type[BaseModel], location: Sequence[int | str]
) -> tuple[str, ...]:
    """Names of the fields that the model has at a location."""
    current = model
    for part in location:
        if isinstance(part, int):
            continue
        inner = model_in(model=current, field=part)
        if inner is None:
            break
        current = inner
    return tuple(current.model_fields)


def model_in(*, model: type[BaseModel], field: str) -> type[BaseModel] | None:
    """Find the model class of a field's own fields, None if it has none."""
    if field not in model.model_fields:
        return None
    return _model_in(annotation=model.model_fields[field].annotation)


def _model_in(*, annotation: Any) -> type[BaseModel] | None:
    """The model class inside an annotation such as ``tuple[Model, ...] | None``."""
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    for argument in get_args(annotation):
        if (found := _model_in(annotation=argument)) is not None:
            return found
    return None
