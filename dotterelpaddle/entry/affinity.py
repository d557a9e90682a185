"""Affinity keys: which requests share cached context."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import orjson
import xxhash

from dotterelpaddle.ids import AffinityKey

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelpaddle.records.model import Route

USER_ROLE = "user"


def affinity_key(*, route: Route, chat_id: str, messages: Sequence[Any]) -> AffinityKey:
    """Derive the key of a chat.

    The caller's own name of the chat counts first. Without one, the messages
    up to the first one of the user name it: they are the same in each later
    turn. The account, model, adapter and version are part of the key, so that
    no two of them ever share a cache.
    """
    chat = ["id", chat_id] if chat_id else ["prefix", conversation_start(messages)]
    salt = [route.account, route.model, route.adapter, route.version]
    return AffinityKey(xxhash.xxh3_64_intdigest(orjson.dumps([salt, chat])))


def conversation_start(messages: Sequence[Any]) -> list[Any]:
    """Return the messages up to the first one of the user."""
    start: list[Any] = []
    for message in messages:
        start.append(message)
        if isinstance(message, dict) and message.get("role") == USER_ROLE:
            break
    return start
