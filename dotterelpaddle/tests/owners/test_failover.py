"""The order in which routers ask owners if the first one does not answer."""

from __future__ import annotations

from dotterelpaddle.address import Address
from dotterelpaddle.ids import FailureDomain, RouterId
from dotterelpaddle.owners.failover import MAX_OWNERS_ASKED, failover_order
from dotterelpaddle.peers.report import PeerInfo

DOMAINS = tuple(FailureDomain(name) for name in "abcde")
OWNERS = {
    domain: PeerInfo(
        router=RouterId(f"router-{domain}"),
        failure_domain=domain,
        address=Address(host="10.0.0.1", port=number),
        link=10,
    )
    for number, domain in enumerate(DOMAINS)
}


def test_owner_itself_comes_first() -> None:
    for domain in DOMAINS:
        assert failover_order(domain=domain, owners=OWNERS)[0] == OWNERS[domain]


def test_each_owner_is_first_fallback_of_one_other_domain() -> None:
    fallbacks = [failover_order(domain=domain, owners=OWNERS)[1] for domain in DOMAINS]
    assert sorted(each.router for each in fallbacks) == sorted(
        each.router for each in OWNERS.values()
    )


def test_failure_domain_without_an_owner_has_fallbacks() -> None:
    known = {domain: OWNERS[domain] for domain in DOMAINS if domain != "c"}
    order = failover_order(domain=FailureDomain("c"), owners=known)
    assert [each.failure_domain for each in order] == ["d", "e", "a"]


def test_number_of_owners_is_bounded() -> None:
    assert len(failover_order(domain=DOMAINS[0], owners=OWNERS)) == MAX_OWNERS_ASKED
    assert failover_order(domain=DOMAINS[0], owners={}) == []
