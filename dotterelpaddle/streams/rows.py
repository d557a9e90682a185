"""Formats of the rows that keep records of streams in the platform's store.

Rows with records have keys that repeat: each overwrites one whose streams have ended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import orjson

from dotterelpaddle.counts import decode_integer
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.ids import (
    EndpointName,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from dotterelpaddle.streams.messages import decode_records, encode_records
from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS
from dotterelpaddle.streams.route_history import RouteKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from dotterelpaddle.forwarding.store_clock import StoreTime
    from dotterelpaddle.streams.origins import StreamRecord

VERSIONS_KEY = "versions"
"""Key of the row with the versions of each service."""

Versions = dict[ServiceName, frozenset[SoftwareVersion]]

NO_SERVICE = ServiceName("")
"""Key of what the writer knew of the store, beside the services of a row. Earlier
releases take it for a service."""

ERA_FIELD, REVISION_FIELD, ENDPOINTS_FIELD = "era", "revision", "endpoints"
ROUTES_FIELD, CHANGED_ROUTES_FIELD = "routes", "changed_routes"


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionsRow:
    """The versions of each service, as one router knew them.

    Attributes:
        versions: Versions of each service.
        revision: Revision of the store up to which the router knew all endpoints, None
            if the row does not say.
        endpoints: Endpoints that were registered at this revision.
        routes: Digest of where routes of streams led, None if unknown.
        changed_routes: Routes of streams that had led elsewhere shortly before.
    """

    versions: Versions
    revision: StoreRevision | None = None
    endpoints: frozenset[EndpointName] = frozenset()
    routes: int | None = None
    changed_routes: frozenset[RouteKey] = frozenset()


def records_key(*, time: StoreTime, interval: float, part: int) -> str:
    """Return the key of a row with records.

    Args:
        time: When the row is written.
        interval: Seconds between two writes.
        part: Number of the row among those of one write.
    """
    key_count = round(MAX_STREAM_SECONDS / interval) + 1
    return f"records-{int(time.seconds / interval) % key_count:03}-{part}"


def encode_records_row(*, records: Iterable[StreamRecord]) -> bytes:
    """Encode records."""
    return orjson.dumps(encode_records(records=records))


def decode_records_row(*, row: bytes) -> tuple[StreamRecord, ...]:
    """Decode records.

    Raises:
        ControlError: If the row is malformed.
    """
    try:
        return decode_records(fields=orjson.loads(row))
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"row has no records of streams: {error!r}") from error


def encode_versions_row(*, row: VersionsRow) -> bytes:
    """Encode the versions of each service, and up to when they are complete."""
    fields: dict[str, Any] = {
        service: sorted(each) for service, each in row.versions.items()
    }
    if row.revision is not None:
        fields[NO_SERVICE] = {
            ERA_FIELD: row.revision.era,
            REVISION_FIELD: row.revision.number,
            ENDPOINTS_FIELD: sorted(row.endpoints),
            ROUTES_FIELD: row.routes,
            CHANGED_ROUTES_FIELD: [
                [key.host, key.prefix] for key in sorted(row.changed_routes)
            ],
        }
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)


def decode_versions_row(*, row: bytes) -> VersionsRow:
    """Decode the versions of each service, and up to when they are complete.

    Raises:
        ControlError: If the row is malformed.
    """
    try:
        fields: Any = orjson.loads(row)
        known = fields.pop(NO_SERVICE, {})
        versions = {
            ServiceName(service): frozenset(
                SoftwareVersion(str(version)) for version in versions
            )
            for service, versions in fields.items()
        }
        return VersionsRow(
            versions=versions,
            revision=_decode_revision(known),
            endpoints=frozenset(
                EndpointName(str(name)) for name in known.get(ENDPOINTS_FIELD, ())
            ),
            routes=known.get(ROUTES_FIELD),
            changed_routes=frozenset(
                RouteKey(host=str(host), prefix=str(prefix))
                for host, prefix in known.get(CHANGED_ROUTES_FIELD, ())
            ),
        )
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"row has no versions: {error!r}") from error


def _decode_revision(fields: Mapping[str, Any]) -> StoreRevision | None:
    """Decode a revision, None if a router of an earlier release wrote the row."""
    if REVISION_FIELD not in fields:
        return None
    return StoreRevision(
        era=StoreEra(decode_integer(fields[ERA_FIELD])),
        number=Revision(decode_integer(fields[REVISION_FIELD])),
    )
