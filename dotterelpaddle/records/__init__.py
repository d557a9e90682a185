"""Records that operators write: kinds, schema versions and their internal form."""
