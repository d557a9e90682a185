"""Tests that probes distinguish terminated endpoints from lost answers."""

from __future__ import annotations

import asyncio
import errno
import os
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import anyio
import pytest
from anyio.abc import SocketAttribute

from dotterelpaddle.address import Address
from dotterelpaddle.clock import monotonic
from dotterelpaddle.crashes.subjects import RequestSubject
from dotterelpaddle.crashes.termination_probes import TerminationProber
from dotterelpaddle.crashes.tracker import MIN_CRASHES_TO_BLOCK, CrashTracker
from dotterelpaddle.exceptions import RequestBlocked
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.reachability import Reachability
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import EndpointId, FailureDomain, Fingerprint
from dotterelpaddle.links import Links
from dotterelpaddle.network import LinkedBackend
from dotterelpaddle.supervision import TaskSupervisor
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.forwarding.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

pytestmark = pytest.mark.anyio

CULPRIT = RequestSubject(fingerprint=Fingerprint("culprit"))
CLOSED = Address(host="127.0.0.1", port=1)


class ProbeHarness:
    """A prober with the trackers that it reports to."""

    def __init__(self) -> None:
        backend = LinkedBackend(links=Links())
        self.task_failures: list[str] = []
        self.crashes = CrashTracker(clock=monotonic)
        view = FleetView(clock=monotonic)
        self.leaving = view.leaving
        self.reachability = Reachability(
            view=view,
            backend=backend,
            failure_domain=FailureDomain("here"),
            clock=monotonic,
        )
        self.prober = TerminationProber(
            backend=backend,
            reachability=self.reachability,
            crashes=self.crashes,
            leaving=self.leaving,
            supervisor=TaskSupervisor(
                on_failure=self.task_failures.append, clock=monotonic
            ),
            clock=monotonic,
        )

    def report_broken(self, *, address: Address, **fields: object) -> None:
        """Report connections broken during one request, enough of them to block it."""
        for number in range(MIN_CRASHES_TO_BLOCK):
            self.prober.report_broken_connection(
                entry=make_entry(f"engine-{number}", address=address, **fields),
                subject=CULPRIT,
                answer_begun=True,
            )

    @property
    def is_blocked(self) -> bool:
        """Whether the request is blocked."""
        try:
            self.crashes.check(subject=CULPRIT)
        except RequestBlocked:
            return True
        return False


@asynccontextmanager
async def _run_prober() -> AsyncIterator[ProbeHarness]:
    harness = ProbeHarness()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(harness.prober.run)
        yield harness
        tasks.cancel_scope.cancel()


async def test_endpoints_that_refuse_connections_have_terminated() -> None:
    async with _run_prober() as harness:
        harness.report_broken(address=CLOSED)
        await wait_until(lambda: harness.is_blocked)

    entry = make_entry("engine-0", address=CLOSED)
    assert harness.reachability.reachable(entries=[entry]) == []


async def test_endpoints_that_lost_an_answer_have_not_terminated() -> None:
    """Guards against blocking a request because its answers were lost.

    Its endpoints still accept connections, so none of them terminated.
    """
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        port = listener.extra(SocketAttribute.local_port)
        async with _run_prober() as harness:
            harness.report_broken(address=Address(host="127.0.0.1", port=port))
            await wait_until(lambda: not harness.prober._pending)

    assert harness.crashes.suspect_count == 0


async def test_termination_of_a_draining_endpoint_is_ignored() -> None:
    async with _run_prober() as harness:
        harness.report_broken(address=CLOSED, state=EndpointState.DRAINING)

        assert not harness.prober._pending


async def test_termination_of_a_leaving_endpoint_is_ignored() -> None:
    async with _run_prober() as harness:
        for number in range(MIN_CRASHES_TO_BLOCK):
            harness.leaving.record(endpoint=EndpointId(f"engine-{number}"))
        harness.report_broken(address=CLOSED)

        assert not harness.prober._pending


# Guards against sound requests that are blocked as a router has no descriptor left to
# look whether endpoints still run.
async def test_router_without_descriptors_takes_no_endpoint_for_terminated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def _fail(*args: object, **fields: object) -> object:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    async with _run_prober() as harness:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "create_connection", _fail)
        harness.report_broken(address=CLOSED)
        await wait_until(lambda: not harness.prober._pending)

    assert harness.crashes.suspect_count == 0
    assert not harness.is_blocked
