"""Decisions of the router, a module per decision; no input or output."""
