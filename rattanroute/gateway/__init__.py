"""Forwards HTTP requests of clients to targets.

`handlers` finds the route, checks the key and computes the deadline of a
request. `service_forwarders` (plain services) or `stream_forwarders` (chains
of engines) then select targets, send attempts and retry.
"""
