"""Tests that run real processes."""
