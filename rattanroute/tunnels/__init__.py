"""Connections to targets through another VM, for a VM that lost its links."""
