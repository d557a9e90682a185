"""What a forwarding router needs from its process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.interface import (
        CacheReader,
        DocumentDecoder,
        Source,
        WireCodec,
    )
    from dotterelpaddle.links import Links
    from dotterelpaddle.peers.learned_rows import LearnedStore
    from dotterelpaddle.registry.interface import RegistryStore
    from dotterelpaddle.streams.archive import StreamStore


@dataclass(frozen=True, kw_only=True, slots=True)
class Dependencies:
    """What a router needs from its process.

    Attributes:
        source: Store of the configuration and the endpoints.
        stream_store: Keeps records of streams, None to keep none.
        crash_store: Keeps what crashes endpoints, None to keep nothing.
        registry_store: Keeps the rows in which routers register, None to keep none.
        protocols: Translates callers' requests and endpoints' answers.
        documents: Decodes the documents of the source.
        cache_reader: Requests the list of cached prompt parts from an endpoint.
        links: Network links of the process.
        clock: Monotonic clock.
    """

    source: Source
    protocols: WireCodec
    documents: DocumentDecoder
    cache_reader: CacheReader
    links: Links
    clock: Clock
    stream_store: StreamStore | None = None
    crash_store: LearnedStore | None = None
    registry_store: RegistryStore | None = None
