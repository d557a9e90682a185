"""Which endpoints have read which parts of prompts, as far as routers know.

A part that an endpoint has read need not be read again there, if the parts
before it are there too. Routers tell each other where they sent what, so that
a part stays where it is when endpoints join or leave, and one that many
requests share is known to be at several.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

import anyio

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

KNOWN_WAIT = 0.3
"""Seconds that requests wait after a router's start to learn where parts are; it
takes about 0.1 s, and reading a prompt of 10,000 tokens 0.12 s and more."""

TIMES_TOLD = 3
"""Reports in which a use is told to other routers, because datagrams get lost."""

MOST_USES_TOLD = 48
"""Uses in one report, so that it stays in one packet or two."""

PartTag = int
"""32 bits of a part's digest and its model's name."""

Use = tuple["PartTag", "EndpointId"]
"""A part, and an endpoint that has read it."""


class CacheMap:
    """Where parts of prompts are.

    Args:
        clock: Monotonic clock.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._holders: OrderedDict[PartTag, dict[EndpointId, float]] = OrderedDict()
        self._news: OrderedDict[Use, int] = OrderedDict()
        self._known = anyio.Event()

    @property
    def parts(self) -> int:
        """Parts that are remembered."""
        return len(self._holders)

    @property
    def known(self) -> bool:
        """Whether what endpoints had cached before this process began is known."""
        return self._known.is_set()

    def mark_known(self) -> None:
        """Note that it is, or can't be."""
        self._known.set()

    async def wait_known(self) -> None:
        """Wait until it is known, for a moment at most.

        A prompt that is placed before is read again at an endpoint that does not
        have it, which takes as long as the wait and makes others wait as well.
        """
        with anyio.move_on_after(KNOWN_WAIT):
            await self._known.wait()

    def missing(self, *, endpoint: EndpointId, request: ForwardRequest) -> int:
        """Tell how many tokens of shared parts an endpoint would have to read."""
        parts = shared_parts(request=request)
        left = sum(part.tokens for part in parts)
        oldest = self._clock() - REMEMBERED_TIME
        for part in parts:
            holders = self._holders.get(part_tag(model=request.model, part=part))
            if holders is None or holders.get(endpoint, float("-inf")) < oldest:
                return left
            left -= part.tokens
        return left

    def note(
        self, *, endpoint: EndpointId, request: ForwardRequest
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
            self.note_part(endpoint=endpoint, part=held)
        return tuple(new)

    def retract(self, *, endpoint: EndpointId, parts: Iterable[PartTag]) -> None:
        """Note that an endpoint did not get a prompt after all."""
        for part in parts:
            self._holders.get(part, {}).pop(endpoint, None)
            self._news.pop((part, endpoint), None)

    def note_part(self, *, endpoint: EndpointId, part: PartTag) -> None:
        """Note that an endpoint has a part, and tell other routers."""
        self._hold(part, endpoint, self._clock())
        self._news[part, endpoint] = TIMES_TOLD
        self._news.move_to_end((part, endpoint))

    def hear(self, *, uses: Iterable[Use]) -> None:
        """Take in where another router sent requests."""
        now = self._clock()
        for held, endpoint in uses:
            self._hold(held, endpoint, now)

    def news(self) -> list[Use]:
        """The next uses to tell the others; each is told a few times."""
        told = list(islice(self._news, MOST_USES_TOLD))
        for use in told:
            left = self._news.pop(use) - 1
            if left:
                self._news[use] = left
        return told

    def uses(self) -> list[Use]:
        """All that is known, for a router that has just started."""
        return [
            (part, endpoint)
            for part, holders in self._holders.items()
            for endpoint in holders
        ]

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
