"""Recognizes a request that comes again.

Each try of a caller bears an id of its own and may reach any router. What it asks
for stays the same, and so does its fingerprint, at every router.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from dotterelpaddle.ids import Fingerprint

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.model import ClientAccount

DIGEST_BYTES = 12
"""Length of a fingerprint. Nobody can find a request with the fingerprint of another
account's: the account is part of what is hashed, and 96 bits are out of reach."""

LENGTH_PREFIX_BYTES = 8
"""Length of the sizes between the hashed parts, which keep them apart."""


def fingerprint_of(
    *, request: ForwardRequest, account: ClientAccount | None, body: bytes
) -> Fingerprint:
    """Return the fingerprint of a request.

    Args:
        request: Its head.
        account: The client account that sends it, None on public routes.
        body: Its whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (
        request.method.encode(),
        request.host.encode(),
        request.target,
        account.name.encode() if account is not None else b"",
        body,
    ):
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES))
        digest.update(part)
    return Fingerprint(digest.hexdigest())
