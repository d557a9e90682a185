"""Which endpoint serves a request."""
