"""Randomized soak test of gateway processes under injected faults.

Gateways and endpoints are separate processes. The metadata store, the callers
and the proxies between all of them run in the test process. The checks only use
what callers and endpoints observe.
"""
