"""What becomes of requests whose endpoints are all out of reach."""

from __future__ import annotations

from typing import Any

import httpcore
import pytest

from dotterelpaddle.forwarding import reachability
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.tests.forwarding.harness import Fleet, run_fleet, wait_until

pytestmark = pytest.mark.anyio


class Cut:
    """Lets connections to endpoints time out while it lasts."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.ports: set[int] = set()
        connect = LinkedBackend.connect_tcp

        async def _connect(
            backend: LinkedBackend, host: str, port: int, *rest: Any, **more: Any
        ) -> httpcore.AsyncNetworkStream:
            if port in self.ports:
                raise httpcore.ConnectTimeout
            return await connect(backend, host, port, *rest, **more)

        monkeypatch.setattr(LinkedBackend, "connect_tcp", _connect)
        monkeypatch.setattr(reachability, "PROBE_INTERVAL_SECONDS", 0.01)

    async def off(self, *, fleet: Fleet) -> None:
        """Cut all endpoints off, and wait until the first router knows it."""
        self.ports = {address.port for address in fleet.addresses.values()}
        await fleet.call("/safe/")
        parts = fleet.routers[0].parts
        entries = parts.state.view.entries
        await wait_until(
            lambda: not parts.reachability.possibly_reachable(entries=entries)
        )


def _failed_attempts(fleet: Fleet) -> float:
    """Attempts that the first router made in vain."""
    page = fleet.routers[0].parts.metrics.render().decode()
    name = "dotterelpaddle_attempts_failed_total{"
    lines = [line for line in page.splitlines() if line.startswith(name)]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


async def test_request_without_any_endpoint_in_reach_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cut = Cut(monkeypatch)
    async with run_fleet(runners=2) as fleet:
        await cut.off(fleet=fleet)
        tried = _failed_attempts(fleet)
        answer = await fleet.call("/unsafe/")
        tried_again = _failed_attempts(fleet)

    assert answer.status == 503
    assert dict(answer.headers)[b"retry-after"]
    assert tried > 0
    assert tried_again == tried
    assert not any(runner.received for runner in fleet.runners.values())


async def test_endpoints_that_are_back_in_reach_serve_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cut = Cut(monkeypatch)
    async with run_fleet(runners=2) as fleet:
        await cut.off(fleet=fleet)
        parts = fleet.routers[0].parts
        entries = parts.state.view.entries
        cut.ports.clear()
        await wait_until(
            lambda: len(parts.reachability.reachable(entries=entries)) == len(entries)
        )
        answer = await fleet.call("/safe/")

    assert answer.status == 200
