"""Errors of requests that a stopping router ends."""

from __future__ import annotations

from dotterelpaddle.exceptions import RequestError, Step


class RouterStopped(RequestError):
    """The router stops before the endpoint has answered."""

    status = 502
    default_step = Step.ENTRY
