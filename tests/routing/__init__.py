"""Tests of lacewingwood.routing."""
