"""Tests of lacewingwood.jobs."""
