"""Errors of streams that callers resume."""

from __future__ import annotations

from dotterelpaddle.exceptions import RequestError, Step


class StreamOriginUnknown(RequestError):
    """No router can tell where a stream may go on, so it must start anew."""

    status = 503
    default_step = Step.PLACEMENT


class EndpointsUnconfirmed(RequestError):
    """Nothing tells which endpoints may go on with a stream.

    An endpoint may have started again with another software version meanwhile.
    """

    status = 503
    default_step = Step.PLACEMENT


class StreamNotResumable(RequestError):
    """The streams of a route can't be resumed, so this one must start anew."""

    status = 503
    default_step = Step.ROUTING
