"""Adapter to the users' platform: its names, formats and calls.

The platform calls a VM a machine, a data centre a zone, a team a tenant, and an
endpoint a back end, server or worker. These names stand in this package alone,
where wire names are encoded and decoded. The package makes no decisions.
"""
