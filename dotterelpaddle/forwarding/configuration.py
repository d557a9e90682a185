"""The configuration that one router acts on, and indexes of its routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.forwarding.routes import routed_services, routes_by_host
from dotterelpaddle.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelpaddle.forwarding.model import FleetConfiguration, ForwardRoute
    from dotterelpaddle.ids import ServiceName

log = get_logger(name=__name__)


class ConfigurationInForce:
    """The configuration in force; only a higher version replaces it."""

    def __init__(self) -> None:
        self._configuration: FleetConfiguration | None = None
        self._routes: dict[str, tuple[ForwardRoute, ...]] = {}
        self._routed_services: frozenset[ServiceName] = frozenset()
        self._observers: list[Callable[[FleetConfiguration], None]] = []

    @property
    def configuration(self) -> FleetConfiguration | None:
        """The configuration, None before the first one."""
        return self._configuration

    @property
    def version(self) -> int:
        """Its version, 0 before the first one."""
        return self._configuration.version if self._configuration else 0

    @property
    def routed_services(self) -> frozenset[ServiceName]:
        """Services to which its routes send requests."""
        return self._routed_services

    def on_change(self, observer: Callable[[FleetConfiguration], None]) -> None:
        """Add an observer of each configuration in force."""
        self._observers.append(observer)

    def route(self, *, host: str, path: str) -> ForwardRoute | None:
        """Find the route with the longest prefix that begins a path."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def apply(self, *, configuration: FleetConfiguration) -> bool:
        """Put a configuration in force unless the current version is as high.

        Returns:
            Whether the configuration is in force now.
        """
        if configuration.version <= self.version:
            return False
        log.info(
            "configuration_in_force",
            version=configuration.version,
            earlier=self.version,
            routes=len(configuration.routes),
        )
        self._configuration = configuration
        self._routes = routes_by_host(routes=configuration.routes)
        self._routed_services = routed_services(routes=configuration.routes)
        for observer in self._observers:
            observer(configuration)
        return True
