"""Reads what commands about records are given."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.records.keys import RecordKey, parse_key

STDIN = "-"
"""Names standard input instead of a file."""

InputFile = Annotated[str, Parameter(allow_leading_hyphen=True)]
"""Name of a file, or `STDIN`."""

STDIN_SOURCE = "standard input"


def read_input(*, file: str) -> tuple[str, str]:
    """Read a file, or standard input.

    Returns:
        What errors call it, and its text.

    Raises:
        RecordError: If it can't be read.
    """
    source = STDIN_SOURCE if file == STDIN else file
    try:
        text = sys.stdin.read() if file == STDIN else Path(file).read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise RecordError(f"{source}: it can't be read, {error}") from error
    return source, text


def read_key(*, text: str) -> RecordKey:
    """Read a record's kind and name.

    Raises:
        RecordError: If it isn't written as KIND/NAME.
    """
    key = parse_key(text=text)
    if key is None:
        raise RecordError(f"'{text}' names no record; write it as KIND/NAME")
    return key
