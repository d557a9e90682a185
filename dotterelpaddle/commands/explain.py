"""Explains why a chat goes where it goes."""

from __future__ import annotations

import anyio

from dotterelpaddle.commands.documents import print_document
from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.operator_access import (
    DEFAULT_ACCESS,
    OperatorAccess,
    reach,
)
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.operator.interface import ExplainQuery


def explain_command(
    *,
    request: str = "",
    account: str = "",
    service: str = "",
    chat: str = "",
    json: bool = False,
    access: OperatorAccess = DEFAULT_ACCESS,
) -> int:
    """Explain why a request went, or a chat would go, where it does.

    Name a recent request by --request, or a chat by --account, --service and
    --chat. Exit codes: 0 done; 1 the router knows no such request or route; 2
    wrong use; 3 no router can be reached.

    Args:
        request: Id of a recent request, from its answer's X-Request-Id.
        account: Client account of the chat.
        service: Service name, as the caller gives it.
        chat: Id of the chat, as the caller gives it.
        json: Print it as JSON.
        access: Where the routers are.
    """

    async def _run() -> int:
        query = ExplainQuery(
            request_id=request, account=account, service=service, chat=chat
        )
        async with reach(access=access) as client:
            print_document(document=await client.explain(query=query), json=json)
        return ExitCode.OK

    if not request and not (account and service):
        raise SettingsError("give --request ID, or --account, --service and --chat")
    return anyio.run(_run)
