"""What an engine stand-in has loaded, and the orders that change it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Any

from pydantic import BaseModel, ConfigDict


class OrderBody(BaseModel):
    """Body of an order; it describes the state that the engine shall have.

    Attributes:
        fencing: Fencing number of the one who orders.
        model: Model to serve.
        version: Version of its weights.
        adapters: Adapters to have loaded.
        role: Part of the work to do.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    fencing: int
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineState:
    """What an engine has loaded.

    Attributes:
        model: Model it serves, empty if it serves any.
        version: Version of its weights.
        adapters: Adapters loaded.
        role: Part of the work it does.
        fencing: Highest fencing number obeyed.
    """

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "mixed"
    fencing: int = 0

    @property
    def fingerprint(self) -> str:
        """Model and version; cached prefixes are valid for one only."""
        return f"{self.model}/{self.version}"

    def serves(self, *, model: str, adapter: str) -> bool:
        """Tell whether requests for a model and adapter can run."""
        if not self.model:
            return True
        return model == self.model and (not adapter or adapter in self.adapters)

    def after(self, *, order: OrderBody) -> EngineState:
        """Return the state that an order asks for."""
        return replace(
            self,
            model=order.model,
            version=order.version,
            adapters=order.adapters,
            role=order.role,
            fencing=max(self.fencing, order.fencing),
        )

    def loads_for(self, *, other: EngineState) -> bool:
        """Tell whether another state needs something that is not loaded."""
        if self.fingerprint != other.fingerprint:
            return True
        return not set(other.adapters) <= set(self.adapters)

    def content(self) -> dict[str, Any]:
        """Spell the state."""
        return {
            "model": self.model,
            "version": self.version,
            "adapters": list(self.adapters),
            "role": self.role,
            "fencing": self.fencing,
        }
