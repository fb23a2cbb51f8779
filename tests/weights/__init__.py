"""Tests of lacewingwood.weights."""
