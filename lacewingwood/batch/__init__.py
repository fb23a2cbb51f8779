"""Batch jobs: uploaded files, scheduling on replicas, and results."""
