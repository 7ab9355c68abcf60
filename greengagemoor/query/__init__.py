"""Query decisions without I/O: snapshots, placement, limits, answers."""
