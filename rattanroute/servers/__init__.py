"""Servers for callers, targets, operators and peer daemons."""
