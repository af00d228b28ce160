"""Servers towards callers, targets, operators and peers."""
