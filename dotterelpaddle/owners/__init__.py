"""One router counts what is in flight at a shard of endpoints, and decides there."""
