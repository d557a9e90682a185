"""What a router hands to another one that has fallen behind.

Documents are compressed: a configuration of 1,600 routes has 335 KB, which takes a
small host's link a quarter of a second and more, and 14 KB afterwards.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlencode

import orjson

from dotterelpaddle.exceptions import ControlError, RecordError
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.ids import EndpointName, Revision
from dotterelpaddle.peers.incarnations import LatestIncarnations, decode_endpoints

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import CacheMap
    from dotterelpaddle.forwarding.interface import DocumentDecoder
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.forwarding.unusable import UnusableEntries
    from dotterelpaddle.forwarding.use_queue import PartUse
    from dotterelpaddle.forwarding.view import FleetView


COMPRESSION_LEVEL = 1
"""Level of zlib: routes repeat each other, and higher levels take several times the
time for a tenth less."""

MAX_DOCUMENT_BYTES = 32 * 1024 * 1024
"""Bytes of a document; the platform's largest configurations have 4 MB."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """What another router knows.

    Attributes:
        endpoints: Its endpoints, None if it knows none.
        uses: Where it knows parts of prompts to be.
    """

    endpoints: EndpointsUpdate | None
    uses: tuple[PartUse, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotRequest:
    """What the asking router knows already.

    Attributes:
        revision: Revision up to which it knows the endpoints, None for none.
        uses: Whether it lacks the places of parts of prompts.
    """

    revision: Revision | None
    uses: bool

    @property
    def query(self) -> str:
        """The request as the query of a URL."""
        fields = {"uses": int(self.uses)}
        if self.revision is not None:
            fields["revision"] = self.revision
        return urlencode(fields)

    @classmethod
    def parse(cls, *, query: str) -> SnapshotRequest:
        """Read the query of a URL; what is no number counts as not known."""
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        numbers = {name: int(text) for name, text in fields.items() if text.isdigit()}
        revision = numbers.get("revision")
        return cls(
            revision=None if revision is None else Revision(revision),
            uses=bool(numbers.get("uses", 0)),
        )


def encode_snapshot(
    *, view: FleetView, caches: CacheMap, request: SnapshotRequest
) -> bytes:
    """Turn what another router lacks into a document for it."""
    endpoints = view.endpoints_since(revision=request.revision)
    uses = caches.all_uses() if request.uses else []
    told = LatestIncarnations(endpoints=(endpoint for _, endpoint in uses))
    document = orjson.dumps(
        {
            "endpoints": _encode_endpoints(endpoints) if endpoints else None,
            "uses": [
                (part, name)
                for part, endpoint in uses
                if (name := told.name(endpoint=endpoint)) is not None
            ],
            "starts": told.encoded,
        }
    )
    return zlib.compress(document, COMPRESSION_LEVEL)


class ConfigurationDocument:
    """The configuration in force as it is handed out, compressed once a version.

    Args:
        view: What this router acts on.
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
    """Turn a handed out configuration back into one, None if there was none.

    Raises:
        ControlError: If it is no such document.
        RecordError: If it can't be used.
    """
    if not content:
        return None
    return documents.configuration(document=_decompress(content))


def _encode_endpoints(read: EndpointsUpdate) -> dict[str, Any]:
    return {
        "revision": read.revision,
        "whole": read.is_snapshot,
        "entries": [
            [entry.name, entry.revision, entry.document.decode()]
            for entry in read.entries
        ],
        "removed": read.removed,
    }


def decode_snapshot(
    *, content: bytes, documents: DocumentDecoder, unusable: UnusableEntries
) -> Snapshot:
    """Turn a document back into what it holds.

    Args:
        content: The document.
        documents: Decodes endpoints' entries.
        unusable: Is told of entries that can't be used here.

    Raises:
        ControlError: If it is no snapshot.
    """
    try:
        fields = orjson.loads(_decompress(content))
        endpoints, uses = fields["endpoints"], fields["uses"]
        names = decode_endpoints(
            names=[name for _, name in uses], incarnations=fields.get("starts", ())
        )
        return Snapshot(
            endpoints=(
                _decode_endpoints(endpoints, documents, unusable) if endpoints else None
            ),
            uses=tuple((int(part), names[name]) for part, name in uses),
        )
    except (
        orjson.JSONDecodeError,
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        raise ControlError(f"a document that is no snapshot: {error!r}") from error


def _decode_endpoints(
    fields: dict[str, Any], documents: DocumentDecoder, unusable: UnusableEntries
) -> EndpointsUpdate:
    """Decode entries; one that can't be used here is the same as none."""
    removed = {
        EndpointName(name): Revision(int(revision))
        for name, revision in fields["removed"].items()
    }
    entries = []
    for name, number, document in fields["entries"]:
        revision = Revision(int(number))
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
        revision=Revision(int(fields["revision"])),
        entries=tuple(entries),
        removed=removed,
        is_snapshot=bool(fields["whole"]),
    )


def _decompress(content: bytes) -> bytes:
    """Undo the compression.

    Raises:
        ControlError: If the content is not compressed, or far too large.
    """
    expander = zlib.decompressobj()
    try:
        document = expander.decompress(content, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise ControlError(f"a document that can't be expanded: {error}") from error
    if not expander.eof:
        raise ControlError(
            f"a document that is cut off, or over {MAX_DOCUMENT_BYTES} bytes"
        )
    return document
