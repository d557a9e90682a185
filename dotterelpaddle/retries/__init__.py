"""When requests go to another endpoint, and when refused callers may return."""
