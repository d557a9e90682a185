"""Minimal daemon that runs one forwarding router on the users' platform."""
