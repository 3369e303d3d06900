"""Small stand-ins for what the system serves and is built on."""
