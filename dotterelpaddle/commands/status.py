"""Shows how a router sees itself and the fleet."""

from __future__ import annotations

import anyio

from dotterelpaddle.commands.documents import print_document
from dotterelpaddle.commands.errors import ExitCode
from dotterelpaddle.commands.operator_access import (
    DEFAULT_ACCESS,
    OperatorAccess,
    reach,
)


def status_command(
    *, json: bool = False, access: OperatorAccess = DEFAULT_ACCESS
) -> int:
    """Show how a router sees itself and the fleet.

    Exit codes: 0 done; 2 wrong use; 3 no router can be reached.

    Args:
        json: Print it as JSON.
        access: Where the routers are.
    """

    async def _run() -> int:
        async with reach(access=access) as client:
            print_document(document=await client.status(), json=json)
        return ExitCode.OK

    return anyio.run(_run)
