"""Forwards callers' requests unmodified to the endpoints of a service."""
