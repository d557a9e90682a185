"""Reads YAML settings into a model and explains what is wrong with them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any, TypeVar

import yaml
from pydantic import BaseModel, ValidationError

from dotterelpaddle.config.options import (
    FieldError,
    SecretSources,
    unknown_field,
    ways_to_give,
)
from dotterelpaddle.exceptions import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

M = TypeVar("M", bound=BaseModel)

Location = tuple[str | int, ...]
"""Path of a field: names of mappings and positions in lists."""


class ErrorType(StrEnum):
    """Names that pydantic gives to the errors explained here."""

    UNKNOWN_FIELD = "extra_forbidden"
    MISSING_FIELD = "missing"
    REFUSED_VALUE = "value_error"
    WRONG_NAME = "string_pattern_mismatch"
    NO_SECTION = "model_type"


@dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """One thing that is wrong with a file.

    Attributes:
        line: Line of the file, counted from 1.
        field: Dotted path of the field.
        message: What is wrong and what to change.
    """

    line: int
    field: str
    message: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.message}"


def load(*, path: Path, model: type[M]) -> M:
    """Read a YAML file into a model.

    Args:
        path: The file.
        model: The model.

    Raises:
        SettingsError: If the file can't be read or a field is wrong.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read the file: {error}", peer=str(path)) from error
    return load_text(
        text=text,
        source=str(path),
        model=model,
        sources=SecretSources(directory=path.parent),
    )


def load_text(
    *, text: str, source: str, model: type[M], sources: SecretSources | None = None
) -> M:
    """Read YAML text into a model.

    Args:
        text: The YAML text.
        source: Name of its file, for errors.
        model: The model.
        sources: Where secrets come from, this process's own by default.

    Raises:
        SettingsError: If the text is no YAML mapping or a field is wrong.
    """
    node = _parse(text=text, source=source)
    content = _construct(node=node, source=source)
    try:
        return model.model_validate(content, context=sources)
    except ValidationError as error:
        problems = explain(error=error, model=model, node=node)
    raise SettingsError("\n".join(str(problem) for problem in problems), peer=source)


def _parse(*, text: str, source: str) -> yaml.Node:
    try:
        node = yaml.compose(text, Loader=yaml.SafeLoader)
    except yaml.YAMLError as error:
        raise SettingsError(f"not valid YAML: {error}", peer=source) from error
    if not isinstance(node, yaml.MappingNode):
        raise SettingsError("line 1: the file must be a mapping", peer=source)
    _refuse_repeated_fields(node=node, source=source)
    return node


def _refuse_repeated_fields(*, node: yaml.MappingNode, source: str) -> None:
    seen: set[str] = set()
    for key, value in node.value:
        line = key.start_mark.line + 1
        if not isinstance(key, yaml.ScalarNode):
            raise SettingsError(f"line {line}: a field needs a name", peer=source)
        if key.value in seen:
            raise SettingsError(
                f"line {line}: {key.value}: given twice; remove one", peer=source
            )
        seen.add(key.value)
        if isinstance(value, yaml.MappingNode) and value is not node:
            _refuse_repeated_fields(node=value, source=source)


def _construct(*, node: yaml.Node, source: str) -> Any:
    try:
        return yaml.constructor.SafeConstructor().construct_document(node)
    except (yaml.YAMLError, ValueError) as error:
        raise SettingsError(f"not valid YAML: {error}", peer=source) from error


def explain(
    *, error: ValidationError, model: type[BaseModel], node: yaml.Node
) -> tuple[Problem, ...]:
    """Turn a validation error into problems with their place in the file."""
    items = error.errors(include_url=False, include_input=False)
    problems = (_problem(item=item, model=model, node=node) for item in items)
    return tuple(sorted(problems, key=lambda problem: problem.line))


def _problem(*, item: Any, model: type[BaseModel], node: yaml.Node) -> Problem:
    location: Location = item["loc"]
    cause = item.get("ctx", {}).get("error")
    if isinstance(cause, FieldError):
        location = (*location, cause.field)
    return Problem(
        line=line_of(node=node, location=location),
        field=".".join(str(part) for part in location),
        message=_message(item=item, model=model),
    )


def _message(*, item: Any, model: type[BaseModel]) -> str:
    match item["type"]:
        case ErrorType.UNKNOWN_FIELD:
            return _explain_unknown(location=item["loc"], model=model)
        case ErrorType.MISSING_FIELD:
            return "missing; add it"
        case ErrorType.REFUSED_VALUE:
            return str(item["ctx"]["error"])
        case ErrorType.WRONG_NAME:
            return "use lower-case letters, digits, '.' and '-' only"
        case ErrorType.NO_SECTION:
            return "must be a section with fields of its own"
        case _:
            return str(item["msg"])


def _explain_unknown(*, location: Location, model: type[BaseModel]) -> str:
    known = fields_at(model=model, location=location[:-1])
    return unknown_field(name=str(location[-1]), known=known)


def fields_at(*, model: type[BaseModel], location: Location) -> tuple[str, ...]:
    """List the fields that a section of a model knows."""
    section: Any = model
    for part in location:
        section = section.model_fields[str(part)].annotation
    names = list(section.model_fields)
    for secret in getattr(section, "secret_fields", ()):
        names += ways_to_give(secret=secret)[1:]
    return tuple(names)


def line_of(*, node: yaml.Node, location: Location) -> int:
    """Find the line of a field, or of the nearest section that is there."""
    for part in location:
        child = _child(node=node, part=part)
        if child is None:
            break
        node = child
    return int(node.start_mark.line) + 1


def _child(*, node: yaml.Node, part: str | int) -> yaml.Node | None:
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int):
        return node.value[part] if part < len(node.value) else None
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(part):
                return value
    return None
