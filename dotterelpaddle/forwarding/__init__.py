"""Forwarding of callers' requests, unread, to the endpoints of a service."""
