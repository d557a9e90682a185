"""What the schema versions of all kinds share."""

from __future__ import annotations

import re
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_RULE = (
    "use a letter or digit, then up to 62 letters, digits, dots, underscores or hyphens"
)
HEX_PATTERN = re.compile(r"(?:[0-9a-f]{2}){8,64}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class Spec(BaseModel):
    """Base of the contents of records: strict, immutable, no unknown fields."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


def check_name(value: str) -> str:
    """Accept a record's name.

    Raises:
        ValueError: If it breaks the rule for names.
    """
    if NAME_PATTERN.fullmatch(value) is None:
        raise ValueError(f"'{value}' is no name; {NAME_RULE}")
    return value


def _check_optional_name(value: str) -> str:
    return check_name(value) if value else value


def _check_salt(value: str) -> str:
    if HEX_PATTERN.fullmatch(value) is None:
        raise ValueError(
            "a salt is 8 to 64 octets in lower-case hexadecimal;"
            " `dotterelpaddle record digest` makes one"
        )
    return value


def _check_digest(value: str) -> str:
    if DIGEST_PATTERN.fullmatch(value) is None:
        raise ValueError(
            "a digest is 64 lower-case hexadecimal digits, never the token"
            " itself; `dotterelpaddle record digest` makes one"
        )
    return value


Name = Annotated[str, AfterValidator(check_name)]
"""Name of another record."""

OptionalName = Annotated[str, AfterValidator(_check_optional_name)]
"""Name of another record, or empty."""

Salt = Annotated[str, AfterValidator(_check_salt)]
"""Salt of token digests."""

Digest = Annotated[str, AfterValidator(_check_digest)]
"""Salted digest of a token."""

Count = Annotated[int, Field(ge=0, le=2**53)]
"""A whole number from 0, exact in JSON of any reader."""

PositiveCount = Annotated[int, Field(ge=1, le=2**53)]
"""A whole number from 1, exact in JSON of any reader."""
