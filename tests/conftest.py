"""Hypothesis profiles for all tests; HYPOTHESIS_PROFILE selects one."""

import os

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.register_profile("dev", deadline=None, max_examples=30)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
