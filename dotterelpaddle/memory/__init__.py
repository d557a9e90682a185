"""What a router holds in memory for callers and endpoints, and its bounds."""
