"""Numbers that others state, kept within what messages, rows and log lines can hold."""

from __future__ import annotations

from typing import Any

MAX_COUNT = 2**53 - 1
"""Largest count in a message between routers; every JSON reader keeps it exactly. Sums
of counts are bounded again where they are written."""

MAX_STATED_COUNT = 10**9
"""Largest count that a caller or an endpoint can state. No engine has memory for as
many tokens, so that greater ones mean the same."""

MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
"""Range of the integers that a JSON document can hold here."""


def parse_count(*, digits: str) -> int:
    """Return a count that a caller or an endpoint states, at most `MAX_STATED_COUNT`.

    Args:
        digits: Decimal digits, any number of them.
    """
    significant = digits.lstrip("0")
    if len(significant) >= len(str(MAX_STATED_COUNT)):
        return MAX_STATED_COUNT
    return int(significant or "0")


def bounded_count(*, value: float) -> int:
    """Return the count of 0 to `MAX_COUNT` that is nearest to a value."""
    return round(min(max(value, 0), MAX_COUNT))


def decode_count(value: Any) -> int:
    """Return a count that another router states, within what a message can hold.

    Raises:
        OverflowError, TypeError, ValueError: If the value is no number.
    """
    count = int(value)
    return count if 0 <= count <= MAX_COUNT else bounded_count(value=count)


def decode_integer(value: Any) -> int:
    """Return an integer that another router states and that names something.

    Raises:
        OverflowError, TypeError: If the value is no number.
        ValueError: If it is none, or one that no message can hold.
    """
    number = int(value)
    if not MIN_INTEGER <= number <= MAX_INTEGER:
        raise ValueError(f"{value!r} is no integer of 64 bits")
    return number
