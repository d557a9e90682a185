"""Exchange of state between the routers that forward requests."""
