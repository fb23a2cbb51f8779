"""Command line: the roles and the operators' client."""
