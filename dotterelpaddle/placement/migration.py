"""Moving the KV caches of a leaving engine's chats to their next home."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import EndpointError
from dotterelpaddle.ids import AccountId, RouterId
from dotterelpaddle.logs import get_logger
from dotterelpaddle.placement.wishes import Wish

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.ids import AffinityKey
    from dotterelpaddle.placement.chats import CachedChat
    from dotterelpaddle.placement.meters import Meters
    from dotterelpaddle.placement.probes import Engines
    from dotterelpaddle.placement.shard_state import ShardState
    from dotterelpaddle.records.model import Endpoint

log = get_logger(name=__name__)

HALF_LIFE = 300.0
"""Seconds after which a chat is half as likely to return."""

MAX_MOVED = 4096
"""Chats whose caches are moved from one engine."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """A chat whose cache may be moved.

    Attributes:
        key: The chat's key.
        value: Tokens of prefill that moving it will probably save.
    """

    key: AffinityKey
    value: float


def candidates(*, chats: dict[AffinityKey, CachedChat], now: float) -> list[Candidate]:
    """Order chats by what moving them will probably save, most first.

    A chat that has returned often and lately is likely to return; each of its
    cached tokens is then saved from prefill.
    """
    found = [
        Candidate(key=key, value=expected_saving(chat=chat, now=now))
        for key, chat in chats.items()
    ]
    found.sort(key=lambda candidate: candidate.value, reverse=True)
    return found[:MAX_MOVED]


def expected_saving(*, chat: CachedChat, now: float) -> float:
    """Tokens of prefill that a moved cache will probably save."""
    age = max(now - chat.stored_at, 0.0)
    returns = chat.uses / (chat.uses + 1.0) * 0.5 ** (age / HALF_LIFE)
    return chat.tokens * returns


class Migration:
    """Moves caches within a byte rate.

    Args:
        engines: The client of engines.
        meters: Metrics of placement.
        clock: Monotonic clock.
        bytes_per_second: Rate at which caches are moved.
    """

    def __init__(
        self,
        *,
        engines: Engines,
        meters: Meters,
        clock: Clock,
        bytes_per_second: float,
    ) -> None:
        self._engines = engines
        self._meters = meters
        self._clock = clock
        self._rate = bytes_per_second

    async def move_all(self, *, state: ShardState, leaving: Endpoint) -> int:
        """Move a leaving engine's chats, most valuable first.

        Returns:
            Number of chats moved.
        """
        chats = state.cache.chats_at(endpoint=leaving.name)
        moved = 0
        for candidate in candidates(chats=chats, now=self._clock()):
            target = self._target(state=state, key=candidate.key, leaving=leaving)
            if target is None:
                break
            size = await self._move(leaving=leaving, target=target, key=candidate.key)
            if size is None:
                continue
            moved += 1
            self._meters.moved(size=size)
            state.cache.stored(
                endpoint=target.name,
                key=candidate.key,
                tokens=chats[candidate.key].tokens,
                now=self._clock(),
            )
            await anyio.sleep(size / self._rate)
        log.info("placement_caches_moved", endpoint=leaving.name, chats=moved)
        return moved

    def _target(
        self, *, state: ShardState, key: AffinityKey, leaving: Endpoint
    ) -> Endpoint | None:
        """The chat's home once the engine has left."""
        now = self._clock()
        wish = Wish(
            router=RouterId(""),
            number=0,
            account=AccountId(""),
            affinity=key,
            deadline=now,
            excluded=frozenset({leaving.name}),
        )
        return next(state.decider.chooser.ranked(wish=wish, now=now), None)

    async def _move(
        self, *, leaving: Endpoint, target: Endpoint, key: AffinityKey
    ) -> int | None:
        """Move one cache; return its size, None if it could not be moved."""
        try:
            content = await self._engines.export_cache(endpoint=leaving, key=key)
            if content is None:
                return None
            await self._engines.import_cache(endpoint=target, key=key, content=content)
        except EndpointError as error:
            log.debug("placement_move", endpoint=leaving.name, error=str(error))
            return None
        return len(content)
