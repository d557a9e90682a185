"""Endpoints to which no connection can be made, and when that is over.

A connection that can't be made costs a request the time until that is known, so
once one request has found out, a connection is tried in the background and the
endpoint is passed over until one stands. A connection that got no answer at all
puts the whole failure domain in doubt: one that is cut off takes all of its
endpoints with it.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain
    from dotterelpaddle.network import LinkedBackend

log = get_logger(name=__name__)

PROBE_TIMEOUT_SECONDS = 0.15
"""Seconds in which a connection must stand; the farthest endpoint answers within
some 5 ms, and a lost packet is sent again after a second only."""

RETRY_PROBE_TIMEOUT_SECONDS = 0.5
"""The same after a first try in vain: a busy host may need longer. One that does not
answer in that time either is out of reach beyond doubt."""

PROBE_INTERVAL_SECONDS = 0.4
"""Seconds between two tries of a connection to one endpoint."""


class ConnectionOutcome(Enum):
    """What became of a try to connect to an endpoint."""

    ESTABLISHED = "stands"
    REFUSED = "refused"
    TIMED_OUT = "silent"


class Reachability:
    """Which endpoints can't be reached.

    Args:
        view: The endpoints in force.
        backend: Opens connections.
        failure_domain: Where this router is.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        view: FleetView,
        backend: LinkedBackend,
        failure_domain: FailureDomain,
        clock: Clock,
    ) -> None:
        self._view = view
        self._backend = backend
        self._failure_domain = failure_domain
        self._clock = clock
        self._suspects: dict[EndpointId, EndpointEntry] = {}
        self._out_of_reach: set[EndpointId] = set()
        self._news = anyio.Event()

    def reachable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that are not passed over."""
        return [entry for entry in entries if entry.endpoint not in self._suspects]

    def possibly_reachable(
        self, *, entries: Iterable[EndpointEntry]
    ) -> list[EndpointEntry]:
        """Return the endpoints that are not out of reach beyond doubt."""
        return [entry for entry in entries if entry.endpoint not in self._out_of_reach]

    def suspect(self, *, entry: EndpointEntry, timed_out: bool) -> None:
        """Note that no connection could be made.

        Args:
            entry: The endpoint.
            timed_out: Whether there was no answer at all, rather than a refusal.
        """
        suspects = [entry]
        if timed_out and entry.failure_domain != self._failure_domain:
            suspects += self._entries_in(failure_domain=entry.failure_domain)
        self._add(suspects=suspects, because_of=entry.endpoint, silent=timed_out)

    def suspect_domain(self, *, failure_domain: FailureDomain) -> None:
        """Pass over the endpoints of a failure domain until a connection stands."""
        self._add(
            suspects=self._entries_in(failure_domain=failure_domain),
            because_of="its routers",
            silent=True,
        )

    async def run(self) -> None:
        """Try connections to suspects until cancelled."""
        probed: set[EndpointId] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                await self._news.wait()
                self._news = anyio.Event()
                for endpoint in self._suspects.keys() - probed:
                    probed.add(endpoint)
                    tasks.start_soon(self._probe, endpoint, probed)

    def _entries_in(self, *, failure_domain: FailureDomain) -> list[EndpointEntry]:
        entries = self._view.routed_entries
        return [entry for entry in entries if entry.failure_domain == failure_domain]

    def _add(
        self, *, suspects: Iterable[EndpointEntry], because_of: str, silent: bool
    ) -> None:
        for entry in suspects:
            if entry.endpoint not in self._suspects:
                self._suspects[entry.endpoint] = entry
                log.warning(
                    "endpoint_suspected",
                    endpoint=entry.endpoint,
                    failure_domain=entry.failure_domain,
                    because_of=because_of,
                    silent=silent,
                )
        self._news.set()

    async def _probe(self, endpoint: EndpointId, probed: set[EndpointId]) -> None:
        began_at = self._clock()
        entry = self._suspects[endpoint]
        seconds = PROBE_TIMEOUT_SECONDS
        while not await self._connects(entry=entry, seconds=seconds):
            if seconds == RETRY_PROBE_TIMEOUT_SECONDS:
                self._out_of_reach.add(endpoint)
            seconds = RETRY_PROBE_TIMEOUT_SECONDS
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
            if all(each.endpoint != endpoint for each in self._view.entries):
                break
        del self._suspects[endpoint]
        self._out_of_reach.discard(endpoint)
        probed.discard(endpoint)
        log.info(
            "endpoint_suspicion_ended",
            endpoint=endpoint,
            seconds=round(self._clock() - began_at, 3),
        )

    async def _connects(self, *, entry: EndpointEntry, seconds: float) -> bool:
        tried = await probe_connection(
            backend=self._backend, address=entry.address, timeout=seconds
        )
        return tried is ConnectionOutcome.ESTABLISHED


async def probe_connection(
    *, backend: LinkedBackend, address: Address, timeout: float
) -> ConnectionOutcome:
    """Open a connection to an endpoint, and close it again.

    Args:
        backend: Opens connections.
        address: Where the endpoint listens.
        timeout: Time in which it must stand.
    """
    try:
        stream = await backend.connect_tcp(address.host, address.port, timeout)
    except httpcore.ConnectError:
        return ConnectionOutcome.REFUSED
    except httpcore.ConnectTimeout:
        return ConnectionOutcome.TIMED_OUT
    await stream.aclose()
    return ConnectionOutcome.ESTABLISHED
