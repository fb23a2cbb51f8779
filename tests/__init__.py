"""Tests of the serving system, its stand-ins and its tools."""
