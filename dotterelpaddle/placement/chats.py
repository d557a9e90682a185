"""Where chats live: away from their hash home, and by engines' cache events.

Both maps are bounded and hold 32-bit tags of affinity keys. A tag that two chats
share costs one cold start at most.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.ids import AffinityKey, EndpointId

TAG_BITS = 32
TAG_MASK = (1 << TAG_BITS) - 1


def chat_tag(*, affinity: AffinityKey) -> int:
    """The 32 bits of an affinity key that routers tell each other."""
    return affinity & TAG_MASK


class ChatPlaces:
    """Where chats of all shards live, under one bound for the whole router.

    Args:
        limit: Most chats remembered; least recently used ones are forgotten.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._endpoints: OrderedDict[int, EndpointId] = OrderedDict()

    def __len__(self) -> int:
        return len(self._endpoints)

    def find(self, *, key: int) -> EndpointId | None:
        """Where a chat lives, None if unknown."""
        endpoint = self._endpoints.get(key)
        if endpoint is not None:
            self._endpoints.move_to_end(key)
        return endpoint

    def remember(self, *, key: int, endpoint: EndpointId) -> bool:
        """Note where a chat lives now; tell whether that is news."""
        news = self._endpoints.get(key) != endpoint
        self._endpoints[key] = endpoint
        self._endpoints.move_to_end(key)
        if len(self._endpoints) > self._limit:
            self._endpoints.popitem(last=False)
        return news

    def forget(self, *, key: int) -> bool:
        """Forget a chat; tell whether it was known."""
        return self._endpoints.pop(key, None) is not None

    def of_shard(self, *, shard: int) -> Iterator[tuple[int, EndpointId]]:
        """The chats of one shard, most recently used first."""
        return (
            (key, endpoint)
            for key, endpoint in reversed(self._endpoints.items())
            if key >> TAG_BITS == shard
        )


class AwayChats:
    """Chats of one shard that live away from their hash home.

    Args:
        places: Where they are kept, with those of other shards.
        shard: The shard's tag.

    Attributes:
        keeps: Whether more chats are taken in.
    """

    def __init__(self, *, places: ChatPlaces, shard: int = 0) -> None:
        self._places = places
        self._shard = shard
        self._prefix = shard << TAG_BITS
        self.keeps = True

    def find(self, *, tag: int) -> EndpointId | None:
        """Where a chat lives, None if at home or unknown."""
        return self._places.find(key=self._prefix | tag)

    def remember(self, *, tag: int, endpoint: EndpointId) -> bool:
        """Note where a chat lives now; tell whether that is news."""
        if not self.keeps:
            # What was known of the chat may be wrong from now on.
            self.forget(tag=tag)
            return False
        return self._places.remember(key=self._prefix | tag, endpoint=endpoint)

    def forget(self, *, tag: int) -> bool:
        """Note that a chat lives at home; tell whether that is news."""
        return self._places.forget(key=self._prefix | tag)

    def recent(self, *, limit: int) -> list[tuple[int, EndpointId]]:
        """The chats used most recently, and where they live."""
        return [
            (key & TAG_MASK, endpoint)
            for key, endpoint in islice(
                self._places.of_shard(shard=self._shard),
                limit,
            )
        ]


@dataclass(kw_only=True, slots=True)
class CachedChat:
    """A chat's cache at one engine.

    Attributes:
        tokens: Its length.
        uses: How often it was stored or extended.
        stored_at: When that was last heard of, seconds.
    """

    tokens: int
    uses: int
    stored_at: float


class CacheKnowledge:
    """What engines' cache events say, late and with gaps.

    A chat is known to be cached, known to be evicted, or unknown. After a gap in
    an engine's events nothing is known to be evicted there any more.

    Args:
        limit: Most chats remembered per engine.
    """

    def __init__(self, *, limit: int) -> None:
        self._limit = limit
        self._cached: dict[EndpointId, OrderedDict[AffinityKey, CachedChat]] = {}
        self._evicted: dict[EndpointId, OrderedDict[AffinityKey, None]] = {}

    def stored(
        self, *, endpoint: EndpointId, key: AffinityKey, tokens: int, now: float
    ) -> None:
        """Note that an engine has stored a chat."""
        self._evicted.get(endpoint, OrderedDict()).pop(key, None)
        chats = self._cached.setdefault(endpoint, OrderedDict())
        chat = chats.setdefault(key, CachedChat(tokens=0, uses=0, stored_at=now))
        chat.tokens = max(chat.tokens, tokens)
        chat.uses += 1
        chat.stored_at = now
        chats.move_to_end(key)
        if len(chats) > self._limit:
            chats.popitem(last=False)

    def evicted(self, *, endpoint: EndpointId, key: AffinityKey) -> None:
        """Note that an engine has dropped a chat."""
        self._cached.get(endpoint, OrderedDict()).pop(key, None)
        keys = self._evicted.setdefault(endpoint, OrderedDict())
        keys[key] = None
        keys.move_to_end(key)
        if len(keys) > self._limit:
            keys.popitem(last=False)

    def gap(self, *, endpoint: EndpointId) -> None:
        """Note that events of an engine are missing."""
        self._evicted.pop(endpoint, None)

    def forget(self, *, endpoint: EndpointId) -> None:
        """Drop all knowledge of an engine."""
        self._cached.pop(endpoint, None)
        self._evicted.pop(endpoint, None)

    def is_unknown(self, *, endpoint: EndpointId) -> bool:
        """Tell whether nothing is known of an engine, as before its first events."""
        return not self._cached.get(endpoint)

    def places(self, *, key: AffinityKey) -> list[EndpointId]:
        """Engines known to have a chat, longest cache first."""
        found = [
            (chats[key].tokens, endpoint)
            for endpoint, chats in self._cached.items()
            if key in chats
        ]
        found.sort(reverse=True)
        return [endpoint for _, endpoint in found]

    def is_gone(self, *, endpoint: EndpointId, key: AffinityKey) -> bool:
        """Tell whether an engine is known to have dropped a chat."""
        return key in self._evicted.get(endpoint, ())

    def chats_at(self, *, endpoint: EndpointId) -> dict[AffinityKey, CachedChat]:
        """All chats known to be cached at an engine."""
        return dict(self._cached.get(endpoint, {}))
