"""A fleet of routers with an in-memory network and a simulated clock."""

from __future__ import annotations

import random
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from dotterelpaddle.address import Address
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.peers.exchange import REPORT_INTERVAL_SECONDS
from dotterelpaddle.peers.messages import decode_report
from dotterelpaddle.tests.owners.hosts import build_router

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.plan import ReportPlan
    from dotterelpaddle.peers.report import PeerInfo
    from dotterelpaddle.peers.summary import PeerSummary
    from dotterelpaddle.retries.budget import RetryBudget

CONTROL = Address(host="10.9.9.9", port=9)


@dataclass(kw_only=True)
class Node:
    """One router of the fleet, with its state."""

    info: PeerInfo
    directory: PeerDirectory
    totals: TotalsTracker
    loads: LoadTracker
    retry_budget: RetryBudget
    caches: CacheMap
    plan: ReportPlan
    peer_summary: PeerSummary
    exchange: Any
    sent: int = 0

    def load(self, endpoint: str) -> int:
        """Requests in flight at an endpoint, as counted by this router."""
        return self.loads.loads()[EndpointId(endpoint)]


@dataclass(kw_only=True)
class Fleet:
    """All routers and the network between them.

    Attributes:
        loss: Fraction of the datagrams that the network drops.
        now: Simulated time, s.
        down: Addresses that neither send nor receive.
        isolated: Failure domains that the network cuts off from the others.
        in_flight: Datagrams with their sender and recipient address.
        held_requests: Keeps requests in flight.
        rng: Source of loss and jitter.
    """

    loss: float = 0.0
    now: float = 100.0
    nodes: list[Node] = field(default_factory=list)
    down: set[Address] = field(default_factory=set)
    isolated: set[FailureDomain] = field(default_factory=set)
    in_flight: deque[tuple[Node, bytes, Address]] = field(default_factory=deque)
    held_requests: ExitStack = field(default_factory=ExitStack)
    rng: random.Random = field(default_factory=lambda: random.Random(5))

    def clock(self) -> float:
        return self.now

    def add(self, number: int, *, domain: str, link: int = 10) -> Node:
        """Add a router to the fleet."""
        address = Address(host=f"10.0.0.{number}", port=1)
        components = build_router(
            router=RouterId(f"router-{number}"),
            failure_domain=FailureDomain(domain),
            address=address,
            link=link,
            clock=self.clock,
        )
        state, exchange = components.state, components.exchange
        exchange._generator = self.rng
        node = Node(
            info=state.directory.own,
            directory=state.directory,
            totals=state.totals,
            loads=state.loads,
            retry_budget=state.retry_budget,
            caches=state.caches,
            plan=exchange._plan,
            peer_summary=components.fetcher._peer_summary,
            exchange=exchange,
        )
        self.nodes.append(node)
        return node

    async def run(self, seconds: float) -> None:
        """Run rounds of reports of all routers for a simulated time, s."""
        until = self.now + seconds
        while self.now < until:
            self.now += REPORT_INTERVAL_SECONDS
            for node in self.nodes:
                if node.info.address not in self.down:
                    await node.exchange._send_reports(self._socket(node), CONTROL)
                while self.in_flight:
                    await self._deliver(*self.in_flight.popleft())

    def _socket(self, node: Node) -> Any:
        async def send(datagram: bytes, target: Address) -> None:
            node.sent += 1
            self.in_flight.append((node, datagram, target))

        return SimpleNamespace(send=send)

    async def _deliver(self, sender: Node, datagram: bytes, to: Address) -> None:
        target = next((node for node in self.nodes if node.info.address == to), None)
        if target is None or to in self.down or self.rng.random() < self.loss:
            return
        domains = {sender.info.failure_domain, target.info.failure_domain}
        if len(domains) == 2 and domains & self.isolated:
            return
        report = decode_report(datagram=datagram)
        exchange = target.exchange
        if exchange._apply_report(report=report, address=sender.info.address):
            await exchange._send_answer(
                self._socket(target), CONTROL, sender.info.address
            )
