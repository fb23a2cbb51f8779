"""Tests of lacewingwood.platform."""
