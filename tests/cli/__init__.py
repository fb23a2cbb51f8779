"""Tests of lacewingwood.cli."""
