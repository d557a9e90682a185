"""Schema versions of each kind of record, and their conversions."""
