"""Tests of soak."""
