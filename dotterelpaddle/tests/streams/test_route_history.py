"""Tests of the routes of streams that led elsewhere recently."""

from __future__ import annotations

import orjson
import pytest

from dotterelpaddle.forwarding.view import FleetView
from dotterelpaddle.platform.documents import PlatformDocumentDecoder
from dotterelpaddle.streams.origins import MAX_STREAM_SECONDS
from dotterelpaddle.streams.route_history import RouteHistory
from dotterelpaddle.tests.forwarding.harness import (
    HOST,
    SERVICE,
    configuration,
    route,
)

OTHER = "letters"
SERVICES = [{"name": name, "healthPath": "/"} for name in (SERVICE, OTHER)]


class Routes:
    """A history of routes on a clock that the test sets."""

    def __init__(self, *, first_start: bool = True) -> None:
        self.now = 0.0
        self.view = FleetView(clock=lambda: self.now)
        self.history = RouteHistory(
            view=self.view, first_start=first_start, clock=lambda: self.now
        )

    def configure(self, **services: str) -> None:
        """Put routes of streams in force, by their prefixes with dots for slashes."""
        routes = [
            route(prefix.replace("_", "/"), "stream", service=service)
            for prefix, service in services.items()
        ]
        document = configuration(
            self.view.version + 1, routes=routes, services=SERVICES
        )
        self.view.apply_configuration(
            configuration=PlatformDocumentDecoder().configuration(
                document=orjson.dumps(document)
            )
        )

    def is_steady(self, path: str) -> bool:
        found = self.view.route(host=HOST, path=path)
        assert found is not None
        return self.history.is_steady(route=found, path=path)


def test_route_that_never_changed_is_steady() -> None:
    routes = Routes()
    routes.configure(chat=SERVICE)
    routes.configure(chat=SERVICE, letters=OTHER)

    assert routes.is_steady("/chat/x")
    assert routes.is_steady("/letters/x")


# Guards against taking today's service of a path for the only one that it had.
@pytest.mark.parametrize(
    ("earlier", "later"),
    [
        ({"chat": SERVICE}, {"chat": OTHER}),
        ({"chat": SERVICE}, {"chat": SERVICE, "chat_long": OTHER}),
        ({"chat": SERVICE, "chat_long": OTHER}, {"chat": SERVICE}),
    ],
)
def test_path_that_led_elsewhere_is_not_steady_until_its_streams_have_ended(
    earlier: dict[str, str], later: dict[str, str]
) -> None:
    routes = Routes()
    routes.configure(**earlier)
    routes.configure(**later)
    moved = routes.is_steady("/chat/long/x")
    routes.now = MAX_STREAM_SECONDS + 1.0

    assert not moved
    assert routes.is_steady("/chat/long/x")


def test_longer_prefix_leaves_the_rest_of_a_route_steady() -> None:
    routes = Routes()
    routes.configure(chat=SERVICE)
    routes.configure(chat=SERVICE, chat_long=OTHER)

    assert routes.is_steady("/chat/x")


def test_router_that_has_just_started_knows_no_route_as_steady() -> None:
    routes = Routes(first_start=False)
    routes.configure(chat=SERVICE)
    soon = routes.is_steady("/chat/x")
    routes.now = MAX_STREAM_SECONDS

    assert not soon
    assert routes.is_steady("/chat/x")
