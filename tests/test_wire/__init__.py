"""Tests of the wire format between instances."""
