"""Adapter to the users' platform: its wire formats and the product's types."""
