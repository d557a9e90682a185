"""Decodes the Retry-After header of an endpoint's answer (RFC 9110, 10.2.3)."""

from __future__ import annotations

import math
import time
from email.utils import parsedate_to_datetime
from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger
from dotterelpaddle.platform.names import Header

if TYPE_CHECKING:
    from collections.abc import Mapping

log = get_logger(name=__name__)


def decode_retry_after(
    *, headers: Mapping[bytes, bytes], now: float | None = None
) -> float | None:
    """Return the seconds to wait by an answer's Retry-After header.

    The platform allows fractions of seconds. A date is taken relative to the Date
    header of the answer if there is one, so that clock differences don't matter.

    Args:
        headers: Headers of the answer, by lower-case name.
        now: Unix time in seconds, None for the current time.

    Returns:
        Seconds to wait, None if the header is missing or can't be decoded.
    """
    text = headers.get(Header.RETRY_AFTER, b"").decode("latin-1").strip()
    if not text:
        return None
    seconds = _seconds(text)
    if seconds is None:
        seconds = _seconds_until(
            text, since=headers.get(b"date", b"").decode("latin-1"), now=now
        )
    if seconds is None or math.isnan(seconds):
        log.warning("retry_after_unreadable", text=text[:80])
        return None
    return max(0.0, seconds)


def _seconds(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def _seconds_until(text: str, *, since: str, now: float | None) -> float | None:
    retry_at = _timestamp(text)
    if retry_at is None:
        return None
    answered_at = _timestamp(since)
    if answered_at is None:
        answered_at = time.time() if now is None else now
    return retry_at - answered_at


def _timestamp(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        return None
