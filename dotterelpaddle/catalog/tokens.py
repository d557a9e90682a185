"""Bearer tokens of client accounts.

A token reads ``ACCOUNT.SECRET``. The account part finds the record, so that
one digest decides, however many accounts there are. The secret has no dot; an
account's name may have some. Records hold only salted digests of whole tokens,
as `dotterelpaddle.records.tokens` makes them.

Checking a token takes a few microseconds, so verified tokens are not cached
and a digest that was taken out of a record counts no more with the next
look-up.
"""

from __future__ import annotations

import hmac
import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.ids import AccountId
from dotterelpaddle.records.tokens import digest_token, new_salt

if TYPE_CHECKING:
    from dotterelpaddle.records.model import Account

SEPARATOR = "."
SECRET_BYTES = 24


@dataclass(frozen=True, kw_only=True, slots=True)
class NewToken:
    """A token and what the account's record holds of it.

    Attributes:
        token: The token, to hand to the client; it is kept nowhere.
        salt: Salt for the record, hexadecimal.
        digest: Digest for the record, hexadecimal.
    """

    token: str
    salt: str
    digest: str


def new_token(*, account: AccountId, salt: str = "") -> NewToken:
    """Make a random token for an account.

    Args:
        account: The account's name.
        salt: Salt that the account's record has already, empty for a new one.
    """
    salt = salt or new_salt()
    token = f"{account}{SEPARATOR}{secrets.token_urlsafe(SECRET_BYTES)}"
    return NewToken(token=token, salt=salt, digest=digest_token(salt=salt, token=token))


def account_of(*, token: str) -> AccountId | None:
    """Tell whose a token claims to be, None if it has no account part."""
    account, separator, secret = token.rpartition(SEPARATOR)
    if not separator or not account or not secret:
        return None
    return AccountId(account)


def is_valid(*, token: str, account: Account) -> bool:
    """Tell whether an account accepts a token, in constant time."""
    try:
        digest = digest_token(salt=account.token_salt, token=token)
    except (ValueError, UnicodeEncodeError):
        return False
    accepted = [
        hmac.compare_digest(digest, known.lower()) for known in account.token_digests
    ]
    return any(accepted)
