"""Adapter between rattanroute and the platform that deploys it.

Only this package contains the platform's header names, document fields and
URL paths.
"""
