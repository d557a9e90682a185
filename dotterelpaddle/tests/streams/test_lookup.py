"""Streams that callers resume at another router of a large fleet, in virtual time."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.interface import ForwardRequest
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import ModelId, RequestId, ServiceName, SoftwareVersion
from dotterelpaddle.streams.exceptions import StreamOriginUnknown
from dotterelpaddle.streams.lookup import StreamLookup
from dotterelpaddle.streams.messages import StreamAnswer, encode_message
from dotterelpaddle.streams.origins import StreamOrigin, StreamOrigins, StreamRecord
from dotterelpaddle.streams.version_history import VersionHistory
from dotterelpaddle.tests.forwarding.harness import HOST, SERVICE
from dotterelpaddle.tests.peers.updates import FollowingFleet
from dotterelpaddle.tests.virtual_time import run_in_virtual_time

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from dotterelpaddle.tests.owners.hosts import Router

pytestmark = pytest.mark.anyio

ROUTERS = 36
STREAMS = 20
STREAM_SECONDS = 15.0
REPORTS_SECONDS = 0.6
"""Seconds within which records reach the aggregators of all failure domains."""

LOSS_PERIOD = 5
"""One of so many datagrams is lost."""

MAX_LOST_SHARE = 0.1


def origin_of(number: int) -> StreamOrigin:
    version = SoftwareVersion(("v1", "v1.1")[number % 2])
    return StreamOrigin(service=ServiceName(SERVICE), version=version)


def begin(host: Router, number: int) -> RequestId:
    """Let a router pass on the first event of a stream."""
    assert host.parts is not None
    stream = RequestId(f"stream-{number}")
    host.parts.state.stream_origins.begin(
        record=StreamRecord(
            stream=stream, origin=origin_of(number), seconds=STREAM_SECONDS
        )
    )
    return stream


async def find(host: Router, stream: RequestId) -> StreamOrigin | None:
    """Return where a router lets a stream go on, None if it refuses it."""
    assert host.parts is not None
    request = ForwardRequest(
        request_id=RequestId(f"again-{stream}"),
        method="POST",
        host=HOST,
        path="/stream/again/x",
        target=b"/stream/again/x",
        headers=[],
        model=ModelId(""),
        last_event_id="2",
        resumes=stream,
    )
    route = host.parts.state.view.route(host=HOST, path=request.path)
    assert route is not None
    try:
        return await host.parts.stream_finder.find(request=request, route=route)
    except StreamOriginUnknown:
        return None


def run(
    script: Callable[[FollowingFleet], Awaitable[None]], *, routers: int = ROUTERS
) -> None:
    async def main() -> None:
        fleet = FollowingFleet(routers=routers)
        for number in range(12):
            version = origin_of(number).version
            fleet.register(f"endpoint-{number}", version=version)
        async with anyio.create_task_group() as tasks:
            fleet.tasks = tasks
            await fleet.start()
            await script(fleet)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


# Guards against a stream that another router continues at another version because only
# the router that began it knows the version.
@pytest.mark.parametrize("routers", [9, ROUTERS])
@pytest.mark.parametrize("pause", [0.0, REPORTS_SECONDS])
def test_every_router_finds_where_a_stream_began(routers: int, pause: float) -> None:
    found: list[tuple[int, StreamOrigin | None]] = []

    async def script(fleet: FollowingFleet) -> None:
        for number in range(STREAMS):
            host = fleet.hosts[number % routers]
            stream = begin(host, number)
            await anyio.sleep(pause)
            other = fleet.hosts[(number * 7 + 1) % routers]
            found.append((number, await find(other, stream)))

    run(script, routers=routers)

    assert [origin for _, origin in found] == [origin_of(each) for each, _ in found]


# Guards against a record that dies with the only router that has it.
@pytest.mark.parametrize("routers", [9, ROUTERS])
def test_streams_of_a_router_that_died_are_known(routers: int) -> None:
    found: list[StreamOrigin | None] = []

    async def script(fleet: FollowingFleet) -> None:
        died = fleet.hosts[-1]
        streams = [begin(died, number) for number in range(STREAMS)]
        await anyio.sleep(REPORTS_SECONDS)
        died.datagrams = None
        for number, stream in enumerate(streams):
            host = fleet.hosts[number % (routers - 1)]
            found.append(await find(host, stream))

    run(script, routers=routers)

    assert found == [origin_of(number) for number in range(STREAMS)]


# Guards against a router that takes a version at random where nobody knows the stream.
def test_stream_that_nobody_knows_is_refused() -> None:
    found: list[StreamOrigin | None] = []

    async def script(fleet: FollowingFleet) -> None:
        for host in fleet.hosts[:9]:
            found.append(await find(host, RequestId("unknown")))

    run(script)

    assert found == [None] * 9


# Guards against counting a router that has never seen an endpoint of a service as one
# that knows all versions of it.
async def test_answer_without_versions_tells_no_history() -> None:
    peer = Address(host="10.0.0.2", port=1)
    view = FleetView(clock=lambda: 0.0)
    lookup = StreamLookup(
        origins=StreamOrigins(clock=lambda: 0.0),
        history=VersionHistory(view=view, first_start=False, clock=lambda: 0.0),
        directory=cast("Any", SimpleNamespace(alive=())),
        plan=cast("Any", SimpleNamespace(is_mesh=True)),
        clock=lambda: 0.0,
    )
    stream = RequestId("unknown")
    none, some = frozenset[SoftwareVersion](), frozenset({SoftwareVersion("v1")})
    with lookup.open_question(stream=stream, service=ServiceName(SERVICE)) as question:
        for versions in (none, some):
            answer = StreamAnswer(stream=stream, versions=versions)
            datagram = encode_message(message=answer)
            await lookup.receive(datagram=datagram, address=peer)

        assert question.histories == [some]


# Guards against records and questions that are lost on the way.
def test_streams_are_found_though_datagrams_get_lost() -> None:
    found: list[bool] = []

    async def script(fleet: FollowingFleet) -> None:
        deliver, sent = fleet._send_datagram, 0

        def lossy(datagram, sender, target):
            nonlocal sent
            sent += 1
            if sent % LOSS_PERIOD:
                deliver(datagram, sender, target)

        for host in fleet.hosts:
            assert host.datagrams is not None
            host.datagrams._send = lossy
        for number in range(STREAMS):
            stream = begin(fleet.hosts[number % ROUTERS], number)
            await anyio.sleep(REPORTS_SECONDS)
            other = fleet.hosts[(number * 7 + 1) % ROUTERS]
            origin = await find(other, stream)
            assert origin in (None, origin_of(number))
            found.append(origin is not None)

    run(script)

    assert sum(found) >= (1 - MAX_LOST_SHARE) * STREAMS
