"""The routers of the fleet, as the platform's store lists them.

A router that has just started hears only those that it can reach. Bounds of the whole
fleet are divided by all routers, so each router registers itself in the store, which
routers on both sides of a network partition can read.
"""
