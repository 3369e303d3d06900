"""Names, formats and calls of the users' platform; decides nothing.

The platform says machine for a VM, zone for a data centre, tenant for a team,
and back end, server or worker for an endpoint. Nothing outside this package
knows its names.
"""
