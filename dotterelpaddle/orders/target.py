"""What records ask of an engine, and how far it is from that."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelpaddle.endpoint.engine import EngineState
    from dotterelpaddle.ids import AdapterId, ModelId, VersionId
    from dotterelpaddle.records.model import Adapter, Endpoint, EndpointRole, Version


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineTarget:
    """A state that an engine shall have.

    Attributes:
        model: Model to serve.
        version: Version of its weights.
        adapters: Adapters to have loaded.
        role: Part of the work to do.
    """

    model: ModelId
    version: VersionId
    adapters: tuple[AdapterId, ...]
    role: EndpointRole

    def met_by(self, *, state: EngineState) -> bool:
        """Tell whether an engine needs no order; further adapters do no harm."""
        return not self.needs_load(state=state) and self.role.value == state.role

    def needs_load(self, *, state: EngineState) -> bool:
        """Tell whether an engine has to load something, and serves less meanwhile."""
        return self._other_weights(state=state) or bool(self.missing(state=state))

    def missing(self, *, state: EngineState) -> tuple[AdapterId, ...]:
        """Return the adapters that an engine has to load."""
        if self._other_weights(state=state):
            return self.adapters
        return tuple(name for name in self.adapters if name not in state.adapters)

    def _other_weights(self, *, state: EngineState) -> bool:
        return (self.model, self.version) != (state.model, state.version)


def target_of(*, endpoint: Endpoint, state: EngineState) -> EngineTarget | None:
    """Derive the state that an endpoint's record asks for.

    An engine keeps its version where the record leaves it open.

    Returns:
        None if the record leaves the engine as it is.
    """
    if not endpoint.model:
        return None
    version = endpoint.version
    if not version and state.model == endpoint.model:
        version = state.version
    return EngineTarget(
        model=endpoint.model,
        version=version,
        adapters=tuple(sorted(endpoint.adapters)),
        role=endpoint.role,
    )


class WeightSizes:
    """Sizes in the weight store.

    Args:
        versions: All version records.
        adapters: All adapter records.
    """

    def __init__(
        self, *, versions: Iterable[Version], adapters: Iterable[Adapter]
    ) -> None:
        self._versions = {(v.model, v.name): v.weight_bytes for v in versions}
        self._adapters = {adapter.name: adapter.weight_bytes for adapter in adapters}

    def transfer(self, *, state: EngineState, target: EngineTarget) -> int:
        """Return how many bytes an engine has to fetch to meet a target."""
        size = sum(self._adapters.get(name, 0) for name in target.missing(state=state))
        if (target.model, target.version) != (state.model, state.version):
            size += self._versions.get((target.model, target.version), 0)
        return size
