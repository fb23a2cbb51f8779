"""Tests of lacewingwood.log."""
