"""A query tier over many shards, with its own durable state."""

from __future__ import annotations

__version__ = "0.1.0"
