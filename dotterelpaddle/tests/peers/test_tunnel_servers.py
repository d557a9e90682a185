from __future__ import annotations

import random
from typing import Any

from dotterelpaddle.address import Address
from dotterelpaddle.forwarding.request_totals import RequestTotals, TotalsScope
from dotterelpaddle.forwarding.revisions import StoreRevision
from dotterelpaddle.ids import FailureDomain, Revision, RouterId
from dotterelpaddle.peers.directory import PeerDirectory
from dotterelpaddle.peers.plan import Recipient
from dotterelpaddle.peers.report import PeerInfo, PeerReport
from dotterelpaddle.peers.tunnel_servers import (
    MAX_NAMED_SERVERS,
    NAMED_TTL_SECONDS,
    TunnelServers,
)

HERE, THERE = FailureDomain("here"), FailureDomain("there")


def _address(number: int, *, port: int = 1) -> Address:
    return Address(host=f"10.0.0.{number}", port=port)


class Aggregator:
    """A router that receives reports of others, and names tunnel servers to them."""

    def __init__(self) -> None:
        self.now = 100.0
        own = PeerInfo(
            router=RouterId("own"), failure_domain=HERE, address=_address(0), link=10
        )
        self.directory = PeerDirectory(own=own, seeds=(), clock=lambda: self.now)
        self.servers = TunnelServers(
            directory=self.directory,
            clock=lambda: self.now,
            generator=random.Random(1),
        )
        self.sequence = 0

    def hear(self, number: int, *, domain: FailureDomain = HERE, **fields: Any) -> None:
        """Receive the report of a router with a tunnel server."""
        self.sequence += 1
        report = PeerReport(
            router=RouterId(f"router-{number}"),
            failure_domain=domain,
            incarnation=1,
            sequence=self.sequence,
            control=_address(number),
            version=1,
            revision=StoreRevision(number=Revision(1)),
            configuration_as_of=None,
            endpoints_as_of=None,
            endpoints_tag=0,
            share=RequestTotals(),
            tunnels=_address(number, port=2),
            **fields,
        )
        self.directory.receive(report=report, address=_address(number))
        self.servers.receive(report=report)

    def tells_others(self) -> bool:
        """Return whether reports say to other failure domains only that some seek."""
        told = {
            scope: self.servers.sought_for(
                recipient=Recipient(address=_address(9), scope=scope)
            )
            for scope in TotalsScope
        }
        assert not (told[TotalsScope.ROUTER] or told[TotalsScope.OTHERS])
        return told[TotalsScope.DOMAIN]

    def names_for(self, number: int) -> tuple[Address, ...]:
        """Return the tunnel servers that a report to a member names."""
        recipient = Recipient(
            address=_address(number),
            scope=TotalsScope.OTHERS,
            router=RouterId(f"router-{number}"),
        )
        return self.servers.to_name(recipient=recipient)


def test_only_routers_that_seek_tunnel_servers_are_told_some() -> None:
    aggregator = Aggregator()
    aggregator.hear(1)
    aggregator.hear(2, endpoints_lost=True, seeks_tunnels=True)

    assert aggregator.names_for(1) == ()
    assert aggregator.names_for(2) == (_address(1, port=2),)


def test_routers_without_endpoints_and_stopping_ones_are_not_named() -> None:
    aggregator = Aggregator()
    aggregator.hear(1, endpoints_lost=True)
    aggregator.hear(2, leaving=True)
    aggregator.hear(3, seeks_tunnels=True)

    assert aggregator.names_for(3) == ()
    assert _address(3, port=2) in aggregator.servers.known()


def test_report_names_few_servers_and_others_each_time() -> None:
    aggregator = Aggregator()
    for number in range(2, 40):
        aggregator.hear(number)
    aggregator.hear(1, seeks_tunnels=True)
    reports = [aggregator.names_for(1) for _ in range(10)]

    assert {len(names) for names in reports} == {MAX_NAMED_SERVERS}
    assert len({name for names in reports for name in names}) > MAX_NAMED_SERVERS * 4


def test_other_failure_domains_are_told_of_the_own_one_only() -> None:
    aggregator = Aggregator()
    recipient = Recipient(address=_address(9), scope=TotalsScope.DOMAIN)
    aggregator.hear(1)
    aggregator.hear(2, domain=THERE)
    before = aggregator.servers.to_name(recipient=recipient)
    aggregator.hear(2, domain=THERE, seeks_tunnels=True)

    assert before == ()
    assert aggregator.servers.to_name(recipient=recipient) == (_address(1, port=2),)


def test_named_servers_are_passed_on_until_they_expire() -> None:
    aggregator = Aggregator()
    named = (_address(7, port=2),)
    aggregator.hear(1, domain=THERE, endpoints_lost=True, tunnel_servers=named)
    aggregator.hear(2, seeks_tunnels=True)
    first = aggregator.names_for(2)
    aggregator.now += NAMED_TTL_SECONDS + 0.1
    aggregator.hear(2, seeks_tunnels=True)

    assert first == named
    assert aggregator.names_for(2) == ()


# Guards against aggregators that keep each other seeking, because each passes on what
# another one passes on, and against members that no other failure domain hears.
# Members of the last release may only repeat their aggregator of that release.
def test_only_what_members_lack_themselves_is_passed_on() -> None:
    aggregator = Aggregator()
    aggregator.hear(1, domain=THERE, seeks_tunnels=True)
    aggregator.hear(2, link=20, seeks_tunnels=True, service_lost=False)
    repeated = aggregator.tells_others()
    aggregator.hear(3, seeks_tunnels=True)
    earlier_release = aggregator.tells_others()
    aggregator.hear(2, link=20, seeks_tunnels=True)
    repeated_by_earlier_releases = aggregator.tells_others()
    aggregator.hear(4, seeks_tunnels=True, service_lost=True)

    assert not repeated
    assert earlier_release
    assert not repeated_by_earlier_releases
    assert aggregator.tells_others()
