"""Tests of lacewingwood.callers."""
