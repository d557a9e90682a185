"""Which routers are alive, as far as this one can tell."""
