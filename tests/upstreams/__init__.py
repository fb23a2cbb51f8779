"""Tests of lacewingwood.upstreams."""
