"""Randomized soak of a fleet of gateways under injected faults."""
