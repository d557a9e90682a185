"""Measure the membership: bytes, detection, news, and false suspicion.

Members run as tasks of this process and talk over loopback UDP, with the
default settings, spread over four failure domains. One JSON line is printed.
"""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.control.channel import open_channel
from dotterelpaddle.control.interface import MessageType, TrafficClass
from dotterelpaddle.exceptions import PlatformUnavailable
from dotterelpaddle.ids import EndpointId, FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.membership.service import Membership, run_membership
from dotterelpaddle.membership.view import (
    EndpointCondition,
    EndpointRumour,
    Member,
    MemberState,
)
from dotterelpaddle.metrics import Metrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from anyio.abc import TaskGroup, TaskStatus

    from dotterelpaddle.backing.interface import Host
    from dotterelpaddle.control.channel import DatagramChannel

SIZES = (10, 50, 200)
"""Numbers of members to measure."""

TARGET_SIZE = 2_400
"""Number of members to extrapolate to."""

DOMAINS = 4
"""Failure domains over which the members are spread."""

SEEDS = 3
"""Members that the others join through."""

QUIET_WINDOW = 3.0
"""Seconds of the count of bytes without loss or change."""

LOSS_WINDOW = 4.0
"""Seconds of the count of false suspicions under loss."""

LOSS = 0.05
"""Share of datagrams lost in that window."""

TRIALS = 2
"""Leaving hosts, and endpoint rumours, at each size."""

BYTES_PER_SECOND = 6_000.0
"""Byte budget of each member."""

KEY = b"membership bench key, 32 bytes.."

BYTES_TARGET = 1_000.0
"""Bytes a second and member to stay below at the largest size."""

SLOPE_TARGET = 0.5
"""Bytes a second and member that one member more may cost."""

LEAVING_TARGET = 3.0
"""Seconds until a leaving host is known everywhere."""

START_INTERVAL = 0.03
"""Seconds between starts of members, which share one core here."""

UNLIMITED = 1e9
"""Byte budget that never runs dry."""

CHANNEL_DATAGRAMS = 2_000
"""Datagrams sent to measure the channel itself."""

CHANNEL_MESSAGES = 16
"""Messages in the larger one of the datagrams that are measured."""

LIMIT = 60.0
"""Seconds to wait for anything."""

POLL = 0.01
"""Seconds between looks at the members' lists."""


@dataclass(frozen=True, kw_only=True)
class Sample:
    """A message that leaves in the event loop's next turn.

    Attributes:
        content: Its content.
    """

    content: bytes


SAMPLE = Sample(content=bytes(range(40)))
"""The message by which the channel is measured."""

SAMPLE_TYPE = MessageType(
    code=60_000,
    message=Sample,
    traffic=TrafficClass.PERMIT,
    encode=lambda sample: sample.content,
    decode=lambda body: Sample(content=body),
)


class NoHosts:
    """A platform that is down, so that only the members' own work counts."""

    async def hosts(self) -> tuple[Host, ...]:
        """Fail."""
        raise PlatformUnavailable("the platform is down in this bench")

    async def register(self, *, host: Host) -> None:
        """Fail."""
        raise PlatformUnavailable("the platform is down in this bench")

    async def deregister(self, *, router: RouterId) -> None:
        """Fail."""
        raise PlatformUnavailable("the platform is down in this bench")


@dataclass(kw_only=True)
class Node:
    """One member under measurement.

    Attributes:
        membership: Its membership.
        channel: Its channel.
        links: Its links.
        scope: Cancelling it kills the member.
    """

    membership: Membership
    channel: DatagramChannel
    links: Links
    scope: anyio.CancelScope

    @property
    def router(self) -> RouterId:
        """Its name."""
        return self.membership.own.router

    def state_of(self, *, router: RouterId) -> MemberState | None:
        """What it believes of another member."""
        found = self.membership.find(router=router)
        return None if found is None else found.state


@dataclass(kw_only=True)
class Figures:
    """What was measured at one size.

    Attributes:
        members: Number of members.
        joined: Seconds until all knew all.
        bytes_per_second: Mean bytes sent a second and member, quiet.
        most_bytes_per_second: The same of the busiest member.
        cpu: Share of a core that one member took, quiet.
        cpu_per_datagram: Microseconds to send and receive one datagram, all
            work of the members included, quiet.
        killed: Seconds until a killed member was dead everywhere, each trial.
        first_killed: Seconds until the first member knew.
        leaving: Seconds until a leaving member was known everywhere.
        endpoint: Seconds until an endpoint's rumour was known everywhere.
        cut: Seconds until all members of two failure domains that were cut off
            from each other knew it; measured at the smallest size only.
        healed: Seconds until they were back in all lists after it healed.
        news_bytes: Bytes a member that one leaving host cost.
        loss_bytes_per_second: Mean bytes a second and member under loss.
        loss_probes: Probes sent under loss.
        loss_endpoint: Seconds until an endpoint's rumour was known everywhere
            under loss.
        false_suspicions: Probes of live members that failed under loss.
        false_deaths: Live members that were declared dead under loss.
    """

    members: int
    joined: float = 0.0
    bytes_per_second: float = 0.0
    most_bytes_per_second: float = 0.0
    cpu: float = 0.0
    cpu_per_datagram: float = 0.0
    killed: list[float] = field(default_factory=list)
    first_killed: list[float] = field(default_factory=list)
    leaving: list[float] = field(default_factory=list)
    endpoint: list[float] = field(default_factory=list)
    cut: float = 0.0
    healed: float = 0.0
    news_bytes: float = 0.0
    loss_bytes_per_second: float = 0.0
    loss_probes: int = 0
    loss_endpoint: float = 0.0
    false_suspicions: int = 0
    false_deaths: int = 0


@dataclass(frozen=True, kw_only=True)
class Results:
    """All that was measured.

    Attributes:
        sizes: Figures of each size.
        single: Microseconds to send and receive a datagram of one message.
        packed: The same of a datagram of many messages.
    """

    sizes: list[Figures]
    single: float
    packed: float


async def _run_node(
    index: int, seeds: tuple[Address, ...], *, task_status: TaskStatus[Node]
) -> None:
    links = Links(seed=index)
    with anyio.CancelScope() as scope:
        async with (
            open_channel(
                address=Address(host="127.0.0.1", port=0),
                key=KEY,
                bytes_per_second=BYTES_PER_SECOND,
                links=links,
                metrics=Metrics(),
                clock=monotonic,
            ) as channel,
            run_membership(
                own=Member(
                    router=RouterId(f"router-{index:04}"),
                    address=channel.address,
                    failure_domain=FailureDomain(f"domain-{index % DOMAINS}"),
                    state=MemberState.ALIVE,
                ),
                channel=channel,
                hosts=NoHosts(),
                seeds=seeds,
                metrics=Metrics(),
                clock=monotonic,
            ) as membership,
        ):
            node = Node(
                membership=membership, channel=channel, links=links, scope=scope
            )
            task_status.started(node)
            await anyio.sleep_forever()


async def _start(*, tasks: TaskGroup, size: int) -> list[Node]:
    nodes: list[Node] = []
    for index in range(size):
        seeds = tuple(node.channel.address for node in nodes[:SEEDS])
        nodes.append(await tasks.start(_run_node, index, seeds))
        await anyio.sleep(START_INTERVAL)
    return nodes


@asynccontextmanager
async def _fleet(*, size: int) -> AsyncIterator[list[Node]]:
    async with anyio.create_task_group() as tasks:
        yield await _start(tasks=tasks, size=size)
        tasks.cancel_scope.cancel()


async def _until(*, condition: Callable[[], bool]) -> float:
    started = monotonic()
    with anyio.fail_after(LIMIT):
        while not condition():
            await anyio.sleep(POLL)
    return monotonic() - started


def _sent(*, node: Node) -> int:
    return node.channel.sent_bytes[TrafficClass.MEMBERSHIP]


def _datagrams(*, nodes: list[Node]) -> int:
    return sum(node.channel.traffic.datagrams_sent for node in nodes)


async def _measure_quiet(*, nodes: list[Node], figures: Figures) -> None:
    before = [_sent(node=node) for node in nodes]
    datagrams = _datagrams(nodes=nodes)
    cpu = time.process_time()
    await anyio.sleep(QUIET_WINDOW)
    cpu = time.process_time() - cpu
    datagrams = _datagrams(nodes=nodes) - datagrams
    rates = [
        (_sent(node=node) - sent) / QUIET_WINDOW
        for node, sent in zip(nodes, before, strict=True)
    ]
    figures.bytes_per_second = statistics.fmean(rates)
    figures.most_bytes_per_second = max(rates)
    figures.cpu = cpu / QUIET_WINDOW / len(nodes)
    figures.cpu_per_datagram = cpu / datagrams * 1e6


async def _measure_leaving(*, nodes: list[Node], figures: Figures) -> None:
    for _ in range(TRIALS):
        await _measure_one_leaving(nodes=nodes, figures=figures)


async def _measure_one_leaving(*, nodes: list[Node], figures: Figures) -> None:
    leaving = nodes.pop(SEEDS)
    before = sum(_sent(node=node) for node in nodes)
    started = monotonic()
    await leaving.membership.leave()
    await _until(
        condition=lambda: all(
            node.state_of(router=leaving.router) is MemberState.LEAVING
            for node in nodes
        )
    )
    figures.leaving.append(monotonic() - started)
    await anyio.sleep(1.0)
    elapsed = monotonic() - started
    sent = (sum(_sent(node=node) for node in nodes) - before) / len(nodes)
    cost = sent - figures.bytes_per_second * elapsed
    figures.news_bytes += max(0.0, cost) / TRIALS
    leaving.scope.cancel()


async def _measure_endpoint(*, nodes: list[Node], figures: Figures) -> None:
    for version in range(1, TRIALS + 1):
        figures.endpoint.append(await _spread(nodes=nodes, version=version))


async def _spread(*, nodes: list[Node], version: int) -> float:
    rumour = EndpointRumour(
        endpoint=EndpointId("engine-1"),
        state=EndpointCondition.LEAVING,
        version=version,
    )
    nodes[-version].membership.spread(rumour=rumour)
    return await _until(
        condition=lambda: all(rumour in node.membership.rumours() for node in nodes)
    )


async def _measure_killed(*, nodes: list[Node], figures: Figures) -> None:
    """Kill some members at the same moment."""
    killed = [nodes.pop(SEEDS) for _ in range(TRIALS)]
    for node in killed:
        node.scope.cancel()
    async with anyio.create_task_group() as tasks:
        for node in killed:
            tasks.start_soon(_measure_one_killed, node, nodes, figures)


async def _measure_one_killed(
    killed: Node, nodes: list[Node], figures: Figures
) -> None:
    first = await _until(
        condition=lambda: any(_knows_dead(node=node, dead=killed) for node in nodes)
    )
    rest = await _until(
        condition=lambda: all(_knows_dead(node=node, dead=killed) for node in nodes)
    )
    figures.first_killed.append(first)
    figures.killed.append(first + rest)


async def _settle(*, nodes: list[Node]) -> None:
    """Wait until the members that left are dead everywhere."""
    present = len(nodes)
    await _until(
        condition=lambda: all(
            len(node.membership.members()) == present for node in nodes
        )
    )


async def _measure_cut(*, nodes: list[Node], figures: Figures) -> None:
    domains = sorted({node.membership.own.failure_domain for node in nodes})
    one, two = (
        [node for node in nodes if node.membership.own.failure_domain == domain]
        for domain in domains[:2]
    )
    for near, far in ((one, two), (two, one)):
        addresses = frozenset(node.channel.address for node in far)
        for node in near:
            node.links.cut(peers=addresses)
    rest = len(nodes)
    figures.cut = await _until(
        condition=lambda: all(
            len(node.membership.members()) == rest - len(far)
            for near, far in ((one, two), (two, one))
            for node in near
        )
    )
    for node in (*one, *two):
        node.links.heal()
    figures.healed = await _until(
        condition=lambda: all(len(node.membership.members()) == rest for node in nodes)
    )


def _knows_dead(*, node: Node, dead: Node) -> bool:
    return node.state_of(router=dead.router) is MemberState.DEAD


async def _measure_loss(*, nodes: list[Node], figures: Figures) -> None:
    await anyio.sleep(1.0)
    for node in nodes:
        node.links.set_loss(ratio=LOSS)
    sent = sum(_sent(node=node) for node in nodes)
    failed = sum(node.membership.failed_probes for node in nodes)
    deaths = sum(node.membership.deaths_declared for node in nodes)
    await anyio.sleep(LOSS_WINDOW)
    sent = sum(_sent(node=node) for node in nodes) - sent
    figures.loss_bytes_per_second = sent / LOSS_WINDOW / len(nodes)
    figures.loss_probes = round(LOSS_WINDOW * len(nodes))
    figures.false_suspicions = (
        sum(node.membership.failed_probes for node in nodes) - failed
    )
    figures.false_deaths = (
        sum(node.membership.deaths_declared for node in nodes) - deaths
    )
    figures.loss_endpoint = await _spread(nodes=nodes, version=TRIALS + 1)
    for node in nodes:
        node.links.set_loss(ratio=0.0)


async def _measure_channel(*, messages: int) -> float:
    """Measure the microseconds to send and receive a datagram of some messages.

    Both ends run in this process, so the time is that of both.
    """
    async with anyio.create_task_group() as tasks, AsyncExitStack() as stack:
        sender, receiver = [
            await stack.enter_async_context(
                open_channel(
                    address=Address(host="127.0.0.1", port=0),
                    key=KEY,
                    bytes_per_second=UNLIMITED,
                    links=Links(),
                    metrics=Metrics(),
                    clock=monotonic,
                )
            )
            for _ in range(2)
        ]
        for channel in (sender, receiver):
            channel.register(message_type=SAMPLE_TYPE)
        started = time.process_time()
        for count in range(1, CHANNEL_DATAGRAMS + 1):
            for _ in range(messages):
                sender.send(peer=receiver.address, message=SAMPLE)
            while receiver.traffic.datagrams_received < count:
                await anyio.sleep(0)
        elapsed = time.process_time() - started
        tasks.cancel_scope.cancel()
    return elapsed / CHANNEL_DATAGRAMS * 1e6


async def _measure(*, size: int) -> Figures:
    figures = Figures(members=size)
    started = monotonic()
    async with _fleet(size=size) as nodes:
        await _until(
            condition=lambda: all(
                len(node.membership.members()) == size for node in nodes
            )
        )
        figures.joined = monotonic() - started
        await anyio.sleep(1.0)
        await _measure_quiet(nodes=nodes, figures=figures)
        await _measure_leaving(nodes=nodes, figures=figures)
        await _measure_endpoint(nodes=nodes, figures=figures)
        await _measure_killed(nodes=nodes, figures=figures)
        await _settle(nodes=nodes)
        if size == SIZES[0]:
            await _measure_cut(nodes=nodes, figures=figures)
        await _measure_loss(nodes=nodes, figures=figures)
    return figures


def _rounded(value: object) -> object:
    match value:
        case float():
            return round(value, 4)
        case list():
            return [_rounded(item) for item in value]
        case dict():
            return {name: _rounded(item) for name, item in value.items()}
    return value


async def _measure_all() -> Results:
    return Results(
        sizes=[await _measure(size=size) for size in SIZES],
        single=await _measure_channel(messages=1),
        packed=await _measure_channel(messages=CHANNEL_MESSAGES),
    )


def _extrapolate(*, results: list[Figures]) -> float:
    """Fit a constant part and one that is shared by all members.

    The watch over other failure domains costs the same whatever the number of
    members, so each one's share of it falls with their number.
    """
    shared, constant = statistics.linear_regression(
        [1 / result.members for result in results],
        [result.bytes_per_second for result in results],
    )
    return constant + shared / TARGET_SIZE


def main() -> None:
    """Measure all sizes and print one JSON line."""
    random.seed(0)
    measured = anyio.run(_measure_all)
    results = measured.sizes
    middle, largest = results[-2:]
    slope = (largest.bytes_per_second - middle.bytes_per_second) / (
        largest.members - middle.members
    )
    leaving = max(max(result.leaving) for result in results)
    endpoint = max(max(result.endpoint) for result in results)
    met = (
        largest.bytes_per_second <= BYTES_TARGET
        and slope <= SLOPE_TARGET
        and max(leaving, endpoint) <= LEAVING_TARGET
    )
    line = {
        "bench": "membership",
        "domains": DOMAINS,
        "sizes": [asdict(result) for result in results],
        "bytes_per_second_at_largest": largest.bytes_per_second,
        "slope_bytes_per_second_per_member": slope,
        "extrapolated_members": TARGET_SIZE,
        "extrapolated_bytes_per_second": _extrapolate(results=results),
        "channel_us_per_datagram": measured.single,
        f"channel_us_per_datagram_of_{CHANNEL_MESSAGES}": measured.packed,
        "leaving_known_everywhere": leaving,
        "endpoint_known_everywhere": endpoint,
        "target": (
            f"<= {BYTES_TARGET:.0f} bytes/s a member at {SIZES[-1]}, slope <= "
            f"{SLOPE_TARGET} bytes/s a member, leaving hosts and endpoints known "
            f"everywhere in {LEAVING_TARGET} s"
        ),
        "met": met,
    }
    sys.stdout.write(json.dumps(_rounded(line)) + "\n")
