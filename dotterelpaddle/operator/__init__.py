"""What operators drive the system by: records over HTTP with a token."""
