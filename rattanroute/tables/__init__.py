"""Entities of the router, a module per kind."""
