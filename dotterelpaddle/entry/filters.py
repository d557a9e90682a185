"""Filters from a caller's request to one that can be placed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.entry.affinity import affinity_key
from dotterelpaddle.entry.reader import read_work
from dotterelpaddle.exceptions import (
    DeadlineExceeded,
    MalformedRequest,
    NotAuthenticated,
    RouteNotFound,
    Step,
)
from dotterelpaddle.pipeline import ChatWork, ServiceWork
from dotterelpaddle.records.model import PoolKind

if TYPE_CHECKING:
    from dotterelpaddle.catalog.interface import Catalog
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.pipeline import Exchange, Next
    from dotterelpaddle.records.model import Route

BEARER = "bearer "
TIMEOUT_HEADER = "x-timeout-ms"
IDEMPOTENT_HEADER = "x-idempotent"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_KEY_LENGTH = 200
CHARACTERS_PER_TOKEN = 4
DEFAULT_ANSWER_TOKENS = 128


class Authenticate:
    """Finds the client account of a request's bearer token.

    Args:
        catalog: The records in force.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Set the account and go on.

        Raises:
            NotAuthenticated: If the token is missing or unknown.
        """
        header = exchange.request.headers.get("authorization", "")
        if not header.lower().startswith(BEARER):
            raise NotAuthenticated("send the header 'Authorization: Bearer TOKEN'")
        token = header[len(BEARER) :].strip()
        exchange.account = self._catalog.account_of_token(token=token)
        if exchange.account is None:
            raise NotAuthenticated("the token belongs to no client account")
        await rest(exchange)


class FindRoute:
    """Reads what the caller wants and finds its route and pool.

    Args:
        catalog: The records in force.
    """

    def __init__(self, *, catalog: Catalog) -> None:
        self._catalog = catalog

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Set work, route and pool, and go on.

        Raises:
            RouteNotFound: If the client account has no such route.
            MalformedRequest: If the request can't be read.
        """
        assert exchange.account is not None
        work = read_work(request=exchange.request)
        route = self._catalog.route(account=exchange.account.name, service=work.service)
        if route is None:
            raise RouteNotFound(
                f"client account '{exchange.account.name}' has no route for "
                f"service '{work.service}'"
            )
        pool = self._catalog.pool(name=route.pool)
        if pool is None:
            raise RouteNotFound(f"pool '{route.pool}' does not exist")
        _check_kind(work=work, kind=pool.kind)
        exchange.work = work
        exchange.route = route
        exchange.pool = pool
        _read_idempotency(exchange=exchange, route=route)
        await rest(exchange)


async def set_affinity(exchange: Exchange, rest: Next) -> None:
    """Set the affinity key and the estimated lengths, and go on."""
    assert exchange.route is not None
    match exchange.work:
        case ChatWork(content=content, chat_id=chat_id):
            messages = content["messages"]
            exchange.affinity = affinity_key(
                route=exchange.route, chat_id=chat_id, messages=messages
            )
            exchange.prompt_tokens = len(exchange.request.body) // CHARACTERS_PER_TOKEN
            exchange.answer_tokens = content.get("max_tokens") or DEFAULT_ANSWER_TOKENS
        case _:
            exchange.affinity = None
    await rest(exchange)


class KeepDeadline:
    """Ends a request when its deadline passes.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock

    async def __call__(self, exchange: Exchange, rest: Next) -> None:
        """Set the deadline and go on until then.

        Raises:
            DeadlineExceeded: When it passes.
            MalformedRequest: If the caller's timeout can't be read.
        """
        assert exchange.route is not None
        timeout = _timeout(exchange=exchange, route=exchange.route)
        exchange.deadline = exchange.received_at + timeout
        time_left = exchange.deadline - self._clock()
        if time_left > 0:
            with anyio.move_on_after(time_left) as scope:
                await rest(exchange)
            if not scope.cancelled_caught:
                return
        raise DeadlineExceeded(
            f"no answer within {timeout:g} s", step=Step.ENTRY, retry_after=1.0
        )


def _check_kind(*, work: ChatWork | ServiceWork, kind: PoolKind) -> None:
    match work:
        case ChatWork():
            fits = kind is PoolKind.ENGINE
        case ServiceWork():
            fits = kind is PoolKind.SERVICE
    if not fits:
        raise RouteNotFound(
            f"service '{work.service}' goes to a pool of kind '{kind.value}', "
            "which does not take this kind of request"
        )


def _read_idempotency(*, exchange: Exchange, route: Route) -> None:
    headers = exchange.request.headers
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    if len(key) > MAX_KEY_LENGTH:
        raise MalformedRequest(
            f"header 'Idempotency-Key' is over {MAX_KEY_LENGTH} characters"
        )
    exchange.idempotency_key = key
    text = headers.get(IDEMPOTENT_HEADER, "").lower()
    if text not in ("", "true", "false"):
        raise MalformedRequest("header 'X-Idempotent': give true or false")
    exchange.idempotent = route.idempotent and text != "false"


def _timeout(*, exchange: Exchange, route: Route) -> float:
    text = exchange.request.headers.get(TIMEOUT_HEADER, "")
    if not text:
        return route.timeout
    try:
        milliseconds = float(text)
    except ValueError:
        milliseconds = math.nan
    if not milliseconds > 0:
        raise MalformedRequest("header 'X-Timeout-Ms': give milliseconds above 0")
    return min(milliseconds / 1000, route.timeout)
