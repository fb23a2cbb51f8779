"""Benchmarks; each prints JSON."""
