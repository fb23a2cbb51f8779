"""Tests of lacewingwood.operators."""
