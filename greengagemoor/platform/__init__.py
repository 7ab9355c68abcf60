"""Adapter to the users' platform: its names, formats and calls.

It only translates and takes no decisions. No other package uses its names.
"""
