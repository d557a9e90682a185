"""Accounts for the bytes held for callers and endpoints, and bounds them.

A new request reserves its whole body, and room for the answer that its route is
expected to bring, before any of it is read, so that bodies that arrive at the same time
don't stop each other halfway. Answers that are read whole wait for more room: their
requests run, and a refusal would not be true.

Services share the bound by dynamic thresholds (Choudhury and Hahne, "Dynamic Queue
Length Thresholds for Shared-Memory Packet Switches", 1998): a service may hold a
multiple of what is free. However much one of them would hold, some stays free for the
others.
"""

from __future__ import annotations

from collections import Counter, deque
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.exceptions import NotAccepting
from dotterelpaddle.logs import get_logger
from dotterelpaddle.memory.holdings import Holding
from dotterelpaddle.memory.kinds import HeldKind

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from dotterelpaddle.ids import ServiceName
    from dotterelpaddle.memory.answer_sizes import AnswerSize

log = get_logger(name=__name__)

NEW_REQUESTS_MULTIPLE = 3.0
"""Multiple of what is free that a service may hold with a new request: three quarters
of the bound if no other service holds anything."""

ANSWERS_MULTIPLE = 9.0
"""Multiple of what is free that a service may hold with more of an answer: nine tenths
of the bound if no other service holds anything."""

RELIEF_MULTIPLE = 1.0
"""Multiple of what is free below which the log states that a service is admitted again.
The gap keeps requests of different sizes from writing two lines each."""

REQUEST_BYTES = 32 * 1024
"""What a request takes besides body and answer: its task and both connections. This is
an estimate; with caller and endpoint in the same process, 128 KB were measured."""


@dataclass(kw_only=True, slots=True, eq=False)
class _Waiting:
    """More of an answer that waits for room.

    Attributes:
        owner: What is held for its request.
        size: Bytes to add.
        granted: Set once they have been added.
    """

    owner: Holding
    size: int
    granted: anyio.Event = field(default_factory=anyio.Event)


@dataclass(kw_only=True, slots=True, eq=False)
class _Share:
    """What is held for one service, or for no service in particular.

    Attributes:
        kinds: Bytes held by kind.
        total: Bytes held.
        ahead: What is held for the request whose answer may pass the bound, so that
            answers that are half read don't wait for each other for good.
        beyond: Bytes that it was granted for that.
        waiting: More of answers that waits for room, in order of arrival.
        is_refusing: Whether new requests are refused.
        refused: Requests refused since then.
    """

    kinds: Counter[HeldKind] = field(default_factory=Counter)
    total: int = 0
    ahead: Holding | None = None
    beyond: int = 0
    waiting: deque[_Waiting] = field(default_factory=deque)
    is_refusing: bool = False
    refused: int = 0


class HeldBytes:
    """The bytes that are held in sum.

    Args:
        bound: Maximum number of bytes, None for no bound. One answer of each service
            may pass it.
    """

    def __init__(self, *, bound: int | None) -> None:
        self._bound = bound
        self._held = 0
        self._beyond = 0
        self._refused = 0
        self._shares: dict[ServiceName | None, _Share] = {}

    @property
    def bound(self) -> int | None:
        """Maximum number of bytes, None for no bound."""
        return self._bound

    @property
    def held(self) -> int:
        """Bytes that are held now."""
        return self._held

    @property
    def refused(self) -> int:
        """Requests refused so far because the bound was reached."""
        return self._refused

    @property
    def waiting(self) -> int:
        """Answers that wait for room."""
        return sum(len(share.waiting) for share in self._shares.values())

    def by_use(self) -> Mapping[tuple[ServiceName | None, HeldKind], int]:
        """Return the bytes held by service, None for none in particular, and kind."""
        return {
            (service, kind): size
            for service, share in self._shares.items()
            for kind, size in share.kinds.items()
        }

    @contextmanager
    def request(
        self,
        *,
        size: int,
        service: ServiceName | None = None,
        answers: AnswerSize | None = None,
    ) -> Iterator[Holding]:
        """Hold what a new request takes until the context ends.

        Args:
            size: Bytes of its body, 0 if unknown.
            service: Service of its route, None if it has none.
            answers: Sizes of the plain answers of its route, None if not known.

        Raises:
            NotAccepting: If too much is held for other requests.
        """
        expected = 0 if answers is None else answers.expected
        size += REQUEST_BYTES
        self.check_room(service=service, size=size + expected)
        holding = Holding(ledger=self, service=service, answers=answers)
        holding.add(size=size)
        holding.reserve_answer(size=expected)
        try:
            yield holding
        finally:
            holding.clear()

    @contextmanager
    def hold(
        self, *, kind: HeldKind, size: int, service: ServiceName | None = None
    ) -> Iterator[None]:
        """Hold bytes until the context ends, whatever the bound."""
        self.add(service=service, kind=kind, size=size)
        try:
            yield
        finally:
            self.release(service=service, kind=kind, size=size)

    def check_room(self, *, service: ServiceName | None, size: int) -> None:
        """Check whether bytes of a request that does not run yet may be held.

        Raises:
            NotAccepting: If they may not.
        """
        share = self._share(service)
        # A body beyond the bound itself is admitted if nothing else of its service is.
        if not share.total or self._fits(share, size, NEW_REQUESTS_MULTIPLE):
            return
        self._refused += 1
        share.refused += 1
        if not share.is_refusing:
            share.is_refusing = True
            log.warning(
                "memory_bound_reached",
                service=service or "",
                held=share.total,
                held_in_sum=self._held,
                bound=self._bound,
            )
        raise NotAccepting(
            "this router holds as many bytes of other requests as its memory allows"
        )

    def add(self, *, service: ServiceName | None, kind: HeldKind, size: int) -> None:
        """Hold bytes, whatever the bound."""
        share = self._share(service)
        share.kinds[kind] += size
        share.total += size
        self._held += size

    def release(
        self,
        *,
        service: ServiceName | None,
        kind: HeldKind,
        size: int,
        owner: Holding | None = None,
        is_last: bool = False,
    ) -> None:
        """Release bytes.

        Args:
            service: Service for which they were held.
            kind: What they were held for.
            size: Number of bytes.
            owner: What is held for their request, None if they are of none.
            is_last: Whether the owner holds nothing any more.
        """
        share = self._share(service)
        share.kinds[kind] -= size
        share.total -= size
        self._held -= size
        if owner is not None and share.ahead is owner:
            back = min(share.beyond, size)
            share.beyond -= back
            self._beyond -= back
            if is_last:
                share.ahead = None
        self._grant()
        self._log_relief(service, share)

    def grow_answer(self, *, owner: Holding, size: int) -> bool:
        """Add bytes to an answer unless others are before it, or there is no room.

        Returns:
            Whether they have been added.
        """
        share = self._share(owner.service)
        is_next = not share.waiting or share.ahead is owner
        return is_next and self._grow(share, owner, size)

    async def wait_for_room(self, *, owner: Holding, size: int) -> None:
        """Wait until an answer may grow, and add its bytes; in order of arrival."""
        share = self._share(owner.service)
        entry = _Waiting(owner=owner, size=size)
        share.waiting.append(entry)
        try:
            await entry.granted.wait()
        except BaseException:
            if entry.granted.is_set():
                self.release(
                    service=owner.service,
                    kind=HeldKind.ANSWER,
                    size=size,
                    owner=owner,
                )
            else:
                share.waiting.remove(entry)
                self._grant()
            raise

    def _share(self, service: ServiceName | None) -> _Share:
        share = self._shares.get(service)
        if share is None:
            share = self._shares[service] = _Share()
        return share

    def _fits(self, share: _Share, size: int, multiple: float) -> bool:
        """Return whether a service may hold more bytes, by what is free with them.

        What an answer of another service has beyond the bound takes nothing from it.
        """
        if self._bound is None:
            return True
        beyond_of_others = self._beyond - share.beyond
        free = self._bound - (self._held - beyond_of_others + size)
        return share.total + size <= multiple * free

    def _grow(self, share: _Share, owner: Holding, size: int) -> bool:
        """Add bytes to an answer if it may grow; one of each service may in any case.

        Returns:
            Whether the bytes have been added.
        """
        if not self._fits(share, size, ANSWERS_MULTIPLE):
            if share.ahead is None:
                share.ahead = owner
            if share.ahead is not owner:
                return False
            share.beyond += size
            self._beyond += size
        self.add(service=owner.service, kind=HeldKind.ANSWER, size=size)
        return True

    def _grant(self) -> None:
        """Let waiting answers grow as far as there is room."""
        for share in self._shares.values():
            while share.waiting:
                entry = share.waiting[0]
                if not self._grow(share, entry.owner, entry.size):
                    break
                share.waiting.popleft()
                entry.granted.set()

    def _log_relief(self, service: ServiceName | None, share: _Share) -> None:
        if not share.is_refusing or not self._fits(share, 0, RELIEF_MULTIPLE):
            return
        refused, share.refused, share.is_refusing = share.refused, 0, False
        log.info(
            "memory_bound_left",
            service=service or "",
            held=share.total,
            refused=refused,
        )


def unbounded_holding() -> Holding:
    """Return a holding that counts towards no bound."""
    return Holding(ledger=HeldBytes(bound=None), service=None, answers=None)
