"""Tests of lacewingwood.hostlist."""
