"""Batch jobs, stored as records in compacted topics of the log."""
