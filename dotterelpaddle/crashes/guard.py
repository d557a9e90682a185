"""Stops requests that crash endpoints from reaching further endpoints."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING

from dotterelpaddle.crashes.running_attempts import RunningAttempt
from dotterelpaddle.crashes.subjects import (
    PartSubject,
    RequestSubject,
    part_subjects,
)
from dotterelpaddle.exceptions import AnswerBroken, RequestBlocked
from dotterelpaddle.forwarding.caches import shared_parts
from dotterelpaddle.forwarding.exceptions import FailedAnswer
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelpaddle.crashes.subjects import CrashSubject
    from dotterelpaddle.crashes.termination_probes import TerminationProber
    from dotterelpaddle.crashes.tracker import CrashTracker
    from dotterelpaddle.forwarding.exchange import ForwardExchange
    from dotterelpaddle.forwarding.metrics import ForwardMetrics
    from dotterelpaddle.forwarding.model import EndpointEntry
    from dotterelpaddle.forwarding.progress import AttemptProgress

log = get_logger(name=__name__)


class CrashGuard:
    """Refuses blocked requests, and tracks the outcome of attempts.

    Args:
        crashes: Requests and prompt parts that were running when endpoints crashed.
        termination_prober: Determines whether an endpoint that broke a connection
            has crashed.
        metrics: Counts blocked requests.
    """

    def __init__(
        self,
        *,
        crashes: CrashTracker,
        termination_prober: TerminationProber,
        metrics: ForwardMetrics,
    ) -> None:
        self._crashes = crashes
        self._termination_prober = termination_prober
        self._running = termination_prober.running
        self._metrics = metrics

    def check(self, *, exchange: ForwardExchange) -> None:
        """Refuse a request that causes crashes, or that has a part which does.

        Raises:
            RequestBlocked: If the request may not go to an endpoint now.
        """
        if not exchange.crash_subjects:
            exchange.crash_subjects = _subjects_of(exchange)
        for subject in exchange.crash_subjects:
            try:
                self._crashes.check(subject=subject)
            except RequestBlocked as error:
                log.warning(
                    "request_blocked",
                    request_id=exchange.request.request_id,
                    fingerprint=exchange.fingerprint,
                    part=_digest(exchange, subject),
                    service=exchange.service,
                    cause=error.message,
                    retry_after=error.retry_after,
                )
                self._metrics.count_blocked_request(service=exchange.service or "")
                raise

    def report_silence(self, *, entry: EndpointEntry) -> None:
        """Look at an endpoint that sends nothing, or refuses a connection.

        One that has lost its power closes no connection.
        """
        if self._running.at(endpoint=entry.endpoint):
            self._termination_prober.look_at(entry=entry)

    @contextmanager
    def watch(
        self,
        *,
        exchange: ForwardExchange,
        entry: EndpointEntry,
        progress: AttemptProgress,
        is_resumed: bool,
    ) -> Iterator[None]:
        """Record the outcome of the attempt that runs inside the context.

        Args:
            exchange: The request.
            entry: The endpoint.
            progress: Progress of the attempt.
            is_resumed: Whether the caller has the beginning of the answer already, so
                that the rest says little of the parts of the prompt.
        """
        subjects, endpoint = exchange.crash_subjects, entry.endpoint
        attempt = RunningAttempt(subjects=subjects, progress=progress)
        crashes = self._crashes
        for subject in subjects:
            crashes.begin_attempt(subject=subject, endpoint=endpoint)
        crashed: frozenset[CrashSubject] = frozenset()
        try:
            with self._running.run(endpoint=endpoint, attempt=attempt):
                yield
        except FailedAnswer:
            crashes.record_served(subject=subjects[0])
            raise
        except AnswerBroken:
            if not progress.attempt.proves_not_run:
                crashed = frozenset(subjects)
            for subject, began_at in attempt.evidence() if crashed else ():
                self._termination_prober.report_broken_connection(
                    entry=entry,
                    subject=subject,
                    answer_begun=attempt.has_begun_without_output,
                    began_at=began_at,
                )
            raise
        else:
            for subject, began_at in attempt.evidence():
                if isinstance(subject, RequestSubject) or not is_resumed:
                    crashes.record_served(subject=subject, began_at=began_at)
        finally:
            for subject in subjects:
                if subject not in crashed:
                    crashes.end_attempt(subject=subject, endpoint=endpoint)


def _subjects_of(exchange: ForwardExchange) -> tuple[CrashSubject, ...]:
    """Return a request and the parts of its prompt; the request is the first."""
    assert exchange.fingerprint is not None
    assert exchange.service is not None
    return (
        RequestSubject(fingerprint=exchange.fingerprint),
        *part_subjects(request=exchange.request, service=exchange.service),
    )


def _digest(exchange: ForwardExchange, subject: CrashSubject) -> str:
    """Return the caller's digest of a prompt part, empty for a request."""
    match subject:
        case PartSubject(position=position):
            return shared_parts(request=exchange.request)[position].digest
    return ""
