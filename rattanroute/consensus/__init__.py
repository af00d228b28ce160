"""The replicated configuration log."""
