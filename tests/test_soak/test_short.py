"""A short seeded run of the soak, with the real programs."""

from __future__ import annotations

from soak.__main__ import run_seed


class TestSeeds:
    """Guarantees hold while processes are killed, suspended and stopped."""

    def test_seed_1(self):
        assert run_seed(1, 4.0) == []
