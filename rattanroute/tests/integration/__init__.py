"""Integration tests, which start the programs as real processes."""
