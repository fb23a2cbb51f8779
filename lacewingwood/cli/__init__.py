"""Command line of the roles and of the operators' client."""
