"""Decisions and I/O for requests that are forwarded as they came.

Callers name their own attempts and endpoints register themselves; the
messages on the wire are `plantainridge.platform`'s.
"""
