"""Measurements; none of this is part of the product."""
