"""Query tier over many shards, with a replicated control group."""

from __future__ import annotations

__version__ = "0.1.0"
