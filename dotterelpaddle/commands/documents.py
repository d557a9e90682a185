"""Prints the free-form documents of the operator interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import orjson
import yaml

if TYPE_CHECKING:
    from dotterelpaddle.operator.interface import Document


def print_document(*, document: Document, json: bool) -> None:
    """Print a document as one line of JSON, or as YAML for people."""
    if json:
        print(orjson.dumps(dict(document)).decode())
        return
    text = yaml.safe_dump(dict(document), sort_keys=False, allow_unicode=True)
    print(text, end="")
