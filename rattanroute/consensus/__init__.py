"""Replicated configuration log, a variant of Raft."""
