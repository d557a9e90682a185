"""Simulates a large fleet with owners and load, in memory and in virtual time.

The routers run production code, from reports and owners to the choice of an endpoint.
The module simulates hosts, network, endpoints and callers.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from typing import TYPE_CHECKING, Any

import anyio

from dotterelpaddle.exceptions import NoEndpoint
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import (
    EndpointState,
)
from dotterelpaddle.ids import (
    EndpointId,
    ModelId,
)
from dotterelpaddle.placement.rendezvous import digest
from dotterelpaddle.tests.forwarding.entries import make_entry, make_request
from dotterelpaddle.tests.owners.arrivals import (
    BOUND_ALLOWANCE,
    BOUND_MULTIPLE,
    Arrival,
)
from dotterelpaddle.tests.owners.hosts import (
    CROSS_DOMAIN_SECONDS,
    DOMAINS,
    FAST_LINK_MBITS,
    IN_DOMAIN_SECONDS,
    LINK_MBITS,
    HostDatagrams,
    Router,
    build_router,
)
from dotterelpaddle.tests.owners.load import (
    ANSWER_SECONDS,
    CLIENTS,
    CONFIGURATION,
    DRAIN_SECONDS,
    FETCH_TOKENS_PER_SECOND,
    READ_TOKENS_PER_SECOND,
    REQUESTS_PER_SECOND,
    RESTART_SECONDS,
    SERVICE,
    SLOTS,
    SLOWDOWN_PER_REQUEST,
    SUBJECT_TOKENS,
    SUBJECTS,
    SYSTEM_TOKENS,
    UPDATE_DELAY_SECONDS,
    ZIPF,
    Endpoint,
)
from dotterelpaddle.tests.revisions import revision_at

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from anyio.abc import TaskGroup

    from dotterelpaddle.address import Address
    from dotterelpaddle.forwarding.choice import Choice
    from dotterelpaddle.forwarding.components import Components
    from dotterelpaddle.forwarding.interface import ForwardRequest
    from dotterelpaddle.forwarding.settings import ColdBounds
    from dotterelpaddle.ids import FailureDomain


class SimulatedFleet:
    """Routers, endpoints and callers.

    Args:
        routers: Number of routers.
        endpoints: Number of endpoints.
        seed: Seed of the random generator.
        leave_time: Seconds for which a stopping router keeps serving.
        without_owners: Whether routers never know an owner.
        cold_bounds: Bounds on the rate of cold endpoints, None for no bound.
    """

    def __init__(
        self,
        *,
        routers: int = 88,
        endpoints: int = 30,
        seed: int = 1,
        leave_time: float = 2.6,
        without_owners: bool = False,
        cold_bounds: ColdBounds | None = None,
    ) -> None:
        self.generator = random.Random(seed)
        self._without_owners = without_owners
        self._leave_time = leave_time
        self._cold_bounds = cold_bounds
        self._cut_off: set[Router] = set()
        self.revision = 0
        self.routers = [
            Router(
                number=number,
                domain=DOMAINS[number % len(DOMAINS)],
                link=FAST_LINK_MBITS if number < 2 * len(DOMAINS) else LINK_MBITS,
            )
            for number in range(routers)
        ]
        self._by_address = {router.address: router for router in self.routers}
        self.endpoints: dict[EndpointId, Endpoint] = {}
        self._numbers = itertools.count()
        for number in range(endpoints):
            self._new_endpoint(domain=DOMAINS[number % len(DOMAINS)])
        self.first_endpoints = frozenset(self.endpoints)
        self.arrivals: list[Arrival] = []
        weights = [(rank + 1) ** -ZIPF for rank in range(SUBJECTS)]
        self._weights = list(itertools.accumulate(weights))
        self._client_routers = [
            self._preferred_routers(client=client) for client in range(CLIENTS)
        ]
        self.tasks: TaskGroup

    # Operator actions.

    async def start_routers(self) -> None:
        """Start all routers at once, and wait until they know each other."""
        for router in self.routers:
            self.tasks.start_soon(self.run_host, router)
        await anyio.sleep(6.0)

    async def replace_endpoints(self, *, count: int, pause: float) -> None:
        """Repeatedly drain one endpoint and start another one."""
        for _ in range(count):
            leaving = self.generator.choice(
                [
                    each
                    for each in self.endpoints.values()
                    if each.entry.state is EndpointState.READY
                ]
            )
            self.tasks.start_soon(self._drain, leaving)
            await anyio.sleep(pause / 3)
            started = self._new_endpoint(domain=leaving.entry.failure_domain)
            self._announce(entries=(started.entry,))
            await anyio.sleep(2 * pause / 3)

    async def restart_routers(self, *, routers: Sequence[Router], pause: float) -> None:
        """Stop some routers in turn; each one starts again after it exits."""
        for router in routers:
            router.stopping_since = anyio.current_time()
            router.stopping.set()
            await anyio.sleep(self.generator.uniform(0.2, 1.8) * pause)

    def cut_off(self, *, routers: Sequence[Router]) -> None:
        """Cut some routers off from all others."""
        self._cut_off.update(routers)

    async def add_endpoints(self, *, count: int, cold_left: float = 0.0) -> None:
        """Start more endpoints at intervals of a tenth of a second."""
        for number in range(count):
            added = self._new_endpoint(
                domain=DOMAINS[number % len(DOMAINS)], cold_left=cold_left
            )
            self._announce(entries=(added.entry,))
            await anyio.sleep(0.1)

    def remove_endpoints(self, *, names: Collection[EndpointId]) -> None:
        """Remove endpoints without notice."""
        self.revision += 1
        removed = {}
        for name in names:
            entry = self.endpoints.pop(name).entry
            removed[entry.name] = revision_at(self.revision)
        self._announce(removed=removed)

    def owners(self) -> dict[FailureDomain, Router]:
        """Return the owners that the first running router knows."""
        parts = next(each.parts for each in self.routers if each.parts is not None)
        return {
            domain: self._by_address[name.address]
            for domain, name in parts.state.directory.owners().items()
        }

    # Callers.

    async def send_requests(self, *, seconds: float) -> None:
        """Send requests at random intervals."""
        until = anyio.current_time() + seconds
        while anyio.current_time() < until:
            await anyio.sleep(self.generator.expovariate(REQUESTS_PER_SECOND))
            client = self.generator.randrange(CLIENTS)
            router = next(
                (each for each in self._client_routers[client] if each.takes_callers),
                None,
            )
            if router is not None:
                self.tasks.start_soon(self._request, router)

    async def _request(self, router: Router) -> None:
        parts = router.parts
        assert parts is not None
        router.in_flight += 1
        try:
            try:
                choice = await parts.placer.choose(
                    service=SERVICE,
                    request=self._prompt(),
                    retryable=False,
                    excluded=frozenset(),
                )
            except NoEndpoint:
                return
            endpoint = choice.entry.endpoint
            with parts.state.loads.track(
                endpoint=endpoint, work_tokens=choice.work_tokens
            ):
                await anyio.sleep(self._latency(router, choice.entry.failure_domain))
                await self._serve(endpoint=endpoint, choice=choice)
                await anyio.sleep(self._latency(router, choice.entry.failure_domain))
        finally:
            router.in_flight -= 1

    def _preferred_routers(self, *, client: int) -> list[Router]:
        """Return a client's routers by preference; it uses the first available one."""
        return sorted(
            self.routers, key=lambda router: digest(text=f"{client}/{router.name}")
        )

    def _prompt(self) -> ForwardRequest:
        rank_weight = self.generator.random() * self._weights[-1]
        subject = bisect.bisect(self._weights, rank_weight)
        return make_request(
            ("system", SYSTEM_TOKENS), (f"subject-{subject}", SUBJECT_TOKENS)
        )

    async def _serve(self, *, endpoint: EndpointId, choice: Choice) -> None:
        target = self.endpoints.get(endpoint)
        if target is None:
            return
        loads = [each.load for each in self.endpoints.values()]
        mean = sum(loads) / len(loads)
        self.arrivals.append(
            Arrival(
                arrived_at=anyio.current_time(),
                endpoint=endpoint,
                over_bound=target.load > BOUND_MULTIPLE * mean + BOUND_ALLOWANCE,
                load=target.load,
                mean=mean,
                choice=choice,
            )
        )
        speed = (
            READ_TOKENS_PER_SECOND
            if choice.fetch_from is None
            else FETCH_TOKENS_PER_SECOND
        )
        read_seconds = choice.missing_tokens / speed
        busy, queued = min(target.load, SLOTS), max(0, target.load + 1 - SLOTS)
        answer = (
            ANSWER_SECONDS
            * (1 + SLOWDOWN_PER_REQUEST * busy)
            * self.generator.uniform(0.5, 1.5)
        )
        target.load += 1
        await anyio.sleep(read_seconds + answer + queued * ANSWER_SECONDS / SLOTS)
        target.load -= 1

    # Hosts and network.

    def _send_datagram(self, datagram: bytes, sender: Router, target: Address) -> None:
        router = self._by_address.get(target)
        if router is not None and not self._cut_off & {sender, router}:
            self.tasks.start_soon(self._deliver, datagram, sender, router)

    async def _deliver(self, datagram: bytes, sender: Router, target: Router) -> None:
        await anyio.sleep(self._latency(sender, target.domain))
        if target.datagrams is not None:
            await target.datagrams.deliver(datagram=datagram, sender=sender.address)

    def _latency(self, router: Router, domain: FailureDomain) -> float:
        min_seconds = (
            IN_DOMAIN_SECONDS if router.domain == domain else CROSS_DOMAIN_SECONDS
        )
        return min_seconds * self.generator.uniform(1.0, 1.5)

    async def run_host(self, router: Router) -> None:
        """Run the successive processes of a router."""
        while True:
            parts = build_router(
                router=router.name,
                failure_domain=router.domain,
                address=router.address,
                link=router.link,
                clock=anyio.current_time,
                leave_time=self._leave_time,
                cold_bounds=self._cold_bounds,
            )
            parts.state.view.apply_configuration(configuration=CONFIGURATION)
            datagrams: Any = HostDatagrams(router=router, send=self._send_datagram)
            router.parts, router.datagrams = parts, datagrams
            if self._without_owners:
                parts.state.directory.owners = dict  # type: ignore[method-assign]
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(parts.exchange.run, datagrams, router.address)
                tasks.start_soon(parts.owners.run, datagrams)
                await anyio.sleep(0.05)
                self._deliver_snapshot(parts)
                await router.stopping.wait()
                parts.start_draining(seconds=math.inf)
                await anyio.sleep(self._leave_time)
                while router.in_flight:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            router.parts, router.datagrams = None, None
            router.stopping, router.stopping_since = anyio.Event(), float("inf")
            await anyio.sleep(RESTART_SECONDS)

    # Endpoints.

    def _new_endpoint(
        self, *, domain: FailureDomain, cold_left: float = 0.0
    ) -> Endpoint:
        self.revision += 1
        endpoint = Endpoint(
            entry=make_entry(
                f"engine-{next(self._numbers)}",
                service=SERVICE,
                slots=SLOTS,
                failure_domain=domain,
                models=frozenset({ModelId("m")}),
                cold_left=cold_left,
                revision=revision_at(self.revision),
            )
        )
        self.endpoints[endpoint.name] = endpoint
        return endpoint

    async def _drain(self, endpoint: Endpoint) -> None:
        self.revision += 1
        entry = make_entry(
            endpoint.name,
            service=SERVICE,
            slots=SLOTS,
            failure_domain=endpoint.entry.failure_domain,
            models=endpoint.entry.models,
            state=EndpointState.DRAINING,
            revision=revision_at(self.revision),
        )
        endpoint.entry = entry
        self._announce(entries=(entry,))
        await anyio.sleep(DRAIN_SECONDS)
        while endpoint.load:
            await anyio.sleep(0.01)
        del self.endpoints[endpoint.name]
        self.revision += 1
        self._announce(removed={entry.name: revision_at(self.revision)})

    def _announce(self, **fields: Any) -> None:
        read = EndpointsUpdate(
            **{
                "revision": revision_at(self.revision),
                "entries": (),
                "is_snapshot": False,
                **fields,
            }
        )
        for router in self.routers:
            self.tasks.start_soon(self._deliver_update, router, read)

    async def _deliver_update(self, router: Router, read: EndpointsUpdate) -> None:
        parts = router.parts
        await anyio.sleep(self.generator.uniform(*UPDATE_DELAY_SECONDS))
        if parts is not None:
            parts.state.view.apply_endpoints_update(update=read)

    def _deliver_snapshot(self, parts: Components) -> None:
        parts.state.view.apply_endpoints_update(
            update=EndpointsUpdate(
                revision=revision_at(self.revision),
                entries=tuple(each.entry for each in self.endpoints.values()),
                is_snapshot=True,
            )
        )
