"""Data types and in-memory tables of the router, one module for each kind."""
