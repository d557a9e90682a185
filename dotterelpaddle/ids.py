"""Identifiers shared by all modules, each a distinct type for the type checker."""

from __future__ import annotations

from typing import NewType

AccountId = NewType("AccountId", str)
"""Name of a client account record."""

AdapterId = NewType("AdapterId", str)
"""Name of an adapter record."""

AffinityKey = NewType("AffinityKey", int)
"""64-bit digest that identifies a chat's cached context."""

AttemptId = NewType("AttemptId", str)
"""Random identifier of one attempt to write or to run something."""

EndpointId = NewType("EndpointId", str)
"""Name of an endpoint record."""

CacheEpoch = NewType("CacheEpoch", str)
"""Names a lifetime of an engine's cache, which ends with the engine's process."""

EndpointName = NewType("EndpointName", str)
"""Name under which an endpoint registers; it keeps the name after a restart."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a failure domain."""

Fingerprint = NewType("Fingerprint", str)
"""Digest of a request's content, equal for all retries by its caller."""

Incarnation = NewType("Incarnation", int)
"""Incarnation number of a named process, which increases with each restart."""

LeaseEpoch = NewType("LeaseEpoch", int)
"""Number of changes of a lease's holder, used as a fencing token."""

ModelId = NewType("ModelId", str)
"""Name of a model record."""

PartKey = NewType("PartKey", str)
"""Digest of a prompt part with its service and model."""

PermitId = NewType("PermitId", int)
"""Identifier of one permit to send a request to an endpoint."""

PoolId = NewType("PoolId", str)
"""Name of a pool record."""

Region = NewType("Region", str)
"""A set of failure domains."""

RequestId = NewType("RequestId", str)
"""Identifier of a caller's request, which endpoints echo."""

Revision = NewType("Revision", int)
"""Position of a change in the global order of accepted changes."""

RouterId = NewType("RouterId", str)
"""Name of a router process."""

ServiceName = NewType("ServiceName", str)
"""Service name by which a client account selects a route."""

SoftwareVersion = NewType("SoftwareVersion", str)
"""Version of an endpoint's software, without an order."""

StoreEra = NewType("StoreEra", int)
"""Number of times that the platform's store has come back from a copy of itself."""

VersionId = NewType("VersionId", str)
"""Name of a version of a model's weights."""
