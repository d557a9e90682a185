"""What crashes endpoints, and how requests that do are blocked."""
