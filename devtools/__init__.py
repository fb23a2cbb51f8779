"""Tools that start deployments and tests; not part of the product."""
