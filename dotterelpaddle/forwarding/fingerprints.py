"""Computes fingerprints, which identify repeated requests.

Each retry of a caller has its own request id and may reach any router. Its content
stays the same, so every router computes the same fingerprint for it.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from dotterelpaddle.ids import Fingerprint

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.model import ClientAccount

DIGEST_BYTES = 12
"""Length of a fingerprint. A caller can't construct a request with the fingerprint of
another account's request, because the hash covers the account and has 96 bits."""

LENGTH_PREFIX_BYTES = 8
"""Length of the size before each hashed field, which separates the fields."""


def fingerprint_of(
    *, request: ForwardRequest, account: ClientAccount | None, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    Args:
        request: The request without its body.
        account: Client account of the caller, None on public routes.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (
        request.method.encode(),
        request.host.encode(),
        request.target,
        account.name.encode() if account is not None else b"",
        body,
    ):
        digest.update(len(field).to_bytes(LENGTH_PREFIX_BYTES))
        digest.update(field)
    return Fingerprint(digest.hexdigest())
