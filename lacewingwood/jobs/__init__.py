"""Batch jobs whose records live in compacted topics."""
