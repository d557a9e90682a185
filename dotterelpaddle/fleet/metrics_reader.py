"""Reads metrics of a router from its operator port."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpcore

from dotterelpaddle.fleet.options import OPERATOR_TOKEN

if TYPE_CHECKING:
    from dotterelpaddle.address import Address


async def read_counter(
    *, operator: Address, name: str, token: str = OPERATOR_TOKEN
) -> float:
    """Return a counter's sum over all its labels, 0 if it has not been raised."""
    async with httpcore.AsyncConnectionPool() as pool:
        response = await pool.request(
            "GET",
            f"http://{operator}/metrics",
            headers=[("Authorization", f"Bearer {token}")],
        )
    return sum_counter(text=response.content.decode(), name=name)


def sum_counter(*, text: str, name: str) -> float:
    """Sum the samples of a counter in Prometheus text."""
    total = 0.0
    for line in text.splitlines():
        if line.startswith((f"{name}{{", f"{name} ")):
            total += float(line.rpartition(" ")[2])
    return total
