"""Stand-ins for the outside services that the system depends on."""
