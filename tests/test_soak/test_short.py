"""A short seeded run of the soak, with the real programs."""

from __future__ import annotations

from soak.__main__ import play


class TestSeeds:
    """Promises hold while processes are killed, frozen and ended."""

    def test_seed_1(self):
        assert play(1, 4.0) == []
