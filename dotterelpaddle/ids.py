"""Identifiers shared by all modules; each is a distinct type for the checker."""

from __future__ import annotations

from typing import NewType

AccountId = NewType("AccountId", str)
"""Name of a client account record."""

AdapterId = NewType("AdapterId", str)
"""Name of an adapter record."""

AffinityKey = NewType("AffinityKey", int)
"""64-bit digest that identifies a chat's cached context."""

AttemptId = NewType("AttemptId", str)
"""Random name of one attempt to write or to run something."""

EndpointId = NewType("EndpointId", str)
"""Name of an endpoint record."""

EndpointName = NewType("EndpointName", str)
"""Name under which an endpoint registers; another start of it may have the same."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a failure domain."""

Fingerprint = NewType("Fingerprint", str)
"""Digest of what a caller asks for, equal for each of its tries."""

Incarnation = NewType("Incarnation", int)
"""Start of a process that keeps its name: a later start has a greater number."""

LeaseEpoch = NewType("LeaseEpoch", int)
"""Number of times a lease has changed hands; used as fencing number."""

ModelId = NewType("ModelId", str)
"""Name of a model record."""

PermitId = NewType("PermitId", int)
"""Name of one permit to send a request to an endpoint."""

PoolId = NewType("PoolId", str)
"""Name of a pool record."""

Region = NewType("Region", str)
"""A set of failure domains."""

RequestId = NewType("RequestId", str)
"""Name of one caller's request, echoed by endpoints."""

Revision = NewType("Revision", int)
"""Position in the global order of accepted changes."""

RouterId = NewType("RouterId", str)
"""Name of a router process."""

ServiceName = NewType("ServiceName", str)
"""Name under which a client account calls a route."""

VersionId = NewType("VersionId", str)
"""Name of a version of a model's weights."""
