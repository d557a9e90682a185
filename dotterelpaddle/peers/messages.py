"""Wire format of the reports that routers send each other a few times a second.

A report is a JSON array. Later releases append fields; earlier ones ignore them.
"""

from __future__ import annotations

from itertools import zip_longest
from typing import TYPE_CHECKING

import orjson

from dotterelpaddle.address import Address
from dotterelpaddle.counts import bounded_count, decode_count, decode_integer
from dotterelpaddle.exceptions import MALFORMED_DOCUMENT, ControlError
from dotterelpaddle.forwarding.evacuations import EvacuationSnapshot
from dotterelpaddle.forwarding.leaving import LeavingNotice
from dotterelpaddle.forwarding.request_totals import (
    ReplyRequest,
    RequestTotals,
    RetryCounts,
    TotalsScope,
)
from dotterelpaddle.forwarding.revisions import FIRST_ERA, StoreRevision
from dotterelpaddle.ids import (
    EndpointId,
    EndpointName,
    FailureDomain,
    Revision,
    RouterId,
    ServiceName,
    StoreEra,
)
from dotterelpaddle.peers.crash_notes import decode_notes, encode_notes
from dotterelpaddle.peers.fields import (
    decode_peer,
    decode_registry,
    decode_time,
    peer_fields,
    registry_fields,
    time_fields,
)
from dotterelpaddle.peers.incarnations import LatestIncarnations, decode_endpoints
from dotterelpaddle.peers.report import PeerReport
from dotterelpaddle.streams.messages import decode_records, encode_records

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any


FORMAT_VERSION = 3
"""Version of the format; the recipient drops and counts reports of other versions."""

INCARNATIONS_INDEX = 19
"""Index of the endpoints' incarnations, the first of the appended fields."""

QUEUED_TOKENS_INDEX = 20
"""Index of the queued prompt tokens by endpoint."""

OWNERS_INDEX = 21
"""Index of the owners of shards."""

LEAVING_INDEX = 22
"""Index of the flag that the sender is stopping."""

CRASHES_INDEX = 23
"""Index of the crash notes."""

LEAVING_ENDPOINTS_INDEX = 24
"""Index of the endpoints that announced in a response that they leave."""

SILENT_OWNERS_INDEX = 25
"""Index of the owners that did not answer the sender in time."""

PLATFORM_LOST_INDEX = 26
"""Index of the flag that the sender can't reach the platform."""

EVACUATED_INDEX = 27
"""Index of the evacuated failure domains."""

ERAS_INDEX = 28
"""Index of the store's eras in which the endpoints and the evacuations were read."""

TUNNELS_INDEX = 29
"""Index of the address for tunnels, and of whether the sender reaches no endpoint."""

AS_OF_INDEX = 30
"""Index of the points in time as of which the platform confirmed the sender's data."""

LEAVING_SINCE_INDEX = 31
"""Index of the points in time since which leaving endpoints leave, in their order."""

STREAMS_INDEX = 32
"""Index of the records of streams; earlier releases record none."""

TUNNEL_SERVERS_INDEX = 33
"""Index of whether tunnel servers are sought, and of those that the sender names."""

SERVICE_LOST_INDEX = 34
"""Index of whether the sender itself reaches no endpoint of a service."""

REGISTRY_INDEX = 35
"""Index of the summary of the registry of all routers."""

UNKNOWN_AGE = None
"""Value of the fields in which earlier releases report the ages of their data.

They rely on no data of unknown age. Their own ages are ignored: an age loses the time
that a report spends on its way.
"""

MAX_LISTED_PEERS = 16
"""Routers listed in one report, so that it fits into one packet."""


def encode_report(*, report: PeerReport) -> bytes:
    """Encode a report as a datagram."""
    totals = report.share
    incarnations = LatestIncarnations(
        endpoints=(
            *totals.loads,
            *totals.queued_tokens,
            *(endpoint for _, endpoint in report.uses),
        )
    )
    return orjson.dumps(
        [
            FORMAT_VERSION,
            report.router,
            report.failure_domain,
            report.link,
            report.incarnation,
            report.sequence,
            str(report.control),
            report.version,
            report.revision.number,
            UNKNOWN_AGE,
            UNKNOWN_AGE,
            report.endpoints_tag,
            [
                totals.scope.value,
                totals.routers,
                {
                    name: bounded_count(value=load)
                    for endpoint, load in totals.loads.items()
                    if (name := incarnations.name(endpoint=endpoint)) is not None
                },
                {
                    service: [
                        bounded_count(value=counts.requests),
                        bounded_count(value=counts.retries),
                    ]
                    for service, counts in totals.retries.items()
                },
            ],
            report.ask.value,
            report.routers,
            report.domains,
            [
                (part, name)
                for part, endpoint in report.uses
                if (name := incarnations.name(endpoint=endpoint)) is not None
            ],
            report.parts,
            [peer_fields(peer) for peer in report.peers[:MAX_LISTED_PEERS]],
            incarnations.encoded,
            {
                name: bounded_count(value=tokens)
                for endpoint, tokens in totals.queued_tokens.items()
                if (name := incarnations.name(endpoint=endpoint)) is not None
            },
            [peer_fields(owner) for owner in report.owners],
            report.leaving,
            encode_notes(notes=report.crashes),
            [
                (notice.endpoint, bounded_count(value=1000 * notice.age))
                for notice in report.leaving_endpoints
            ],
            report.silent_owners,
            report.platform_lost,
            _evacuated_fields(report.evacuated),
            _era_fields(report),
            _tunnel_fields(report),
            [
                time_fields(report.configuration_as_of),
                time_fields(report.endpoints_as_of),
            ],
            [time_fields(notice.since) for notice in report.leaving_endpoints],
            encode_records(records=report.streams),
            [report.seeks_tunnels, [str(each) for each in report.tunnel_servers]],
            report.service_lost,
            registry_fields(report.registry),
        ]
    )


def decode_report(
    *,
    datagram: bytes,
    current_endpoint_id: Callable[[EndpointName], EndpointId] = EndpointId,
) -> PeerReport:
    """Decode a datagram as a report.

    Args:
        datagram: The received datagram.
        current_endpoint_id: Returns the id of an endpoint's current incarnation.
            Reports of earlier releases hold names only. Their requests in flight count
            for the current incarnation, which errs on the safe side; their cached
            prompt parts do not, since those may belong to an earlier incarnation.

    Raises:
        ControlError: If the datagram is no report of this format version.
    """
    try:
        fields = orjson.loads(datagram)
        if fields[0] != FORMAT_VERSION:
            raise ControlError(f"report has format {fields[0]!r}, not {FORMAT_VERSION}")
        uses = fields[16]
        endpoints_era, evacuated_era = _eras(
            _optional_field(fields, ERAS_INDEX, (FIRST_ERA, FIRST_ERA))
        )
        tunnels, endpoints_lost = _optional_field(fields, TUNNELS_INDEX, (None, False))
        seeks_tunnels, tunnel_servers = _optional_field(
            fields, TUNNEL_SERVERS_INDEX, (False, ())
        )
        service_lost = _optional_field(fields, SERVICE_LOST_INDEX, None)
        configuration_as_of, endpoints_as_of = _optional_field(
            fields, AS_OF_INDEX, (None, None)
        )
        incarnations = _optional_field(fields, INCARNATIONS_INDEX, ())
        queued_tokens = _optional_field(fields, QUEUED_TOKENS_INDEX, {})
        endpoints = decode_endpoints(
            names=[*fields[12][2], *queued_tokens, *(name for _, name in uses)],
            incarnations=incarnations,
        )
        return PeerReport(
            router=RouterId(str(fields[1])),
            failure_domain=FailureDomain(str(fields[2])),
            link=decode_integer(fields[3]),
            incarnation=decode_integer(fields[4]),
            sequence=decode_integer(fields[5]),
            control=Address.parse(text=fields[6]),
            version=decode_integer(fields[7]),
            revision=StoreRevision(
                era=endpoints_era, number=Revision(decode_integer(fields[8]))
            ),
            configuration_as_of=decode_time(configuration_as_of),
            endpoints_as_of=decode_time(endpoints_as_of),
            endpoints_tag=decode_integer(fields[11]),
            share=_totals(
                fields[12],
                queued_tokens,
                endpoints if incarnations else _resolve(endpoints, current_endpoint_id),
            ),
            ask=ReplyRequest(fields[13]),
            routers=decode_count(fields[14]),
            domains=tuple(FailureDomain(str(domain)) for domain in fields[15]),
            uses=tuple((decode_integer(part), endpoints[name]) for part, name in uses),
            parts=decode_count(fields[17]),
            peers=tuple(decode_peer(peer) for peer in fields[18]),
            owners=tuple(
                decode_peer(owner)
                for owner in _optional_field(fields, OWNERS_INDEX, ())
            ),
            leaving=bool(_optional_field(fields, LEAVING_INDEX, False)),
            crashes=decode_notes(fields=_optional_field(fields, CRASHES_INDEX, ())),
            leaving_endpoints=_leaving_notices(
                _optional_field(fields, LEAVING_ENDPOINTS_INDEX, ()),
                _optional_field(fields, LEAVING_SINCE_INDEX, ()),
            ),
            silent_owners=tuple(
                RouterId(str(router))
                for router in _optional_field(fields, SILENT_OWNERS_INDEX, ())
            ),
            platform_lost=bool(_optional_field(fields, PLATFORM_LOST_INDEX, False)),
            evacuated=_evacuated(
                _optional_field(fields, EVACUATED_INDEX, None), evacuated_era
            ),
            tunnels=None if tunnels is None else Address.parse(text=tunnels),
            endpoints_lost=bool(endpoints_lost),
            seeks_tunnels=bool(seeks_tunnels),
            tunnel_servers=tuple(Address.parse(text=each) for each in tunnel_servers),
            streams=decode_records(fields=_optional_field(fields, STREAMS_INDEX, ())),
            tells_streams=len(fields) > STREAMS_INDEX,
            service_lost=None if service_lost is None else bool(service_lost),
            registry=decode_registry(_optional_field(fields, REGISTRY_INDEX, None)),
        )
    except MALFORMED_DOCUMENT as error:
        raise ControlError(f"datagram is not a report: {error!r}") from error


def _resolve(
    endpoints: Mapping[str, EndpointId],
    current_endpoint_id: Callable[[EndpointName], EndpointId],
) -> Mapping[str, EndpointId]:
    """Return the current incarnations of endpoints in a report without any."""
    return {name: current_endpoint_id(EndpointName(name)) for name in endpoints}


def _totals(
    fields: Any, queued_tokens: Mapping[str, int], endpoints: Mapping[str, EndpointId]
) -> RequestTotals:
    scope, routers, loads, retries = fields
    return RequestTotals(
        scope=TotalsScope(scope),
        routers=decode_count(routers),
        loads={endpoints[name]: decode_count(load) for name, load in loads.items()},
        queued_tokens={
            endpoints[name]: decode_count(tokens)
            for name, tokens in queued_tokens.items()
        },
        retries={
            ServiceName(name): RetryCounts(
                requests=decode_count(counts[0]), retries=decode_count(counts[1])
            )
            for name, counts in retries.items()
        },
    )


def _optional_field(fields: list[Any], index: int, default: Any) -> Any:
    """Return an appended field, or the default for reports of earlier releases."""
    return fields[index] if len(fields) > index else default


def _evacuated_fields(evacuated: EvacuationSnapshot | None) -> list[Any] | None:
    if evacuated is None:
        return None
    return [evacuated.revision.number, sorted(evacuated.domains)]


def _era_fields(report: PeerReport) -> list[StoreEra]:
    evacuated = report.evacuated
    return [
        report.revision.era,
        FIRST_ERA if evacuated is None else evacuated.revision.era,
    ]


def _tunnel_fields(report: PeerReport) -> list[Any]:
    tunnels = None if report.tunnels is None else str(report.tunnels)
    return [tunnels, report.endpoints_lost]


def _eras(fields: Any) -> tuple[StoreEra, StoreEra]:
    endpoints, evacuated = fields
    return StoreEra(decode_integer(endpoints)), StoreEra(decode_integer(evacuated))


def _evacuated(fields: Any, era: StoreEra) -> EvacuationSnapshot | None:
    if fields is None:
        return None
    number, domains = fields
    return EvacuationSnapshot(
        revision=StoreRevision(era=era, number=Revision(decode_integer(number))),
        domains=frozenset(FailureDomain(str(domain)) for domain in domains),
    )


def _leaving_notices(fields: Any, since: Any) -> tuple[LeavingNotice, ...]:
    """Decode notices; those of earlier releases lack the second list."""
    return tuple(
        LeavingNotice(
            endpoint=EndpointId(str(endpoint)),
            since=decode_time(time),
            age=decode_count(age) / 1000,
        )
        for (endpoint, age), time in zip_longest(fields, since)
    )
