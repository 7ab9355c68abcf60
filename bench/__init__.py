"""Benchmarks and models; not part of the product."""
