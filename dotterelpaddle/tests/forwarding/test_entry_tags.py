"""Which changes of an endpoint's entry other components and routers hear of."""

from __future__ import annotations

import pytest

from dotterelpaddle.forwarding.entry_tags import entries_tag
from dotterelpaddle.forwarding.interface import EndpointsUpdate
from dotterelpaddle.forwarding.model import EndpointState
from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.ids import ServiceName, SoftwareVersion
from dotterelpaddle.tests.forwarding.entries import make_entry
from dotterelpaddle.tests.revisions import revision_at

SERVICE = ServiceName("engines")


# Guards against streams of two versions: an endpoint that starts again in place with
# another software version, and was still listed with the earlier one.
def test_endpoint_in_place_with_another_version_is_known_with_it() -> None:
    view = FleetView(clock=lambda: 0.0)
    versions = [SoftwareVersion("v1"), SoftwareVersion("v2")]
    for number, version in enumerate(versions, start=1):
        revision = revision_at(number)
        entry = make_entry("a", software_version=version, revision=revision)
        view.apply_endpoints_update(
            update=EndpointsUpdate(revision=revision, entries=(entry,))
        )
        assert [each.software_version for each in view.ready(service=SERVICE)] == [
            version
        ]


@pytest.mark.parametrize(
    "fields",
    [
        {"software_version": SoftwareVersion("v2")},
        {"state": EndpointState.DRAINING},
        {"slots": 9},
    ],
)
def test_routers_that_know_an_entry_differently_have_different_tags(fields) -> None:
    entry = make_entry("a", software_version=SoftwareVersion("v1"))
    other = make_entry("a", **{"software_version": SoftwareVersion("v1"), **fields})

    assert entries_tag(entries=[entry]) != entries_tag(entries=[other])
