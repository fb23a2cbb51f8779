"""Batch jobs whose records live in a keyed log."""
