"""Labels of metrics in the Prometheus text format."""

from __future__ import annotations


def escape_label(text: str) -> str:
    """Returns a label's value as it is written between quotes."""
    return text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
