"""Clients of targets and peers."""
