"""Soak test: real programs on loopback, faults injected from outside."""
