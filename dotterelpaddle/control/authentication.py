"""Authentication of datagrams and TCP frames by keys that the fleet shares."""

from __future__ import annotations

import hmac
from hashlib import blake2b

from dotterelpaddle.exceptions import SettingsError

MIN_KEY_SIZE = 16
"""Fewest bytes of a fleet key."""

MAX_KEY_SIZE = 64
"""Most bytes of a fleet key, by the hash function."""


class Authenticator:
    """Makes and checks tags with the fleet's keys.

    Args:
        key: The key that makes tags; it is accepted as well.
        accepted: Further keys that are accepted, while keys are being changed.
        tag_size: Bytes of a tag.

    Raises:
        SettingsError: If a key is too short or too long.
    """

    def __init__(
        self, *, key: bytes, accepted: tuple[bytes, ...] = (), tag_size: int
    ) -> None:
        self._tag_size = tag_size
        self._hashes = tuple(
            blake2b(key=_checked(key=each), digest_size=tag_size)
            for each in (key, *accepted)
        )

    def tag(self, *, content: bytes, context: bytes = b"") -> bytes:
        """Make the tag of some content.

        Args:
            content: What is sent.
            context: What both ends know and the tag covers as well.
        """
        digest = self._hashes[0].copy()
        digest.update(context)
        digest.update(content)
        return digest.digest()

    def accepts(self, *, tag: bytes, content: bytes, context: bytes = b"") -> bool:
        """Tell whether a tag was made with one of the fleet's keys."""
        for keyed in self._hashes:
            digest = keyed.copy()
            digest.update(context)
            digest.update(content)
            if hmac.compare_digest(digest.digest(), tag):
                return True
        return False

    def seal(self, *, content: bytes) -> bytes:
        """Put a tag before some content."""
        return self.tag(content=content) + content

    def open(self, *, sealed: bytes) -> bytes | None:
        """Take the tag off; None if it is not one of the fleet's."""
        tag = sealed[: self._tag_size]
        content = sealed[self._tag_size :]
        if self.accepts(tag=tag, content=content):
            return content
        return None


def _checked(*, key: bytes) -> bytes:
    if MIN_KEY_SIZE <= len(key) <= MAX_KEY_SIZE:
        return key
    raise SettingsError(
        f"control.key has {len(key)} bytes; "
        f"give it {MIN_KEY_SIZE} to {MAX_KEY_SIZE} random bytes"
    )
