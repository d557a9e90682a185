"""Tests requests whose endpoints are all unreachable."""

from __future__ import annotations

from typing import Any

import httpcore
import pytest

from dotterelpaddle.forwarding import reachability
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.tests.forwarding.harness import Fleet, run_fleet, wait_until

pytestmark = pytest.mark.anyio


class Partition:
    """Makes connections to some endpoints time out."""

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

    async def cut_off(self, *, fleet: Fleet) -> None:
        """Make all endpoints unreachable and wait until the first router knows it."""
        self.ports = {address.port for address in fleet.addresses.values()}
        await fleet.call("/safe/")
        components = fleet.routers[0].components
        entries = components.state.view.entries
        await wait_until(
            lambda: not components.reachability.possibly_reachable(entries=entries)
        )


def _failed_attempts(fleet: Fleet) -> float:
    """Return the number of failed attempts of the first router."""
    page = fleet.routers[0].components.metrics.render().decode()
    name = "dotterelpaddle_attempts_failed_total{"
    lines = [line for line in page.splitlines() if line.startswith(name)]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines)


async def test_request_is_refused_at_once_if_all_endpoints_are_unreachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    partition = Partition(monkeypatch)
    async with run_fleet(runners=2) as fleet:
        await partition.cut_off(fleet=fleet)
        failed = _failed_attempts(fleet)
        answer = await fleet.call("/unsafe/")
        failed_in_total = _failed_attempts(fleet)

    assert answer.status == 503
    assert dict(answer.headers)[b"retry-after"]
    assert failed > 0
    assert failed_in_total == failed
    assert not any(runner.received for runner in fleet.runners.values())


async def test_endpoints_serve_again_once_reachable(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    partition = Partition(monkeypatch)
    async with run_fleet(runners=2) as fleet:
        await partition.cut_off(fleet=fleet)
        components = fleet.routers[0].components
        entries = components.state.view.entries
        partition.ports.clear()
        await wait_until(
            lambda: (
                len(components.reachability.reachable(entries=entries)) == len(entries)
            )
        )
        answer = await fleet.call("/safe/")

    assert answer.status == 200
