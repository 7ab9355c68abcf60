"""Hypothesis settings that make all test runs deterministic."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

settings.register_profile(
    "same",
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("same")
