"""What of endpoints' entries matters, and a short digest of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.placement.rendezvous import tag

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.forwarding.model import EndpointEntry


def same_content(one: EndpointEntry, other: EndpointEntry) -> bool:
    """Tell whether two entries differ by nothing that matters."""
    return one.endpoint == other.endpoint and _content(one) == _content(other)


def entries_tag(*, entries: Iterable[EndpointEntry]) -> int:
    """Digest of entries; the same wherever the same endpoints are known."""
    contents = sorted((entry.endpoint, _content(entry)) for entry in entries)
    return tag(text=repr(contents))


def _content(entry: EndpointEntry) -> tuple[object, ...]:
    """What of an entry matters; the rest changes with each heartbeat."""
    models = sorted(entry.models)
    cold = ("cold",) if entry.cold_left else ()
    state = entry.state.value
    return entry.service, str(entry.address), state, entry.slots, models, *cold
