"""Fair admission of requests to a pool."""
