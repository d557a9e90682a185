"""Endpoints to which no connection can be made, and probes of their recovery.

A failed connection costs a request the time until the failure is known. So once one
request has failed, the router probes the endpoint in the background and sends it no
requests until a connection succeeds. A connection that timed out makes the whole
failure domain suspect, unless it is the router's own: a partition cuts off all
endpoints of a domain at once. Connections that fail at one endpoint after the other
make all endpoints suspect: the router may be cut off itself.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import anyio
import httpcore

from dotterelpaddle.forwarding.service_groups import group_by_service
from dotterelpaddle.logs import get_logger
from dotterelpaddle.transport import NoLocalResources

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.view import FleetView
    from dotterelpaddle.ids import EndpointId, FailureDomain
    from dotterelpaddle.network import LinkedBackend, StreamBackend

log = get_logger(name=__name__)

PROBE_TIMEOUT_SECONDS = 0.15
"""Timeout of the first probe; the farthest endpoint answers within some 5 ms, and TCP
resends a lost packet only after a second."""

RETRY_PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of later probes: a busy host may need longer. An endpoint that does not
answer within this time either is certainly unreachable."""

PROBE_INTERVAL_SECONDS = 0.4
"""Seconds between two probes of one endpoint."""

MIN_FAILED_IN_A_ROW = 3
"""Endpoints in a row to which no connection can be made that make all suspect. Probes
end the suspicion within milliseconds if only these are down."""


class ConnectionOutcome(Enum):
    """Outcome of an attempt to connect to an endpoint."""

    ESTABLISHED = "stands"
    REFUSED = "refused"
    TIMED_OUT = "silent"


class Reachability:
    """Tracks which endpoints are unreachable.

    Args:
        view: The endpoints in force.
        backend: Opens connections.
        failure_domain: Failure domain of this router.
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
        self._unreachable: set[EndpointId] = set()
        self._failed_in_a_row: set[EndpointId] = set()
        self._suspects_added = anyio.Event()

    @property
    def endpoints_lost(self) -> bool:
        """Whether this router reaches none of the endpoints to which routes lead."""
        entries = self._view.routed_entries
        return bool(entries) and not self.reachable(entries=entries)

    @property
    def service_lost(self) -> bool:
        """Whether this router reaches no endpoint of a service to which routes lead."""
        if not self._suspects:
            return False
        by_service = group_by_service(entries=self._view.routed_entries)
        return any(
            not self.reachable(entries=entries) for entries in by_service.values()
        )

    def is_suspect(self, *, endpoint: EndpointId) -> bool:
        """Return whether the last connection to an endpoint failed."""
        return endpoint in self._suspects

    def reachable(self, *, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Return the endpoints that are not suspect."""
        return [entry for entry in entries if entry.endpoint not in self._suspects]

    def possibly_reachable(
        self, *, entries: Iterable[EndpointEntry]
    ) -> list[EndpointEntry]:
        """Return the endpoints that are not certainly unreachable."""
        return [entry for entry in entries if entry.endpoint not in self._unreachable]

    def suspect(self, *, entry: EndpointEntry, timed_out: bool) -> None:
        """Record that a connection to an endpoint failed.

        Args:
            entry: The endpoint.
            timed_out: Whether there was no answer at all, rather than a refusal.
        """
        suspects = [entry]
        if timed_out and entry.failure_domain != self._failure_domain:
            suspects += self._entries_in(failure_domain=entry.failure_domain)
        self._add_suspects(
            suspects=suspects, because_of=entry.endpoint, timed_out=timed_out
        )
        self._failed_in_a_row.add(entry.endpoint)
        if len(self._failed_in_a_row) >= MIN_FAILED_IN_A_ROW:
            self._add_suspects(
                suspects=self._view.routed_entries,
                because_of="connections that fail in a row",
                timed_out=timed_out,
            )

    def record_connected(self) -> None:
        """Record that this router itself has connected to an endpoint."""
        self._failed_in_a_row.clear()

    def suspect_domain(self, *, failure_domain: FailureDomain) -> None:
        """Suspect the endpoints of a failure domain until a probe of each succeeds."""
        self._add_suspects(
            suspects=self._entries_in(failure_domain=failure_domain),
            because_of="its routers",
            timed_out=True,
        )

    async def run(self) -> None:
        """Probe suspects until cancelled."""
        probed: set[EndpointId] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                self._suspects_added = anyio.Event()
                for endpoint in self._suspects.keys() - probed:
                    probed.add(endpoint)
                    tasks.start_soon(self._probe, endpoint, probed)
                await self._suspects_added.wait()

    def _entries_in(self, *, failure_domain: FailureDomain) -> list[EndpointEntry]:
        entries = self._view.routed_entries
        return [entry for entry in entries if entry.failure_domain == failure_domain]

    def _add_suspects(
        self, *, suspects: Iterable[EndpointEntry], because_of: str, timed_out: bool
    ) -> None:
        for entry in suspects:
            if entry.endpoint not in self._suspects:
                self._suspects[entry.endpoint] = entry
                log.warning(
                    "endpoint_suspected",
                    endpoint=entry.endpoint,
                    failure_domain=entry.failure_domain,
                    because_of=because_of,
                    silent=timed_out,
                )
        self._suspects_added.set()

    async def _probe(self, endpoint: EndpointId, probed: set[EndpointId]) -> None:
        started_at = self._clock()
        entry = self._suspects[endpoint]
        timeout = PROBE_TIMEOUT_SECONDS
        while not await self._can_connect(entry=entry, timeout=timeout):
            if timeout == RETRY_PROBE_TIMEOUT_SECONDS:
                self._unreachable.add(endpoint)
            timeout = RETRY_PROBE_TIMEOUT_SECONDS
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
            if all(each.endpoint != endpoint for each in self._view.entries):
                break
        else:
            self.record_connected()
        del self._suspects[endpoint]
        self._unreachable.discard(endpoint)
        probed.discard(endpoint)
        log.info(
            "endpoint_suspicion_ended",
            endpoint=endpoint,
            seconds=round(self._clock() - started_at, 3),
        )

    async def _can_connect(self, *, entry: EndpointEntry, timeout: float) -> bool:
        outcome = await probe_connection(
            backend=self._backend, address=entry.address, timeout=timeout
        )
        return outcome is ConnectionOutcome.ESTABLISHED


async def probe_connection(
    *, backend: StreamBackend, address: Address, timeout: float
) -> ConnectionOutcome:
    """Open a connection to an endpoint and close it again.

    Args:
        backend: Opens connections.
        address: Address of the endpoint.
        timeout: Seconds within which the connection must be established.
    """
    try:
        stream = await backend.connect_tcp(address.host, address.port, timeout)
    except (NoLocalResources, httpcore.ConnectTimeout):
        return ConnectionOutcome.TIMED_OUT
    except httpcore.ConnectError:
        return ConnectionOutcome.REFUSED
    await stream.aclose()
    return ConnectionOutcome.ESTABLISHED
