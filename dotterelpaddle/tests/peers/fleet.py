"""Routers that exchange reports over a network in memory, by a clock of the test."""

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
from dotterelpaddle.peers.messages import PeerInfo, decode_report
from dotterelpaddle.tests.owners.hosts import build_router

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.loads import LoadTracker
    from dotterelpaddle.forwarding.request_totals import TotalsTracker
    from dotterelpaddle.forwarding.retry_budget import RetryBudget
    from dotterelpaddle.peers.directory import PeerDirectory
    from dotterelpaddle.peers.plan import ReportPlan
    from dotterelpaddle.peers.summary import PeerSummary

CONTROL = Address(host="10.9.9.9", port=9)


@dataclass(kw_only=True)
class Node:
    """One router."""

    name: PeerInfo
    directory: PeerDirectory
    shares: TotalsTracker
    loads: LoadTracker
    repeats: RetryBudget
    caches: CacheMap
    plan: ReportPlan
    word: PeerSummary
    exchange: Any
    sent: int = 0

    def load(self, endpoint: str) -> int:
        """Requests in flight at an endpoint, as far as this router knows."""
        return self.loads.loads()[EndpointId(endpoint)]


@dataclass(kw_only=True)
class Fleet:
    """All routers and the network between them.

    Attributes:
        loss: Share of the datagrams that are lost.
        down: Addresses that neither send nor receive.
        cut: Failure domains that no other one hears.
        held: Requests in flight.
    """

    loss: float = 0.0
    now: float = 100.0
    nodes: list[Node] = field(default_factory=list)
    down: set[Address] = field(default_factory=set)
    cut: set[FailureDomain] = field(default_factory=set)
    flying: deque[tuple[Node, bytes, Address]] = field(default_factory=deque)
    held: ExitStack = field(default_factory=ExitStack)
    dice: random.Random = field(default_factory=lambda: random.Random(5))

    def clock(self) -> float:
        return self.now

    def add(self, number: int, *, domain: str, link: int = 10) -> Node:
        """Start a router that knows the first three as seeds."""
        address = Address(host=f"10.0.0.{number}", port=1)
        parts = build_router(
            router=RouterId(f"router-{number}"),
            failure_domain=FailureDomain(domain),
            address=address,
            link=link,
            clock=self.clock,
        )
        knowledge, exchange = parts.state, parts.exchange
        exchange._generator = self.dice
        node = Node(
            name=knowledge.directory.own,
            directory=knowledge.directory,
            shares=knowledge.totals,
            loads=knowledge.loads,
            repeats=knowledge.retry_budget,
            caches=knowledge.caches,
            plan=exchange._plan,
            word=exchange._peer_summary,
            exchange=exchange,
        )
        self.nodes.append(node)
        return node

    async def run(self, seconds: float) -> None:
        """Let all report, again and again."""
        until = self.now + seconds
        while self.now < until:
            self.now += REPORT_INTERVAL_SECONDS
            for node in self.nodes:
                if node.name.address not in self.down:
                    await node.exchange._report_to_all(self._socket(node), CONTROL)
                while self.flying:
                    await self._deliver(*self.flying.popleft())

    def _socket(self, node: Node) -> Any:
        async def send(datagram: bytes, target: Address) -> None:
            node.sent += 1
            self.flying.append((node, datagram, target))

        return SimpleNamespace(send=send)

    async def _deliver(self, sender: Node, datagram: bytes, to: Address) -> None:
        target = next((n for n in self.nodes if n.name.address == to), None)
        if target is None or to in self.down or self.dice.random() < self.loss:
            return
        domains = {sender.name.failure_domain, target.name.failure_domain}
        if len(domains) == 2 and domains & self.cut:
            return
        report = decode_report(datagram=datagram)
        exchange = target.exchange
        if exchange._hear(report=report, address=sender.name.address):
            await exchange._answer(self._socket(target), CONTROL, sender.name.address)
