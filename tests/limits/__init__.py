"""Tests of lacewingwood.limits."""
