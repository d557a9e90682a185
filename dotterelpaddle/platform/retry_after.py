"""Decodes the time for which an endpoint asks to be left alone (RFC 9110, 10.2.3)."""

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
    """Return the seconds that an answer's headers ask to wait, None for none.

    Seconds may have a fraction here. A date counts from the answer's own, if it has
    one, so that clocks that differ do not matter. What can't be read asks for nothing.

    Args:
        headers: Headers of the answer, by lower-case name.
        now: Seconds since 1970, None for the time of day.
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
    until = _timestamp(text)
    if until is None:
        return None
    begin = _timestamp(since)
    if begin is None:
        begin = time.time() if now is None else now
    return until - begin


def _timestamp(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp()
    except (ValueError, OverflowError):
        return None
