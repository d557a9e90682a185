"""Metrics of placement."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelpaddle.ids import PoolId
    from dotterelpaddle.metrics import Metrics
    from dotterelpaddle.placement.interface import Decision
    from dotterelpaddle.placement.wishes import RefusalCause


class Meters:
    """The metrics of one router's placement.

    Args:
        metrics: Where they are registered.
    """

    def __init__(self, *, metrics: Metrics) -> None:
        self._decisions = metrics.counter(
            name="placement_decisions_total",
            doc="Requests placed, by pool, reason and path.",
        )
        self._refused = metrics.counter(
            name="placement_refused_total", doc="Requests refused, by pool and cause."
        )
        self._owner_changes = metrics.counter(
            name="placement_owner_changes_total",
            doc="Times that this router believed in another owner of an endpoint.",
        )
        self._prompt_tokens = metrics.counter(
            name="placement_prompt_tokens_total",
            doc="Prompt tokens of requests with a chat, by pool.",
        )
        self._cached_tokens = metrics.counter(
            name="placement_cached_tokens_total",
            doc="Prompt tokens that engines found in their cache, by pool.",
        )
        self._moved_bytes = metrics.counter(
            name="placement_moved_cache_bytes_total",
            doc="Bytes of KV cache moved from leaving engines.",
        )
        self._waited = metrics.histogram(
            name="placement_wait_seconds", doc="Time in the admission queue, by pool."
        )
        self._queued = metrics.gauge(
            name="placement_queue_length", doc="Requests that wait here, by shard."
        )
        self._skew = metrics.gauge(
            name="placement_skew",
            doc="Highest load of an endpoint over the mean, as known here.",
        )
        self._owned = metrics.gauge(
            name="placement_owned", doc="Endpoints that this router owns."
        )

    def decided(self, *, pool: PoolId, decision: Decision) -> None:
        """Count a decision."""
        labels = {
            "pool": pool,
            "reason": decision.reason.value,
            "path": decision.path.value,
        }
        self._decisions.inc(labels)
        if decision.waited > 0.0:
            self._waited.observe({"pool": pool}, decision.waited)

    def refused(self, *, pool: PoolId, cause: RefusalCause) -> None:
        """Count a refusal."""
        self._refused.inc({"pool": pool, "cause": cause.value})

    def owners_changed(self, *, shard: str, changed: int, owned: int) -> None:
        """Count endpoints that have changed owner."""
        if changed:
            self._owner_changes.add({"shard": shard}, changed)
        self._owned.set({"shard": shard}, float(owned))

    def served(self, *, pool: PoolId, prompt: int, cached: int) -> None:
        """Count the tokens of a prompt."""
        self._prompt_tokens.add({"pool": pool}, prompt)
        self._cached_tokens.add({"pool": pool}, min(cached, prompt))

    def moved(self, *, size: int) -> None:
        """Count a moved KV cache."""
        self._moved_bytes.add({}, size)

    def shard(self, *, shard: str, queued: int, skew: float | None) -> None:
        """Note a shard's state."""
        self._queued.set({"shard": shard}, float(queued))
        if skew is not None:
            self._skew.set({"shard": shard}, skew)
