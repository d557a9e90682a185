"""In-memory hosts that run real routers and exchange datagrams.

The routers run production code, from reports and owners to the choice of an endpoint.
The module simulates sockets and the time that a host spends on a datagram.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.components import Components, build_components
from dotterelpaddle.forwarding.dependencies import Dependencies
from dotterelpaddle.forwarding.settings import (
    AdmissionSettings,
    ColdBounds,
    ForwardSettings,
)
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.retries.budget import RetryLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock

DOMAINS = tuple(FailureDomain(name) for name in ("a", "b", "c"))
SEEDS = 3
LINK_MBITS, FAST_LINK_MBITS = 10, 200
"""Link bandwidths; the first two routers of each failure domain have the fast one."""

CROSS_DOMAIN_SECONDS, IN_DOMAIN_SECONDS = 0.0014, 0.0002
"""Packet latency between two failure domains, and within one."""

DATAGRAM_PROCESSING_SECONDS = 0.0006
"""Time that a host with half a core spends on a datagram."""

BALANCER_DELAY_SECONDS = 1.5
"""Time until the load balancer sends no callers to a stopping router."""

SEED_ADDRESSES = tuple(Address(host=f"10.0.0.{seed}", port=1) for seed in range(SEEDS))


class HostDatagrams:
    """Simulates the datagram socket of one process."""

    def __init__(
        self, *, router: Router, send: Callable[[bytes, Router, Address], None]
    ) -> None:
        self._send = send
        self._router = router
        self._incoming, self._received = anyio.create_memory_object_stream[
            tuple[bytes, Address]
        ](float("inf"))
        self._busy_until = 0.0

    @property
    def address(self) -> Address:
        return self._router.address

    async def receive(self) -> tuple[bytes, Address]:
        return await self._received.receive()

    async def send(self, datagram: bytes, target: Address) -> None:
        self._send(datagram, self._router, target)

    async def deliver(self, *, datagram: bytes, sender: Address) -> None:
        """Deliver a datagram after the host has processed the earlier ones."""
        now = anyio.current_time()
        processing_seconds = DATAGRAM_PROCESSING_SECONDS * self._router.slowdown
        self._busy_until = max(self._busy_until, now) + processing_seconds
        await anyio.sleep_until(self._busy_until)
        self._incoming.send_nowait((datagram, sender))


@dataclass(kw_only=True, eq=False)
class Router:
    """A host with a router, which may stop and start again.

    Attributes:
        slowdown: Factor on the time that its host spends on a datagram.
    """

    number: int
    domain: FailureDomain
    link: int
    parts: Components | None = None
    datagrams: HostDatagrams | None = None
    stopping: anyio.Event = field(default_factory=anyio.Event)
    stopping_since: float = float("inf")
    in_flight: int = 0
    slowdown: float = 1.0

    @property
    def name(self) -> RouterId:
        return RouterId(f"router-{self.number}")

    @property
    def address(self) -> Address:
        return Address(host=f"10.0.0.{self.number}", port=1)

    @property
    def takes_callers(self) -> bool:
        """Whether the load balancer sends callers to the router."""
        if self.parts is None or not self.parts.state.view.entries:
            return False
        return anyio.current_time() < self.stopping_since + BALANCER_DELAY_SECONDS


def build_router(
    *,
    router: RouterId,
    failure_domain: FailureDomain,
    address: Address,
    link: int,
    clock: Clock,
    leave_time: float = 0.0,
    first_start: bool = False,
    cold_bounds: ColdBounds | None = None,
    admission: AdmissionSettings | None = None,
    protocols: Any = None,
    source: Any = None,
    stream_store: Any = None,
    crash_store: Any = None,
    documents: Any = None,
    links: Links | None = None,
) -> Components:
    """Build a router's components, without endpoints.

    Args:
        router: Name of the router.
        failure_domain: Its failure domain.
        address: Its address for datagrams; no socket is opened.
        link: Bandwidth of its host's link, Mbit/s.
        clock: Monotonic clock.
        leave_time: Seconds for which it keeps serving after a stop.
        first_start: Whether the whole fleet starts for the first time.
        cold_bounds: Bounds on the rate of cold endpoints, None for no bound.
        admission: Options of the queues for slots, None for no queues.
        protocols: Translates requests and answers, None without any.
        source: Store of configuration and endpoints, None without any.
        stream_store: Keeps records of streams, None for none.
        crash_store: Keeps what crashes endpoints, None for nothing.
        documents: Decodes the documents of the store, None without any.
        links: Links of its process, None for links without faults.
    """
    unused: Any = None
    return build_components(
        settings=ForwardSettings(
            router=router,
            failure_domain=failure_domain,
            callers=address,
            readiness=address,
            control=address,
            peers=address,
            seeds=SEED_ADDRESSES,
            store=address,
            shutdown_timeout=8.0,
            retry_limits=RetryLimits(share=0.2, allowance=50.0, window=10.0),
            link_mbps=link,
            drain_time=leave_time,
            first_start=first_start,
            cold_bounds=cold_bounds,
            admission=admission,
        ),
        dependencies=Dependencies(
            source=source,
            stream_store=stream_store,
            crash_store=crash_store,
            protocols=protocols,
            documents=documents,
            cache_reader=unused,
            links=Links() if links is None else links,
            clock=clock,
        ),
    )
