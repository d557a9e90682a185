"""Bounds and shares that dispatch works with."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """The range of one deadline.

    Attributes:
        floor: Shortest, seconds.
        initial: While nothing is known, seconds.
        cap: Longest, seconds.
    """

    floor: float
    initial: float
    cap: float


CONNECT = Bounds(floor=0.25, initial=0.5, cap=1.0)
FIRST_BYTE = Bounds(floor=1.5, initial=10.0, cap=30.0)
GAP = Bounds(floor=0.75, initial=2.0, cap=5.0)


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchOptions:
    """How attempts are made.

    Attributes:
        retry_share: Retries and hedges as a share of requests.
        retry_burst: Retries that may be made at once after a quiet time.
        max_attempts: Attempts at one request.
        backoff_base: Mean wait before the first retry, seconds.
        backoff_cap: Longest wait before a retry, seconds.
        probe_timeout: Seconds in which a new connection must stand to prove
            that an endpoint lives.
        buffered_bytes: Longest answer of a service that is held back until it
            is whole.
        claim_lifetime: Seconds for which an idempotency key is remembered.
        connect: Range of the deadline for a connection.
        first_byte: Range of the deadline for an answer's begin.
        gap: Range of the deadline between two parts of an answer.
    """

    retry_share: float = 0.1
    retry_burst: float = 10.0
    max_attempts: int = 5
    backoff_base: float = 0.02
    backoff_cap: float = 1.0
    probe_timeout: float = 0.5
    buffered_bytes: int = 1024 * 1024
    claim_lifetime: float = 24 * 3600.0
    connect: Bounds = CONNECT
    first_byte: Bounds = FIRST_BYTE
    gap: Bounds = GAP
