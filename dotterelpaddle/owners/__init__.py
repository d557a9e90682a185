"""Shard owners: one router counts the requests in a shard and places new ones."""
