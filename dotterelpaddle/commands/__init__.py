"""Commands of the command line; each is a thin layer over a package."""
