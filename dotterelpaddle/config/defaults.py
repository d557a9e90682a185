"""Defaults of the settings."""

from __future__ import annotations

CONTROL_BYTES_PER_SECOND = 3000
"""Control traffic that a router may send, bytes a second."""

PLATFORM_TIMEOUT = 2.0
"""Seconds after which a call to the platform counts as lost."""

BODY_BYTES = 4 * 1024 * 1024
"""Longest body of a caller's request, bytes."""

IN_FLIGHT = 4096
"""Callers' requests that a router holds at a time."""

SHUTDOWN_GRACE = 30.0
"""Seconds that requests in flight get to end at a graceful shutdown."""

LEAVE_DELAY = 2.0
"""Seconds between saying that a router leaves and closing its listener."""
