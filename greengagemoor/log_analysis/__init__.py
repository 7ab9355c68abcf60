"""Analyses the merged logs of several processes."""
