"""Clients of model engines and plain services; only they know the wire format."""
