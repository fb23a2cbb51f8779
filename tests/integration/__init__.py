"""Tests that run separate processes and inject failures."""
