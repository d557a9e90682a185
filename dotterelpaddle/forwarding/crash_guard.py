"""Stops requests that crash endpoints from reaching further endpoints."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from dotterelpaddle.dispatch.outcome import AttemptState
from dotterelpaddle.exceptions import AnswerBroken, RequestBlocked
from dotterelpaddle.forwarding.exceptions import FailedAnswer
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.crashes import CrashTracker
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.progress import AttemptProgress
    from dotterelpaddle.forwarding.relays import Relay
    from dotterelpaddle.forwarding.termination_probes import TerminationProber

log = get_logger(name=__name__)

HARMLESS_OUTPUT_SECONDS = 1.0
"""Seconds of output after which an attempt isn't the cause of a crash: a request that
crashes endpoints does so when it starts to run."""


class CrashGuard:
    """Refuses blocked requests, and tracks the outcome of attempts.

    Args:
        crashes: Requests that were running when endpoints crashed.
        termination_prober: Determines whether an endpoint that broke a connection
            has crashed.
        metrics: Counts blocked requests.
        clock: Monotonic clock.
    """

    def __init__(
        self,
        *,
        crashes: CrashTracker,
        termination_prober: TerminationProber,
        metrics: ForwardMetrics,
        clock: Clock,
    ) -> None:
        self._crashes = crashes
        self._termination_prober = termination_prober
        self._metrics = metrics
        self._clock = clock

    def check(self, *, exchange: ForwardExchange) -> None:
        """Refuse a request that causes crashes.

        Raises:
            RequestBlocked: If the request may not go to an endpoint now.
        """
        assert exchange.fingerprint is not None
        try:
            self._crashes.check(fingerprint=exchange.fingerprint)
        except RequestBlocked as error:
            log.warning(
                "request_blocked",
                request_id=exchange.request.request_id,
                fingerprint=exchange.fingerprint,
                service=exchange.service,
                cause=error.message,
                retry_after=error.retry_after,
            )
            self._metrics.count_blocked_request(service=exchange.service or "")
            raise

    @contextmanager
    def watch(
        self,
        *,
        exchange: ForwardExchange,
        relay: Relay,
        entry: EndpointEntry,
        progress: AttemptProgress,
    ) -> Iterator[None]:
        """Record the outcome of the attempt that runs inside the context."""
        fingerprint = exchange.fingerprint
        assert fingerprint is not None
        crashes, endpoint = self._crashes, entry.endpoint
        last_event = relay.last_event_id
        crashes.begin_attempt(fingerprint=fingerprint, endpoint=endpoint)
        try:
            yield
        except FailedAnswer:
            crashes.record_served(fingerprint=fingerprint)
            raise
        except AnswerBroken:
            had_output = relay.last_event_id != last_event
            if self._is_harmless(progress=progress, had_output=had_output):
                crashes.end_attempt(fingerprint=fingerprint, endpoint=endpoint)
            else:
                self._termination_prober.report_broken_connection(
                    entry=entry,
                    fingerprint=fingerprint,
                    answer_begun=progress.attempt.state is not AttemptState.SENT
                    and not had_output,
                )
            raise
        except BaseException:
            crashes.end_attempt(fingerprint=fingerprint, endpoint=endpoint)
            raise
        crashes.record_served(fingerprint=fingerprint)

    def _is_harmless(self, *, progress: AttemptProgress, had_output: bool) -> bool:
        """Return whether the attempt can't have caused a crash of its endpoint."""
        if progress.attempt.proves_not_run:
            return True
        if not had_output or progress.first_byte_seconds is None:
            return False
        answer_started_at = progress.started_at + progress.first_byte_seconds
        return self._clock() - answer_started_at >= HARMLESS_OUTPUT_SECONDS
