"""Routers that exchange reports over a network in memory, by a clock of the test."""

from __future__ import annotations

import random
from collections import deque
from contextlib import ExitStack
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.caches import CacheMap
from dotterelpaddle.forwarding.loads import LoadBook
from dotterelpaddle.forwarding.repeats import RepeatLimits, SharedRepeats
from dotterelpaddle.forwarding.shares import ShareBook
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.exchange import REPORT_PAUSE, PeerExchange
from dotterelpaddle.peers.messages import PeerName, decode_report
from dotterelpaddle.peers.plan import ReportPlan
from dotterelpaddle.peers.word import PeersWord

CONTROL = Address(host="10.9.9.9", port=9)
NEVER = float("inf")


@dataclass(kw_only=True)
class Node:
    """One router."""

    name: PeerName
    directory: PeerDirectory
    shares: ShareBook
    loads: LoadBook
    repeats: SharedRepeats
    caches: CacheMap
    plan: ReportPlan
    word: PeersWord
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
        own = PeerName(
            router=RouterId(f"router-{number}"),
            failure_domain=FailureDomain(domain),
            address=Address(host=f"10.0.0.{number}", port=1),
            link=link,
        )
        seeds = tuple(Address(host=f"10.0.0.{seed}", port=1) for seed in range(3))
        directory = PeerDirectory(own=own, seeds=seeds, clock=self.clock)
        shares = ShareBook(failure_domain=own.failure_domain, clock=self.clock)
        loads = LoadBook(shares=shares)
        repeats = SharedRepeats(
            limits=RepeatLimits(share=0.2, allowance=50, window=10),
            shares=shares,
            routers=lambda: directory.count,
            clock=self.clock,
        )
        caches = CacheMap(clock=self.clock)
        view = FleetView(clock=self.clock)
        plan = ReportPlan(directory=directory, shares=shares)
        word = PeersWord(
            view=view, directory=directory, shares=shares, clock=self.clock
        )
        follower = SimpleNamespace(configuration_age=NEVER, endpoints_age=NEVER)
        exchange = PeerExchange(
            view=view,
            loads=loads,
            repeats=repeats,
            shares=shares,
            caches=caches,
            directory=directory,
            plan=plan,
            word=word,
            follower=follower,  # type: ignore[arg-type]
            owners=None,  # type: ignore[arg-type]
            links=Links(),
            generator=self.dice,
        )
        node = Node(
            name=own,
            directory=directory,
            shares=shares,
            loads=loads,
            repeats=repeats,
            caches=caches,
            plan=plan,
            word=word,
            exchange=exchange,
        )
        self.nodes.append(node)
        return node

    async def run(self, seconds: float) -> None:
        """Let all report, again and again."""
        until = self.now + seconds
        while self.now < until:
            self.now += REPORT_PAUSE
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
