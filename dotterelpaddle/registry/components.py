"""Builds the component that keeps a router registered."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelpaddle.registry.service import RouterRegistry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from dotterelpaddle.clock import Clock
    from dotterelpaddle.forwarding.settings import ForwardSettings
    from dotterelpaddle.forwarding.shared_state import SharedState
    from dotterelpaddle.registry.interface import RegistryStore


def build_registry(
    *,
    settings: ForwardSettings,
    store: RegistryStore | None,
    state: SharedState,
    is_reader: Callable[[], bool],
    generator: random.Random,
    clock: Clock,
) -> RouterRegistry | None:
    """Build the component, None for a router without a registry.

    Args:
        settings: Settings of the router.
        store: Keeps the rows of routers, None to keep none.
        state: State that the router's components share.
        is_reader: Returns whether this router reads for those that it hears.
        generator: Source of jitter.
        clock: Monotonic clock.
    """
    if store is None or state.registry is None:
        return None
    return RouterRegistry(
        router=settings.router,
        store=store,
        known=state.registry,
        is_reader=is_reader,
        store_clock=state.store_clock,
        clock=clock,
        generator=generator,
    )
