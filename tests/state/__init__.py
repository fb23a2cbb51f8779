"""Tests of lacewingwood.state."""
