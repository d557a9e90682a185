"""The last filter: sends a request to an endpoint and answers the caller."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.chat_relay import (
    ChatRelay,
    StreamRelay,
    engine_content,
)
from dotterelpaddle.dispatch.patience import wait_kind
from dotterelpaddle.dispatch.placing import rank_of
from dotterelpaddle.dispatch.relay import OUTCOME_HEADER, Relay
from dotterelpaddle.dispatch.service_relay import ServiceRelay
from dotterelpaddle.dispatch.target import Relayed, Result, WholeAnswer
from dotterelpaddle.pipeline import ChatWork, Outcome, ServiceWork

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.dispatch.attempts import Attempts
    from dotterelpaddle.dispatch.budget import RetryBudget
    from dotterelpaddle.dispatch.hedge import Hedger
    from dotterelpaddle.dispatch.options import DispatchOptions
    from dotterelpaddle.dispatch.patience import PatienceBook
    from dotterelpaddle.endpoint.engine import EngineClient
    from dotterelpaddle.endpoint.service import ServiceClient
    from dotterelpaddle.pipeline import Exchange, Next


class Dispatcher:
    """Sends a request to an endpoint and answers the caller.

    Args:
        attempts: Places and sends attempts.
        budget: Gets a share of each request for retries.
        patience: What was learnt of each pool's progress.
        hedger: Sends second attempts for late ones.
        engines: Client of engines.
        services: Client of plain services.
        catalog: The records in force.
        options: Bounds.
    """

    def __init__(
        self,
        *,
        attempts: Attempts,
        budget: RetryBudget,
        patience: PatienceBook,
        hedger: Hedger,
        engines: EngineClient,
        services: ServiceClient,
        catalog: Catalog,
        options: DispatchOptions,
    ) -> None:
        self._attempts = attempts
        self._budget = budget
        self._patience = patience
        self._hedger = hedger
        self._catalog = catalog
        self._options = options
        self._engines = engines
        self._services = services

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Serve the request.

        Raises:
            RequestError: If there is no whole answer.
        """
        self._budget.deposit()
        result = await self._send(exchange=exchange)
        await deliver(exchange=exchange, result=result)

    async def _send(self, *, exchange: Exchange) -> Result:
        """Send attempts, and a hedge where a second run is cheap.

        Chats are not hedged: a second engine would read the whole prompt again
        without the chat's cache.
        """
        send = partial(
            self._attempts.run,
            exchange=exchange,
            relay=self._relay(exchange=exchange),
            visited=set(),
        )
        late = self._late(exchange=exchange)
        if late is None:
            return await send()
        return await self._hedger.send(send=send, delay=late, allowed=self._budget.take)

    def _late(self, *, exchange: Exchange) -> float | None:
        """Return the seconds after which a hedge is sent, None for never."""
        match exchange.work:
            case ServiceWork() if exchange.idempotent:
                return self._patience.late(kind=wait_kind(exchange=exchange))
            case _:
                return None

    def _relay(self, *, exchange: Exchange) -> Relay:
        match exchange.work:
            case ChatWork(stream=True) as work:
                return StreamRelay(
                    exchange=exchange,
                    content=self._content(exchange=exchange, work=work),
                    engines=self._engines,
                )
            case ChatWork() as work:
                return ChatRelay(
                    exchange=exchange,
                    content=self._content(exchange=exchange, work=work),
                    engines=self._engines,
                )
            case ServiceWork() as work:
                return ServiceRelay(
                    exchange=exchange,
                    work=work,
                    services=self._services,
                    buffered_bytes=self._options.buffered_bytes,
                )
        raise AssertionError("a request without work was dispatched")

    def _content(self, *, exchange: Exchange, work: ChatWork) -> dict[str, object]:
        assert exchange.account is not None
        rank = rank_of(account=exchange.account, catalog=self._catalog)
        return engine_content(exchange=exchange, work=work, rank=rank)


async def deliver(*, exchange: Exchange, result: Result) -> None:
    """Send the caller what it does not have yet."""
    match result:
        case WholeAnswer(outcome=Outcome.COMPLETED):
            exchange.attempts.deliver()
            await _send_whole(exchange=exchange, answer=result)
        case WholeAnswer():
            await _send_whole(exchange=exchange, answer=result)
        case Relayed(tail=tail):
            exchange.attempts.deliver()
            if tail:
                await exchange.reply.write(chunk=tail)
            await exchange.reply.finish()


async def _send_whole(*, exchange: Exchange, answer: WholeAnswer) -> None:
    headers = {**answer.headers, OUTCOME_HEADER: answer.outcome.value}
    await exchange.reply.send_buffered(
        status=answer.status, headers=headers, body=answer.body
    )
