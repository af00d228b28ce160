"""Passes requests to targets without changing them.

A caller's request goes through `handlers` (route, key, deadline), then
`services` (plain services) or `streams` (chains of engines), which choose
targets by the systems and send attempts.
"""
