"""Shard owners: one router counts the requests in a shard and places new ones.

A router describes a request to place as a `PlacementRequest` and asks an owner with a
`GrantRequest`, which holds a `PlacementQuery`. A `PendingGrant` is the router's record
of it until the answer arrives, and an `Inquiry` the exchange with one owner. At the
owner a request that waits is a `WaitingRequest`, ordered by its `SlotRequest`.
"""
