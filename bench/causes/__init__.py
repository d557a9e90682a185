"""Says from routers' logs which requests were not served in time, and why."""
