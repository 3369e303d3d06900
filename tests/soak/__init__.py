"""A randomized soak of the gateway's real processes under faults from outside.

Gateways and endpoints are processes of their own; the metadata store, the
callers and proxies between all of them live in the process that judges. Only
what callers and endpoints see is judged.
"""
