"""Runs forwarding routers against stand-ins of the store and of endpoints."""

from __future__ import annotations

import itertools
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.forwarding.dependencies import Dependencies
from dotterelpaddle.forwarding.router import RunningForwarder, run_forwarder
from dotterelpaddle.forwarding.settings import ForwardSettings
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.links import Links
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.platform.engines import EngineCacheReader
from dotterelpaddle.platform.names import Header, Table
from dotterelpaddle.platform.protocols import PlatformCodec
from dotterelpaddle.platform.store import StoreSource
from dotterelpaddle.retries.budget import RetryLimits
from dotterelpaddle.standins.runner import RunnerStandin, run_runner
from dotterelpaddle.standins.store import StoreStandin, run_store

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Mapping

ANY_LOCAL_ADDRESS = Address(host="127.0.0.1", port=0)
SERVICE = "records"
KEY = "key-1"
ACCOUNT = "acme"
HOST = "a.example"
WAIT_TIMEOUT_SECONDS = 10.0
"""Seconds after which `wait_until` fails."""

RETRY_LIMITS = RetryLimits(share=40.0, allowance=50.0, window=10.0)
"""Limits by which a router may retry from its first request on."""


Headers = dict[bytes, bytes]

_request_numbers = itertools.count(1)


def route(prefix: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{prefix}",
        "host": HOST,
        "prefix": f"/{prefix}/",
        "kind": kind,
        "timeoutMs": 2000,
        "sloMs": 300,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "streamResume": False,
        **fields,
    }


def configuration(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": [
            route("safe", "idempotent"),
            route("unsafe", "non_idempotent"),
            route("stream", "stream"),
            route("stream/again", "stream", streamResume=True),
            route("open", "idempotent", public=True),
        ],
        "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 50}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


@dataclass(kw_only=True)
class Fleet:
    """Routers of one test and the stand-ins around them.

    Attributes:
        store: Stand-in of the store.
        runners: Stand-ins of endpoints by name.
        addresses: Addresses of these endpoints by name.
        routers: Routers in the order of their start.
        links: Links of these routers.
        http: HTTP client of callers.
        stack: Stops stand-ins and routers at the end of the test.
        store_address: Address of the store.
        expected_task_failures: Tasks of routers that the test lets fail.
    """

    store: StoreStandin
    runners: dict[str, RunnerStandin] = field(default_factory=dict)
    addresses: dict[str, Address] = field(default_factory=dict)
    routers: list[RunningForwarder] = field(default_factory=list)
    links: list[Links] = field(default_factory=list)
    http: httpcore.AsyncConnectionPool
    stack: AsyncExitStack
    store_address: Address
    expected_task_failures: tuple[str, ...] = ()

    async def add_runner(self, name: str, **fields: Any) -> RunnerStandin:
        """Start an endpoint and register it."""
        runner = RunnerStandin(name=name, version=fields.get("version", "v1"))
        address = await self.stack.enter_async_context(run_runner(runner=runner))
        self.runners[name] = runner
        self.addresses[name] = address
        self.register(name, **fields)
        return runner

    def register(self, name: str, **fields: Any) -> None:
        """Write an endpoint's row."""
        entry = self.runners[name].entry(
            address=self.addresses[name], **{"service": SERVICE, **fields}
        )
        self.store.put(table=Table.ENDPOINTS, key=name, value=entry)

    async def add_router(self, **fields: Any) -> RunningForwarder:
        """Start a router with the earlier routers as seeds.

        Args:
            fields: Settings that differ from the defaults.
        """
        links = Links()
        self.links.append(links)
        source = StoreSource(
            address=fields.pop("store", self.store_address),
            documents=PlatformDocumentDecoder(),
            links=links,
        )
        settings = ForwardSettings(
            **{
                "router": RouterId(f"router-{len(self.routers) + 1}"),
                "failure_domain": FailureDomain("here"),
                "callers": ANY_LOCAL_ADDRESS,
                "readiness": ANY_LOCAL_ADDRESS,
                "control": ANY_LOCAL_ADDRESS,
                "peers": ANY_LOCAL_ADDRESS,
                "tunnels": ANY_LOCAL_ADDRESS,
                "seeds": tuple(router.peers for router in self.routers),
                "store": self.store_address,
                "shutdown_timeout": 2.0,
                "drain_time": 0.0,
                "retry_limits": RETRY_LIMITS,
                "first_start": True,
                **fields,
            }
        )
        router = await self.stack.enter_async_context(
            run_forwarder(
                settings=settings,
                dependencies=Dependencies(
                    source=source,
                    stream_store=source,
                    protocols=PlatformCodec(),
                    documents=PlatformDocumentDecoder(),
                    cache_reader=EngineCacheReader(links=links),
                    links=links,
                    clock=monotonic,
                ),
            )
        )
        self.routers.append(router)
        self.stack.callback(self._check_tasks, router)
        return router

    def _check_tasks(self, router: RunningForwarder) -> None:
        """Check that only the expected tasks of a router have failed."""
        failures = set(router.components.supervisor.failures)
        assert failures <= set(self.expected_task_failures)

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"",
        router: int = 0,
        headers: Mapping[bytes, bytes] | None = None,
    ) -> httpcore.Response:
        """Send a request as a caller and read the answer."""
        return await self.http.request(
            method,
            self.url(path, router=router),
            headers=list(self.headers(headers).items()),
            content=body,
        )

    def url(self, path: str, *, router: int = 0) -> httpcore.URL:
        """Return the URL of a path at a router."""
        address = self.routers[router].callers
        return httpcore.URL(
            scheme=b"http",
            host=address.host.encode(),
            port=address.port,
            target=path.encode(),
        )

    def headers(self, extra: Mapping[bytes, bytes] | None = None) -> Headers:
        """Return a caller's headers with a new request id."""
        return {
            b"host": HOST.encode(),
            Header.REQUEST_ID: b"request-%d" % next(_request_numbers),
            Header.TIME_LEFT_MS: b"5000",
            Header.KEY: KEY.encode(),
            **(extra or {}),
        }


@asynccontextmanager
async def run_fleet(
    *, runners: int = 1, routers: int = 1, **fields: Any
) -> AsyncIterator[Fleet]:
    """Run stand-ins and routers until the context ends.

    Args:
        runners: Number of endpoints.
        routers: Number of routers.
        fields: Fields of the configuration that differ from the defaults.
    """
    store = StoreStandin()
    store.configure(configuration=configuration(**fields))
    async with (
        httpcore.AsyncConnectionPool() as http,
        AsyncExitStack() as stack,
    ):
        address = await stack.enter_async_context(run_store(store=store))
        fleet = Fleet(store=store, http=http, stack=stack, store_address=address)
        for number in range(runners):
            await fleet.add_runner(f"runner-{number + 1}")
        for _ in range(routers):
            router = await fleet.add_router()
            await wait_until(lambda router=router: router.components.app.ready)  # type: ignore[misc]
        view = fleet.routers[0].components.state.view if routers else None
        if view is not None:
            await wait_until(lambda: len(view.entries) == runners)
        yield fleet


async def wait_until(condition: Any) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: If it does not hold within the time limit.
    """
    with anyio.fail_after(WAIT_TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(0.005)
