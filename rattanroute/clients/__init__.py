"""Clients that send requests to targets and messages to other VMs."""
