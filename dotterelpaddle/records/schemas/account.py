"""Schema versions of client account records.

Version 1 holds one token, so a token can't be changed without a moment in
which either the old or the new one is refused. Its three sizes also turned out
too coarse for fair queueing. Version 2 holds several tokens and a number.
"""

from __future__ import annotations

from enum import Enum
from typing import Annotated

from pydantic import Field

from dotterelpaddle.exceptions import RecordError
from dotterelpaddle.ids import AccountId
from dotterelpaddle.records.model import Account
from dotterelpaddle.records.schemas.common import Digest, OptionalName, Salt, Spec

MAX_TOKENS = 8
"""Tokens that a client account may have at a time."""


class AccountSize(Enum):
    """Sizes of client accounts in schema version 1."""

    SMALL = "small"
    MEDIUM = "medium"
    LARGE = "large"


SHARE_OF_SIZE = {
    AccountSize.SMALL: 1.0,
    AccountSize.MEDIUM: 4.0,
    AccountSize.LARGE: 16.0,
}
"""Weight in fair queueing of each size."""


class AccountV1(Spec):
    """Schema version 1 of a client account.

    Attributes:
        token_salt: Salt of the token's digest, in hexadecimal.
        token_digest: Salted SHA-256 digest of the only token.
        size: How much of a shared pool it gets relative to others.
        priority: Name of a priority record, empty for the default.
        limit: Name of a limit record, empty for none.
    """

    token_salt: Salt
    token_digest: Digest
    size: AccountSize = AccountSize.SMALL
    priority: OptionalName = ""
    limit: OptionalName = ""


class Tokens(Spec):
    """The bearer tokens of a client account in schema version 2.

    Attributes:
        salt: Salt of the digests, in hexadecimal.
        digests: Salted SHA-256 digests of all accepted tokens.
    """

    salt: Salt
    digests: Annotated[tuple[Digest, ...], Field(min_length=1, max_length=MAX_TOKENS)]


class AccountV2(Spec):
    """Schema version 2 of a client account.

    Attributes:
        tokens: Its bearer tokens.
        share: Weight in fair queueing.
        priority: Name of a priority record, empty for the default.
        limit: Name of a limit record, empty for none.
    """

    tokens: Tokens
    share: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0
    priority: OptionalName = ""
    limit: OptionalName = ""


def to_internal(*, name: str, spec: AccountV1 | AccountV2) -> Account:
    """Convert either schema version to the internal form."""
    match spec:
        case AccountV1():
            return Account(
                name=AccountId(name),
                token_salt=spec.token_salt,
                token_digests=(spec.token_digest,),
                share=SHARE_OF_SIZE[spec.size],
                priority=spec.priority,
                limit=spec.limit,
            )
        case AccountV2():
            return Account(
                name=AccountId(name),
                token_salt=spec.tokens.salt,
                token_digests=spec.tokens.digests,
                share=spec.share,
                priority=spec.priority,
                limit=spec.limit,
            )


def to_v1(*, record: Account) -> AccountV1:
    """Write the internal form in schema version 1.

    Raises:
        RecordError: If it has several tokens or a share between the sizes.
    """
    sizes = {share: size for size, share in SHARE_OF_SIZE.items()}
    if len(record.token_digests) != 1:
        raise RecordError(
            "schema 1 holds one token; remove the others first",
            field="spec.tokens.digests",
        )
    if record.share not in sizes:
        raise RecordError(
            f"schema 1 knows the shares {sorted(sizes)} only", field="spec.share"
        )
    return AccountV1(
        token_salt=record.token_salt,
        token_digest=record.token_digests[0],
        size=sizes[record.share],
        priority=record.priority,
        limit=record.limit,
    )


def to_v2(*, record: Account) -> AccountV2:
    """Write the internal form in schema version 2."""
    return AccountV2(
        tokens=Tokens(salt=record.token_salt, digests=record.token_digests),
        share=record.share,
        priority=record.priority,
        limit=record.limit,
    )
