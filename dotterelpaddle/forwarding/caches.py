"""Tracks which endpoints have cached which prompt parts.

An endpoint doesn't read a prompt part again if it has cached the part and all parts
before it. Routers report to each other where they sent prompts. Placement therefore
stays stable when endpoints join or leave, and every router knows all the endpoints
that have a part which many requests share.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.use_queue import MAX_FORWARDED_USES_PER_REPORT, UseQueue
from dotterelpaddle.placement.rendezvous import tag

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import HasPrompt, PromptPart
    from dotterelpaddle.forwarding.use_queue import PartTag, PartUse
    from dotterelpaddle.ids import EndpointId, ModelId

PART_EXPIRY_SECONDS = 120.0
"""Seconds without use after which the map assumes that the endpoint evicted a part."""

MAX_PARTS = 20_000
"""Parts that the map holds: 3 MB, and far more than endpoints can cache."""

MAX_STARTUP_WAIT_SECONDS = 0.3
"""Seconds that requests wait after a router's start until the map is populated.
Populating it takes about 0.1 s; reading a prompt of 10,000 tokens takes 0.12 s or
more."""

MIN_REPEAT_REPORT_SECONDS = 20.0
"""Seconds between two reports that an endpoint still uses a known part. Other routers
expire the part after six times as long."""


class UseOrigin(Enum):
    """Where a use was first reported, which determines the routers that it goes to."""

    LOCAL = "own"
    SAME_DOMAIN = "near"
    OTHER_DOMAIN = "far"


class CacheMap:
    """Maps prompt parts to the endpoints that have cached them.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._holders: OrderedDict[PartTag, dict[EndpointId, float]] = OrderedDict()
        self._pending = {
            UseOrigin.LOCAL: UseQueue(),
            UseOrigin.SAME_DOMAIN: UseQueue(
                max_per_report=MAX_FORWARDED_USES_PER_REPORT
            ),
            UseOrigin.OTHER_DOMAIN: UseQueue(
                max_per_report=MAX_FORWARDED_USES_PER_REPORT
            ),
        }
        self._reported_at: dict[PartUse, float] = {}
        self._populated = anyio.Event()

    @property
    def part_count(self) -> int:
        """Number of parts in the map."""
        return len(self._holders)

    @property
    def is_populated(self) -> bool:
        """Whether the map has what endpoints cached before this process started."""
        return self._populated.is_set()

    def mark_populated(self) -> None:
        """Mark the map as populated, or as impossible to populate."""
        self._populated.set()

    async def wait_until_populated(self) -> None:
        """Wait until the map is populated, at most MAX_STARTUP_WAIT_SECONDS.

        A prompt that is placed earlier may go to an endpoint that has to read it
        again. Reading it takes as long as the wait and delays other requests as well.
        """
        with anyio.move_on_after(MAX_STARTUP_WAIT_SECONDS):
            await self._populated.wait()

    def has_part(self, *, endpoint: EndpointId, part: PartTag) -> bool:
        """Return whether an endpoint has ever been reported to have a part."""
        return endpoint in self._holders.get(part, ())

    def cached_tokens(self, *, request: HasPrompt) -> dict[EndpointId, int]:
        """Return the cached shared tokens of each endpoint that has any.

        A part counts only if the endpoint has all parts before it.
        """
        oldest = self._clock() - PART_EXPIRY_SECONDS
        cached: dict[EndpointId, int] = {}
        prefix_holders: Collection[EndpointId] | None = None
        for part in shared_parts(request=request):
            holders = self._holders.get(part_tag(model=request.model, part=part), {})
            prefix_holders = [
                endpoint
                for endpoint, used_at in holders.items()
                if used_at >= oldest
                and (prefix_holders is None or endpoint in prefix_holders)
            ]
            for endpoint in prefix_holders:
                cached[endpoint] = cached.get(endpoint, 0) + part.tokens
        return cached

    def missing_tokens(self, *, endpoint: EndpointId, request: HasPrompt) -> int:
        """Return the number of shared tokens that an endpoint would have to read."""
        total = shared_tokens(request=request)
        return total - self.cached_tokens(request=request).get(endpoint, 0)

    def record_prompt(
        self, *, endpoint: EndpointId, request: HasPrompt
    ) -> tuple[PartTag, ...]:
        """Record that an endpoint reads the prompt of a request.

        Returns:
            The parts that were not recorded at the endpoint before.
        """
        new = []
        for part in shared_parts(request=request):
            tag_of_part = part_tag(model=request.model, part=part)
            if endpoint not in self._holders.get(tag_of_part, ()):
                new.append(tag_of_part)
            self.record_part(endpoint=endpoint, part=tag_of_part)
        return tuple(new)

    def retract_parts(self, *, endpoint: EndpointId, parts: Iterable[PartTag]) -> None:
        """Remove parts of a prompt that never reached its endpoint."""
        for part in parts:
            self._holders.get(part, {}).pop(endpoint, None)
            use = (part, endpoint)
            self._reported_at.pop(use, None)
            self._pending[UseOrigin.LOCAL].discard(use=use)

    def record_part(self, *, endpoint: EndpointId, part: PartTag) -> None:
        """Record that an endpoint has a part, and queue the use for reports."""
        self._record_use((part, endpoint), UseOrigin.LOCAL, self._clock())

    def receive(
        self, *, uses: Iterable[PartUse], forward_as: UseOrigin | None = None
    ) -> None:
        """Record the uses that another router reported.

        Args:
            uses: The reported uses.
            forward_as: Origin under which this router forwards them to other routers,
                None not to forward them.
        """
        now = self._clock()
        for use in uses:
            self._record_use(use, forward_as, now)

    def take_pending(self, *, origin: UseOrigin = UseOrigin.LOCAL) -> list[PartUse]:
        """Return the uses of an origin for the next report; each use is in several."""
        return self._pending[origin].take()

    def all_uses(self) -> list[PartUse]:
        """Return all uses, for a router that has just started."""
        return [
            (part, endpoint)
            for part, holders in self._holders.items()
            for endpoint in holders
        ]

    def _record_use(self, use: PartUse, origin: UseOrigin | None, now: float) -> None:
        """Record a use, and queue it for reports unless it was reported recently."""
        part, endpoint = use
        is_new = endpoint not in self._holders.get(part, ())
        if (
            is_new
            or now - self._reported_at.get(use, float("-inf"))
            >= MIN_REPEAT_REPORT_SECONDS
        ):
            self._reported_at[use] = now
            if origin is not None:
                self._pending[origin].put(use=use)
        self._record_holder(part, endpoint, now)

    def _record_holder(self, part: PartTag, endpoint: EndpointId, now: float) -> None:
        holders = self._holders.get(part)
        if holders is None:
            holders = self._holders[part] = {}
        holders[endpoint] = now
        self._holders.move_to_end(part)
        if len(self._holders) > MAX_PARTS:
            dropped, endpoints = self._holders.popitem(last=False)
            for each in endpoints:
                self._reported_at.pop((dropped, each), None)


def shared_parts(*, request: HasPrompt) -> Sequence[PromptPart]:
    """Return the parts of a prompt that other requests share: all but the last."""
    return request.prompt[:-1]


def shared_tokens(*, request: HasPrompt) -> int:
    """Return the number of tokens in the shared parts of a prompt."""
    return sum(part.tokens for part in shared_parts(request=request))


def part_tag(*, model: ModelId, part: PromptPart) -> PartTag:
    """Return the tag of a part in the cache of one model."""
    return tag(text=f"{model}/{part.digest}")
