"""Tests of the wire format between processes."""
