"""Documents that a router sends to a peer with outdated state.

The sender compresses documents: a configuration of 1,600 routes has 335 KB, which takes
a small host's link a quarter of a second or more; compressed it has 14 KB.
"""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlencode

import orjson

from dotterelpaddle.counts import decode_integer
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError, RecordError
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.revisions import FIRST_ERA, StoreRevision
from dotterelpaddle.ids import EndpointName, Revision, StoreEra
from dotterelpaddle.peers.incarnations import LatestIncarnations, decode_endpoints

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.forwarding.unusable import UnusableEntries
    from dotterelpaddle.forwarding.use_queue import PartUse
    from dotterelpaddle.forwarding.view import FleetView


COMPRESSION_LEVEL = 1
"""zlib level: routes resemble each other, so that higher levels take several times as
long and save only a tenth."""

_NUMBER = re.compile("[0-9]{1,19}")

MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
"""Largest decompressed document; the platform's largest configurations have 4 MB."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """State of another router.

    Attributes:
        endpoints: Its endpoints, None if it knows none.
        uses: Prompt parts with the endpoints that have them cached.
    """

    endpoints: EndpointsUpdate | None
    uses: tuple[PartUse, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotRequest:
    """What the requesting router already has.

    Attributes:
        revision: Revision up to which it knows the endpoints, None for none.
        uses: Whether it requests the cached prompt parts of endpoints.
    """

    revision: StoreRevision | None
    uses: bool

    @property
    def query(self) -> str:
        """The request as a URL query string."""
        fields = {"uses": int(self.uses)}
        if self.revision is not None:
            fields["revision"] = self.revision.number
            fields["era"] = self.revision.era
        return urlencode(fields)

    @classmethod
    def parse(cls, *, query: str) -> SnapshotRequest:
        """Parse a URL query string; a value that is no number counts as missing."""
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        numbers = {
            name: int(text) for name, text in fields.items() if _NUMBER.fullmatch(text)
        }
        number = numbers.get("revision")
        era = StoreEra(numbers.get("era", FIRST_ERA))
        return cls(
            revision=(
                None
                if number is None
                else StoreRevision(era=era, number=Revision(number))
            ),
            uses=bool(numbers.get("uses", 0)),
        )


def encode_snapshot(
    *, view: FleetView, caches: CacheMap, request: SnapshotRequest
) -> bytes:
    """Encode the state that the requesting router lacks as a document."""
    endpoints = view.endpoints_since(revision=request.revision)
    uses = caches.all_uses() if request.uses else []
    incarnations = LatestIncarnations(endpoints=(endpoint for _, endpoint in uses))
    document = orjson.dumps(
        {
            "endpoints": _encode_endpoints(endpoints) if endpoints else None,
            "uses": [
                (part, name)
                for part, endpoint in uses
                if (name := incarnations.name(endpoint=endpoint)) is not None
            ],
            "starts": incarnations.encoded,
        }
    )
    return zlib.compress(document, COMPRESSION_LEVEL)


class ConfigurationDocument:
    """The configuration in force as a document, compressed once for each version.

    Args:
        view: Holds the configuration in force.
    """

    def __init__(self, *, view: FleetView) -> None:
        self._view = view
        self._version = 0
        self._content = b""

    @property
    def content(self) -> bytes:
        """The document, empty while there is no configuration."""
        configuration = self._view.configuration
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            self._content = zlib.compress(configuration.document, COMPRESSION_LEVEL)
        return self._content


def decode_configuration(
    *, content: bytes, documents: DocumentDecoder
) -> FleetConfiguration | None:
    """Decode a configuration document, None if the sender has no configuration.

    Raises:
        ControlError: If the document can't be decompressed.
        RecordError: If this release can't use the configuration.
    """
    if not content:
        return None
    return documents.configuration(document=_decompress(content))


def _encode_endpoints(update: EndpointsUpdate) -> dict[str, Any]:
    return {
        "era": update.revision.era,
        "revision": update.revision.number,
        "whole": update.is_snapshot,
        "entries": [
            [entry.name, entry.revision.number, entry.document.decode()]
            for entry in update.entries
        ],
        "removed": {name: each.number for name, each in update.removed.items()},
    }


def decode_snapshot(
    *, content: bytes, documents: DocumentDecoder, unusable: UnusableEntries
) -> Snapshot:
    """Decode a snapshot document.

    Args:
        content: The compressed document.
        documents: Decodes endpoints' entries.
        unusable: Records entries that this release can't use.

    Raises:
        ControlError: If the document is no snapshot.
    """
    try:
        fields = orjson.loads(_decompress(content))
        endpoints, uses = fields["endpoints"], fields["uses"]
        endpoint_ids = decode_endpoints(
            names=[name for _, name in uses], incarnations=fields.get("starts", ())
        )
        return Snapshot(
            endpoints=(
                _decode_endpoints(endpoints, documents, unusable) if endpoints else None
            ),
            uses=tuple(
                (decode_integer(part), endpoint_ids[name]) for part, name in uses
            ),
        )
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"document is not a snapshot: {error!r}") from error


def _decode_endpoints(
    fields: dict[str, Any], documents: DocumentDecoder, unusable: UnusableEntries
) -> EndpointsUpdate:
    """Decode entries; an entry that this release can't use counts as removed."""
    era = StoreEra(decode_integer(fields.get("era", FIRST_ERA)))
    removed = {
        EndpointName(name): _revision(era, number)
        for name, number in fields["removed"].items()
    }
    entries = []
    for name, number, document in fields["entries"]:
        revision = _revision(era, number)
        try:
            entry = documents.endpoint(
                name=EndpointName(name), document=document.encode(), revision=revision
            )
        except RecordError as error:
            unusable.record(name=EndpointName(name), revision=revision, error=error)
            removed[EndpointName(name)] = revision
            continue
        entries.append(entry)
    return EndpointsUpdate(
        revision=_revision(era, fields["revision"]),
        entries=tuple(entries),
        removed=removed,
        is_snapshot=bool(fields["whole"]),
    )


def _revision(era: StoreEra, number: Any) -> StoreRevision:
    return StoreRevision(era=era, number=Revision(decode_integer(number)))


def _decompress(content: bytes) -> bytes:
    """Decompress a document.

    Raises:
        ControlError: If the content is not compressed, or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(content, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ControlError(f"document can't be decompressed: {error}") from error
    if not decompressor.eof:
        raise ControlError(f"document is cut off, or over {MAX_DOCUMENT_BYTES} bytes")
    return document
