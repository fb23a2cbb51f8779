"""Clients of the upstreams: model engines and plain HTTP services."""
