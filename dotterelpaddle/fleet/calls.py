"""Calls with the retries that a careful caller makes."""

from __future__ import annotations

import itertools
import random
import time
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.fleet.client import Answer, ChatCall, ServiceCall
from dotterelpaddle.fleet.turns import Attempt, CallKind, Turn
from dotterelpaddle.fleet.verify import Wholeness, check_chat, check_service
from dotterelpaddle.pipeline import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.address import Address
    from dotterelpaddle.fleet.balancer import Entries
    from dotterelpaddle.fleet.client import Client
    from dotterelpaddle.fleet.conversations import Chat
    from dotterelpaddle.fleet.measures import CacheWatch
    from dotterelpaddle.fleet.shape import AccountShape, Shape

BACKOFF = 0.05
"""Seconds before the second attempt; doubled for each further one."""

LONGEST_BACKOFF = 1.0
"""Longest wait before an attempt, seconds, whatever the router asks for."""

FINAL_STATUSES = frozenset({400, 401, 404, 413})
"""Refusals that say that the call itself is wrong."""


class Caller:
    """Sends calls, repeats those that may be repeated and checks the answers.

    Args:
        shape: The deployment.
        entries: Where to send.
        client: Sends calls and reads answers.
        caches: Tells which caches exist, None if unknown.
        attempts: How often a call is sent at most.
        timeout: Seconds that a caller waits for each attempt.
        seed: Seed of the choice of routers.
    """

    def __init__(
        self,
        *,
        shape: Shape,
        entries: Entries,
        client: Client,
        caches: CacheWatch | None,
        attempts: int,
        timeout: float,
        seed: int,
    ) -> None:
        self._shape = shape
        self._entries = entries
        self._client = client
        self._caches = caches
        self._attempts = attempts
        self._timeout = timeout
        self._generator = random.Random(f"{seed}/routers")
        self._prefix = f"{seed}-{self._generator.getrandbits(32):08x}"
        self._numbers = itertools.count()

    async def chat(self, *, chat: Chat, stream: bool) -> Turn:
        """Send the next turn of a chat and add its answer to the conversation."""
        messages = chat.next_messages()
        call = ChatCall(
            token=chat.account.token,
            service=self._shape.engine_pool.service,
            chat=chat.name,
            messages=messages,
            max_tokens=chat.sizes.answer,
            stream=stream,
            timeout=self._timeout,
        )
        turn = Turn(
            account=chat.account.name,
            kind=CallKind.STREAM if stream else CallKind.CHAT,
            sent_at=time.monotonic(),
            returning=chat.returning,
            existing_tokens=self._existing_tokens(chat=chat),
            answer=Answer(),
        )
        await self.send_chat(turn=turn, call=call)
        if turn.wholeness is Wholeness.WHOLE:
            chat.complete(messages=messages, answer=turn.answer.text)
        return turn

    async def service(self, *, account: AccountShape, keyed: bool) -> Turn:
        """Call a plain service, with an idempotency key or as idempotent."""
        path = f"items/{self._prefix}-{next(self._numbers)}"
        key = path.replace("/", "-") if keyed else ""
        call = ServiceCall(
            token=account.token,
            service=self._shape.service_pool.service,
            path=path,
            idempotency_key=key,
            idempotent=not keyed,
            timeout=self._timeout,
        )
        turn = Turn(
            account=account.name,
            kind=CallKind.KEYED if keyed else CallKind.SERVICE,
            key=key,
            sent_at=time.monotonic(),
            answer=Answer(),
        )
        await self.send_service(turn=turn, call=call)
        return turn

    async def send_chat(self, *, turn: Turn, call: ChatCall) -> None:
        """Send a turn of a chat, repeat it if need be and check the answer."""

        async def _send(router: Address) -> Answer:
            return await self._client.chat(router=router, call=call)

        await self._repeat(turn=turn, send=_send, repeatable=True)
        model = self._shape.engine_pool.model
        turn.wholeness = check_chat(answer=turn.answer, call=call, model=model)

    async def send_service(self, *, turn: Turn, call: ServiceCall) -> None:
        """Call a plain service, repeat it if need be and check the answer."""

        async def _send(router: Address) -> Answer:
            return await self._client.service(router=router, call=call)

        repeatable = call.idempotent is not False or bool(call.idempotency_key)
        await self._repeat(turn=turn, send=_send, repeatable=repeatable)
        turn.wholeness = check_service(
            answer=turn.answer,
            path=call.path,
            first_run=len(turn.attempts) == 1 and not call.idempotency_key,
        )

    async def _repeat(
        self,
        *,
        turn: Turn,
        send: Callable[[Address], Awaitable[Answer]],
        repeatable: bool,
    ) -> None:
        router: Address | None = None
        for number in range(self._attempts):
            router = self._entries.pick(generator=self._generator, avoid=router)
            answer = await send(router)
            turn.answer = answer
            turn.attempts.append(_attempt(answer=answer))
            if not _may_repeat(answer=answer, repeatable=repeatable):
                return
            if number + 1 < self._attempts:
                await anyio.sleep(_pause(answer=answer, number=number))

    def _existing_tokens(self, *, chat: Chat) -> int:
        if self._caches is None or not chat.returning:
            return 0
        return self._caches.existing_tokens(chat=chat)


def _attempt(*, answer: Answer) -> Attempt:
    return Attempt(
        request_id=answer.request_id,
        outcome=answer.outcome,
        status=answer.status,
        error=answer.error,
        step=answer.step,
    )


def _may_repeat(*, answer: Answer, repeatable: bool) -> bool:
    """Tell whether to send a call again.

    Args:
        answer: The last answer.
        repeatable: Whether the call is idempotent or carries a key, so that it
            may be repeated also when it may have run.
    """
    if answer.completed:
        return False
    if answer.outcome is Outcome.NOT_RUN:
        return answer.status not in FINAL_STATUSES
    return repeatable


def _pause(*, answer: Answer, number: int) -> float:
    backoff = BACKOFF * 2**number
    return min(max(backoff, answer.retry_after), LONGEST_BACKOFF)
