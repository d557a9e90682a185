"""What a router hands to another one that has fallen behind."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.exceptions import ControlError
from dotterelpaddle.forwarding.interface import EndpointsRead
from dotterelpaddle.ids import EndpointId, Revision

if TYPE_CHECKING:
    from dotterelpaddle.forwarding.caches import CacheMap, Use
    from dotterelpaddle.forwarding.interface import Documents
    from dotterelpaddle.forwarding.model import FleetConfiguration
    from dotterelpaddle.forwarding.view import FleetView


@dataclass(frozen=True, kw_only=True, slots=True)
class Snapshot:
    """What another router knows.

    Attributes:
        configuration: Its configuration, None if it has no later one.
        endpoints: Its endpoints, None if it knows none.
        uses: Where it knows parts of prompts to be.
    """

    configuration: FleetConfiguration | None
    endpoints: EndpointsRead | None
    uses: tuple[Use, ...]


def encode_snapshot(*, view: FleetView, caches: CacheMap, version: int) -> bytes:
    """Turn what is known into a document for a router with a certain version."""
    configuration = view.configuration
    wanted = configuration is not None and configuration.version > version
    return orjson.dumps(
        {
            "configuration": (
                configuration.document.decode() if configuration and wanted else None
            ),
            "revision": view.endpoints_revision,
            "endpoints": [
                [entry.endpoint, entry.revision, entry.document.decode()]
                for entry in view.entries
            ],
            "uses": caches.uses(),
        }
    )


def decode_snapshot(*, content: bytes, documents: Documents) -> Snapshot:
    """Turn a document back into what it holds.

    Raises:
        ControlError: If it is no snapshot.
        RecordError: If something in it can't be used.
    """
    try:
        fields = orjson.loads(content)
        configuration = fields["configuration"]
        revision = fields["revision"]
        rows = [
            (EndpointId(name), Revision(int(version)), document.encode())
            for name, version, document in fields["endpoints"]
        ]
        uses = tuple((int(part), EndpointId(name)) for part, name in fields["uses"])
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise ControlError(f"a document that is no snapshot: {error!r}") from error
    return Snapshot(
        configuration=(
            documents.configuration(document=configuration.encode())
            if configuration
            else None
        ),
        endpoints=(
            EndpointsRead(
                revision=Revision(revision),
                entries=tuple(
                    documents.endpoint(name=name, document=document, revision=version)
                    for name, version, document in rows
                ),
                whole=True,
            )
            if revision is not None
            else None
        ),
        uses=uses,
    )
