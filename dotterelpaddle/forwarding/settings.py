"""Settings of a router that forwards requests."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelpaddle.address import Address
from dotterelpaddle.config.plain import Section, parse_yaml
from dotterelpaddle.exceptions import SettingsError
from dotterelpaddle.ids import FailureDomain, Region, RouterId
from dotterelpaddle.retries.budget import RetryLimits

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path


MS_PER_SECOND = 1000.0
BYTES_PER_MB = 1_000_000

MIN_MEMORY_MB = 64.0
"""Smallest memory limit in megabytes; an idle process takes half of it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ColdBounds:
    """Bound on a cold endpoint's request rate, by the rate that its service states.

    Attributes:
        multiple: Multiple of the stated requests per second.
        allowance: Additional requests per second.
    """

    multiple: float
    allowance: float


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """Options of the queues in which requests wait for a slot.

    Attributes:
        max_waiting: Maximum number of requests that wait at the owner of a shard for
            slots of one service.
    """

    max_waiting: int = 256


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardSettings:
    """Settings of one router.

    Attributes:
        router: Name of the router.
        failure_domain: Failure domain of the router.
        callers: Address that it listens on for callers.
        readiness: Address of the readiness check of the balancer.
        control: Address from which other routers fetch its state.
        peers: Address on which it exchanges datagrams with other routers.
        link_mbps: Bandwidth of its host's link, Mbit/s; in a large fleet the routers
            with the best links aggregate for the others.
        metrics: Address that serves metrics besides the control address, None for
            none.
        tunnels: Address at which other routers connect to endpoints that they can't
            reach themselves, None for none.
        seeds: Datagram addresses of some other routers; they may be out of date.
        store: Address of the platform's store.
        shutdown_timeout: Seconds from the signal to stop until the process is killed.
        retry_limits: Limits on retries over all routers.
        leaving_propagation_time: Seconds within which all routers must know of a
            leaving endpoint.
        first_start: Whether the whole fleet starts for the first time.
        cold_bounds: Bounds on the rate of cold endpoints, None for no bound.
        regions: The region of each failure domain.
        admission: Options of the queues for slots; None if endpoints may get more
            requests than they have slots.
        memory_limit: Memory limit of the process in bytes, None for none.
        terms: Names of the platform's terms that are in force.
        drain_time: Seconds that a stopping router still accepts requests, until the
            balancer has noticed: it checks once a second and needs two failed checks.
    """

    router: RouterId
    failure_domain: FailureDomain
    callers: Address
    readiness: Address
    control: Address
    peers: Address
    seeds: tuple[Address, ...]
    store: Address
    shutdown_timeout: float
    retry_limits: RetryLimits
    link_mbps: int = 0
    leaving_propagation_time: float = 2.0
    metrics: Address | None = None
    tunnels: Address | None = None
    first_start: bool = False
    cold_bounds: ColdBounds | None = None
    regions: Mapping[FailureDomain, Region] = field(default_factory=dict)
    admission: AdmissionSettings | None = None
    memory_limit: int | None = None
    terms: frozenset[str] = frozenset()
    drain_time: float = 2.6


def load_settings(*, path: Path) -> ForwardSettings:
    """Read and check a settings file.

    Raises:
        SettingsError: If the file can't be read or a field is invalid; the message
            names the field and what to change.
    """
    try:
        content = parse_yaml(text=path.read_text())
    except OSError as error:
        raise SettingsError(f"settings file '{path}': {error.strerror}") from error
    try:
        return _settings(Section(content=content))
    except SettingsError as error:
        raise SettingsError(f"settings file '{path}': {error.message}") from error


def _settings(top: Section) -> ForwardSettings:
    listen = top.section("listen")
    peers = top.section("peers")
    own = peers.address("address")
    # The file names control addresses; the datagram port is the same on all hosts.
    seeds = tuple(
        Address(host=seed.host, port=own.port) for seed in peers.addresses("seeds")
    )
    settings = ForwardSettings(
        router=RouterId(top.text("router")),
        failure_domain=FailureDomain(top.text("failure_domain")),
        callers=listen.address("callers"),
        readiness=listen.address("readiness"),
        control=listen.address("control"),
        peers=own,
        seeds=seeds,
        store=top.address("store"),
        shutdown_timeout=top.number("shutdown_seconds", minimum=1.0),
        retry_limits=_retry_limits(top.section("repeats")),
        leaving_propagation_time=top.number("leaving_ms", minimum=100.0, default=2000.0)
        / MS_PER_SECOND,
        link_mbps=round(peers.number("link_mbps", default=0.0)),
        metrics=listen.address("metrics") if listen.has("metrics") else None,
        tunnels=peers.address("tunnels") if peers.has("tunnels") else None,
        first_start=top.flag("first_start", default=False),
        cold_bounds=_cold_bounds(top.section("cold")) if top.has("cold") else None,
        regions=_regions(top.section("regions")) if top.has("regions") else {},
        admission=_admission(top.section("admission"))
        if top.has("admission")
        else None,
        memory_limit=_memory_limit(top) if top.has("memory_mb") else None,
        terms=frozenset(top.texts("terms")),
    )
    for section in (listen, peers, top):
        section.finish()
    return settings


def _regions(section: Section) -> dict[FailureDomain, Region]:
    return {FailureDomain(name): Region(section.text(name)) for name in section.names}


def _cold_bounds(section: Section) -> ColdBounds:
    bounds = ColdBounds(
        multiple=section.number("multiple"), allowance=section.number("allowance")
    )
    section.finish()
    return bounds


def _admission(section: Section) -> AdmissionSettings:
    settings = AdmissionSettings(
        max_waiting=round(
            section.number(
                "max_waiting", minimum=1.0, default=AdmissionSettings().max_waiting
            )
        )
    )
    section.finish()
    return settings


def _memory_limit(top: Section) -> int:
    return round(top.number("memory_mb", minimum=MIN_MEMORY_MB) * BYTES_PER_MB)


def _retry_limits(section: Section) -> RetryLimits:
    limits = RetryLimits(
        share=section.number("share"),
        allowance=section.number("allowance"),
        window=section.number("window_seconds", minimum=1.0),
    )
    section.finish()
    return limits
