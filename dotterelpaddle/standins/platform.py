"""Stand-in for the platform's service: tables, objects, hosts and weights."""

from __future__ import annotations

from collections import defaultdict
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelpaddle.clock import monotonic
from dotterelpaddle.http_server import serve
from dotterelpaddle.standins.connections import Connections
from dotterelpaddle.standins.faults import Faults
from dotterelpaddle.standins.hosts import LaggingHosts
from dotterelpaddle.standins.platform_app import build_app
from dotterelpaddle.standins.rates import TokenBucket
from dotterelpaddle.standins.table import MemoryTable
from dotterelpaddle.standins.weights import RateLimitedWeights

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from dotterelpaddle.address import Address
    from dotterelpaddle.clock import Clock


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformSettings:
    """How the platform stand-in behaves.

    Attributes:
        token: Bearer token it demands, empty for none.
        writes_per_second: Writes it takes over all tables and objects, 0 for any.
        reads_per_second: Reads it takes, 0 for any.
        host_lag: Seconds until a change of the host list shows.
        weight_bytes_per_second: Rate of the weight store.
    """

    token: str = ""
    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    host_lag: float = 2.0
    weight_bytes_per_second: float = 1e9


class PlatformStandin:
    """State, switches and counters of a running platform stand-in.

    Args:
        settings: How it behaves.
        clock: Source of time.

    Attributes:
        address: Where it listens.
        tables: The tables by name.
        objects: The objects by name.
        hosts: The lagging list of hosts.
        weights: The weight store.
        faults: Fault switches.
        connections: Open connections.
        reads: Reads that came, refused ones included.
        writes: Writes that came, refused ones included.
        refused: Requests refused because of an outage or a rate limit.
        token: Bearer token it demands, empty for none.
        clock: Source of time.
        write_bucket: Rate limit of writes.
        read_bucket: Rate limit of reads.
    """

    def __init__(self, *, settings: PlatformSettings, clock: Clock = monotonic) -> None:
        now = clock()
        self.address: Address
        self.tables: defaultdict[str, MemoryTable] = defaultdict(MemoryTable)
        self.objects: dict[str, bytes] = {}
        self.hosts = LaggingHosts(lag=settings.host_lag)
        self.weights = RateLimitedWeights(
            bytes_per_second=settings.weight_bytes_per_second
        )
        self.faults = Faults()
        self.connections = Connections()
        self.reads = 0
        self.writes = 0
        self.refused = 0
        self.token = settings.token
        self.clock = clock
        self.write_bucket = TokenBucket(rate=settings.writes_per_second, now=now)
        self.read_bucket = TokenBucket(rate=settings.reads_per_second, now=now)


@asynccontextmanager
async def run_platform(
    *,
    address: Address,
    token: str = "",
    settings: PlatformSettings | None = None,
    clock: Clock = monotonic,
) -> AsyncIterator[PlatformStandin]:
    """Run a platform stand-in until the context ends.

    Args:
        address: Where to listen; port 0 takes a free one.
        token: Bearer token it demands, empty for none.
        settings: How it behaves; replaces the token if given.
        clock: Source of time.

    Yields:
        Its state, with the address in use.
    """
    standin = PlatformStandin(
        settings=settings or PlatformSettings(token=token), clock=clock
    )
    protocol = standin.connections.protocol()
    async with serve(
        app=build_app(platform=standin), address=address, protocol=protocol
    ) as bound:
        standin.address = bound
        yield standin
