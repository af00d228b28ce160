"""Schema files and their generated code."""
