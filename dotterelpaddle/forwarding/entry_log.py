"""Log lines about the entries of endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.model import EndpointEntry

log = get_logger(name=__name__)


def log_known(*, entry: EndpointEntry) -> None:
    """Log an entry that is new or has changed."""
    log.info(
        "endpoint_known",
        endpoint=entry.endpoint,
        service=entry.service,
        address=str(entry.address),
        state=entry.state.value,
        era=entry.revision.era,
        revision=entry.revision.number,
    )
