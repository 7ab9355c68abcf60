"""Intervals of the feed."""

from __future__ import annotations

from greengagemoor.util import values


@values.frozen
class Timing:
    """Intervals in seconds.

    Attributes:
        announce: interval at which searchers announce themselves.
    """

    announce: float
