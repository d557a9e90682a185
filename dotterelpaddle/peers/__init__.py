"""What routers that forward requests tell each other."""
