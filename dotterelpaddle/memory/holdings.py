"""What is held for one request and for one of its answers."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from dotterelpaddle.memory.kinds import HeldKind

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.ids import ServiceName
    from dotterelpaddle.memory.answer_sizes import AnswerSize
    from dotterelpaddle.memory.held_bytes import HeldBytes


class Holding:
    """What is held for one request.

    Args:
        ledger: Adds up all holdings.
        service: Service of its route, None if it has none.
        answers: Sizes of the plain answers of its route, None if not known.
    """

    def __init__(
        self,
        *,
        ledger: HeldBytes,
        service: ServiceName | None,
        answers: AnswerSize | None,
    ) -> None:
        self._ledger = ledger
        self._service = service
        self._answers = answers
        self._size = 0
        self._answer_size = 0
        self._reserved = 0

    @property
    def service(self) -> ServiceName | None:
        """Service for which the bytes are held, None for none."""
        return self._service

    @property
    def size(self) -> int:
        """Bytes held besides those for answers."""
        return self._size

    @property
    def is_bounded(self) -> bool:
        """Whether the memory of the process is limited."""
        return self._ledger.bound is not None

    def assign(self, *, service: ServiceName) -> None:
        """Hold the bytes for the service that its route has chosen."""
        if service == self._service:
            return
        held = ((HeldKind.REQUEST, self._size), (HeldKind.ANSWER, self._reserved))
        for kind, size in held:
            self._ledger.add(service=service, kind=kind, size=size)
            self._ledger.release(service=self._service, kind=kind, size=size)
        self._service = service

    def add(self, *, size: int) -> None:
        """Hold more bytes, whatever the bound."""
        self._size += size
        self._ledger.add(service=self._service, kind=HeldKind.REQUEST, size=size)

    def add_of_new_request(self, *, size: int) -> None:
        """Hold more bytes of a request that does not run yet.

        Raises:
            NotAccepting: If too much is held for other requests.
        """
        self._ledger.check_room(service=self._service, size=size)
        self.add(size=size)

    def reserve_answer(self, *, size: int) -> None:
        """Hold room for an answer, whatever the bound."""
        self._reserved += size
        self._ledger.add(service=self._service, kind=HeldKind.ANSWER, size=size)

    def take_reserved(self, *, size: int) -> int:
        """Take at most a number of bytes of the room for an answer; return how many."""
        taken = min(self._reserved, size)
        self._reserved -= taken
        return taken

    @contextmanager
    def buffered(self, *, size: int) -> Iterator[None]:
        """Hold what waits on the endpoint's connection until the context ends."""
        with self._ledger.hold(kind=HeldKind.ANSWER, size=size, service=self._service):
            yield

    @contextmanager
    def answer(self) -> Iterator[AnswerHolding]:
        """Hold an answer: released if the block raises, else part of this holding."""
        part = AnswerHolding(ledger=self._ledger, owner=self)
        try:
            yield part
        except BaseException:
            self._release_answer(size=part.size)
            raise
        self._answer_size += part.size

    def record_answer(self, *, size: int) -> None:
        """Record how many bytes of a plain answer have come."""
        if self._answers is not None:
            self._answers.record(size=size)

    def clear(self) -> None:
        """Release all bytes."""
        answer_size = self._answer_size + self._reserved
        self._answer_size = self._reserved = 0
        self._release_answer(size=answer_size, is_last=True)
        size, self._size = self._size, 0
        self._ledger.release(service=self._service, kind=HeldKind.REQUEST, size=size)

    def _release_answer(self, *, size: int, is_last: bool = False) -> None:
        self._ledger.release(
            service=self._service,
            kind=HeldKind.ANSWER,
            size=size,
            owner=self,
            is_last=is_last,
        )


class AnswerHolding:
    """What is held of one answer while it is read.

    Args:
        ledger: Adds up all holdings.
        owner: What is held for its request.
    """

    def __init__(self, *, ledger: HeldBytes, owner: Holding) -> None:
        self._ledger = ledger
        self._owner = owner
        self._size = 0

    @property
    def size(self) -> int:
        """Bytes held."""
        return self._size

    async def grow(self, *, size: int, buffered: int = 0) -> None:
        """Hold a number of bytes in all, once there is room for those beyond `size`.

        Args:
            size: Bytes of the answer in all.
            buffered: Bytes that may come on its connection while it waits.
        """
        if size > self._size:
            self._size += self._owner.take_reserved(size=size - self._size)
        more = size - self._size
        if more <= 0 or self._ledger.grow_answer(owner=self._owner, size=more):
            self._size = max(self._size, size)
            return
        with self._owner.buffered(size=buffered):
            await self._ledger.wait_for_room(owner=self._owner, size=more)
        self._size = size
