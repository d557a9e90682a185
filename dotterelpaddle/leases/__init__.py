"""Leases in the platform's table: at most one router acts for a name at a time."""
