"""A model without network of where routers decide, and on what they know."""
