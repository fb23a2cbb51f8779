"""Adapter between the platform's wire formats and this package's types."""
