"""From a placed request to its outcome: attempts, retries, relay and claims."""
