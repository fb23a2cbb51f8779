"""Tests of lacewingwood.peers."""
