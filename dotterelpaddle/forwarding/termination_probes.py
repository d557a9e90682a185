"""Tells endpoints that ended under a request from those that lost one answer.

A connection that breaks says little: answers are lost, connections are reset, and
links are cut while an endpoint lives. One that has ended refuses the next connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.reachability import ConnectionOutcome, probe_connection
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.crashes import CrashTracker
    from dotterelpaddle.forwarding.leaving import LeavingEndpoints
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.ids import EndpointId, Fingerprint
    from dotterelpaddle.network import LinkedBackend

log = get_logger(name=__name__)

PROBE_TIMEOUT_SECONDS = 0.15
"""Seconds in which a connection must stand, or be refused."""

MAX_PROBES = 4
"""Looks at an endpoint that gives no answer at all, before nothing is concluded."""

PROBE_INTERVAL_SECONDS = 0.5
"""Seconds between them."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _BrokenRequest:
    """A request whose connection broke.

    Attributes:
        fingerprint: The request.
        broken_at: When, seconds on the monotonic clock.
        answer_begun: Whether its answer had begun and had brought nothing yet.
    """

    fingerprint: Fingerprint
    broken_at: float
    answer_begun: bool


class TerminationProber:
    """Finds out whether endpoints that broke off have ended.

    Args:
        backend: Opens connections.
        reachability: Is told of endpoints that have ended.
        crashes: Is told under which requests.
        leaving: Endpoints that have said that they leave.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        backend: LinkedBackend,
        reachability: Reachability,
        crashes: CrashTracker,
        leaving: LeavingEndpoints,
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._reachability = reachability
        self._crashes = crashes
        self._leaving = leaving
        self._clock = clock
        self._pending: dict[EndpointId, list[_BrokenRequest]] = {}
        self._unprobed: list[EndpointEntry] = []
        self._unprobed_event = anyio.Event()

    def report_broken_connection(
        self, *, entry: EndpointEntry, fingerprint: Fingerprint, answer_begun: bool
    ) -> None:
        """Note a request whose connection broke after it had been sent.

        One that is leaving may end beside its last requests, which says nothing.
        """
        if entry.state is EndpointState.DRAINING or entry.endpoint in self._leaving:
            return
        broken = _BrokenRequest(
            fingerprint=fingerprint, broken_at=self._clock(), answer_begun=answer_begun
        )
        waiting = self._pending.setdefault(entry.endpoint, [])
        if not waiting:
            self._unprobed.append(entry)
            self._unprobed_event.set()
        waiting.append(broken)

    async def run(self) -> None:
        """Look at endpoints that broke off until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._unprobed_event.wait()
                self._unprobed_event = anyio.Event()
                new, self._unprobed = self._unprobed, []
                for entry in new:
                    tasks.start_soon(self._probe, entry)

    async def _probe(self, entry: EndpointEntry) -> None:
        ended = await self._has_terminated(entry=entry)
        broken = self._pending.pop(entry.endpoint)
        log.info(
            "endpoint_looked_at",
            endpoint=entry.endpoint,
            ended=ended,
            requests=len(broken),
        )
        if ended:
            self._reachability.suspect(entry=entry, timed_out=False)
        for each in broken:
            if ended:
                self._crashes.record_crash(
                    fingerprint=each.fingerprint,
                    endpoint=entry.endpoint,
                    at=each.broken_at,
                    begun=each.answer_begun,
                )
            else:
                self._crashes.end_attempt(
                    fingerprint=each.fingerprint, endpoint=entry.endpoint
                )

    async def _has_terminated(self, *, entry: EndpointEntry) -> bool:
        for _ in range(MAX_PROBES):
            tried = await probe_connection(
                backend=self._backend,
                address=entry.address,
                timeout=PROBE_TIMEOUT_SECONDS,
            )
            match tried:
                case ConnectionOutcome.REFUSED:
                    return True
                case ConnectionOutcome.ESTABLISHED:
                    return False
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
        return False
