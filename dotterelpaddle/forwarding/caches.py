"""Which endpoints have read which parts of prompts, as far as routers know.

A part that an endpoint has read need not be read again there, if the parts
before it are there too. Routers tell each other where they sent what, so that
a part stays where it is when endpoints join or leave, and one that many
requests share is known to be at several.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from dotterelpaddle.placement.rendezvous import tag

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import ForwardRequest, PromptPart
    from dotterelpaddle.ids import EndpointId, ModelId

REMEMBERED_TIME = 120.0
"""Seconds without use after which a part counts as dropped by its endpoint."""

MOST_PARTS = 20_000
"""Parts that are remembered: 3 MB, and far more than endpoints can keep."""

NEWS_TIME = 0.7
"""Seconds that a use is told to other routers, three reports or so, because
datagrams get lost."""

PartTag = int
"""32 bits of a part's digest and its model's name."""


class CacheMap:
    """Where parts of prompts are.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._holders: OrderedDict[PartTag, dict[EndpointId, float]] = OrderedDict()
        self._news: OrderedDict[tuple[PartTag, EndpointId], float] = OrderedDict()

    def missing(self, *, endpoint: EndpointId, request: ForwardRequest) -> int:
        """Tell how many tokens of shared parts an endpoint would have to read."""
        parts = shared_parts(request=request)
        left = sum(part.tokens for part in parts)
        oldest = self._clock() - REMEMBERED_TIME
        for part in parts:
            holders = self._holders.get(part_tag(model=request.model, part=part))
            if holders is None or holders.get(endpoint, -1.0) < oldest:
                return left
            left -= part.tokens
        return left

    def note(self, *, endpoint: EndpointId, request: ForwardRequest) -> None:
        """Note that an endpoint reads a request's prompt."""
        now = self._clock()
        for part in shared_parts(request=request):
            held = part_tag(model=request.model, part=part)
            self._hold(held, endpoint, now)
            self._news[held, endpoint] = now
            self._news.move_to_end((held, endpoint))

    def hear(self, *, uses: Iterable[tuple[PartTag, EndpointId]]) -> None:
        """Take in where another router sent requests."""
        now = self._clock()
        for held, endpoint in uses:
            self._hold(held, endpoint, now)

    def forget(self, *, endpoint: EndpointId) -> None:
        """Note that an endpoint is gone, and its cache with it."""
        for holders in self._holders.values():
            holders.pop(endpoint, None)

    def news(self) -> list[tuple[PartTag, EndpointId]]:
        """This router's uses of late, for the others."""
        oldest = self._clock() - NEWS_TIME
        while self._news:
            key, used_at = next(iter(self._news.items()))
            if used_at >= oldest:
                break
            del self._news[key]
        return list(self._news)

    def _hold(self, held: PartTag, endpoint: EndpointId, now: float) -> None:
        holders = self._holders.get(held)
        if holders is None:
            holders = self._holders[held] = {}
        holders[endpoint] = now
        self._holders.move_to_end(held)
        if len(self._holders) > MOST_PARTS:
            self._holders.popitem(last=False)


def shared_parts(*, request: ForwardRequest) -> Sequence[PromptPart]:
    """Parts of a prompt that other requests share: all but the last, its own."""
    return request.prompt[:-1]


def part_tag(*, model: ModelId, part: PromptPart) -> PartTag:
    """Short name of a part as one model caches it."""
    return tag(text=f"{model}/{part.part}")
