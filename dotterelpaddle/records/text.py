"""Records as YAML text, and their differences."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any

from dotterelpaddle.records.problems import model_in
from dotterelpaddle.records.schemas.registry import find_spec
from dotterelpaddle.records.yaml_documents import dump_document

if TYPE_CHECKING:
    from pydantic import BaseModel

    from dotterelpaddle.records.envelope import Envelope


def render(*, envelope: Envelope) -> str:
    """Write a record as a YAML document that can be applied again."""
    document: dict[str, Any] = {
        "kind": envelope.kind,
        "schema": envelope.schema,
        "name": envelope.name,
    }
    if envelope.expected is not None:
        document["revision"] = int(envelope.expected)
    document["spec"] = _ordered(envelope=envelope)
    return dump_document(document=document)


def _ordered(*, envelope: Envelope) -> dict[str, Any]:
    """Put fields in the order of their schema, so that texts can be compared."""
    spec = dict(envelope.spec)
    model = find_spec(kind=envelope.kind, schema=envelope.schema)
    return spec if model is None else _in_order(value=spec, model=model)


def _in_order(*, value: dict[str, Any], model: type[BaseModel]) -> dict[str, Any]:
    ranks = {name: rank for rank, name in enumerate(model.model_fields)}
    names = sorted(value, key=lambda name: (ranks.get(name, len(ranks)), name))
    ordered = {}
    for name in names:
        inner = model_in(model=model, field=name)
        item = value[name]
        if inner is not None and isinstance(item, dict):
            item = _in_order(value=item, model=inner)
        ordered[name] = item
    return ordered


def unified_diff(
    *, old: Envelope | None, new: Envelope | None, old_label: str, new_label: str
) -> str:
    """Compare two values of a record line by line.

    Args:
        old: The older value, None if there is none.
        new: The newer value, None if there is none.
        old_label: What to call the older one.
        new_label: What to call the newer one.
    """
    return "".join(
        difflib.unified_diff(
            _lines(envelope=old),
            _lines(envelope=new),
            fromfile=old_label,
            tofile=new_label,
        )
    )


def _lines(*, envelope: Envelope | None) -> list[str]:
    if envelope is None:
        return []
    return render(envelope=envelope).splitlines(keepends=True)
