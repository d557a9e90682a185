"""Keeps requests that crash endpoints from going on to the next ones."""

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
"""Seconds of output after which a run is not what ended its endpoint: a request that
crashes endpoints does so as it begins to run."""


class CrashGuard:
    """Checks requests before they are sent, and watches what becomes of endpoints.

    Args:
        crashes: Under which requests endpoints ended.
        termination_prober: Finds out whether endpoints that broke off have ended.
        metrics: Counts what was blocked.
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
        """Let a request pass unless endpoints end under it.

        Raises:
            RequestBlocked: If it may not be sent to an endpoint now.
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
        """Watch one attempt at a request while the context lasts."""
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
            output = relay.last_event_id != last_event
            if self._is_harmless(progress=progress, output=output):
                crashes.end_attempt(fingerprint=fingerprint, endpoint=endpoint)
            else:
                self._termination_prober.report_broken_connection(
                    entry=entry,
                    fingerprint=fingerprint,
                    answer_begun=progress.attempt.state is not AttemptState.SENT
                    and not output,
                )
            raise
        except BaseException:
            crashes.end_attempt(fingerprint=fingerprint, endpoint=endpoint)
            raise
        crashes.record_served(fingerprint=fingerprint)

    def _is_harmless(self, *, progress: AttemptProgress, output: bool) -> bool:
        """Tell whether a run had brought output for so long that it did no harm."""
        if progress.attempt.proves_not_run:
            return True
        if not output or progress.first_byte_seconds is None:
            return False
        begun_at = progress.started_at + progress.first_byte_seconds
        return self._clock() - begun_at >= HARMLESS_OUTPUT_SECONDS
