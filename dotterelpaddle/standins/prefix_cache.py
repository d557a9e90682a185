"""The engine stand-in's prefix cache and the events that tell of it."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from dataclasses import dataclass
from enum import Enum

EVENTS_KEPT = 4096
"""Events that can still be read; older ones are a gap."""


class CacheEventKind(Enum):
    """What happened to a prefix."""

    STORED = "stored"
    EVICTED = "evicted"


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """A change of a prefix cache.

    Attributes:
        sequence: Its number, without gaps where it arises.
        at: When it happened, seconds on the monotonic clock.
        kind: What happened.
        key: Cache key.
        tokens: Tokens stored under the key.
    """

    sequence: int
    at: float
    kind: CacheEventKind
    key: str
    tokens: int


class CacheEvents:
    """Events that show late, some of them never.

    Args:
        lag: Seconds until an event shows.
        loss: Share of events that never show, from 0 to 1.
        seed: Seed of the generator that decides which.

    Attributes:
        lag: Seconds until an event shows; it may be changed.
        loss: Share of events that never show; it may be changed.
    """

    def __init__(self, *, lag: float, loss: float, seed: int = 0) -> None:
        self.lag = lag
        self.loss = loss
        self._random = random.Random(seed)
        self._sequence = 0
        self._events: deque[CacheEvent] = deque(maxlen=EVENTS_KEPT)

    def add(self, *, kind: CacheEventKind, key: str, tokens: int, now: float) -> None:
        """Record an event, or lose it."""
        self._sequence += 1
        if self.loss > 0.0 and self._random.random() < self.loss:
            return
        event = CacheEvent(
            sequence=self._sequence, at=now, kind=kind, key=key, tokens=tokens
        )
        self._events.append(event)

    def after(self, *, sequence: int, now: float) -> tuple[CacheEvent, ...]:
        """Return the visible events after a sequence number."""
        return tuple(
            event
            for event in self._events
            if event.sequence > sequence and event.at + self.lag <= now
        )


class PrefixCache:
    """Prefixes of limited total length, the least recently used evicted first.

    Args:
        capacity: Tokens that fit.
        events: Where changes are recorded.

    Attributes:
        capacity: Tokens that fit.
    """

    def __init__(self, *, capacity: int, events: CacheEvents) -> None:
        self.capacity = capacity
        self._events = events
        self._tokens: OrderedDict[str, int] = OrderedDict()
        self._used = 0

    @property
    def used(self) -> int:
        """Tokens stored."""
        return self._used

    @property
    def keys(self) -> frozenset[str]:
        """Keys stored."""
        return frozenset(self._tokens)

    def peek(self, *, key: str) -> int:
        """Return the tokens stored under a key, 0 for none."""
        return self._tokens.get(key, 0)

    def hit(self, *, key: str, prompt_tokens: int) -> int:
        """Return how many tokens of a prompt are stored, and mark them used."""
        if key not in self._tokens:
            return 0
        self._tokens.move_to_end(key)
        return min(self._tokens[key], prompt_tokens)

    def store(self, *, key: str, tokens: int, now: float) -> None:
        """Store a prefix, if it fits at all, evicting others for it."""
        if not key or tokens > self.capacity:
            return
        before = self._tokens.pop(key, 0)
        kept = max(before, tokens)
        self._tokens[key] = kept
        self._used += kept - before
        if kept > before:
            self._events.add(kind=CacheEventKind.STORED, key=key, tokens=kept, now=now)
        while self._used > self.capacity:
            self._evict(now=now)

    def clear(self, *, now: float) -> None:
        """Evict everything."""
        while self._tokens:
            self._evict(now=now)

    def _evict(self, *, now: float) -> None:
        key, tokens = self._tokens.popitem(last=False)
        self._used -= tokens
        self._events.add(kind=CacheEventKind.EVICTED, key=key, tokens=tokens, now=now)
