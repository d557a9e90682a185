"""Salted digests of bearer tokens, the only form in which records keep them."""

from __future__ import annotations

import hashlib
import secrets

SALT_BYTES = 16
"""Length of a new salt."""


def new_salt() -> str:
    """Make a salt, in hexadecimal."""
    return secrets.token_hex(SALT_BYTES)


def digest_token(*, salt: str, token: str) -> str:
    """Digest a bearer token.

    Args:
        salt: The client account's salt, in hexadecimal.
        token: The token.

    Returns:
        The SHA-256 digest of salt and token, in hexadecimal.
    """
    return hashlib.sha256(bytes.fromhex(salt) + token.encode()).hexdigest()
