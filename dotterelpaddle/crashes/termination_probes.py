"""Distinguishes endpoints that terminated during a request from lost answers.

A broken connection proves little: networks lose answers, reset connections and cut
links while an endpoint still runs. A terminated endpoint refuses the next connection.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio

from dotterelpaddle.crashes.running_attempts import RunningAttempts
from dotterelpaddle.crashes.subjects import RequestSubject
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.reachability import ConnectionOutcome, probe_connection
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.crashes.tracker import CrashTracker
    from dotterelpaddle.forwarding.leaving import LeavingEndpoints
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.reachability import Reachability
    from dotterelpaddle.ids import EndpointId
    from dotterelpaddle.network import LinkedBackend
    from dotterelpaddle.peers.tunnels import TunnelBackend
    from dotterelpaddle.supervision import TaskSupervisor

log = get_logger(name=__name__)

PROBE_TIMEOUT_SECONDS = 0.15
"""Seconds within which a connect must succeed or be refused."""

MAX_PROBES = 4
"""Probes without any result, after which the endpoint counts as alive."""

PROBE_INTERVAL_SECONDS = 0.5
"""Seconds between two probes of an endpoint."""

EVENTS_PER_TURN = 256
"""Events that are recorded without a pause for others, in a few milliseconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _BrokenRequest:
    """A request whose connection broke.

    Attributes:
        subject: The request, or a part of its prompt.
        broken_at: Time of the break, seconds on the monotonic clock.
        began_at: When the attempt began, for a part of the prompt.
        answer_begun: Whether its answer had started and had no content yet.
    """

    subject: CrashSubject
    broken_at: float
    began_at: float | None
    answer_begun: bool


class TerminationProber:
    """Probes whether endpoints with broken connections have terminated.

    Args:
        backend: Opens connections.
        tunnels: Connects through other routers, None if none can.
        reachability: Records endpoints that have terminated.
        crashes: Records the requests during which they terminated.
        leaving: Endpoints that have announced their shutdown.
        supervisor: Logs unexpected errors of one probe.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        backend: LinkedBackend,
        tunnels: TunnelBackend | None = None,
        reachability: Reachability,
        crashes: CrashTracker,
        leaving: LeavingEndpoints,
        supervisor: TaskSupervisor,
        clock: Clock,
    ) -> None:
        self._backend = backend
        self._tunnels = tunnels
        self._reachability = reachability
        self._crashes = crashes
        self._leaving = leaving
        self._supervisor = supervisor
        self._clock = clock
        self._running = RunningAttempts()
        self._pending: dict[EndpointId, list[_BrokenRequest]] = {}
        self._unprobed: list[EndpointEntry] = []
        self._unprobed_event = anyio.Event()

    @property
    def running(self) -> RunningAttempts:
        """The attempts that run; those at an endpoint that has terminated crashed."""
        return self._running

    def report_broken_connection(
        self,
        *,
        entry: EndpointEntry,
        subject: CrashSubject,
        answer_begun: bool,
        began_at: float | None = None,
    ) -> None:
        """Record a request whose connection broke after the router had sent it.

        Ignores draining and leaving endpoints, whose termination is expected and so
        no evidence against their last requests.

        Args:
            entry: Registration of the endpoint.
            subject: The request, or a part of its prompt.
            answer_begun: Whether the answer had started and had no content yet.
            began_at: When the attempt began, for a part of the prompt.
        """
        if not self.look_at(entry=entry):
            return
        broken = _BrokenRequest(
            subject=subject,
            broken_at=self._clock(),
            began_at=began_at,
            answer_begun=answer_begun,
        )
        self._pending[entry.endpoint].append(broken)

    def look_at(self, *, entry: EndpointEntry) -> bool:
        """Probe whether an endpoint has terminated, unless that is expected.

        Returns:
            Whether it is probed.
        """
        if entry.state is EndpointState.DRAINING or entry.endpoint in self._leaving:
            return False
        if entry.endpoint not in self._pending:
            self._pending[entry.endpoint] = []
            self._unprobed.append(entry)
            self._unprobed_event.set()
        return True

    async def run(self) -> None:
        """Probe reported endpoints until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._unprobed_event = anyio.Event()
                unprobed, self._unprobed = self._unprobed, []
                for entry in unprobed:
                    tasks.start_soon(self._probe, entry)
                await self._unprobed_event.wait()

    async def _probe(self, entry: EndpointEntry) -> None:
        terminated = False
        # An endpoint whose probe fails counts as running until the next broken request.
        with self._supervisor.contained(task="termination probes"):
            terminated = await self._has_terminated(entry=entry)
        broken = self._pending.pop(entry.endpoint)
        log.info(
            "endpoint_looked_at",
            endpoint=entry.endpoint,
            ended=terminated,
            requests=sum(isinstance(each.subject, RequestSubject) for each in broken),
        )
        if terminated:
            self._reachability.suspect(entry=entry, timed_out=False)
            broken += self._still_running(endpoint=entry.endpoint)
        for number, request in enumerate(broken, 1):
            if number % EVENTS_PER_TURN == 0:
                await anyio.sleep(0)
            if terminated:
                self._crashes.record_crash(
                    subject=request.subject,
                    endpoint=entry.endpoint,
                    at=request.broken_at,
                    begun=request.answer_begun,
                    began_at=request.began_at,
                )
            else:
                self._crashes.end_attempt(
                    subject=request.subject, endpoint=entry.endpoint
                )

    def _still_running(self, *, endpoint: EndpointId) -> list[_BrokenRequest]:
        """Return what runs at an endpoint that has terminated without closing it."""
        return [
            _BrokenRequest(
                subject=subject,
                broken_at=self._clock(),
                began_at=began_at,
                answer_begun=attempt.has_begun_without_output,
            )
            for attempt in self._running.at(endpoint=endpoint)
            for subject, began_at in attempt.evidence()
        ]

    async def _has_terminated(self, *, entry: EndpointEntry) -> bool:
        for _ in range(MAX_PROBES):
            outcome = await probe_connection(
                backend=self._backend,
                address=entry.address,
                timeout=PROBE_TIMEOUT_SECONDS,
            )
            match outcome:
                case ConnectionOutcome.REFUSED:
                    return not await self._is_reached_by_others(entry=entry)
                case ConnectionOutcome.ESTABLISHED:
                    return False
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
        return False

    async def _is_reached_by_others(self, *, entry: EndpointEntry) -> bool:
        """Return whether only this router's own link to an endpoint is broken."""
        if self._tunnels is None or not self._tunnels.reachable(entries=(entry,)):
            return False
        outcome = await probe_connection(
            backend=self._tunnels,
            address=entry.address,
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        return outcome is ConnectionOutcome.ESTABLISHED
