"""The configuration in force on this router, and how it gets there."""
