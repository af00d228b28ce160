"""Adapter between the users' platform and rattanroute.

Only this package knows the platform's names of headers, fields and paths.
"""
