"""Which endpoints have read which parts of prompts, as far as routers know.

A part that an endpoint has read need not be read again there, if the parts
before it are there too. Routers tell each other where they sent what, so that
a part stays where it is when endpoints join or leave, and one that many
requests share is known to be at several.
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
"""Seconds without use after which a part counts as dropped by its endpoint."""

MAX_PARTS = 20_000
"""Parts that are remembered: 3 MB, and far more than endpoints can keep."""

MAX_STARTUP_WAIT_SECONDS = 0.3
"""Seconds that requests wait after a router's start to learn where parts are; it
takes about 0.1 s, and reading a prompt of 10,000 tokens 0.12 s and more."""

MIN_REPEAT_REPORT_SECONDS = 20.0
"""Seconds until others are told again that a part is used where it was known to be;
they forget it after six times that."""


class UseOrigin(Enum):
    """Where a use was heard of, which decides who is told of it."""

    LOCAL = "own"
    SAME_DOMAIN = "near"
    OTHER_DOMAIN = "far"


class CacheMap:
    """Where parts of prompts are.

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
        """Parts that are remembered."""
        return len(self._holders)

    @property
    def is_populated(self) -> bool:
        """Whether what endpoints had cached before this process began is known."""
        return self._populated.is_set()

    def mark_populated(self) -> None:
        """Note that it is, or can't be."""
        self._populated.set()

    async def wait_until_populated(self) -> None:
        """Wait until it is known, for a moment at most.

        A prompt that is placed before is read again at an endpoint that does not
        have it, which takes as long as the wait and makes others wait as well.
        """
        with anyio.move_on_after(MAX_STARTUP_WAIT_SECONDS):
            await self._populated.wait()

    def cached_tokens(self, *, request: HasPrompt) -> dict[EndpointId, int]:
        """Tell how many tokens of shared parts endpoints have; most have none.

        A part counts only where all parts before it are.
        """
        oldest = self._clock() - PART_EXPIRY_SECONDS
        cached: dict[EndpointId, int] = {}
        before: Collection[EndpointId] | None = None
        for part in shared_parts(request=request):
            holders = self._holders.get(part_tag(model=request.model, part=part), {})
            before = [
                endpoint
                for endpoint, used_at in holders.items()
                if used_at >= oldest and (before is None or endpoint in before)
            ]
            for endpoint in before:
                cached[endpoint] = cached.get(endpoint, 0) + part.tokens
        return cached

    def missing_tokens(self, *, endpoint: EndpointId, request: HasPrompt) -> int:
        """Tell how many tokens of shared parts an endpoint would have to read."""
        total = shared_tokens(request=request)
        return total - self.cached_tokens(request=request).get(endpoint, 0)

    def record_prompt(
        self, *, endpoint: EndpointId, request: HasPrompt
    ) -> tuple[PartTag, ...]:
        """Note that an endpoint reads a request's prompt.

        Returns:
            The parts that were not known to be there.
        """
        new = []
        for part in shared_parts(request=request):
            held = part_tag(model=request.model, part=part)
            if endpoint not in self._holders.get(held, ()):
                new.append(held)
            self.record_part(endpoint=endpoint, part=held)
        return tuple(new)

    def retract_parts(self, *, endpoint: EndpointId, parts: Iterable[PartTag]) -> None:
        """Note that an endpoint did not get a prompt after all."""
        for part in parts:
            self._holders.get(part, {}).pop(endpoint, None)
            use = (part, endpoint)
            self._reported_at.pop(use, None)
            self._pending[UseOrigin.LOCAL].discard(use=use)

    def record_part(self, *, endpoint: EndpointId, part: PartTag) -> None:
        """Note that an endpoint has a part, and tell other routers."""
        self._record_use((part, endpoint), UseOrigin.LOCAL, self._clock())

    def receive(
        self, *, uses: Iterable[PartUse], forward_as: UseOrigin | None = None
    ) -> None:
        """Take in where another router sent requests.

        Args:
            uses: What it told.
            forward_as: Where it is, if others hear of it through this router.
        """
        now = self._clock()
        for use in uses:
            self._record_use(use, forward_as, now)

    def take_pending(self, *, origin: UseOrigin = UseOrigin.LOCAL) -> list[PartUse]:
        """The next uses of an origin to tell the others; each is told a few times."""
        return self._pending[origin].take()

    def all_uses(self) -> list[PartUse]:
        """All that is known, for a router that has just started."""
        return [
            (part, endpoint)
            for part, holders in self._holders.items()
            for endpoint in holders
        ]

    def _record_use(self, use: PartUse, origin: UseOrigin | None, now: float) -> None:
        """Note a use, and let others be told unless they have been of late."""
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
    """Parts of a prompt that other requests share: all but the last, its own."""
    return request.prompt[:-1]


def shared_tokens(*, request: HasPrompt) -> int:
    """Length of the parts of a prompt that other requests share."""
    return sum(part.tokens for part in shared_parts(request=request))


def part_tag(*, model: ModelId, part: PromptPart) -> PartTag:
    """Short name of a part as one model caches it."""
    return tag(text=f"{model}/{part.digest}")
