"""The graceful shutdown of a router.

The order matters: the balancer and the other routers hear of it first, then
new requests are refused, and only then does the process wait for its own.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.config.settings import ShutdownSettings
    from dotterelpaddle.entry.app import EntryApp
    from dotterelpaddle.membership.service import Membership

log = get_logger(name=__name__)

CHECK_INTERVAL = 0.02
"""Seconds between looks at the requests in flight."""


async def shut_down(
    *, entry: EntryApp, membership: Membership, settings: ShutdownSettings
) -> None:
    """Leave the fleet and let the requests in flight end.

    Args:
        entry: The application for callers.
        membership: The list of members to leave.
        settings: How long each part may take.
    """
    log.info("shutdown_started", in_flight=entry.in_flight)
    entry.announce_leaving()
    await membership.leave()
    await anyio.sleep(settings.leave_delay)
    entry.stop_accepting()
    with anyio.move_on_after(settings.grace):
        while entry.in_flight:
            await anyio.sleep(CHECK_INTERVAL)
    if entry.in_flight:
        log.warning("shutdown_cuts_requests", in_flight=entry.in_flight)
    log.info("shutdown_ended", in_flight=entry.in_flight)
