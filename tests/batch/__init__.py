"""Tests of lacewingwood.batch."""
