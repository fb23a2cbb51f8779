"""Tests of failures with real processes."""
